"""Tests of the copies of departures that are held for other nodes."""

from . import departure_copies

ADDRESS = "10.0.0.1:8300"


class TestDepartureCopies:
    """The newest departures are held, within bounds."""

    def test_later_start_replaces_an_earlier_one(self) -> None:
        copies = departure_copies.DepartureCopies()
        copies.add(ADDRESS, "i-1", 5)
        copies.add(ADDRESS, "i-1", 9)
        copies.add(ADDRESS, "i-1", 7)
        assert copies.get(ADDRESS) == [("i-1", 9)]
        assert copies.get("10.0.0.2:8300") == []

    def test_oldest_departures_of_a_node_are_dropped(self) -> None:
        copies = departure_copies.DepartureCopies()
        count = departure_copies.MAX_DEPARTURES_PER_NODE
        for number in range(count + 3):
            copies.add(ADDRESS, f"i-{number}", 1)
        instances = [instance for instance, _ in copies.get(ADDRESS)]
        assert instances == [f"i-{number}" for number in range(3, count + 3)]

    def test_nodes_without_news_are_dropped(self) -> None:
        copies = departure_copies.DepartureCopies()
        for number in range(departure_copies.MAX_NODE_COUNT + 1):
            copies.add(f"10.0.0.1:{number}", "i-1", 1)
        assert copies.get("10.0.0.1:0") == []
        assert copies.get("10.0.0.1:1") == [("i-1", 1)]
