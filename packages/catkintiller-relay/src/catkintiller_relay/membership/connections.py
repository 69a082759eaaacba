"""Connections between nodes: one that a node opens to each other node."""

import abc
import asyncio
import random
from collections.abc import Callable
from typing import NamedTuple

from .. import data
from ..serving import local
from . import frames

CONNECT_TIMEOUT_S = 1.0
SUSPECT_S = 0.6
QUIET_S = 1.2
DEAD_S = 8.0
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 1.5

ReplyHandler = Callable[[local.Result], None]
StallHandler = Callable[[], None]


class PendingRequest(NamedTuple):
    """A request that another node has not answered yet.

    :param done: is called with the answer.
    :param stalled: is called once if the node falls silent; an answer may still come.
    """

    done: ReplyHandler
    stalled: StallHandler


class PeerObserver(abc.ABC):
    """Is told what other nodes say."""

    @abc.abstractmethod
    def receive_state(self, peer: "Peer", state: frames.NodeState) -> None:
        """Takes the state of another node."""

    @abc.abstractmethod
    def receive_hello(self, hello: frames.Hello) -> None:
        """Hears of a node that opened a connection."""

    @abc.abstractmethod
    def receive_config(self, reply: frames.ConfigReply) -> None:
        """Takes a config from another node."""

    @abc.abstractmethod
    def get_config(self) -> data.Config | None:
        """Gets the config in force, for other nodes."""

    @abc.abstractmethod
    def make_state(self) -> frames.NodeState:
        """Makes the state to tell other nodes."""

    @abc.abstractmethod
    def note_peer(self, peer: "Peer", event: str) -> None:
        """Hears that a node was lost or came back."""


