"""Admission beside the endpoint: who runs, who waits and who is refused.

Waiting requests are ordered by class and depth, and oldest first within these,
since none waits longer than the queue's bound in time. The admission level rises
while requests wait too long and falls while they do not; ranks below it are
refused at once, here and, through :class:`~catkintiller.data.Feedback`, at the
node of arrival.

All requests that run are bounded by the endpoint's slots. Those that work, and do
not wait for calls of their own, are bounded by the limiter too.
"""

import bisect
import enum
from collections.abc import Callable
from typing import NamedTuple

from . import data, limits, rank

LEVEL_WINDOW_S = 0.05
RAISE_RANKS = 2
LOWER_RANKS = 1
RANK_MEMORY_S = 5.0
PATIENCE = 4
IMPORTANT_SHARE = 0.5
MAX_WAITING = 4096


class Verdict(enum.Enum):
    """What admission does with a request now."""

    RUN = "run"
    WAIT = "wait"
    REFUSE = "refuse"


class Waiting(NamedTuple):
    """A request that waits; sorts so that the next to run is last."""

    group: int
    order: int
    arrived: float
    expires: float
    wake: Callable[[data.Reason | None], None]


class AdmissionController:
    """Admission of one endpoint. Time is always an argument, in seconds.

    :param limiter: limit on working requests.
    :param slots: limit on running requests.
    :param queue_s: longest time that a request waits.
    :param shedding: ``False`` to treat all classes alike: no admission level, and
        a queue in order of arrival.
    :param early: raise the level once requests wait half their time, which ends
        a stall sooner but leaves slots empty at times.
    """

    def __init__(
        self,
        limiter: limits.Limiter,
        slots: int,
        queue_s: float,
        shedding: bool = True,
        early: bool = False,
    ) -> None:
        self._limiter = limiter
        self._slots = slots
        self._queue_s = queue_s
        self._shedding = shedding
        self._early = early
        self._waiting: list[Waiting] = []
        self._order = 0
        self._in_flight = 0
        self._calling = 0
        self._level = rank.LOWEST
        self._window_started = 0.0
        self._overdue = False
        self._seen: dict[int, float] = {}
        self._latency_s = 0.0

    @property
    def in_flight(self) -> int:
        """Requests that run now."""
        return self._in_flight

    @property
    def waiting(self) -> int:
        """Requests that wait now."""
        return len(self._waiting)

    @property
    def limit(self) -> int:
        """The present limit on requests in flight."""
        return min(self._slots, self._limiter.limit + self._calling)

    @property
    def level(self) -> int:
        """The lowest rank that is admitted."""
        return self._level

    @property
    def latency_s(self) -> float:
        """Smoothed time of a request at the endpoint."""
        return self._latency_s

    def configure(
        self,
        limiter: limits.Limiter,
        slots: int,
        queue_s: float,
        shed: bool,
        early: bool,
    ) -> None:
        """Takes changed settings into use; what runs or waits stays."""
        self._early = early
        self._limiter = limiter
        self._slots = slots
        self._queue_s = queue_s
        self._shedding = shed
        if not shed:
            self._level = rank.LOWEST

    def submit(
        self,
        now: float,
        call_rank: int,
        deadline: float,
        wake: Callable[[data.Reason | None], None],
        patient: bool = False,
    ) -> Verdict:
        """Offers a request.

        :param patient: the request may wait ``PATIENCE`` times as long, and if it
            is of the most important class, half of the time that it has left.
        :param wake: called once for a request that waits, with ``None`` when it
            may run and with the reason when it is refused.
        """
        self.tick(now)
        self._seen[call_rank] = now
        if call_rank < self._level:
            return Verdict.REFUSE
        if self._in_flight < self.limit and not self._waiting:
            self._in_flight += 1
            return Verdict.RUN
        if self._queue_s <= 0:
            return Verdict.REFUSE
        self._order += 1
        expires = min(
            now + self._get_patience(now, call_rank, deadline, patient), deadline
        )
        group = call_rank // rank.BUCKET_COUNT if self._shedding else 0
        entry = Waiting(group, -self._order, now, expires, wake)
        bisect.insort(self._waiting, entry, key=lambda item: item[:2])
        if len(self._waiting) > MAX_WAITING:
            self._waiting.pop(0).wake(data.Reason.OVERLOADED)
        return Verdict.WAIT

    def _get_patience(
        self, now: float, call_rank: int, deadline: float, patient: bool
    ) -> float:
        """Gets how long a request may wait, in seconds."""
        if not patient:
            return self._queue_s
        patience_s = self._queue_s * PATIENCE
        if self._shedding and call_rank >= self._get_ceiling():
            # Giving up the most important work wastes all that it has cost.
            patience_s = max(patience_s, (deadline - now) * IMPORTANT_SHARE)
        return patience_s

    def _get_ceiling(self) -> int:
        """Gets the lowest rank of the most important class lately seen."""
        highest = max(self._seen, default=rank.LOWEST)
        return highest // rank.RANKS_PER_CLASS * rank.RANKS_PER_CLASS

    def cancel(self, wake: Callable[[data.Reason | None], None]) -> bool:
        """Takes a waiting request back.

        :returns: whether it was still waiting.
        """
        for index, entry in enumerate(self._waiting):
            if entry.wake is wake:
                del self._waiting[index]
                return True
        return False

    def begin_nested_call(self, now: float) -> None:
        """Notes that a running request waits for calls of its own."""
        self._calling += 1
        self.tick(now)

    def end_nested_call(self) -> None:
        """Notes that a running request works again."""
        self._calling -= 1

    def finish(
        self, now: float, kind: str, latency_s: float, work_s: float, failed: bool
    ) -> None:
        """Ends a running request and lets waiting ones run.

        :param latency_s: time at the endpoint.
        :param work_s: the same without the request's own calls.
        """
        working = self._in_flight - self._calling
        self._limiter.record(now, kind, work_s, failed, working)
        weight = 0.1 if self._latency_s else 1.0
        self._latency_s += weight * (latency_s - self._latency_s)
        self.release(now)

    def release(self, now: float) -> None:
        """Gives back a slot whose request did not reach the endpoint."""
        self._in_flight -= 1
        self.tick(now)

    def tick(self, now: float) -> None:
        """Expires overdue waiters, adjusts the level, and fills free slots."""
        self._expire(now)
        if now - self._window_started >= LEVEL_WINDOW_S:
            self._adjust_level(now)
        while self._waiting and self._in_flight < self.limit:
            entry = self._waiting.pop()
            self._in_flight += 1
            entry.wake(None)

    def _expire(self, now: float) -> None:
        if not any(entry.expires <= now for entry in self._waiting):
            return
        overdue = [entry for entry in self._waiting if entry.expires <= now]
        self._waiting = [entry for entry in self._waiting if entry.expires > now]
        self._overdue = True
        for entry in overdue:
            entry.wake(data.Reason.QUEUE_TIMEOUT)

    def _adjust_level(self, now: float) -> None:
        half = self._queue_s / 2
        slow = self._early and any(
            now - entry.arrived > half for entry in self._waiting
        )
        windows = min(100, int((now - self._window_started) / LEVEL_WINDOW_S))
        if self._shedding and (self._overdue or slow):
            self._raise_level(now)
        elif self._level > rank.LOWEST:
            self._lower_level(LOWER_RANKS * max(1, windows))
        self._overdue = False
        self._window_started = now

    def _raise_level(self, now: float) -> None:
        """Moves the level up by a few of the ranks that requests have."""
        oldest = now - RANK_MEMORY_S
        self._seen = {r: at for r, at in self._seen.items() if at > oldest}
        if not self._seen:
            return
        # The most important class that there is is not shed by level; its
        # requests compete in the queue.
        higher = sorted(r for r in self._seen if r >= self._level)
        wanted = higher[min(RAISE_RANKS, len(higher) - 1)] if higher else self._level
        self._level = min(self._get_ceiling(), wanted)

    def _lower_level(self, steps: int) -> None:
        """Moves the level down by ranks that requests had lately."""
        lower = sorted((r for r in self._seen if r < self._level), reverse=True)
        self._level = lower[steps - 1] if len(lower) >= steps else rank.LOWEST
