"""HTTP/1.1 client for the local endpoint.

A connection carries one request at a time and is reused for later ones. Requests and
responses are complete messages; bodies are not streamed.
"""

import abc
import asyncio
import functools

import httptools

from .. import data, part_buffer, sockets
from ..ingress import body_budget
from . import endpoint_exchange, response_meter, response_notices

DEFAULT_IDLE_TIMEOUT_S = 4.0
KEEP_ALIVE_MARGIN_S = 1.5
# Refusals after which a connection is not used again, since it remembers no more.
MAX_REFUSALS = 64
# A response up to this size is taken without room: its request has run.
MAX_UNRESERVED_BODY_BYTES = 64 * 1024
# Bodies up to this size are sent in one piece with their heads.
MAX_JOINED_BODY_BYTES = 32 * 1024
BODY_PIECE_BYTES = 64 * 1024

_DROPPED_HEADERS = frozenset(
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
_FRAMING_HEADERS = (
    b"content-encoding",
    b"content-length",
    b"keep-alive",
    b"transfer-encoding",
)


class ConnectionOwner(abc.ABC):
    """Owns the connections to the endpoint and is told what happens to them.

    :ivar header_names: names of the headers that the node interprets.
    :ivar budget: memory limit that all bodies share.
    """

    header_names: data.HeaderNames
    budget: body_budget.BodyBudget

    @abc.abstractmethod
    def add(self, connection: "EndpointConnection") -> None:
        """Adds a connection that was established."""

    @abc.abstractmethod
    def remove(self, connection: "EndpointConnection") -> None:
        """Removes a closed connection."""

    @abc.abstractmethod
    def release(self, connection: "EndpointConnection") -> None:
        """Takes back an idle connection."""

    @abc.abstractmethod
    def handle_lost(self, exchange: endpoint_exchange.Exchange) -> None:
        """Handles a request whose connection ended before its response."""

    @abc.abstractmethod
    def count_stray_response(self) -> None:
        """Counts a response that matches no request."""

    @abc.abstractmethod
    def make_room(self, body_bytes: int) -> bool:
        """Ends the response that takes most room for a body of unknown length.

        :param body_bytes: length that its body must exceed.
        :returns: whether there was one.
        """


class EndpointConnection(asyncio.Protocol, endpoint_exchange.Connection):
    """One connection to the endpoint.

    :param owner: owner of all connections to the endpoint.
    :ivar idle_since: time of the event loop when it became idle, in seconds.
    :ivar idle_timeout_s: time for which it may be idle and still be reused, in seconds.
    """

    def __init__(self, owner: ConnectionOwner) -> None:
        self._owner = owner
        self._refused_ids: set[bytes] = set()
        self._carried_count = 0
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._exchange: endpoint_exchange.Exchange | None = None
        self._interpreted_names = get_interpreted_names(owner.header_names)
        self._headers: list[tuple[bytes, bytes]] = []
        self._forwarded_lines: list[bytes] = []
        self._values: dict[bytes, bytes] = {}
        self._reason_phrase = b""
        self._body = part_buffer.PartBuffer()
        self._reserved_bytes = 0
        self._unsent_body: memoryview | None = None
        self._writing_paused = False
        self._sends_body = False
        self._was_cut_off = False
        self._meter = response_meter.ResponseMeter()
        self._head_complete = False
        self.idle_since = 0.0
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S

    @property
    def undeclared_body_bytes(self) -> int:
        """Bytes that have arrived of a body whose length is not known."""
        return 0 if b"content-length" in self._values else len(self._body)

    @property
    def usable(self) -> bool:
        """Whether a request can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Stores the transport and enables TCP keepalive."""
        self._transport = transport
        self._owner.add(self)
        sockets.enable_keepalive(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the outstanding exchange.

        A body without a length ends with the connection, so the response may be
        complete. Otherwise the outcome is unknown.
        """
        self._transport = None
        self._unsent_body = None
        self._owner.remove(self)
        if self._exchange is None:
            self._drop_message()
            return
        ends_with_connection = self._head_complete and not self._has_body_length()
        if exc is None and ends_with_connection:
            self._complete(reusable=False)
        self._drop_message()
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.connection = None
            self._owner.handle_lost(exchange)

    def data_received(self, received: bytes) -> None:
        """Feeds received bytes to the parser; aborts on unexpected or invalid ones."""
        if self._exchange is None:
            self.abort()
            return
        self._meter.received_bytes += len(received)
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserCallbackError:
            raise  # an exception of a callback: the event loop logs it
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail(data.RefusalReason.BROKEN_ANSWER)
            self.abort()
            return
        if self._exchange is not None and self._meter.is_excessive:
            self._fail(data.RefusalReason.BROKEN_ANSWER)
            self.abort()

    def on_message_begin(self) -> None:
        """Resets the parser state for a new response."""
        self._drop_message()
        if self._exchange is None:
            self.abort()

    def on_status(self, reason: bytes) -> None:
        """Appends a part of the reason phrase."""
        self._reason_phrase += reason

    def on_header(self, name: bytes, value: bytes) -> None:
        """Appends a header, or a trailer; those above the limit are not held."""
        self._meter.header_count += 1
        if self._meter.has_too_many_headers:
            return
        lower_name = name.lower()
        if lower_name in self._interpreted_names:
            self._headers.append((lower_name, value))
            self._values[lower_name] = value
        if lower_name not in _DROPPED_HEADERS:
            line = b"%b: %b\r\n" % (name, value)
            self._forwarded_lines.append(line)
            self._owner.budget.take(len(line))
            self._reserved_bytes += len(line)

    def on_headers_complete(self) -> None:
        """Passes on the notice in the head if the response is for the exchange."""
        self._head_complete = True
        exchange = self._exchange
        if self._sends_body:
            self._handle_early_head()
        if exchange is None or exchange.on_notice is None:
            return
        status = self._parser.get_status_code()
        if (
            status >= 200
            and status != response_notices.MISDIRECTED_REQUEST_STATUS
            and self._is_response_to(exchange)
        ):
            names = self._owner.header_names
            notice = response_notices.NO_NOTICE
            if names.rate_limit in self._values or names.leaving in self._values:
                notice = response_notices.parse_notice(self._headers, names)
            exchange.on_notice(notice)

    def on_body(self, chunk: bytes) -> None:
        """Appends a part of the body; fails the exchange above the size limit."""
        if self._exchange is None:
            return
        part_bytes = len(chunk)
        meter = self._meter
        meter.content_bytes += part_bytes
        meter.part_count += 1
        body_bytes = len(self._body) + part_bytes
        budget = self._owner.budget
        if body_bytes <= MAX_UNRESERVED_BODY_BYTES:
            budget.take(part_bytes)
        elif not self._reserve(part_bytes):
            self.end_for_memory()
            return
        self._reserved_bytes += part_bytes
        self._body.append(chunk)

    def on_message_complete(self) -> None:
        """Completes the exchange unless the response is informational (1xx).

        A response whose lines were not all held is not passed on.
        """
        if self._parser.get_status_code() < 200:
            self._head_complete = False
            return
        if self._meter.has_too_many_headers:
            self._fail(data.RefusalReason.BROKEN_ANSWER)
            self.abort()
            return
        self._complete(reusable=self._parser.should_keep_alive())

    def has_refused(self, request_id: bytes) -> bool:
        """Returns whether a request with this ID was refused on the connection.

        A second copy of that refusal may still arrive on it.
        """
        return request_id in self._refused_ids

    def send(self, exchange: endpoint_exchange.Exchange, now: float) -> None:
        """Sends a request on this idle connection.

        :param now: time of the event loop in seconds.
        """
        self._carried_count += 1
        self._exchange = exchange
        self._meter = response_meter.ResponseMeter()
        exchange.connection = self
        exchange.started_at = now
        body = exchange.body
        if len(body) <= MAX_JOINED_BODY_BYTES:
            self._transport.write(exchange.message + body)
            return
        self._transport.write(exchange.message)
        self._sends_body = True
        self._unsent_body = memoryview(body)
        self._send_pieces()

    def pause_writing(self) -> None:
        """Stops sending the body until the endpoint has read more of it."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Continues to send the body."""
        self._writing_paused = False
        self._send_pieces()

    def end_for_memory(self) -> None:
        """Ends the exchange because there is no memory for its response."""
        self._fail(data.RefusalReason.NO_MEMORY)
        self.abort()

    def abort(self) -> None:
        """Aborts the connection and drops the outstanding exchange."""
        self._exchange = None
        self._unsent_body = None
        self._drop_message()
        if self._transport is not None:
            self._transport.abort()

    def _send_pieces(self) -> None:
        """Sends the body in pieces, as fast as the endpoint reads it."""
        while self._unsent_body is not None and not self._writing_paused:
            piece = self._unsent_body[:BODY_PIECE_BYTES]
            rest = self._unsent_body[BODY_PIECE_BYTES:]
            self._unsent_body = rest if rest else None
            self._transport.write(piece)

    def _handle_early_head(self) -> None:
        """Sends no more of the body if the endpoint already responds to the request.

        The connection is not used again: the endpoint would take the next bytes for
        the rest of the body.
        """
        exchange = self._exchange
        if exchange is None or self._parser.get_status_code() < 200:
            return
        if self._is_response_to(exchange):
            self._sends_body = False
            is_unsent = self._unsent_body is not None
            self._was_cut_off = is_unsent or bool(
                self._transport and self._transport.get_write_buffer_size()
            )
            self._unsent_body = None

    def _reserve(self, count: int) -> bool:
        """Reserves room for a part of the body; returns whether it may be taken.

        A body that may have no end does not take the room of shorter ones.
        """
        if len(self._body) + count > response_meter.MAX_BODY_BYTES:
            return False
        budget = self._owner.budget
        return budget.reserve(count) or (
            self._owner.make_room(len(self._body)) and budget.reserve(count)
        )

    def _has_body_length(self) -> bool:
        values = self._values
        return b"content-length" in values or b"transfer-encoding" in values

    def _is_not_run(self) -> bool:
        """Returns whether the response says that the request did not run."""
        status = self._parser.get_status_code()
        return (
            self._owner.header_names.not_run in self._values
            or status == response_notices.MISDIRECTED_REQUEST_STATUS
        )

    def _is_response_to(self, exchange: endpoint_exchange.Exchange) -> bool:
        """Returns whether the response is for the exchange's request.

        A response that says that the request did not run may lack the request ID. On
        a connection that has carried another request it may belong to that one.
        """
        request_id = self._values.get(self._owner.header_names.request_id)
        if request_id is None:
            return self._is_not_run() and self._carried_count == 1
        return request_id == exchange.request_id

    def _complete(self, *, reusable: bool) -> None:
        exchange = self._exchange
        if exchange is None:
            return
        header_names = self._owner.header_names
        headers = self._values
        status = self._parser.get_status_code()
        if not self._is_response_to(exchange):
            # The response is for another request; the expected one may still follow.
            self._owner.count_stray_response()
            self._meter.stray_count += 1
            if not reusable or header_names.request_id not in headers:
                self._fail(data.RefusalReason.BROKEN_ANSWER)
                self.abort()
            return
        self._exchange = None
        exchange.connection = None
        body = self._body.take()
        forwarded_lines = b"".join(self._forwarded_lines)
        self._drop_content()
        if self._is_not_run():
            self._refused_ids.add(exchange.request_id)
        self._release_connection(headers, reusable)
        if self._is_not_run():
            reason = data.RefusalReason.ENDPOINT_REFUSED
            exchange.complete(data.Outcome.NOT_RUN, reason, status)
            return
        is_success = 200 <= status < 300
        is_encoded = b"content-encoding" in headers
        if is_success and (header_names.signature not in headers or is_encoded):
            reason = data.RefusalReason.BROKEN_ANSWER
            exchange.complete(data.Outcome.UNKNOWN, reason, status)
            return
        head = b"HTTP/1.1 %d %b\r\n%bContent-Length: %d\r\n" % (
            status,
            self._reason_phrase or b"Status",
            forwarded_lines,
            len(body),
        )
        exchange.complete(data.Outcome.ANSWERED, None, status, head, body)

    def _release_connection(self, headers: dict[bytes, bytes], reusable: bool) -> None:
        keep_alive = headers.get(b"keep-alive")
        if keep_alive is not None:
            self.idle_timeout_s = parse_keep_alive_s(keep_alive)
        if self._was_cut_off:
            if self._transport is not None:
                self._transport.abort()
        elif self._may_be_reused(reusable):
            self._owner.release(self)
        elif self._transport is not None:
            self._transport.close()

    def _may_be_reused(self, reusable: bool) -> bool:
        """Returns whether the connection may carry another request.

        :param reusable: whether the last response allows it.
        """
        remembers_refusals = len(self._refused_ids) < MAX_REFUSALS
        is_kept = reusable and self.idle_timeout_s > 0
        return is_kept and remembers_refusals and self.usable

    def _drop_message(self) -> None:
        """Drops what has arrived of a response, and gives its room back."""
        self._meter.header_count = 0
        self._headers = []
        self._values = {}
        self._reason_phrase = b""
        self._head_complete = False
        self._drop_content()

    def _drop_content(self) -> None:
        """Drops the forwarded lines and the body, and gives their room back."""
        self._forwarded_lines = []
        self._body.clear()
        reserved_bytes, self._reserved_bytes = self._reserved_bytes, 0
        if reserved_bytes:
            self._owner.budget.release(reserved_bytes)

    def _fail(self, reason: data.RefusalReason) -> None:
        exchange, self._exchange = self._exchange, None
        if exchange is not None:
            exchange.connection = None
            exchange.complete(data.Outcome.UNKNOWN, reason)


@functools.lru_cache
def get_interpreted_names(names: data.HeaderNames) -> frozenset[bytes]:
    """Returns the headers of a response that a node reads, in lower case.

    :param names: names of the headers that the platform chose.
    """
    return frozenset((*names, *_FRAMING_HEADERS))


def parse_keep_alive_s(value: bytes) -> float:
    """Parses the idle timeout of a Keep-Alive header, less a safety margin.

    The margin keeps requests off a connection that the endpoint is about to close.

    :returns: idle timeout in seconds; the default if the header has none.
    """
    for parameter in value.split(b","):
        name, _, seconds = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.isdigit():
            return max(0.0, float(seconds) - KEEP_ALIVE_MARGIN_S)
    return DEFAULT_IDLE_TIMEOUT_S
