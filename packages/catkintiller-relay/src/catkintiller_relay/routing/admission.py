"""Admission control of root requests by the capacity of all services they need."""

from .. import data
from . import call_graph, endpoint_directory, load_shedder


class AdmissionController:
    """Decides which root requests that arrive at this node are admitted.

    :param endpoints: endpoints with their capacity and demand.
    :param graph: call graph of the routes.
    :ivar demand_keys: service and rank of each figure of :meth:`get_demand_per_s`; new
        ones are appended.
    """

    def __init__(
        self,
        endpoints: endpoint_directory.EndpointDirectory,
        graph: call_graph.CallGraph,
    ) -> None:
        self._endpoints = endpoints
        self._graph = graph
        self._shedders: dict[str, load_shedder.LoadShedder] = {}
        self.demand_keys: list[tuple[str, int]] = []

    def update(self, now: float, elapsed_s: float) -> None:
        """Updates the share of root requests that is admitted for each service.

        :param now: time of the event loop, in seconds.
        :param elapsed_s: time in seconds since the last update.
        """
        peer_demand = self._endpoints.estimate_peer_demand(now)
        self._extend_demand_keys()
        for service, (capacity, utilization) in self._endpoints.get_loads().items():
            shedder = self._get_shedder(service)
            shedder.update(
                elapsed_s, capacity, utilization, peer_demand.get(service, {})
            )

    def get_admitted_shares(self) -> dict[str, dict[int, float]]:
        """Returns the admitted shares by service and rank, where they are limited."""
        return {
            name: {
                rank: round(share, 2) for rank, share in shedder.admitted_shares.items()
            }
            for name, shedder in self._shedders.items()
            if shedder.admitted_shares
        }

    def get_demand_per_s(self) -> list[int]:
        """Returns the demand at this node per second, in the order of demand_keys."""
        return [
            round(self._shedders[service].demand.get(rank, 0.0))
            for service, rank in self.demand_keys
        ]

    def admit_request(self, route: data.Route, service: str) -> bool:
        """Counts a request as demand and decides whether it is admitted.

        :param service: service that the request itself is sent to.
        """
        required_calls = {service: 1.0}
        for name, calls in self._graph.get_downstream_calls(route.name).items():
            required_calls[name] = required_calls.get(name, 0.0) + calls
        admitted = True
        for name, calls in required_calls.items():
            if not self._get_shedder(name).admit_request(route.rank, calls):
                admitted = False
        return admitted

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
