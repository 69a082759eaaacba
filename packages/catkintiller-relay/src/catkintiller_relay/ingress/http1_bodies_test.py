"""Tests of the HTTP/1.1 server with bodies that arrive in parts or never."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

from .. import data
from . import body_budget, http1, incoming_body

LIMITS = data.ClientLimits(2000, 500_000, 0.2, 0.3)
BUDGET_BYTES = 900_000
TIMEOUT_S = 10.0
RETURNED_BYTES = 20
HEAD = b"POST /p HTTP/1.1\r\nHost: x\r\n"
EXPECT = b"Expect: 100-continue\r\n"
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

Decide = Callable[[http1.ServerConnection], None]


def accept(connection: http1.ServerConnection) -> None:
    """Accepts a request by its head."""
    http1.accept_head(connection, connection._active_request)


def refuse(connection: http1.ServerConnection) -> None:
    """Refuses a request by its head."""
    connection.send_status(503, b"Retry-After: 1\r\n")


class ServerTestbed:
    """A server whose decision on the head is given, and a client.

    :ivar requests: complete requests.
    :ivar cancelled: whether the connection of a pending request was lost.
    :ivar failures: why bodies were not read to their end.
    """

    def __init__(self, decide: Decide, delay_s: float) -> None:
        self._decide = decide
        self._delay_s = delay_s
        self._connection: http1.ServerConnection | None = None
        self.requests: list[http1.Request] = []
        self.cancelled = False
        self.failures: list[incoming_body.BodyFailure] = []
        self.budget = body_budget.BodyBudget(BUDGET_BYTES)

    async def start(self) -> None:
        """Starts the server and connects the client."""
        self._loop = asyncio.get_running_loop()
        self.server = http1.HttpServer(
            self._loop,
            self._handle,
            LIMITS,
            lambda status: None,
            self.budget,
            self._check_head,
        )
        await self.server.listen("127.0.0.1:0")
        self.reader, self.writer = await asyncio.open_connection(
            "127.0.0.1", self.server.port
        )

    def cancel(self) -> None:
        """Records that the client has left."""
        self.cancelled = True

    def fail_body(self, failure: incoming_body.BodyFailure) -> None:
        """Sends the response that a failure demands."""
        self.failures.append(failure)
        self._connection.send_status(failure.value)

    def _check_head(
        self, connection: http1.ServerConnection, request: http1.Request
    ) -> None:
        connection.pending = self
        self._connection = connection
        if self._delay_s:
            self._loop.call_later(self._delay_s, self._decide, connection)
        else:
            self._decide(connection)

    def _handle(
        self, connection: http1.ServerConnection, request: http1.Request
    ) -> None:
        self.requests.append(request)
        connection.send_status(200, body=request.body[:RETURNED_BYTES])


def run(
    test: Callable[[ServerTestbed], Awaitable[None]],
    decide: Decide = accept,
    delay_s: float = 0.0,
) -> None:
    """Runs a test; all room must have been given back at its end."""

    async def check() -> None:
        testbed = ServerTestbed(decide, delay_s)
        await testbed.start()
        await test(testbed)
        testbed.writer.close()
        while testbed.server.connections:
            await asyncio.sleep(0.01)
        assert testbed.budget.used_bytes == 0
        testbed.server.stop_listening()

    asyncio.run(asyncio.wait_for(check(), TIMEOUT_S))


async def read_head(testbed: ServerTestbed) -> bytes:
    """Reads the head of a response."""
    return await testbed.reader.readuntil(b"\r\n\r\n")


class TestDecisionOnTheHead:
    """The response to a request that is refused must not wait for its body."""

    def test_refused_before_the_body(self) -> None:
        async def check(testbed: ServerTestbed) -> None:
            testbed.writer.write(HEAD + b"Content-Length: 400000\r\n\r\nabc")
            response = await read_head(testbed)
            assert response.startswith(b"HTTP/1.1 503")
            assert b"Connection: close" in response
            assert testbed.requests == []

        run(check, refuse)

    def test_response_can_be_read_after_the_whole_body_was_sent(self) -> None:
        async def check(testbed: ServerTestbed) -> None:
            testbed.writer.write(HEAD + b"Content-Length: 400000\r\n\r\n")
            testbed.writer.write(b"a" * 400_000)
            await testbed.writer.drain()
            assert (await testbed.reader.read()).startswith(b"HTTP/1.1 503")

        run(check, refuse)

    def test_endless_rest_is_not_read(self) -> None:
        async def check(testbed: ServerTestbed) -> None:
            testbed.writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
            chunk = b"10000\r\n" + b"a" * 65_536 + b"\r\n"
            try:
                while True:
                    testbed.writer.write(chunk)
                    await testbed.writer.drain()
            except ConnectionError:
                return

        run(check, refuse)

    def test_connection_is_kept_after_a_short_body(self) -> None:
        async def check(testbed: ServerTestbed) -> None:
            for _ in range(3):
                testbed.writer.write(HEAD + b"Content-Length: 6\r\n\r\nabc")
                assert (await read_head(testbed)).startswith(b"HTTP/1.1 503")
                testbed.writer.write(b"def")
            testbed.writer.write(b"GET /g HTTP/1.1\r\nHost: x\r\n\r\n")
            assert (await read_head(testbed)).startswith(b"HTTP/1.1 200")
            assert [request.target for request in testbed.requests] == [b"/g"]

        run(check, refuse)

    def test_bytes_of_a_body_do_not_count_as_head(self) -> None:
        async def check(testbed: ServerTestbed) -> None:
            message = HEAD + b"Content-Length: 150000\r\n\r\n" + b"b" * 150_000
            testbed.writer.write(message + b"GET /g HTTP/1.1\r\nHo")
            while not testbed.requests:
                await asyncio.sleep(0.01)
            testbed.writer.write(b"st: x\r\n\r\n")
            assert b" 200 " in await read_head(testbed)
            await testbed.reader.readexactly(RETURNED_BYTES)
            assert b" 200 " in await read_head(testbed)

        run(check)

    def test_late_decision(self) -> None:
        async def check(testbed: ServerTestbed) -> None:
            body = b"b" * 300_000
            testbed.writer.write(HEAD + b"Content-Length: 300000\r\n\r\n" + body)
            assert (await read_head(testbed)).startswith(b"HTTP/1.1 200")
            assert testbed.requests[0].body == body

        run(check, accept, delay_s=0.05)


class TestExpectation:
    """A client that waits must not send a body that nobody will read."""

    def test_accepted(self) -> None:
        async def check(testbed: ServerTestbed) -> None:
            testbed.writer.write(HEAD + EXPECT + b"Content-Length: 3\r\n\r\n")
            assert await read_head(testbed) == CONTINUE
            testbed.writer.write(b"abc")
            assert (await read_head(testbed)).startswith(b"HTTP/1.1 200")

        run(check)

    def test_refused(self) -> None:
        async def check(testbed: ServerTestbed) -> None:
            testbed.writer.write(HEAD + EXPECT + b"Content-Length: 3\r\n\r\n")
            response = await testbed.reader.read()
            assert response.startswith(b"HTTP/1.1 503")
            assert b"Connection: close" in response

        run(check, refuse)

    def test_pipelined(self) -> None:
        async def check(testbed: ServerTestbed) -> None:
            testbed.writer.write(HEAD + b"Content-Length: 3\r\n\r\nabc")
            testbed.writer.write(HEAD + EXPECT + b"Content-Length: 3\r\n\r\n")
            assert (await read_head(testbed)).startswith(b"HTTP/1.1 200")
            assert await testbed.reader.readexactly(3) == b"abc"
            assert await read_head(testbed) == CONTINUE
            testbed.writer.write(b"def")
            assert (await read_head(testbed)).startswith(b"HTTP/1.1 200")
            assert await testbed.reader.readexactly(3) == b"def"

        run(check, delay_s=0.05)


class TestIncompleteBodies:
    """A body that does not end must not keep its room."""

    def test_client_leaves_halfway(self) -> None:
        async def check(testbed: ServerTestbed) -> None:
            testbed.writer.write(HEAD + b"Content-Length: 3000\r\n\r\nabc")
            while not testbed.budget.used_bytes:
                await asyncio.sleep(0.01)
            testbed.writer.close()
            while not testbed.cancelled:
                await asyncio.sleep(0.01)
            assert testbed.requests == []

        run(check)

    def test_slow_sender(self) -> None:
        async def check(testbed: ServerTestbed) -> None:
            testbed.writer.write(HEAD + b"Content-Length: 3000\r\n\r\nabc")
            while not testbed.budget.used_bytes:
                await asyncio.sleep(0.01)
            now = asyncio.get_running_loop().time()
            testbed.server.close_timed_out(now + LIMITS.idle_timeout_s / 2)
            assert testbed.failures == []
            testbed.server.close_timed_out(now + 2 * LIMITS.idle_timeout_s)
            assert (await read_head(testbed)).startswith(b"HTTP/1.1 408")
            assert testbed.failures == [incoming_body.BodyFailure.TIMEOUT]

        run(check)

    def test_endless_chunks(self) -> None:
        async def check(testbed: ServerTestbed) -> None:
            testbed.writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
            for _ in range(10):
                testbed.writer.write(b"10000\r\n" + b"a" * 65_536 + b"\r\n")
            assert (await read_head(testbed)).startswith(b"HTTP/1.1 413")
            assert testbed.failures == [incoming_body.BodyFailure.TOO_LARGE]

        run(check)

    def test_no_room_while_chunks_arrive(self) -> None:
        async def check(testbed: ServerTestbed) -> None:
            testbed.budget.take(BUDGET_BYTES // 2)
            testbed.writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
            for _ in range(5):
                testbed.writer.write(b"10000\r\n" + b"a" * 65_536 + b"\r\n")
            assert (await read_head(testbed)).startswith(b"HTTP/1.1 503")
            assert testbed.failures == [incoming_body.BodyFailure.NO_ROOM]
            testbed.budget.release(BUDGET_BYTES // 2)

        run(check)

    def test_invalid_chunk(self) -> None:
        async def check(testbed: ServerTestbed) -> None:
            testbed.writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
            testbed.writer.write(b"3\r\nabc\r\nzz\r\n")
            assert (await read_head(testbed)).startswith(b"HTTP/1.1 400")
            assert testbed.failures == [incoming_body.BodyFailure.INVALID]

        run(check)


class TestTrailers:
    """Tests of headers that follow a chunked body."""

    def test_they_are_dropped(self) -> None:
        """A second Host header after the body would be forwarded unchecked."""

        async def test(testbed: ServerTestbed) -> None:
            testbed.writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
            testbed.writer.write(b"1\r\na\r\n0\r\nHost: y\r\nX-Id: 1\r\n\r\n")
            assert b" 200 " in await read_head(testbed)
            (request,) = testbed.requests
            assert request.get_headers(b"host") == [b"x"]
            assert request.get_header(b"x-id") is None

        run(test)

    def test_endless_trailers(self) -> None:
        """Trailers are held outside the budget, so their size is limited."""

        async def test(testbed: ServerTestbed) -> None:
            testbed.writer.write(HEAD + b"Transfer-Encoding: chunked\r\n\r\n")
            testbed.writer.write(b"1\r\na\r\n0\r\n")
            for _ in range(200):
                if testbed.failures:
                    break
                testbed.writer.write(b"X-Big: %b\r\n" % (b"b" * 1000))
                await asyncio.sleep(0.001)
            assert b" 400 " in await read_head(testbed)
            assert testbed.failures == [incoming_body.BodyFailure.INVALID]
            assert not testbed.requests

        run(test)


class TestFailingHandler:
    """Tests of an exception in the handler."""

    def test_it_is_logged_and_ends_the_connection(self) -> None:
        """A request whose handler failed would stay active, without a log line."""

        def fail(connection: http1.ServerConnection) -> None:
            raise LookupError("handler")

        async def test(testbed: ServerTestbed) -> None:
            errors: list[BaseException] = []
            asyncio.get_running_loop().set_exception_handler(
                lambda _, context: errors.append(context["exception"].__context__)
            )
            testbed.writer.write(HEAD + b"Content-Length: 1\r\n\r\na")
            with contextlib.suppress(ConnectionError):
                assert not await testbed.reader.read()
            assert testbed.cancelled
            assert [type(error) for error in errors] == [LookupError]

        run(test, fail)
