"""The endpoints that a request can be sent to, as this node sees them."""

from .. import data
from ..membership import connections
from ..serving import local
from . import failures, placement, shedding

LOCAL = ""
SAME_ZONE_S = 0.0005
OTHER_ZONE_S = 0.004


class Places:
    """The endpoint beside this node and those beside its peers.

    :param peers: other nodes by address; kept by the node.
    """

    def __init__(
        self,
        settings: data.Settings,
        server: local.LocalServer,
        peers: dict[str, connections.Peer],
    ) -> None:
        self._settings = settings
        self._local = server
        self._peers = peers
        self._failures: dict[str, failures.FailureShare] = {}

    def get_peer(self, address: str) -> connections.Peer | None:
        """Gets the node at an address."""
        return self._peers.get(address)

    def note_result(self, node: str, now: float, failed: float) -> None:
        """Notes how a request ended at an endpoint.

        :param failed: 0 for a success, 1 for a failure that the endpoint caused.
        """
        found = self._failures.get(node)
        if found is None:
            if not failed:
                return
            found = self._failures[node] = failures.FailureShare()
        found.note(now, failed)

    def forget(self, node: str) -> None:
        """Drops what is known of a node that is gone."""
        self._failures.pop(node, None)

    def get_candidates(
        self, service: str, tried: set[str], now: float
    ) -> list[placement.Candidate]:
        """Gets the endpoints of a service that take new requests.

        Those beside a node that has been silent are given only if there is no other.

        :param tried: addresses that are left out.
        """
        found = []
        suspect = []
        if (
            service == self._settings.service
            and LOCAL not in tried
            and (self._local.accepting or self._local.lingering)
        ):
            queue = self._local.queue
            found.append(
                placement.Candidate(
                    LOCAL,
                    queue.load,
                    queue.limit,
                    queue.service_s,
                    self._local.lingering,
                    True,
                    0.0,
                    self._get_failures(LOCAL, now),
                )
            )
        zone = self._settings.zone
        for address, peer in self._peers.items():
            state = peer.state
            if (
                state is None
                or state.service != service
                or not (peer.accepting or peer.lame_duck)
                or address in tried
            ):
                continue
            near = peer.zone == zone
            group = suspect if peer.is_suspect(now) else found
            group.append(
                placement.Candidate(
                    address,
                    peer.load + peer.sent_since_report,
                    state.limit,
                    peer.service_s,
                    peer.lame_duck,
                    near,
                    SAME_ZONE_S if near else OTHER_ZONE_S,
                    self._get_failures(address, now),
                )
            )
        return found or suspect

    def has_sound(self, service: str, tried: set[str], now: float) -> bool:
        """Tells whether a service has another endpoint that is not suspect."""
        for candidate in self.get_candidates(service, tried, now):
            peer = self._peers.get(candidate.node)
            if peer is None or not peer.is_suspect(now):
                return True
        return False

    def _get_failures(self, node: str, now: float) -> float:
        found = self._failures.get(node)
        return 0.0 if found is None else found.get(now)

    def get_capacities(self) -> dict[str, tuple[float, float]]:
        """Gets requests a second and present use by service."""
        sums: dict[str, tuple[float, float]] = {}
        if self._local.accepting or self._local.lingering:
            queue = self._local.queue
            capacity = queue.capacity
            sums[self._settings.service] = (capacity, queue.use * capacity)
        for peer in self._peers.values():
            state = peer.state
            if state is None or not (peer.accepting or peer.lame_duck):
                continue
            capacity = max(1.0, peer.capacity)
            total, work = sums.get(state.service, (0.0, 0.0))
            sums[state.service] = (total + capacity, work + peer.utilization * capacity)
        return {name: (total, work / total) for name, (total, work) in sums.items()}

    def get_demands(self) -> dict[str, list[shedding.Demand]]:
        """Gets the work demanded at the other nodes, by service."""
        told: dict[str, list[shedding.Demand]] = {}
        for peer in self._peers.values():
            if peer.state is None or not peer.connected:
                continue
            for service, demand in peer.demand.items():
                told.setdefault(service, []).append(demand)
        return told
