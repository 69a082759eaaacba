"""Tests of responses to earlier requests on a connection that is used again."""

import asyncio

from .. import data
from . import endpoint_exchange, endpoint_pool
from .endpoint_client_test import (
    HEADERS,
    OK_RESPONSE,
    TIMEOUT_S,
    build_budget,
    build_script,
    read_request,
    send_requests,
)


class TestStrayResponses:
    """Responses that belong to another request."""

    def test_response_to_an_earlier_request_is_skipped(self) -> None:
        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            previous_id = b""
            while True:
                try:
                    request_id = await read_request(reader)
                except asyncio.IncompleteReadError:
                    return
                if previous_id:
                    writer.write(OK_RESPONSE.replace(b"hi", b"no") % previous_id)
                writer.write(OK_RESPONSE % request_id)
                previous_id = request_id

        completions, pool = send_requests(script, 3)
        assert [completion.body for completion in completions] == [b"hi"] * 3
        assert pool.stray_response_count == 2

    def test_refusal_without_an_id_on_a_kept_connection_refuses_nothing(self) -> None:
        refusal = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"

        async def script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(OK_RESPONSE % await read_request(reader))
            request_id = await read_request(reader)
            writer.write(refusal)
            writer.write(OK_RESPONSE % request_id)

        completions, pool = send_requests(script, 2)
        assert completions[1].outcome is data.Outcome.UNKNOWN
        assert not pool.has_open_connection

    def test_bytes_on_an_idle_connection_close_it(self) -> None:
        completions, pool = send_requests(
            build_script(OK_RESPONSE, OK_RESPONSE, close=False), 2
        )
        assert [completion.body for completion in completions] == [b"hi", b"hi"]
        assert pool.opened_count == 2


class TestRequestSentAgain:
    """A request that the endpoint rejected is sent to the same endpoint again.

    The endpoint sends a second copy of its rejection late, when it has begun to run the
    request; the copy has the right ID.
    """

    def test_it_uses_no_connection_on_which_it_was_refused(self) -> None:
        used_connections: dict[bytes, list[asyncio.StreamWriter]] = {}

        async def refuse(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            head = b"HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n"
            while True:
                try:
                    request_id = await read_request(reader)
                except asyncio.IncompleteReadError:
                    return
                used_connections.setdefault(request_id, []).append(writer)
                writer.write(head + b"X-Id: " + request_id + b"\r\n\r\n")

        for other_count in (1, 20, 200):
            used_connections.clear()
            ids = [b"id", *(b"other%d" % number for number in range(other_count))]
            send_requests(refuse, request_ids=[*ids, b"id"])
            first, second = used_connections[b"id"]
            assert first is not second

    def test_late_copy_of_the_rejection_is_not_taken_for_the_response(self) -> None:
        rejection = b"HTTP/1.1 503 Full\r\nX-Id: id\r\nX-Not-Run: 1\r\n"
        rejection += b"Content-Length: 0\r\n\r\n"
        success = (
            b"HTTP/1.1 200 OK\r\nX-Id: id\r\nX-Sign: s\r\nContent-Length: 0\r\n\r\n"
        )
        connection_count = 0

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal connection_count
            connection_count += 1
            if connection_count > 1:
                await read_request(reader)
                writer.write(success)
                return
            await read_request(reader)
            writer.write(rejection)
            await read_request(reader)
            writer.write(rejection)
            writer.write(success)

        async def run() -> list[data.Outcome]:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            loop = asyncio.get_running_loop()
            pool = endpoint_pool.EndpointConnectionPool(
                loop, f"127.0.0.1:{port}", HEADERS, build_budget()
            )
            outcomes = []
            for _ in range(2):
                completed = loop.create_future()
                message = b"GET / HTTP/1.1\r\nHost: a\r\nx-id: id\r\n\r\n"
                pool.send(
                    endpoint_exchange.Exchange(
                        b"id",
                        message,
                        lambda outcome, *_, completed=completed: completed.set_result(
                            outcome
                        ),
                    )
                )
                outcomes.append(await asyncio.wait_for(completed, TIMEOUT_S))
            server.close()
            return outcomes

        assert asyncio.run(run()) == [data.Outcome.NOT_RUN, data.Outcome.ANSWERED]
