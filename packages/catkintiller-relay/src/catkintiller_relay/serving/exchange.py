"""HTTP/1.1 client side: connections to the local endpoint, one request each."""

import asyncio
from collections.abc import Callable

import httptools

from .. import data, sockets

IDLE_S = 4.0
KEEP_ALIVE_MARGIN_S = 1.5
CONNECT_TIMEOUT_S = 1.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024
MISDIRECTED = 421

_DROPPED = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)

Done = Callable[[data.Outcome, data.RefusalReason | None, int, bytes, bytes], None]


class Exchange:
    """One request at the endpoint.

    :ivar done: called once with outcome, reason, status, head and body.
    """

    __slots__ = ("connection", "done", "message", "request_id", "started")

    def __init__(self, request_id: bytes, message: bytes, done: Done) -> None:
        self.request_id = request_id
        self.message = message
        self.done: Done | None = done
        self.started = 0.0
        self.connection: EndpointConnection | None = None

    def finish(
        self,
        outcome: data.Outcome,
        reason: data.RefusalReason | None = None,
        status: int = 0,
        head: bytes = b"",
        body: bytes = b"",
    ) -> None:
        """Says what became of the request, once."""
        done, self.done = self.done, None
        if done is not None:
            done(outcome, reason, status, head, body)

    def cancel(self) -> None:
        """Ends the request without a word."""
        self.done = None
        if self.connection is not None:
            self.connection.abort()


class EndpointConnection(asyncio.Protocol):
    """One connection to the endpoint."""

    def __init__(self, pool: "EndpointPool") -> None:
        self._pool = pool
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: Exchange | None = None
        self._headers: list[tuple[bytes, bytes]] = []
        self._reason = b""
        self._body: list[bytes] = []
        self._size = 0
        self._in_message = False
        self._head_complete = False
        self.idle_since = 0.0
        self.idle_limit_s = IDLE_S

    @property
    def usable(self) -> bool:
        """Whether a request can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Keeps the transport."""
        self._transport = transport
        sockets.enable_keepalive(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the request that waits; a body without length may end so."""
        self._transport = None
        self._pool.forget(self)
        if self._exchange is None:
            return
        unframed = self._head_complete and not self._is_framed()
        if exc is None and unframed:
            self._complete(reusable=False)
        self._give_up(data.RefusalReason.CONNECTION_LOST)

    def data_received(self, received: bytes) -> None:
        """Parses what came."""
        if self._exchange is None:
            self.abort()
            return
        try:
            self._parser.feed_data(received)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._give_up(data.RefusalReason.BROKEN_ANSWER)
            self.abort()

    def on_message_begin(self) -> None:
        """Starts an answer."""
        self._headers = []
        self._reason = b""
        self._body = []
        self._size = 0
        self._in_message = True
        self._head_complete = False
        if self._exchange is None:
            self.abort()

    def on_status(self, reason: bytes) -> None:
        """Collects the words of the status line."""
        self._reason += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Notes that the head is whole."""
        self._head_complete = True

    def on_body(self, chunk: bytes) -> None:
        """Collects the body."""
        self._size += len(chunk)
        if self._size > MAX_ANSWER_BYTES:
            self._give_up(data.RefusalReason.NO_MEMORY)
            self.abort()
            return
        self._body.append(chunk)

    def on_message_complete(self) -> None:
        """Ends an answer."""
        self._in_message = False
        if self._parser.get_status_code() < 200:
            return
        self._complete(reusable=self._parser.should_keep_alive())

    def send(self, exchange: Exchange, now: float) -> None:
        """Sends a request."""
        self._exchange = exchange
        exchange.connection = self
        exchange.started = now
        self._transport.write(exchange.message)

    def abort(self) -> None:
        """Ends the connection at once."""
        self._exchange = None
        if self._transport is not None:
            self._transport.abort()

    def _is_framed(self) -> bool:
        for name, _ in self._headers:
            if name.lower() in (b"content-length", b"transfer-encoding"):
                return True
        return False

    def _complete(self, *, reusable: bool) -> None:
        exchange = self._exchange
        if exchange is None:
            return
        names = self._pool.headers
        found: dict[bytes, bytes] = {}
        kept = []
        for name, value in self._headers:
            lowered = name.lower()
            found[lowered] = value
            if lowered not in _DROPPED:
                kept.append(b"%b: %b\r\n" % (name, value))
        status = self._parser.get_status_code()
        not_run = names.not_run in found or status == MISDIRECTED
        if found.get(names.request_id) != exchange.request_id and not (
            not_run and names.request_id not in found
        ):
            # An answer to another request; the one that is due may still come.
            self._pool.note_stray()
            if not reusable or names.request_id not in found:
                self._give_up(data.RefusalReason.BROKEN_ANSWER)
                self.abort()
            return
        self._exchange = None
        exchange.connection = None
        self._settle_idle(found, reusable)
        if not_run:
            reason = data.RefusalReason.ENDPOINT_REFUSED
            exchange.finish(data.Outcome.NOT_RUN, reason, status)
            return
        success = 200 <= status < 300
        encoded = b"content-encoding" in found
        if success and (names.signature not in found or encoded):
            reason = data.RefusalReason.BROKEN_ANSWER
            exchange.finish(data.Outcome.UNKNOWN, reason, status)
            return
        body = b"".join(self._body)
        self._body = []
        head = b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n" % (
            status,
            self._reason or b"Status",
            b"".join(kept),
            len(body),
        )
        exchange.finish(data.Outcome.ANSWERED, None, status, head, body)

    def _settle_idle(self, found: dict[bytes, bytes], reusable: bool) -> None:
        keep_alive = found.get(b"keep-alive")
        if keep_alive is not None:
            self.idle_limit_s = parse_keep_alive(keep_alive)
        if reusable and self.idle_limit_s > 0 and self.usable:
            self._pool.put_back(self)
        elif self._transport is not None:
            self._transport.close()

    def _give_up(self, reason: data.RefusalReason) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.connection = None
            exchange.finish(data.Outcome.UNKNOWN, reason)


