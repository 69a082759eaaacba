"""Accepts the connections of other nodes; their requests run at the local endpoint.

The nodes that are connected get the node state when it changes, and load reports in
turn. The number of reports per second is limited: with more connections, each one gets
fewer, and beyond 20 connections half as many are sent in all. Replies to requests carry
the load as well, and a node that needs a report sooner requests it.
"""

import asyncio
import collections
import functools

from .. import data, sockets
from ..ingress import body_budget
from ..serving import attempts, local_endpoint
from . import body_connection, frames, peer_observer

REPORT_ROUND_INTERVAL_S = 0.25
MAX_FULL_ROUND_COUNT = 20  # connections up to which each one gets every report
REPORTS_PER_ROUND = 10  # with more connections
ROOM_CHECK_INTERVAL_S = 0.02
MAX_REMEMBERED_RESULTS = 64


class IncomingConnection(asyncio.Protocol):
    """A connection that a peer opened; its requests run at the local endpoint.

    :ivar address: address where the peer accepts connections; empty until it has
        introduced itself.
    :ivar service: service of the peer's endpoint; empty until then.
    :ivar zone: availability zone of the peer; empty until then.
    :ivar needs_every_report: whether the peer is of a version that takes a node for
        unresponsive without reports four times a second.
    """

    def __init__(self, server: "PeerServer") -> None:
        self._server = server
        self._decoder = frames.FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._executions: dict[int, attempts.Execution] = {}
        self._held_bytes: dict[int, int] = {}
        self._moved_results: collections.deque[int] = collections.deque(
            maxlen=MAX_REMEMBERED_RESULTS
        )
        self._protocol = 0
        self._connection_key: tuple[str, int] | None = None
        self._paired_connection: IncomingConnection | None = None
        self._carries_bodies = False
        self._frame_bytes = 0
        self._frame_started_at = 0.0
        self.address = ""
        self.service = ""
        self.zone = ""
        self.needs_every_report = False

    @property
    def takes_crash_reports(self) -> bool:
        """Whether the peer has introduced itself and its version has crash reports."""
        return self._protocol >= frames.CRASH_REPORT_VERSION

    @property
    def takes_departures(self) -> bool:
        """Whether the peer has introduced itself and its version holds copies."""
        return self._protocol >= frames.DEPARTURE_VERSION and not self._carries_bodies

    @property
    def is_transferring_body(self) -> bool:
        """Whether part of a message has arrived or left on the second connection."""
        second = self._paired_connection
        if second is None or second._transport is None:
            return False
        return bool(
            second._decoder.pending_frame_bytes
            or second._transport.get_write_buffer_size()
        )

    @property
    def _is_open(self) -> bool:
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Sends the node state at once."""
        self._transport = transport
        self._server.add(self)
        self.send(self._server.observer.build_state())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the requests that arrived on the connection and wait or run."""
        self._transport = None
        self._server.remove(self)
        self._unlink()
        executions, self._executions = self._executions, {}
        for execution in executions.values():
            self._server.local_endpoint.cancel(execution)
        for number in list(self._held_bytes):
            self._release_body(number)
        self._release_frame()

    def data_received(self, received: bytes) -> None:
        """Handles the messages that are complete."""
        try:
            messages = self._decoder.feed(received)
        except data.DecodeError as error:
            event = f"sent an invalid message: {error}"
            self._server.observer.handle_peer_event(self.address, event)
            if self._transport is not None:
                self._transport.abort()
            return
        for message in messages:
            if type(message) is frames.Submit:
                self._submit(message)
            elif type(message) is frames.Cancel:
                self._cancel(message.number)
            elif type(message) is frames.Hello:
                self._handle_hello(message)
            elif type(message) is frames.LoadRequest:
                self.send(self._server.observer.build_load_report())
            elif type(message) is frames.ConfigRequest:
                self._send_config(message)
            elif type(message) is frames.ConfigRead:
                self._server.observer.handle_config_read(message)
            elif type(message) is frames.DepartureCopy:
                self._server.observer.departures.handle_copy(self.address, message)
            elif type(message) is frames.QuotaRequest:
                self._handle_quota_request(message)
            elif type(message) is frames.BodyHello:
                self._handle_body_hello(message)
        if self._carries_bodies:
            if messages:
                # What was reserved for the first of them and is not held with a body.
                self._release_frame()
            self._reserve_frame()

    def send(self, message: frames.Message) -> None:
        """Sends a message."""
        self.write(frames.encode(message))

    def write(self, frame: bytes) -> None:
        """Sends a message that is already encoded."""
        if self._transport is not None:
            self._transport.write(frame)

    def _handle_hello(self, message: frames.Hello) -> None:
        self._protocol = message.protocol
        self.address = message.address
        self.service = message.service
        self.zone = message.zone
        self.needs_every_report = message.protocol < frames.LOAD_REQUEST_VERSION
        if message.connection_number:
            self._connection_key = (message.boot_id, message.connection_number)
            self._server.first_connections[self._connection_key] = self
        self._server.observer.handle_hello(message)
        handover = self._server.observer.build_crash_handover()
        if handover is not None and self.takes_crash_reports:
            self.send(handover)
        if self.takes_departures:
            self._exchange_departures()

    def _exchange_departures(self) -> None:
        """Lets the peer hold this node's departures, and hands over its own."""
        departures = self._server.observer.departures
        for departure in departures.get_own():
            self.send(departure)
        for copy in departures.get_copies(self.address):
            self.send(copy)

    def _handle_body_hello(self, message: frames.BodyHello) -> None:
        """Makes this the second connection of a peer, for messages with large bodies.

        It gets no reports. If the first one is not known, the peer does without. It
        replaces a former one, which the peer has lost.
        """
        key = (message.boot_id, message.connection_number)
        first = self._server.first_connections.get(key)
        self._server.remove(self)
        if first is None:
            self._transport.abort()
            return
        former = first._paired_connection
        if former is not None:
            former._unlink()
            former._transport.abort()
        self._carries_bodies = True
        self._protocol = first._protocol
        self._paired_connection, first._paired_connection = first, self
        sockets.limit_send_buffer(self._transport, body_connection.SEND_BUFFER_BYTES)
        self.send(message)

    def _unlink(self) -> None:
        """Ends the relation to the other connection; the second one ends as well."""
        first_connections = self._server.first_connections
        if (
            self._connection_key is not None
            and first_connections.get(self._connection_key) is self
        ):
            del first_connections[self._connection_key]
        other, self._paired_connection = self._paired_connection, None
        if other is not None:
            other._paired_connection = None
            if self._carries_bodies:
                other._report_lost_results()
            elif other._transport is not None:
                other._transport.abort()

    def _report_lost_results(self) -> None:
        """Tells the peer that results may be lost with the second connection.

        Without it, the attempts that arrived here would have no result until their
        deadline. The peer ignores the numbers of those whose results have arrived.
        """
        queue = self._server.local_endpoint.queue
        for number in self._moved_results:
            self.send(
                frames.Reply(
                    number,
                    int(data.Outcome.UNKNOWN),
                    data.RefusalReason.NODE_LOST.value,
                    0,
                    queue.load,
                    int(queue.service_time_s * 1e6),
                    b"",
                    b"",
                )
            )
        self._moved_results.clear()

    def _reserve_frame(self) -> None:
        """Reserves room for the frame that arrives; waits for it if there is none.

        All of it is reserved at once: frames that wait for each other's room while each
        holds a part of its own would wait for ever.
        """
        frame_bytes = self._decoder.pending_frame_bytes
        if not frame_bytes or self._frame_bytes or not self._is_open:
            return
        budget = self._server.budget
        frame_bytes = min(frame_bytes, budget.peer_limit_bytes)
        self._frame_started_at = self._server.loop.time()
        if budget.reserve_for_peer(frame_bytes):
            self._frame_bytes = frame_bytes
            return
        self._transport.pause_reading()
        self._server.loop.call_later(ROOM_CHECK_INTERVAL_S, self._retry_reservation)

    def _retry_reservation(self) -> None:
        if not self._is_open:
            return
        started_at = self._frame_started_at
        self._transport.resume_reading()
        self._reserve_frame()
        self._frame_started_at = started_at

    def _release_frame(self) -> None:
        self._server.budget.release(self._frame_bytes)
        self._frame_bytes = 0

    def _hold_body(self, number: int, body: bytes) -> None:
        """Counts a body as long as its attempt has no result."""
        reserved_bytes, self._frame_bytes = self._frame_bytes, 0
        # The reservation may be that of a shorter message before this one.
        held_bytes = max(reserved_bytes, len(body))
        self._server.budget.take(held_bytes - reserved_bytes)
        self._held_bytes[number] = held_bytes

    def _release_body(self, number: int) -> None:
        self._server.budget.release(self._held_bytes.pop(number, 0))

    def _cancel(self, number: int) -> None:
        execution = self._executions.pop(number, None)
        if execution is not None:
            self._server.local_endpoint.cancel(execution)
            self._release_body(number)

    def _choose_connection(self, body: bytes) -> "IncomingConnection":
        """Returns the connection for a result, by the size of its body."""
        is_large = len(body) >= frames.LARGE_BODY_BYTES
        if self._paired_connection is None or is_large == self._carries_bodies:
            return self
        return self._paired_connection

    def _handle_quota_request(self, message: frames.QuotaRequest) -> None:
        if not self.address or self._protocol < frames.QUOTA_VERSION:
            return
        reply = self._server.observer.handle_quota_request(self.address, message)
        if reply is not None:
            self.send(reply)

    def _get_reason(self, result: attempts.AttemptResult) -> str:
        """Returns the reason in a result, in the terms of the peer's version."""
        reason = result.reason
        if reason is None:
            return ""
        if reason is data.RefusalReason.BLOCKED and not self.takes_crash_reports:
            reason = data.RefusalReason.OVERLOADED
        return reason.value

    def _submit(self, message: frames.Submit) -> None:
        number = message.number
        if self._frame_bytes:
            waited_s = self._server.loop.time() - self._frame_started_at
            message = body_connection.shorten(message, int(waited_s * 1000))
        if message.body:
            self._hold_body(number, message.body)
        attempt = attempts.Attempt(
            message.request_id,
            message.route,
            message.service,
            message.rank,
            message.is_nested_call,
            message.remaining_ms / 1000,
            message.target_latency_ms / 1000,
            message.head,
            message.body,
            message.suspect_crashes,
            message.customer,
            message.may_hand_over,
        )

        execution = self._server.local_endpoint.submit(
            attempt, functools.partial(self._send_result, number, message.route)
        )
        if execution.on_complete is not None:
            self._executions[number] = execution

    def _send_result(
        self, number: int, route: str, result: attempts.AttemptResult
    ) -> None:
        """Sends the result of an attempt, on the connection for its size."""
        self._executions.pop(number, None)
        if number in self._held_bytes:
            self._release_body(number)
        queue = self._server.local_endpoint.queue
        own_s = self._server.get_own_s(route)
        connection = self._choose_connection(result.body)
        if connection._carries_bodies and connection is not self:
            self._moved_results.append(number)
        connection.send(
            frames.Reply(
                number,
                int(result.outcome),
                self._get_reason(result),
                result.status,
                queue.load,
                int(queue.service_time_s * 1e6),
                result.head,
                result.body,
                round(queue.utilization * frames.UTILIZATION_SCALE),
                int(own_s * 1e6),
            )
        )

    def _send_config(self, request: frames.ConfigRequest) -> None:
        reply = self._server.observer.build_config_reply(request)
        if reply is not None:
            self.send(reply)


