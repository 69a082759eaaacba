"""Tests of endpoints that respond before they have read the whole request."""

import asyncio
from collections.abc import Awaitable, Callable

from .. import data
from . import endpoint_exchange, endpoint_pool
from .endpoint_client_test import HEADERS, TIMEOUT_S, Completion, build_budget

BODY = b"u" * 20_000_000  # more than the buffers of the kernel hold
RESPONSE = b"HTTP/1.1 %b\r\nX-Id: id\r\nX-Sign: s\r\n%bContent-Length: 5\r\n\r\nearly"

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class EarlyEndpoint:
    """An endpoint that responds after the head, and then reads to the end.

    :param response: bytes that it sends after it has read a head.
    :ivar received_bytes: bytes that followed the head on the first connection.
    :ivar ended: whether the first connection has ended.
    :ivar connection_count: number of connections that it accepted.
    """

    def __init__(self, response: bytes) -> None:
        self._response = response
        self.received_bytes = 0
        self.ended = asyncio.Event()
        self.connection_count = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handles a connection."""
        self.connection_count += 1
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self._response)
        if self.connection_count > 1:
            return
        try:
            while piece := await reader.read(65_536):
                self.received_bytes += len(piece)
        except ConnectionError:
            pass
        self.ended.set()


async def send(pool: endpoint_pool.EndpointConnectionPool, body: bytes) -> Completion:
    """Sends a request and returns how it was completed."""
    completed = asyncio.get_running_loop().create_future()
    head = b"POST / HTTP/1.1\r\nHost: a\r\nx-id: id\r\nContent-Length: %d\r\n\r\n"
    exchange = endpoint_exchange.Exchange(
        b"id",
        head % len(body),
        lambda *fields: completed.set_result(Completion(*fields)),
        None,
        body,
    )
    pool.send(exchange)
    return await completed


def run(
    response: bytes,
    test: Callable[
        [EarlyEndpoint, endpoint_pool.EndpointConnectionPool], Awaitable[None]
    ],
) -> None:
    """Runs a test with an endpoint that sends a response early."""

    async def check() -> None:
        endpoint = EarlyEndpoint(response)
        server = await asyncio.start_server(endpoint.serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        pool = endpoint_pool.EndpointConnectionPool(
            asyncio.get_running_loop(), f"127.0.0.1:{port}", HEADERS, build_budget()
        )
        await test(endpoint, pool)
        server.close()

    asyncio.run(asyncio.wait_for(check(), TIMEOUT_S))


class TestEarlyResponse:
    """The response must arrive, and nothing may be taken for the rest of the body."""

    def test_it_is_passed_on_and_the_connection_ends(self) -> None:
        async def check(
            endpoint: EarlyEndpoint, pool: endpoint_pool.EndpointConnectionPool
        ) -> None:
            completion = await send(pool, BODY)
            assert completion.outcome is data.Outcome.ANSWERED
            assert (completion.status, completion.body) == (413, b"early")
            await endpoint.ended.wait()
            assert endpoint.received_bytes < len(BODY)
            assert (await send(pool, b"")).status == 413
            assert endpoint.connection_count == 2

        run(RESPONSE % (b"413 No", b""), check)

    def test_not_run(self) -> None:
        async def check(
            endpoint: EarlyEndpoint, pool: endpoint_pool.EndpointConnectionPool
        ) -> None:
            completion = await send(pool, BODY)
            assert completion.outcome is data.Outcome.NOT_RUN
            assert completion.reason is data.RefusalReason.ENDPOINT_REFUSED
            await endpoint.ended.wait()

        run(RESPONSE % (b"503 No", b"X-Not-Run: 1\r\n"), check)

    def test_interim_response_does_not_end_the_body(self) -> None:
        async def check(
            endpoint: EarlyEndpoint, pool: endpoint_pool.EndpointConnectionPool
        ) -> None:
            sending = asyncio.ensure_future(send(pool, BODY))
            while endpoint.received_bytes < len(BODY):
                await asyncio.sleep(0.01)
            sending.cancel()

        run(b"HTTP/1.1 102 Processing\r\n\r\n", check)
