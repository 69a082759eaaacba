"""Load shedding of root requests by the demand and the capacity of one service.

A request that fails at a downstream call wastes all work done before. The node where a
root request arrives therefore refuses it, lowest rank first, as soon as the demand on a
service that it calls, directly or further downstream, exceeds the capacity of that
service. Nodes exchange the demand at each of them, so that all admit the same shares at
the same time.

Handles bursts at twice the usual request rate, whose nested calls multiply on the way
to the service that is saturated first.

Demand is in slots, the work that arrives per second at the service, nested calls
included, by rank. Requests of one service differ many times in cost, so a number of
requests would say little. Rank 0 is the highest.
"""

from collections.abc import Mapping

TARGET_UTILIZATION = 0.92
DEMAND_AVERAGING_S = 0.8
MIN_DEMAND_AVERAGING_S = 0.25  # a few simultaneous requests give no reliable rate
OVERLOAD_UTILIZATION = 1.1
CORRECTION_DECREASE_PER_S = 0.8
CORRECTION_INCREASE_PER_S = 0.4
CORRECTION_CREEP_PER_S = 0.1
CORRECTION_RELAXATION_PER_S = 0.2
MIN_CORRECTION_RATIO = 0.6
MAX_CORRECTION_RATIO = 1.6
RESERVED_DEMAND_RATIO = 0.06
MAX_RESERVED_SLOTS_RATIO = 0.12  # refused requests return and inflate the demand
INITIAL_CREDIT = 1.0

Demand = Mapping[int, float]


class LoadShedder:
    """Shares of root requests that this node admits to protect one service."""

    def __init__(self) -> None:
        self._demand: dict[int, float] = {}
        self._new_demand: dict[int, float] = {}
        self._admitted_shares: dict[int, float] = {}
        self._credits: dict[int, float] = {}
        self._capacity_correction = 1.0
        self._age_s = 0.0

    @property
    def demand(self) -> Demand:
        """Demand at this node, by rank."""
        return self._demand

    @property
    def capacity_correction(self) -> float:
        """Factor that corrects the capacity by the measured utilization."""
        return self._capacity_correction

    @property
    def admitted_shares(self) -> Mapping[int, float]:
        """Admitted shares by rank, for the ranks that are limited."""
        return self._admitted_shares

    def get_share(self, rank: int) -> float:
        """Returns the share of a rank's requests that is admitted."""
        return self._admitted_shares.get(rank, 1.0)

    def record_demand(self, rank: int, slot_s: float) -> None:
        """Counts a root request as demand.

        :param slot_s: time for which it holds slots of the service, nested calls
            included, in seconds.
        """
        self._new_demand[rank] = self._new_demand.get(rank, 0.0) + slot_s

    def decide(self, rank: int) -> bool:
        """Decides whether a root request is admitted, by the share of its rank."""
        share = self.get_share(rank)
        if share >= 1.0:
            return True
        credit = min(1.0, self._credits.get(rank, INITIAL_CREDIT)) + share
        admitted = credit >= 1.0
        self._credits[rank] = credit - 1.0 if admitted else credit
        return admitted

    def return_credit(self, rank: int) -> None:
        """Takes back the decision to admit a root request, which is not sent."""
        if rank in self._credits:
            self._credits[rank] = min(1.0, self._credits[rank] + 1.0)

    def update(
        self,
        elapsed_s: float,
        slots: float,
        utilization: float,
        peer_demand: Demand,
    ) -> None:
        """Updates the admitted shares.

        :param elapsed_s: time in seconds since the last update.
        :param slots: number of requests that the service runs concurrently.
        :param utilization: recent ratio of arriving work to the work that can be done.
        :param peer_demand: demand at all other nodes together.
        """
        if elapsed_s <= 0:
            return
        self._update_demand(elapsed_s)
        self._update_correction(elapsed_s, utilization)
        total_demand = dict(self._demand)
        for rank, rate in peer_demand.items():
            total_demand[rank] = total_demand.get(rank, 0.0) + rate
        available_slots = slots * TARGET_UTILIZATION * self._capacity_correction
        self._admitted_shares = compute_admitted_shares(total_demand, available_slots)

    def _update_correction(self, elapsed_s: float, utilization: float) -> None:
        """Adapts the correction while it matters; otherwise it returns to 1."""
        correction = self._capacity_correction
        if utilization > OVERLOAD_UTILIZATION:
            excess = min(1.0, utilization - OVERLOAD_UTILIZATION)
            correction -= CORRECTION_DECREASE_PER_S * excess * elapsed_s
        elif self._admitted_shares or correction < 1.0:
            if utilization < TARGET_UTILIZATION:
                correction += CORRECTION_INCREASE_PER_S * elapsed_s
            elif utilization < 1.0:
                correction += CORRECTION_CREEP_PER_S * elapsed_s
            else:
                correction -= CORRECTION_CREEP_PER_S * elapsed_s
        else:
            step = CORRECTION_RELAXATION_PER_S * elapsed_s
            correction = max(1.0, correction - step)
        self._capacity_correction = min(
            MAX_CORRECTION_RATIO, max(MIN_CORRECTION_RATIO, correction)
        )

    def _update_demand(self, elapsed_s: float) -> None:
        self._age_s += elapsed_s
        averaging_s = min(DEMAND_AVERAGING_S, max(MIN_DEMAND_AVERAGING_S, self._age_s))
        weight = min(1.0, elapsed_s / averaging_s)
        for rank in {*self._demand, *self._new_demand}:
            average = self._demand.get(rank, 0.0)
            rate = self._new_demand.get(rank, 0.0) / elapsed_s
            self._demand[rank] = average + weight * (rate - average)
        self._new_demand.clear()


