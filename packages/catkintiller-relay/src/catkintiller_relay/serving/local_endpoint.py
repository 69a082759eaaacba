"""Runs requests at the local endpoint: queue, slots, connections."""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

from .. import data
from ..routing import chains
from . import endpoint_client, endpoint_queue, endpoint_tracker

MIN_REMAINING_S = 0.005


class Attempt(NamedTuple):
    """A request for the local endpoint.

    :param route: name of its route.
    :param is_nested_call: whether an endpoint makes it while it runs a request.
    :param remaining_s: time that its sender still waits.
    :param target_latency_s: time within which its answer is worth most.
    :param head: head without the lines that are set here and the empty line.
    """

    request_id: bytes
    route: str
    service: str
    rank: int
    is_nested_call: bool
    remaining_s: float
    target_latency_s: float
    head: bytes
    body: bytes


class AttemptResult(NamedTuple):
    """What became of a request.

    :param queued_s: time in the queue.
    :param service_time_s: time at the endpoint.
    """

    outcome: data.Outcome
    reason: data.RefusalReason | None
    status: int
    head: bytes
    body: bytes
    queued_s: float
    service_time_s: float


class Execution:
    """A request that waits for the endpoint or runs there."""

    __slots__ = (
        "arrived",
        "on_complete",
        "ends_at",
        "exchange",
        "parent",
        "place",
        "is_running",
        "started",
        "attempt",
    )

    def __init__(self, attempt: Attempt, done: Callable[[AttemptResult], None]) -> None:
        self.attempt = attempt
        self.on_complete: Callable[[AttemptResult], None] | None = done
        self.exchange: endpoint_client.Exchange | None = None
        self.place: int | None = None
        self.parent: chains.Parent | None = None
        self.is_running = False
        self.arrived = 0.0
        self.started = 0.0
        self.ends_at = 0.0


class LocalEndpoint:
    """The endpoint beside this node, as a place where requests run.

    :param figures: counts results; see :class:`..telemetry.metrics.Metrics`.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        present: endpoint_tracker.EndpointTracker,
        pool: endpoint_client.EndpointConnectionPool,
        graph: chains.CallGraph,
        figures: Any,
    ) -> None:
        self._loop = loop
        self._presence = present
        self._pool = pool
        self._graph = graph
        self._metrics = figures
        self.running_requests = chains.RunningRequests()
        self.queue = endpoint_queue.EndpointQueue()
        self.stopping = False
        self.lame_duck_ended = False

    @property
    def accepting(self) -> bool:
        """Whether new requests may come."""
        return not self.stopping and self._presence.is_accepting(self._loop.time())

    @property
    def lame_duck(self) -> bool:
        """Whether new requests may come although this node is about to stop.

        The endpoint itself goes on, and this node is the only way to it.
        """
        if not self.stopping or self.lame_duck_ended:
            return False
        return self._presence.is_accepting(self._loop.time())

    def submit(
        self, attempt: Attempt, done: Callable[[AttemptResult], None]
    ) -> Execution:
        """Takes a request; ``done`` is called once unless it is cancelled."""
        run = Execution(attempt, done)
        now = self._loop.time()
        run.arrived = now
        run.ends_at = now + attempt.remaining_s
        current = self._presence.current
        if not self._presence.is_accepting(now):
            self._end(run, data.RefusalReason.ENDPOINT_LEAVING)
            return run
        if current.service != attempt.service:
            self._end(run, data.RefusalReason.WRONG_SERVICE)
            return run
        now_runs, place = self.queue.offer(
            now,
            is_nested_call=attempt.is_nested_call,
            rank=attempt.rank,
            remaining_s=attempt.remaining_s,
            target_latency_s=attempt.target_latency_s,
            item=run,
        )
        if now_runs:
            self._run(run, now)
        elif place is None:
            self._end(run, data.RefusalReason.OVERLOADED)
        else:
            run.place = place
        return run

    def cancel(self, run: Execution) -> None:
        """Ends a request whose sender does not wait any more."""
        if run.on_complete is None:
            return
        run.on_complete = None
        if run.is_running:
            run.exchange.cancel()
            self._free(run, None)
        elif run.place is not None:
            self.queue.remove(run.place)

    def refuse_expired(self, now: float) -> None:
        """Refuses the requests that have waited too long."""
        for run in self.queue.pop_expired(now):
            self._end(run, data.RefusalReason.QUEUE_TIMEOUT)

    def refuse_waiting(self) -> None:
        """Refuses all that wait, since the endpoint leaves."""
        for run in self.queue.pop_all():
            self._end(run, data.RefusalReason.ENDPOINT_LEAVING)

    def _run(self, run: Execution, now: float) -> None:
        attempt = run.attempt
        current = self._presence.current
        left_s = run.ends_at - now
        run.is_running = True
        run.started = now
        if current is None or left_s < MIN_REMAINING_S:
            self._free(run, None)
            self._end(run, data.RefusalReason.QUEUE_TIMEOUT)
            return
        run.parent = self.running_requests.add(
            attempt.route, attempt.rank, attempt.request_id, run.ends_at
        )
        names = self._pool.header_names
        message = b"%b%b: %d\r\n%b: %b\r\n\r\n%b" % (
            attempt.head,
            names.deadline,
            int(left_s * 1000),
            names.target,
            current.instance.encode(),
            attempt.body,
        )

        def done(
            outcome: data.Outcome,
            reason: data.RefusalReason | None,
            status: int,
            head: bytes,
            body: bytes,
        ) -> None:
            self._finish(run, outcome, reason, status, head, body)

        run.exchange = endpoint_client.Exchange(attempt.request_id, message, done)
        self._pool.send(run.exchange)

    def _finish(
        self,
        run: Execution,
        outcome: data.Outcome,
        reason: data.RefusalReason | None,
        status: int,
        head: bytes,
        body: bytes,
    ) -> None:
        worked = self._loop.time() - run.started
        counted = worked if outcome is data.Outcome.ANSWERED else None
        if status == endpoint_client.MISDIRECTED_REQUEST_STATUS:
            self._presence.suspend()
        if counted is not None and status < 300:
            self._graph.count_run(run.parent)
        self._free(run, counted)
        done, run.on_complete = run.on_complete, None
        if done is not None:
            waited = run.started - run.arrived
            labels = f'service="{run.attempt.service}"'
            self._metrics.record_s("queue", labels, waited)
            self._metrics.record_s("endpoint", labels, worked)
            done(AttemptResult(outcome, reason, status, head, body, waited, worked))

    def _free(self, run: Execution, service_s: float | None) -> None:
        if not run.is_running:
            return
        run.is_running = False
        if run.parent is not None:
            self.running_requests.remove(run.parent)
        self.queue.release_slot(service_s)
        now = self._loop.time()
        ready, expired = self.queue.pop_runnable(now)
        for late in expired:
            self._end(late, data.RefusalReason.QUEUE_TIMEOUT)
        for following in ready:
            self._run(following, now)

    def _end(self, run: Execution, reason: data.RefusalReason) -> None:
        done, run.on_complete = run.on_complete, None
        if done is not None:
            waited = self._loop.time() - run.arrived
            done(AttemptResult(data.Outcome.NOT_RUN, reason, 0, b"", b"", waited, 0.0))
