"""Connection to the store over HTTP/1.1, without pipelining."""

import asyncio
from typing import NamedTuple

import httptools

from . import data, part_buffer, sockets

CONNECT_TIMEOUT_S = 1.0
MAX_RECEIVE_S = 10.0  # from the time at which the first byte is due
MAX_RESPONSE_BYTES = 8 * 1024 * 1024


class Response(NamedTuple):
    """HTTP response of the store.

    :param headers: values by name in lower case.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes


class StoreConnection(asyncio.Protocol):
    """Connection to the store that carries one request at a time."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._pending: asyncio.Future[Response] | None = None
        self._headers: dict[bytes, bytes] = {}
        self._body = part_buffer.PartBuffer()
        self._received_bytes = 0
        self._received_at = float("-inf")

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Stores the transport and enables TCP keepalive."""
        self._transport = transport
        sockets.enable_keepalive(transport)

    def data_received(self, received: bytes) -> None:
        """Feeds received bytes to the parser; closes if no request is pending."""
        if self._parser is None:
            self.close()
            return
        self._received_bytes += len(received)
        self._received_at = asyncio.get_running_loop().time()
        if self._received_bytes > MAX_RESPONSE_BYTES:
            self._fail("answer is too long")
            return
        try:
            self._parser.feed_data(received)
        except httptools.HttpParserError as error:
            self._fail(f"answer cannot be parsed: {error}")

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the pending request."""
        self._transport = None
        self._fail("connection lost")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header of the response."""
        self._headers[name.lower()] = value

    def on_body(self, chunk: bytes) -> None:
        """Appends a chunk of the response body."""
        self._body.append(chunk)

    def on_message_complete(self) -> None:
        """Completes the pending request with the parsed response."""
        status = self._parser.get_status_code()
        keep_alive = self._parser.should_keep_alive()
        self._parser = None
        pending, self._pending = self._pending, None
        if pending is not None and not pending.done():
            pending.set_result(Response(status, self._headers, self._body.take()))
        if not keep_alive:
            self.close()

    @property
    def is_usable(self) -> bool:
        """Whether a request can be sent on this connection."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, head: str, body: bytes) -> asyncio.Future[Response]:
        """Sends a request and returns a future of its response.

        The future fails with :class:`.data.StoreError`, also if the store has reset the
        connection before the request could be sent.
        """
        self._pending = asyncio.get_running_loop().create_future()
        if self._transport is None:
            self._pending.set_exception(data.StoreError("connection lost"))
            return self._pending
        self._parser = httptools.HttpResponseParser(self)
        self._body.clear()
        self._headers = {}
        self._received_bytes = 0
        self._transport.write(head.encode() + body)
        return self._pending

    async def receive(
        self,
        pending: asyncio.Future[Response],
        first_byte_by: float,
        timeout_s: float,
    ) -> Response:
        """Waits for a response.

        A large response may take longer than a silent store is waited for.

        :param pending: future of the response.
        :param first_byte_by: time of the event loop until which it has to begin, in
            seconds.
        :param timeout_s: time without any further byte of it, in seconds.
        :raises TimeoutError: if it is not complete in time.
        :raises data.StoreError: if it is unusable or the connection ends.
        """
        loop = asyncio.get_running_loop()
        try:
            while not pending.done():
                ends_at = max(first_byte_by, self._received_at + timeout_s)
                remaining_s = min(ends_at, first_byte_by + MAX_RECEIVE_S) - loop.time()
                if remaining_s <= 0.0:
                    raise TimeoutError
                await asyncio.wait({pending}, timeout=remaining_s)
            return pending.result()
        finally:
            pending.cancel()

    def close(self) -> None:
        """Aborts the connection."""
        if self._transport is not None:
            self._transport.abort()

    def _fail(self, reason: str) -> None:
        pending, self._pending = self._pending, None
        if pending is not None and not pending.done():
            pending.set_exception(data.StoreError(reason))
        self.close()


async def open_connection(
    address: str, loop: asyncio.AbstractEventLoop, timeout_s: float
) -> StoreConnection:
    """Opens a connection to an address of the form ``HOST:PORT``.

    :param timeout_s: time in which it has to be open, in seconds;
        :data:`CONNECT_TIMEOUT_S` at most.
    :raises data.StoreError: if it cannot be opened in time.
    """
    host, _, port = address.rpartition(":")
    connecting = loop.create_connection(StoreConnection, host, int(port))
    try:
        _, connection = await asyncio.wait_for(
            connecting, min(timeout_s, CONNECT_TIMEOUT_S)
        )
    except TimeoutError:
        raise data.StoreError("no connection in time") from None
    except OSError as error:
        raise data.StoreError(f"no connection: {error}") from error
    return connection
