"""Tests of the limit on retries over all nodes."""

import random

from . import retry_budget

RATIO = 0.2
WINDOW_S = 10.0


class TestRetryBudget:
    """Retries within the sliding window."""

    def test_new_node_allows_no_retry(self) -> None:
        assert not retry_budget.RetryBudget(RATIO, WINDOW_S).allows_retry(
            5.0, 1.0, retry_budget.Precedence.HIGHEST_RANK
        )

    def test_sum_over_nodes_stays_below_the_ratio_in_every_window(self) -> None:
        rng = random.Random(1)
        nodes = [retry_budget.RetryBudget(RATIO, WINDOW_S) for _ in range(7)]
        first_attempts: list[float] = []
        retries: list[float] = []
        now = 0.0
        for _ in range(30_000):
            now += rng.expovariate(800.0)
            node = rng.choice(nodes)
            if rng.random() < 0.001:
                nodes[rng.randrange(7)] = retry_budget.RetryBudget(RATIO, WINDOW_S)
            node.record_first_attempt(now, retry_budget.Precedence.ROOT_REQUEST)
            first_attempts.append(now)
            while (
                node.allows_retry(now, 1.0, retry_budget.Precedence.HIGHEST_RANK)
                and rng.random() < 0.9
            ):
                node.record_retry(now, 1.0)
                retries.append(now)
        assert retries
        for window_end in (5.0, 12.0, 20.0, 30.0, now):
            first_count = sum(
                window_end - WINDOW_S < sent_at <= window_end
                for sent_at in first_attempts
            )
            retry_count = sum(
                window_end - WINDOW_S < sent_at <= window_end for sent_at in retries
            )
            assert retry_count <= RATIO * first_count

    def test_nested_calls_leave_a_part_to_root_requests(self) -> None:
        budget = retry_budget.RetryBudget(RATIO, WINDOW_S)
        for _ in range(100):
            budget.record_first_attempt(1.0, retry_budget.Precedence.ROOT_REQUEST)
        charged = 0
        while budget.allows_retry(1.0, 1.0, retry_budget.Precedence.NESTED_CALL):
            budget.record_retry(1.0, 1.0)
            charged += 1
        assert 0 < charged < RATIO * 100 * retry_budget.SAFETY_RATIO
        assert budget.allows_retry(1.0, 1.0, retry_budget.Precedence.ROOT_REQUEST)

    def test_root_requests_leave_a_part_to_the_highest_rank(self) -> None:
        budget = retry_budget.RetryBudget(RATIO, WINDOW_S)
        for _ in range(100):
            budget.record_first_attempt(1.0, retry_budget.Precedence.HIGHEST_RANK)
        while budget.allows_retry(1.0, 1.0, retry_budget.Precedence.ROOT_REQUEST):
            budget.record_retry(1.0, 1.0)
        assert budget.allows_retry(1.0, 1.0, retry_budget.Precedence.HIGHEST_RANK)

    def test_lower_precedence_uses_what_nobody_precedes(self) -> None:
        # Otherwise the retries of a service with nested calls only are never used.
        budget = retry_budget.RetryBudget(RATIO, WINDOW_S)
        for number in range(100):
            precedence = retry_budget.Precedence.NESTED_CALL
            if number < 5:
                precedence = retry_budget.Precedence.HIGHEST_RANK
            budget.record_first_attempt(1.0, precedence)
        charged = 0
        while budget.allows_retry(1.0, 1.0, retry_budget.Precedence.NESTED_CALL):
            budget.record_retry(1.0, 1.0)
            charged += 1
        assert charged == 12
        for _ in range(5):
            assert budget.allows_retry(1.0, 1.0, retry_budget.Precedence.HIGHEST_RANK)
            budget.record_retry(1.0, 1.0)
        assert not budget.allows_retry(1.0, 1.0, retry_budget.Precedence.HIGHEST_RANK)

    def test_cost_of_nested_calls_is_charged(self) -> None:
        budget = retry_budget.RetryBudget(RATIO, WINDOW_S)
        for _ in range(100):
            budget.record_first_attempt(1.0, retry_budget.Precedence.HIGHEST_RANK)
        assert not budget.allows_retry(1.0, 18.0, retry_budget.Precedence.HIGHEST_RANK)
        assert budget.allows_retry(1.0, 16.0, retry_budget.Precedence.HIGHEST_RANK)

    def test_first_attempts_expire_with_the_window(self) -> None:
        budget = retry_budget.RetryBudget(RATIO, WINDOW_S)
        for _ in range(100):
            budget.record_first_attempt(1.0, retry_budget.Precedence.HIGHEST_RANK)
        assert not budget.allows_retry(
            1.0 + 2 * WINDOW_S, 1.0, retry_budget.Precedence.HIGHEST_RANK
        )


class TestRejectingService:
    """Root requests with nested calls to a service that rejects over half of them.

    A fifth of the root requests have the highest rank. Each call may be retried once.
    """

    CALLS_PER_REQUEST = 5
    ROOT_REQUEST_COUNT = 4000
    REJECTED_RATIO = 0.55

    def simulate(self, top_precedence: retry_budget.Precedence) -> dict[bool, float]:
        """Returns success ratios: True for the highest rank, False for the others."""
        rng = random.Random(3)
        budget = retry_budget.RetryBudget(RATIO, WINDOW_S)
        success_counts = {True: 0, False: 0}
        for number in range(self.ROOT_REQUEST_COUNT):
            now = number * 0.004
            is_top_rank = number % 5 == 0
            precedence = (
                top_precedence if is_top_rank else retry_budget.Precedence.NESTED_CALL
            )
            all_succeeded = all(
                self.send_call(budget, now, precedence, rng)
                for _ in range(self.CALLS_PER_REQUEST)
            )
            success_counts[is_top_rank] += all_succeeded
        return {
            True: success_counts[True] / (self.ROOT_REQUEST_COUNT / 5),
            False: success_counts[False] / (self.ROOT_REQUEST_COUNT * 4 / 5),
        }

    def send_call(
        self,
        budget: retry_budget.RetryBudget,
        now: float,
        precedence: retry_budget.Precedence,
        rng: random.Random,
    ) -> bool:
        budget.record_first_attempt(now, precedence)
        if rng.random() >= self.REJECTED_RATIO:
            return True
        if not budget.allows_retry(now, 1.0, precedence):
            return False
        budget.record_retry(now, 1.0)
        return rng.random() >= self.REJECTED_RATIO

    def test_highest_rank_gets_the_retries(self) -> None:
        equal = self.simulate(retry_budget.Precedence.NESTED_CALL)
        ranked = self.simulate(retry_budget.Precedence.HIGHEST_RANK)
        assert ranked[True] > 1.5 * equal[True]
        assert ranked[True] > 3 * ranked[False]
