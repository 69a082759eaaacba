"""The way of a request at the node where it arrives.

Route, admit, choose an endpoint, send, and answer: with the endpoint's answer, or
with one of the node's own that says no more than what is known.
"""

import asyncio
import random
from typing import Any

from .. import data
from ..ingress import http1
from ..membership import links
from ..serving import local
from ..telemetry import events, metrics
from . import budget, chains, placement, routes, shedding

LOCAL = ""
SAME_ZONE_S = 0.0005
OTHER_ZONE_S = 0.004
MAX_REPLACEMENTS = 2
EXPIRY_MARGIN_S = 0.01
RETRY_MIN_LEFT_S = 0.05
NO_CONFIG_RETRY_S = 0.5
MAX_PENDING = 6000
MAX_HELD_BYTES = 64 * 1024 * 1024

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


class Pending:
    """A request that has no answer yet.

    :ivar sent: sendings that may have reached an endpoint.
    :ivar placed: where it is now, None between two places.
    """

    __slots__ = (
        "arrived",
        "attempts",
        "call",
        "connection",
        "expires_at",
        "forwarder",
        "head",
        "last_reason",
        "placed",
        "rank",
        "replaced",
        "request",
        "request_id",
        "route",
        "sent",
        "service",
        "timer",
        "tried",
        "unknown",
    )

    def __init__(
        self,
        forwarder: "Forwarder",
        connection: http1.ServerConnection,
        request: http1.Request,
    ) -> None:
        self.forwarder = forwarder
        self.connection = connection
        self.request = request
        self.request_id = b""
        self.route: data.Route | None = None
        self.service = ""
        self.head = b""
        self.arrived = request.arrived
        self.expires_at = 0.0
        self.attempts = 1
        self.last_reason = data.RefusalReason.NO_ENDPOINT
        self.sent = 0
        self.replaced = 0
        self.unknown = False
        self.call = False
        self.rank = 0
        self.tried: set[str] = set()
        self.placed: tuple[Any, Any] | None = None
        self.timer: asyncio.TimerHandle | None = None

    def cancel(self) -> None:
        """The client has left."""
        self.forwarder.drop(self)


