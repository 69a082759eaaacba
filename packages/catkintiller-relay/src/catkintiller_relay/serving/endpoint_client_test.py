"""Tests of connections to an endpoint that answers in every bad way."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from .. import data
from . import endpoint_client

HEADERS = data.HeaderNames(
    b"x-id", b"x-left", b"x-sign", b"x-target", b"x-not-run", b"x-caller", b"x-who"
)
BOUND_S = 5.0
OK = b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nX-Sign: s\r\nContent-Length: 2\r\n\r\nhi"

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Seen(NamedTuple):
    """What became of a request."""

    outcome: data.Outcome
    reason: data.RefusalReason | None
    status: int
    head: bytes
    body: bytes


async def read_request(reader: asyncio.StreamReader) -> bytes:
    """Reads a request without a body and gives its identity."""
    head = await reader.readuntil(b"\r\n\r\n")
    return head.split(b"x-id: ")[1].split(b"\r\n")[0]


def play(
    script: Script, requests: int = 1
) -> tuple[list[Seen], endpoint_client.EndpointConnectionPool]:
    """Sends requests one after the other to an endpoint that follows a script."""

    async def run() -> tuple[list[Seen], endpoint_client.EndpointConnectionPool]:
        server = await asyncio.start_server(script, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        pool = endpoint_client.EndpointConnectionPool(
            loop, f"127.0.0.1:{port}", HEADERS
        )
        seen = []
        for number in range(requests):
            done = loop.create_future()
            identity = b"id%d" % number
            message = b"GET / HTTP/1.1\r\nHost: a\r\nx-id: " + identity + b"\r\n\r\n"
            pool.send(
                endpoint_client.Exchange(
                    identity, message, lambda *found, d=done: d.set_result(Seen(*found))
                )
            )
            seen.append(await done)
            await asyncio.sleep(0.02)
        server.close()
        return seen, pool

    return asyncio.run(asyncio.wait_for(run(), BOUND_S))


def answering(*parts: bytes, close: bool = True) -> Script:
    """Makes a script that answers with bytes; ``%b`` is the request's identity."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            identity = await read_request(reader)
            for part in parts:
                writer.write(part % identity if b"%b" in part else part)
                await writer.drain()
        except asyncio.IncompleteReadError:
            pass
        if close:
            writer.close()

    return script


class TestWholeAnswers:
    """Answers that reach the client."""

    def test_sized_body(self) -> None:
        (seen,), _ = play(answering(OK))
        assert seen.outcome is data.Outcome.ANSWERED
        assert seen.body == b"hi"
        assert b"X-Sign: s" in seen.head

    def test_chunked_body_gets_a_length(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nX-Sign: s\r\n"
        chunked = b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
        (seen,), _ = play(answering(head, chunked))
        assert seen.body == b"hi"
        assert b"Content-Length: 2" in seen.head
        assert b"chunked" not in seen.head

    def test_body_that_ends_with_the_connection(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nX-Sign: s\r\n\r\n"
        (seen,), _ = play(answering(head, b"hello"))
        assert seen.outcome is data.Outcome.ANSWERED
        assert seen.body == b"hello"

    def test_failure_keeps_its_status(self) -> None:
        failed = (
            b"HTTP/1.1 500 No\r\nX-Id: %b\r\nX-Sign: s\r\nContent-Length: 0\r\n\r\n"
        )
        (seen,), _ = play(answering(failed))
        assert (seen.outcome, seen.status) == (data.Outcome.ANSWERED, 500)

    def test_connection_is_used_again(self) -> None:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while True:
                try:
                    writer.write(OK % await read_request(reader))
                except asyncio.IncompleteReadError:
                    return

        seen, pool = play(script, 5)
        assert len(seen) == 5
        assert pool.opened_count == 1


class TestBrokenAnswers:
    """Answers that must not look whole: the request may have run."""

    def check(self, *parts: bytes) -> None:
        (seen,), _ = play(answering(*parts))
        assert seen.outcome is data.Outcome.UNKNOWN
        assert seen.body == b""

    def test_cut_short(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nX-Sign: s\r\n"
        self.check(head, b"Content-Length: 9\r\n\r\nhi")

    def test_no_answer(self) -> None:
        self.check(b"")

    def test_no_protocol(self) -> None:
        self.check(b"garbage\r\n\r\n")

    def test_unsigned_success(self) -> None:
        self.check(b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nContent-Length: 0\r\n\r\n")

    def test_encoded_body(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nX-Sign: s\r\nContent-Encoding: gzip\r\n"
        self.check(head, b"Content-Length: 2\r\n\r\nhi")

    def test_answer_without_identity(self) -> None:
        self.check(b"HTTP/1.1 200 OK\r\nX-Sign: s\r\nContent-Length: 2\r\n\r\nhi")


class TestStrayAnswers:
    """Answers that belong to another request."""

    def test_late_second_answer_is_skipped(self) -> None:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            last = b""
            while True:
                try:
                    identity = await read_request(reader)
                except asyncio.IncompleteReadError:
                    return
                if last:
                    writer.write(OK.replace(b"hi", b"no") % last)
                writer.write(OK % identity)
                last = identity

        seen, pool = play(script, 3)
        assert [one.body for one in seen] == [b"hi"] * 3
        assert pool.stray_response_count == 2

    def test_bytes_on_an_idle_connection_end_it(self) -> None:
        seen, pool = play(answering(OK, OK, close=False), 2)
        assert [one.body for one in seen] == [b"hi", b"hi"]
        assert pool.opened_count == 2


class TestNotRun:
    """Requests of which it is known that they did not run."""

    def test_endpoint_says_so(self) -> None:
        refused = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        (seen,), _ = play(answering(refused))
        assert seen.outcome is data.Outcome.NOT_RUN
        assert seen.reason is data.RefusalReason.ENDPOINT_REFUSED

    def test_another_endpoint_has_the_address(self) -> None:
        wrong = b"HTTP/1.1 421 Wrong\r\nX-Who: i-9\r\nContent-Length: 0\r\n\r\n"
        (seen,), _ = play(answering(wrong))
        assert (seen.outcome, seen.status) == (data.Outcome.NOT_RUN, 421)

    def test_nobody_listens(self) -> None:
        async def run() -> Seen:
            loop = asyncio.get_running_loop()
            server = await asyncio.start_server(answering(OK), "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            server.close()
            await server.wait_closed()
            pool = endpoint_client.EndpointConnectionPool(
                loop, f"127.0.0.1:{port}", HEADERS
            )
            done = loop.create_future()
            pool.send(
                endpoint_client.Exchange(
                    b"id", b"GET", lambda *found: done.set_result(Seen(*found))
                )
            )
            return await done

        seen = asyncio.run(asyncio.wait_for(run(), BOUND_S))
        assert seen.outcome is data.Outcome.NOT_RUN
        assert seen.reason is data.RefusalReason.UNREACHABLE