class PeerServer:
    """Server that accepts the connections of peers.

    :param budget: memory limit that all bodies share.
    :ivar first_connections: connections that a second one may refer to, by the boot ID
        of the peer and the number of the connection.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        endpoint: local_endpoint.LocalEndpoint,
        observer: peer_observer.PeerObserver,
        budget: body_budget.BodyBudget,
    ) -> None:
        self.loop = loop
        self.budget = budget
        self._connections: dict[IncomingConnection, None] = {}
        self.first_connections: dict[tuple[str, int], IncomingConnection] = {}
        self.local_endpoint = endpoint
        self.observer = observer

    @property
    def connection_count(self) -> int:
        """Number of connections from peers."""
        return len(self._connections)

    @property
    def report_interval_s(self) -> float:
        """Time between two load reports to the same node, in seconds."""
        rounds = -(-len(self._connections) // self._reports_per_round)
        return REPORT_ROUND_INTERVAL_S * max(1, rounds)

    @property
    def _reports_per_round(self) -> int:
        if len(self._connections) <= MAX_FULL_ROUND_COUNT:
            return MAX_FULL_ROUND_COUNT
        return REPORTS_PER_ROUND

    @property
    def is_transferring_body(self) -> bool:
        """Whether part of a message with a large body has arrived or left."""
        return any(
            each.is_transferring_body for each in self.first_connections.values()
        )

    async def listen(self, address: str) -> None:
        """Starts to accept connections at an address."""
        host, _, port = address.rpartition(":")
        await self.loop.create_server(
            lambda: IncomingConnection(self), host, int(port), backlog=256
        )

    def add(self, connection: IncomingConnection) -> None:
        """Adds a connection that was accepted."""
        self._connections[connection] = None

    def remove(self, connection: IncomingConnection) -> None:
        """Removes a connection that has ended."""
        self._connections.pop(connection, None)

    def get_connected_addresses(self) -> set[str]:
        """Returns the addresses of the nodes that are connected."""
        return {connection.address for connection in self._connections}

    def get_own_s(self, route: str) -> float:
        """Returns the own time of a route at the endpoint; 0 if it is not known."""
        times = self.local_endpoint.service_times
        return times.get_own_s(self.loop.time(), route) or 0.0

    def broadcast(self, message: frames.Message) -> None:
        """Sends a message to all connected nodes."""
        if not self._connections:
            return
        frame = frames.encode(message)
        for connection in list(self._connections):
            connection.write(frame)

    def send_crash_message(
        self,
        message: frames.CrashReport | frames.ClearedRequests,
        service: str | None = None,
    ) -> None:
        """Sends a message to the connected nodes whose version has crash reports.

        :param service: service of the nodes to send it to; None for all.
        """
        frame = frames.encode(message)
        for connection in list(self._connections):
            if connection.takes_crash_reports and service in (None, connection.service):
                connection.write(frame)

    def send_departure(self, departure: frames.Departure) -> None:
        """Sends a departure to the connected nodes that hold copies."""
        frame = frames.encode(departure)
        for connection in list(self._connections):
            if connection.takes_departures:
                connection.write(frame)

    def get_copy_holders(self) -> dict[str, str]:
        """Returns the addresses and zones of the nodes that hold copies."""
        return {
            connection.address: connection.zone
            for connection in self._connections
            if connection.takes_departures
        }

    def send_reports(self) -> None:
        """Sends a load report to the nodes whose turn it is."""
        receivers = list(self._connections)[: self._reports_per_round]
        if not receivers:
            return
        frame = frames.encode(self.observer.build_load_report())
        for connection in receivers:
            del self._connections[connection]
            self._connections[connection] = None
            connection.write(frame)
        for connection in list(self._connections):
            if connection.needs_every_report and connection not in receivers:
                connection.write(frame)
