"""Tests of the load shedding of root requests."""

import random

import pytest

from . import load_shedder

UPDATE_INTERVAL_S = 0.05


def admit(shedder: load_shedder.LoadShedder, rank: int, slot_s: float) -> bool:
    """Offers a request that needs one service."""
    return load_shedder.admit_request({"stock": shedder}, rank, {"stock": slot_s})


class TestShares:
    """Admitted shares by rank."""

    def test_no_limit_below_capacity(self) -> None:
        assert load_shedder.compute_admitted_shares({0: 10.0, 2: 50.0}, 100.0) == {}

    def test_lowest_rank_is_refused_first(self) -> None:
        shares = load_shedder.compute_admitted_shares(
            {0: 50.0, 1: 20.0, 2: 100.0}, 100.0
        )
        assert set(shares) == {2}
        assert shares[2] == pytest.approx(0.3)

    def test_no_rank_is_starved(self) -> None:
        shares = load_shedder.compute_admitted_shares({0: 200.0, 2: 100.0}, 100.0)
        assert shares[2] == pytest.approx(load_shedder.RESERVED_DEMAND_RATIO)
        assert shares[0] > 0.4

    def test_no_capacity(self) -> None:
        shares = load_shedder.compute_admitted_shares({0: 10.0}, 0.0)
        assert shares[0] == pytest.approx(load_shedder.RESERVED_DEMAND_RATIO)


class TestSurge:
    """Demand of twice the capacity of a service, arriving at two nodes."""

    CAPACITY = 1000.0

    def simulate(self, duration_s: float, demand: dict[int, float]) -> dict[int, float]:
        """Returns the calls per second that both nodes admit at the end, by rank.

        The utilization that the service reports lags half a second behind the admitted
        calls, as it does for downstream calls.
        """
        rng = random.Random(5)
        nodes = [load_shedder.LoadShedder(), load_shedder.LoadShedder()]
        utilizations: list[float] = []
        admitted: dict[int, float] = {}
        steps = int(duration_s / UPDATE_INTERVAL_S)
        for step in range(steps):
            admitted_calls = 0.0
            for rank, rate in demand.items():
                for _ in range(int(rate * UPDATE_INTERVAL_S / 4)):
                    if admit(rng.choice(nodes), rank, 4.0):
                        admitted_calls += 4.0
                        if step >= steps // 2:
                            admitted[rank] = admitted.get(rank, 0.0) + 4.0
            utilizations.append(admitted_calls / UPDATE_INTERVAL_S / self.CAPACITY)
            utilization = utilizations[max(0, len(utilizations) - 10)]
            demands = [dict(node.demand) for node in nodes]
            for index, node in enumerate(nodes):
                node.update(
                    UPDATE_INTERVAL_S, self.CAPACITY, utilization, demands[1 - index]
                )
        return {
            rank: admitted_calls / (duration_s / 2)
            for rank, admitted_calls in admitted.items()
        }

    def test_capacity_is_used_and_not_exceeded(self) -> None:
        admitted = self.simulate(10.0, {0: 800.0, 2: 1200.0})
        total = sum(admitted.values())
        assert 0.8 * self.CAPACITY < total < 1.1 * self.CAPACITY

    def test_highest_rank_is_admitted(self) -> None:
        admitted = self.simulate(10.0, {0: 800.0, 2: 1200.0})
        assert admitted[0] > 0.95 * 800.0

    def test_no_refusal_below_capacity(self) -> None:
        admitted = self.simulate(5.0, {0: 320.0, 2: 400.0})
        assert sum(admitted.values()) == pytest.approx(720.0, rel=0.03)


class TestBurstAtStart:
    """A few simultaneous requests to a service that was idle before."""

    def test_burst_is_admitted(self) -> None:
        shedder = load_shedder.LoadShedder()
        refused = 0
        for requests in (12, 6, 2):
            for _ in range(requests):
                refused += not admit(shedder, 1, 1.0)
            shedder.update(UPDATE_INTERVAL_S, 233.0, 0.1, {})
        assert refused == 0


class TestCredit:
    """Shares just below one."""

    def build_limited_shedder(self) -> load_shedder.LoadShedder:
        shedder = load_shedder.LoadShedder()
        shedder.update(
            UPDATE_INTERVAL_S,
            1000.0,
            0.9,
            {1: 1000.0 * load_shedder.TARGET_UTILIZATION * 1.03},
        )
        assert 0.95 < shedder.admitted_shares[1] < 1.0
        return shedder

    def test_first_request_is_admitted(self) -> None:
        assert admit(self.build_limited_shedder(), 1, 1.0)

    def test_share_is_kept_over_time(self) -> None:
        shedder = self.build_limited_shedder()
        share = shedder.admitted_shares[1]
        admitted = sum(admit(shedder, 1, 1.0) for _ in range(1000))
        assert admitted == pytest.approx(1000 * share, abs=2)


class TestSeveralServices:
    """Two kinds of the same rank, of which one needs a saturated service as well."""

    def test_refused_requests_take_no_room_elsewhere(self) -> None:
        shedders = {
            "notes": load_shedder.LoadShedder(),
            "bays": load_shedder.LoadShedder(),
        }
        slots = {"notes": 40.0, "bays": 40.0}
        lookup = {"notes": 0.8, "bays": 0.4}
        booking = {"bays": 0.4}
        admitted = {"lookup": 0, "booking": 0}
        for step in range(200):
            for _ in range(10):  # 160 slots of notes and 80 of bays are demanded
                if load_shedder.admit_request(shedders, 2, lookup) and step > 100:
                    admitted["lookup"] += 1
            for _ in range(2):
                if load_shedder.admit_request(shedders, 2, booking) and step > 100:
                    admitted["booking"] += 1
            for name, shedder in shedders.items():
                shedder.update(UPDATE_INTERVAL_S, slots[name], 0.95, {})
        assert admitted["booking"] > 0.97 * 2 * 99
        assert 0.1 * 10 * 99 < admitted["lookup"] < 0.5 * 10 * 99
