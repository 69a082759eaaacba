"""HTTP/1.1 server that receives and sends complete messages.

A request is passed to the handler when its body is complete, and a response is written
as a whole; bodies are not streamed.
"""

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
    401: b"Unauthorized",
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
_EXPECT_HEADER = b"expect"

Headers = list[tuple[bytes, bytes]]


class Request:
    """A complete HTTP request.

    :ivar target: path and query as sent.
    :ivar headers: name and value pairs; names in lower case, values as sent.
    :ivar keep_alive: whether the connection may stay open after the response.
    :ivar head_received_at: time of the event loop when the head was complete,
        in seconds.
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
        """Returns the first value of a header, or None if it is absent.

        :param name: name in lower case.
        """
        for header_name, value in self.headers:
            if header_name == name:
                return value
        return None

    def get_headers(self, name: bytes) -> list[bytes]:
        """Returns all values of a header.

        :param name: name in lower case.
        """
        return [value for header_name, value in self.headers if header_name == name]


Handler = Callable[["ServerConnection", Request], None]


class ServerConnection(asyncio.Protocol):
    """A client's connection; responses are sent in the order of the requests.

    One request at a time is active, that is, passed to the handler. Pipelined requests
    wait until its response is sent.

    :param server: server with the handler and the limits of all its connections.
    :ivar receive_started_at: time of the event loop when a request that is not yet
        complete began to arrive, in seconds.
    :ivar idle_since: time of the event loop when the connection became idle, in
        seconds.
    :ivar pending: set by the handler; its ``cancel()`` is called if the connection is
        lost before the response is sent.
    """

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._pipelined: collections.deque[Request] = collections.deque()
        self._active_request: Request | None = None
        self._closing = False
        self._target = b""
        self._headers: Headers = []
        self._received_bytes = 0
        self._body_chunks: list[bytes] = []
        self._partial_request: Request | None = None
        self._receiving = False
        self._reading_paused = False
        self._input_rejected = False
        self.receive_started_at = 0.0
        self.idle_since = 0.0
        self.pending: Any = None

    @property
    def busy(self) -> bool:
        """Whether a request is active."""
        return self._active_request is not None

    @property
    def receiving(self) -> bool:
        """Whether a request has been received in part."""
        return self._receiving

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Registers the connection with the server."""
        self._transport = transport
        self.idle_since = self._server.loop.time()
        self._server.connections.add(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Drops pipelined requests and cancels the active one."""
        self._server.connections.discard(self)
        self._transport = None
        self._closing = True
        self._pipelined.clear()
        pending, self.pending = self.pending, None
        if pending is not None:
            pending.cancel()

    def data_received(self, received: bytes) -> None:
        """Feeds received bytes to the parser; rejects what it cannot parse."""
        if self._closing or self._input_rejected:
            return
        if not self._receiving:
            self._receiving = True
            self.receive_started_at = self._server.loop.time()
        if self._partial_request is None:
            self._received_bytes += len(received)
            if self._received_bytes > self._server.limits.max_header_bytes + 65536:
                self.reject(431)
                return
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserUpgrade:
            self.reject(400)
        except httptools.HttpParserError:
            self.reject(400)

    def on_message_begin(self) -> None:
        """Resets the parser state for a new request."""
        self._target = b""
        self._headers = []
        self._body_chunks = []
        self._received_bytes = 0
        self._receiving = True

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Appends a header."""
        self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Validates the complete head and sends ``100 Continue`` if requested."""
        parser = self._parser
        request = Request(parser.get_method(), self._target, self._headers)
        request.head_received_at = self._server.loop.time()
        request.keep_alive = parser.should_keep_alive()
        self._partial_request = request
        header_bytes = 0
        for name, value in self._headers:
            header_bytes += len(name) + len(value) + 4
        if header_bytes + len(self._target) > self._server.limits.max_header_bytes:
            self.reject(431)
            return
        if not is_framing_unambiguous(self._headers):
            self.reject(400)
            return
        content_length = request.get_header(b"content-length")
        if content_length and int(content_length) > self._server.limits.max_body_bytes:
            self.reject(413)
            return
        self._received_bytes = 0
        if request.get_header(_EXPECT_HEADER) is not None and not self._active_request:
            self._transport.write(CONTINUE_RESPONSE)

    def on_body(self, chunk: bytes) -> None:
        """Appends a part of the body; rejects a body above the size limit."""
        self._received_bytes += len(chunk)
        if self._received_bytes > self._server.limits.max_body_bytes:
            self.reject(413)
            return
        self._body_chunks.append(chunk)

    def on_message_complete(self) -> None:
        """Activates the complete request, or queues it behind the active one.

        Reading is paused while too many pipelined requests are queued.
        """
        request, self._partial_request = self._partial_request, None
        self._receiving = False
        self._received_bytes = 0
        if request is None or self._closing or self._input_rejected:
            return
        if self._body_chunks:
            request.body = b"".join(self._body_chunks)
            self._body_chunks = []
        if self._active_request is not None:
            self._pipelined.append(request)
            if (
                len(self._pipelined) >= MAX_PIPELINED_REQUESTS
                and not self._reading_paused
            ):
                self._reading_paused = True
                self._transport.pause_reading()
            return
        self._start(request)

    def send_response(self, head: bytes, body: bytes, *, close: bool = False) -> None:
        """Sends the response to the active request and activates the next one.

        :param head: status line and headers, without the empty line at the end.
        :param body: complete body.
        :param close: whether to close the connection after this response.
        """
        request, self._active_request = self._active_request, None
        self.pending = None
        if self._transport is None or request is None:
            return
        closes_after = self._server.closing or (
            self._input_rejected and not self._pipelined
        )
        is_last = close or not request.keep_alive or closes_after
        head_end = b"Connection: close\r\n\r\n" if is_last else b"\r\n"
        self._transport.write(b"".join((head, head_end, body)))
        self.idle_since = self._server.loop.time()
        if is_last:
            self._closing = True
            self._transport.close()
            return
        if self._pipelined:
            self._start(self._pipelined.popleft())
        if self._reading_paused and len(self._pipelined) < MAX_PIPELINED_REQUESTS:
            self._reading_paused = False
            self._transport.resume_reading()

    def send_status(
        self,
        status: int,
        extra_headers: bytes = b"",
        body: bytes = b"",
        *,
        close: bool = False,
    ) -> None:
        """Sends a response that the node itself generates.

        :param status: HTTP status code.
        :param extra_headers: encoded header lines, each with its line end.
        :param body: complete body.
        :param close: whether to close the connection after this response.
        """
        self.send_response(
            build_head(status, len(body), extra_headers), body, close=close
        )

    def reject(self, status: int) -> None:
        """Sends an error response to an invalid message and closes the connection.

        While an earlier request is active, no error response is sent; the connection is
        closed after the responses to the earlier requests.

        :param status: HTTP status code.
        """
        if self._closing:
            return
        self._server.record_rejection(status)
        if self._active_request is not None:
            # The active request still gets its response; further input is ignored.
            self._input_rejected = True
            return
        self._closing = True
        head = build_head(status, 0, b"Connection: close\r\n")
        self._transport.write(head + b"\r\n")
        self._transport.close()

    def close_idle(self) -> None:
        """Closes the connection unless a request is active."""
        if self._active_request is None and self._transport is not None:
            self._closing = True
            self._transport.close()

    def _start(self, request: Request) -> None:
        self._active_request = request
        self._server.handler(self, request)


class HttpServer:
    """HTTP server that listens on one address.

    :param handler: called with the connection and each complete request.
    :param limits: limits on the size and the duration of requests.
    :param record_rejection: called with the status code for each rejected message.
    :ivar closing: whether each connection is closed after its next response.
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
        """Port on which the server listens."""
        return self._server.sockets[0].getsockname()[1]

    async def listen(self, address: str, backlog: int = 1024) -> None:
        """Starts to listen.

        :param address: ``IP:PORT``; port 0 selects a free port.
        :param backlog: number of connections that may wait to be accepted.
        """
        host, _, port = address.rpartition(":")
        self._server = await self.loop.create_server(
            lambda: ServerConnection(self), host, int(port), backlog=backlog
        )

    def close_timed_out(self, now: float) -> None:
        """Closes connections that are idle, or slow in sending a request, for too long.

        :param now: time of the event loop in seconds.
        """
        idle_timeout_s = self.limits.idle_timeout_s
        header_timeout_s = self.limits.header_timeout_s
        for connection in list(self.connections):
            if connection.busy:
                continue
            if connection.receiving:
                if (
                    now - connection.receive_started_at
                    > header_timeout_s + idle_timeout_s
                ):
                    connection.reject(408)
            elif now - connection.idle_since > idle_timeout_s:
                connection.close_idle()

    def close_idle(self) -> None:
        """Closes the connections that have no active request."""
        for connection in list(self.connections):
            connection.close_idle()

    def stop_listening(self) -> None:
        """Stops accepting connections."""
        if self._server is not None:
            self._server.close()


def build_head(status: int, body_bytes: int, extra_headers: bytes = b"") -> bytes:
    """Builds the head of a response, without the empty line at the end.

    :param status: HTTP status code.
    :param body_bytes: length of the body in bytes.
    :param extra_headers: encoded header lines, each with its line end.
    """
    reason_phrase = REASON_PHRASES.get(status, b"Status")
    return b"HTTP/1.1 %d %b\r\nContent-Length: %d\r\n%b" % (
        status,
        reason_phrase,
        body_bytes,
        extra_headers,
    )


def is_framing_unambiguous(headers: Headers) -> bool:
    """Returns whether the headers define the end of the body unambiguously.

    Conflicting length headers could be used for request smuggling. Exactly one Host
    header is required as well.
    """
    host_count = length_count = 0
    for name, value in headers:
        if name == b"host":
            host_count += 1
        elif name == b"content-length":
            length_count += 1
            if not value.isdigit():
                return False
        elif name == b"transfer-encoding":
            length_count += 1
            if value.strip().lower() != b"chunked":
                return False
    return host_count == 1 and length_count <= 1
