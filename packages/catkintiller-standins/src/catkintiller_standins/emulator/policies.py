"""Overload-control policies that an experiment compares."""

import abc
import collections
import random

from catkintiller_relay.routing import endpoint_selection, load_shedder
from catkintiller_relay.serving import endpoint_queue

from . import deployments

# Slot-seconds that one root request needs at each service, itself included.
RequiredSlots = dict[str, float]
UNLIMITED_WAIT_S = 1e6


class Policy(abc.ABC):
    """Overload control of all nodes of a deployment."""

    name = ""

    @abc.abstractmethod
    def admit_root(
        self, node: int, kind: deployments.RequestKind, required_slots: RequiredSlots
    ) -> bool:
        """Returns whether a node admits a root request.

        :param node: index of the node where it arrives.
        :param required_slots: slot-seconds that it needs at each service.
        """

    @abc.abstractmethod
    def choose_endpoint(
        self, candidates: list[endpoint_selection.Candidate], rng: random.Random
    ) -> endpoint_selection.Candidate | None:
        """Chooses an endpoint; ``None`` if there are no candidates."""

    @abc.abstractmethod
    def get_time_limits(
        self, remaining_s: float, target_latency_s: float
    ) -> tuple[float, float]:
        """Returns the remaining time and the target latency to pass to the queue.

        :param remaining_s: seconds until the deadline of the request.
        :param target_latency_s: target latency of its kind in seconds.
        """

    @abc.abstractmethod
    def get_queue_order(self, rank: int, is_nested_call: bool) -> tuple[int, bool]:
        """Returns the rank and the nested-call flag to pass to the queue."""

    @abc.abstractmethod
    def update_load(
        self,
        elapsed_s: float,
        slots: dict[str, float],
        utilizations: dict[str, float],
    ) -> None:
        """Updates the policy from the load of all services.

        :param elapsed_s: seconds since the last update.
        :param slots: slots of all endpoints of each service.
        :param utilizations: utilization of each service.
        """


class NoControl(Policy):
    """Random choice of the endpoint and unlimited waiting, without load shedding.

    Only requests whose deadline has passed are not run.
    """

    name = "no control"

    def admit_root(
        self, node: int, kind: deployments.RequestKind, required_slots: RequiredSlots
    ) -> bool:
        """Admits every root request."""
        return True

    def choose_endpoint(
        self, candidates: list[endpoint_selection.Candidate], rng: random.Random
    ) -> endpoint_selection.Candidate | None:
        """Chooses a random endpoint."""
        return rng.choice(candidates) if candidates else None

    def get_time_limits(
        self, remaining_s: float, target_latency_s: float
    ) -> tuple[float, float]:
        """Returns limits that let every request wait."""
        return UNLIMITED_WAIT_S, UNLIMITED_WAIT_S

    def get_queue_order(self, rank: int, is_nested_call: bool) -> tuple[int, bool]:
        """Returns the same order for all requests, so that they run as they arrive."""
        return 0, False

    def update_load(
        self,
        elapsed_s: float,
        slots: dict[str, float],
        utilizations: dict[str, float],
    ) -> None:
        """Does nothing: this policy does not depend on the load."""


class QueueOnly(NoControl):
    """Queue and choice of the endpoint as in the node, without load shedding."""

    name = "queue only"

    def choose_endpoint(
        self, candidates: list[endpoint_selection.Candidate], rng: random.Random
    ) -> endpoint_selection.Candidate | None:
        """Chooses the endpoint with the shortest expected latency."""
        return endpoint_selection.select_endpoint(candidates, rng)

    def get_time_limits(
        self, remaining_s: float, target_latency_s: float
    ) -> tuple[float, float]:
        """Returns both limits as they are."""
        return remaining_s, target_latency_s

    def get_queue_order(self, rank: int, is_nested_call: bool) -> tuple[int, bool]:
        """Returns rank and flag as they are."""
        return rank, is_nested_call


class FullControl(QueueOnly):
    """Control as in the node: load shedding by the capacity of downstream services.

    :param node_count: number of nodes that receive root requests.
    """

    name = "catkintiller"

    def __init__(self, node_count: int) -> None:
        self._nodes = range(node_count)
        self._shedders: list[dict[str, load_shedder.LoadShedder]] = [
            {} for _ in self._nodes
        ]

    def admit_root(
        self, node: int, kind: deployments.RequestKind, required_slots: RequiredSlots
    ) -> bool:
        """Counts a root request as demand and admits it if all its services do."""
        shedders = self._shedders[node]
        for service in required_slots:
            shedders.setdefault(service, load_shedder.LoadShedder())
        return load_shedder.admit_request(shedders, kind.rank, required_slots)

    def update_load(
        self,
        elapsed_s: float,
        slots: dict[str, float],
        utilizations: dict[str, float],
    ) -> None:
        """Exchanges the demand of all nodes and recomputes their admitted shares."""
        demands_by_node = [
            {name: dict(shedder.demand) for name, shedder in shedders.items()}
            for shedders in self._shedders
        ]
        for node in self._nodes:
            for service, shedder in self._shedders[node].items():
                other_demand: collections.Counter[int] = collections.Counter()
                for other_node, demands in enumerate(demands_by_node):
                    if other_node != node:
                        other_demand.update(demands.get(service, {}))
                shedder.update(
                    elapsed_s,
                    slots[service],
                    utilizations.get(service, 0.0),
                    other_demand,
                )


def build_queue(slots: int) -> endpoint_queue.EndpointQueue:
    """Builds the queue in front of an endpoint.

    :param slots: requests that the endpoint runs at once.
    """
    queue = endpoint_queue.EndpointQueue()
    queue.set_slots(slots)
    return queue
