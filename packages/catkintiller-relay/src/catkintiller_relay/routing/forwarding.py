"""The way of a request at the node where it arrives.

Route, admit, choose an endpoint, send, and answer: with the endpoint's answer, or
with one of the node's own that says no more than what is known.
"""

import asyncio
import enum
import random

from .. import data
from ..ingress import http1
from ..membership import frames
from ..serving import local
from ..telemetry import events, metrics
from . import admission, chains, failures, heads, placement, places, retries, routes
from .pending import Pending

MAX_REPLACEMENTS = 2
EXPIRY_MARGIN_S = 0.01
NO_CONFIG_RETRY_S = 0.5
MAX_PENDING = 6000
MAX_HELD_BYTES = 64 * 1024 * 1024


class Next(enum.Enum):
    """What follows an attempt that brought no answer."""

    AGAIN = retries.Decision.ALLOWED.value
    NO_ATTEMPTS = retries.Decision.NO_ATTEMPTS.value
    NO_TIME = retries.Decision.NO_TIME.value
    NO_BUDGET = retries.Decision.NO_BUDGET.value
    REPLACE = "not_run_so_elsewhere"
    WAIT = "runs_elsewhere_too"
    MAY_HAVE_RUN = "may_have_run"


class Forwarder:
    """Forwards the requests that arrive at this node.

    :param settings: settings of the process.
    :param server: the endpoint beside this node.
    :param found: endpoints that requests can be sent to.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: data.Settings,
        headers: data.HeaderNames,
        server: local.LocalServer,
        found: places.Places,
        graph: chains.CallGraph,
        log: events.EventLog,
        figures: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._loop = loop
        self._settings = settings
        self._headers = headers
        self._local = server
        self._places = found
        self.admission = admission.Admission(found, graph)
        self._graph = graph
        self._log = log
        self._metrics = figures
        self._rng = rng
        self._table: routes.RouteTable | None = None
        self._version = 0
        self._heads = heads.HeadMaker(headers, settings.service)
        self._retries = retries.Retries(settings, graph)
        self._pending = 0
        self._held_bytes = 0
        self.stopping = False

    @property
    def pending(self) -> int:
        """Requests without an answer."""
        return self._pending

    def set_config(self, config: data.Config) -> None:
        """Puts a config in force."""
        self._table = routes.RouteTable(config)
        self._retries.set_config(config)
        self._version = config.version

    def get_budgets(self, now: float) -> dict[str, float]:
        """Gets the repeats that requests of clients may still draw, by service."""
        return self._retries.get_left(now)

    def handle(
        self, connection: http1.ServerConnection, request: http1.Request
    ) -> None:
        """Takes a request of a client or of the local endpoint."""
        pending = Pending(self.drop, connection, request)
        connection.pending = pending
        self._pending += 1
        self._held_bytes += len(request.body)
        if self._table is None:
            self._refuse(pending, data.RefusalReason.NO_CONFIG)
            return
        route = self._table.find(heads.parse_host(request), heads.parse_path(request))
        if route is None:
            self._finish(pending)
            self._metrics.count("not_found")
            connection.reply_status(404)
            return
        self._take(pending, route)

    def drop(self, pending: Pending) -> None:
        """Ends a request whose client has left."""
        self._withdraw(pending)
        self._finish(pending)
        self._metrics.count("client_left", f'route="{pending.route.name}"')

    def _take(self, pending: Pending, route: data.Route) -> None:
        request = pending.request
        now = self._loop.time()
        pending.route = route
        pending.request_id = request.get_header(self._headers.request_id) or b""
        allowed = heads.parse_deadline_s(request.get_header(self._headers.deadline))
        left_s = route.timeout_s if allowed is None else allowed
        deadline = pending.arrived + left_s
        timeout = pending.arrived + route.timeout_s
        pending.expires_at = min(deadline - EXPIRY_MARGIN_S, timeout)
        pending.attempts = route.attempts
        pending.service = self._table.pick_service(route)
        parent = self._local.running.find(pending.request_id, deadline)
        self._graph.count_arrival(route.name, pending.service, parent)
        pending.rank = route.rank if parent is None else parent.rank
        pending.call = parent is not None or self._graph.is_call(route.name)
        if now >= pending.expires_at:
            self._refuse(pending, data.RefusalReason.TIMEOUT)
            return
        if self._pending > MAX_PENDING or self._held_bytes > MAX_HELD_BYTES:
            self._refuse(pending, data.RefusalReason.NO_MEMORY)
            return
        if self.stopping and not pending.call:
            self._refuse(pending, data.RefusalReason.STOPPING)
            return
        if not pending.call and not self.admission.admits(route, pending.service):
            self._refuse(pending, data.RefusalReason.CHAIN_OVERLOADED)
            return
        pending.head = self._heads.make(request)
        pending.timer = self._loop.call_at(pending.expires_at, self._expire, pending)
        self._retries.count_first(pending.service, now)
        self._place(pending, now)

    def _place(self, pending: Pending, now: float) -> None:
        chosen = placement.choose(
            self._places.get_candidates(pending.service, pending.tried, now), self._rng
        )
        if chosen is None:
            self._fail(pending, pending.last_reason)
            return
        pending.tried.add(chosen.node)
        route = pending.route
        ticket = local.Ticket(
            pending.request_id,
            route.name,
            pending.service,
            pending.rank,
            pending.call,
            max(0.001, pending.expires_at - now),
            max(0.0, route.target_latency_s - (now - pending.arrived)),
            pending.head,
            pending.request.body,
        )

        node = chosen.node

        def done(result: local.Result) -> None:
            pending.placed.pop(node, None)
            self._settle(pending, node, result)

        if node == places.LOCAL:
            run = self._local.submit(ticket, done)
            if run.done is not None:
                pending.placed[node] = (None, run)
            return

        def stalled() -> None:
            self._try_elsewhere(pending, node)

        peer = self._places.get_peer(node)
        pending.placed[node] = peer.submit(ticket, done, stalled)

    def _try_elsewhere(self, pending: Pending, node: str) -> None:
        """Sends a request to a second endpoint while a silent node still has it.

        The first answer counts, so one that comes late from the silent node is
        delivered all the same.
        """
        now = self._loop.time()
        if (
            pending.route.kind is data.RequestKind.NON_IDEMPOTENT
            or len(pending.placed) > 1
        ):
            return
        if not self._places.has_sound(pending.service, pending.tried, now):
            return
        if self._retries.decide(pending, now) is not retries.Decision.ALLOWED:
            return
        pending.unknown = True
        pending.last_reason = data.RefusalReason.NODE_LOST
        self._metrics.count("second_attempts", f'service="{pending.service}"')
        if self._log.allows("attempt", failure=True, reason="silent"):
            self._log.write(
                "attempt",
                "Sent elsewhere as well: its node is silent.",
                id=pending.request_id.decode("latin-1"),
                at=node,
            )
        self._place(pending, now)

    def _settle(self, pending: Pending, node: str, result: local.Result) -> None:
        now = self._loop.time()
        outcome = result.outcome
        pending.last_reason = result.reason or pending.last_reason
        if outcome is data.Outcome.ANSWERED:
            self._answer(pending, node, result, now)
            return
        arrived = (
            outcome is data.Outcome.UNKNOWN
            or result.reason is data.RefusalReason.ENDPOINT_REFUSED
        )
        if arrived:
            pending.sent += 1
            self._places.note_result(node, now, failures.FAILED)
        if outcome is data.Outcome.UNKNOWN:
            pending.unknown = True
        decision = self._decide_next(pending, arrived, now)
        self._log_failure(pending, node, result, decision)
        if decision is Next.WAIT:
            return
        if decision is Next.AGAIN or decision is Next.REPLACE:
            self._metrics.count("second_attempts", f'service="{pending.service}"')
            self._place(pending, now)
            return
        self._fail(pending, result.reason)

    def _decide_next(self, pending: Pending, arrived: bool, now: float) -> Next:
        """Decides what follows an attempt without an answer.

        :param arrived: whether the attempt has, or may have, reached an endpoint.
        """
        if pending.unknown and pending.route.kind is data.RequestKind.NON_IDEMPOTENT:
            return Next.MAY_HAVE_RUN
        if pending.placed:
            return Next.WAIT
        if arrived:
            return Next(self._retries.decide(pending, now).value)
        pending.replaced += 1
        if pending.replaced <= MAX_REPLACEMENTS:
            return Next.REPLACE
        return Next.NO_ATTEMPTS

    def _answer(
        self, pending: Pending, node: str, result: local.Result, now: float
    ) -> None:
        took = now - pending.arrived
        route = pending.route.name
        self._metrics.record_latency("answer", f'route="{route}"', took)
        self._metrics.count("answers", f'route="{route}",status="{result.status}"')
        failure = result.status >= 500
        failed = failures.SERVER_ERROR if failure else failures.SERVED
        self._places.note_result(node, now, failed)
        if self._log.allows("route", failure=failure):
            self._log.write(
                "route",
                "Answered.",
                id=pending.request_id.decode("latin-1"),
                route=route,
                service=pending.service,
                at=node or "local",
                status=result.status,
                ms=round(took * 1000, 1),
                call=pending.call,
                version=self._version,
            )
        self._withdraw(pending)
        self._finish(pending)
        pending.connection.reply(result.head, result.body)

    def _fail(self, pending: Pending, reason: data.RefusalReason | None) -> None:
        if not pending.unknown:
            self._refuse(pending, reason or data.RefusalReason.NO_ENDPOINT)
            return
        self._finish(pending)
        self._note_own(pending, 502, reason)
        pending.connection.reply_status(502)

    def _refuse(self, pending: Pending, reason: data.RefusalReason) -> None:
        """Says that the request has not run, and when to come back."""
        self._finish(pending)
        after = self._compute_retry_after(pending)
        self._note_own(pending, 503, reason)
        pending.connection.reply_status(503, b"Retry-After: %.3f\r\n" % after)

    def _compute_retry_after(self, pending: Pending) -> float:
        if pending.route is None:
            return NO_CONFIG_RETRY_S
        left_s = max(0.0, pending.expires_at - self._loop.time())
        target = pending.route.target_latency_s
        return min(left_s / 3.0, target * self._rng.uniform(0.2, 0.5))

    def _expire(self, pending: Pending) -> None:
        _, run = pending.placed.get(places.LOCAL, (None, None))
        waiting = run is not None and not run.running
        self._withdraw(pending)
        if waiting and not pending.unknown:
            self._refuse(pending, data.RefusalReason.TIMEOUT)
            return
        self._finish(pending)
        self._note_own(pending, 504, data.RefusalReason.TIMEOUT)
        pending.connection.reply_status(504)

    def _withdraw(self, pending: Pending) -> None:
        if not pending.placed:
            return
        placed, pending.placed = pending.placed, {}
        for connection, item in placed.values():
            if connection is None:
                self._local.cancel(item)
            elif connection.pending.pop(item, None) is not None:
                connection.send(frames.Cancel(item))

    def _finish(self, pending: Pending) -> None:
        self._pending -= 1
        self._held_bytes -= len(pending.request.body)
        if pending.timer is not None:
            pending.timer.cancel()
            pending.timer = None

    def _note_own(
        self, pending: Pending, status: int, reason: data.RefusalReason | None
    ) -> None:
        why = reason.value if reason else "none"
        route = pending.route.name if pending.route else ""
        self._metrics.count(
            "own_answers", f'route="{route}",status="{status}",reason="{why}"'
        )
        if self._log.allows("route", failure=True, reason=why):
            self._log.write(
                "route",
                "Refused." if status == 503 else "Failed.",
                id=pending.request_id.decode("latin-1"),
                route=route,
                service=pending.service,
                status=status,
                reason=why,
                sent=pending.sent,
                tried=sorted(pending.tried),
                ms=round((self._loop.time() - pending.arrived) * 1000, 1),
                call=pending.call,
                version=self._version,
                shares=self.admission.get_shares(),
            )

    def _log_failure(
        self, pending: Pending, node: str, result: local.Result, decision: Next
    ) -> None:
        why = result.reason.value if result.reason else ""
        self._metrics.count(
            "attempt_failures",
            f'service="{pending.service}",reason="{why}",next="{decision.value}"',
        )
        if self._log.allows("attempt", failure=True, reason=why):
            self._log.write(
                "attempt",
                "Got no answer.",
                id=pending.request_id.decode("latin-1"),
                at=node or "local",
                outcome=result.outcome.name.lower(),
                reason=why,
                next=decision.value,
                rank=pending.rank,
                call=pending.call,
            )
