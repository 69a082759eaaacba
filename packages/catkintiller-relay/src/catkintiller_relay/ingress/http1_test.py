"""Tests of the HTTP/1.1 server with raw bytes."""

import asyncio
import tracemalloc

import pytest

from .. import data
from . import body_budget, http1

LIMITS = data.ClientLimits(2000, 5000, 0.2, 0.3)
TIMEOUT_S = 5.0


def exchange_bytes(
    *chunks: bytes, limits: data.ClientLimits = LIMITS, response_delay_s: float = 0.0
) -> tuple[bytes, list]:
    """Sends chunks of bytes to a server that echoes the target and the body.

    :param limits: limits of the server.
    :param response_delay_s: delay of each response in seconds.
    :returns: bytes received by the client, requests received by the server.
    """
    requests: list[http1.Request] = []

    def handle(connection: http1.ServerConnection, request: http1.Request) -> None:
        requests.append(request)
        body = request.target + b"|" + request.body

        def send_response() -> None:
            connection.send_status(200, body=body)

        if response_delay_s:
            asyncio.get_running_loop().call_later(response_delay_s, send_response)
        else:
            send_response()

    async def run() -> bytes:
        loop = asyncio.get_running_loop()
        server = http1.HttpServer(
            loop, handle, limits, lambda status: None, body_budget.BodyBudget(100_000)
        )
        await server.listen("127.0.0.1:0")
        port = server.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for chunk in chunks:
            writer.write(chunk)
            await writer.drain()
            await asyncio.sleep(0.01)
        if response_delay_s:
            await asyncio.sleep(2 * response_delay_s)
        else:
            writer.write_eof()
        response = await reader.read()
        writer.close()
        server.stop_listening()
        return response

    return asyncio.run(asyncio.wait_for(run(), TIMEOUT_S)), requests


def count_responses(response: bytes) -> int:
    """Counts the status lines in the received bytes."""
    return response.count(b"HTTP/1.1 ")


class TestValidRequests:
    """Valid requests are passed to the handler and get a response."""

    def test_complete_request(self) -> None:
        response, (request,) = exchange_bytes(
            b"GET /a/b?c=1 HTTP/1.1\r\nHost: x\r\nA: b\r\n\r\n"
        )
        assert b"/a/b?c=1|" in response
        assert request.get_header(b"a") == b"b"

    def test_request_in_single_bytes(self) -> None:
        message = b"POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
        response, requests = exchange_bytes(*(bytes((byte,)) for byte in message))
        assert b"/p|abc" in response
        assert len(requests) == 1

    def test_chunked_body(self) -> None:
        head = b"POST /p HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        response, _ = exchange_bytes(head, b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        assert b"/p|abcde" in response

    def test_responses_are_in_the_order_of_requests(self) -> None:
        request = b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n"
        response, _ = exchange_bytes(b"".join(request % number for number in range(8)))
        positions = [response.index(b"/%d|" % number) for number in range(8)]
        assert positions == sorted(positions)

    def test_connection_close_is_returned(self) -> None:
        response, _ = exchange_bytes(
            b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        )
        assert b"Connection: close" in response


