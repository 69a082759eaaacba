"""Runs requests at the local endpoint: queue, slots, connections."""

import asyncio
from collections.abc import Callable
from typing import Any, NamedTuple

from .. import data
from ..routing import chains
from . import exchange, presence, queue

MIN_LEFT_S = 0.005


class Ticket(NamedTuple):
    """A request for the local endpoint.

    :param route: name of its route.
    :param call: whether an endpoint makes it while it runs a request.
    :param left_s: time that its sender still waits.
    :param target_s: time within which its answer is worth most.
    :param head: head without the lines that are set here and the empty line.
    """

    request_id: bytes
    route: str
    service: str
    rank: int
    call: bool
    left_s: float
    target_s: float
    head: bytes
    body: bytes


class Result(NamedTuple):
    """What became of a request.

    :param waited_s: time in the queue.
    :param worked_s: time at the endpoint.
    """

    outcome: data.Outcome
    reason: data.RefusalReason | None
    status: int
    head: bytes
    body: bytes
    waited_s: float
    worked_s: float


class Run:
    """A request that waits for the endpoint or runs there."""

    __slots__ = (
        "arrived",
        "done",
        "ends_at",
        "exchange",
        "parent",
        "place",
        "running",
        "started",
        "ticket",
    )

    def __init__(self, ticket: Ticket, done: Callable[[Result], None]) -> None:
        self.ticket = ticket
        self.done: Callable[[Result], None] | None = done
        self.exchange: exchange.Exchange | None = None
        self.place: int | None = None
        self.parent: chains.Parent | None = None
        self.running = False
        self.arrived = 0.0
        self.started = 0.0
        self.ends_at = 0.0


class LocalServer:
    """The endpoint beside this node, as a place where requests run.

    :param figures: counts results; see :class:`..telemetry.metrics.Metrics`.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        present: presence.Presence,
        pool: exchange.EndpointPool,
        graph: chains.CallGraph,
        figures: Any,
    ) -> None:
        self._loop = loop
        self._presence = present
        self._pool = pool
        self._graph = graph
        self._metrics = figures
        self.running = chains.RunningRequests()
        self.queue = queue.EndpointQueue()
        self.stopping = False
        self.refusing = False

    @property
    def accepting(self) -> bool:
        """Whether new requests may come."""
        return not self.stopping and self._presence.is_accepting(self._loop.time())

    @property
    def lingering(self) -> bool:
        """Whether new requests may come although this node is about to stop.

        The endpoint itself goes on, and this node is the only way to it.
        """
        if not self.stopping or self.refusing:
            return False
        return self._presence.is_accepting(self._loop.time())

    def submit(self, ticket: Ticket, done: Callable[[Result], None]) -> Run:
        """Takes a request; ``done`` is called once unless it is cancelled."""
        run = Run(ticket, done)
        now = self._loop.time()
        run.arrived = now
        run.ends_at = now + ticket.left_s
        current = self._presence.current
        if not self._presence.is_accepting(now):
            self._end(run, data.RefusalReason.ENDPOINT_LEAVING)
            return run
        if current.service != ticket.service:
            self._end(run, data.RefusalReason.WRONG_SERVICE)
            return run
        now_runs, place = self.queue.offer(
            now,
            call=ticket.call,
            rank=ticket.rank,
            left_s=ticket.left_s,
            target_s=ticket.target_s,
            entry=run,
        )
        if now_runs:
            self._run(run, now)
        elif place is None:
            self._end(run, data.RefusalReason.OVERLOADED)
        else:
            run.place = place
        return run

    def cancel(self, run: Run) -> None:
        """Ends a request whose sender does not wait any more."""
        if run.done is None:
            return
        run.done = None
        if run.running:
            run.exchange.cancel()
            self._free(run, None)
        elif run.place is not None:
            self.queue.withdraw(run.place)

    def tick(self, now: float) -> None:
        """Refuses the requests that have waited too long."""
        for run in self.queue.take_expired(now):
            self._end(run, data.RefusalReason.QUEUE_TIMEOUT)

    def refuse_waiting(self) -> None:
        """Refuses all that wait, since the endpoint leaves."""
        for run in self.queue.take_all():
            self._end(run, data.RefusalReason.ENDPOINT_LEAVING)

    def _run(self, run: Run, now: float) -> None:
        ticket = run.ticket
        current = self._presence.current
        left_s = run.ends_at - now
        run.running = True
        run.started = now
        if current is None or left_s < MIN_LEFT_S:
            self._free(run, None)
            self._end(run, data.RefusalReason.QUEUE_TIMEOUT)
            return
        run.parent = self.running.add(
            ticket.route, ticket.rank, ticket.request_id, run.ends_at
        )
        names = self._pool.headers
        message = b"%b%b: %d\r\n%b: %b\r\n\r\n%b" % (
            ticket.head,
            names.deadline,
            int(left_s * 1000),
            names.target,
            current.instance.encode(),
            ticket.body,
        )

        def done(
            outcome: data.Outcome,
            reason: data.RefusalReason | None,
            status: int,
            head: bytes,
            body: bytes,
        ) -> None:
            self._finish(run, outcome, reason, status, head, body)

        run.exchange = exchange.Exchange(ticket.request_id, message, done)
        self._pool.send(run.exchange)

    def _finish(
        self,
        run: Run,
        outcome: data.Outcome,
        reason: data.RefusalReason | None,
        status: int,
        head: bytes,
        body: bytes,
    ) -> None:
        worked = self._loop.time() - run.started
        counted = worked if outcome is data.Outcome.ANSWERED else None
        if status == exchange.MISDIRECTED:
            self._presence.doubt()
        if counted is not None and status < 300:
            self._graph.count_run(run.parent)
        self._free(run, counted)
        done, run.done = run.done, None
        if done is not None:
            waited = run.started - run.arrived
            labels = f'service="{run.ticket.service}"'
            self._metrics.record_latency("queue", labels, waited)
            self._metrics.record_latency("endpoint", labels, worked)
            done(Result(outcome, reason, status, head, body, waited, worked))

    def _free(self, run: Run, service_s: float | None) -> None:
        if not run.running:
            return
        run.running = False
        if run.parent is not None:
            self.running.remove(run.parent)
        self.queue.finish(service_s)
        now = self._loop.time()
        ready, expired = self.queue.take_next(now)
        for late in expired:
            self._end(late, data.RefusalReason.QUEUE_TIMEOUT)
        for following in ready:
            self._run(following, now)

    def _end(self, run: Run, reason: data.RefusalReason) -> None:
        done, run.done = run.done, None
        if done is not None:
            waited = self._loop.time() - run.arrived
            done(Result(data.Outcome.NOT_RUN, reason, 0, b"", b"", waited, 0.0))
