"""Admission control at the endpoint's node.

A request runs, waits in a queue, or is refused. The queue is ordered by priority
class and depth, and first in, first out within these, which is acceptable because
the waiting time is bounded. The admission level rises while requests wait too long and
falls otherwise. Ranks below it are refused immediately, here and, through
:class:`~catkintiller.data.Feedback`, at the node where the root request arrives.

The slots of the endpoint bound all running requests. The limiter additionally
bounds those that occupy the endpoint, that is, do not wait for a nested call.
"""

import bisect
import enum
from collections.abc import Callable
from typing import NamedTuple

from . import data, limits, rank

LEVEL_WINDOW_S = 0.05
# Steps of the level are counted in ranks that were recently submitted.
LEVEL_RAISE_STEP_COUNT = 2
LEVEL_LOWER_STEP_COUNT = 1
RANK_RETENTION_S = 5.0
EXTENDED_WAIT_RATIO = 4
TOP_CLASS_WAIT_RATIO = 0.5
MAX_WAITING_COUNT = 4096


class Verdict(enum.Enum):
    """Decision of admission control about a request."""

    RUN = "run"
    WAIT = "wait"
    REFUSE = "refuse"


class WaitingRequest(NamedTuple):
    """A waiting request. Entries are sorted so that the next one to run is last.

    ``group`` is the rank without its bucket, that is, priority class and depth; it is
    0 without load shedding. ``sequence`` is negative and decreases with each arrival.
    ``notify`` is called with ``None`` when the request may run, else with the reason
    of the refusal.
    """

    group: int
    sequence: int
    arrived_at: float
    expires_at: float
    notify: Callable[[data.Reason | None], None]


