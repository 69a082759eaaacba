"""Decides whether a request is retried.

A route limits the number of endpoints that a request may be sent to. An endpoint that
rejected a request did not run it, so the request may be sent there again. This serves a
service whose endpoints all reject a part of their requests: the budget is spent on as
many sends as a request needs, not on two for each.
"""

import enum

from .. import data
from . import call_graph, pending_request, retry_budget, retry_focus

MIN_REMAINING_S = 0.05
MAX_SEND_COUNT = 6


class RetryDecision(enum.Enum):
    """Whether a retry is allowed, or the reason why it is not."""

    ALLOWED = "allowed"
    NO_ATTEMPTS = "no_attempts"
    NO_TIME = "no_time"
    NO_BUDGET = "no_budget"


class NextStep(enum.Enum):
    """What follows an attempt without a response; values of a log key and a label."""

    RETRY = RetryDecision.ALLOWED.value
    NO_ATTEMPTS = RetryDecision.NO_ATTEMPTS.value
    NO_TIME = RetryDecision.NO_TIME.value
    NO_BUDGET = RetryDecision.NO_BUDGET.value
    REDISPATCH = "not_run_so_elsewhere"
    HANDOVER = "handed_over"
    WAIT = "runs_elsewhere_too"
    MAY_HAVE_RUN = "may_have_run"
    BLOCKED = "blocked"


class RetryPolicy:
    """Retry budgets of this node for all services."""

    def __init__(self, settings: data.Settings, graph: call_graph.CallGraph) -> None:
        self._settings = settings
        self._graph = graph
        self._budgets: dict[str, retry_budget.RetryBudget] = {}
        self._highest_rank = 0

    def set_config(self, config: data.Config) -> None:
        """Sets the highest rank, the lowest number, that a config gives requests."""
        ranks = [route.rank for route in config.routes]
        ranks += [each.rank for each in config.customers if each.rank is not None]
        self._highest_rank = min(ranks, default=0)

    def record_first_attempt(
        self, pending: pending_request.PendingRequest, now: float
    ) -> None:
        """Counts the first attempt of a request."""
        precedence = self._get_precedence(pending)
        self._get_budget(pending.service).record_first_attempt(now, precedence)

    def get_remaining_retries(self, now: float) -> dict[str, float]:
        """Returns the number of retries that are left in each service's budget."""
        return {
            name: budget.get_remaining_retries(now)
            for name, budget in self._budgets.items()
        }

    def decide_and_charge(
        self, pending: pending_request.PendingRequest, now: float
    ) -> RetryDecision:
        """Decides on a retry; charges it and its downstream calls if it is allowed."""
        decision = self._decide_and_charge(pending, now)
        if pending.parent is not None:
            if decision is RetryDecision.ALLOWED:
                pending.parent.has_retries = True
            elif not pending.outstanding:
                pending.parent.has_failed_call = True
        return decision

    def _decide_and_charge(
        self, pending: pending_request.PendingRequest, now: float
    ) -> RetryDecision:
        send_count = pending.endpoint_attempt_count + len(pending.outstanding)
        if pending.has_reached_all_endpoints and (
            not pending.rejecting_nodes or send_count >= MAX_SEND_COUNT
        ):
            return RetryDecision.NO_ATTEMPTS
        if pending.expires_at - now <= MIN_REMAINING_S:
            return RetryDecision.NO_TIME
        if not self._charge(pending, now):
            return RetryDecision.NO_BUDGET
        return RetryDecision.ALLOWED

    def _charge(self, pending: pending_request.PendingRequest, now: float) -> bool:
        """Charges a retry to the budgets of all services that it causes requests to.

        :returns: False, with nothing charged, if one of the budgets does not suffice.
        """
        costs = dict(self._graph.get_downstream_calls(pending.route.name))
        costs[pending.service] = costs.get(pending.service, 0.0) + 1.0
        precedence = self._get_precedence(pending)
        budgets = {name: self._get_budget(name) for name in costs}
        required_retries = self._compute_required_retries(pending)
        if not budgets[pending.service].allows_retry(now, required_retries, precedence):
            return False
        for name, cost in costs.items():
            if not budgets[name].allows_retry(now, cost, precedence):
                return False
        for name, cost in costs.items():
            budgets[name].record_retry(now, cost)
        return True

    def _compute_required_retries(
        self, pending: pending_request.PendingRequest
    ) -> float:
        parent, service = pending.parent, pending.service
        if parent is None:
            return 1.0
        expected_calls = self._graph.get_downstream_calls(parent.route)
        return retry_focus.compute_required_retries(
            parent, service, expected_calls.get(service, 0.0)
        )

    def _get_precedence(
        self, pending: pending_request.PendingRequest
    ) -> retry_budget.Precedence:
        if pending.rank <= self._highest_rank:
            return retry_budget.Precedence.HIGHEST_RANK
        if not pending.is_nested_call:
            return retry_budget.Precedence.ROOT_REQUEST
        return retry_budget.Precedence.NESTED_CALL

    def _get_budget(self, service: str) -> retry_budget.RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._settings
            budget = retry_budget.RetryBudget(
                settings.retry_ratio, settings.retry_window_s
            )
            self._budgets[service] = budget
        return budget
