"""Tests of the HTTP client with valid, invalid and missing responses."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from .. import data
from ..ingress import body_budget
from . import (
    endpoint_client,
    endpoint_exchange,
    endpoint_pool,
    response_meter,
    response_notices,
)

HEADERS = data.HeaderNames(
    b"x-id",
    b"x-left",
    b"x-sign",
    b"x-target",
    b"x-not-run",
    b"x-caller",
    b"x-who",
    b"x-rate",
    b"x-leaving",
    b"authorization",
    b"tenant",
)
TIMEOUT_S = 5.0
OK_RESPONSE = b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nX-Sign: s\r\nContent-Length: 2\r\n\r\nhi"

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class Completion(NamedTuple):
    """Arguments of the completion handler."""

    outcome: data.Outcome
    reason: data.RefusalReason | None
    status: int
    head: bytes
    body: bytes


def build_budget() -> body_budget.BodyBudget:
    """Builds a budget that the bodies of the tests do not exceed."""
    return body_budget.BodyBudget(48 * 1024 * 1024)


async def read_request(reader: asyncio.StreamReader) -> bytes:
    """Reads a request without a body and returns its request ID."""
    head = await reader.readuntil(b"\r\n\r\n")
    return head.split(b"x-id: ")[1].split(b"\r\n")[0]


def send_requests(
    script: Script,
    request_count: int = 1,
    notices: list[response_notices.Notice] | None = None,
    request_ids: list[bytes] | None = None,
) -> tuple[list[Completion], endpoint_pool.EndpointConnectionPool]:
    """Sends requests one after another to an endpoint that runs a script.

    :param notices: list to which the notices in the responses are appended.
    :param request_ids: IDs of the requests; None for a number of different ones.
    """

    async def run() -> tuple[list[Completion], endpoint_pool.EndpointConnectionPool]:
        server = await asyncio.start_server(script, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        pool = endpoint_pool.EndpointConnectionPool(
            loop, f"127.0.0.1:{port}", HEADERS, build_budget()
        )
        completions = []
        for request_id in request_ids or [b"id%d" % n for n in range(request_count)]:
            completed = loop.create_future()
            message = b"GET / HTTP/1.1\r\nHost: a\r\nx-id: " + request_id + b"\r\n\r\n"
            pool.send(
                endpoint_exchange.Exchange(
                    request_id,
                    message,
                    lambda *fields, future=completed: future.set_result(
                        Completion(*fields)
                    ),
                    notices.append if notices is not None else None,
                )
            )
            completions.append(await completed)
            await asyncio.sleep(0.02 if request_ids is None else 0)
        server.close()
        return completions, pool

    return asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))


def build_script(*parts: bytes, close: bool = True) -> Script:
    """Builds a script that sends bytes; ``%b`` stands for the request ID."""

    async def script(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            request_id = await read_request(reader)
            for part in parts:
                writer.write(part % request_id if b"%b" in part else part)
                await writer.drain()
        except asyncio.IncompleteReadError:
            pass
        if close:
            writer.close()

    return script


class TestCompleteResponses:
    """Valid responses are passed on."""

    def test_body_with_content_length(self) -> None:
        (completion,), _ = send_requests(build_script(OK_RESPONSE))
        assert completion.outcome is data.Outcome.ANSWERED
        assert completion.body == b"hi"
        assert b"X-Sign: s" in completion.head

    def test_chunked_body_gets_a_content_length(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nX-Sign: s\r\n"
        chunked = b"Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"
        (completion,), _ = send_requests(build_script(head, chunked))
        assert completion.body == b"hi"
        assert b"Content-Length: 2" in completion.head
        assert b"chunked" not in completion.head

    def test_body_that_ends_with_the_connection(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nX-Sign: s\r\n\r\n"
        (completion,), _ = send_requests(build_script(head, b"hello"))
        assert completion.outcome is data.Outcome.ANSWERED
        assert completion.body == b"hello"

    def test_room_of_a_response_that_is_not_forwarded_is_given_back(self) -> None:
        """An idle connection would keep the body of a refusal and its room."""
        for header in (b"X-Not-Run: 1\r\n", b""):
            head = b"HTTP/1.1 200 OK\r\nX-Id: %b\r\n" + header
            length = b"Content-Length: 20000\r\n\r\n"
            script = build_script(head, length, b"b" * 20_000, close=False)
            (completion,), pool = send_requests(script)
            assert completion.outcome is not data.Outcome.ANSWERED
            assert pool.budget.used_bytes == 0

    def test_error_status_is_kept(self) -> None:
        response = (
            b"HTTP/1.1 500 No\r\nX-Id: %b\r\nX-Sign: s\r\nContent-Length: 0\r\n\r\n"
        )
        (completion,), _ = send_requests(build_script(response))
        assert (completion.outcome, completion.status) == (data.Outcome.ANSWERED, 500)

    def test_connection_is_reused(self) -> None:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            while True:
                try:
                    writer.write(OK_RESPONSE % await read_request(reader))
                except asyncio.IncompleteReadError:
                    return

        completions, pool = send_requests(script, 5)
        assert len(completions) == 5
        assert pool.opened_count == 1


class TestInvalidResponses:
    """The outcome is unknown, since the request may have run."""

    def assert_outcome_unknown(self, *parts: bytes) -> None:
        (completion,), _ = send_requests(build_script(*parts))
        assert completion.outcome is data.Outcome.UNKNOWN
        assert completion.body == b""

    def test_truncated_body(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nX-Sign: s\r\n"
        self.assert_outcome_unknown(head, b"Content-Length: 9\r\n\r\nhi")

    def test_empty_response(self) -> None:
        self.assert_outcome_unknown(b"")

    def test_head_that_is_cut_anywhere(self) -> None:
        response = OK_RESPONSE % b"id0"
        for length in range(len(response)):
            self.assert_outcome_unknown(response[:length])

    def test_end_of_the_connection_after_an_interim_response(self) -> None:
        interim = b"HTTP/1.1 103 Early Hints\r\nX-Id: %b\r\nX-Sign: s\r\n\r\n"
        self.assert_outcome_unknown(interim)
        self.assert_outcome_unknown(interim, b"HTTP/1.1 200 OK\r\nX-Id: %b\r\n")

    def test_not_http(self) -> None:
        self.assert_outcome_unknown(b"garbage\r\n\r\n")

    def test_success_without_signature(self) -> None:
        self.assert_outcome_unknown(
            b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nContent-Length: 0\r\n\r\n"
        )

    def test_encoded_body(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nX-Sign: s\r\nContent-Encoding: gzip\r\n"
        self.assert_outcome_unknown(head, b"Content-Length: 2\r\n\r\nhi")

    def test_response_without_request_id(self) -> None:
        self.assert_outcome_unknown(
            b"HTTP/1.1 200 OK\r\nX-Sign: s\r\nContent-Length: 2\r\n\r\nhi"
        )


class TestNotRun:
    """Requests that certainly did not run."""

    def test_endpoint_refuses(self) -> None:
        response = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
        (completion,), _ = send_requests(build_script(response))
        assert completion.outcome is data.Outcome.NOT_RUN
        assert completion.reason is data.RefusalReason.ENDPOINT_REFUSED

    def test_misdirected_request(self) -> None:
        response = b"HTTP/1.1 421 Wrong\r\nX-Who: i-9\r\nContent-Length: 0\r\n\r\n"
        (completion,), _ = send_requests(build_script(response))
        assert (completion.outcome, completion.status) == (data.Outcome.NOT_RUN, 421)

    def test_connection_refused(self) -> None:
        async def run() -> Completion:
            loop = asyncio.get_running_loop()
            server = await asyncio.start_server(
                build_script(OK_RESPONSE), "127.0.0.1", 0
            )
            port = server.sockets[0].getsockname()[1]
            server.close()
            await server.wait_closed()
            pool = endpoint_pool.EndpointConnectionPool(
                loop, f"127.0.0.1:{port}", HEADERS, build_budget()
            )
            completed = loop.create_future()
            pool.send(
                endpoint_exchange.Exchange(
                    b"id",
                    b"GET",
                    lambda *fields: completed.set_result(Completion(*fields)),
                )
            )
            return await completed

        completion = asyncio.run(asyncio.wait_for(run(), TIMEOUT_S))
        assert completion.outcome is data.Outcome.NOT_RUN
        assert completion.reason is data.RefusalReason.UNREACHABLE


class EndlessEndpoint:
    """Sends bytes without end until the connection is closed.

    :param start: bytes that are sent first; ``%b`` stands for the request ID.
    :param repeated: bytes that are sent again and again.
    """

    def __init__(self, start: bytes, repeated: bytes) -> None:
        self._start = start
        self._repeated = repeated * (PIECE_BYTES // len(repeated))
        self.sent_bytes = 0
        self.closed = False

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers a request."""
        request_id = await read_request(reader)
        writer.write(self._start.replace(b"%b", request_id))
        try:
            while True:
                writer.write(self._repeated)
                await writer.drain()
                self.sent_bytes += len(self._repeated)
        except ConnectionError:
            self.closed = True


