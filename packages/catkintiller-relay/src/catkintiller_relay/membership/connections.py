"""Connections between nodes.

Each node opens one connection to each peer. Requests go out on it; their results, node
states and load reports come back on it.
"""

import abc
import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

from .. import data
from ..serving import local_endpoint
from . import frames

CONNECT_TIMEOUT_S = 1.0

# Time without a message from a peer after which it is suspect, after which its
# connection is replaced, and after which the replaced connection is aborted.
SUSPECT_AFTER_S = 0.6
UNRESPONSIVE_AFTER_S = 1.2
ABORT_AFTER_S = 8.0

MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.5

CompletionHandler = Callable[[local_endpoint.AttemptResult], None]
SuspectHandler = Callable[[], None]


class OutstandingAttempt(NamedTuple):
    """An attempt sent to a peer that has no result yet.

    :param on_complete: called with the result.
    :param on_suspect: called at most once, when the peer becomes suspect; the result
        may still arrive afterwards.
    """

    on_complete: CompletionHandler
    on_suspect: SuspectHandler


class PeerObserver(abc.ABC):
    """Handles the messages and events of peers, and provides what they request."""

    @abc.abstractmethod
    def handle_state(self, peer: "Peer", state: frames.NodeState) -> None:
        """Handles the node state of a peer."""

    @abc.abstractmethod
    def handle_hello(self, hello: frames.Hello) -> None:
        """Handles the first message of a node that opened a connection."""

    @abc.abstractmethod
    def handle_config(self, reply: frames.ConfigReply) -> None:
        """Handles a config that a peer sent."""

    @abc.abstractmethod
    def get_config(self) -> data.Config | None:
        """Returns the config in force, to be sent to peers."""

    @abc.abstractmethod
    def build_state(self) -> frames.NodeState:
        """Builds the node state to send to peers."""

    @abc.abstractmethod
    def handle_peer_event(self, peer: "Peer", event: str) -> None:
        """Handles a change of the connection to a peer.

        :param event: description of the change, used in a log line.
        """