class Forwarder:
    """Forwards the requests that arrive at this node.

    :param settings: settings of the process.
    :param server: the endpoint beside this node.
    :param peers: other nodes by address; kept by the node.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: data.Settings,
        headers: data.HeaderNames,
        server: local.LocalServer,
        peers: dict[str, links.Peer],
        graph: chains.CallGraph,
        log: events.EventLog,
        figures: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._loop = loop
        self._settings = settings
        self._headers = headers
        self._local = server
        self._peers = peers
        self._graph = graph
        self._log = log
        self._metrics = figures
        self._rng = rng
        self._table: routes.RouteTable | None = None
        self._version = 0
        self._shedders: dict[str, shedding.Shedder] = {}
        self._budgets: dict[str, budget.RetryBudget] = {}
        self._own = frozenset((headers.caller, headers.deadline, headers.target))
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
        self._version = config.version

    def handle(
        self, connection: http1.ServerConnection, request: http1.Request
    ) -> None:
        """Takes a request of a client or of the local endpoint."""
        pending = Pending(self, connection, request)
        connection.pending = pending
        self._pending += 1
        self._held_bytes += len(request.body)
        if self._table is None:
            self._refuse(pending, data.RefusalReason.NO_CONFIG)
            return
        host = (request.get_header(b"host") or b"").decode("latin-1").lower()
        path = request.target.decode("latin-1").partition("?")[0]
        route = self._table.find(host.partition(":")[0], path)
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

    def update_shares(self, passed_s: float) -> None:
        """Computes anew how much fresh work is admitted for each service."""
        told: dict[str, list[shedding.Demand]] = {}
        for peer in self._peers.values():
            if peer.state is not None and peer.connected:
                for service, demand in peer.state.demand.items():
                    told.setdefault(service, []).append(demand)
        for service, (capacity, use) in self._collect_capacity().items():
            shedder = self._get_shedder(service)
            shedder.update(passed_s, capacity, use, told.get(service, ()))

    def get_shares(self) -> dict[str, dict[int, float]]:
        """Gets the admitted shares by service and rank, where they are limited."""
        return {
            name: {rank: round(share, 2) for rank, share in shedder.admitted.items()}
            for name, shedder in self._shedders.items()
            if shedder.admitted
        }

    def get_demand(self) -> dict[str, dict[int, int]]:
        """Gets the work a second demanded at this node, by service and rank."""
        return {
            name: {rank: round(rate) for rank, rate in shedder.demand.items()}
            for name, shedder in self._shedders.items()
        }

    def _take(self, pending: Pending, route: data.Route) -> None:
        request = pending.request
        now = self._loop.time()
        pending.route = route
        pending.request_id = request.get_header(self._headers.request_id) or b""
        allowed = parse_deadline_s(request.get_header(self._headers.deadline))
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
        if not pending.call and not self._is_admitted(route, pending.service):
            self._refuse(pending, data.RefusalReason.CHAIN_OVERLOADED)
            return
        pending.head = self._make_head(request)
        pending.timer = self._loop.call_at(pending.expires_at, self._expire, pending)
        self._get_budget(pending.service).earn(now)
        self._place(pending, now)

    def _make_head(self, request: http1.Request) -> bytes:
        own = self._own
        named = request.get_header(b"connection")
        listed = parse_tokens(named) if named else ()
        lines = [b"%b %b HTTP/1.1\r\n" % (request.method, request.target)]
        for name, value in request.headers:
            if name in _HOP_BY_HOP or name in own or name in listed:
                continue
            lines.append(b"%b: %b\r\n" % (name, value))
        caller = self._settings.service.encode()
        lines.append(b"%b: %b\r\n" % (self._headers.caller, caller))
        if request.body or request.method not in (b"GET", b"HEAD", b"DELETE"):
            lines.append(b"content-length: %d\r\n" % len(request.body))
        return b"".join(lines)

    def _place(self, pending: Pending, now: float) -> None:
        chosen = placement.choose(
            self._iter_candidates(pending.service, pending.tried, now), self._rng
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

        def done(result: local.Result) -> None:
            pending.placed = None
            self._settle(pending, chosen.node, result)

        if chosen.node == LOCAL:
            run = self._local.submit(ticket, done)
            if run.done is not None:
                pending.placed = (None, run)
        else:
            peer = self._peers[chosen.node]
            pending.placed = peer.submit(ticket, done)

    def _iter_candidates(
        self, service: str, tried: set[str], now: float
    ) -> list[placement.Candidate]:
        found = []
        if (
            service == self._settings.service
            and LOCAL not in tried
            and self._local.accepting
        ):
            queue = self._local.queue
            found.append(
                placement.Candidate(
                    LOCAL, queue.load, queue.limit, queue.service_s, 0.0, 0.0
                )
            )
        zone = self._settings.zone
        for address, peer in self._peers.items():
            state = peer.state
            if (
                state is None
                or state.service != service
                or not peer.accepting
                or address in tried
            ):
                continue
            distance = SAME_ZONE_S if peer.zone == zone else OTHER_ZONE_S
            found.append(
                placement.Candidate(
                    address,
                    peer.load + peer.sent_since,
                    state.limit,
                    peer.service_s,
                    distance,
                    peer.get_failures(now),
                )
            )
        return found

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
        peer = self._peers.get(node)
        if arrived:
            pending.sent += 1
            if peer is not None:
                peer.add_failure(now, 0.3)
        self._log_failure(pending, node, result)
        if outcome is data.Outcome.UNKNOWN:
            if pending.route.kind is data.RequestKind.ONCE:
                pending.unknown = True
                self._fail(pending, result.reason)
                return
            pending.unknown = True
        if arrived:
            may = (
                pending.sent < pending.attempts
                and pending.expires_at - now > RETRY_MIN_LEFT_S
                and self._spend(pending, now)
            )
        else:
            pending.replaced += 1
            may = pending.replaced <= MAX_REPLACEMENTS
        if may:
            self._metrics.count("second_attempts", f'service="{pending.service}"')
            self._place(pending, now)
            return
        self._fail(pending, result.reason)

    def _answer(
        self, pending: Pending, node: str, result: local.Result, now: float
    ) -> None:
        took = now - pending.arrived
        route = pending.route.name
        self._metrics.record_s("answer", f'route="{route}"', took)
        self._metrics.count("answers", f'route="{route}",status="{result.status}"')
        failure = result.status >= 500
        if failure and (peer := self._peers.get(node)) is not None:
            peer.add_failure(now, 0.1)
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
        placed = pending.placed
        run = placed[1] if placed is not None and placed[0] is None else None
        waiting = isinstance(run, local.Run) and not run.running
        self._withdraw(pending)
        if waiting and not pending.unknown:
            self._refuse(pending, data.RefusalReason.TIMEOUT)
            return
        self._finish(pending)
        self._note_own(pending, 504, data.RefusalReason.TIMEOUT)
        pending.connection.reply_status(504)

    def _withdraw(self, pending: Pending) -> None:
        placed, pending.placed = pending.placed, None
        if placed is None:
            return
        connection, item = placed
        if connection is None:
            self._local.cancel(item)
        elif connection.waiting.pop(item, None) is not None:
            connection.send(links.frames.Cancel(item))

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
        if self._log.allows("route", failure=True):
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
                shares=self.get_shares(),
            )

    def _log_failure(self, pending: Pending, node: str, result: local.Result) -> None:
        why = result.reason.value if result.reason else ""
        self._metrics.count(
            "attempt_failures", f'service="{pending.service}",reason="{why}"'
        )
        if self._log.allows("attempt", failure=True):
            self._log.write(
                "attempt",
                "Got no answer.",
                id=pending.request_id.decode("latin-1"),
                at=node or "local",
                outcome=result.outcome.name.lower(),
                reason=why,
            )

    def _is_admitted(self, route: data.Route, service: str) -> bool:
        needs = {service: 1.0}
        for needed, calls in self._graph.get_reach(route.name).items():
            needs[needed] = needs.get(needed, 0.0) + calls
        admitted = True
        for needed, calls in needs.items():
            if not self._get_shedder(needed).admit(route.rank, calls):
                admitted = False
        return admitted

    def _get_shedder(self, service: str) -> shedding.Shedder:
        found = self._shedders.get(service)
        if found is None:
            found = self._shedders[service] = shedding.Shedder()
        return found

    def _spend(self, pending: Pending, now: float) -> bool:
        costs = dict(self._graph.get_reach(pending.route.name))
        costs[pending.service] = costs.get(pending.service, 0.0) + 1.0
        budgets = {name: self._get_budget(name) for name in costs}
        for name, cost in costs.items():
            if not budgets[name].allows(now, cost, call=pending.call):
                return False
        for name, cost in costs.items():
            budgets[name].spend(now, cost)
        return True

    def _get_budget(self, service: str) -> budget.RetryBudget:
        found = self._budgets.get(service)
        if found is None:
            settings = self._settings
            found = budget.RetryBudget(settings.retry_ratio, settings.retry_window_s)
            self._budgets[service] = found
        return found

    def _collect_capacity(self) -> dict[str, tuple[float, float]]:
        """Collects requests a second and present use by service."""
        sums: dict[str, tuple[float, float]] = {}
        if self._local.accepting:
            queue = self._local.queue
            capacity = queue.capacity
            sums[self._settings.service] = (capacity, queue.use * capacity)
        for peer in self._peers.values():
            state = peer.state
            if state is None or not peer.accepting:
                continue
            capacity = max(1.0, state.capacity)
            total, work = sums.get(state.service, (0.0, 0.0))
            sums[state.service] = (total + capacity, work + state.use * capacity)
        return {name: (total, work / total) for name, (total, work) in sums.items()}


def parse_deadline_s(value: bytes | None) -> float | None:
    """Parses how long the sender waits; None if it does not say."""
    if value is None or not value.isdigit() or len(value) > 9:
        return None
    return int(value) / 1000


def parse_tokens(value: bytes) -> tuple[bytes, ...]:
    """Parses the header names that a Connection header lists."""
    return tuple(token.strip().lower() for token in value.split(b","))