PIECE_BYTES = 16 * 1024
MAX_SENT_BEFORE_CLOSE_BYTES = 16 * 1024 * 1024  # buffers of the kernel included
HEAD = b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nX-Sign: s\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
INTERIM = b"HTTP/1.1 102 Processing\r\n\r\n"


class TestEndlessBytes:
    """Bytes without end that are no response; memory and time stay bounded."""

    def check(self, start: bytes, repeated: bytes, max_sent_bytes: int) -> None:
        """Checks that the exchange fails and the connection is closed."""
        endpoint = EndlessEndpoint(start, repeated)
        (completion,), pool = send_requests(endpoint.serve)
        assert completion.outcome is data.Outcome.UNKNOWN
        assert completion.reason in (
            data.RefusalReason.BROKEN_ANSWER,
            data.RefusalReason.NO_MEMORY,
        )
        assert endpoint.closed
        assert endpoint.sent_bytes <= max_sent_bytes
        assert pool.budget.used_bytes == 0

    def test_head_line(self) -> None:
        self.check(HEAD + b"X-Long: ", b"a", MAX_SENT_BEFORE_CLOSE_BYTES)

    def test_status_line(self) -> None:
        self.check(b"HTTP/1.1 200 ", b"a", MAX_SENT_BEFORE_CLOSE_BYTES)

    def test_head_lines(self) -> None:
        self.check(HEAD, b"X-More: 1\r\n", MAX_SENT_BEFORE_CLOSE_BYTES)

    def test_interim_responses(self) -> None:
        self.check(INTERIM, INTERIM, MAX_SENT_BEFORE_CLOSE_BYTES)

    def test_chunk_extension(self) -> None:
        self.check(CHUNKED_HEAD + b"2;a=", b"b", MAX_SENT_BEFORE_CLOSE_BYTES)

    def test_trailers(self) -> None:
        start = CHUNKED_HEAD + b"2\r\nhi\r\n0\r\n"
        self.check(start, b"X-More: 1\r\n", MAX_SENT_BEFORE_CLOSE_BYTES)

    def test_bytes_before_any_response(self) -> None:
        self.check(b"\r\n", b"\r\n", MAX_SENT_BEFORE_CLOSE_BYTES)

    def test_body_without_length(self) -> None:
        self.check(
            HEAD + b"\r\n",
            b"a",
            response_meter.MAX_BODY_BYTES + MAX_SENT_BEFORE_CLOSE_BYTES,
        )

    def test_chunks(self) -> None:
        self.check(
            CHUNKED_HEAD,
            b"400\r\n" + b"a" * 0x400 + b"\r\n",
            response_meter.MAX_BODY_BYTES + MAX_SENT_BEFORE_CLOSE_BYTES,
        )

    def test_small_chunks_are_no_fault(self) -> None:
        chunks = b"1\r\na\r\n" * 60_000 + b"0\r\n\r\n"
        (completion,), _ = send_requests(build_script(CHUNKED_HEAD, chunks))
        assert completion.outcome is data.Outcome.ANSWERED
        assert len(completion.body) == 60_000


