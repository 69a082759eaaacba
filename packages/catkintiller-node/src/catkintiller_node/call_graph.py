"""The call graph below an endpoint, and the admission level that follows from it.

The node beside an endpoint observes which services each kind of request calls,
and receives the admission levels of the nodes that serve them. A request whose
nested calls would be refused is refused before it costs work here. The response
carries the level to the calling node, and so hop by hop to the node of arrival.
"""

from catkintiller import load_balancer, membership, rank

# Time after which a call that is no longer made is removed from the graph.
CALL_RETENTION_S = 60.0
# Age at which a computed level is computed again.
LEVEL_MAX_AGE_S = 0.01
LEVEL_MARGIN_RANKS = 2


class _KindCalls:
    """The nested calls of one kind of request, and the level they require.

    ``called_at`` holds the time of the last call by service and kind.
    """

    def __init__(self) -> None:
        self.called_at: dict[tuple[str, str], float] = {}
        self.level = rank.LOWEST
        self.computed_at = 0.0


class CallGraph:
    """Records nested calls and computes the admission level that they require.

    :param members: membership of the deployment.
    :param balancer: load of the serving nodes, as seen from this node.
    """

    def __init__(
        self, members: membership.Membership, balancer: load_balancer.Balancer
    ) -> None:
        self._members = members
        self._balancer = balancer
        self._kinds: dict[str, _KindCalls] = {}

    def record_call(
        self, now: float, kind: str, service: str, called_kind: str
    ) -> None:
        """Records that a request of ``kind`` called another service."""
        entry = self._kinds.setdefault(kind, _KindCalls())
        entry.called_at[service, called_kind] = now

    def get_downstream_level(self, now: float, kind: str) -> int:
        """Returns the lowest rank of ``kind`` whose nested calls are admitted."""
        entry = self._kinds.get(kind)
        if entry is None:
            return rank.LOWEST
        if now - entry.computed_at > LEVEL_MAX_AGE_S:
            entry.called_at = {
                c: at
                for c, at in entry.called_at.items()
                if now - at < CALL_RETENTION_S
            }
            levels = [self._get_called_level(now, *call) for call in entry.called_at]
            entry.level = max(levels, default=rank.LOWEST)
            entry.computed_at = now
        return entry.level

    def _get_called_level(self, now: float, service: str, kind: str) -> int:
        members = self._members.get_accepting_members(service)
        levels = (self._balancer.get_level(now, m, kind) for m in members)
        level = min(levels, default=rank.LOWEST)
        if level == rank.LOWEST:
            return level
        # A nested call is one step deeper, so its rank is one depth step higher.
        # The margin covers a level that rises while the request runs here.
        return max(rank.LOWEST, level - rank.BUCKET_COUNT + LEVEL_MARGIN_RANKS)
