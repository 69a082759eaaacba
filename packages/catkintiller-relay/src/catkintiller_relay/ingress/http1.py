"""HTTP/1.1 server that receives and sends complete messages.

A request without a body is passed to the handler when its head is complete. One with a
body is first checked by its head: it is refused, or its body is read and it is then
passed to the handler. A response is written as a whole.
"""

import asyncio
import collections
import contextlib
from collections.abc import Callable

import httptools

from .. import data
from . import body_budget, http_head, http_request, incoming_body

MAX_PIPELINED_REQUESTS = 4
OWN_BUDGET_BYTES = 1024 * 1024
MAX_HEAD_EXCESS_BYTES = 64 * 1024
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"

# Rest of a refused body that is discarded before the connection is closed.
MAX_CLOSING_DISCARD_BYTES = 1024 * 1024
CLOSING_DISCARD_TIMEOUT_S = 2.0
BODY_FAILURE_HEADERS = {incoming_body.BodyFailure.NO_ROOM: b"Retry-After: 1\r\n"}

Request = http_request.Request
Handler = Callable[["ServerConnection", Request], None]


class ServerConnection(asyncio.Protocol):
    """A client's connection; responses are sent in the order of the requests.

    One request at a time is active, that is, checked or handled. Pipelined requests
    wait until its response is sent; a body among them is not read until its turn.

    :param server: server with the handler and the limits of all its connections.
    :ivar receive_started_at: time of the event loop when a request whose head is not
        yet complete began to arrive, in seconds.
    :ivar body_received_at: time of the event loop when bytes of a body last arrived,
        in seconds.
    :ivar idle_since: time of the event loop when the connection became idle, in
        seconds.
    :ivar pending: set by the handler; it is told if the connection is lost before the
        response is sent, or if the body cannot be read.
    """

    def __init__(self, server: "HttpServer") -> None:
        self._server = server
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._pipelined: collections.deque[Request] = collections.deque()
        self._active_request: Request | None = None
        self._closing = False
        self._discardable_bytes = 0
        self._target = b""
        self._headers: http_head.Headers = []
        self._received_bytes = 0
        self._partial_request: Request | None = None
        self._receiving = False
        self._continues_head = False
        self._reading_paused = False
        self._input_rejected = False
        self.receive_started_at = 0.0
        self.body_received_at = 0.0
        self.idle_since = 0.0
        self.pending: http_request.PendingResponse | None = None

    @property
    def busy(self) -> bool:
        """Whether a request is active."""
        return self._active_request is not None

    @property
    def _arriving_body(self) -> incoming_body.IncomingBody | None:
        """Body whose head was the last one that arrived, while it is incomplete."""
        request = self._partial_request
        return None if request is None else request.incoming_body

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
        for request in (self._active_request, self._partial_request, *self._pipelined):
            if request is not None and request.incoming_body is not None:
                request.incoming_body.discard()
        self._pipelined.clear()
        pending, self.pending = self.pending, None
        if pending is not None:
            pending.cancel()

    def data_received(self, received: bytes) -> None:
        """Feeds received bytes to the parser; rejects what it cannot parse."""
        if self._closing or self._input_rejected:
            self._discard(received)
            return
        self._continues_head = self._receiving
        if not self._receiving:
            self._receiving = True
            self.receive_started_at = self._server.loop.time()
        body = self._arriving_body
        if body is not None:
            self.body_received_at = self._server.loop.time()
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserCallbackError:
            raise  # an exception of the handler: the event loop logs it
        except (httptools.HttpParserUpgrade, httptools.HttpParserError):
            self.reject(400)
        if self._continues_head and self._partial_request is None:
            self._count_head_bytes(len(received))
        elif body is not None and body is self._arriving_body:
            if not body.count_bytes(len(received)):
                self.reject(400)

    def on_message_begin(self) -> None:
        """Resets the parser state for a new request."""
        self._target = b""
        self._headers = []
        self._received_bytes = 0
        self._receiving = True
        self._continues_head = False

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Appends a header; drops a trailer, which was not checked with the head.

        Of a head that is too long, no more headers are held than exceed the limit.
        """
        if self._partial_request is not None:
            return
        max_bytes = self._server.limits.max_header_bytes
        if len(self._headers) <= max_bytes // http_head.HEADER_OVERHEAD_BYTES:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Validates the complete head; starts to decide on a request with a body."""
        if self._closing or self._input_rejected:
            return
        parser = self._parser
        request = Request(parser.get_method(), self._target, self._headers)
        request.head_received_at = self._server.loop.time()
        is_upgrade = parser.should_upgrade()
        request.keep_alive = parser.should_keep_alive() and not is_upgrade
        limits = self._server.limits
        framing = http_head.parse_framing(self._headers)
        is_too_long = framing.header_bytes + len(self._target) > limits.max_header_bytes
        # The parser skips the body of a request that asks for another protocol.
        is_skipped = is_upgrade and framing.declared_bytes != 0
        if is_too_long or not framing.is_valid or is_skipped:
            self.reject(431 if is_too_long else 400)
            return
        self._partial_request = request
        if framing.declared_bytes != 0:
            self._begin_body(request, framing)

    def on_body(self, chunk: bytes) -> None:
        """Adds a part of the body; ends a request whose body cannot be read."""
        body = self._arriving_body
        if body is None:
            return
        failure = body.append(chunk)
        if failure is not None and self._partial_request is self._active_request:
            self._fail_body(failure)

    def on_message_complete(self) -> None:
        """Activates the complete request, or queues it behind the active one.

        Reading is paused while too many pipelined requests are queued.
        """
        request, self._partial_request = self._partial_request, None
        self._receiving = self._continues_head = False
        if self._closing:
            if self._transport is not None:
                self._transport.close()
            return
        if request is None or self._input_rejected:
            return
        body = request.incoming_body
        if body is not None:
            body.is_complete = True
            if request is self._active_request and body.is_accepted:
                self._handle_complete(request)
            elif self._active_request is None:
                self.idle_since = self._server.loop.time()
            return
        if self._active_request is not None:
            self._pipelined.append(request)
            self._update_reading()
            return
        self._start(request)

    def reserve_body(self) -> bool:
        """Reserves room for the body of the active request, as far as it is known.

        :returns: whether there is room, or there is no body.
        """
        body = self._active_request.incoming_body
        return body is None or body.reserve_declared()

    def read_body(self) -> None:
        """Reads the body of the active request, which is accepted by its head.

        Sends ``100 Continue`` if the client waits for it. The request is passed to the
        handler when its body is complete.
        """
        request = self._active_request
        body = request.incoming_body
        body.is_accepted = True
        if body.is_complete:
            self._handle_complete(request)
            return
        if body.awaits_continue:
            body.expects_continue = False
            self._transport.write(CONTINUE_RESPONSE)
        self.body_received_at = self._server.loop.time()
        self._update_reading()

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
        request_body = request.incoming_body
        if request_body is not None:
            close = close or not request_body.is_rest_short
            request_body.discard()
        closes_after = self._server.closing or (
            self._input_rejected and not self._pipelined
        )
        is_last = close or not request.keep_alive or closes_after
        head_end = b"Connection: close\r\n\r\n" if is_last else b"\r\n"
        self._transport.write(b"".join((head, head_end, body)))
        self.idle_since = self._server.loop.time()
        if is_last:
            self._close_after_response(request)
            return
        if self._pipelined:
            self._start(self._pipelined.popleft())
        if self._reading_paused:
            self._update_reading()

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
            http_head.build_head(status, len(body), extra_headers), body, close=close
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
        arriving, self._partial_request = self._partial_request, None
        if self._active_request is not None:
            # The active request still gets its response; further input is ignored.
            self._input_rejected = True
            if arriving is not None and arriving is self._active_request:
                self._fail_body(incoming_body.BodyFailure(status))
            elif self._pipelined and self._pipelined[-1] is arriving:
                self._pipelined.pop().incoming_body.discard()
            return
        body = None if arriving is None else arriving.incoming_body
        if body is None or not body.is_discarded:
            head = http_head.build_head(status, 0, b"Connection: close\r\n")
            self._transport.write(head + b"\r\n")
        self._close_after_response(arriving)

    def check_timeouts(self, now: float) -> None:
        """Closes the connection if it is idle, or slow in sending, for too long.

        :param now: time of the event loop in seconds.
        """
        limits = self._server.limits
        body = self._arriving_body
        if self._closing:
            return
        if body is not None and (body.is_accepted or body.is_discarded):
            if now - self.body_received_at > limits.idle_timeout_s:
                self.reject(408)
        elif self.busy:
            return
        elif self._receiving:
            if now - self.receive_started_at > limits.header_timeout_s:
                self.reject(408)
        elif now - self.idle_since > limits.idle_timeout_s:
            self.close_idle()

    def close_idle(self) -> None:
        """Closes the connection unless a request is active."""
        if self._active_request is None and self._transport is not None:
            self._closing = True
            self._transport.close()

    def _count_head_bytes(self, count: int) -> None:
        """Rejects a head that is far above the limit before it is complete."""
        self._received_bytes += count
        max_bytes = self._server.limits.max_header_bytes + MAX_HEAD_EXCESS_BYTES
        if self._received_bytes > max_bytes and not self._input_rejected:
            self.reject(431)

    def _begin_body(self, request: Request, framing: http_head.Framing) -> None:
        """Checks a request with a body by its head, when its turn has come."""
        limits = self._server.limits
        self.body_received_at = request.head_received_at
        request.incoming_body = incoming_body.IncomingBody(
            self._server.budget,
            framing.declared_bytes,
            limits.max_body_bytes,
            expects_continue=framing.expects_continue,
        )
        if (framing.declared_bytes or 0) > limits.max_body_bytes:
            self.reject(413)
            return
        if self._active_request is not None:
            self._pipelined.append(request)
            self._update_reading()
            return
        self._start(request)

    def _handle_complete(self, request: Request) -> None:
        request.body = request.incoming_body.take()
        self._server.handler(self, request)

    def _start(self, request: Request) -> None:
        self._active_request = request
        body = request.incoming_body
        if body is None:
            self._server.handler(self, request)
        elif body.failure is incoming_body.BodyFailure.TOO_LARGE:
            self.send_status(413)
        else:
            self._server.check_head(self, request)
            self._update_reading()

    def _fail_body(self, failure: incoming_body.BodyFailure) -> None:
        """Ends the active request because its body cannot be read to its end."""
        request = self._active_request
        request.incoming_body.failure = failure
        request.keep_alive = False
        if self.pending is not None:
            self.pending.fail_body(failure)
        else:
            self.send_status(failure.value, BODY_FAILURE_HEADERS.get(failure, b""))

    def _update_reading(self) -> None:
        """Pauses reading while a body waits for its turn or for the decision on it."""
        if self._transport is None or self._transport.is_closing():
            return
        body = self._arriving_body
        is_body_undecided = (
            body is not None and not body.is_accepted and not body.is_discarded
        )
        pauses = not self._closing and (
            is_body_undecided or len(self._pipelined) >= MAX_PIPELINED_REQUESTS
        )
        if pauses == self._reading_paused:
            return
        self._reading_paused = pauses
        if pauses:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _close_after_response(self, request: Request | None) -> None:
        """Closes the connection; a body that still arrives is discarded before.

        If it were closed with unread bytes, the client would get a reset, possibly
        before it has read the response.
        """
        self._closing = True
        body = None if request is None else request.incoming_body
        if body is None or body.is_complete or self._transport.is_closing():
            self._transport.close()
            return
        body.discard()
        self._discardable_bytes = MAX_CLOSING_DISCARD_BYTES
        self._update_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._server.loop.call_later(CLOSING_DISCARD_TIMEOUT_S, self._transport.close)

    def _discard(self, received: bytes) -> None:
        """Discards bytes; closes the connection at the end of the body or the limit."""
        if not self._closing or self._transport is None:
            return
        self._discardable_bytes -= len(received)
        if self._discardable_bytes <= 0:
            self._transport.close()
            return
        # The parser finds the end of the body; what follows an error has no end.
        with contextlib.suppress(
            httptools.HttpParserUpgrade, httptools.HttpParserError
        ):
            self._parser.feed_data(received)


