"""Tests of what a response without end takes, counted in the process itself.

An endpoint in trouble sends bytes that are no response, in a head or in a body, until
its caller closes the connection. The other requests at the node wait meanwhile, and end
with the node if its memory is exceeded.
"""

import asyncio
import tracemalloc
from typing import NamedTuple

import pytest

from .. import data
from ..ingress import body_budget, message_limits
from . import (
    endpoint_client,
    endpoint_client_test,
    endpoint_exchange,
    endpoint_pool,
    response_meter,
)

REQUEST_ID = b"id0"
MEMORY_MB = 300
PIECE_BYTES = 64 * 1024
GIVE_UP_AFTER_BYTES = 96 * 1024 * 1024
MAX_BODY_BYTES = response_meter.MAX_BODY_BYTES
# What one body may take: its content, the spare room of a growing buffer, and pieces.
MAX_HELD_BYTES = MAX_BODY_BYTES * 9 // 8 + 1024 * 1024
MAX_HELD_BY_SMALL_PARTS_BYTES = 4 * 1024 * 1024
MAX_HELD_BY_HEADS_BYTES = 512 * 1024
SLOT_COUNT = 237

HEAD = endpoint_client_test.HEAD.replace(b"%b", REQUEST_ID)
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
STRAY_HEAD = b"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: %d\r\n\r\n"


class SilentTransport(asyncio.Transport):
    """Transport that drops what is written and records that it was aborted."""

    def __init__(self) -> None:
        super().__init__()
        self._is_closed = False

    def write(self, data: bytes) -> None:
        """Drops bytes."""

    def is_closing(self) -> bool:
        """Returns whether the connection was ended."""
        return self._is_closed

    def abort(self) -> None:
        """Records the end of the connection."""
        self._is_closed = True

    close = abort

    def get_write_buffer_size(self) -> int:
        """Returns that nothing is unsent."""
        return 0


class Result(NamedTuple):
    """What a response took until its connection was ended.

    :param received_bytes: bytes that were read.
    :param peak_bytes: greatest number of bytes allocated meanwhile.
    :param reason: why the exchange failed; None if it did not.
    """

    received_bytes: int
    peak_bytes: int
    reason: data.RefusalReason | None


class CarriedExchange:
    """A request on a connection of its own, without a network.

    :param pool: owner of the connection.
    :ivar reasons: reason of the result, once there is one.
    """

    def __init__(self, pool: endpoint_pool.EndpointConnectionPool) -> None:
        self.reasons: list[data.RefusalReason | None] = []
        self.bodies: list[bytes] = []
        self.connection = endpoint_client.EndpointConnection(pool)
        self._transport = SilentTransport()
        self.connection.connection_made(self._transport)
        exchange = endpoint_exchange.Exchange(REQUEST_ID, b"", self._complete)
        self.connection.send(exchange, 0.0)

    @property
    def has_ended(self) -> bool:
        """Whether the connection was ended."""
        return self._transport.is_closing()

    def _complete(
        self,
        outcome: data.Outcome,
        reason: data.RefusalReason | None,
        status: int,
        head: bytes,
        body: bytes,
    ) -> None:
        self.reasons.append(reason)
        self.bodies.append(body)


def build_pool() -> endpoint_pool.EndpointConnectionPool:
    """Builds a pool with the budget of a node; it opens no connection."""
    return endpoint_pool.EndpointConnectionPool(
        asyncio.new_event_loop(),
        "127.0.0.1:1",
        endpoint_client_test.HEADERS,
        body_budget.create_budget(MEMORY_MB),
    )


def receive_endlessly(start: bytes, repeated: bytes) -> Result:
    """Receives a response without end until the connection is ended."""
    pool = build_pool()
    carried = CarriedExchange(pool)
    piece = repeated * (PIECE_BYTES // len(repeated) + 1)
    received_bytes = 0
    tracemalloc.start()
    try:
        carried.connection.data_received(start)
        while not carried.has_ended and received_bytes < GIVE_UP_AFTER_BYTES:
            carried.connection.data_received(piece)
            received_bytes += len(piece)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert carried.has_ended
    assert pool.budget.used_bytes == 0
    return Result(received_bytes, peak_bytes, carried.reasons[0])


class TestMemory:
    """A response takes no more memory than its content does."""

    @pytest.mark.parametrize("chunk_bytes", [1, 4, 16])
    def test_body_in_small_chunks(self, chunk_bytes: int) -> None:
        chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"a" * chunk_bytes)
        result = receive_endlessly(CHUNKED_HEAD, chunk)
        assert result.peak_bytes <= MAX_HELD_BY_SMALL_PARTS_BYTES + MAX_BODY_BYTES // 4

    def test_body_without_a_length(self) -> None:
        result = receive_endlessly(HEAD + b"\r\n", b"a")
        assert result.peak_bytes <= MAX_HELD_BYTES

    @pytest.mark.parametrize("start", [HEAD, CHUNKED_HEAD + b"2\r\nhi\r\n0\r\n"])
    def test_short_lines_in_a_head_or_after_a_body(self, start: bytes) -> None:
        result = receive_endlessly(start, b"a:\r\n")
        assert result.peak_bytes <= MAX_HELD_BY_HEADS_BYTES

    def test_heads_that_stop_are_counted(self) -> None:
        """Heads that arrive in part at all slots together once took 570 MB."""
        pool = build_pool()
        lines = b"a:\r\n" * message_limits.MAX_HEADER_COUNT
        long_line = b"X-Long: " + b"a" * (32 * 1024) + b"\r\n"
        carried = [CarriedExchange(pool) for _ in range(SLOT_COUNT)]
        tracemalloc.start()
        try:
            for each in carried:
                each.connection.data_received(HEAD + long_line + lines[:512])
            held_bytes = tracemalloc.get_traced_memory()[0]
        finally:
            tracemalloc.stop()
        assert held_bytes <= 1.5 * pool.budget.used_bytes + SLOT_COUNT * 32 * 1024
        for each in carried:
            each.connection.connection_lost(None)
        assert pool.budget.used_bytes == 0


