"""The calls that run at the endpoint now, found by their identity.

An endpoint's outgoing call names the running call that it is made for, and takes
its rank, deadline and share of the retry budget from it. When that call has
ended, nobody waits for the outgoing one any more.
"""

from catkintiller import admission, budget, data


class RunningCall:
    """A call that runs at the endpoint and may make calls of its own.

    ``expires`` is on the loop's clock, and so are all times.
    """

    def __init__(
        self, request: data.CallRequest, expires_at: float, gate: admission.Admission
    ) -> None:
        self.request = request
        self.expires_at = expires_at
        self.budget = budget.ChainBudget(request.context.retries)
        self._gate = gate
        self._children = 0
        self._since = 0.0
        self._calling_s = 0.0
        self._ended = False

    @property
    def nested_call_s(self) -> float:
        """Time in which at least one own call was running."""
        return self._calling_s

    def begin_nested_call(self, now: float) -> None:
        """Notes that an own call begins."""
        self._children += 1
        if self._children == 1 and not self._ended:
            self._since = now
            self._gate.begin_call(now)

    def end_nested_call(self, now: float) -> None:
        """Notes that an own call ended."""
        self._children -= 1
        if self._children == 0 and not self._ended:
            self._calling_s += now - self._since
            self._gate.end_call()

    def end(self, now: float) -> None:
        """Notes that the call itself ended, whatever its own calls do."""
        if self._children and not self._ended:
            self._calling_s += now - self._since
            self._gate.end_call()
        self._ended = True


class RunningCallRegistry:
    """Registry of the running calls of one node."""

    def __init__(self) -> None:
        self._running: dict[str, RunningCall] = {}

    def add(self, parent: RunningCall) -> None:
        """Registers a call as running."""
        self._running[parent.request.call_id] = parent

    def remove(self, parent: RunningCall, now: float) -> None:
        """Ends a call."""
        parent.end(now)
        self._running.pop(parent.request.call_id, None)

    def get(self, call_id: str) -> RunningCall | None:
        """Gets a running call."""
        return self._running.get(call_id)
