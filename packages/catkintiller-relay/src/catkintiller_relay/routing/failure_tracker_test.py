"""Tests of the failure ratio and of the endpoint selection that weighs it."""

import collections
import random

from . import endpoint_selection, failure_tracker


class TestFailureRatio:
    """Value of the ratio over time."""

    def test_ratio_does_not_depend_on_the_request_rate(self) -> None:
        for rate in (50.0, 2000.0):
            tracker = failure_tracker.FailureTracker()
            rng = random.Random(4)
            total = 0.0
            for number in range(2000):
                now = number / rate
                tracker.record(
                    now, failure_tracker.FAILED_WEIGHT if rng.random() < 0.03 else 0.0
                )
                total += tracker.get_ratio(now)
            assert total / 2000 < 0.06

    def test_ratio_decays_without_requests(self) -> None:
        tracker = failure_tracker.FailureTracker()
        for _ in range(100):
            tracker.record(1.0, failure_tracker.FAILED_WEIGHT)
        assert tracker.get_ratio(1.0) > 0.9
        assert tracker.get_ratio(1.0 + 5 * failure_tracker.HALF_LIFE_S) < 0.05


class TestEndpointSelection:
    """Three endpoints with 40 slots each; one fails a part of its requests."""

    NODES = ("a", "b", "failing")
    SERVICE_TIME_S = 0.02
    REQUESTS_PER_S = 3600.0
    DURATION_S = 6.0

    def simulate(self, failing_ratio: float) -> dict[str, float]:
        """Returns the share of the requests that each endpoint gets."""
        rng = random.Random(6)
        trackers = {node: failure_tracker.FailureTracker() for node in self.NODES}
        end_times: dict[str, list[float]] = {node: [] for node in self.NODES}
        request_counts: collections.Counter[str] = collections.Counter()
        now = 0.0
        while now < self.DURATION_S:
            now += rng.expovariate(self.REQUESTS_PER_S)
            pool = []
            for node in self.NODES:
                end_times[node] = [
                    end_time for end_time in end_times[node] if end_time > now
                ]
                pool.append(
                    endpoint_selection.Candidate(
                        node,
                        len(end_times[node]),
                        40,
                        self.SERVICE_TIME_S,
                        False,
                        True,
                        0.0,
                        trackers[node].get_ratio(now),
                    )
                )
            node = endpoint_selection.select_endpoint(pool, rng).node
            request_counts[node] += 1
            failed = node == "failing" and rng.random() < failing_ratio
            trackers[node].record(
                now,
                failure_tracker.FAILED_WEIGHT
                if failed
                else failure_tracker.SUCCESS_WEIGHT,
            )
            end_times[node].append(now + rng.expovariate(1.0 / self.SERVICE_TIME_S))
        return {
            node: request_counts[node] / sum(request_counts.values())
            for node in self.NODES
        }

    def test_endpoint_that_loses_few_responses_keeps_its_share(self) -> None:
        assert self.simulate(0.03)["failing"] > 0.2

    def test_endpoint_that_rejects_half_gets_less_than_the_others(self) -> None:
        shares = self.simulate(0.55)
        assert shares["failing"] < 0.6 * shares["a"]

    def test_endpoint_that_fails_all_requests_is_only_probed(self) -> None:
        assert 0.0 < self.simulate(1.0)["failing"] < 0.05
