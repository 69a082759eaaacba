"""Accepts the connections of other nodes; their requests run at the local endpoint.

The nodes that are connected get the node state when it changes, and load reports in
turn. The number of reports per second is limited: with more connections, each one gets
fewer. Replies to requests carry the load as well, and a node that needs a report sooner
requests it.
"""

import asyncio

from .. import data
from ..serving import local_endpoint
from . import frames, peer_observer

REPORT_ROUND_INTERVAL_S = 0.25
REPORTS_PER_ROUND = 20


class IncomingConnection(asyncio.Protocol):
    """A connection that a peer opened; its requests run at the local endpoint.

    :ivar address: address where the peer accepts connections; empty until it has
        introduced itself.
    :ivar service: service of the peer's endpoint; empty until then.
    :ivar needs_every_report: whether the peer is of a version that takes a node for
        unresponsive without reports four times a second.
    """

    def __init__(self, server: "PeerServer") -> None:
        self._server = server
        self._decoder = frames.FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._executions: dict[int, local_endpoint.Execution] = {}
        self._protocol = 0
        self.address = ""
        self.service = ""
        self.needs_every_report = False

    @property
    def takes_crash_reports(self) -> bool:
        """Whether the peer has introduced itself and its version has crash reports."""
        return self._protocol >= frames.CRASH_REPORT_VERSION

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Sends the node state at once."""
        self._transport = transport
        self._server.add(self)
        self.send(self._server.observer.build_state())

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the peer's requests that wait or run."""
        self._transport = None
        self._server.remove(self)
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
                self._handle_hello(message)
            elif type(message) is frames.LoadRequest:
                self.send(self._server.observer.build_load_report())
            elif type(message) is frames.ConfigRequest:
                self._send_config(message)
            elif type(message) is frames.QuotaRequest:
                self._handle_quota_request(message)

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
        self.needs_every_report = message.protocol < frames.LOAD_REQUEST_VERSION
        self._server.observer.handle_hello(message)
        handover = self._server.observer.build_crash_handover()
        if handover is not None and self.takes_crash_reports:
            self.send(handover)

    def _handle_quota_request(self, message: frames.QuotaRequest) -> None:
        if not self.address or self._protocol < frames.QUOTA_VERSION:
            return
        reply = self._server.observer.handle_quota_request(self.address, message)
        if reply is not None:
            self.send(reply)

    def _get_reason(self, result: local_endpoint.AttemptResult) -> str:
        """Returns the reason in a result, in the terms of the peer's version."""
        reason = result.reason
        if reason is data.RefusalReason.BLOCKED and not self.takes_crash_reports:
            reason = data.RefusalReason.OVERLOADED
        return reason.value if reason else ""

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
            message.suspect_crashes,
            message.customer,
            message.may_hand_over,
        )

        def send_reply(result: local_endpoint.AttemptResult) -> None:
            self._executions.pop(number, None)
            queue = self._server.local_endpoint.queue
            own_s = self._server.get_own_s(message.route)
            self.send(
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

        execution = self._server.local_endpoint.submit(attempt, send_reply)
        if execution.on_complete is not None:
            self._executions[number] = execution

    def _send_config(self, request: frames.ConfigRequest) -> None:
        reply = self._server.observer.build_config_reply(request)
        if reply is not None:
            self.send(reply)


class PeerServer:
    """Server that accepts the connections of peers."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        endpoint: local_endpoint.LocalEndpoint,
        observer: peer_observer.PeerObserver,
    ) -> None:
        self._loop = loop
        self._connections: dict[IncomingConnection, None] = {}
        self.local_endpoint = endpoint
        self.observer = observer

    @property
    def report_interval_s(self) -> float:
        """Time between two load reports to the same node, in seconds."""
        rounds = -(-len(self._connections) // REPORTS_PER_ROUND)
        return REPORT_ROUND_INTERVAL_S * max(1, rounds)

    async def listen(self, address: str) -> None:
        """Starts to accept connections at an address."""
        host, _, port = address.rpartition(":")
        await self._loop.create_server(
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
        return times.get_own_s(self._loop.time(), route) or 0.0

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

    def send_reports(self) -> None:
        """Sends a load report to the nodes whose turn it is."""
        receivers = list(self._connections)[:REPORTS_PER_ROUND]
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