def admit_request(
    shedders: Mapping[str, LoadShedder], rank: int, required_slot_s: Mapping[str, float]
) -> bool:
    """Decides whether a root request is admitted to all services that it needs.

    The service with the lowest share decides. The demand at the others counts only as
    far as this one admits it: requests that are refused for one service do not take
    room from those that do not need it.

    :param shedders: shedders by service.
    :param required_slot_s: slot-seconds that the request needs, by service.
    """
    limiting = min(required_slot_s, key=lambda name: shedders[name].get_share(rank))
    share = shedders[limiting].get_share(rank)
    for name, slot_s in required_slot_s.items():
        weight = 1.0 if name == limiting else share
        shedders[name].record_demand(rank, weight * slot_s)
    return shedders[limiting].decide(rank)


def withdraw_request(
    shedders: Mapping[str, LoadShedder], rank: int, required_slot_s: Mapping[str, float]
) -> None:
    """Takes back the place of a root request that was admitted and is not sent.

    It stays counted as demand: it has asked for the capacity.

    :param shedders: shedders by service.
    :param required_slot_s: slot-seconds that the request needs, by service.
    """
    limiting = min(required_slot_s, key=lambda name: shedders[name].get_share(rank))
    shedders[limiting].return_credit(rank)


def compute_admitted_shares(
    total_demand: Demand, available_slots: float
) -> dict[int, float]:
    """Computes the share of each rank that can be admitted, highest rank first.

    A small part of each rank's demand is admitted in any case, so that no rank is
    starved. Only a small part of the slots is taken from higher ranks for that.

    :param total_demand: demand at all nodes together.
    :param available_slots: slots of the service that may be used.
    :returns: shares of the ranks that cannot be admitted in full.
    """
    shares = {}
    reserved = {
        rank: RESERVED_DEMAND_RATIO * demand for rank, demand in total_demand.items()
    }
    reserved_slots = min(
        sum(reserved.values()), MAX_RESERVED_SLOTS_RATIO * available_slots
    )
    remaining_slots = max(0.0, available_slots - reserved_slots)
    for rank in sorted(total_demand):
        demand = total_demand[rank]
        granted_slots = min(demand - reserved[rank], remaining_slots)
        remaining_slots -= granted_slots
        granted_slots += reserved[rank]
        if granted_slots < demand:
            shares[rank] = granted_slots / demand
    return shares
