"""HTTP/1.1 server side: whole requests in, whole answers out."""

import asyncio
import collections
from collections.abc import Callable
from typing import Any

import httptools

from .. import data

MAX_PIPELINED_REQUESTS = 4
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
_EXPECT = b"expect"

Headers = list[tuple[bytes, bytes]]


class Request:
    """A whole request of a client.

    :ivar target: path and query as the client sent them.
    :ivar headers: names in lower case, values as sent.
    :ivar head_received_at: loop time at which its head was complete.
    """

    __slots__ = (
        "head_received_at",
        "body",
        "headers",
        "keep_alive",
        "method",
        "target",
    )

    def __init__(self, method: bytes, target: bytes, headers: Headers) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = b""
        self.keep_alive = True
        self.head_received_at = 0.0

    def get_header(self, name: bytes) -> bytes | None:
        """Gets the value of a header by its name in lower case."""
        for found, value in self.headers:
            if found == name:
                return value
        return None


Handler = Callable[["ServerConnection", Request], None]


class ServerConnection(asyncio.Protocol):
    """One connection of a client; its requests are answered in order.

    :param server: what the connections of one address share.
    """

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._queue: collections.deque[Request] = collections.deque()
        self._busy: Request | None = None
        self._closing = False
        self._url = b""
        self._headers: Headers = []
        self._size = 0
        self._body: list[bytes] = []
        self._building: Request | None = None
        self._receiving = False
        self._paused = False
        self._poisoned = False
        self.receive_started_at = 0.0
        self.idle_since = 0.0
        self.pending: Any = None

    @property
    def busy(self) -> bool:
        """Whether a request waits for its answer."""
        return self._busy is not None

    @property
    def receiving(self) -> bool:
        """Whether a request has come in part."""
        return self._receiving

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Takes up the connection."""
        self._transport = transport
        self.idle_since = self._server.loop.time()
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the request that waits."""
        self._server.connections.discard(self)
        self._transport = None
        self._closing = True
        self._queue.clear()
        pending, self.pending = self.pending, None
        if pending is not None:
            pending.cancel()

    def data_received(self, received: bytes) -> None:
        """Parses what came."""
        if self._closing or self._poisoned:
            return
        if not self._receiving:
            self._receiving = True
            self.receive_started_at = self._server.loop.time()
        if self._building is None:
            self._size += len(received)
            if self._size > self._server.limits.max_header_bytes + 65536:
                self.reject(431)
                return
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            self.reject(400)
        except httptools.HttpParserError:
            self.reject(400)

    def on_message_begin(self) -> None:
        """Starts a request."""
        self._url = b""
        self._headers = []
        self._body = []
        self._size = 0
        self._receiving = True

    def on_url(self, url: bytes) -> None:
        """Collects the target."""
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Checks the head."""
        parser = self._parser
        request = Request(parser.get_method(), self._url, self._headers)
        request.head_received_at = self._server.loop.time()
        request.keep_alive = parser.should_keep_alive()
        self._building = request
        size = sum(len(name) + len(value) + 4 for name, value in self._headers)
        if size + len(self._url) > self._server.limits.max_header_bytes:
            self.reject(431)
            return
        if not is_framing_unambiguous(self._headers):
            self.reject(400)
            return
        length = request.get_header(b"content-length")
        if length and int(length) > self._server.limits.max_body_bytes:
            self.reject(413)
            return
        self._size = 0
        if request.get_header(_EXPECT) is not None and not self._busy:
            self._transport.write(CONTINUE_RESPONSE)

    def on_body(self, chunk: bytes) -> None:
        """Collects the body."""
        self._size += len(chunk)
        if self._size > self._server.limits.max_body_bytes:
            self.reject(413)
            return
        self._body.append(chunk)

    def on_message_complete(self) -> None:
        """Hands a whole request over."""
        request, self._building = self._building, None
        self._receiving = False
        self._size = 0
        if request is None or self._closing or self._poisoned:
            return
        if self._body:
            request.body = b"".join(self._body)
            self._body = []
        if self._busy is not None:
            self._queue.append(request)
            if len(self._queue) >= MAX_PIPELINED_REQUESTS and not self._paused:
                self._paused = True
                self._transport.pause_reading()
            return
        self._start(request)

    def send_response(self, head: bytes, body: bytes, *, close: bool = False) -> None:
        """Sends the answer of the request that waits.

        :param head: status line and headers, without the empty line.
        """
        request, self._busy = self._busy, None
        self.pending = None
        if self._transport is None or request is None:
            return
        ending = self._server.closing or (self._poisoned and not self._queue)
        last = close or not request.keep_alive or ending
        end = b"Connection: close\r\n\r\n" if last else b"\r\n"
        self._transport.write(b"".join((head, end, body)))
        self.idle_since = self._server.loop.time()
        if last:
            self._closing = True
            self._transport.close()
            return
        if self._queue:
            self._start(self._queue.popleft())
        if self._paused and len(self._queue) < MAX_PIPELINED_REQUESTS:
            self._paused = False
            self._transport.resume_reading()

    def send_status(
        self, status: int, extra: bytes = b"", body: bytes = b"", *, close: bool = False
    ) -> None:
        """Sends an answer of the node's own."""
        self.send_response(build_head(status, len(body), extra), body, close=close)

    def reject(self, status: int) -> None:
        """Answers what is no proper request, and ends the connection."""
        if self._closing:
            return
        self._server.record_rejection(status)
        if self._busy is not None:
            # The request before it gets its answer; nothing more is read.
            self._poisoned = True
            return
        self._closing = True
        head = build_head(status, 0, b"Connection: close\r\n")
        self._transport.write(head + b"\r\n")
        self._transport.close()

    def close_idle(self) -> None:
        """Ends the connection if nothing waits for an answer."""
        if self._busy is None and self._transport is not None:
            self._closing = True
            self._transport.close()

    def _start(self, request: Request) -> None:
        self._busy = request
        self._server.handler(self, request)


