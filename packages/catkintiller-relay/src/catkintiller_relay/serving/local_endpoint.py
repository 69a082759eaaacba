"""Runs requests at the local endpoint within its concurrency limit."""

import asyncio
import functools
from collections.abc import Callable
from typing import Any

import msgspec

from .. import data
from ..crashes import crash, crash_reporter
from ..routing import call_graph, stop_deadline
from . import (
    attempts,
    endpoint_exchange,
    endpoint_pool,
    endpoint_queue,
    endpoint_tracker,
    rate_limiter,
    response_notices,
    service_times,
    suspect_runs,
)

MIN_REMAINING_S = 0.005
CANCELLED_COUNTS_S = 1.0  # an endpoint may go on with a cancelled request


class NoticeSource(msgspec.Struct, frozen=True):
    """Response that a notice was in.

    :param instance: instance ID of the endpoint that it came from.
    :param start_ms: Unix time of the endpoint's start, in milliseconds.
    :param sent_at: time of the event loop when its request was sent, in seconds.
    """

    instance: str
    start_ms: int
    sent_at: float


NoticeCallback = Callable[[NoticeSource, response_notices.Notice], None]


class LocalEndpoint:
    """The endpoint beside this node, with its queue and its running requests.

    :param tracker: state of the endpoint.
    :param pool: connections to the endpoint.
    :param graph: counts the runs of each route.
    :param metrics: records queue and service times; see
        :class:`..telemetry.metrics.Metrics`.
    :param on_notice: called with the notice in each response of the endpoint.
    :param crashes: is told of crashes, and knows the suspects and blocked requests.
    :ivar running_requests: requests that run at the endpoint.
    :ivar queue: requests that are queued for the endpoint.
    :ivar service_times: service times of the endpoint by route.
    :ivar stopping: whether this node is about to stop.
    :ivar ends_at: time of the event loop at which this node ends, in seconds; None
        while it does not stop.
    :ivar lame_duck_ended: whether this node no longer accepts requests as a lame duck.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        tracker: endpoint_tracker.EndpointTracker,
        pool: endpoint_pool.EndpointConnectionPool,
        graph: call_graph.CallGraph,
        metrics: Any,
        on_notice: NoticeCallback,
        crashes: crash_reporter.CrashReporter,
    ) -> None:
        self._loop = loop
        self._tracker = tracker
        self._pool = pool
        self._graph = graph
        self._metrics = metrics
        self._on_notice = on_notice
        self._crashes = crashes
        self._running: dict[attempts.Execution, None] = {}
        self._crashed_start: tuple[str, int] | None = None
        self._last_response_at = 0.0
        self._suspect_runs = suspect_runs.SuspectRuns(crashes.history)
        pool.crash_detector.on_crash = self._handle_crash
        self._sent_count = 0
        self._named_limit = rate_limiter.NamedRateLimit()
        self._run_timer: asyncio.TimerHandle | None = None
        self.running_requests = call_graph.RunningRequestIndex()
        self.queue = endpoint_queue.EndpointQueue()
        self.queue.await_first_response()
        self.service_times = service_times.ServiceTimes()
        self.stopping = False
        self.ends_at: float | None = None
        self.lame_duck_ended = False

    @property
    def accepting(self) -> bool:
        """Whether new requests are accepted and this node is not about to stop."""
        return not self.stopping and self._tracker.is_accepting(self._loop.time())

    @property
    def lame_duck(self) -> bool:
        """Whether new requests are accepted although this node is about to stop.

        The endpoint continues to run, and it is reachable only through this node.
        """
        if not self.stopping or self.lame_duck_ended:
            return False
        return self._tracker.is_accepting(self._loop.time())

    def submit(
        self,
        attempt: attempts.Attempt,
        on_complete: Callable[[attempts.AttemptResult], None],
    ) -> attempts.Execution:
        """Starts, queues or refuses an attempt.

        :param on_complete: called once with the result, possibly before this method
            returns, unless the attempt is cancelled.
        """
        execution = attempts.Execution(attempt, on_complete)
        now = self._loop.time()
        execution.submitted_at = now
        execution.deadline = now + attempt.remaining_s
        current = self._tracker.current
        if not self._tracker.is_accepting(now):
            self._refuse(execution, data.RefusalReason.ENDPOINT_LEAVING)
            return execution
        if current.service != attempt.service:
            self._refuse(execution, data.RefusalReason.WRONG_SERVICE)
            return execution
        if not self._can_finish(execution, now):
            self._refuse(execution, data.RefusalReason.ENDPOINT_LEAVING)
            return execution
        self._enqueue(execution, now)
        return execution

    def cancel(self, execution: attempts.Execution) -> None:
        """Cancels an attempt whose sender no longer waits for the response."""
        if execution.on_complete is None:
            return
        execution.on_complete = None
        if execution.is_running:
            if execution.exchange.started_at:
                self._suspect_runs.record_cancel(execution, self._loop.time())
            execution.exchange.cancel()
            self._release_slot(execution, None)
        elif execution.queue_number is not None:
            self.queue.remove(execution.queue_number)

    def handle_endpoint_start(self, previous: data.Announcement) -> None:
        """Drops what is known about the endpoint because another one has started.

        If the previous one had not said that it leaves, it has crashed. It may have
        fallen silent before, with its connections open.

        :param previous: last announcement of the previous start.
        """
        if previous.state is data.EndpointState.READY:
            self._report_crash(previous, self._last_response_at)
        self.service_times.clear()
        self._named_limit.clear()
        self.queue.set_rate_limit(self._loop.time(), None)

    def refuse_expired(self, now: float) -> None:
        """Refuses the queued attempts that have waited too long.

        :param now: time of the event loop in seconds.
        """
        for execution in self.queue.pop_expired(now):
            self._refuse(execution, data.RefusalReason.QUEUE_TIMEOUT)
        self._run_waiting_suspects(now)

    def refuse_queued(self) -> None:
        """Refuses all queued attempts because the endpoint drains or is gone."""
        for execution in [*self.queue.pop_all(), *self._suspect_runs.pop_all()]:
            self._refuse(execution, data.RefusalReason.ENDPOINT_LEAVING)

    def pop_sent_count(self) -> int:
        """Returns the number of requests sent since the last call and resets it."""
        sent_count, self._sent_count = self._sent_count, 0
        return sent_count

    def _enqueue(self, execution: attempts.Execution, now: float) -> None:
        """Starts, queues or refuses an attempt for which the endpoint is the right one.

        :param now: time of the event loop in seconds.
        """
        attempt = execution.attempt
        if attempt.may_hand_over and self.queue.is_full(now):
            self._refuse(execution, data.RefusalReason.ENDPOINT_FULL)
            return
        has_slot, queue_number = self.queue.offer(
            now,
            is_nested_call=attempt.is_nested_call,
            rank=attempt.rank,
            remaining_s=execution.deadline - now,
            target_latency_s=attempt.target_latency_s,
            item=execution,
            work_s=self.service_times.get_occupancy_s(attempt.route),
        )
        if has_slot:
            self._start_or_wait(execution, now)
        elif queue_number is None:
            self._refuse(execution, data.RefusalReason.OVERLOADED)
        else:
            execution.queue_number = queue_number
            self._schedule_run(now)

    def _can_finish(self, execution: attempts.Execution, now: float) -> bool:
        """Returns whether an attempt will end before this node, if it stops."""
        if self.ends_at is None:
            return True
        mean_s = self.service_times.get_occupancy_s(execution.attempt.route)
        return stop_deadline.can_finish(now, self.ends_at, execution.deadline, mean_s)

    def _start_or_wait(self, execution: attempts.Execution, now: float) -> None:
        """Starts an attempt that got a slot, unless it may not run beside others."""
        execution.queue_number = None
        decision = self._suspect_runs.decide(now, execution)
        if decision is suspect_runs.Decision.RUN:
            self._start(execution, now)
            return
        self.queue.release_slot(None)
        if decision is suspect_runs.Decision.REFUSE:
            self._refuse(execution, data.RefusalReason.BLOCKED)
        elif not self._suspect_runs.wait(execution, now, self.queue.service_time_s):
            self._refuse(execution, data.RefusalReason.OVERLOADED)

    def _run_waiting_suspects(self, now: float) -> None:
        """Continues with the attempts that waited for the turn of a suspect."""
        if not self._suspect_runs.waiting_count:
            return
        ready = self._suspect_runs.pop_ready(now)
        for execution in ready.blocked:
            self._refuse(execution, data.RefusalReason.BLOCKED)
        for execution in ready.expired:
            self._refuse(execution, data.RefusalReason.QUEUE_TIMEOUT)
        for execution in ready.runnable:
            self._enqueue(execution, now)

    def _start(self, execution: attempts.Execution, now: float) -> None:
        attempt = execution.attempt
        current = self._tracker.current
        remaining_s = execution.deadline - now
        execution.is_running = True
        execution.started_at = now
        if current is None or remaining_s < MIN_REMAINING_S:
            self._release_slot(execution, None)
            self._refuse(execution, data.RefusalReason.QUEUE_TIMEOUT)
            return
        execution.running_request = self.running_requests.add(
            attempt.route,
            attempt.rank,
            attempt.request_id,
            execution.deadline,
            attempt.customer,
        )
        header_names = self._pool.header_names
        message = b"%b%b: %d\r\n%b: %b\r\n\r\n" % (
            attempt.head,
            header_names.deadline,
            int(remaining_s * 1000),
            header_names.target,
            current.instance.encode(),
        )

        execution.exchange = endpoint_exchange.Exchange(
            attempt.request_id,
            message,
            functools.partial(self._finish, execution),
            functools.partial(self._handle_notice, execution, current),
            attempt.body,
        )
        self._sent_count += 1
        self._running[execution] = None
        self._pool.send(execution.exchange)

    def _finish(
        self,
        execution: attempts.Execution,
        outcome: data.Outcome,
        reason: data.RefusalReason | None,
        status: int,
        head: bytes,
        body: bytes,
    ) -> None:
        now = self._loop.time()
        service_time_s = now - execution.started_at
        is_answered = outcome is data.Outcome.ANSWERED
        if (
            status == response_notices.MISDIRECTED_REQUEST_STATUS
            or self._pool.is_endpoint_down
        ):
            self._tracker.suspend()
            self._pool.failed_connects = 0
            self.refuse_queued()
        if is_answered:
            self._last_response_at = now
            if not self._crashes.history.is_empty:
                self._crashes.handle_response(suspect_runs.get_fingerprint(execution))
        if is_answered and status < 300:
            running_request = execution.running_request
            self._graph.record_run(running_request)
            own_s = max(0.0, service_time_s - running_request.get_nested_s(now))
            route = execution.attempt.route
            self.service_times.record(now, route, service_time_s, own_s)
        self._release_slot(execution, service_time_s if is_answered else None)
        on_complete, execution.on_complete = execution.on_complete, None
        if on_complete is not None:
            queued_s = execution.started_at - execution.submitted_at
            labels = f'service="{execution.attempt.service}"'
            self._metrics.record_latency("queue", labels, queued_s)
            self._metrics.record_latency("endpoint", labels, service_time_s)
            on_complete(
                attempts.AttemptResult(
                    outcome, reason, status, head, body, queued_s, service_time_s
                )
            )

    def _release_slot(
        self, execution: attempts.Execution, service_time_s: float | None
    ) -> None:
        if not execution.is_running:
            return
        execution.is_running = False
        self._running.pop(execution, None)
        self._suspect_runs.end(execution)
        if execution.running_request is not None:
            self.running_requests.remove(execution.running_request)
        self.queue.release_slot(service_time_s)
        if not self.queue.is_empty:
            self._run_queued()
        if self._suspect_runs.waiting_count:
            self._run_waiting_suspects(self._loop.time())

    def _run_queued(self) -> None:
        """Starts queued attempts while slots and rate limit allow it."""
        now = self._loop.time()
        while True:
            runnable, expired = self.queue.pop_runnable(now)
            for expired_execution in expired:
                self._refuse(expired_execution, data.RefusalReason.QUEUE_TIMEOUT)
            if not runnable:
                break
            for next_execution in runnable:
                self._start_or_wait(next_execution, now)
        self._schedule_run(now)

    def _schedule_run(self, now: float) -> None:
        """Schedules the time at which the rate limit allows the next attempt."""
        delay_s = self.queue.get_rate_delay_s(now)
        if delay_s > 0.0 and self._run_timer is None:
            self._run_timer = self._loop.call_later(delay_s, self._handle_run_timer)

    def _handle_run_timer(self) -> None:
        self._run_timer = None
        self._run_queued()

    def _handle_notice(
        self,
        execution: attempts.Execution,
        endpoint: data.Announcement,
        notice: response_notices.Notice,
    ) -> None:
        """Applies the rate limit in a response; ignores that of a former start.

        :param endpoint: announcement of the endpoint that the request was sent to.
        """
        instance, start_ms = endpoint.instance, endpoint.start_ms
        current = self._tracker.current
        if instance != current.instance or start_ms != current.start_ms:
            return
        now = self._loop.time()
        sent_at = execution.exchange.started_at
        named_limit = self._named_limit
        was_known, previous = named_limit.is_known, named_limit.limit
        named_limit.apply(now, sent_at, notice.rate_limit)
        if not was_known or named_limit.limit != previous:
            self.queue.set_rate_limit(now, named_limit.limit)
            self._run_queued()
        source = NoticeSource(instance, start_ms, sent_at)
        self._on_notice(source, notice)

    def _handle_crash(self) -> None:
        """Handles a crash of the endpoint, unless it had said that it leaves.

        The requests that had been sent are reported before they get their results,
        because the nodes that sent them decide on a retry.
        """
        current = self._tracker.current
        if current is None or self._tracker.is_leaving:
            return
        self._tracker.suspend()
        counted_from = self._loop.time() - CANCELLED_COUNTS_S
        self._report_crash(current, counted_from)
        self.refuse_queued()

    def _report_crash(
        self, announced: data.Announcement, cancelled_from: float
    ) -> None:
        """Reports a crash once, with the requests that had no response.

        :param announced: last announcement of the start that ended.
        :param cancelled_from: time of the event loop since which requests that were
            cancelled count, in seconds.
        """
        start = (announced.instance, announced.start_ms)
        if start == self._crashed_start:
            return
        self._crashed_start = start
        sent = [each for each in self._running if each.exchange.started_at]
        runs = self._suspect_runs.build_runs(
            reversed(sent), self._loop.time(), cancelled_from
        )
        self._crashes.handle_crash(crash.EndpointCrash(*start, announced.service, runs))

    def _refuse(
        self, execution: attempts.Execution, reason: data.RefusalReason
    ) -> None:
        on_complete, execution.on_complete = execution.on_complete, None
        if on_complete is not None:
            queued_s = self._loop.time() - execution.submitted_at
            on_complete(
                attempts.AttemptResult(
                    data.Outcome.NOT_RUN, reason, 0, b"", b"", queued_s, 0.0
                )
            )
