"""Registry of the calls that run at the endpoint, by call ID.

A nested call carries the ID of the running call that it is made for, and inherits
its rank, deadline and a share of its retry budget. A nested call of a call that has
ended is of no use, since nothing waits for its response.
"""

from catkintiller import admission, budget, data


class RunningCall:
    """A call that runs at the endpoint and may make nested calls.

    All times are in seconds on the monotonic clock.
    """

    def __init__(
        self,
        request: data.CallRequest,
        expires_at: float,
        endpoint_admission: admission.AdmissionController,
    ) -> None:
        self.request = request
        self.expires_at = expires_at
        self.budget = budget.RetryBudget(request.context.retries)
        self._admission = endpoint_admission
        self._nested_count = 0
        self._nested_started_at = 0.0
        self._nested_call_s = 0.0
        self._ended = False

    @property
    def nested_call_s(self) -> float:
        """Seconds during which at least one nested call was running."""
        return self._nested_call_s

    def begin_nested_call(self, now: float) -> None:
        """Records the start of a nested call."""
        self._nested_count += 1
        if self._nested_count == 1 and not self._ended:
            self._nested_started_at = now
            self._admission.begin_nested_call(now)

    def end_nested_call(self, now: float) -> None:
        """Records the end of a nested call."""
        self._nested_count -= 1
        if self._nested_count == 0 and not self._ended:
            self._nested_call_s += now - self._nested_started_at
            self._admission.end_nested_call()

    def end(self, now: float) -> None:
        """Records the end of the call itself, even if nested calls still run."""
        if self._nested_count and not self._ended:
            self._nested_call_s += now - self._nested_started_at
            self._admission.end_nested_call()
        self._ended = True


class RunningCallRegistry:
    """The running calls of one node, by call ID."""

    def __init__(self) -> None:
        self._calls: dict[str, RunningCall] = {}

    def add(self, call: RunningCall) -> None:
        """Registers a call as running."""
        self._calls[call.request.call_id] = call

    def remove(self, call: RunningCall, now: float) -> None:
        """Ends a call and removes it."""
        call.end(now)
        self._calls.pop(call.request.call_id, None)

    def get(self, call_id: str) -> RunningCall | None:
        """Returns a running call, ``None`` if it has ended or is unknown."""
        return self._calls.get(call_id)
