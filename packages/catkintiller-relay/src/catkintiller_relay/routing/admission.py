"""Admission control of root requests by the capacity of all services they need."""

from .. import data
from . import call_graph, endpoint_directory, load_shedder

DEFAULT_OCCUPANCY_S = 0.03  # until the first request of a route was answered


class AdmissionController:
    """Decides which root requests that arrive at this node are admitted.

    :param endpoints: endpoints with their capacity and demand.
    :param graph: call graph of the routes.
    :ivar demand_keys: service and rank of each figure of :meth:`get_demand`; new ones
        are appended.
    """

    def __init__(
        self,
        endpoints: endpoint_directory.EndpointDirectory,
        graph: call_graph.CallGraph,
    ) -> None:
        self._endpoints = endpoints
        self._graph = graph
        self._shedders: dict[str, load_shedder.LoadShedder] = {}
        self._occupancies_s: dict[tuple[str, str], float] = {}
        self._required_slots: dict[tuple[str, str], dict[str, float]] = {}
        self.demand_keys: list[tuple[str, int]] = []

    def update(self, now: float, elapsed_s: float) -> None:
        """Updates the share of root requests that is admitted for each service.

        :param now: time of the event loop, in seconds.
        :param elapsed_s: time in seconds since the last update.
        """
        peer_demand = self._endpoints.estimate_peer_demand(now)
        self._occupancies_s = self._endpoints.compute_occupancies_s(now)
        self._required_slots.clear()
        self._extend_demand_keys()
        for service, (slots, utilization) in self._endpoints.get_loads().items():
            shedder = self._get_shedder(service)
            shedder.update(elapsed_s, slots, utilization, peer_demand.get(service, {}))

    def get_admitted_shares(self) -> dict[str, dict[int, float]]:
        """Returns the admitted shares by service and rank, where they are limited."""
        return {
            name: {
                rank: round(share, 2) for rank, share in shedder.admitted_shares.items()
            }
            for name, shedder in self._shedders.items()
            if shedder.admitted_shares
        }

    def get_demand(self) -> list[float]:
        """Returns the demand at this node in slots, in the order of demand_keys."""
        return [
            self._shedders[service].demand.get(rank, 0.0)
            for service, rank in self.demand_keys
        ]

    def admit_request(self, route: data.Route, service: str, rank: int) -> bool:
        """Counts a request as demand and decides whether it is admitted.

        :param service: service that the request itself is sent to.
        :param rank: importance of the request; 0 is the highest.
        """
        required = self._get_required_slots(route.name, service)
        for name in required:
            self._get_shedder(name)
        return load_shedder.admit_request(self._shedders, rank, required)

    def withdraw_request(self, route: data.Route, service: str, rank: int) -> None:
        """Takes back the place of an admitted request that is not sent."""
        required = self._get_required_slots(route.name, service)
        for name in required:
            self._get_shedder(name)
        load_shedder.withdraw_request(self._shedders, rank, required)

    def _get_required_slots(self, route: str, service: str) -> dict[str, float]:
        """Returns the slot-seconds that a request needs, by service."""
        required = self._required_slots.get((route, service))
        if required is None:
            required = {service: self._get_occupancy_s(service, route)}
            downstream = self._graph.get_downstream_routes(route)
            for (name, callee), calls in downstream.items():
                slot_s = calls * self._get_occupancy_s(name, callee)
                required[name] = required.get(name, 0.0) + slot_s
            self._required_slots[route, service] = required
        return required

    def _get_occupancy_s(self, service: str, route: str) -> float:
        return self._occupancies_s.get((service, route), DEFAULT_OCCUPANCY_S)

    def _extend_demand_keys(self) -> None:
        for service, shedder in self._shedders.items():
            for rank in shedder.demand:
                if (service, rank) not in self.demand_keys:
                    self.demand_keys.append((service, rank))

    def _get_shedder(self, service: str) -> load_shedder.LoadShedder:
        shedder = self._shedders.get(service)
        if shedder is None:
            shedder = self._shedders[service] = load_shedder.LoadShedder()
        return shedder
