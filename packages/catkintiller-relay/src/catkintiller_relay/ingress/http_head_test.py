"""Tests of the decisions by the head of a request, without a connection."""

import asyncio

from hypothesis import given
from hypothesis import strategies as st

from .. import data
from . import body_budget, http1, http_head

FRAMING_NAMES = (b"content-length", b"transfer-encoding", b"host", b"expect", b"a")
VALUES = st.one_of(
    st.sampled_from((b"0", b"7", b"07", b"+1", b"chunked", b"100-continue", b"x")),
    st.binary(max_size=20),
)
HEADERS = st.lists(st.tuples(st.sampled_from(FRAMING_NAMES), VALUES), max_size=6)


def is_unambiguous(headers: http_head.Headers) -> bool:
    """States what :func:`http_head.parse_framing` requires, list by list."""
    lengths = [value for name, value in headers if name == b"content-length"]
    encodings = [value for name, value in headers if name == b"transfer-encoding"]
    hosts = [value for name, value in headers if name == b"host"]
    if len(hosts) != 1 or len(lengths) + len(encodings) > 1:
        return False
    if lengths and not (lengths[0].isdigit() and len(lengths[0]) <= 18):
        return False
    return not encodings or encodings[0].strip().lower() == b"chunked"


class TestFraming:
    """A head that two parsers could understand differently must not be accepted."""

    @given(HEADERS)
    def test_any_headers(self, headers: http_head.Headers) -> None:
        framing = http_head.parse_framing(headers)
        assert framing.is_valid == is_unambiguous(headers)
        if not framing.is_valid:
            return
        named = dict(headers)
        if b"transfer-encoding" in named:
            assert framing.declared_bytes is None
        else:
            assert framing.declared_bytes == int(named.get(b"content-length", b"0"))

    def test_expectation(self) -> None:
        headers = [(b"host", b"x"), (b"expect", b" 100-Continue ")]
        assert http_head.parse_framing(headers).expects_continue
        assert not http_head.parse_framing(headers[:1]).expects_continue


class RecordingTransport(asyncio.Transport):
    """A transport that records what is written."""

    def __init__(self) -> None:
        super().__init__()
        self.written = b""
        self.closed = False

    def write(self, data: bytes) -> None:
        """Records bytes."""
        self.written += data

    def pause_reading(self) -> None:
        """Does nothing."""

    def resume_reading(self) -> None:
        """Does nothing."""

    def can_write_eof(self) -> bool:
        """Returns that the sending direction cannot be closed alone."""
        return False

    def is_closing(self) -> bool:
        """Returns whether it was closed."""
        return self.closed

    def close(self) -> None:
        """Records the end."""
        self.closed = True


class TestPieces:
    """What is decided must not depend on how the bytes are cut into pieces."""

    def receive(self, message: bytes, cuts: list[int]) -> tuple[list, bytes, int]:
        """Feeds a message in pieces; returns requests, responses and reserved bytes."""
        loop = asyncio.new_event_loop()
        requests = []

        def handle(connection: http1.ServerConnection, request: http1.Request) -> None:
            requests.append((request.target, request.body))
            connection.send_status(200)

        budget = body_budget.BodyBudget(30_000)
        limits = data.ClientLimits(400, 9_000, 1.0, 1.0)
        server = http1.HttpServer(loop, handle, limits, lambda _: None, budget)
        connection = http1.ServerConnection(server)
        transport = RecordingTransport()
        connection.connection_made(transport)
        bounds = [0, *sorted(cut % len(message) for cut in cuts), len(message)]
        for start, end in zip(bounds, bounds[1:], strict=False):
            if start < end:
                connection.data_received(message[start:end])
        connection.connection_lost(None)
        loop.close()
        return requests, transport.written, budget.used_bytes

    @given(
        st.sampled_from(
            (
                b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc"
                b"GET /b HTTP/1.1\r\nHost: x\r\n\r\n",
                b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: x\r\n\r\n",
                b"POST /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"3\r\nabc\r\nzz\r\n",
                b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 9001\r\n\r\nab",
            )
        ),
        st.lists(st.integers(0, 10_000), max_size=8),
    )
    def test_pieces(self, message: bytes, cuts: list[int]) -> None:
        whole = self.receive(message, [])
        assert self.receive(message, cuts) == whole
        assert whole[2] == 0
