"""Tests that retries complete requests instead of being spread over all of them."""

import heapq
import itertools
import math
import random

from . import call_graph, retry_budget, retry_focus

CALL_COUNT = 8
REJECTED_RATIO = 0.55
CALL_S = 0.05
MAX_SEND_COUNT = 6
RATE_PER_S = 10.0
ROUTE = ("find", "bays")


def build_request() -> call_graph.RunningRequest:
    """Builds a running request."""
    return call_graph.RunningRequest(1, "lookup", 1, b"r1", 1.0, "")


class TestRequiredRetries:
    """Budget that must be left for a retry."""

    def test_first_retry_needs_enough_for_all_calls(self) -> None:
        request = build_request()
        request.begin_call(0.0)
        request.calls[ROUTE] = 1
        required = retry_focus.compute_required_retries(request, "bays", 8.0)
        assert required == 8 * retry_focus.REQUIRED_RETRIES_PER_CALL

    def test_calls_that_have_ended_need_none(self) -> None:
        request = build_request()
        request.begin_call(0.0)
        request.calls[ROUTE] = 7
        required = retry_focus.compute_required_retries(request, "bays", 8.0)
        assert required == 2 * retry_focus.REQUIRED_RETRIES_PER_CALL

    def test_further_retries_need_themselves(self) -> None:
        """A request on which retries were spent is completed before new ones."""
        request = build_request()
        request.has_retries = True
        assert retry_focus.compute_required_retries(request, "bays", 8.0) == 1.0

    def test_failed_request_gets_no_further_retries(self) -> None:
        """It cannot be completed, and others can."""
        request = build_request()
        request.has_retries = request.has_failed_call = True
        required = retry_focus.compute_required_retries(request, "bays", 8.0)
        assert math.isinf(required)

    def test_single_calls_and_unknown_parents(self) -> None:
        request = build_request()
        request.begin_call(0.0)
        request.calls[ROUTE] = 1
        assert retry_focus.compute_required_retries(request, "bays", 1.0) == 1.0
        assert retry_focus.compute_required_retries(None, "bays", 8.0) == 1.0


class RejectingService:
    """Requests at one node that make their calls at once, to a service that rejects."""

    def __init__(self, *, focuses: bool) -> None:
        self._focuses = focuses
        self._rng = random.Random(1)
        self._budget = retry_budget.RetryBudget(0.2, 10.0)
        self._events: list[tuple] = []
        self._numbers = itertools.count()
        self._remaining: dict[call_graph.RunningRequest, int] = {}
        self.request_count = 0
        self.completed_count = 0
        self.retry_count = 0
        self.first_count = 0

    def run(self, duration_s: float) -> None:
        """Runs for a time."""
        now = 0.0
        next_arrival_at = 0.0
        while now < duration_s:
            if not self._events or next_arrival_at < self._events[0][0]:
                now = next_arrival_at
                next_arrival_at += self._rng.expovariate(RATE_PER_S)
                self._arrive(now)
                continue
            now, _, request, send_count = heapq.heappop(self._events)
            self._handle_reply(now, request, send_count)

    def _arrive(self, now: float) -> None:
        self.request_count += 1
        request = build_request()
        request.calls[ROUTE] = CALL_COUNT
        self._remaining[request] = CALL_COUNT
        for _ in range(CALL_COUNT):
            request.begin_call(now)
            self.first_count += 1
            self._budget.record_first_attempt(now, retry_budget.Precedence.NESTED_CALL)
            self._send(now, request, 1)

    def _send(
        self, now: float, request: call_graph.RunningRequest, send_count: int
    ) -> None:
        event = (now + CALL_S, next(self._numbers), request, send_count)
        heapq.heappush(self._events, event)

    def _handle_reply(
        self, now: float, request: call_graph.RunningRequest, send_count: int
    ) -> None:
        if self._rng.random() >= REJECTED_RATIO:
            request.end_call(now)
            self._remaining[request] -= 1
            self.completed_count += not self._remaining[request]
            return
        required = 1.0
        if self._focuses:
            required = retry_focus.compute_required_retries(request, "bays", CALL_COUNT)
        is_allowed = send_count < MAX_SEND_COUNT and self._budget.allows_retry(
            now, required, retry_budget.Precedence.NESTED_CALL
        )
        if not is_allowed:
            request.has_failed_call = True
            request.end_call(now)
            return
        request.has_retries = True
        self.retry_count += 1
        self._budget.record_retry(now, 1.0)
        self._send(now, request, send_count + 1)


class TestRejectingService:
    """A service rejects 55 in 100; each request makes eight calls there."""

    def test_more_requests_are_completed_with_the_same_budget(self) -> None:
        """Retries that are spread over all requests complete hardly any of them."""
        focused = RejectingService(focuses=True)
        spread = RejectingService(focuses=False)
        for each in (focused, spread):
            each.run(120.0)
            assert each.retry_count <= 0.2 * each.first_count
        assert focused.completed_count > 3 * spread.completed_count
