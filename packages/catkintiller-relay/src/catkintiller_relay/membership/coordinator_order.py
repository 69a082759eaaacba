"""The members in the order in which they are candidates for the quotas' coordinator.

All nodes agree on the order. Each keeps connections to the first two members that it
can reach, and to those before them, so that it notices when they return. Members that
have stopped, or could not be reached for a long time, are not counted until they are
connected again, although the store still lists them.
"""

import bisect
from collections.abc import Collection, Mapping

from . import config_role, connections

PINNED_COUNT = 2
MAX_WALK_COUNT = 16


class CoordinatorOrder:
    """All members by their fixed random order.

    :ivar enabled: whether connections to the first members are kept.
    :ivar coordinator: address of the coordinator that this node follows; empty without
        one. The connection to it is kept, too.
    """

    def __init__(self, own_address: str) -> None:
        self._own_address = own_address
        self._own_position = config_role.get_position(own_address)
        self._members: list[tuple[bytes, str]] = []
        self._absent: set[str] = set()
        self._known_peers: list[str] = []
        self._sorted_addresses = [own_address]
        self.enabled = False
        self.coordinator = ""

    @property
    def member_count(self) -> int:
        """Number of members that are not known to be gone, this node included."""
        gone_count = sum(address in self for address in self._absent)
        return 1 + len(self._members) - gone_count

    @property
    def has_absent(self) -> bool:
        """Whether members are not counted because they are known to be gone."""
        return bool(self._absent)

    def __contains__(self, address: str) -> bool:
        entry = (config_role.get_position(address), address)
        index = bisect.bisect_left(self._members, entry)
        return index < len(self._members) and self._members[index] == entry

    def add(self, address: str) -> None:
        """Adds a member."""
        if address not in self:
            bisect.insort(self._members, (config_role.get_position(address), address))

    def remove(self, address: str) -> None:
        """Removes a member that could not be reached for a long time."""
        entry = (config_role.get_position(address), address)
        if address in self:
            del self._members[bisect.bisect_left(self._members, entry)]
        self._absent.add(address)

    def update_presence(self, peer: connections.Peer) -> None:
        """Counts a peer while it is connected, and until then if it has not stopped."""
        if peer.unreachable_since is None:
            if peer.address in self._absent and peer.connected:
                self._absent.discard(peer.address)
        elif peer.announced_stop:
            self._absent.add(peer.address)

    def get_candidates(self, now: float, peers: Mapping[str, connections.Peer]) -> list:
        """Returns the addresses of the responsive peers and of this node, in order.

        :param now: time of the event loop, in seconds.
        """
        known = list(peers)
        if known != self._known_peers:
            self._known_peers = known
            self._sorted_addresses = sorted(
                [*known, self._own_address],
                key=lambda address: (config_role.get_position(address), address),
            )
        return [
            address
            for address in self._sorted_addresses
            if address == self._own_address or _can_coordinate(peers[address], now)
        ]

    def get_pinned(
        self, peers: Mapping[str, connections.Peer], unreachable: Collection[str]
    ) -> set[str]:
        """Returns the addresses of the members whose connections are kept."""
        if not self.enabled:
            return set()
        pinned = {self.coordinator} if self.coordinator in self else set()
        reachable_count = 0
        for _, address in self._members[:MAX_WALK_COUNT]:
            pinned.add(address)
            peer = peers.get(address)
            is_older = peer is not None and peer.state and not peer.handles_quotas
            reachable_count += address not in unreachable and not is_older
            if reachable_count == PINNED_COUNT:
                break
        return pinned


def _can_coordinate(peer: connections.Peer, now: float) -> bool:
    return peer.connected and peer.handles_quotas and not peer.is_suspect(now)
