"""Tests of what is admitted at the top of a chain."""

import random

import pytest

from . import load_shedder

TICK_S = 0.05


class TestShares:
    """Shares by rank."""

    def test_all_fits(self) -> None:
        assert load_shedder.compute_admitted_shares({0: 10.0, 2: 50.0}, 100.0) == {}

    def test_least_important_is_refused_first(self) -> None:
        shares = load_shedder.compute_admitted_shares(
            {0: 50.0, 1: 20.0, 2: 100.0}, 100.0
        )
        assert set(shares) == {2}
        assert shares[2] == pytest.approx(0.3)

    def test_none_is_starved(self) -> None:
        shares = load_shedder.compute_admitted_shares({0: 200.0, 2: 100.0}, 100.0)
        assert shares[2] == pytest.approx(load_shedder.RESERVED_DEMAND_RATIO)
        assert shares[0] > 0.4

    def test_nothing_can_be_done(self) -> None:
        shares = load_shedder.compute_admitted_shares({0: 10.0}, 0.0)
        assert shares[0] == pytest.approx(load_shedder.RESERVED_DEMAND_RATIO)


class TestSurge:
    """Twice the work that a service can do, arriving at two nodes."""

    CAPACITY = 1000.0

    def play(self, seconds: float, demand: dict[int, float]) -> dict[int, float]:
        """Gives the work a second that both nodes admit at the end, by rank.

        The use that the service reports follows what was admitted half a second
        before, as in a chain of calls.
        """
        rng = random.Random(5)
        nodes = [load_shedder.LoadShedder(), load_shedder.LoadShedder()]
        history: list[float] = []
        admitted: dict[int, float] = {}
        steps = int(seconds / TICK_S)
        for step in range(steps):
            work = 0.0
            for rank, rate in demand.items():
                for _ in range(int(rate * TICK_S / 4)):
                    if rng.choice(nodes).admit_request(rank, 4.0):
                        work += 4.0
                        if step >= steps // 2:
                            admitted[rank] = admitted.get(rank, 0.0) + 4.0
            history.append(work / TICK_S / self.CAPACITY)
            use = history[max(0, len(history) - 10)]
            told = [dict(node.demand) for node in nodes]
            for index, node in enumerate(nodes):
                node.update(TICK_S, self.CAPACITY, use, [told[1 - index]])
        return {rank: work / (seconds / 2) for rank, work in admitted.items()}

    def test_capacity_is_used_and_not_exceeded(self) -> None:
        admitted = self.play(10.0, {0: 800.0, 2: 1200.0})
        total = sum(admitted.values())
        assert 0.8 * self.CAPACITY < total < 1.1 * self.CAPACITY

    def test_important_work_is_kept_whole(self) -> None:
        admitted = self.play(10.0, {0: 800.0, 2: 1200.0})
        assert admitted[0] > 0.95 * 800.0

    def test_nothing_is_refused_without_need(self) -> None:
        admitted = self.play(5.0, {0: 320.0, 2: 400.0})
        assert sum(admitted.values()) == pytest.approx(720.0, rel=0.03)


class TestSpike:
    """A few requests at once, to a service that was idle until then."""

    def test_new_service_takes_them(self) -> None:
        own = load_shedder.LoadShedder()
        refused = 0
        for requests in (12, 6, 2):
            for _ in range(requests):
                refused += not own.admit_request(1, 1.0)
            own.update(TICK_S, 233.0, 0.1, [])
        assert refused == 0


class TestCredit:
    """Shares that lie just below one."""

    def make_limited(self) -> load_shedder.LoadShedder:
        own = load_shedder.LoadShedder()
        own.update(
            TICK_S, 1000.0, 0.9, [{1: 1000.0 * load_shedder.TARGET_UTILIZATION * 1.03}]
        )
        assert 0.95 < own.admitted_shares[1] < 1.0
        return own

    def test_first_request_is_admitted(self) -> None:
        assert self.make_limited().admit_request(1, 1.0)

    def test_share_is_kept_over_time(self) -> None:
        own = self.make_limited()
        share = own.admitted_shares[1]
        admitted = sum(own.admit_request(1, 1.0) for _ in range(1000))
        assert admitted == pytest.approx(1000 * share, abs=2)
