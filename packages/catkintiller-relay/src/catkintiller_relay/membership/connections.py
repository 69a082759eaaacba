"""Outgoing connections to other nodes.

A node opens one connection to each peer. Requests go out on it; their results, node
states and load reports come back on it. Messages with large bodies use a second one,
see :mod:`.body_connection`.

A peer is known to respond while bytes arrive from it. When nothing has arrived for
longer than it announced, or for a while although requests run there, it is probed with
a load request, and it is suspect if that gets no reply.
"""

import asyncio
import random
from collections.abc import Callable

from .. import data
from ..serving import attempts, rate_limiter
from . import frames, outgoing_connection, peer_observer

CONNECT_TIMEOUT_S = 1.0

# Time without bytes from a peer after which it is probed: while requests run there, and
# beyond the announced time of its next load report. Each round of reports begins a few
# percent late, so the margin of a report that is many rounds away is larger.
BUSY_PROBE_AFTER_S = 0.3
IDLE_PROBE_MARGIN_S = 0.05
IDLE_PROBE_MARGIN_RATIO = 0.1

# Time without a reply to a probe after which a peer is suspect, and after which its
# connection is replaced; time without bytes after which a replaced one is aborted.
SUSPECT_AFTER_S = 0.3
UNRESPONSIVE_AFTER_S = 0.9
ABORT_AFTER_S = 8.0

DEFAULT_REPORT_INTERVAL_S = 0.25

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.5


