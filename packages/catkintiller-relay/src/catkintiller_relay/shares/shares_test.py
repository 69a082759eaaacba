"""Tests of the parts of fair shares, each on its own."""

import random

import pytest

from .. import data
from ..membership import coordinator_order
from ..quotas import quota_sync
from . import demand_sums, demand_table, reservations, water_filling

KEY = ("deep", 1)


def get_granted(demand: dict[str, float], room: float, **options) -> dict[str, float]:
    """Returns the slots granted to each customer."""
    shares = water_filling.compute_customer_shares(demand, room, **options)
    return {name: share * demand[name] for name, share in shares.items()}


class TestWaterFilling:
    """A division that leaves room unused or takes it from small customers."""

    def test_small_demand_is_met_and_the_rest_is_equal(self) -> None:
        granted = get_granted({"a": 1.0, "b": 10.0, "c": 10.0}, 11.0)
        assert granted == pytest.approx({"a": 1.0, "b": 5.0, "c": 5.0})

    def test_room_is_used_up(self) -> None:
        rng = random.Random(3)
        for _ in range(200):
            demand = {str(k): rng.paretovariate(1.2) for k in range(76)}
            room = rng.uniform(0.01, 1.0) * sum(demand.values())
            granted = get_granted(demand, room)
            assert sum(granted.values()) == pytest.approx(room)
            mean = room / sum(demand.values())
            shares = {name: granted[name] / demand[name] for name in demand}
            assert min(shares.values()) > 0.2499 * mean
            limited = [
                granted[name]
                for name, share in shares.items()
                if 0.2501 * mean < share < 0.9999
            ]
            if limited:
                assert limited == pytest.approx([limited[0]] * len(limited))
            for name, share in shares.items():
                if limited and share >= 0.9999:
                    assert demand[name] <= 1.001 * limited[0]
                elif limited:
                    assert granted[name] >= 0.999 * limited[0]

    def test_demand_that_fits_is_met(self) -> None:
        demand = {"a": 3.0, "b": 4.0}
        assert get_granted(demand, 7.5) == pytest.approx(demand)

    def test_others_count_as_several_customers(self) -> None:
        granted = get_granted({"a": 10.0, "": 10.0}, 10.0, others_count=4.0)
        assert granted == pytest.approx({"a": 2.5, "": 7.5}, rel=0.2)

    def test_no_room_and_no_demand(self) -> None:
        assert water_filling.compute_customer_shares({"a": 1.0}, 0.0) == {"a": 0.0}
        assert water_filling.compute_customer_shares({}, 1.0) == {}


class TestDemandTable:
    """Messages and memory without a limited service, or with many customers."""

    def build_table(self) -> demand_table.DemandTable:
        table = demand_table.DemandTable()
        table.set_limited([KEY], 0.1)
        return table

    def test_nothing_is_kept_where_nothing_is_limited(self) -> None:
        table = demand_table.DemandTable()
        table.record(*KEY, "a", 1.0)
        table.update(0.1)
        assert not table.has_demand
        assert table.get_report(16) == []
        assert table.get_view(*KEY, 0.0) is None

    def test_customers_that_come_again_are_counted_once(self) -> None:
        # Otherwise half as many customers as the limit would have shares of their own.
        table = self.build_table()
        for _ in range(2):
            for number in range(demand_table.MAX_CUSTOMER_COUNT - 1):
                table.record(*KEY, f"c{number}", 1.0)
            table.update(0.1)
        names = table.get_view(*KEY, 0.0).slots
        assert water_filling.OTHERS not in names
        assert len(names) == demand_table.MAX_CUSTOMER_COUNT - 1

    def test_largest_are_named(self) -> None:
        table = self.build_table()
        for number in range(1000):
            table.record(*KEY, f"c{number}", 1.0 + number % 100)
        table.update(0.1)
        report = table.get_report(16)
        assert len(report) == 17
        assert report[-1][2] == ""
        total = sum(slots for _, _, _, slots in report)
        expected = sum(1.0 + number % 100 for number in range(1000)) / 0.1
        assert 0.3 * expected < total / 1000 < expected
        assert table.get_report(16) == []

    def test_old_totals_give_way_to_own_arrivals(self) -> None:
        table = self.build_table()
        table.record(*KEY, "own", 1.0)
        table.update(0.1)
        table.apply_totals([(*KEY, "all", 5000)], 10.0)
        assert table.get_view(*KEY, 10.5) == ({"all": 5.0}, 0.5)
        assert table.get_view(*KEY, 12.0).age_s is None
        assert "own" in table.get_view(*KEY, 12.0).slots

    def test_rank_is_dropped_after_its_limit_has_gone(self) -> None:
        table = self.build_table()
        table.record(*KEY, "a", 1.0)
        table.update(0.1)
        table.set_limited([], 1.0)
        assert table.has_demand
        table.set_limited([], demand_table.LIMITED_KEPT_S)
        assert not table.has_demand