class TestInvalidMessages:
    """Invalid messages are rejected and the connection is closed."""

    @pytest.mark.parametrize(
        "message",
        [
            b"nonsense\r\n\r\n",
            b"GET / HTTP/1.1\r\n\r\n",
            b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n"
            b"Host: a\r\n\r\n",
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\nabcd",
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +3\r\n\r\nabc",
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
            b"0\r\n\r\n",
        ],
    )
    def test_rejected_with_400(self, message: bytes) -> None:
        response, requests = exchange_bytes(message)
        assert response.startswith(b"HTTP/1.1 400")
        assert requests == []

    def test_request_before_an_invalid_message_gets_its_response(self) -> None:
        valid_request = b"GET /good HTTP/1.1\r\nHost: x\r\n\r\n"
        response, requests = exchange_bytes(valid_request + b"nonsense\r\n\r\n")
        assert b"/good|" in response
        assert [request.target for request in requests] == [b"/good"]

    def test_delayed_response_is_sent_before_the_connection_is_closed(self) -> None:
        valid_request = b"GET /good HTTP/1.1\r\nHost: x\r\n\r\n"
        response, _ = exchange_bytes(
            valid_request + b"nonsense\r\n\r\n", response_delay_s=0.05
        )
        assert b"/good|" in response
        assert count_responses(response) == 1

    def test_head_above_the_limit(self) -> None:
        response, requests = exchange_bytes(
            b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 3000 + b"\r\n\r\n"
        )
        assert response.startswith(b"HTTP/1.1 431")
        assert requests == []

    def test_content_length_above_the_limit(self) -> None:
        response, requests = exchange_bytes(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\n\r\n"
        )
        assert response.startswith(b"HTTP/1.1 413")
        assert requests == []

    def test_chunked_body_above_the_limit(self) -> None:
        head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunk = b"7d0\r\n" + b"a" * 2000 + b"\r\n"
        response, requests = exchange_bytes(head, chunk, chunk, chunk)
        assert response.startswith(b"HTTP/1.1 413")
        assert requests == []


class TestClientDisconnect:
    """The active request is cancelled if its client closes the connection."""

    def test_pending_request_is_cancelled(self) -> None:
        cancelled = []

        class Pending:
            def cancel(self) -> None:
                cancelled.append(True)

        def handle(connection: http1.ServerConnection, request: http1.Request) -> None:
            connection.pending = Pending()

        async def run() -> None:
            loop = asyncio.get_running_loop()
            server = http1.HttpServer(
                loop,
                handle,
                LIMITS,
                lambda status: None,
                body_budget.BodyBudget(100_000),
            )
            await server.listen("127.0.0.1:0")
            _, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            await asyncio.sleep(0.05)
            writer.close()
            await asyncio.sleep(0.05)
            server.stop_listening()

        asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))
        assert cancelled == [True]


class TestUpgrade:
    """Tests of requests that ask for another protocol."""

    REQUEST = (
        b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
    )

    def test_one_response(self) -> None:
        """A second response would be taken for that to the client's next request."""
        received, requests = exchange_bytes(self.REQUEST)
        assert len(requests) == 1
        assert received.count(b"HTTP/1.1 ") == 1
        assert b"Connection: close" in received

    def test_late_response(self) -> None:
        """The response is sent although the connection carries no further request."""
        received, requests = exchange_bytes(self.REQUEST, response_delay_s=0.05)
        assert len(requests) == 1
        assert received.startswith(b"HTTP/1.1 200 ")
        assert received.count(b"HTTP/1.1 ") == 1

    def test_body(self) -> None:
        """The parser skips the body, so the request would run without it."""
        head, _, _ = self.REQUEST.replace(b"GET", b"POST").partition(b"\r\n\r\n")
        received, requests = exchange_bytes(head + b"\r\nContent-Length: 3\r\n\r\nabc")
        assert not requests
        assert received.startswith(b"HTTP/1.1 400 ")


class TestHeadOfShortLines:
    """Each line of a head takes memory beside its bytes."""

    def test_no_more_lines_are_held_than_the_limit_allows(self) -> None:
        """A head of 80 KB in lines of four bytes once took 2.6 MB until it ended."""
        limits = LIMITS._replace(max_header_bytes=16_384)
        server = http1.HttpServer(
            asyncio.new_event_loop(), lambda *_: None, limits, lambda status: None
        )
        connection = http1.ServerConnection(server)
        tracemalloc.start()
        try:
            connection.data_received(b"GET / HTTP/1.1\r\n" + b"a:\r\n" * 15_000)
            held_bytes = tracemalloc.get_traced_memory()[0]
        finally:
            tracemalloc.stop()
        assert held_bytes <= 1024 * 1024

    def test_head_of_many_lines_within_the_limit_is_accepted(self) -> None:
        head = b"GET /x HTTP/1.1\r\nHost: a\r\n" + b"a:\r\n" * 380 + b"\r\n"
        received, _ = exchange_bytes(head)
        assert received.startswith(b"HTTP/1.1 200")
