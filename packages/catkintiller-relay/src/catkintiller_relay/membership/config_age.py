"""Tells whether the config in force may be outdated for longer than keys may be.

A node knows that its config was the newest one at the time at which it began a read of
the store that returned no newer one. Nodes that do not read the store ask a peer that
does: the peer states the age of what it knows, and the node counts from the time at
which it asked. Neither a delayed reply nor a pause of the process makes a config seem
more recent than it is.
"""

import time
from collections.abc import Callable

# Parts of the bound. A config is at most two reads old at a reader and one more request
# old at its peers, which together stays below the bound.
STORE_WAIT_RATIO = 0.25
REQUEST_INTERVAL_RATIO = 0.1
NOT_KNOWN_MS = -1


def read_clock() -> float:
    """Reads the clock that also advances while the VM is suspended, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class ConfigAge:
    """Age of what a node knows about the config; all times are in seconds.

    :param bound_s: longest age at which keys are honoured; None for no bound.
    :param get_time: returns the time of a clock that also advances while the VM is
        suspended.
    """

    def __init__(
        self, bound_s: float | None, get_time: Callable[[], float] = read_clock
    ) -> None:
        self._bound_s = bound_s
        self._get_time = get_time
        self._newest_at: float | None = None
        self._last_number = 0
        self._requested_at = float("-inf")

    @property
    def is_within_bound(self) -> bool:
        """Whether a key that is in force here was in force within the bound."""
        if self._bound_s is None:
            return True
        newest_at = self._newest_at
        return newest_at is not None and self._get_time() - newest_at <= self._bound_s

    @property
    def is_request_due(self) -> bool:
        """Whether a peer that reads the store is to be asked."""
        if self._bound_s is None:
            return False
        interval_s = REQUEST_INTERVAL_RATIO * self._bound_s
        return self._get_time() - self._requested_at >= interval_s

    def get_age_ms(self) -> int:
        """Returns the age in milliseconds, rounded up; negative if not known."""
        if self._newest_at is None:
            return NOT_KNOWN_MS
        return int((self._get_time() - self._newest_at) * 1000) + 1

    def confirm(self, newest_at: float) -> None:
        """Records that no config was newer than the one in force at a time."""
        if self._newest_at is None or newest_at > self._newest_at:
            self._newest_at = newest_at

    def begin_request(self) -> int:
        """Returns the number of a new request to a peer."""
        self._last_number += 1
        self._requested_at = self._get_time()
        return self._last_number

    def handle_reply(self, number: int, age_ms: int) -> None:
        """Handles the age that a peer stated; only the last request is considered."""
        if number == self._last_number and number and age_ms >= 0:
            self.confirm(self._requested_at - age_ms / 1000)