class TestEndpointDown:
    """An endpoint that accepts no connections, and one that has enough of them."""

    def fail_to_connect(self, *, other_connection: bool) -> bool:
        """Sends requests to a port without a listener; returns ``is_endpoint_down``.

        :param other_connection: whether a connection from before is still open.
        """

        async def run() -> bool:
            server = await asyncio.start_server(lambda *_: None, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            server.close()
            await server.wait_closed()
            loop = asyncio.get_running_loop()
            pool = endpoint_pool.EndpointConnectionPool(
                loop, f"127.0.0.1:{port}", HEADERS, build_budget()
            )
            if other_connection:
                pool.add(endpoint_client.EndpointConnection(pool))
            for number in range(endpoint_pool.MAX_FAILED_CONNECTS):
                completed = loop.create_future()
                pool.send(
                    endpoint_exchange.Exchange(
                        b"id%d" % number,
                        b"",
                        lambda *_, completed=completed: completed.set_result(None),
                    )
                )
                await asyncio.wait_for(completed, TIMEOUT_S)
            return pool.is_endpoint_down

        return asyncio.run(run())

    def test_endpoint_that_refuses_connections_is_down(self) -> None:
        assert self.fail_to_connect(other_connection=False)

    def test_full_endpoint_is_not_down(self) -> None:
        assert not self.fail_to_connect(other_connection=True)


class TestNotices:
    """Notices in the heads of responses."""

    LEAVING = b"X-Leaving: 1\r\nX-Rate: 7\r\n"
    NOTICE = response_notices.Notice(7.0, True)

    def read_notices(self, *parts: bytes) -> list[response_notices.Notice]:
        """Reads the notices in the response to one request."""
        notices: list[response_notices.Notice] = []
        send_requests(build_script(*parts), notices=notices)
        return notices

    def test_response_with_a_body(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nX-Sign: s\r\nContent-Length: 2\r\n"
        assert self.read_notices(head, self.LEAVING, b"\r\nhi") == [self.NOTICE]

    def test_rejection_without_an_id(self) -> None:
        head = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n"
        assert self.read_notices(head, self.LEAVING, b"\r\n") == [self.NOTICE]

    def test_body_that_is_cut(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nX-Id: %b\r\nX-Sign: s\r\nContent-Length: 9\r\n"
        assert self.read_notices(head, self.LEAVING, b"\r\nhi") == [self.NOTICE]

    def test_response_of_another_endpoint_is_no_notice(self) -> None:
        head = b"HTTP/1.1 421 Other\r\nX-Id: %b\r\nContent-Length: 0\r\n"
        assert self.read_notices(head, self.LEAVING, b"\r\n") == []

    def test_response_to_another_request_is_no_notice(self) -> None:
        head = b"HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Sign: s\r\nContent-Length: 0\r\n"
        assert self.read_notices(head, self.LEAVING, b"\r\n") == []

    def test_handlers_are_dropped_with_the_end_of_the_exchange(self) -> None:
        exchange = endpoint_exchange.Exchange(
            b"a", b"", lambda *_: None, lambda _: None
        )
        exchange.complete(data.Outcome.ANSWERED)
        assert exchange.on_complete is None and exchange.on_notice is None
