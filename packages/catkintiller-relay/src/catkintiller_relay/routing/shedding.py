"""Decides at the top of a chain how much fresh work a service can still take.

A request that fails deep in its chain wastes all work done before. So the node
where fresh work arrives refuses it, least important first, as soon as a service
that it leads to says that it has more work than it can do.
"""

from typing import NamedTuple

RISE_PER_S = 2.0
FALL_PER_S = 0.5
MAX_RISE = 1.0
RANKS = 4
TARGET_PRESSURE = 1.0


class Pressure(NamedTuple):
    """What a service's endpoints say of their load.

    :param value: work over the work that can be done in time; 1 is just full.
    """

    value: float


class ShedLevel:
    """The share of fresh work that is refused for the sake of one service.

    The level is between 0 and ``RANKS``. Each whole unit refuses all of one rank,
    beginning with the least important; the rest is the refused share of the next.
    """

    def __init__(self) -> None:
        self._level = 0.0

    @property
    def level(self) -> float:
        """The present level."""
        return self._level

    def update(self, pressure: float, passed_s: float) -> None:
        """Takes the pressure of the last moments into account."""
        excess = pressure - TARGET_PRESSURE
        if excess > 0:
            step = RISE_PER_S * min(MAX_RISE, excess)
        else:
            step = FALL_PER_S * max(-1.0, excess)
        self._level = min(float(RANKS), max(0.0, self._level + step * passed_s))

    def compute_refused_share(self, rank: int, lowest_rank: int) -> float:
        """Computes the share to refuse of requests of a rank.

        :param lowest_rank: rank of the least important requests that there are.
        """
        return min(1.0, max(0.0, self._level - (lowest_rank - rank)))