class EndpointPool:
    """Connections to the local endpoint; the one used last is used first.

    :param address: ``IP:PORT`` of the endpoint.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: str,
        headers: data.HeaderNames,
    ) -> None:
        self._loop = loop
        host, _, port = address.rpartition(":")
        self._host = host
        self._port = int(port)
        self._idle: list[EndpointConnection] = []
        self._tasks: set[asyncio.Task] = set()
        self.headers = headers
        self.opened = 0
        self.strays = 0

    def send(self, exchange: Exchange) -> None:
        """Sends a request over an idle connection or a new one."""
        now = self._loop.time()
        while self._idle:
            connection = self._idle.pop()
            if not connection.usable:
                continue
            if now - connection.idle_since < connection.idle_limit_s:
                connection.send(exchange, now)
                return
            connection.abort()
        task = self._loop.create_task(self._connect_and_send(exchange))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def put_back(self, connection: EndpointConnection) -> None:
        """Takes an idle connection back."""
        connection.idle_since = self._loop.time()
        self._idle.append(connection)

    def forget(self, connection: EndpointConnection) -> None:
        """Drops a connection that ended."""
        if connection in self._idle:
            self._idle.remove(connection)

    def note_stray(self) -> None:
        """Counts an answer that belongs to no request."""
        self.strays += 1

    def close_idle(self) -> None:
        """Ends all idle connections."""
        for connection in list(self._idle):
            connection.abort()
        self._idle.clear()

    async def _connect_and_send(self, exchange: Exchange) -> None:
        connecting = self._loop.create_connection(
            lambda: EndpointConnection(self), self._host, self._port
        )
        try:
            _, connection = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
        except (TimeoutError, OSError):
            reason = data.RefusalReason.UNREACHABLE
            exchange.finish(data.Outcome.NOT_RUN, reason)
            return
        self.opened += 1
        if exchange.done is None:
            self.put_back(connection)
            return
        if not connection.usable:
            reason = data.RefusalReason.UNREACHABLE
            exchange.finish(data.Outcome.NOT_RUN, reason)
            return
        connection.send(exchange, self._loop.time())


def parse_keep_alive(value: bytes) -> float:
    """Parses how long the endpoint keeps an idle connection, less a margin."""
    for part in value.split(b","):
        name, _, seconds = part.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return max(0.0, float(seconds) - KEEP_ALIVE_MARGIN_S)
    return IDLE_S