class Peer(outgoing_connection.ConnectionOwner):
    """Another node, as seen from this one.

    :param address: address where it accepts connections of other nodes.
    :param hello: message that identifies this node on new connections.
    :ivar load_known_at: time of the event loop of its last load, in seconds.
    :ivar service_time_s: average service time of its endpoint, in seconds.
    :ivar own_times_s: own times at its endpoint by route, in seconds.
    :ivar utilization: arriving work over the work that its endpoint can do.
    :ivar highest_rank_utilization: part of it that requests of rank 0 cause; None if
        it is not known.
    :ivar slot_demand: slots demanded at the peer, in thousandths, by service and rank;
        replaced by each report with other figures, never changed.
    :ivar reported_at: time of the event loop of its last load report, in seconds.
    :ivar report_interval_s: time until its next load report, as it announced.
    :ivar sent_since_report: attempts sent to it since it last reported its load.
    :ivar unreachable_since: time of the event loop since which it cannot be reached,
        in seconds; None while it is connected.
    :ivar announced_stop: whether its process has said that it is about to stop.
    :ivar is_endpoint_open: whether its endpoint accepts new requests, also as a lame
        duck, whether or not the peer is connected.
    :ivar on_service_change: called when a node state names another service than the
        state before.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: str,
        zone: str,
        hello: frames.Hello,
        observer: peer_observer.PeerObserver,
        rng: random.Random,
    ) -> None:
        self.loop = loop
        self.address = address
        self.zone = zone
        self.hello = hello
        self.state: frames.NodeState | None = None
        self.load = 0
        self.load_known_at = 0.0
        self.service_time_s = 0.0
        self.own_times_s: dict[str, float] = {}
        self.utilization = 0.0
        self.highest_rank_utilization: float | None = None
        self.slot_demand: dict[tuple[str, int], int] = {}
        self.reported_at = float("-inf")
        self.report_interval_s = DEFAULT_REPORT_INTERVAL_S
        self.sent_since_report = 0
        self.unreachable_since: float | None = None
        self.announced_stop = False
        self.is_endpoint_open = False
        self.on_service_change: Callable[[], None] = lambda: None
        self._demand_keys: list[tuple[str, int]] = []
        self._demand_figures: list[int] = []
        self._left_endpoint: tuple[str, int] | None = None
        self._has_endpoint = False
        self._observer = observer
        self._rng = rng
        self._connection: outgoing_connection.OutgoingConnection | None = None
        self._informed_connection: outgoing_connection.OutgoingConnection | None = None
        self._replaced_connections: list[outgoing_connection.OutgoingConnection] = []
        self._connecting = False
        self._reconnect_at = 0.0
        self._backoff_s = MIN_BACKOFF_S
        self._last_attempt_number = 0
        self._last_connection_number = 0
        self._tasks: set[asyncio.Task] = set()

    @property
    def connected(self) -> bool:
        """Whether requests can be sent to the peer."""
        connection = self._connection
        return connection is not None and connection.usable

    @property
    def outstanding_count(self) -> int:
        """Number of attempts at the peer that have no result yet."""
        connections = [*self._replaced_connections, self._connection]
        return sum(len(each.outstanding) for each in connections if each is not None)

    @property
    def handles_load_requests(self) -> bool:
        """Whether the peer's version of the protocol has load requests."""
        state = self.state
        return state is not None and state.protocol >= frames.LOAD_REQUEST_VERSION

    @property
    def handles_quotas(self) -> bool:
        """Whether the peer's version of the protocol has quota requests."""
        state = self.state
        return state is not None and state.protocol >= frames.QUOTA_VERSION

    @property
    def handles_body_connections(self) -> bool:
        """Whether the peer's version of the protocol has body connections."""
        state = self.state
        return state is not None and state.protocol >= frames.BODY_CONNECTION_VERSION

    @property
    def handles_config_reads(self) -> bool:
        """Whether the peer's version of the protocol has messages on reads."""
        state = self.state
        return state is not None and state.protocol >= frames.CONFIG_READ_VERSION

    @property
    def handles_departures(self) -> bool:
        """Whether the peer's version of the protocol has copies of departures."""
        state = self.state
        return state is not None and state.protocol >= frames.DEPARTURE_VERSION

    @property
    def config_reading(self) -> data.ConfigReading:
        """How the peer gets its configs; from peers if it says something else."""
        try:
            return data.ConfigReading(self.state.config_reading)
        except ValueError:
            return data.ConfigReading.FROM_PEERS

    @property
    def reports_slots(self) -> bool:
        """Whether the peer is connected and reports its demand in slots."""
        return self.handles_load_requests and self.connected

    @property
    def accepting(self) -> bool:
        """Whether the peer's endpoint accepts new requests."""
        return self._has_endpoint and self.state.accepting and self.connected

    @property
    def lame_duck(self) -> bool:
        """Whether the peer still accepts new requests but is about to stop."""
        return self._has_endpoint and self.state.lame_duck and self.connected

    @property
    def takes_requests(self) -> bool:
        """Whether the peer's endpoint accepts new requests, also as a lame duck."""
        connection = self._connection
        return self.is_endpoint_open and connection is not None and connection.usable

    @property
    def usable_slots(self) -> float:
        """Number of slots that requests can hold at the peer's endpoint on average."""
        state = self.state
        if state is None:
            return 0.0
        if state.rate_limit is None:
            return float(state.concurrency_limit)
        return rate_limiter.compute_usable_slots(
            state.concurrency_limit, state.rate_limit, self.service_time_s
        )

    def submit(
        self,
        attempt: attempts.Attempt,
        on_complete: outgoing_connection.CompletionHandler,
        on_suspect: outgoing_connection.SuspectHandler,
    ) -> tuple[outgoing_connection.OutgoingConnection, int]:
        """Sends an attempt to the peer.

        :param on_complete: called once, unless the attempt is cancelled before.
        :param on_suspect: called at most once, when the peer becomes suspect.
        :returns: the connection and the number of the attempt on it.
        """
        self._last_attempt_number += 1
        number = self._last_attempt_number
        connection = self._connection
        self.sent_since_report += 1
        connection.submit(
            frames.Submit(
                number,
                attempt.request_id,
                attempt.route,
                attempt.service,
                attempt.rank,
                attempt.is_nested_call,
                int(attempt.remaining_s * 1000),
                int(attempt.target_latency_s * 1000),
                attempt.head,
                attempt.body,
                attempt.suspect_crashes,
                attempt.customer,
                attempt.may_hand_over,
            ),
            outgoing_connection.OutstandingAttempt(
                attempt.route, on_complete, on_suspect
            ),
        )
        return connection, number

    def is_suspect(self, now: float) -> bool:
        """Returns whether the peer is not connected or does not reply to a probe."""
        connection = self._connection
        if connection is None:
            return True
        probed_at = connection.probed_at
        return probed_at is not None and now - probed_at > SUSPECT_AFTER_S

    def update_load(self, load: int, service_time_us: int) -> None:
        """Sets the load of the peer's endpoint, as the peer reported it.

        :param load: requests that run or wait there.
        :param service_time_us: average service time, in microseconds.
        """
        self.load = load
        self.load_known_at = self.loop.time()
        self.service_time_s = service_time_us / 1e6
        self.sent_since_report = 0

    def request_config(self, version: int, number: int = 0) -> None:
        """Requests a config that is newer than ``version``.

        :param number: number of a request for the age of what the peer knows; 0 if it
            is not requested.
        """
        if self.connected:
            self._connection.send(frames.ConfigRequest(version, number))

    def notify_config_read(self, message: frames.ConfigRead) -> None:
        """Tells the peer of a read if it is connected and knows such messages."""
        if self.connected and self.handles_config_reads:
            self._connection.send(message)

    def request_quota(self, request: frames.QuotaRequest) -> None:
        """Requests tokens if the peer is connected and knows such requests."""
        if self.connected and self.handles_quotas:
            self._connection.send(request)

    def handle_message(self, message: frames.Message) -> None:
        """Handles a message other than a reply to a request."""
        if isinstance(message, frames.LoadReport):
            self._handle_load_report(message)
        elif isinstance(message, frames.NodeState):
            previous, self.state = self.state, message
            if previous is None or previous.service != message.service:
                self.on_service_change()
            endpoint = (message.instance, message.start_ms)
            self.announced_stop = message.stopping
            if message.leaving:
                self._left_endpoint = endpoint
            # A peer that has restarted may not know that its endpoint will leave.
            self._has_endpoint = endpoint != self._left_endpoint
            self.is_endpoint_open = self._has_endpoint and (
                message.accepting or message.lame_duck
            )
            self.zone = message.zone
            self.own_times_s = {
                route: own_us / 1e6 for route, own_us, _ in message.route_times
            }
            self._handle_load_report(message.load_report)
            self._hand_over_copies()
            self._observer.handle_state(self.address, message)
        elif isinstance(message, frames.ConfigReply):
            self._observer.handle_config(message)
        elif isinstance(message, frames.CrashReport):
            self._observer.handle_crash_report(message)
        elif isinstance(message, frames.ClearedRequests):
            self._observer.handle_cleared_requests(message)
        elif isinstance(message, frames.QuotaReply):
            self._observer.handle_quota_reply(self.address, message)
        elif isinstance(message, frames.Departure):
            self._send_copy(self._observer.departures.hold(self.address, message))
        elif isinstance(message, frames.DepartureCopy):
            self._observer.departures.handle_copy(self.address, message)

    def _hand_over_copies(self) -> None:
        """Sends the copies of the peer's departures, once on each connection."""
        connection = self._connection
        if connection is self._informed_connection or not self.handles_departures:
            return
        self._informed_connection = connection
        for copy in self._observer.departures.get_copies(self.address):
            self._send_copy(copy)

    def _send_copy(self, copy: frames.DepartureCopy) -> None:
        if self.connected:
            self._connection.send(copy)

    def _handle_load_report(self, report: frames.LoadReport) -> None:
        self.update_load(report.load, report.service_time_us)
        self.reported_at = self.loop.time()
        if report.interval_ms:
            self.report_interval_s = report.interval_ms / 1000
        self.utilization = report.utilization / frames.UTILIZATION_SCALE
        highest_rank = report.highest_rank_utilization / frames.UTILIZATION_SCALE
        self.highest_rank_utilization = highest_rank if highest_rank >= 0.0 else None
        demand_keys = self.state.demand_keys if self.state is not None else []
        figures = report.slot_demand
        if demand_keys is not self._demand_keys or figures != self._demand_figures:
            self._demand_keys = demand_keys
            self._demand_figures = figures
            self.slot_demand = dict(zip(demand_keys, figures, strict=False))

    def handle_invalid_message(self, why: str) -> None:
        """Reports a message that cannot be decoded; the connection is aborted."""
        self._observer.handle_peer_event(
            self.address, f"sent an invalid message: {why}"
        )

    def handle_connection_lost(
        self, connection: outgoing_connection.OutgoingConnection
    ) -> None:
        """Handles the end of a connection to the peer."""
        if connection in self._replaced_connections:
            self._replaced_connections.remove(connection)
        if connection is self._connection:
            self._connection = None
            self.unreachable_since = self.loop.time()
            self._observer.handle_peer_event(self.address, "connection lost")

    def tick(self, now: float) -> None:
        """Replaces the connection to an unresponsive peer and opens a missing one.

        :param now: time of the event loop, in seconds.
        """
        connection = self._connection
        if connection is not None:
            probe_after_s = (
                BUSY_PROBE_AFTER_S if connection.outstanding else self.report_interval_s
            )
            is_waiting = connection.probed_at is not None
            if is_waiting or now - connection.last_received_at > probe_after_s:
                self._check_responsiveness(connection, now)
        if self._replaced_connections:
            self._abort_replaced(now)
        if (
            self._connection is None
            and not self._connecting
            and now >= self._reconnect_at
        ):
            self._connecting = True
            task = self.loop.create_task(self._connect())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _abort_replaced(self, now: float) -> None:
        for replaced in list(self._replaced_connections):
            if (
                now - replaced.last_received_at > ABORT_AFTER_S
                or not replaced.outstanding
            ):
                replaced.abort()

    def _check_responsiveness(
        self, connection: outgoing_connection.OutgoingConnection, now: float
    ) -> None:
        silence_s = now - connection.last_received_at
        interval_s = self.report_interval_s
        probe_after_s = interval_s + max(
            IDLE_PROBE_MARGIN_S, IDLE_PROBE_MARGIN_RATIO * interval_s
        )
        if connection.outstanding:
            probe_after_s = min(probe_after_s, BUSY_PROBE_AFTER_S)
        if silence_s > probe_after_s:
            connection.probe(now)
        if connection.probed_at is None:
            return
        unanswered_s = connection.get_unanswered_s(now)
        if unanswered_s > UNRESPONSIVE_AFTER_S:
            # Results may still arrive on it, but no new requests are sent there.
            self._replaced_connections.append(connection)
            self._connection = None
            self.unreachable_since = now
            self._observer.handle_peer_event(self.address, "unresponsive")
        if unanswered_s > SUSPECT_AFTER_S:
            connection.notify_suspect()

    def close(self) -> None:
        """Aborts all connections and attempts to connect."""
        for task in self._tasks:
            task.cancel()
        for connection in [*self._replaced_connections, self._connection]:
            if connection is not None:
                connection.abort()

    def _create_connection(self) -> outgoing_connection.OutgoingConnection:
        self._last_connection_number += 1
        return outgoing_connection.OutgoingConnection(
            self, self._last_connection_number
        )

    async def _connect(self) -> None:
        host, _, port = self.address.rpartition(":")
        try:
            connecting = self.loop.create_connection(
                self._create_connection, host, int(port)
            )
            _, connection = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
            if not connection.usable:
                raise ConnectionResetError
        except (TimeoutError, OSError, ValueError, OverflowError):
            # ValueError and OverflowError: a message gave an invalid address.
            delay_s = self._backoff_s * self._rng.uniform(0.7, 1.3)
            self._reconnect_at = self.loop.time() + delay_s
            self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)
            if self.unreachable_since is None:
                self.unreachable_since = self.loop.time()
            return
        finally:
            self._connecting = False
        has_received = connection.last_received_at > 0.0
        connection.last_received_at = self.loop.time()
        self._connection = connection
        self._backoff_s = MIN_BACKOFF_S
        self._reconnect_at = 0.0
        self.unreachable_since = None
        self._observer.handle_peer_event(self.address, "connected")
        if has_received:
            # Its state has arrived before the connection could be used.
            self._hand_over_copies()
