"""Times at which refused requests may return, spread over the room of their customer.

Each refusal reserves the next free time of its customer at this node. The times of a
customer follow each other at the rate at which its requests are admitted, so a customer
far above its share is told later times than one just above it. A request that returns
at its time is admitted before requests that arrive for the first time.

Handles clients that return exactly when they were told to: a return is recognized by
its content, and takes from the share of its own customer.
"""

import bisect
import random
from collections.abc import Hashable

RETURNS_RATIO = 0.9  # of the admitted requests of a customer, while it is refused
MIN_DELAY_S = 0.1
MAX_DELAY_S = 30.0
EARLY_TOLERANCE_S = 0.02
LATE_TOLERANCE_S = 1.0
SPREAD_RATIO = 0.1
MAX_RESERVATION_COUNT = 4096

Group = tuple[str, int, str]


class ReservationBook:
    """Reservations that one node has given.

    :param rng: source of the spread.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._next_at: dict[Group, float] = {}
        self._times: dict[Hashable, list[float]] = {}  # sorted
        self._ends: list[tuple[float, Hashable]] = []

    @property
    def is_empty(self) -> bool:
        """Whether no reservation is left."""
        return not self._times

    def reserve(
        self, group: Group, content: Hashable, admitted_per_s: float, now: float
    ) -> float:
        """Reserves a time for a refused request; returns the delay until then.

        :param group: service, rank and customer that are limited.
        :param content: what the request is recognized by.
        :param admitted_per_s: requests of the customer admitted here per second.
        :param now: time in seconds.
        """
        interval_s = 1.0 / max(1.0 / MAX_DELAY_S, RETURNS_RATIO * admitted_per_s)
        earliest = max(now + MIN_DELAY_S, self._next_at.get(group, 0.0))
        at = earliest + SPREAD_RATIO * MIN_DELAY_S * self._rng.random()
        at += interval_s * self._rng.random()
        if at - now > MAX_DELAY_S:
            return MAX_DELAY_S * self._rng.uniform(1.0, 1.0 + SPREAD_RATIO)
        self._next_at[group] = earliest + interval_s
        if len(self._ends) < MAX_RESERVATION_COUNT:
            bisect.insort(self._times.setdefault(content, []), at)
            bisect.insort(self._ends, (_get_end(at), content))
        return at - now

    def take(self, content: Hashable, now: float) -> bool:
        """Uses the reservation of a request that returns; returns whether it has one.

        Of several, the one that ends first is used. They are searched by bisection,
        since a customer may have thousands for the same path.

        :param now: time in seconds.
        """
        times = self._times.get(content)
        if times is None:
            return False
        index = bisect.bisect_left(times, now - LATE_TOLERANCE_S)
        if index == len(times) or times[index] - EARLY_TOLERANCE_S > now:
            return False
        del times[index]
        if not times:
            del self._times[content]
        return True

    def drop_expired(self, now: float) -> None:
        """Drops reservations whose requests have not returned.

        :param now: time in seconds.
        """
        count = bisect.bisect_left(self._ends, now, key=lambda entry: entry[0])
        for end, content in self._ends[:count]:
            times = self._times.get(content, [])
            del times[: bisect.bisect_right(times, end, key=_get_end)]
            if not times:
                self._times.pop(content, None)
        del self._ends[:count]
        if count:
            for group, at in list(self._next_at.items()):
                if at < now:
                    del self._next_at[group]


def _get_end(at: float) -> float:
    """Returns the end of the reservation of a time."""
    return at + LATE_TOLERANCE_S
