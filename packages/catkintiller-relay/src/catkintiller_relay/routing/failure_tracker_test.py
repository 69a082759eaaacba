"""Tests of the share of failures, and of the choice that weighs it."""

import collections
import random

from . import endpoint_selection, failure_tracker


class TestShare:
    """The share itself."""

    def test_it_follows_the_share_of_failures_whatever_the_rate(self) -> None:
        for rate in (50.0, 2000.0):
            own = failure_tracker.FailureTracker()
            rng = random.Random(4)
            total = 0.0
            for number in range(2000):
                now = number / rate
                own.record(
                    now, failure_tracker.FAILED_WEIGHT if rng.random() < 0.03 else 0.0
                )
                total += own.get_ratio(now)
            assert total / 2000 < 0.06

    def test_it_fades_while_nothing_is_sent(self) -> None:
        own = failure_tracker.FailureTracker()
        for _ in range(100):
            own.record(1.0, failure_tracker.FAILED_WEIGHT)
        assert own.get_ratio(1.0) > 0.9
        assert own.get_ratio(1.0 + 5 * failure_tracker.HALF_LIFE_S) < 0.05


class TestChoice:
    """Three endpoints of 40 slots; one of them fails a share of its requests."""

    NODES = ("a", "b", "failing")
    SERVICE_S = 0.02
    RATE = 3600.0
    SECONDS = 6.0

    def play(self, failing: float) -> dict[str, float]:
        """Gives the share of the requests that each endpoint gets."""
        rng = random.Random(6)
        shares = {node: failure_tracker.FailureTracker() for node in self.NODES}
        ends: dict[str, list[float]] = {node: [] for node in self.NODES}
        got: collections.Counter[str] = collections.Counter()
        now = 0.0
        while now < self.SECONDS:
            now += rng.expovariate(self.RATE)
            pool = []
            for node in self.NODES:
                ends[node] = [end for end in ends[node] if end > now]
                pool.append(
                    endpoint_selection.Candidate(
                        node,
                        len(ends[node]),
                        40,
                        self.SERVICE_S,
                        False,
                        True,
                        0.0,
                        shares[node].get_ratio(now),
                    )
                )
            node = endpoint_selection.select_endpoint(pool, rng).node
            got[node] += 1
            failed = node == "failing" and rng.random() < failing
            shares[node].record(
                now,
                failure_tracker.FAILED_WEIGHT
                if failed
                else failure_tracker.SUCCESS_WEIGHT,
            )
            ends[node].append(now + rng.expovariate(1.0 / self.SERVICE_S))
        return {node: got[node] / sum(got.values()) for node in self.NODES}

    def test_one_that_loses_few_answers_still_does_its_part(self) -> None:
        assert self.play(0.03)["failing"] > 0.2

    def test_one_that_rejects_half_gets_less_than_the_others(self) -> None:
        shares = self.play(0.55)
        assert shares["failing"] < 0.6 * shares["a"]

    def test_one_that_fails_all_is_only_tried(self) -> None:
        assert 0.0 < self.play(1.0)["failing"] < 0.05
