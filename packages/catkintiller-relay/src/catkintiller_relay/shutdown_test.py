"""Tests of the graceful shutdown of a node."""

import asyncio
import types
from collections.abc import Awaitable, Callable

import pytest

from . import shutdown

GRACE_S = 60.0
TIMEOUT_S = 10.0


class FakeConnection:
    """A connection of a client.

    :ivar pending: request without a response, if any.
    """

    def __init__(self, pending: str | None = None) -> None:
        self.pending = pending


class FakeForwarder:
    """Forwards nothing.

    :ivar ended: requests that were ended without a response of an endpoint.
    """

    def __init__(self) -> None:
        self.pending_count = 0
        self.stopping = False
        self.ends_at: float | None = None
        self.ended: list[str] = []

    def end_request(self, pending: str) -> None:
        """Records that a request was ended."""
        self.ended.append(pending)


class FakeServer:
    """The server for clients; a connection ends when its response has been read.

    :ivar connections: connections whose responses have not been read.
    :ivar idle_connection: a connection that may be closed at any time.
    """

    def __init__(self) -> None:
        self.connections: set[FakeConnection] = set()
        self.idle_connection = FakeConnection()
        self.closing = False
        self.is_listening = True

    def stop_listening(self) -> None:
        """Records the call."""
        self.is_listening = False

    def close_idle(self) -> None:
        """Ends what is idle; what has not been read keeps a connection open."""
        self.connections.discard(self.idle_connection)


class Stop:
    """A node that stops, with fakes of its parts."""

    def __init__(self) -> None:
        self.server = FakeServer()
        self.forwarder = FakeForwarder()
        self.peer_server = types.SimpleNamespace(is_transferring_body=False)
        self._shutdown = shutdown.Shutdown(
            asyncio.get_running_loop(),
            GRACE_S,
            types.SimpleNamespace(
                queue=types.SimpleNamespace(load=0),
                stopping=False,
                lame_duck_ended=False,
            ),
            self.forwarder,
            self.server,
            self.peer_server,
            lambda: None,
        )

    def begin(self) -> asyncio.Task:
        """Starts the shutdown."""
        self._shutdown.start()
        return asyncio.create_task(self._shutdown.serve_pending())


@pytest.fixture(autouse=True)
def without_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    """Lets the shutdown go on as fast as its conditions allow."""
    for name in ("MIN_SHUTDOWN_S", "REPLY_FLUSH_S", "CHECK_INTERVAL_S"):
        monkeypatch.setattr(shutdown, name, 0.0)


def run(test: Callable[[Stop], Awaitable[None]]) -> None:
    """Runs a test."""

    async def check() -> None:
        await test(Stop())

    asyncio.run(asyncio.wait_for(check(), TIMEOUT_S))


async def run_steps() -> None:
    """Lets the shutdown check its conditions several times."""
    for _ in range(20):
        await asyncio.sleep(0)


class TestBodies:
    """A planned stop must not cut a body that is on its way."""

    def test_frame_of_a_peer(self) -> None:
        """An upload that is cut has an unknown outcome and cannot be sent again."""

        async def check(stop: Stop) -> None:
            stop.peer_server.is_transferring_body = True
            task = stop.begin()
            await run_steps()
            assert not task.done()
            assert stop.server.is_listening
            stop.peer_server.is_transferring_body = False
            await task

        run(check)

    def test_response_to_a_client(self) -> None:
        """A large response leaves the process after the request is answered."""

        async def check(stop: Stop) -> None:
            stop.server.connections.add(FakeConnection())
            task = stop.begin()
            await run_steps()
            assert not task.done()
            assert not stop.server.is_listening
            stop.server.connections.clear()
            await task

        run(check)

    def test_connection_that_is_accepted_late(self) -> None:
        """An idle connection must not delay the stop until the grace period ends."""

        async def check(stop: Stop) -> None:
            slow_connection = FakeConnection()
            stop.server.connections.add(slow_connection)
            task = stop.begin()
            await run_steps()
            stop.server.connections.add(stop.server.idle_connection)
            stop.server.connections.discard(slow_connection)
            await task

        run(check)

    def test_nothing_on_its_way(self) -> None:
        async def check(stop: Stop) -> None:
            await stop.begin()

        run(check)


class TestEnd:
    """Requests that could not be served in time are answered."""

    def test_pending_request_is_ended(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """The connection of such a request was closed without an answer."""
        monkeypatch.setattr(shutdown, "KILL_MARGIN_S", GRACE_S)

        async def check(stop: Stop) -> None:
            stop.forwarder.pending_count = 1
            stop.server.connections = {FakeConnection("late"), FakeConnection()}
            await stop.begin()
            assert stop.forwarder.ended == ["late"]

        run(check)
