"""Tests of the server side of HTTP with raw bytes."""

import asyncio

import pytest

from .. import data
from . import http1

LIMITS = data.ClientLimits(2000, 5000, 0.2, 0.3)
BOUND_S = 5.0


def talk(
    *sent: bytes, limits: data.ClientLimits = LIMITS, answer_after_s: float = 0.0
) -> tuple[bytes, list]:
    """Sends bytes to a server that answers with what it got."""
    requests: list[http1.Request] = []

    def handle(connection: http1.ServerConnection, request: http1.Request) -> None:
        requests.append(request)
        body = request.target + b"|" + request.body

        def answer() -> None:
            connection.send_status(200, body=body)

        if answer_after_s:
            asyncio.get_running_loop().call_later(answer_after_s, answer)
        else:
            answer()

    async def run() -> bytes:
        loop = asyncio.get_running_loop()
        server = http1.HttpServer(loop, handle, limits, lambda status: None)
        await server.listen("127.0.0.1:0")
        port = server.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for part in sent:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(0.01)
        if answer_after_s:
            await asyncio.sleep(2 * answer_after_s)
        else:
            writer.write_eof()
        answer = await reader.read()
        writer.close()
        server.stop_listening()
        return answer

    return asyncio.run(asyncio.wait_for(run(), BOUND_S)), requests


def count_answers(answer: bytes) -> int:
    """Counts the answers in what came back."""
    return answer.count(b"HTTP/1.1 ")


class TestRequests:
    """Proper requests."""

    def test_whole_request(self) -> None:
        answer, (request,) = talk(b"GET /a/b?c=1 HTTP/1.1\r\nHost: x\r\nA: b\r\n\r\n")
        assert b"/a/b?c=1|" in answer
        assert request.get_header(b"a") == b"b"

    def test_bytes_one_by_one(self) -> None:
        message = b"POST /p HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
        answer, requests = talk(*(bytes((byte,)) for byte in message))
        assert b"/p|abc" in answer
        assert len(requests) == 1

    def test_chunked_body(self) -> None:
        head = b"POST /p HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        answer, _ = talk(head, b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        assert b"/p|abcde" in answer

    def test_answers_keep_the_order_of_requests(self) -> None:
        one = b"GET /%d HTTP/1.1\r\nHost: x\r\n\r\n"
        answer, _ = talk(b"".join(one % number for number in range(8)))
        found = [answer.index(b"/%d|" % number) for number in range(8)]
        assert found == sorted(found)

    def test_connection_close_is_kept(self) -> None:
        answer, _ = talk(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        assert b"Connection: close" in answer


class TestBadMessages:
    """What is no proper request is refused and ends the connection."""

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
    def test_refused(self, message: bytes) -> None:
        answer, requests = talk(message)
        assert answer.startswith(b"HTTP/1.1 400")
        assert requests == []

    def test_request_before_a_bad_message_gets_its_answer(self) -> None:
        good = b"GET /good HTTP/1.1\r\nHost: x\r\n\r\n"
        answer, requests = talk(good + b"nonsense\r\n\r\n")
        assert b"/good|" in answer
        assert [request.target for request in requests] == [b"/good"]

    def test_slow_answer_goes_out_before_the_connection_ends(self) -> None:
        good = b"GET /good HTTP/1.1\r\nHost: x\r\n\r\n"
        answer, _ = talk(good + b"nonsense\r\n\r\n", answer_after_s=0.05)
        assert b"/good|" in answer
        assert count_answers(answer) == 1

    def test_long_head(self) -> None:
        answer, requests = talk(
            b"GET / HTTP/1.1\r\nHost: x\r\nA: " + b"a" * 3000 + b"\r\n\r\n"
        )
        assert answer.startswith(b"HTTP/1.1 431")
        assert requests == []

    def test_long_body(self) -> None:
        answer, requests = talk(
            b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9000\r\n\r\n"
        )
        assert answer.startswith(b"HTTP/1.1 413")
        assert requests == []

    def test_long_body_in_chunks(self) -> None:
        head = b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunk = b"7d0\r\n" + b"a" * 2000 + b"\r\n"
        answer, requests = talk(head, chunk, chunk, chunk)
        assert answer.startswith(b"HTTP/1.1 413")
        assert requests == []


class TestClientLeaves:
    """A client that closes its connection cancels its request."""

    def test_pending_is_cancelled(self) -> None:
        cancelled = []

        class Pending:
            def cancel(self) -> None:
                cancelled.append(True)

        def handle(connection: http1.ServerConnection, request: http1.Request) -> None:
            connection.pending = Pending()

        async def run() -> None:
            loop = asyncio.get_running_loop()
            server = http1.HttpServer(loop, handle, LIMITS, lambda status: None)
            await server.listen("127.0.0.1:0")
            _, writer = await asyncio.open_connection("127.0.0.1", server.port)
            writer.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
            await asyncio.sleep(0.05)
            writer.close()
            await asyncio.sleep(0.05)
            server.stop_listening()

        asyncio.run(asyncio.wait_for(run(), BOUND_S))
        assert cancelled == [True]