class TestDemandSums:
    """Demand of nodes that were lost, and reports that are counted twice."""

    def test_reports_replace_each_other_and_expire(self) -> None:
        sums = demand_sums.DemandSums()
        sums.record("n1", [(*KEY, "a", 100)], 0.0)
        sums.record("n2", [(*KEY, "a", 10), (*KEY, "b", 20)], 0.0)
        sums.record("n1", [(*KEY, "a", 300)], 0.5)
        sums.record("n1", [], 0.6)
        assert sums.get_totals(0.6) == [(*KEY, "a", 310), (*KEY, "b", 20)]
        assert sums.get_totals(1.2) == [(*KEY, "a", 300)]
        assert sums.get_totals(3.0) == []

    def test_reply_is_bounded(self) -> None:
        sums = demand_sums.DemandSums()
        for rank in range(12):
            entries = [("deep", rank, f"c{k}", 1 + k) for k in range(100)]
            sums.record(f"n{rank}", entries, 0.0)
        assert len(sums.get_totals(0.0)) == 8 * 17


class TestReservations:
    """Returns that are refused, and reservations that are never used."""

    def test_times_are_spread_at_the_admitted_rate(self) -> None:
        book = reservations.ReservationBook(random.Random(1))
        group = (*KEY, "a")
        times = [book.reserve(group, number, 10.0, 0.0) for number in range(100)]
        assert len(set(times)) == 100
        assert 8.0 < max(times) < 13.0

    def test_time_is_used_once_and_not_early(self) -> None:
        book = reservations.ReservationBook(random.Random(1))
        delay_s = book.reserve((*KEY, "a"), "x", 10.0, 0.0)
        assert not book.take("x", delay_s / 2)
        assert book.take("x", delay_s)
        assert not book.take("x", delay_s)
        assert book.is_empty

    def test_first_reservation_to_end_is_used_first(self) -> None:
        """Later returns of the same content found the reservations expired."""
        book = reservations.ReservationBook(random.Random(1))
        later_at = book.reserve((*KEY, "a"), "x", 1.0, 0.0)
        earlier_at = later_at - 0.5
        earlier_at += book.reserve(("edge", 1, "a"), "x", 100.0, earlier_at)
        assert earlier_at < later_at
        assert book.take("x", later_at)
        assert book.take("x", later_at + 0.9 * reservations.LATE_TOLERANCE_S)

    def test_memory_is_bounded(self) -> None:
        book = reservations.ReservationBook(random.Random(1))
        for number in range(10_000):
            book.reserve((*KEY, "a"), number, 1e6, 0.0)
        assert len(book._ends) == reservations.MAX_RESERVATION_COUNT
        book.drop_expired(100.0)
        assert book.is_empty


class FakePeers:
    """No peers: the node follows itself."""

    def __init__(self) -> None:
        self.peers = {}
        self.coordinator_order = coordinator_order.CoordinatorOrder("n1")


class TestExchangeWithoutQuotas:
    """Customers without quotas: no sums at all, or messages without a limit."""

    def play(self, table: demand_table.DemandTable) -> list:
        """Returns the sums that the node gets."""
        received = []
        sync = quota_sync.QuotaSync(
            None,
            "n1",
            FakePeers(),
            lambda: True,
            random.Random(1),
            None,
            lambda: table.get_report(16),
            received.append,
            demand_sums.DemandSums(),
            lambda: table.has_demand,
        )
        customer = data.Customer("a", (b"digest",))
        sync.set_config(data.Config(1, (), (), None, b"", (customer,)))
        sync._log_change = lambda change: None
        sync.update_members(0.0)
        sync.tick()
        return received

    def test_no_message_without_a_limited_service(self) -> None:
        assert self.play(demand_table.DemandTable()) == []

    def test_sums_return_while_a_service_is_limited(self) -> None:
        table = demand_table.DemandTable()
        table.set_limited([KEY], 0.1)
        table.record(*KEY, "a", 1.0)
        table.update(0.1)
        [sums] = self.play(table)
        assert [entry[:3] for entry in sums] == [(*KEY, "a")]