class HttpServer:
    """An address where requests come in.

    :param handler: is called with each whole request.
    :param record_rejection: is called with the status of each refused message.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        handler: Handler,
        limits: data.ClientLimits,
        record_rejection: Callable[[int], None],
    ) -> None:
        self.loop = loop
        self.handler = handler
        self.limits = limits
        self.record_rejection = record_rejection
        self.connections: set[ServerConnection] = set()
        self.closing = False
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self._server.sockets[0].getsockname()[1]

    async def listen(self, address: str, backlog: int = 1024) -> None:
        """Starts to listen."""
        host, _, port = address.rpartition(":")
        self._server = await self.loop.create_server(
            lambda: ServerConnection(self), host, int(port), backlog=backlog
        )

    def close_timed_out(self, now: float) -> None:
        """Ends connections that are idle or slow for too long."""
        idle_s = self.limits.idle_timeout_s
        header_s = self.limits.header_timeout_s
        for connection in list(self.connections):
            if connection.busy:
                continue
            if connection.receiving:
                if now - connection.receive_started_at > header_s + idle_s:
                    connection.reject(408)
            elif now - connection.idle_since > idle_s:
                connection.close_idle()

    def close_idle(self) -> None:
        """Ends the connections on which nothing waits for an answer."""
        for connection in list(self.connections):
            connection.close_idle()

    def stop_listening(self) -> None:
        """Takes no new connections."""
        if self._server is not None:
            self._server.close()


def build_head(status: int, length: int, extra: bytes = b"") -> bytes:
    """Makes the head of an answer, without the empty line."""
    reason = REASON_PHRASES.get(status, b"Status")
    return b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b" % (
        status,
        reason,
        length,
        extra,
    )


def is_framing_unambiguous(headers: Headers) -> bool:
    """Tells whether the end of a body is beyond doubt."""
    lengths = [value for name, value in headers if name == b"content-length"]
    codings = [value for name, value in headers if name == b"transfer-encoding"]
    hosts = [value for name, value in headers if name == b"host"]
    if len(hosts) != 1 or len(lengths) + len(codings) > 1:
        return False
    if lengths and not lengths[0].isdigit():
        return False
    return not codings or codings[0].strip().lower() == b"chunked"
