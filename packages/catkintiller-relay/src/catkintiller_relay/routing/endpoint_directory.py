"""Directory of the endpoints that this node can send requests to."""

import random
from collections.abc import Collection

from .. import data
from ..membership import connections, frames, peer_set
from ..serving import local_endpoint
from . import (
    endpoint_selection,
    failure_tracker,
    load_shedder,
    occupancy,
    peer_demand,
    peer_occupancies,
)

LOCAL_NODE = ""
SAME_ZONE_ROUND_TRIP_S = 0.0005
OTHER_ZONE_ROUND_TRIP_S = 0.004
MAX_COUNTED_UTILIZATION = 1.5  # one endpoint with a queue is no overload of all
MIN_COUNTED_SLOTS = 0.01
MIN_OCCUPANCY_S = 1e-6
MAX_SAMPLE_COUNT = 4  # endpoints that are compared in this zone and in the others
MAX_REPORT_AGE_S = 1.2  # demand reported earlier may precede a burst

ConnectedPeers = Collection[connections.Peer] | None
Load = tuple[float, float]


class EndpointDirectory:
    """The local endpoint and the endpoints beside the peers.

    :param settings: settings of the process.
    :param endpoint: endpoint beside this node.
    :param peers: peers of this node.
    :ivar occupancy: occupancy of the endpoints by service.
    """

    def __init__(
        self,
        settings: data.Settings,
        endpoint: local_endpoint.LocalEndpoint,
        peers: peer_set.PeerSet,
    ) -> None:
        self._settings = settings
        self._local_endpoint = endpoint
        self._peers = peers
        self._failure_trackers: dict[str, failure_tracker.FailureTracker] = {}
        self._peer_demand = peer_demand.PeerDemand()
        self._peer_occupancies = peer_occupancies.PeerOccupancies()
        self.occupancy = occupancy.OccupancyTracker()

    def get_peer(self, address: str) -> connections.Peer | None:
        """Returns the peer at an address; None if there is none."""
        return self._peers.get_peer(address)

    def record_result(self, node: str, now: float, failure_weight: float) -> None:
        """Records the result of a request at an endpoint.

        :param node: address of the node beside the endpoint.
        :param failure_weight: 0 for a success, 1 for a failure of the endpoint itself.
        """
        tracker = self._failure_trackers.get(node)
        if tracker is None:
            if not failure_weight:
                return
            tracker = self._failure_trackers[node] = failure_tracker.FailureTracker()
        tracker.record(now, failure_weight)

    def remove_node(self, node: str) -> None:
        """Drops the failure ratio of a node that was removed."""
        self._failure_trackers.pop(node, None)

    def get_candidates(
        self,
        service: str,
        route: str,
        tried_nodes: set[str],
        now: float,
        rng: random.Random | None = None,
    ) -> list[endpoint_selection.Candidate]:
        """Returns the endpoints of a service that accept new requests.

        Endpoints beside a suspect node are returned only if there is no other.

        :param route: name of the route, whose own times are compared.
        :param tried_nodes: addresses of nodes to leave out.
        :param rng: draws a sample if there are many endpoints; None returns all.
        """
        candidates = []
        suspects = []
        if (
            service == self._settings.service
            and LOCAL_NODE not in tried_nodes
            and (self._local_endpoint.accepting or self._local_endpoint.lame_duck)
        ):
            queue = self._local_endpoint.queue
            candidates.append(
                endpoint_selection.Candidate(
                    LOCAL_NODE,
                    queue.load,
                    queue.usable_slots,
                    self._local_endpoint.service_times.get_own_s(now, route),
                    self._local_endpoint.lame_duck,
                    True,
                    0.0,
                    self._get_failure_ratio(LOCAL_NODE, now),
                    rate_limit=queue.rate_limit,
                    own_address=self._settings.inbound,
                )
            )
        zone = self._settings.zone
        trackers = self._failure_trackers
        for address, peer in self._get_usable_peers(service, tried_nodes, rng):
            state = peer.state
            same_zone = peer.zone == zone
            tracker = trackers.get(address)
            group = suspects if peer.is_suspect(now) else candidates
            group.append(
                endpoint_selection.Candidate(
                    address,
                    peer.load + peer.sent_since_report,
                    peer.usable_slots,
                    peer.own_times_s.get(route),
                    state.lame_duck,
                    same_zone,
                    SAME_ZONE_ROUND_TRIP_S if same_zone else OTHER_ZONE_ROUND_TRIP_S,
                    0.0 if tracker is None else tracker.get_ratio(now),
                    now - peer.load_known_at,
                    state.rate_limit,
                )
            )
        if candidates or rng is None or not suspects:
            return candidates or suspects
        # The sample may have missed the endpoints beside nodes that are not suspect.
        return self.get_candidates(service, route, tried_nodes, now)

    def _get_usable_peers(
        self, service: str, tried_nodes: set[str], rng: random.Random | None
    ) -> list[tuple[str, connections.Peer]]:
        """Returns the peers of a service that accept new requests, by address.

        :param rng: draws a sample of each of this zone and the other zones; None
            returns all.
        """
        usable = [
            (address, peer)
            for address, peer in self._peers.get_service_peers(service).items()
            if peer.takes_requests and address not in tried_nodes
        ]
        if rng is None or len(usable) <= 2 * MAX_SAMPLE_COUNT:
            return usable
        zone = self._settings.zone
        same_zone = [each for each in usable if each[1].zone == zone]
        other_zone = [each for each in usable if each[1].zone != zone]
        return [
            *rng.sample(same_zone, min(MAX_SAMPLE_COUNT, len(same_zone))),
            *rng.sample(other_zone, min(MAX_SAMPLE_COUNT, len(other_zone))),
        ]

    def can_spare_endpoint(self, service: str) -> bool:
        """Returns whether more than half of a service's endpoints accept requests.

        Then one of them may be lost to a request that may crash it.
        """
        states = [
            peer.accepting for peer in self._peers.get_service_peers(service).values()
        ]
        if service == self._settings.service:
            states.append(self._local_endpoint.accepting)
        return 2 * sum(states) > len(states)

    def has_healthy_endpoint(
        self, service: str, route: str, tried_nodes: set[str], now: float
    ) -> bool:
        """Returns whether a service has an untried endpoint that is not suspect."""
        for candidate in self.get_candidates(service, route, tried_nodes, now):
            peer = self._peers.get_peer(candidate.node)
            if peer is None or not peer.is_suspect(now):
                return True
        return False

    def _get_failure_ratio(self, node: str, now: float) -> float:
        tracker = self._failure_trackers.get(node)
        return 0.0 if tracker is None else tracker.get_ratio(now)

    def get_connected_peers(self) -> list[connections.Peer]:
        """Returns the peers that requests can be sent to."""
        return self._peers.get_connected_peers()

    def has_utilization_above(self, limit: float) -> bool:
        """Returns whether an endpoint's last known utilization is above a limit."""
        return self._local_endpoint.queue.utilization > limit or any(
            peer.utilization > limit for peer in self._peers.peers.values()
        )

    def sample_occupancy(self) -> None:
        """Adds a sample of the loads of all endpoints to the occupancy."""
        loads = [
            occupancy.EndpointLoad(
                peer.state.service,
                peer.load + peer.sent_since_report,
                peer.usable_slots,
            )
            for peer in self._peers.peers.values()
            if peer.takes_requests
        ]
        if self._local_endpoint.accepting:
            queue = self._local_endpoint.queue
            service = self._settings.service
            loads.append(
                occupancy.EndpointLoad(service, queue.load, queue.usable_slots)
            )
        self.occupancy.record_loads(loads)

    def get_loads(self, connected: ConnectedPeers = None) -> dict[str, Load]:
        """Returns the number of slots and the utilization by service.

        The slots of a service of which this node has only a subset of peers are
        extrapolated from these.

        :param connected: the connected peers; None to find them.
        """
        if connected is None:
            connected = self.get_connected_peers()
        totals: dict[str, Load] = {}
        ratios: dict[str, float] = {}
        for peer in connected:
            if not peer.is_endpoint_open:
                continue
            state = peer.state
            service = state.service
            if service in totals:
                total_slots, total_work = totals[service]
            else:
                total_slots = total_work = 0.0
                ratios[service] = self._peers.get_sampled_ratio(service)
            # Computed only for the few endpoints that have a rate limit.
            slots = state.concurrency_limit
            if state.rate_limit is not None:
                slots = peer.usable_slots
            if slots < MIN_COUNTED_SLOTS:
                slots = MIN_COUNTED_SLOTS
            slots *= ratios[service]
            utilization = peer.utilization
            if utilization > MAX_COUNTED_UTILIZATION:
                utilization = MAX_COUNTED_UTILIZATION
            totals[service] = (total_slots + slots, total_work + utilization * slots)
        if self._local_endpoint.accepting or self._local_endpoint.lame_duck:
            queue = self._local_endpoint.queue
            service = self._settings.service
            total_slots, total_work = totals.get(service, (0.0, 0.0))
            totals[service] = (
                total_slots + queue.usable_slots,
                total_work
                + min(MAX_COUNTED_UTILIZATION, queue.utilization) * queue.usable_slots,
            )
        return {
            name: (total_slots, total_work / max(MIN_COUNTED_SLOTS, total_slots))
            for name, (total_slots, total_work) in totals.items()
        }

    def get_highest_rank_utilizations(self) -> dict[str, float]:
        """Returns the utilization by requests of rank 0, by service.

        Services of which an endpoint's node does not report it are left out.
        """
        totals: dict[str, tuple[float, float]] = {}
        unknown = set()
        for peer in self._peers.peers.values():
            if not peer.takes_requests:
                continue
            if peer.highest_rank_utilization is None:
                unknown.add(peer.state.service)
                continue
            utilization = min(MAX_COUNTED_UTILIZATION, peer.highest_rank_utilization)
            _add_utilization(totals, peer.state.service, peer.usable_slots, utilization)
        if self._local_endpoint.accepting or self._local_endpoint.lame_duck:
            queue = self._local_endpoint.queue
            utilization = min(MAX_COUNTED_UTILIZATION, queue.highest_rank_utilization)
            _add_utilization(
                totals, self._settings.service, queue.usable_slots, utilization
            )
        return {
            name: work / max(MIN_COUNTED_SLOTS, slots)
            for name, (slots, work) in totals.items()
            if name not in unknown
        }

    def compute_occupancies_s(
        self, now: float, connected: ConnectedPeers = None
    ) -> dict[tuple[str, str], float]:
        """Computes for how many seconds a request holds a slot, by service and route.

        Endpoints that are faster run more requests, so it is the harmonic mean over the
        endpoints.

        :param now: time of the event loop, in seconds.
        :param connected: the connected peers; None to find them.
        """
        if connected is None:
            connected = self.get_connected_peers()
        states = [peer.state for peer in connected if peer.is_endpoint_open]
        rates = dict(self._peer_occupancies.get_rates(states))
        if self._local_endpoint.accepting:
            times = self._local_endpoint.service_times.iter_times(now)
            for route, _, occupancy_s in times:
                key = (self._settings.service, route)
                rate = rates.get(key, peer_occupancies.NO_RATE)
                rates[key] = rate.add(1.0 / max(MIN_OCCUPANCY_S, occupancy_s))
        return {key: rate.occupancy_s for key, rate in rates.items()}

    def estimate_peer_demand(
        self, now: float, connected: ConnectedPeers = None
    ) -> dict[str, load_shedder.Demand]:
        """Estimates the demand at all other nodes, by service.

        It is extrapolated from the peers that reported recently. Root requests arrive
        at nodes of all services alike, so these peers are a random sample.

        :param now: time of the event loop, in seconds.
        :param connected: the connected peers; None to find them.
        """
        if connected is None:
            connected = self.get_connected_peers()
        totals = self._peer_demand
        totals.update(
            {
                peer.address: peer.slot_demand
                for peer in connected
                if now - peer.reported_at <= MAX_REPORT_AGE_S
                and peer.handles_load_requests
            }
        )
        if not totals.report_count:
            return {}
        ratio = max(
            1.0, self._peers.estimate_live_count(connected) / totals.report_count
        )
        demand: dict[str, dict[int, float]] = {}
        for (service, rank), slots in totals.totals.items():
            sampled_slots = slots / frames.DEMAND_SCALE
            demand.setdefault(service, {})[rank] = sampled_slots * ratio
        return demand


def _add_utilization(
    totals: dict[str, tuple[float, float]],
    service: str,
    slots: float,
    utilization: float,
) -> None:
    total_slots, total_work = totals.get(service, (0.0, 0.0))
    totals[service] = (total_slots + slots, total_work + utilization * slots)