class AdmissionController:
    """Admission control for one endpoint. Times are arguments, in seconds.

    :param limiter: limit on running requests that do not wait for a nested call.
    :param slots: limit on all running requests.
    :param queue_s: longest time that a request waits, in seconds.
    :param shedding: whether load shedding is on; ``False`` treats all priority
        classes alike, without an admission level and with a first in, first out queue.
    :param shed_early: whether the level rises as soon as a request has waited for half
        of ``queue_s``. This ends a stall sooner, but leaves slots idle at times.
    """

    def __init__(
        self,
        limiter: limits.Limiter,
        slots: int,
        queue_s: float,
        shedding: bool = True,
        shed_early: bool = False,
    ) -> None:
        self._limiter = limiter
        self._slots = slots
        self._queue_s = queue_s
        self._shedding = shedding
        self._shed_early = shed_early
        self._waiting: list[WaitingRequest] = []
        self._sequence = 0
        self._in_flight = 0
        self._in_nested_call_count = 0
        self._level = rank.LOWEST
        self._window_started_at = 0.0
        self._had_queue_timeout = False
        self._rank_last_seen_at: dict[int, float] = {}
        self._latency_s = 0.0

    @property
    def in_flight(self) -> int:
        """Number of running requests."""
        return self._in_flight

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return len(self._waiting)

    @property
    def limit(self) -> int:
        """Current limit on running requests, including those in nested calls."""
        return min(self._slots, self._limiter.limit + self._in_nested_call_count)

    @property
    def level(self) -> int:
        """Admission level: the lowest rank that is admitted."""
        return self._level

    @property
    def latency_s(self) -> float:
        """Exponential moving average of the latency at the endpoint, in seconds."""
        return self._latency_s

    def configure(
        self,
        limiter: limits.Limiter,
        slots: int,
        queue_s: float,
        shedding: bool,
        shed_early: bool,
    ) -> None:
        """Applies changed settings; running and waiting requests are unaffected."""
        self._shed_early = shed_early
        self._limiter = limiter
        self._slots = slots
        self._queue_s = queue_s
        self._shedding = shedding
        if not shedding:
            self._level = rank.LOWEST

    def submit(
        self,
        now: float,
        call_rank: int,
        deadline: float,
        notify: Callable[[data.Reason | None], None],
        can_wait_longer: bool = False,
    ) -> Verdict:
        """Submits a request for admission.

        :param call_rank: rank of the request; higher ranks are admitted first.
        :param deadline: time after which the request is of no use.
        :param can_wait_longer: whether the request may wait ``EXTENDED_WAIT_RATIO``
            times as long. One of the highest class may also wait for
            ``TOP_CLASS_WAIT_RATIO`` of the time until its deadline.
        :param notify: callback that is called once for a waiting request, with
            ``None`` when it may run, or with the reason when it is refused.
        """
        self.tick(now)
        self._rank_last_seen_at[call_rank] = now
        if call_rank < self._level:
            return Verdict.REFUSE
        if self._in_flight < self.limit and not self._waiting:
            self._in_flight += 1
            return Verdict.RUN
        if self._queue_s <= 0:
            return Verdict.REFUSE
        self._sequence += 1
        expires_at = min(
            now + self._compute_max_wait(now, call_rank, deadline, can_wait_longer),
            deadline,
        )
        group = call_rank // rank.BUCKET_COUNT if self._shedding else 0
        entry = WaitingRequest(group, -self._sequence, now, expires_at, notify)
        bisect.insort(self._waiting, entry, key=lambda item: item[:2])
        if len(self._waiting) > MAX_WAITING_COUNT:
            # The first entry is the one that would run last.
            self._waiting.pop(0).notify(data.Reason.OVERLOADED)
        return Verdict.WAIT

    def _compute_max_wait(
        self, now: float, call_rank: int, deadline: float, can_wait_longer: bool
    ) -> float:
        """Computes the longest time that a request may wait, in seconds."""
        if not can_wait_longer:
            return self._queue_s
        max_wait_s = self._queue_s * EXTENDED_WAIT_RATIO
        if self._shedding and call_rank >= self._get_top_class_start():
            # Refusing a request of the highest class here would waste all work that
            # has already been done for its root request.
            max_wait_s = max(max_wait_s, (deadline - now) * TOP_CLASS_WAIT_RATIO)
        return max_wait_s

    def _get_top_class_start(self) -> int:
        """Returns the lowest rank of the highest class that was recently submitted."""
        highest_rank = max(self._rank_last_seen_at, default=rank.LOWEST)
        return highest_rank // rank.RANKS_PER_CLASS * rank.RANKS_PER_CLASS

    def cancel(self, notify: Callable[[data.Reason | None], None]) -> bool:
        """Removes a request from the queue.

        :param notify: callback that the request was submitted with.
        :returns: whether the request was still waiting.
        """
        for index, entry in enumerate(self._waiting):
            if entry.notify is notify:
                del self._waiting[index]
                return True
        return False

    def begin_nested_call(self, now: float) -> None:
        """Records that a running request waits for a nested call."""
        self._in_nested_call_count += 1
        self.tick(now)

    def end_nested_call(self) -> None:
        """Records that a nested call of a running request has ended."""
        self._in_nested_call_count -= 1

    def finish(
        self, now: float, kind: str, latency_s: float, work_s: float, failed: bool
    ) -> None:
        """Records the end of a running request and starts waiting ones.

        :param kind: kind of request.
        :param latency_s: time at the endpoint, in seconds.
        :param work_s: time at the endpoint without nested calls, in seconds.
        :param failed: whether the request failed.
        """
        working = self._in_flight - self._in_nested_call_count
        self._limiter.record(now, kind, work_s, failed, working)
        weight = 0.1 if self._latency_s else 1.0
        self._latency_s += weight * (latency_s - self._latency_s)
        self.release(now)

    def release(self, now: float) -> None:
        """Frees the slot of a request that did not reach the endpoint."""
        self._in_flight -= 1
        self.tick(now)

    def tick(self, now: float) -> None:
        """Refuses expired requests, adjusts the level and fills free slots."""
        self._expire_waiting(now)
        if now - self._window_started_at >= LEVEL_WINDOW_S:
            self._adjust_level(now)
        while self._waiting and self._in_flight < self.limit:
            entry = self._waiting.pop()
            self._in_flight += 1
            entry.notify(None)

    def _expire_waiting(self, now: float) -> None:
        if not any(entry.expires_at <= now for entry in self._waiting):
            return
        expired = [entry for entry in self._waiting if entry.expires_at <= now]
        self._waiting = [entry for entry in self._waiting if entry.expires_at > now]
        self._had_queue_timeout = True
        for entry in expired:
            entry.notify(data.Reason.QUEUE_TIMEOUT)

    def _adjust_level(self, now: float) -> None:
        half_queue_s = self._queue_s / 2
        is_slow = self._shed_early and any(
            now - entry.arrived_at > half_queue_s for entry in self._waiting
        )
        window_count = min(100, int((now - self._window_started_at) / LEVEL_WINDOW_S))
        if self._shedding and (self._had_queue_timeout or is_slow):
            self._raise_level(now)
        elif self._level > rank.LOWEST:
            self._lower_level(LEVEL_LOWER_STEP_COUNT * max(1, window_count))
        self._had_queue_timeout = False
        self._window_started_at = now

    def _raise_level(self, now: float) -> None:
        """Raises the level by ``LEVEL_RAISE_STEP_COUNT`` recently submitted ranks."""
        oldest_seen_at = now - RANK_RETENTION_S
        self._rank_last_seen_at = {
            r: at for r, at in self._rank_last_seen_at.items() if at > oldest_seen_at
        }
        if not self._rank_last_seen_at:
            return
        # The level never sheds the highest class present; its requests compete in
        # the queue.
        higher_ranks = sorted(r for r in self._rank_last_seen_at if r >= self._level)
        target_level = (
            higher_ranks[min(LEVEL_RAISE_STEP_COUNT, len(higher_ranks) - 1)]
            if higher_ranks
            else self._level
        )
        self._level = min(self._get_top_class_start(), target_level)

    def _lower_level(self, steps: int) -> None:
        """Lowers the level by ``steps`` recently submitted ranks."""
        lower_ranks = sorted(
            (r for r in self._rank_last_seen_at if r < self._level), reverse=True
        )
        self._level = (
            lower_ranks[steps - 1] if len(lower_ranks) >= steps else rank.LOWEST
        )
