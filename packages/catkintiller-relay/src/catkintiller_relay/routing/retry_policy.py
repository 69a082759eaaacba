"""Decides whether a request may be sent to a second endpoint."""

import enum

from .. import data
from . import call_graph, pending_request, retry_budget

MIN_LEFT_S = 0.05


class RetryDecision(enum.Enum):
    """Whether a request is sent once more, or what speaks against it."""

    ALLOWED = "allowed"
    NO_ATTEMPTS = "no_attempts"
    NO_TIME = "no_time"
    NO_BUDGET = "no_budget"


class RetryPolicy:
    """Budgets of this node for all services."""

    def __init__(self, settings: data.Settings, graph: call_graph.CallGraph) -> None:
        self._settings = settings
        self._graph = graph
        self._budgets: dict[str, retry_budget.RetryBudget] = {}
        self._top_rank = 0

    def set_config(self, config: data.Config) -> None:
        """Learns which rank is the most important one."""
        self._top_rank = min((route.rank for route in config.routes), default=0)

    def record_first_attempt(self, service: str, now: float) -> None:
        """Counts the first sending of a request."""
        self._get_budget(service).record_request(now)

    def get_remaining_retries(self, now: float) -> dict[str, float]:
        """Gets the repeats that may still be sent, by service."""
        return {
            name: own.get_remaining_retries(now) for name, own in self._budgets.items()
        }

    def decide_and_charge(
        self, waiting: pending_request.PendingRequest, now: float
    ) -> RetryDecision:
        """Decides on one more sending and pays for it, its calls included."""
        if waiting.sent + len(waiting.placed) >= waiting.attempts:
            return RetryDecision.NO_ATTEMPTS
        if waiting.expires_at - now <= MIN_LEFT_S:
            return RetryDecision.NO_TIME
        if not self._spend(waiting, now):
            return RetryDecision.NO_BUDGET
        return RetryDecision.ALLOWED

    def _spend(self, waiting: pending_request.PendingRequest, now: float) -> bool:
        costs = dict(self._graph.get_downstream_calls(waiting.route.name))
        costs[waiting.service] = costs.get(waiting.service, 0.0) + 1.0
        claim = self._get_claim(waiting)
        budgets = {name: self._get_budget(name) for name in costs}
        for name, cost in costs.items():
            if not budgets[name].allows_retry(now, cost, claim):
                return False
        for name, cost in costs.items():
            budgets[name].record_retry(now, cost)
        return True

    def _get_claim(
        self, waiting: pending_request.PendingRequest
    ) -> retry_budget.BudgetShare:
        if not waiting.call:
            return retry_budget.BudgetShare.CLIENT
        if waiting.rank <= self._top_rank:
            return retry_budget.BudgetShare.IMPORTANT_CALL
        return retry_budget.BudgetShare.CALL

    def _get_budget(self, service: str) -> retry_budget.RetryBudget:
        found = self._budgets.get(service)
        if found is None:
            settings = self._settings
            found = retry_budget.RetryBudget(
                settings.retry_ratio, settings.retry_window_s
            )
            self._budgets[service] = found
        return found
