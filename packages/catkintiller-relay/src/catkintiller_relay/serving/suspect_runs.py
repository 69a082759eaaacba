"""Decides which attempts may start at the local endpoint, given earlier crashes."""

import collections
import enum
from collections.abc import Iterable
from typing import NamedTuple

from ..crashes import crash, crash_history, fingerprint, isolation
from . import attempts, endpoint_queue

MAX_CANCELLED = 64


class Decision(enum.Enum):
    """What happens to an attempt that could start."""

    RUN = "run"
    WAIT = "wait"
    REFUSE = "refuse"


class ReadyAttempts(NamedTuple):
    """Attempts that no longer wait for the turn of a suspect.

    :param runnable: attempts that may run now.
    :param expired: attempts that have waited too long.
    :param blocked: attempts of requests that have been blocked since.
    """

    runnable: list[attempts.Execution]
    expired: list[attempts.Execution]
    blocked: list[attempts.Execution]


class CancelledRun(NamedTuple):
    """An attempt that was cancelled while it ran.

    :param started_at: time of the event loop when it was sent, in seconds.
    :param cancelled_at: time of the event loop, in seconds.
    :param was_suspect: whether it ran as a suspect.
    """

    request_id: bytes
    fingerprint: bytes
    started_at: float
    cancelled_at: float
    was_suspect: bool


class SuspectRuns:
    """Runs of suspects at the local endpoint.

    :param history: suspects and blocked requests.
    """

    def __init__(self, history: crash_history.CrashHistory) -> None:
        self._history = history
        self._isolation = isolation.Isolation()
        self._cancelled: collections.deque[CancelledRun] = collections.deque(
            maxlen=MAX_CANCELLED
        )

    @property
    def waiting_count(self) -> int:
        """Number of attempts that wait for the turn of a suspect."""
        return self._isolation.waiting_count

    def decide(self, now: float, execution: attempts.Execution) -> Decision:
        """Decides whether an attempt may start; gives it the turn if it is a suspect.

        :param now: time of the event loop in seconds.
        """
        attempt = execution.attempt
        if self._history.is_empty and not attempt.suspect_crashes:
            return Decision.RUN
        identity = get_fingerprint(execution)
        if attempt.suspect_crashes:
            self._history.record_suspicion(now, identity, attempt.suspect_crashes)
        standing = self._history.get_standing(now, identity)
        if standing is crash_history.Standing.CLEAR:
            return Decision.RUN
        if standing is crash_history.Standing.BLOCKED:
            return Decision.REFUSE
        crash_count = self._history.get_crash_count(identity)
        if self._isolation.start(now, execution, crash_count):
            return Decision.RUN
        return Decision.WAIT

    def wait(
        self,
        execution: attempts.Execution,
        now: float,
        service_time_s: float,
    ) -> bool:
        """Lets an attempt wait for its turn.

        :param service_time_s: average time at the endpoint, in seconds.
        :returns: False if too many wait.
        """
        attempt = execution.attempt
        wait_s = endpoint_queue.compute_wait_budget_s(
            execution.deadline - now,
            attempt.target_latency_s,
            service_time_s,
            attempt.is_nested_call,
        )
        return self._isolation.wait(execution, now + wait_s)

    def end(self, execution: attempts.Execution) -> None:
        """Ends the run of an attempt, if it ran as a suspect."""
        self._isolation.end(execution)

    def pop_ready(self, now: float) -> ReadyAttempts:
        """Removes the attempts that need not wait any longer.

        Suspects are taken in the order of their arrival, at most one of them.

        :param now: time of the event loop in seconds.
        """
        ready = ReadyAttempts([], [], [])
        may_take_turn = self._isolation.is_turn_free(now)
        for waiting in self._isolation.pop_waiting():
            execution = waiting.item
            if execution.on_complete is None:
                continue
            standing = self._history.get_standing(now, get_fingerprint(execution))
            if standing is crash_history.Standing.BLOCKED:
                ready.blocked.append(execution)
            elif now > waiting.expires_at:
                ready.expired.append(execution)
            elif standing is crash_history.Standing.CLEAR:
                ready.runnable.append(execution)
            elif may_take_turn:
                may_take_turn = False
                ready.runnable.append(execution)
            else:
                self._isolation.wait(execution, waiting.expires_at)
        return ready

    def pop_all(self) -> list[attempts.Execution]:
        """Removes and returns the attempts that wait."""
        return [waiting.item for waiting in self._isolation.pop_waiting()]

    def record_cancel(self, execution: attempts.Execution, now: float) -> None:
        """Records that an attempt was cancelled while it ran.

        :param now: time of the event loop in seconds.
        """
        cancelled = CancelledRun(
            execution.attempt.request_id,
            get_fingerprint(execution),
            execution.exchange.started_at,
            now,
            self._isolation.has_started(execution),
        )
        self._cancelled.append(cancelled)

    def build_runs(
        self,
        running: Iterable[attempts.Execution],
        now: float,
        cancelled_from: float,
    ) -> tuple[crash.CrashedRun, ...]:
        """Builds the records of the attempts that ran when the endpoint crashed.

        Those that were cancelled shortly before count as well: the endpoint may have
        worked on one of them.

        :param running: attempts that have been sent and have no response.
        :param now: time of the event loop in seconds.
        :param cancelled_from: time of the event loop since which cancelled ones count.
        """
        cancelled = [
            each for each in self._cancelled if each.cancelled_at > cancelled_from
        ]
        suspects = {get_fingerprint(each) for each in self._isolation.iter_running()}
        suspects |= {each.fingerprint for each in cancelled if each.was_suspect}
        only_suspect = suspects.pop() if len(suspects) == 1 else None
        sent = [
            (each.attempt.request_id, get_fingerprint(each), each.exchange.started_at)
            for each in running
        ]
        sent += [
            (each.request_id, each.fingerprint, each.started_at) for each in cancelled
        ]
        return tuple(
            crash.CrashedRun(
                request_id, identity, now - started_at, identity == only_suspect
            )
            for request_id, identity, started_at in sent
        )


def get_fingerprint(execution: attempts.Execution) -> bytes:
    """Returns the fingerprint of an attempt; it is computed at the first call."""
    if not execution.fingerprint:
        attempt = execution.attempt
        execution.fingerprint = fingerprint.compute_fingerprint(
            attempt.service, attempt.head, attempt.body, attempt.customer
        )
    return execution.fingerprint
