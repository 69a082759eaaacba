"""Tests of the choice of an endpoint, with the load that it answers."""

import heapq
import random

from . import endpoint_selection


def make_candidate(
    node: str,
    load: float = 0.0,
    service_s: float = 0.02,
    failures: float = 0.0,
    *,
    near: bool = True,
) -> endpoint_selection.Candidate:
    """Makes a candidate with 40 slots."""
    distance_s = 0.0 if near else 0.004
    return endpoint_selection.Candidate(
        node, load, 40, service_s, False, near, distance_s, failures
    )


class TestChoose:
    """One choice."""

    def test_nothing_to_choose(self) -> None:
        assert endpoint_selection.select_endpoint([], random.Random(1)) is None

    def test_idle_and_fast_goes_first(self) -> None:
        pool = [make_candidate("slow", service_s=0.06), make_candidate("fast")]
        assert endpoint_selection.select_endpoint(pool, random.Random(1)).node == "fast"

    def test_full_one_is_left_for_a_slower_one(self) -> None:
        pool = [
            make_candidate("full", load=80.0),
            make_candidate("idle", service_s=0.03),
        ]
        assert endpoint_selection.select_endpoint(pool, random.Random(1)).node == "idle"

    def test_failing_one_is_avoided(self) -> None:
        pool = [make_candidate("failing", failures=1.0), make_candidate("sound")]
        assert (
            endpoint_selection.select_endpoint(pool, random.Random(1)).node == "sound"
        )


class TestAvailabilityZones:
    """A service with many equal endpoints in three availability zones."""

    def choose(self, near_load: float) -> list[str]:
        rng = random.Random(2)
        pool = [make_candidate(f"near-{n}", near_load) for n in range(5)]
        pool += [make_candidate(f"far-{n}", near=False) for n in range(10)]
        return [endpoint_selection.select_endpoint(pool, rng).node for _ in range(100)]

    def test_own_zone_is_preferred(self) -> None:
        assert all(node.startswith("near") for node in self.choose(near_load=25.0))

    def test_full_zone_spills(self) -> None:
        assert all(node.startswith("far") for node in self.choose(near_load=60.0))

    def test_all_near_ones_get_work(self) -> None:
        assert len(set(self.choose(near_load=5.0))) == 5


class TestUnequalEndpoints:
    """Three endpoints that differ threefold in speed, at four fifths of their sum."""

    SERVICE_S = (0.013, 0.022, 0.035)
    SLOTS = 40

    def play(self, rate: float, seconds: float) -> list[float]:
        """Plays Poisson arrivals and gives the time that each request took."""
        rng = random.Random(3)
        free_at = [[0.0] * self.SLOTS for _ in self.SERVICE_S]
        ends: list[list[float]] = [[] for _ in self.SERVICE_S]
        now, took = 0.0, []
        while now < seconds:
            now += rng.expovariate(rate)
            pool = []
            for index, service_s in enumerate(self.SERVICE_S):
                ends[index] = [end for end in ends[index] if end > now]
                load = float(len(ends[index]))
                pool.append(make_candidate(str(index), load, service_s))
            index = int(endpoint_selection.select_endpoint(pool, rng).node)
            start = max(now, heapq.heappop(free_at[index]))
            end = start + rng.expovariate(1.0 / self.SERVICE_S[index])
            heapq.heappush(free_at[index], end)
            ends[index].append(end)
            took.append(end - now)
        return took

    def test_callers_wait_little(self) -> None:
        capacity = sum(self.SLOTS / service_s for service_s in self.SERVICE_S)
        took = sorted(self.play(0.8 * capacity, 3.0))
        assert took[int(0.99 * len(took))] < 0.2
        assert sum(took) / len(took) < 0.035
