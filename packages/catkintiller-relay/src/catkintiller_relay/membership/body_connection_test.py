"""Tests of the second connection between two nodes, which carries large bodies."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable

import msgspec

from .. import data
from ..ingress import body_budget
from ..serving import attempts
from . import connections, frames, peer_server, peer_set_test
from .frames_test import CountingObserver, build_node_state

LARGE_BODY = b"l" * 300_000
SMALL_BODY = b"s" * 100
BUDGET_BYTES = 20_000_000


class FakeQueue:
    """The queue of an endpoint without load."""

    load = 0
    service_time_s = 0.0
    utilization = 0.0


class FakeServiceTimes:
    """Service times that are not known."""

    def get_own_s(self, now: float, route: str) -> None:
        """Returns that a time is not known."""


class FakeExecution:
    """An attempt at the endpoint."""

    def __init__(self, on_complete: Callable) -> None:
        self.on_complete = on_complete


class FakeEndpoint:
    """An endpoint whose responses are sent by the test.

    :ivar attempts: attempts and their executions, in order of arrival.
    :ivar cancelled: executions that were cancelled.
    """

    def __init__(self) -> None:
        self.queue = FakeQueue()
        self.service_times = FakeServiceTimes()
        self.attempts: list[tuple[attempts.Attempt, FakeExecution]] = []
        self.cancelled: list[FakeExecution] = []

    def submit(self, attempt: attempts.Attempt, on_complete: Callable) -> FakeExecution:
        """Records an attempt."""
        execution = FakeExecution(on_complete)
        self.attempts.append((attempt, execution))
        return execution

    def cancel(self, execution: FakeExecution) -> None:
        """Records a cancel."""
        self.cancelled.append(execution)


class ServerObserver(CountingObserver):
    """An observer whose node has a given version of the protocol."""

    def __init__(self, protocol: int) -> None:
        super().__init__()
        self._protocol = protocol

    def build_state(self) -> frames.NodeState:
        """Builds a state that names the version."""
        return msgspec.structs.replace(build_node_state(), protocol=self._protocol)


class Pair:
    """A peer, and the node that it stands for.

    :ivar observer: observer of the peer.
    :ivar results: results by the request ID of their attempts.
    :ivar incoming: connections that the node accepted.
    """

    def __init__(self, protocol: int) -> None:
        self.loop = asyncio.get_running_loop()
        self.endpoint = FakeEndpoint()
        self.budget = body_budget.BodyBudget(BUDGET_BYTES)
        self.server = peer_server.PeerServer(
            self.loop, self.endpoint, ServerObserver(protocol), self.budget
        )
        self.incoming: list[peer_server.IncomingConnection] = []
        self.results: dict[bytes, attempts.AttemptResult] = {}

    async def start(self) -> None:
        """Connects the peer to the node."""
        listener = await self.loop.create_server(self._accept, "127.0.0.1", 0)
        port = listener.sockets[0].getsockname()[1]
        hello = frames.Hello(frames.PROTOCOL_VERSION, "127.0.0.1:9", "z", "boot")
        self.observer = CountingObserver()
        self.peer = connections.Peer(
            self.loop,
            f"127.0.0.1:{port}",
            "z",
            hello,
            self.observer,
            random.Random(1),
        )
        self.peer.tick(self.loop.time())
        await peer_set_test.wait_until(lambda: self.peer.takes_requests)

    def submit(self, request_id: bytes, body: bytes) -> tuple:
        """Sends an attempt."""
        attempt = attempts.Attempt(
            request_id, "r", "pay", 0, False, 5.0, 1.0, b"POST / HTTP/1.1\r\n", body
        )
        return self.peer.submit(
            attempt,
            lambda result: self.results.__setitem__(request_id, result),
            lambda: None,
        )

    async def wait_for_attempts(self, count: int) -> None:
        """Waits until attempts have arrived."""
        await peer_set_test.wait_until(lambda: len(self.endpoint.attempts) >= count)

    def get_ids(self) -> list[bytes]:
        """Returns the request IDs of the attempts in order of arrival."""
        return [attempt.request_id for attempt, _ in self.endpoint.attempts]

    def respond(self, index: int, body: bytes) -> None:
        """Lets the endpoint respond to an attempt."""
        _, execution = self.endpoint.attempts[index]
        execution.on_complete(
            attempts.AttemptResult(
                data.Outcome.ANSWERED, None, 200, b"HTTP/1.1 200 OK\r\n", body, 0.0, 0.0
            )
        )

    def _accept(self) -> peer_server.IncomingConnection:
        connection = peer_server.IncomingConnection(self.server)
        self.incoming.append(connection)
        return connection


def run(
    test: Callable[[Pair], Awaitable[None]], protocol: int = frames.PROTOCOL_VERSION
) -> None:
    """Runs a test with two nodes; all room must have been given back at its end."""

    async def check() -> None:
        pair = Pair(protocol)
        await pair.start()
        await test(pair)
        pair.peer.close()
        await peer_set_test.wait_until(lambda: not pair.budget.used_bytes)
        await peer_set_test.wait_until(lambda: not pair.server.first_connections)

    asyncio.run(asyncio.wait_for(check(), 10.0))


class TestPlacement:
    """A small message must not wait behind a body."""

    def test_connection_by_size(self) -> None:
        async def check(pair: Pair) -> None:
            pair.submit(b"small", SMALL_BODY)
            await pair.wait_for_attempts(1)
            assert len(pair.incoming) == 1
            pair.submit(b"large", LARGE_BODY)
            await pair.wait_for_attempts(2)
            assert len(pair.incoming) == 2
            assert pair.endpoint.attempts[1][0].body == LARGE_BODY
            assert pair.budget.used_bytes >= len(LARGE_BODY)
            # The second connection is no further peer and gets no reports.
            assert len(pair.server._connections) == 1

        run(check)

    def test_body_that_does_not_move_delays_nothing(self) -> None:
        async def check(pair: Pair) -> None:
            pair.submit(b"first", LARGE_BODY)
            await pair.wait_for_attempts(1)
            pair.incoming[1]._transport.pause_reading()
            for number in range(30):
                pair.submit(b"large%d" % number, LARGE_BODY)
            pair.submit(b"small", SMALL_BODY)
            await pair.wait_for_attempts(2)
            assert pair.get_ids() == [b"first", b"small"]
            pair.respond(1, b"ok")
            await peer_set_test.wait_until(lambda: b"small" in pair.results)
            pair.incoming[1]._transport.resume_reading()
            await pair.wait_for_attempts(32)

        run(check)

    def test_former_version_gets_all_on_one_connection(self) -> None:
        async def check(pair: Pair) -> None:
            pair.submit(b"large", LARGE_BODY)
            await pair.wait_for_attempts(1)
            pair.respond(0, LARGE_BODY)
            await peer_set_test.wait_until(lambda: b"large" in pair.results)
            assert len(pair.incoming) == 1

        run(check, protocol=4)

    def test_responses_by_size(self) -> None:
        async def check(pair: Pair) -> None:
            pair.submit(b"upload", LARGE_BODY)
            pair.submit(b"download", SMALL_BODY)
            await pair.wait_for_attempts(2)
            ids = pair.get_ids()
            sent: list[int] = []
            for index, connection in enumerate(pair.incoming):
                original = connection.write

                def write(
                    frame: bytes, index: int = index, original: Callable = original
                ) -> None:
                    sent.append(index)
                    original(frame)

                connection.write = write
            pair.respond(ids.index(b"download"), LARGE_BODY)
            pair.respond(ids.index(b"upload"), SMALL_BODY)
            assert sent == [1, 0]
            await peer_set_test.wait_until(lambda: len(pair.results) == 2)
            assert pair.results[b"download"].body == LARGE_BODY

        run(check)

    def test_large_response_opens_the_connection(self) -> None:
        async def check(pair: Pair) -> None:
            pair.submit(b"download", SMALL_BODY)
            await pair.wait_for_attempts(1)
            pair.respond(0, LARGE_BODY)
            await peer_set_test.wait_until(lambda: len(pair.incoming) == 2)

        run(check)


class TestRoom:
    """Bodies of peers must stay within the common limit and must not block it."""

    def test_frames_wait_for_room(self) -> None:
        async def check(pair: Pair) -> None:
            pair.budget.take(BUDGET_BYTES)
            pair.submit(b"large", LARGE_BODY)
            await peer_set_test.wait_until(lambda: len(pair.incoming) == 2)
            pair.submit(b"small", SMALL_BODY)
            await pair.wait_for_attempts(1)
            assert pair.get_ids() == [b"small"]
            pair.budget.release(BUDGET_BYTES)
            await pair.wait_for_attempts(2)
            pair.respond(0, b"")
            pair.respond(1, b"")
            assert pair.budget.used_bytes == 0

        run(check)


class TestFailures:
    """Nothing is reported as not run that may have run, and nothing is lost."""

    def test_cancel(self) -> None:
        async def check(pair: Pair) -> None:
            pair.submit(b"first", LARGE_BODY)
            await pair.wait_for_attempts(1)
            pair.incoming[1]._transport.pause_reading()
            submitted = [pair.submit(b"l%d" % i, LARGE_BODY) for i in range(30)]
            submitted.append(pair.submit(b"last", LARGE_BODY))
            for connection, number in submitted[:-1]:
                connection.cancel(number)
            pair.incoming[1]._transport.resume_reading()
            await peer_set_test.wait_until(lambda: b"last" in pair.get_ids())
            # What was on its way is cancelled where it arrives, the rest never sent.
            arrived = len(pair.endpoint.attempts)
            assert arrived < 30
            await peer_set_test.wait_until(
                lambda: len(pair.endpoint.cancelled) == arrived - 2
            )

        run(check)

    def test_lost_second_connection(self) -> None:
        async def check(pair: Pair) -> None:
            pair.submit(b"first", LARGE_BODY)
            await pair.wait_for_attempts(1)
            pair.incoming[1]._transport.pause_reading()
            for number in range(30):
                pair.submit(b"large%d" % number, LARGE_BODY)
            pair.incoming[1]._transport.abort()
            await peer_set_test.wait_until(lambda: b"first" in pair.results)
            assert pair.results[b"first"].outcome is data.Outcome.UNKNOWN
            # What was not sent follows on another connection.
            await peer_set_test.wait_until(
                lambda: len(pair.results) + len(pair.endpoint.attempts) == 32
            )
            outcomes = {result.outcome for result in pair.results.values()}
            assert outcomes == {data.Outcome.UNKNOWN}
            assert not set(pair.results) & set(pair.get_ids()[1:])
            assert pair.peer.connected

        run(check)

    def test_lost_result(self) -> None:
        """An attempt would have no result if that is lost with another connection."""

        async def check(pair: Pair) -> None:
            pair.submit(b"upload", LARGE_BODY)
            pair.submit(b"answered", SMALL_BODY)
            pair.submit(b"lost", SMALL_BODY)
            await pair.wait_for_attempts(3)
            ids = pair.get_ids()
            pair.respond(ids.index(b"answered"), LARGE_BODY)
            await peer_set_test.wait_until(lambda: b"answered" in pair.results)
            pair.respond(ids.index(b"lost"), LARGE_BODY * 100)
            pair.incoming[1]._transport.abort()
            await peer_set_test.wait_until(lambda: b"lost" in pair.results)
            assert pair.results[b"lost"].outcome is data.Outcome.UNKNOWN
            assert pair.results[b"answered"].outcome is data.Outcome.ANSWERED
            assert pair.peer.connected

        run(check)

    def test_invalid_message(self) -> None:
        """It ends the connection that it arrives on, and each side logs it."""

        async def check(pair: Pair) -> None:
            pair.submit(b"first", LARGE_BODY)
            await pair.wait_for_attempts(1)
            invalid_frame = b"\0\0\0\1\0"
            pair.incoming[1].write(invalid_frame)
            await peer_set_test.wait_until(lambda: b"first" in pair.results)
            assert pair.peer.connected
            assert any("invalid message" in event for event in pair.observer.events)
            pair.incoming[0].data_received(invalid_frame)
            assert any("invalid" in each for each in pair.server.observer.events)

        run(check)

    def test_lost_first_connection(self) -> None:
        async def check(pair: Pair) -> None:
            pair.submit(b"first", LARGE_BODY)
            await pair.wait_for_attempts(1)
            pair.incoming[1]._transport.pause_reading()
            for number in range(30):
                pair.submit(b"large%d" % number, LARGE_BODY)
            pair.incoming[0]._transport.abort()
            await peer_set_test.wait_until(lambda: len(pair.results) == 31)
            assert pair.results[b"first"].outcome is data.Outcome.UNKNOWN
            assert pair.results[b"large29"].outcome is data.Outcome.NOT_RUN
            assert len(pair.endpoint.attempts) == 1

        run(check)

    def test_time_that_an_attempt_waited_is_not_given_to_the_endpoint(self) -> None:
        async def check(pair: Pair) -> None:
            pair.server.first_connections.clear()
            pair.submit(b"large", LARGE_BODY)
            time.sleep(0.02)  # nothing is received meanwhile
            await pair.wait_for_attempts(1)
            attempt, _ = pair.endpoint.attempts[0]
            assert attempt.remaining_s <= 5.0 - 0.02

        run(check)

    def test_room_of_a_message_without_a_body_is_given_back(self) -> None:
        async def check(pair: Pair) -> None:
            pair.submit(b"first", LARGE_BODY)
            await pair.wait_for_attempts(1)
            pair.respond(0, b"")
            frame = frames.encode(frames.Cancel(99))
            connection = pair.incoming[1]
            connection.data_received(frame[:-1])
            assert pair.budget.used_bytes > 0
            connection.data_received(frame[-1:])
            assert pair.budget.used_bytes == 0

        run(check)

    def test_room_of_another_message_is_not_taken_for_that_of_a_body(self) -> None:
        """A body would be counted with the length of the message before it."""

        async def check(pair: Pair) -> None:
            pair.submit(b"first", LARGE_BODY)
            await pair.wait_for_attempts(1)
            pair.respond(0, b"")
            cancel = frames.encode(frames.Cancel(99))
            submit = frames.Submit(
                100, b"second", "r", "pay", 0, False, 5000, 1000, b"", LARGE_BODY
            )
            connection = pair.incoming[1]
            connection.data_received(cancel[:-1])
            connection.data_received(cancel[-1:] + frames.encode(submit))
            assert pair.budget.used_bytes >= len(LARGE_BODY)
            pair.respond(1, b"")
            assert pair.budget.used_bytes == 0

        run(check)

    def test_late_end_of_a_former_first_connection(self) -> None:
        """A peer that was removed and added again counts its connections anew."""

        async def check(pair: Pair) -> None:
            (link,) = pair.server.first_connections
            former = peer_server.IncomingConnection(pair.server)
            former._connection_key = link
            former.connection_lost(None)
            pair.submit(b"large", LARGE_BODY)
            await pair.wait_for_attempts(1)
            assert len(pair.incoming) == 2
            assert pair.incoming[0]._paired_connection is pair.incoming[1]

        run(check)

    def test_another_second_connection_replaces_the_former_one(self) -> None:
        """A peer may know earlier than this node that the former one was lost."""

        async def check(pair: Pair) -> None:
            pair.submit(b"first", LARGE_BODY)
            await pair.wait_for_attempts(1)
            former = pair.incoming[1]
            connection, _ = pair.submit(b"small", SMALL_BODY)
            connection._body_connection.close()
            connection._body_connection = None
            # The end of the former one is not noticed before the next one begins.
            former._transport.pause_reading()
            pair.submit(b"second", LARGE_BODY)
            await pair.wait_for_attempts(3)
            assert pair.incoming[0]._paired_connection is pair.incoming[2]
            execution = pair.endpoint.attempts[0][1]
            await peer_set_test.wait_until(lambda: execution in pair.endpoint.cancelled)
            assert pair.incoming[0]._paired_connection is pair.incoming[2]

        run(check)

    def test_node_that_does_not_know_the_first_connection(self) -> None:
        async def check(pair: Pair) -> None:
            pair.server.first_connections.clear()
            pair.submit(b"large", LARGE_BODY)
            await pair.wait_for_attempts(1)
            pair.respond(0, b"ok")
            await peer_set_test.wait_until(lambda: b"large" in pair.results)
            assert pair.results[b"large"].outcome is data.Outcome.ANSWERED

        run(check)


class TestTransfers:
    """A node that stops must know of the bodies that are on their way."""

    def test_frame_that_arrives(self) -> None:
        async def check(pair: Pair) -> None:
            pair.submit(b"first", LARGE_BODY)
            await pair.wait_for_attempts(1)
            assert not pair.server.is_transferring_body
            frame = frames.encode(frames.Cancel(99))
            pair.incoming[1].data_received(frame[:-1])
            assert pair.server.is_transferring_body
            pair.incoming[1].data_received(frame[-1:])
            assert not pair.server.is_transferring_body

        run(check)

    def test_response_that_leaves(self) -> None:
        async def check(pair: Pair) -> None:
            pair.submit(b"first", LARGE_BODY)
            await pair.wait_for_attempts(1)
            # More than the buffers of the kernel hold.
            pair.respond(0, LARGE_BODY * 100)
            assert pair.server.is_transferring_body
            await peer_set_test.wait_until(lambda: b"first" in pair.results)
            await peer_set_test.wait_until(lambda: not pair.server.is_transferring_body)

        run(check)