class HttpServer:
    """HTTP server that listens on one address.

    :param handler: called with the connection and each complete request.
    :param limits: limits on the size and the duration of requests.
    :param record_rejection: called with the status code for each rejected message.
    :param budget: memory limit that all bodies share; None for one of its own.
    :param check_head: called with a request that has a body when its head is complete;
        it calls ``read_body`` of the connection or sends a response, at once or later.
    :ivar closing: whether each connection is closed after its next response.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        handler: Handler,
        limits: data.ClientLimits,
        record_rejection: Callable[[int], None],
        budget: body_budget.BodyBudget | None = None,
        check_head: Handler | None = None,
    ) -> None:
        self.loop = loop
        self.handler = handler
        self.limits = limits
        self.record_rejection = record_rejection
        self.budget = budget or body_budget.BodyBudget(OWN_BUDGET_BYTES)
        self.check_head = check_head or accept_head
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
        for connection in list(self.connections):
            connection.check_timeouts(now)

    def close_idle(self) -> None:
        """Closes the connections that have no active request."""
        for connection in list(self.connections):
            connection.close_idle()

    def stop_listening(self) -> None:
        """Stops accepting connections."""
        if self._server is not None:
            self._server.close()


def accept_head(connection: ServerConnection, request: Request) -> None:
    """Accepts each request by its head if there is room for its body."""
    if connection.reserve_body():
        connection.read_body()
    else:
        failure = incoming_body.BodyFailure.NO_ROOM
        connection.send_status(failure.value, BODY_FAILURE_HEADERS[failure])
