"""Pool of connections to the local endpoint."""

import asyncio

from .. import data
from ..crashes import crash_detector
from ..ingress import body_budget
from . import endpoint_client, endpoint_exchange

CONNECT_TIMEOUT_S = 1.0
PROBE_TIMEOUT_S = 0.2
MAX_FAILED_CONNECTS = 3


class EndpointConnectionPool(endpoint_client.ConnectionOwner):
    """Pool of connections to the local endpoint.

    The connection that was released last is reused first.

    :param address: ``IP:PORT`` of the endpoint.
    :param header_names: names of the headers that the node interprets.
    :ivar budget: memory limit that all bodies share.
    :ivar crash_detector: decides whether lost requests were lost to a crash.
    :ivar failed_connects: attempts to connect that failed since the last one that
        succeeded.
    :ivar opened_count: number of connections that were opened.
    :ivar stray_response_count: number of responses that matched no request.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: str,
        header_names: data.HeaderNames,
        budget: body_budget.BodyBudget,
    ) -> None:
        self._loop = loop
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._idle: list[endpoint_client.EndpointConnection] = []
        self._open: set[endpoint_client.EndpointConnection] = set()
        self._tasks: set[asyncio.Task] = set()
        self.header_names = header_names
        self.budget = budget
        self.crash_detector = crash_detector.CrashDetector(loop, self)
        self.failed_connects = 0
        self.opened_count = 0
        self.stray_response_count = 0

    @property
    def is_endpoint_down(self) -> bool:
        """Whether several attempts to connect failed and no connection is open.

        An endpoint that has reached its limit of connections still has open ones.
        """
        return self.failed_connects >= MAX_FAILED_CONNECTS and not self._open

    @property
    def has_open_connection(self) -> bool:
        """Whether any connection is open."""
        return bool(self._open)

    def send(self, exchange: endpoint_exchange.Exchange) -> None:
        """Sends a request on an idle connection, or on a new one if there is none."""
        now = self._loop.time()
        connection = self._take_idle(exchange.request_id, now)
        if connection is not None:
            connection.send(exchange, now)
            return
        task = self._loop.create_task(self._connect_and_send(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _take_idle(
        self, request_id: bytes, now: float
    ) -> endpoint_client.EndpointConnection | None:
        """Takes an idle connection that has not refused a request with this ID."""
        passed_over = []
        taken = None
        while self._idle and taken is None:
            connection = self._idle.pop()
            if not connection.usable:
                continue
            if now - connection.idle_since >= connection.idle_timeout_s:
                connection.abort()
            elif connection.has_refused(request_id):
                passed_over.append(connection)
            else:
                taken = connection
        if passed_over:
            self._idle += reversed(passed_over)
        return taken

    def release(self, connection: endpoint_client.EndpointConnection) -> None:
        """Returns an idle connection to the pool."""
        connection.idle_since = self._loop.time()
        self._idle.append(connection)

    def add(self, connection: endpoint_client.EndpointConnection) -> None:
        """Adds a connection that was established."""
        self._open.add(connection)

    def remove(self, connection: endpoint_client.EndpointConnection) -> None:
        """Removes a closed connection from the pool."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)

    def handle_lost(self, exchange: endpoint_exchange.Exchange) -> None:
        """Handles a request whose connection ended before its response."""
        self.crash_detector.handle_lost(exchange)

    def count_stray_response(self) -> None:
        """Counts a response that matches no request."""
        self.stray_response_count += 1

    def make_room(self, body_bytes: int) -> bool:
        """Ends the response that takes most room for a body of unknown length."""
        longest = max(
            self._open, key=lambda each: each.undeclared_body_bytes, default=None
        )
        if longest is None or longest.undeclared_body_bytes <= body_bytes:
            return False
        longest.end_for_memory()
        return True

    def close_idle(self) -> None:
        """Aborts all idle connections."""
        for connection in list(self._idle):
            connection.abort()
        self._idle.clear()

    async def is_refused(self) -> bool:
        """Returns whether the endpoint refuses a new connection.

        A connection that it accepts is kept for the next request.
        """
        connecting = self._loop.create_connection(
            lambda: endpoint_client.EndpointConnection(self), self._host, self._port
        )
        try:
            _, connection = await asyncio.wait_for(connecting, PROBE_TIMEOUT_S)
        except ConnectionRefusedError:
            return True
        except (TimeoutError, OSError):
            return False
        self.failed_connects = 0
        self.opened_count += 1
        if connection.usable:
            self.release(connection)
        return False

    async def _connect_and_send(self, exchange: endpoint_exchange.Exchange) -> None:
        connecting = self._loop.create_connection(
            lambda: endpoint_client.EndpointConnection(self), self._host, self._port
        )
        try:
            _, connection = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
        except (TimeoutError, OSError):
            self.failed_connects += 1
            reason = data.RefusalReason.UNREACHABLE
            exchange.complete(data.Outcome.NOT_RUN, reason)
            return
        self.failed_connects = 0
        self.opened_count += 1
        if exchange.on_complete is None:
            self.release(connection)
            return
        if not connection.usable:
            reason = data.RefusalReason.UNREACHABLE
            exchange.complete(data.Outcome.NOT_RUN, reason)
            return
        connection.send(exchange, self._loop.time())
