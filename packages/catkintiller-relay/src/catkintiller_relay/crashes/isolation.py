"""Keeps suspects apart from each other at one endpoint.

If two suspects run when an endpoint crashes, nobody can tell which one is the cause.
One suspect at a time therefore has the turn. A suspect of a single crash passes it on
after a short time, because most of these only ran beside the cause, and many wait; a
suspect of several crashes keeps it until its response.
"""

from collections.abc import Iterator
from typing import Any, NamedTuple

MAX_WAITING = 256
TURN_S = 0.1  # a request that crashes its endpoint mostly does so right away


class Turn(NamedTuple):
    """The suspect whose turn it is.

    :param ends_at: time of the event loop, in seconds; None if it ends with the run.
    """

    item: Any
    ends_at: float | None


class WaitingSuspect(NamedTuple):
    """A suspect that waits for its turn.

    :param expires_at: time of the event loop until which it may wait, in seconds.
    """

    item: Any
    expires_at: float


class Isolation:
    """Turns of the suspects at one endpoint."""

    def __init__(self) -> None:
        self._turn: Turn | None = None
        self._running: dict[Any, None] = {}
        self._waiting: list[WaitingSuspect] = []

    @property
    def waiting_count(self) -> int:
        """Number of suspects that wait."""
        return len(self._waiting)

    def start(self, now: float, item: Any, crash_count: int) -> bool:
        """Gives a suspect the turn, so that it may run now.

        :param now: time of the event loop in seconds.
        :param crash_count: number of crashes at which it ran.
        :returns: False if it must wait.
        """
        if not self.is_turn_free(now):
            return False
        if crash_count > 1 and self._running:
            return False
        ends_at = now + TURN_S if crash_count <= 1 else None
        self._turn = Turn(item, ends_at)
        self._running[item] = None
        return True

    def wait(self, item: Any, expires_at: float) -> bool:
        """Lets a suspect wait for its turn.

        :returns: False if too many wait.
        """
        if len(self._waiting) >= MAX_WAITING:
            return False
        self._waiting.append(WaitingSuspect(item, expires_at))
        return True

    def end(self, item: Any) -> None:
        """Ends the run of a suspect, and its turn."""
        self._running.pop(item, None)
        if self._turn is not None and self._turn.item is item:
            self._turn = None

    def is_turn_free(self, now: float) -> bool:
        """Returns whether a suspect may get the turn.

        :param now: time of the event loop in seconds.
        """
        turn = self._turn
        return turn is None or (turn.ends_at is not None and now >= turn.ends_at)

    def has_started(self, item: Any) -> bool:
        """Returns whether an item runs as a suspect."""
        return item in self._running

    def iter_running(self) -> Iterator[Any]:
        """Iterates over the suspects that run."""
        return iter(self._running)

    def pop_waiting(self) -> list[WaitingSuspect]:
        """Removes and returns all that wait, in the order of their arrival."""
        waiting, self._waiting = self._waiting, []
        return waiting
