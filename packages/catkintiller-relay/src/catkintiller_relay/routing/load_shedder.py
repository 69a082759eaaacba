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

With customers, each customer has a share of its own within a rank, see :mod:`..shares`.
"""

import random
from collections.abc import Mapping

from ..shares import demand_table, water_filling

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
HIGHEST_RANK = 0
# A service is quiet while its demand and its utilization are below half: they must
# nearly double before a rank is limited.
QUIET_UTILIZATION = 0.5
MAX_ROUNDING_LOSS = 1e-9  # a rank with nearly all of its demand is not limited
MAX_RETURN_DEBT = 8.0  # returning requests admitted in advance of their credit

Demand = Mapping[int, float]
CustomerShares = Mapping[str, float]


class LoadShedder:
    """Shares of root requests that this node admits to protect one service.

    :param rng: source of the credit with which a customer begins.
    """

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self._demand: dict[int, float] = {}
        self._new_demand: dict[int, float] = {}
        self._admitted_shares: dict[int, float] = {}
        self._credits: dict[int, float] = {}
        self._customer_shares: dict[int, CustomerShares] = {}
        self._customer_credits: dict[tuple[int, str], float] = {}
        self._capacity_correction = 1.0
        self._highest_rank_correction = 1.0
        self._age_s = 0.0
        self._is_low = False
        self._free_slots = 0.0

    @property
    def demand(self) -> Demand:
        """Demand at this node, by rank."""
        return self._demand

    @property
    def capacity_correction(self) -> float:
        """Factor that corrects the capacity by the measured utilization."""
        return self._capacity_correction

    @property
    def is_correcting(self) -> bool:
        """Whether requests are refused or the capacity is corrected downwards."""
        return bool(self._admitted_shares) or self._capacity_correction < 1.0

    @property
    def is_quiet(self) -> bool:
        """Whether the next update may wait.

        No rank is limited, the capacity is not corrected downwards, and neither the
        demand at the last update nor the requests that arrived here since are near the
        capacity.
        """
        if not self._is_low:
            return False
        new_demand = sum(self._new_demand.values()) / MIN_DEMAND_AVERAGING_S
        return new_demand < self._free_slots

    @property
    def admitted_shares(self) -> Mapping[int, float]:
        """Admitted shares by rank, for the ranks that are limited."""
        return self._admitted_shares

    @property
    def customer_shares(self) -> Mapping[int, CustomerShares]:
        """Admitted shares of the largest customers and of the others, by rank."""
        return self._customer_shares

    def get_share(self, rank: int, customer: str = "") -> float:
        """Returns the share of the requests of a rank and a customer."""
        shares = self._customer_shares.get(rank) if self._customer_shares else None
        if shares is None:
            return self._admitted_shares.get(rank, 1.0)
        share = shares.get(customer)
        return shares[water_filling.OTHERS] if share is None else share

    def record_demand(self, rank: int, slot_s: float) -> None:
        """Counts a root request as demand.

        :param slot_s: time for which it holds slots of the service, nested calls
            included, in seconds.
        """
        self._new_demand[rank] = self._new_demand.get(rank, 0.0) + slot_s

    def decide(self, rank: int, customer: str = "", *, returns: bool = False) -> bool:
        """Decides whether a root request is admitted, by the share that applies to it.

        :param returns: whether the request was refused and returns at its time.
        """
        share = self.get_share(rank, customer)
        if share >= 1.0:
            return True
        if rank in self._customer_shares:
            return self._decide_for_customer(rank, customer, share, returns)
        credit = min(1.0, self._credits.get(rank, INITIAL_CREDIT)) + share
        admitted = credit >= 1.0
        self._credits[rank] = credit - 1.0 if admitted else credit
        return admitted

    def _decide_for_customer(
        self, rank: int, customer: str, share: float, returns: bool
    ) -> bool:
        """Decides by the credit of a customer, or of all that are not named.

        A new credit is random: otherwise the first request of a customer at each node
        would be admitted, at all nodes together more than its share.
        """
        name = customer if customer in self._customer_shares[rank] else ""
        key = (rank, name)
        credit = self._customer_credits.get(key)
        credit = min(1.0, self._rng.random() if credit is None else credit) + share
        admitted = credit >= (1.0 - MAX_RETURN_DEBT if returns else 1.0)
        self._customer_credits[key] = credit - 1.0 if admitted else credit
        return admitted

    def return_credit(self, rank: int, customer: str = "") -> None:
        """Takes back the decision to admit a root request, which is not sent."""
        name = customer if customer in self._customer_shares.get(rank, {}) else ""
        if (rank, name) in self._customer_credits:
            credit = self._customer_credits[rank, name]
            self._customer_credits[rank, name] = min(1.0, credit + 1.0)
        elif rank in self._credits:
            self._credits[rank] = min(1.0, self._credits[rank] + 1.0)

    def update(
        self,
        elapsed_s: float,
        slots: float,
        utilization: float,
        peer_demand: Demand,
        highest_rank_utilization: float | None = None,
    ) -> None:
        """Updates the admitted shares.

        Work of lower ranks that is not known as demand also raises the utilization. It
        does not delay requests of rank 0, which run first at the endpoints. So rank 0
        has the whole capacity unless its own work exceeds it.

        :param elapsed_s: time in seconds since the last update.
        :param slots: number of requests that the service runs concurrently.
        :param utilization: recent ratio of arriving work to the work that can be done.
        :param peer_demand: demand at all other nodes together.
        :param highest_rank_utilization: part of the utilization that rank 0 causes;
            None if it is not known.
        """
        if elapsed_s <= 0:
            return
        self._update_demand(elapsed_s)
        self._capacity_correction = self._compute_correction(
            self._capacity_correction, elapsed_s, utilization
        )
        self._highest_rank_correction = self._compute_correction(
            self._highest_rank_correction,
            elapsed_s,
            utilization
            if highest_rank_utilization is None
            else highest_rank_utilization,
        )
        total_demand = dict(self._demand)
        for rank, rate in peer_demand.items():
            total_demand[rank] = total_demand.get(rank, 0.0) + rate
        usable_slots = slots * TARGET_UTILIZATION
        highest_rank_slots = 0.0
        if highest_rank_utilization is not None:
            highest_rank_slots = usable_slots * min(1.0, self._highest_rank_correction)
        self._admitted_shares = compute_admitted_shares(
            total_demand, usable_slots * self._capacity_correction, highest_rank_slots
        )
        total_slots = sum(total_demand.values())
        self._free_slots = usable_slots - total_slots
        self._is_low = (
            utilization < QUIET_UTILIZATION
            and total_slots < QUIET_UTILIZATION * slots
            and min(self._capacity_correction, self._highest_rank_correction) >= 1.0
            and all(
                share > 1.0 - MAX_ROUNDING_LOSS
                for share in self._admitted_shares.values()
            )
        )

    def update_customer_shares(
        self, views: Mapping[int, demand_table.DemandView]
    ) -> None:
        """Divides the room of each limited rank between its customers.

        A customer without demand so far has the share of the smallest one.

        :param views: demand of the customers by rank, where it is known.
        """
        self._customer_shares = {}
        for rank, rank_share in self._admitted_shares.items():
            view = views.get(rank)
            if view is not None:
                shares = water_filling.compute_customer_shares(
                    view.slots,
                    rank_share * sum(view.slots.values()),
                    water_filling.estimate_others_count(view.slots),
                )
                shares.setdefault(
                    water_filling.OTHERS, max(shares.values(), default=rank_share)
                )
                self._customer_shares[rank] = shares
        self._customer_credits = {
            (rank, name): credit
            for (rank, name), credit in self._customer_credits.items()
            if name in self._customer_shares.get(rank, {})
        }

    def _compute_correction(
        self, correction: float, elapsed_s: float, utilization: float
    ) -> float:
        """Adapts a correction while it matters; otherwise it returns to 1."""
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
        return min(MAX_CORRECTION_RATIO, max(MIN_CORRECTION_RATIO, correction))

    def _update_demand(self, elapsed_s: float) -> None:
        self._age_s += elapsed_s
        averaging_s = min(DEMAND_AVERAGING_S, max(MIN_DEMAND_AVERAGING_S, self._age_s))
        weight = min(1.0, elapsed_s / averaging_s)
        for rank in {*self._demand, *self._new_demand}:
            average = self._demand.get(rank, 0.0)
            rate = self._new_demand.get(rank, 0.0) / elapsed_s
            self._demand[rank] = average + weight * (rate - average)
        self._new_demand.clear()


def find_limiting_service(
    shedders: Mapping[str, LoadShedder],
    rank: int,
    required_slot_s: Mapping[str, float],
    customer: str = "",
) -> str:
    """Returns the service with the lowest share of those that a request needs."""
    return min(
        required_slot_s, key=lambda name: shedders[name].get_share(rank, customer)
    )


def admit_request(
    shedders: Mapping[str, LoadShedder],
    rank: int,
    required_slot_s: Mapping[str, float],
    customer: str = "",
    table: demand_table.DemandTable | None = None,
    *,
    returns: bool = False,
) -> bool:
    """Decides whether a root request is admitted to all services that it needs.

    The service with the lowest share decides. The demand at the others counts only as
    far as this one admits it: requests that are refused for one service do not take
    room from those that do not need it.

    :param shedders: shedders by service.
    :param required_slot_s: slot-seconds that the request needs, by service.
    :param customer: name of its customer; empty without one.
    :param table: demand by customer; None without customers.
    :param returns: whether the request was refused and returns at its time.
    """
    limiting = find_limiting_service(shedders, rank, required_slot_s, customer)
    share = shedders[limiting].get_share(rank, customer)
    for name, slot_s in required_slot_s.items():
        weight = 1.0 if name == limiting else share
        shedders[name].record_demand(rank, weight * slot_s)
        if table is not None:
            table.record(name, rank, customer, weight * slot_s)
    return shedders[limiting].decide(rank, customer, returns=returns)


def withdraw_request(
    shedders: Mapping[str, LoadShedder],
    rank: int,
    required_slot_s: Mapping[str, float],
    customer: str = "",
) -> None:
    """Takes back the place of a root request that was admitted and is not sent.

    It stays counted as demand: it has asked for the capacity.

    :param shedders: shedders by service.
    :param required_slot_s: slot-seconds that the request needs, by service.
    :param customer: name of its customer; empty without one.
    """
    limiting = find_limiting_service(shedders, rank, required_slot_s, customer)
    shedders[limiting].return_credit(rank, customer)


def compute_admitted_shares(
    total_demand: Demand, available_slots: float, highest_rank_slots: float = 0.0
) -> dict[int, float]:
    """Computes the share of each rank that can be admitted, highest rank first.

    A small part of each rank's demand is admitted in any case, so that no rank is
    starved. Only a small part of the slots is taken from higher ranks for that.

    :param total_demand: demand at all nodes together.
    :param available_slots: slots of the service that may be used.
    :param highest_rank_slots: slots that rank 0 may use, if they are more.
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
        room = remaining_slots
        if rank == HIGHEST_RANK:
            room = max(room, highest_rank_slots - reserved_slots)
        granted_slots = min(demand - reserved[rank], room)
        remaining_slots = max(0.0, remaining_slots - granted_slots)
        granted_slots += reserved[rank]
        if granted_slots < demand:
            shares[rank] = granted_slots / demand
    return shares
