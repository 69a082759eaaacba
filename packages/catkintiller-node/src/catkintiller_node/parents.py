"""The calls that run at the endpoint now, found by their identity.

An endpoint's outgoing call names the running call that it is made for, and takes
its rank, deadline and share of the retry budget from it. When that call has
ended, nobody waits for the outgoing one any more.
"""

from catkintiller import budget, data, rank


class Parent:
    """A call that runs at the endpoint and may make calls of its own.

    ``expires`` is on the loop's clock.
    """

    def __init__(self, request: data.CallRequest, expires: float) -> None:
        self.request = request
        self.expires = expires
        self.budget = budget.ChainBudget(request.context.retries)
        self.chain_level = rank.LOWEST


class Parents:
    """Registry of the running calls of one node."""

    def __init__(self) -> None:
        self._running: dict[str, Parent] = {}

    def add(self, request: data.CallRequest, expires: float) -> Parent:
        """Registers a call as running."""
        parent = self._running[request.call_id] = Parent(request, expires)
        return parent

    def remove(self, call_id: str) -> None:
        """Ends a call."""
        self._running.pop(call_id, None)

    def get(self, call_id: str) -> Parent | None:
        """Gets a running call."""
        return self._running.get(call_id)
