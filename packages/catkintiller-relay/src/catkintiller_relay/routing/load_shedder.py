"""Decides at the top of a chain how much fresh work a service can still take.

A request that fails deep in its chain wastes all work done before. So the node
where fresh work arrives refuses it, least important first, as soon as the work
that is demanded of a service it leads to exceeds what that service can do. Nodes
tell each other the work demanded at them, so all admit the same shares at once.

Load it answers: a burst of twice the usual requests, whose calls multiply on the
way down to the service that fills first.
"""

from collections.abc import Iterable, Mapping

TARGET_USE = 0.92
DEMAND_MEMORY_S = 0.8
MIN_DEMAND_MEMORY_S = 0.25  # a few requests at once are no rate yet
HIGH_USE = 1.1
TRIM_FALL_PER_S = 0.8
TRIM_RISE_PER_S = 0.4
MIN_TRIM = 0.6
MAX_TRIM = 1.15
RESERVED_SHARE = 0.06
FULL_CREDIT = 1.0

Demand = Mapping[int, float]


class LoadShedder:
    """Shares of fresh work that this node admits for the sake of one service."""

    def __init__(self) -> None:
        self._demand: dict[int, float] = {}
        self._fresh: dict[int, float] = {}
        self._admitted: dict[int, float] = {}
        self._credit: dict[int, float] = {}
        self._trim = 1.0
        self._age_s = 0.0

    @property
    def demand(self) -> Demand:
        """Work a second demanded at this node, by rank."""
        return self._demand

    @property
    def trim(self) -> float:
        """Correction of the capacity by what the service's use shows."""
        return self._trim

    @property
    def admitted(self) -> Mapping[int, float]:
        """Shares that are admitted by rank, of the ranks that are limited."""
        return self._admitted

    def admit_request(self, rank: int, work: float) -> bool:
        """Counts one fresh request as demand and decides on it.

        :param work: calls that it makes at the service, itself included.
        """
        self._fresh[rank] = self._fresh.get(rank, 0.0) + work
        share = self._admitted.get(rank, 1.0)
        if share >= 1.0:
            return True
        credit = min(1.0, self._credit.get(rank, FULL_CREDIT)) + share
        admitted = credit >= 1.0
        self._credit[rank] = credit - 1.0 if admitted else credit
        return admitted

    def update(
        self, passed_s: float, capacity: float, use: float, others: Iterable[Demand]
    ) -> None:
        """Computes the shares anew.

        :param capacity: requests a second that the service can run.
        :param use: arriving work over the work that can be done, lately.
        :param others: work a second demanded at the other nodes, by rank.
        """
        if passed_s <= 0:
            return
        self._roll_demand(passed_s)
        if use > HIGH_USE:
            step = -TRIM_FALL_PER_S * min(1.0, use - HIGH_USE)
        else:
            step = TRIM_RISE_PER_S * (1.0 if use < TARGET_USE else 0.25)
        self._trim = min(MAX_TRIM, max(MIN_TRIM, self._trim + step * passed_s))
        total = dict(self._demand)
        for demand in others:
            for rank, rate in demand.items():
                total[rank] = total.get(rank, 0.0) + rate
        allowed = capacity * TARGET_USE * self._trim
        self._admitted = compute_admitted_shares(total, allowed)

    def _roll_demand(self, passed_s: float) -> None:
        self._age_s += passed_s
        memory_s = min(DEMAND_MEMORY_S, max(MIN_DEMAND_MEMORY_S, self._age_s))
        weight = min(1.0, passed_s / memory_s)
        for rank in {*self._demand, *self._fresh}:
            before = self._demand.get(rank, 0.0)
            rate = self._fresh.get(rank, 0.0) / passed_s
            self._demand[rank] = before + weight * (rate - before)
        self._fresh.clear()


def compute_admitted_shares(total: Demand, allowed: float) -> dict[int, float]:
    """Computes the share of each rank that fits, the most important first.

    Each rank keeps a small share, so that none is starved.

    :param total: work a second demanded by rank.
    :param allowed: work a second that can be done.
    """
    shares = {}
    reserved = {rank: RESERVED_SHARE * demand for rank, demand in total.items()}
    left = max(0.0, allowed - sum(reserved.values()))
    for rank in sorted(total):
        demand = total[rank]
        granted = min(demand - reserved[rank], left)
        left -= granted
        granted += reserved[rank]
        if granted < demand:
            shares[rank] = granted / demand
    return shares
