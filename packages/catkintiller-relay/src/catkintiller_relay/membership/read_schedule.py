"""Decides when a node that reads configs must read the store at the latest.

A poll of a store that has fallen silent looks like a poll without news. Therefore some
node has to begin a short read in each interval, whatever becomes of the polls. One
reader is enough: the others postpone their reads when it tells them that it succeeded.
A read that failed postpones nothing at other nodes, since the store may be unreachable
from one node alone.
"""

import random

MIN_INTERVAL_RATIO = 0.7  # readers draw different times, so that one of them is first


class ReadSchedule:
    """The time of the next read; all times are those of the event loop, in seconds.

    :param interval_s: longest time between the beginnings of two reads.
    """

    def __init__(self, interval_s: float, rng: random.Random) -> None:
        self._interval_s = interval_s
        self._rng = rng
        self._began_at = float("-inf")
        self._confirmed_at = float("-inf")
        self._due_at = float("-inf")

    @property
    def due_at(self) -> float:
        """Time at which the next read has to begin."""
        return self._due_at

    @property
    def confirmed_at(self) -> float:
        """Time since which configs may be missing here; minus infinity at first."""
        return self._confirmed_at

    def begin_read(self, now: float) -> None:
        """Records that this node begins a read."""
        self._began_at = now
        self._update_due_at()

    def confirm(self, began_at: float) -> None:
        """Records that a read that began at a time succeeded, here or at a peer."""
        if began_at > self._confirmed_at:
            self._confirmed_at = began_at
            self._update_due_at()

    def _update_due_at(self) -> None:
        interval_s = self._interval_s * self._rng.uniform(MIN_INTERVAL_RATIO, 1.0)
        self._due_at = max(self._began_at, self._confirmed_at) + interval_s
