"""Ways of control that an experiment compares."""

import abc
import random

from catkintiller_relay.routing import placement, shedding
from catkintiller_relay.serving import queue

from . import deployments

Reach = dict[str, float]
UNBOUNDED_S = 1e6


class Arm(abc.ABC):
    """One way of control over a deployment."""

    name = ""

    @abc.abstractmethod
    def admits(self, node: int, kind: deployments.Kind, reach: Reach) -> bool:
        """Decides at the top of a chain on a request of a client."""

    @abc.abstractmethod
    def choose(
        self, candidates: list[placement.Candidate], rng: random.Random
    ) -> placement.Candidate | None:
        """Chooses an endpoint."""

    @abc.abstractmethod
    def get_wait_limits(self, left_s: float, target_s: float) -> tuple[float, float]:
        """Gets the time left and the target that the queue beside it is told."""

    @abc.abstractmethod
    def get_order(self, rank: int, call: bool) -> tuple[int, bool]:
        """Gets the rank that the queue is told, and whether it is told of a call."""

    @abc.abstractmethod
    def tick(
        self, passed_s: float, capacities: dict[str, float], uses: dict[str, float]
    ) -> None:
        """Hears of capacity and use of the services."""


class NoControl(Arm):
    """Any endpoint, any wait, nothing refused but what has run out of time."""

    name = "no control"

    def admits(self, node: int, kind: deployments.Kind, reach: Reach) -> bool:
        """Admits all."""
        return True

    def choose(
        self, candidates: list[placement.Candidate], rng: random.Random
    ) -> placement.Candidate | None:
        """Chooses at random."""
        return rng.choice(candidates) if candidates else None

    def get_wait_limits(self, left_s: float, target_s: float) -> tuple[float, float]:
        """Lets everything wait."""
        return UNBOUNDED_S, UNBOUNDED_S

    def get_order(self, rank: int, call: bool) -> tuple[int, bool]:
        """Lets all wait in order of arrival."""
        return 0, False

    def tick(
        self, passed_s: float, capacities: dict[str, float], uses: dict[str, float]
    ) -> None:
        """Takes no notice."""


class QueueOnly(NoControl):
    """Queue and choice of the node, nothing refused at the top of a chain."""

    name = "queue only"

    def choose(
        self, candidates: list[placement.Candidate], rng: random.Random
    ) -> placement.Candidate | None:
        """Chooses by expected time."""
        return placement.choose(candidates, rng)

    def get_wait_limits(self, left_s: float, target_s: float) -> tuple[float, float]:
        """Lets a request wait as long as its answer is of use."""
        return left_s, target_s

    def get_order(self, rank: int, call: bool) -> tuple[int, bool]:
        """Tells both."""
        return rank, call


class Relay(QueueOnly):
    """The node as it is: fresh work is admitted by what its chain needs."""

    name = "catkintiller"

    def __init__(self, nodes: int) -> None:
        self._nodes = range(nodes)
        self._shedders: list[dict[str, shedding.Shedder]] = [{} for _ in self._nodes]

    def admits(self, node: int, kind: deployments.Kind, reach: Reach) -> bool:
        """Admits by the share of each service that the chain reaches."""
        admitted = True
        for service, work in reach.items():
            shedder = self._shedders[node].setdefault(service, shedding.Shedder())
            if not shedder.admit(kind.rank, work):
                admitted = False
        return admitted

    def tick(
        self, passed_s: float, capacities: dict[str, float], uses: dict[str, float]
    ) -> None:
        """Lets all nodes tell their demand and compute their shares."""
        told = [
            {name: dict(one.demand) for name, one in shedders.items()}
            for shedders in self._shedders
        ]
        for node in self._nodes:
            for service, shedder in self._shedders[node].items():
                others = [
                    demands[service]
                    for other, demands in enumerate(told)
                    if other != node and service in demands
                ]
                shedder.update(
                    passed_s, capacities[service], uses.get(service, 0.0), others
                )


def make_queue(slots: int) -> queue.EndpointQueue:
    """Makes the queue beside an endpoint."""
    made = queue.EndpointQueue()
    made.set_slots(slots)
    return made