class TestWork:
    """The work for one response is bounded as well as its bytes."""

    @pytest.mark.parametrize("chunk_bytes", [1, 4, 16])
    def test_parts_of_a_body_are_limited(self, chunk_bytes: int) -> None:
        """Each part costs a call; 32 MiB in chunks of 4 bytes took seconds."""
        chunk = b"%x\r\n%b\r\n" % (chunk_bytes, b"a" * chunk_bytes)
        result = receive_endlessly(CHUNKED_HEAD, chunk)
        part_count = result.received_bytes // len(chunk)
        assert part_count <= 2 * message_limits.MAX_SMALL_PART_COUNT
        assert result.reason is data.RefusalReason.BROKEN_ANSWER

    @pytest.mark.parametrize("body_bytes", [0, 100, 65_000])
    def test_responses_to_other_requests_are_limited(self, body_bytes: int) -> None:
        """Complete responses that match no request once went on until its deadline."""
        stray = STRAY_HEAD % body_bytes + b"a" * body_bytes
        result = receive_endlessly(b"", stray)
        count = result.received_bytes // len(stray)
        assert count <= response_meter.MAX_STRAY_COUNT + (
            2 * PIECE_BYTES // len(stray) + 2
        )
        assert result.reason is data.RefusalReason.BROKEN_ANSWER


class TestRoom:
    """Bodies without end leave the room of all bodies to the others."""

    def test_others_are_passed_on_beside_several_bodies_without_end(self) -> None:
        pool = build_pool()
        endless = [CarriedExchange(pool) for _ in range(4)]
        sound = CarriedExchange(pool)
        piece = b"a" * PIECE_BYTES
        piece_count = pool.budget.limit_bytes // len(endless) // PIECE_BYTES - 1
        for each in endless:
            each.connection.data_received(HEAD + b"\r\n")
            for _ in range(piece_count):
                each.connection.data_received(piece)
            assert not each.has_ended
        length_line = b"Content-Length: %d\r\n\r\n" % (64 * PIECE_BYTES)
        sound.connection.data_received(HEAD + length_line)
        for _ in range(64):
            sound.connection.data_received(piece)
        assert sound.reasons == [None]
        ended = [each for each in endless if each.has_ended]
        assert [each.reasons for each in ended] == [[data.RefusalReason.NO_MEMORY]]


class TestTooManyLines:
    """A response whose lines were not all held is not passed on."""

    @pytest.mark.parametrize("line_count", [255, 300])
    def test_head_and_body_that_arrive_at_once(self, line_count: int) -> None:
        """Lines above the limit were dropped, and the rest was passed on."""
        carried = CarriedExchange(build_pool())
        lines = b"X-More: 1\r\n" * line_count
        carried.connection.data_received(HEAD + lines + b"Content-Length: 2\r\n\r\nhi")
        assert carried.reasons == [data.RefusalReason.BROKEN_ANSWER]
        assert carried.has_ended

    def test_trailers_that_arrive_at_once(self) -> None:
        carried = CarriedExchange(build_pool())
        trailers = b"X-More: 1\r\n" * message_limits.MAX_HEADER_COUNT
        carried.connection.data_received(
            CHUNKED_HEAD + b"2\r\nhi\r\n0\r\n" + trailers + b"\r\n"
        )
        assert carried.reasons == [data.RefusalReason.BROKEN_ANSWER]


class TestSoundResponses:
    """Responses that a sound endpoint may send are still passed on."""

    def receive(self, *parts: bytes) -> bytes:
        """Receives a response and returns its body."""
        carried = CarriedExchange(build_pool())
        for part in parts:
            carried.connection.data_received(part)
        assert carried.reasons == [None]
        return carried.bodies[0]

    def test_large_body_in_lines_of_text(self) -> None:
        """A table of 10 MB, each line of which is written by itself."""
        line = b"28\r\n" + b"a" * 39 + b"\n" + b"\r\n"
        lines = [line * 1000] * 250
        body = self.receive(CHUNKED_HEAD, *lines, b"0\r\n\r\n")
        assert len(body) == 250_000 * 40

    def test_largest_body_in_common_chunks(self) -> None:
        chunk = b"200\r\n" + b"a" * 0x200 + b"\r\n"
        chunks = [chunk * 256] * (MAX_BODY_BYTES // 0x200 // 256)
        body = self.receive(CHUNKED_HEAD, *chunks, b"0\r\n\r\n")
        assert len(body) == MAX_BODY_BYTES

    def test_second_copy_of_an_earlier_response(self) -> None:
        stray = STRAY_HEAD % 3 + b"old"
        body = self.receive(stray * 3, HEAD + b"Content-Length: 2\r\n\r\nhi")
        assert body == b"hi"

    def test_head_with_many_lines(self) -> None:
        lines = b"".join(b"X-%d: v\r\n" % number for number in range(100))
        body = self.receive(HEAD + lines + b"Content-Length: 2\r\n\r\nhi")
        assert body == b"hi"
