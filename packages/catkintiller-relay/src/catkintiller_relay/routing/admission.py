"""Admits fresh work by what its whole chain needs."""

from .. import data
from . import call_graph, endpoint_directory, load_shedder


class AdmissionController:
    """Decides on the fresh requests that arrive at this node."""

    def __init__(
        self, found: endpoint_directory.EndpointDirectory, graph: call_graph.CallGraph
    ) -> None:
        self._places = found
        self._graph = graph
        self._shedders: dict[str, load_shedder.LoadShedder] = {}
        self.demand_keys: list[tuple[str, int]] = []

    def update(self, passed_s: float) -> None:
        """Computes anew how much fresh work is admitted for each service."""
        told = self._places.get_peer_demands()
        self._extend_demand_keys()
        for service, (capacity, use) in self._places.get_loads().items():
            shedder = self._get_shedder(service)
            shedder.update(passed_s, capacity, use, told.get(service, ()))

    def get_admitted_shares(self) -> dict[str, dict[int, float]]:
        """Gets the admitted shares by service and rank, where they are limited."""
        return {
            name: {rank: round(share, 2) for rank, share in shedder.admitted.items()}
            for name, shedder in self._shedders.items()
            if shedder.admitted
        }

    def get_demand_per_s(self) -> list[int]:
        """Gets the work a second demanded at this node, in the order of the series."""
        return [
            round(self._shedders[service].demand.get(rank, 0.0))
            for service, rank in self.demand_keys
        ]

    def admit_request(self, route: data.Route, service: str) -> bool:
        """Counts a request as demand and decides whether it is admitted.

        :param service: service that it goes to first.
        """
        needs = {service: 1.0}
        for needed, calls in self._graph.get_downstream_calls(route.name).items():
            needs[needed] = needs.get(needed, 0.0) + calls
        admitted = True
        for needed, calls in needs.items():
            if not self._get_shedder(needed).admit_request(route.rank, calls):
                admitted = False
        return admitted

    def _extend_demand_keys(self) -> None:
        for service, shedder in self._shedders.items():
            for rank in shedder.demand:
                if (service, rank) not in self.demand_keys:
                    self.demand_keys.append((service, rank))

    def _get_shedder(self, service: str) -> load_shedder.LoadShedder:
        found = self._shedders.get(service)
        if found is None:
            found = self._shedders[service] = load_shedder.LoadShedder()
        return found
