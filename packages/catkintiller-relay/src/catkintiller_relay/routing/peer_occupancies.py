"""Rates at which the slots of the peers' endpoints run requests, by service and route.

They follow from the node states of the peers, which change rarely: the sums are
recomputed only when a state has been replaced, or a peer was added or has gone.
"""

import operator
from collections.abc import Mapping
from typing import NamedTuple

from ..membership import frames

MIN_OCCUPANCY_US = 1


class SlotRate(NamedTuple):
    """Sum over the endpoints of a service that have run requests of a route.

    :param endpoint_count: number of the endpoints.
    :param per_s: requests per second that one slot of each of them runs, summed.
    """

    endpoint_count: int
    per_s: float

    @property
    def occupancy_s(self) -> float:
        """Harmonic mean of the time that a request holds a slot, in seconds."""
        return self.endpoint_count / self.per_s

    def add(self, per_s: float) -> "SlotRate":
        """Returns the sum with one more endpoint."""
        return SlotRate(self.endpoint_count + 1, self.per_s + per_s)


NO_RATE = SlotRate(0, 0.0)

SlotRates = Mapping[tuple[str, str], SlotRate]


class PeerOccupancies:
    """Sums over the peers' endpoints; kept until a node state changes."""

    def __init__(self) -> None:
        self._states: list[frames.NodeState] = []
        self._rates: dict[tuple[str, str], SlotRate] = {}

    def get_rates(self, states: list[frames.NodeState]) -> SlotRates:
        """Returns the sums by service and route.

        :param states: last states of the peers whose endpoints count. A state is never
            changed: a new one is another object.
        """
        is_unchanged = len(states) == len(self._states) and all(
            map(operator.is_, states, self._states)
        )
        if not is_unchanged:
            self._states = states
            self._rates = sum_rates(states)
        return self._rates


def sum_rates(states: list[frames.NodeState]) -> dict[tuple[str, str], SlotRate]:
    """Sums the rates in node states by service and route."""
    rates: dict[tuple[str, str], SlotRate] = {}
    for state in states:
        for route, _, occupancy_us in state.route_times:
            key = (state.service, route)
            per_s = 1e6 / max(MIN_OCCUPANCY_US, occupancy_us)
            rates[key] = rates.get(key, NO_RATE).add(per_s)
    return rates