class OutgoingConnection(asyncio.Protocol):
    """A connection that this node opened; requests go out, answers come back."""

    def __init__(self, peer: "Peer") -> None:
        self._peer = peer
        self._reader = frames.FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self.pending: dict[int, PendingRequest] = {}
        self.heard_at = 0.0
        self._told_stalled = 0

    @property
    def usable(self) -> bool:
        """Whether messages can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Says who this node is."""
        self._transport = transport
        self._transport.write(frames.encode(self._peer.hello))

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the requests that wait."""
        self._transport = None
        waiting, self.pending = self.pending, {}
        self._peer.lose(self)
        lost = local.Result(
            data.Outcome.UNKNOWN, data.RefusalReason.NODE_LOST, 0, b"", b"", 0.0, 0.0
        )
        for request in waiting.values():
            request.done(lost)

    def data_received(self, received: bytes) -> None:
        """Takes messages."""
        try:
            messages = self._reader.feed(received)
        except data.DecodeError:
            self.abort()
            return
        self.heard_at = self._peer.loop.time()
        for message in messages:
            if type(message) is frames.Reply:
                self._take_reply(message)
            else:
                self._peer.receive(message)

    def send(self, message: frames.Message) -> None:
        """Sends a message."""
        if self._transport is not None:
            self._transport.write(frames.encode(message))

    def abort(self) -> None:
        """Ends the connection."""
        if self._transport is not None:
            self._transport.abort()

    def tell_stalled(self) -> None:
        """Tells the requests that wait here, each once, that the node is silent."""
        last = self._told_stalled
        fresh = [number for number in self.pending if number > last]
        if not fresh:
            return
        self._told_stalled = fresh[-1]
        for number in fresh:
            request = self.pending.get(number)
            if request is not None:
                request.stalled()

    def _take_reply(self, reply: frames.Reply) -> None:
        self._peer.take_load(reply.load, reply.service_us)
        request = self.pending.pop(reply.number, None)
        if request is None:
            return
        reason = data.RefusalReason(reply.reason) if reply.reason else None
        request.done(
            local.Result(
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
    """Another node as this one knows it.

    :param address: its address for other nodes.
    :param hello: what this node says of itself.
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
        self.service_s = 0.0
        self.capacity = 0.0
        self.utilization = 0.0
        self.demand: dict[str, dict[int, float]] = {}
        self.sent_since_report = 0
        self.unreachable_since: float | None = None
        self._observer = observer
        self._rng = rng
        self._connection: OutgoingConnection | None = None
        self._retired: list[OutgoingConnection] = []
        self._connecting = False
        self._retry_at = 0.0
        self._backoff_s = BACKOFF_MIN_S
        self._number = 0
        self._tasks: set[asyncio.Task] = set()

    @property
    def connected(self) -> bool:
        """Whether requests can be sent to it."""
        connection = self._connection
        return connection is not None and connection.usable

    @property
    def accepting(self) -> bool:
        """Whether its endpoint takes new requests."""
        return self.connected and self.state is not None and self.state.accepting

    @property
    def lame_duck(self) -> bool:
        """Whether its endpoint takes new requests for a short time still."""
        return self.connected and self.state is not None and self.state.lame_duck

    def submit(
        self, ticket: local.Ticket, done: ReplyHandler, stalled: StallHandler
    ) -> tuple[OutgoingConnection, int]:
        """Sends a request; ``done`` is called once unless it is cancelled."""
        self._number += 1
        number = self._number
        connection = self._connection
        connection.pending[number] = PendingRequest(done, stalled)
        self.sent_since_report += 1
        connection.send(
            frames.Submit(
                number,
                ticket.request_id,
                ticket.route,
                ticket.service,
                ticket.rank,
                ticket.call,
                int(ticket.left_s * 1000),
                int(ticket.target_s * 1000),
                ticket.head,
                ticket.body,
            )
        )
        return connection, number

    def is_suspect(self, now: float) -> bool:
        """Tells whether the node has been silent for longer than usual."""
        connection = self._connection
        return connection is None or now - connection.heard_at > SUSPECT_S

    def take_load(self, load: int, service_us: int) -> None:
        """Takes a load report."""
        self.load = load
        self.service_s = service_us / 1e6
        self.sent_since_report = 0

    def ask_config(self, version: int) -> None:
        """Asks for a newer config."""
        if self.connected:
            self._connection.send(frames.ConfigRequest(version))

    def receive(self, message: frames.Message) -> None:
        """Takes what the node says besides answers."""
        if isinstance(message, frames.LoadReport):
            self._take_pulse(message)
        elif isinstance(message, frames.NodeState):
            self.state = message
            self.zone = message.zone
            self._take_pulse(message.load_report)
            self._observer.receive_state(self, message)
        elif isinstance(message, frames.ConfigReply):
            self._observer.receive_config(message)

    def _take_pulse(self, pulse: frames.LoadReport) -> None:
        self.take_load(pulse.load, pulse.service_us)
        self.capacity = float(pulse.capacity)
        self.utilization = pulse.utilization / frames.UTILIZATION_SCALE
        demand: dict[str, dict[int, float]] = {}
        series = self.state.demand_keys if self.state is not None else []
        for (service, rank), rate in zip(series, pulse.demand, strict=False):
            demand.setdefault(service, {})[rank] = float(rate)
        self.demand = demand

    def lose(self, connection: OutgoingConnection) -> None:
        """Hears that a connection ended."""
        if connection in self._retired:
            self._retired.remove(connection)
        if connection is self._connection:
            self._connection = None
            self.unreachable_since = self.loop.time()
            self._observer.note_peer(self, "connection lost")

    def tick(self, now: float) -> None:
        """Replaces a quiet connection and opens a missing one."""
        connection = self._connection
        if connection is not None and now - connection.heard_at > QUIET_S:
            # Answers may still come on it, but nothing new is sent there.
            self._retired.append(connection)
            self._connection = None
            self.unreachable_since = now
            self._observer.note_peer(self, "quiet")
        if connection is not None and now - connection.heard_at > SUSPECT_S:
            connection.tell_stalled()
        for old in list(self._retired):
            if now - old.heard_at > DEAD_S or not old.pending:
                old.abort()
        if self._connection is None and not self._connecting and now >= self._retry_at:
            self._connecting = True
            task = self.loop.create_task(self._connect())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Ends all connections."""
        for task in self._tasks:
            task.cancel()
        for connection in [*self._retired, self._connection]:
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
            pause = self._backoff_s * self._rng.uniform(0.7, 1.3)
            self._retry_at = self.loop.time() + pause
            self._backoff_s = min(BACKOFF_MAX_S, 2 * self._backoff_s)
            if self.unreachable_since is None:
                self.unreachable_since = self.loop.time()
            return
        finally:
            self._connecting = False
        connection.heard_at = self.loop.time()
        self._connection = connection
        self._backoff_s = BACKOFF_MIN_S
        self._retry_at = 0.0
        self.unreachable_since = None
        self._observer.note_peer(self, "connected")


class IncomingConnection(asyncio.Protocol):
    """A connection that another node opened; its requests run here."""

    def __init__(self, hub: "Hub") -> None:
        self._hub = hub
        self._reader = frames.FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._runs: dict[int, local.Run] = {}

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Tells the state at once."""
        self._transport = transport
        self._hub.incoming.add(self)
        self.send(self._hub.observer.make_state())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the requests that wait or run."""
        self._transport = None
        self._hub.incoming.discard(self)
        runs, self._runs = self._runs, {}
        for run in runs.values():
            self._hub.local.cancel(run)

    def data_received(self, received: bytes) -> None:
        """Takes messages."""
        try:
            messages = self._reader.feed(received)
        except data.DecodeError:
            if self._transport is not None:
                self._transport.abort()
            return
        for message in messages:
            if type(message) is frames.Submit:
                self._submit(message)
            elif type(message) is frames.Cancel:
                run = self._runs.pop(message.number, None)
                if run is not None:
                    self._hub.local.cancel(run)
            elif type(message) is frames.Hello:
                self._hub.observer.receive_hello(message)
            elif type(message) is frames.ConfigRequest:
                self._send_config(message.version)

    def send(self, message: frames.Message) -> None:
        """Sends a message."""
        self.write(frames.encode(message))

    def write(self, frame: bytes) -> None:
        """Sends a message that is encoded already."""
        if self._transport is not None:
            self._transport.write(frame)

    def _submit(self, message: frames.Submit) -> None:
        number = message.number
        ticket = local.Ticket(
            message.request_id,
            message.route,
            message.service,
            message.rank,
            message.nested,
            message.remaining_ms / 1000,
            message.target_latency_ms / 1000,
            message.head,
            message.body,
        )

        def done(result: local.Result) -> None:
            self._runs.pop(number, None)
            queue = self._hub.local.queue
            self.send(
                frames.Reply(
                    number,
                    int(result.outcome),
                    result.reason.value if result.reason else "",
                    result.status,
                    queue.load,
                    int(queue.service_s * 1e6),
                    result.head,
                    result.body,
                )
            )

        run = self._hub.local.submit(ticket, done)
        if run.done is not None:
            self._runs[number] = run

    def _send_config(self, version: int) -> None:
        config = self._hub.observer.get_config()
        if config is not None and config.version > version:
            self.send(frames.ConfigReply(config.version, config.raw))


class Hub:
    """The address where other nodes connect."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        server: local.LocalServer,
        observer: PeerObserver,
    ) -> None:
        self._loop = loop
        self.local = server
        self.observer = observer
        self.incoming: set[IncomingConnection] = set()

    async def listen(self, address: str) -> None:
        """Starts to listen."""
        host, _, port = address.rpartition(":")
        await self._loop.create_server(
            lambda: IncomingConnection(self), host, int(port), backlog=256
        )

    def broadcast(self, message: frames.Message) -> None:
        """Tells something to all nodes that are connected."""
        if not self.incoming:
            return
        frame = frames.encode(message)
        for connection in list(self.incoming):
            connection.write(frame)
