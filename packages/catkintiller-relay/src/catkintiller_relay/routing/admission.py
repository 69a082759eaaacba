"""Admission control of root requests by the capacity of all services they need."""

import random
from collections.abc import Hashable

from .. import data
from ..shares import demand_table, reservations, share_refusal
from . import call_graph, endpoint_directory, load_shedder

DEFAULT_OCCUPANCY_S = 0.03  # until the first request of a route was answered
MIN_SLOT_S = 0.0001
SHOWN_CUSTOMER_COUNT = 5  # on log lines and in metrics


class AdmissionController:
    """Decides which root requests that arrive at this node are admitted.

    :param endpoints: endpoints with their capacity and demand.
    :param graph: call graph of the routes.
    :param rng: source of the jitter.
    :ivar customer_demand: demand by customer where it is limited.
    :ivar has_customers: whether the config in force has customers.
    :ivar demand_keys: service and rank of each figure of :meth:`get_demand`; new ones
        are appended.
    """

    def __init__(
        self,
        endpoints: endpoint_directory.EndpointDirectory,
        graph: call_graph.CallGraph,
        rng: random.Random | None = None,
    ) -> None:
        self._rng = rng or random.Random()
        self._endpoints = endpoints
        self._graph = graph
        self._shedders: dict[str, load_shedder.LoadShedder] = {}
        self._occupancies_s: dict[tuple[str, str], float] = {}
        self._required_slots: dict[tuple[str, str], dict[str, float]] = {}
        self._known_demand_keys: set[tuple[str, int]] = set()
        self._loaded_services: list[str] = []
        self._reservations = reservations.ReservationBook(self._rng)
        self.customer_demand = demand_table.DemandTable()
        self.has_customers = False
        self.demand_keys: list[tuple[str, int]] = []

    @property
    def has_reservations(self) -> bool:
        """Whether refused requests have been given a time to return."""
        return not self._reservations.is_empty

    @property
    def is_quiet(self) -> bool:
        """Whether the next update may wait.

        No service with endpoints is near a limit, nobody is to return, and no endpoint
        is overloaded by its last known utilization.
        """
        return (
            bool(self._loaded_services)
            and self._reservations.is_empty
            and all(self._shedders[name].is_quiet for name in self._loaded_services)
            and not self._endpoints.has_utilization_above(
                load_shedder.TARGET_UTILIZATION
            )
        )

    def update(self, now: float, elapsed_s: float) -> None:
        """Updates the share of root requests that is admitted for each service.

        :param now: time of the event loop, in seconds.
        :param elapsed_s: time in seconds since the last update.
        """
        connected = self._endpoints.get_connected_peers()
        peer_demand = self._endpoints.estimate_peer_demand(now, connected)
        self._occupancies_s = self._endpoints.compute_occupancies_s(now, connected)
        self._required_slots.clear()
        self._extend_demand_keys()
        highest_rank: dict[str, float] = {}
        if any(shedder.is_correcting for shedder in self._shedders.values()):
            highest_rank = self._endpoints.get_highest_rank_utilizations()
        loads = self._endpoints.get_loads(connected)
        for service, (slots, utilization) in loads.items():
            self._get_shedder(service).update(
                elapsed_s,
                slots,
                utilization,
                peer_demand.get(service, {}),
                highest_rank.get(service),
            )
        self._loaded_services = list(loads)
        if self.has_customers:
            self._update_customers(now, elapsed_s)

    def set_config(self, config: data.Config) -> None:
        """Applies a config."""
        self.has_customers = bool(config.customers)
        if not self.has_customers:
            self.customer_demand.clear()
            for shedder in self._shedders.values():
                shedder.update_customer_shares({})

    def get_known_occupancy_s(self, service: str, route: str) -> float | None:
        """Returns the mean time of a request at an endpoint, nested calls included.

        :returns: time in seconds; None before the first request was answered.
        """
        return self._occupancies_s.get((service, route))

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

    def get_customer_shares(self) -> dict[str, dict[int, dict[str, float]]]:
        """Returns the lowest shares of customers below 1, by service and rank.

        All customers that are not named have one entry, without a name.
        """
        shares: dict[str, dict[int, dict[str, float]]] = {}
        for service, shedder in self._shedders.items():
            for rank, by_customer in shedder.customer_shares.items():
                lowest = sorted(by_customer, key=lambda name: by_customer[name])
                limited = {
                    name: round(by_customer[name], 3)
                    for name in lowest[:SHOWN_CUSTOMER_COUNT]
                    if by_customer[name] < 1.0
                }
                if limited:
                    shares.setdefault(service, {})[rank] = limited
        return shares

    def admit_request(
        self,
        route: data.Route,
        service: str,
        rank: int,
        customer_name: str = "",
        content: Hashable = None,
        now: float = 0.0,
    ) -> bool:
        """Counts a request as demand and decides whether it is admitted.

        :param service: service that the request itself is sent to.
        :param rank: importance of the request; 0 is the highest.
        :param customer_name: name of its customer; empty without one.
        :param content: what a request that returns is recognized by; None if it is not
            one.
        :param now: time of the event loop, in seconds; only used with ``content``.
        """
        required = self._get_required_slots(route.name, service)
        if not self.has_customers:
            return load_shedder.admit_request(self._shedders, rank, required)
        returns = content is not None and self._reservations.take(content, now)
        return load_shedder.admit_request(
            self._shedders,
            rank,
            required,
            customer_name,
            self.customer_demand,
            returns=returns,
        )

    def refuse_by_share(
        self,
        route: data.Route,
        service: str,
        rank: int,
        customer_name: str,
        content: Hashable,
        now: float,
    ) -> share_refusal.ShareRefusal | None:
        """Reserves a time for a request that was not admitted.

        :param content: what the request is recognized by when it returns.
        :param now: time of the event loop, in seconds.
        :returns: None if its customer has no share of its own.
        """
        required = self._get_required_slots(route.name, service)
        limiting = load_shedder.find_limiting_service(
            self._shedders, rank, required, customer_name
        )
        view = self.customer_demand.get_view(limiting, rank, now)
        shedder = self._shedders[limiting]
        if not customer_name or rank not in shedder.customer_shares or view is None:
            return None
        share = shedder.get_share(rank, customer_name)
        slots = self.customer_demand.get_own_slots(limiting, rank, customer_name)
        admitted_per_s = share * slots / max(MIN_SLOT_S, required[limiting])
        delay_s = self._reservations.reserve(
            (limiting, rank, customer_name), content, admitted_per_s, now
        )
        return share_refusal.ShareRefusal(limiting, share, view.age_s, delay_s)

    def _update_customers(self, now: float, elapsed_s: float) -> None:
        """Updates the shares of customers in the limited ranks."""
        table = self.customer_demand
        table.update(elapsed_s)
        table.set_limited(
            [
                (service, rank)
                for service, shedder in self._shedders.items()
                for rank in shedder.admitted_shares
            ],
            elapsed_s,
        )
        for service, shedder in self._shedders.items():
            views = {}
            for rank in shedder.admitted_shares:
                view = table.get_view(service, rank, now)
                if view is not None:
                    views[rank] = view
            if views or shedder.customer_shares:
                shedder.update_customer_shares(views)
        self._reservations.drop_expired(now)

    def withdraw_request(
        self, route: data.Route, service: str, rank: int, customer_name: str = ""
    ) -> None:
        """Takes back the place of an admitted request that is not sent."""
        required = self._get_required_slots(route.name, service)
        for name in required:
            self._get_shedder(name)
        load_shedder.withdraw_request(self._shedders, rank, required, customer_name)

    def _get_required_slots(self, route: str, service: str) -> dict[str, float]:
        """Returns the slot-seconds that a request needs, by service."""
        required = self._required_slots.get((route, service))
        if required is None:
            required = {service: self._get_occupancy_s(service, route)}
            downstream = self._graph.get_downstream_routes(route)
            for (name, callee), calls in downstream.items():
                slot_s = calls * self._get_occupancy_s(name, callee)
                required[name] = required.get(name, 0.0) + slot_s
            for name in required:
                self._get_shedder(name)
            self._required_slots[route, service] = required
        return required

    def _get_occupancy_s(self, service: str, route: str) -> float:
        return self._occupancies_s.get((service, route), DEFAULT_OCCUPANCY_S)

    def _extend_demand_keys(self) -> None:
        for service, shedder in self._shedders.items():
            for rank in shedder.demand:
                key = (service, rank)
                if key not in self._known_demand_keys:
                    self._known_demand_keys.add(key)
                    self.demand_keys.append(key)

    def _get_shedder(self, service: str) -> load_shedder.LoadShedder:
        shedder = self._shedders.get(service)
        if shedder is None:
            shedder = self._shedders[service] = load_shedder.LoadShedder(self._rng)
        return shedder
