"""Tests of the bound on repeats over all nodes."""

import random

from . import retry_budget

RATIO = 0.2
WINDOW_S = 10.0


class TestRetryBudget:
    """Repeats in a window."""

    def test_new_node_has_nothing(self) -> None:
        assert not retry_budget.RetryBudget(RATIO, WINDOW_S).allows_retry(
            5.0, 1.0, retry_budget.BudgetShare.ROOT_REQUEST
        )

    def test_sum_over_nodes_stays_below_the_ratio_in_every_window(self) -> None:
        rng = random.Random(1)
        nodes = [retry_budget.RetryBudget(RATIO, WINDOW_S) for _ in range(7)]
        firsts: list[float] = []
        repeats: list[float] = []
        now = 0.0
        for _ in range(30_000):
            now += rng.expovariate(800.0)
            node = rng.choice(nodes)
            if rng.random() < 0.001:
                nodes[rng.randrange(7)] = retry_budget.RetryBudget(RATIO, WINDOW_S)
            node.record_request(now)
            firsts.append(now)
            while (
                node.allows_retry(now, 1.0, retry_budget.BudgetShare.ROOT_REQUEST)
                and rng.random() < 0.9
            ):
                node.record_retry(now, 1.0)
                repeats.append(now)
        assert repeats
        for end in (5.0, 12.0, 20.0, 30.0, now):
            first = sum(end - WINDOW_S < at <= end for at in firsts)
            again = sum(end - WINDOW_S < at <= end for at in repeats)
            assert again <= RATIO * first

    def test_calls_leave_a_part_to_requests_of_clients(self) -> None:
        own = retry_budget.RetryBudget(RATIO, WINDOW_S)
        for _ in range(100):
            own.record_request(1.0)
        spent = 0
        while own.allows_retry(1.0, 1.0, retry_budget.BudgetShare.NESTED_CALL):
            own.record_retry(1.0, 1.0)
            spent += 1
        assert 0 < spent < RATIO * 100 * retry_budget.SAFETY_RATIO
        assert own.allows_retry(1.0, 1.0, retry_budget.BudgetShare.ROOT_REQUEST)

    def test_cost_of_calls_counts(self) -> None:
        own = retry_budget.RetryBudget(RATIO, WINDOW_S)
        for _ in range(100):
            own.record_request(1.0)
        assert not own.allows_retry(1.0, 18.0, retry_budget.BudgetShare.ROOT_REQUEST)
        assert own.allows_retry(1.0, 16.0, retry_budget.BudgetShare.ROOT_REQUEST)

    def test_what_was_earned_expires(self) -> None:
        own = retry_budget.RetryBudget(RATIO, WINDOW_S)
        for _ in range(100):
            own.record_request(1.0)
        assert not own.allows_retry(
            1.0 + 2 * WINDOW_S, 1.0, retry_budget.BudgetShare.ROOT_REQUEST
        )


class TestRejectingService:
    """Chains of calls to a service that rejects over half of what it gets.

    A fifth of the chains are important. Each call may be repeated once.
    """

    CALLS = 5
    CHAINS = 4000
    REJECTED = 0.55

    def play(self, important: retry_budget.BudgetShare) -> dict[bool, float]:
        """Gives the share of chains that are served, by whether they are important."""
        rng = random.Random(3)
        own = retry_budget.RetryBudget(RATIO, WINDOW_S)
        served = {True: 0, False: 0}
        for number in range(self.CHAINS):
            now = number * 0.004
            first = number % 5 == 0
            claim = important if first else retry_budget.BudgetShare.NESTED_CALL
            whole = all(self.call(own, now, claim, rng) for _ in range(self.CALLS))
            served[first] += whole
        return {
            True: served[True] / (self.CHAINS / 5),
            False: served[False] / (self.CHAINS * 4 / 5),
        }

    def call(
        self,
        own: retry_budget.RetryBudget,
        now: float,
        claim: retry_budget.BudgetShare,
        rng: random.Random,
    ) -> bool:
        own.record_request(now)
        if rng.random() >= self.REJECTED:
            return True
        if not own.allows_retry(now, 1.0, claim):
            return False
        own.record_retry(now, 1.0)
        return rng.random() >= self.REJECTED

    def test_important_chains_get_the_repeats(self) -> None:
        alike = self.play(retry_budget.BudgetShare.NESTED_CALL)
        ranked = self.play(retry_budget.BudgetShare.TOP_RANK_CALL)
        assert ranked[True] > 1.5 * alike[True]
        assert ranked[True] > 3 * ranked[False]
