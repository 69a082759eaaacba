"""Divides the capacity within a rank between customers by max-min fairness.

Handles a customer that sends many times its usual load or retries immediately: the
others are admitted as if it demanded no more than its share. No customer gets more than
the common level while another one that demands more gets less than the level, and what
some do not demand goes to those with further demand.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

OTHERS = ""  # stands for all customers that are not named
# A customer's share is at least this part of the share of its rank. All customers that
# are held at it together take no more than this part of the room.
MIN_SHARE_RATIO = 0.25


class _Claim(NamedTuple):
    """What one entry demands.

    :param size: number of customers that it stands for.
    :param floor: slots that it gets in any case.
    """

    demand: float
    size: float
    floor: float


def compute_customer_shares(
    demand_by_customer: Mapping[str, float], room: float, others_count: float = 1.0
) -> dict[str, float]:
    """Computes the share of each customer's requests that is admitted.

    :param demand_by_customer: demand in slots; ``OTHERS`` is all other customers.
    :param room: slots that the rank may use.
    :param others_count: number of customers that ``OTHERS`` stands for.
    :returns: shares between 0 and 1, for every customer with demand.
    """
    total = sum(demand_by_customer.values())
    if total <= 0.0:
        return {}
    min_share = MIN_SHARE_RATIO * min(1.0, max(0.0, room) / total)
    claims = {
        name: _Claim(
            demand, others_count if name == OTHERS else 1.0, min_share * demand
        )
        for name, demand in demand_by_customer.items()
        if demand > 0.0
    }
    level = _compute_level(claims.values(), room)
    return {
        name: min(1.0, max(min_share, level * claim.size / claim.demand))
        for name, claim in claims.items()
    }


def estimate_others_count(demand_by_customer: Mapping[str, float]) -> float:
    """Estimates how many customers ``OTHERS`` stands for.

    None of them demands more than the smallest customer that is named. On average they
    are taken to demand half as much.
    """
    named = [
        demand
        for name, demand in demand_by_customer.items()
        if name != OTHERS and demand > 0.0
    ]
    others = demand_by_customer.get(OTHERS, 0.0)
    return max(1.0, 2.0 * others / min(named)) if named else 1.0


def _compute_level(claims: Iterable[_Claim], room: float) -> float:
    """Computes the level in slots for one customer at which the room is used up.

    The slots granted grow with the level in straight lines: an entry gets more from the
    level at which its floor is exceeded to the one at which its demand is met.
    """
    changes = []
    granted = 0.0
    for claim in claims:
        granted += claim.floor
        changes.append((claim.floor / claim.size, claim.size))
        changes.append((claim.demand / claim.size, -claim.size))
    changes.sort()
    level = slope = 0.0
    for next_level, change in changes:
        added = slope * (next_level - level)
        if granted + added >= room:
            return level if added <= 0.0 else level + (room - granted) / slope
        granted += added
        level = next_level
        slope += change
    return float("inf")
