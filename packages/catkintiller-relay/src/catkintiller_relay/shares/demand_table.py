"""Demand at one node by service, rank and customer, and the sums over all nodes.

Only limited ranks of limited services are kept. Until the sums of the coordinator are
known, and when they are too old, the node's own arrivals take their place.
"""

from collections.abc import Iterable
from typing import NamedTuple

from ..quotas import demand_totals
from . import water_filling

AVERAGING_S = 1.5
MIN_AVERAGING_S = 0.25
MIN_SLOTS = 0.0005  # demand below half a thousandth of a slot is not reported
MAX_CUSTOMER_COUNT = 128
REPORTED_COUNT = 16
# Longer than the interval between two requests to the coordinator, so that a report is
# sent with every second one at most.
REPORT_INTERVAL_S = 0.3
LIMITED_KEPT_S = 2.0  # a rank whose limit comes and goes keeps its figures
MAX_TOTALS_AGE_S = 1.5
SLOT_SCALE = 1000

Key = tuple[str, int]


class DemandView(NamedTuple):
    """Demand of the customers of one rank, as far as a node knows it.

    :param slots: slots by customer; in proportion only, they need not add up to the
        demand of the rank.
    :param age_s: age of the sums over all nodes; None if the node's own arrivals are
        used.
    """

    slots: dict[str, float]
    age_s: float | None


class _Totals(NamedTuple):
    received_at: float
    slots: dict[str, float]


class _RankDemand:
    """Demand of one limited rank at this node."""

    def __init__(self) -> None:
        self.slots: dict[str, float] = {}
        self.added_slot_s: dict[str, float] = {}
        self.age_s = 0.0
        self.unlimited_s = 0.0

    def record(self, customer: str, slot_s: float) -> None:
        """Adds the demand of one request."""
        added = self.added_slot_s
        if customer not in added and customer not in self.slots:
            known_count = len(added.keys() | self.slots.keys())
            if known_count >= MAX_CUSTOMER_COUNT:
                customer = water_filling.OTHERS
        added[customer] = added.get(customer, 0.0) + slot_s

    def update(self, elapsed_s: float) -> None:
        """Updates the averages."""
        self.age_s += elapsed_s
        averaging_s = min(AVERAGING_S, max(MIN_AVERAGING_S, self.age_s))
        weight = min(1.0, elapsed_s / averaging_s)
        slots = {name: (1.0 - weight) * average for name, average in self.slots.items()}
        for name, slot_s in self.added_slot_s.items():
            slots[name] = slots.get(name, 0.0) + weight * slot_s / elapsed_s
        self.slots = {name: each for name, each in slots.items() if each >= MIN_SLOTS}
        self.added_slot_s = {}


class DemandTable:
    """Demand by service, rank and customer at one node."""

    def __init__(self) -> None:
        self._demand: dict[Key, _RankDemand] = {}
        self._totals: dict[Key, _Totals] = {}
        self._since_report_s = REPORT_INTERVAL_S

    @property
    def has_demand(self) -> bool:
        """Whether there is demand to report."""
        return any(demand.slots for demand in self._demand.values())

    def set_limited(self, keys: Iterable[Key], elapsed_s: float) -> None:
        """Sets the services and ranks that are limited now.

        :param elapsed_s: time in seconds since the last call.
        """
        limited = set(keys)
        for key in limited:
            if key not in self._demand:
                self._demand[key] = _RankDemand()
        for key, demand in list(self._demand.items()):
            demand.unlimited_s = (
                0.0 if key in limited else demand.unlimited_s + elapsed_s
            )
            if demand.unlimited_s > LIMITED_KEPT_S:
                del self._demand[key]
                self._totals.pop(key, None)

    def record(self, service: str, rank: int, customer: str, slot_s: float) -> None:
        """Adds the demand of one root request, if its rank is limited.

        :param slot_s: time for which it holds slots of the service, in seconds.
        """
        demand = self._demand.get((service, rank))
        if demand is not None:
            demand.record(customer, slot_s)

    def update(self, elapsed_s: float) -> None:
        """Updates the averages.

        :param elapsed_s: time in seconds since the last update.
        """
        self._since_report_s += elapsed_s
        if elapsed_s > 0.0:
            for demand in self._demand.values():
                demand.update(elapsed_s)

    def clear(self) -> None:
        """Drops everything, for a config without customers."""
        self._demand.clear()
        self._totals.clear()

    def get_report(self, limit: int) -> list[demand_totals.DemandEntry]:
        """Returns the entries for the coordinator; nothing if the last are recent.

        The largest customers are named; for each rank, the others are one entry.

        :param limit: number of customers that are named, over all ranks.
        """
        if self._since_report_s < REPORT_INTERVAL_S:
            return []
        entries = [
            (slots, service, rank, name)
            for (service, rank), demand in self._demand.items()
            for name, slots in demand.slots.items()
        ]
        if not entries:
            return []
        self._since_report_s = 0.0
        return build_entries(entries, limit)

    def apply_totals(self, totals: list[demand_totals.DemandEntry], now: float) -> None:
        """Replaces the sums over all nodes by those in a reply of the coordinator.

        :param now: time in seconds, of any clock that is used for all calls.
        """
        received: dict[Key, dict[str, float]] = {}
        for service, rank, customer, slots in totals:
            received.setdefault((service, rank), {})[customer] = slots / SLOT_SCALE
        for key, slots_by_customer in received.items():
            if key in self._demand:
                self._totals[key] = _Totals(now, slots_by_customer)

    def get_own_slots(self, service: str, rank: int, customer: str) -> float:
        """Returns the demand of a customer at this node, in slots."""
        demand = self._demand.get((service, rank))
        return 0.0 if demand is None else demand.slots.get(customer, 0.0)

    def get_view(self, service: str, rank: int, now: float) -> DemandView | None:
        """Returns the demand of the customers of a rank; None if nothing is known."""
        key = (service, rank)
        demand = self._demand.get(key)
        if demand is None:
            return None
        totals = self._totals.get(key)
        if totals is not None and now - totals.received_at <= MAX_TOTALS_AGE_S:
            return DemandView(totals.slots, now - totals.received_at)
        return DemandView(demand.slots, None) if demand.slots else None


def build_entries(
    demands: list[tuple[float, str, int, str]], limit: int
) -> list[demand_totals.DemandEntry]:
    """Builds the entries of a message, the largest demand first.

    :param demands: slots, service, rank and customer.
    :param limit: number of customers that are named; the rest is one entry by rank.
    """
    demands.sort(reverse=True)
    named = []
    others: dict[Key, float] = {}
    for slots, service, rank, name in demands:
        if name != water_filling.OTHERS and len(named) < limit:
            named.append((service, rank, name, round(slots * SLOT_SCALE)))
        else:
            key = (service, rank)
            others[key] = others.get(key, 0.0) + slots
    return named + [
        (service, rank, water_filling.OTHERS, round(slots * SLOT_SCALE))
        for (service, rank), slots in others.items()
    ]
