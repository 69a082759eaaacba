"""Tests of the occupancy that operators see."""

import pytest

from . import endpoint_selection, occupancy


def build_loads(*loads: float) -> list[occupancy.EndpointLoad]:
    """Builds endpoints of one service with 10 slots each."""
    return [occupancy.EndpointLoad("stock", load, 10.0) for load in loads]


class TestOccupancyTracker:
    """Figures by service."""

    def test_waiting_beside_free_slots_is_counted(self) -> None:
        tracker = occupancy.OccupancyTracker()
        tracker.record_loads(build_loads(12, 3))
        tracker.record_loads(build_loads(10, 3))
        tracker.record_loads(build_loads(12, 11))
        tracker.record_loads(build_loads(0, 0))
        figures = tracker.pop_occupancies()["stock"]
        assert figures.uneven_ratio == 0.25
        assert tracker.pop_occupancies() == {}

    def test_even_load_has_ratio_1(self) -> None:
        assert occupancy.compute_most_over_mean(build_loads(5, 5)) == 1.0
        assert occupancy.compute_most_over_mean(build_loads(9, 0, 0)) == 3.0

    def test_age_of_the_load_at_the_selection(self) -> None:
        tracker = occupancy.OccupancyTracker()
        candidate = endpoint_selection.Candidate(
            "a", 1.0, 10.0, 0.03, False, True, 0.0, 0.0
        )
        for age_s in (0.1, 0.3):
            tracker.record_choice("stock", candidate._replace(load_age_s=age_s))
        figures = tracker.pop_occupancies()["stock"]
        assert figures.load_age_s == pytest.approx(0.2)
        assert figures.choice_count == 2

    def test_number_of_services_is_bounded(self) -> None:
        tracker = occupancy.OccupancyTracker()
        for number in range(2 * occupancy.MAX_SERVICE_COUNT):
            tracker.record_loads([occupancy.EndpointLoad(f"s{number}", 1.0, 1.0)])
        assert len(tracker.pop_occupancies()) == occupancy.MAX_SERVICE_COUNT
