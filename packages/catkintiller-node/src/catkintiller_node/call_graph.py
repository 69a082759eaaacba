"""What a kind of request needs further down its chain.

The node beside an endpoint sees which services each kind of request calls, and
what the nodes that serve those say they admit. A request whose calls would be
refused down there is refused before it costs work here, and the answer tells the
node above the same, hop by hop up to the node of arrival.
"""

from catkintiller import balance, membership, rank

CALL_RETENTION_S = 60.0
LEVEL_MAX_AGE_S = 0.01
MARGIN_RANKS = 2


class _Need:
    """The calls that one kind of request makes, and the level that follows."""

    def __init__(self) -> None:
        self.calls: dict[tuple[str, str], float] = {}
        self.level = rank.LOWEST
        self.computed = 0.0


class CallGraph:
    """Learns what requests call, and computes the rank that gets through.

    :param members: membership of the deployment.
    :param balancer: what this node knows of serving nodes.
    """

    def __init__(
        self, members: membership.Membership, balancer: balance.Balancer
    ) -> None:
        self._members = members
        self._balancer = balancer
        self._needs: dict[str, _Need] = {}

    def record_call(self, now: float, kind: str, service: str, child_kind: str) -> None:
        """Notes that a request of ``kind`` called another service."""
        need = self._needs.setdefault(kind, _Need())
        need.calls[service, child_kind] = now

    def get_downstream_level(self, now: float, kind: str) -> int:
        """Gets the lowest rank of ``kind`` whose own calls are admitted."""
        need = self._needs.get(kind)
        if need is None:
            return rank.LOWEST
        if now - need.computed > LEVEL_MAX_AGE_S:
            need.calls = {
                c: at for c, at in need.calls.items() if now - at < CALL_RETENTION_S
            }
            levels = [self._get_service_level(now, *call) for call in need.calls]
            need.level = max(levels, default=rank.LOWEST)
            need.computed = now
        return need.level

    def _get_service_level(self, now: float, service: str, kind: str) -> int:
        members = self._members.get_serving(service)
        levels = (self._balancer.get_level(now, m, kind) for m in members)
        level = min(levels, default=rank.LOWEST)
        if level == rank.LOWEST:
            return level
        # A call of the request is one deeper and so ranks one step higher. The
        # margin covers a level that rises while the request works here.
        return max(rank.LOWEST, level - rank.BUCKETS + MARGIN_RANKS)
