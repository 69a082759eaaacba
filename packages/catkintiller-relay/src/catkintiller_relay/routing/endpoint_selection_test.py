"""Tests of endpoint selection, with simulated load."""

import heapq
import random

from . import endpoint_selection


def build_candidate(
    node: str,
    load: float = 0.0,
    service_time_s: float = 0.02,
    failure_ratio: float = 0.0,
    *,
    same_zone: bool = True,
) -> endpoint_selection.Candidate:
    """Builds a candidate with 40 slots."""
    round_trip_s = 0.0 if same_zone else 0.004
    return endpoint_selection.Candidate(
        node, load, 40, service_time_s, False, same_zone, round_trip_s, failure_ratio
    )


class TestSelectEndpoint:
    """Single selections."""

    def test_no_candidates(self) -> None:
        assert endpoint_selection.select_endpoint([], random.Random(1)) is None

    def test_faster_idle_endpoint_is_selected(self) -> None:
        pool = [build_candidate("slow", service_time_s=0.06), build_candidate("fast")]
        assert endpoint_selection.select_endpoint(pool, random.Random(1)).node == "fast"

    def test_slower_endpoint_is_preferred_to_a_full_one(self) -> None:
        pool = [
            build_candidate("full", load=80.0),
            build_candidate("idle", service_time_s=0.03),
        ]
        assert endpoint_selection.select_endpoint(pool, random.Random(1)).node == "idle"

    def test_failing_endpoint_is_avoided(self) -> None:
        pool = [build_candidate("failing", failure_ratio=1.0), build_candidate("sound")]
        assert (
            endpoint_selection.select_endpoint(pool, random.Random(1)).node == "sound"
        )


class TestAvailabilityZones:
    """A service with many equal endpoints in three availability zones."""

    def select_100_endpoints(self, same_zone_load: float) -> list[str]:
        rng = random.Random(2)
        pool = [build_candidate(f"near-{n}", same_zone_load) for n in range(5)]
        pool += [build_candidate(f"far-{n}", same_zone=False) for n in range(10)]
        return [endpoint_selection.select_endpoint(pool, rng).node for _ in range(100)]

    def test_own_zone_is_preferred(self) -> None:
        assert all(
            node.startswith("near")
            for node in self.select_100_endpoints(same_zone_load=25.0)
        )

    def test_full_zone_sends_to_other_zones(self) -> None:
        assert all(
            node.startswith("far")
            for node in self.select_100_endpoints(same_zone_load=60.0)
        )

    def test_all_endpoints_of_the_zone_get_requests(self) -> None:
        assert len(set(self.select_100_endpoints(same_zone_load=5.0))) == 5


class TestUnequalEndpoints:
    """Three endpoints that differ threefold in speed, at 80 % of their capacity."""

    SERVICE_TIMES_S = (0.013, 0.022, 0.035)
    SLOTS = 40

    def simulate(self, requests_per_s: float, duration_s: float) -> list[float]:
        """Simulates Poisson arrivals and returns the latency of each request."""
        rng = random.Random(3)
        slots_free_at = [[0.0] * self.SLOTS for _ in self.SERVICE_TIMES_S]
        end_times: list[list[float]] = [[] for _ in self.SERVICE_TIMES_S]
        now, latencies_s = 0.0, []
        while now < duration_s:
            now += rng.expovariate(requests_per_s)
            pool = []
            for index, service_time_s in enumerate(self.SERVICE_TIMES_S):
                end_times[index] = [
                    end_time for end_time in end_times[index] if end_time > now
                ]
                load = float(len(end_times[index]))
                pool.append(build_candidate(str(index), load, service_time_s))
            index = int(endpoint_selection.select_endpoint(pool, rng).node)
            start = max(now, heapq.heappop(slots_free_at[index]))
            end_time = start + rng.expovariate(1.0 / self.SERVICE_TIMES_S[index])
            heapq.heappush(slots_free_at[index], end_time)
            end_times[index].append(end_time)
            latencies_s.append(end_time - now)
        return latencies_s

    def test_latency_is_low(self) -> None:
        capacity = sum(
            self.SLOTS / service_time_s for service_time_s in self.SERVICE_TIMES_S
        )
        latencies_s = sorted(self.simulate(0.8 * capacity, 3.0))
        assert latencies_s[int(0.99 * len(latencies_s))] < 0.2
        assert sum(latencies_s) / len(latencies_s) < 0.035