class OutgoingConnection(asyncio.Protocol):
    """A connection that this node opened to a peer; requests are sent on it.

    :ivar outstanding: attempts without a result, by number in the order of sending.
    :ivar last_received_at: time of the event loop when bytes last arrived, in
        seconds.
    """

    def __init__(self, peer: "Peer") -> None:
        self._peer = peer
        self._decoder = frames.FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self.outstanding: dict[int, OutstandingAttempt] = {}
        self.last_received_at = 0.0
        self._last_notified_number = 0

    @property
    def usable(self) -> bool:
        """Whether messages can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Sends the message that identifies this node."""
        self._transport = transport
        self._transport.write(frames.encode(self._peer.hello))

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the outstanding attempts; their outcome is unknown."""
        self._transport = None
        outstanding, self.outstanding = self.outstanding, {}
        self._peer.handle_connection_lost(self)
        lost_result = local_endpoint.AttemptResult(
            data.Outcome.UNKNOWN, data.RefusalReason.NODE_LOST, 0, b"", b"", 0.0, 0.0
        )
        for attempt in outstanding.values():
            attempt.on_complete(lost_result)

    def data_received(self, received: bytes) -> None:
        """Handles the messages that are complete."""
        try:
            messages = self._decoder.feed(received)
        except data.DecodeError:
            self.abort()
            return
        self.last_received_at = self._peer.loop.time()
        for message in messages:
            if type(message) is frames.Reply:
                self._handle_reply(message)
            else:
                self._peer.handle_message(message)

    def send(self, message: frames.Message) -> None:
        """Sends a message."""
        if self._transport is not None:
            self._transport.write(frames.encode(message))

    def abort(self) -> None:
        """Aborts the connection."""
        if self._transport is not None:
            self._transport.abort()

    def notify_suspect(self) -> None:
        """Calls ``on_suspect`` of the outstanding attempts, once for each attempt."""
        last_notified_number = self._last_notified_number
        unnotified_numbers = [
            number for number in self.outstanding if number > last_notified_number
        ]
        if not unnotified_numbers:
            return
        self._last_notified_number = unnotified_numbers[-1]
        for number in unnotified_numbers:
            attempt = self.outstanding.get(number)
            if attempt is not None:
                attempt.on_suspect()

    def _handle_reply(self, reply: frames.Reply) -> None:
        self._peer.update_load(reply.load, reply.service_time_us)
        attempt = self.outstanding.pop(reply.number, None)
        if attempt is None:
            return
        reason = data.RefusalReason(reply.reason) if reply.reason else None
        attempt.on_complete(
            local_endpoint.AttemptResult(
                data.Outcome(reply.outcome),
                reason,
                reply.status,
                reply.head,
                reply.body,
                0.0,
                0.0,
            )
        )


class Peer:
    """Another node, as seen from this one.

    :param address: address where it accepts connections of other nodes.
    :param hello: message that identifies this node on new connections.
    :ivar service_time_s: average service time of its endpoint, in seconds.
    :ivar capacity: requests per second that its endpoint can run.
    :ivar utilization: arriving work over the work that its endpoint can do.
    :ivar demand: requests per second demanded at the peer, by service and rank.
    :ivar sent_since_report: attempts sent to it since it last reported its load.
    :ivar unreachable_since: time of the event loop since which it cannot be reached,
        in seconds; None while it is connected.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: str,
        zone: str,
        hello: frames.Hello,
        observer: PeerObserver,
        rng: random.Random,
    ) -> None:
        self.loop = loop
        self.address = address
        self.zone = zone
        self.hello = hello
        self.state: frames.NodeState | None = None
        self.load = 0
        self.service_time_s = 0.0
        self.capacity = 0.0
        self.utilization = 0.0
        self.demand: dict[str, dict[int, float]] = {}
        self.sent_since_report = 0
        self.unreachable_since: float | None = None
        self._observer = observer
        self._rng = rng
        self._connection: OutgoingConnection | None = None
        self._replaced_connections: list[OutgoingConnection] = []
        self._connecting = False
        self._reconnect_at = 0.0
        self._backoff_s = MIN_BACKOFF_S
        self._last_attempt_number = 0
        self._tasks: set[asyncio.Task] = set()

    @property
    def connected(self) -> bool:
        """Whether requests can be sent to the peer."""
        connection = self._connection
        return connection is not None and connection.usable

    @property
    def accepting(self) -> bool:
        """Whether the peer's endpoint accepts new requests."""
        return self.connected and self.state is not None and self.state.accepting

    @property
    def lame_duck(self) -> bool:
        """Whether the peer still accepts new requests but is about to stop."""
        return self.connected and self.state is not None and self.state.lame_duck

    def submit(
        self,
        attempt: local_endpoint.Attempt,
        on_complete: CompletionHandler,
        on_suspect: SuspectHandler,
    ) -> tuple[OutgoingConnection, int]:
        """Sends an attempt to the peer.

        :param on_complete: called once, unless the attempt is cancelled before.
        :param on_suspect: called at most once, when the peer becomes suspect.
        :returns: the connection and the number of the attempt on it.
        """
        self._last_attempt_number += 1
        number = self._last_attempt_number
        connection = self._connection
        connection.outstanding[number] = OutstandingAttempt(on_complete, on_suspect)
        self.sent_since_report += 1
        connection.send(
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
            )
        )
        return connection, number

    def is_suspect(self, now: float) -> bool:
        """Returns whether the peer is not connected or sent nothing for too long."""
        connection = self._connection
        return connection is None or now - connection.last_received_at > SUSPECT_AFTER_S

    def update_load(self, load: int, service_time_us: int) -> None:
        """Sets the load of the peer's endpoint, as the peer reported it.

        :param load: requests that run or wait there.
        :param service_time_us: average service time, in microseconds.
        """
        self.load = load
        self.service_time_s = service_time_us / 1e6
        self.sent_since_report = 0

    def request_config(self, version: int) -> None:
        """Requests a config that is newer than ``version``."""
        if self.connected:
            self._connection.send(frames.ConfigRequest(version))

    def handle_message(self, message: frames.Message) -> None:
        """Handles a message other than a reply to a request."""
        if isinstance(message, frames.LoadReport):
            self._handle_load_report(message)
        elif isinstance(message, frames.NodeState):
            self.state = message
            self.zone = message.zone
            self._handle_load_report(message.load_report)
            self._observer.handle_state(self, message)
        elif isinstance(message, frames.ConfigReply):
            self._observer.handle_config(message)

    def _handle_load_report(self, report: frames.LoadReport) -> None:
        self.update_load(report.load, report.service_time_us)
        self.capacity = float(report.capacity)
        self.utilization = report.utilization / frames.UTILIZATION_SCALE
        demand: dict[str, dict[int, float]] = {}
        demand_keys = self.state.demand_keys if self.state is not None else []
        for (service, rank), rate in zip(demand_keys, report.demand, strict=False):
            demand.setdefault(service, {})[rank] = float(rate)
        self.demand = demand

    def handle_connection_lost(self, connection: OutgoingConnection) -> None:
        """Handles the end of a connection to the peer."""
        if connection in self._replaced_connections:
            self._replaced_connections.remove(connection)
        if connection is self._connection:
            self._connection = None
            self.unreachable_since = self.loop.time()
            self._observer.handle_peer_event(self, "connection lost")

    def tick(self, now: float) -> None:
        """Replaces the connection to an unresponsive peer and opens a missing one.

        :param now: time of the event loop, in seconds.
        """
        connection = self._connection
        if (
            connection is not None
            and now - connection.last_received_at > UNRESPONSIVE_AFTER_S
        ):
            # Results may still arrive on it, but no new requests are sent there.
            self._replaced_connections.append(connection)
            self._connection = None
            self.unreachable_since = now
            self._observer.handle_peer_event(self, "unresponsive")
        if (
            connection is not None
            and now - connection.last_received_at > SUSPECT_AFTER_S
        ):
            connection.notify_suspect()
        for replaced in list(self._replaced_connections):
            if (
                now - replaced.last_received_at > ABORT_AFTER_S
                or not replaced.outstanding
            ):
                replaced.abort()
        if (
            self._connection is None
            and not self._connecting
            and now >= self._reconnect_at
        ):
            self._connecting = True
            task = self.loop.create_task(self._connect())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Aborts all connections and attempts to connect."""
        for task in self._tasks:
            task.cancel()
        for connection in [*self._replaced_connections, self._connection]:
            if connection is not None:
                connection.abort()

    async def _connect(self) -> None:
        host, _, port = self.address.rpartition(":")
        try:
            connecting = self.loop.create_connection(
                lambda: OutgoingConnection(self), host, int(port)
            )
            _, connection = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
        except (TimeoutError, OSError):
            delay_s = self._backoff_s * self._rng.uniform(0.7, 1.3)
            self._reconnect_at = self.loop.time() + delay_s
            self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)
            if self.unreachable_since is None:
                self.unreachable_since = self.loop.time()
            return
        finally:
            self._connecting = False
        connection.last_received_at = self.loop.time()
        self._connection = connection
        self._backoff_s = MIN_BACKOFF_S
        self._reconnect_at = 0.0
        self.unreachable_since = None
        self._observer.handle_peer_event(self, "connected")


class IncomingConnection(asyncio.Protocol):
    """A connection that a peer opened; its requests run at the local endpoint."""

    def __init__(self, server: "PeerServer") -> None:
        self._server = server
        self._decoder = frames.FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._executions: dict[int, local_endpoint.Execution] = {}

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Sends the node state at once."""
        self._transport = transport
        self._server.incoming_connections.add(self)
        self.send(self._server.observer.build_state())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the peer's requests that wait or run."""
        self._transport = None
        self._server.incoming_connections.discard(self)
        executions, self._executions = self._executions, {}
        for execution in executions.values():
            self._server.local_endpoint.cancel(execution)

    def data_received(self, received: bytes) -> None:
        """Handles the messages that are complete."""
        try:
            messages = self._decoder.feed(received)
        except data.DecodeError:
            if self._transport is not None:
                self._transport.abort()
            return
        for message in messages:
            if type(message) is frames.Submit:
                self._submit(message)
            elif type(message) is frames.Cancel:
                execution = self._executions.pop(message.number, None)
                if execution is not None:
                    self._server.local_endpoint.cancel(execution)
            elif type(message) is frames.Hello:
                self._server.observer.handle_hello(message)
            elif type(message) is frames.ConfigRequest:
                self._send_config(message.version)

    def send(self, message: frames.Message) -> None:
        """Sends a message."""
        self.write(frames.encode(message))

    def write(self, frame: bytes) -> None:
        """Sends a message that is already encoded."""
        if self._transport is not None:
            self._transport.write(frame)

    def _submit(self, message: frames.Submit) -> None:
        number = message.number
        attempt = local_endpoint.Attempt(
            message.request_id,
            message.route,
            message.service,
            message.rank,
            message.is_nested_call,
            message.remaining_ms / 1000,
            message.target_latency_ms / 1000,
            message.head,
            message.body,
        )

        def send_reply(result: local_endpoint.AttemptResult) -> None:
            self._executions.pop(number, None)
            queue = self._server.local_endpoint.queue
            self.send(
                frames.Reply(
                    number,
                    int(result.outcome),
                    result.reason.value if result.reason else "",
                    result.status,
                    queue.load,
                    int(queue.service_time_s * 1e6),
                    result.head,
                    result.body,
                )
            )

        execution = self._server.local_endpoint.submit(attempt, send_reply)
        if execution.on_complete is not None:
            self._executions[number] = execution

    def _send_config(self, version: int) -> None:
        config = self._server.observer.get_config()
        if config is not None and config.version > version:
            self.send(frames.ConfigReply(config.version, config.raw))


class PeerServer:
    """Server that accepts the connections of peers."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        endpoint: local_endpoint.LocalEndpoint,
        observer: PeerObserver,
    ) -> None:
        self._loop = loop
        self.local_endpoint = endpoint
        self.observer = observer
        self.incoming_connections: set[IncomingConnection] = set()

    async def listen(self, address: str) -> None:
        """Starts to accept connections at an address."""
        host, _, port = address.rpartition(":")
        await self._loop.create_server(
            lambda: IncomingConnection(self), host, int(port), backlog=256
        )

    def broadcast(self, message: frames.Message) -> None:
        """Sends a message to all connected peers."""
        if not self.incoming_connections:
            return
        frame = frames.encode(message)
        for connection in list(self.incoming_connections):
            connection.write(frame)
