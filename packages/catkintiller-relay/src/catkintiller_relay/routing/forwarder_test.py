"""Tests of the forwarder with peers that reply when the test says so."""

import asyncio
import random
import types
from collections.abc import Callable

from .. import data, node_test
from ..crashes import crash_history
from ..ingress import body_budget, http1, incoming_body
from ..serving import attempts
from ..telemetry import metrics
from . import call_graph, endpoint_selection, forwarder
from .authentication_test import NAMES, ROOT_ROUTE

REJECTED = attempts.AttemptResult(
    data.Outcome.NOT_RUN, data.RefusalReason.ENDPOINT_REFUSED, 0, b"", b"", 0.0, 0.0
)
ANSWERED = attempts.AttemptResult(
    data.Outcome.ANSWERED, None, 200, b"HTTP/1.1 200 OK\r\n", b"", 0.0, 0.0
)


class FakePeer:
    """A peer with an endpoint.

    :ivar sent: handlers of the results and the suspicion of each attempt.
    """

    def __init__(self) -> None:
        self.is_suspect = False
        self.sent: list[tuple[Callable, Callable]] = []

    def submit(
        self, attempt: attempts.Attempt, on_complete: Callable, on_suspect: Callable
    ) -> tuple["FakePeer", int]:
        """Records an attempt."""
        self.sent.append((on_complete, on_suspect))
        return self, len(self.sent)

    def cancel(self, number: int) -> None:
        """Cancels an attempt."""


class FakeDirectory:
    """Directory of the endpoints beside some peers."""

    def __init__(self, **peers: FakePeer) -> None:
        self._peers = peers
        self.occupancy = types.SimpleNamespace(record_choice=lambda *_: None)

    def get_peer(self, address: str) -> FakePeer:
        """Returns a peer."""
        return self._peers[address]

    def get_candidates(
        self, service: str, route: str, tried: set[str], now: float, rng: object = None
    ) -> list[endpoint_selection.Candidate]:
        """Returns the endpoints beside peers that are not suspect, in order."""
        return [
            endpoint_selection.Candidate(node, 0.0, 10.0, 0.03, False, True, 0.0, 0.0)
            for node, peer in self._peers.items()
            if node not in tried and not peer.is_suspect
        ]

    def has_healthy_endpoint(
        self, service: str, route: str, tried: set[str], now: float
    ) -> bool:
        """Returns whether a peer that is not suspect has not been tried."""
        return bool(self.get_candidates(service, route, tried, now))

    def record_result(self, *result: object) -> None:
        """Does nothing."""


class FakeConnection:
    """Connection of a client.

    :ivar statuses: status codes of the responses.
    """

    def __init__(self) -> None:
        self.statuses: list[int] = []

    def reserve_body(self) -> bool:
        """Has room for each body."""
        return True

    def read_body(self) -> None:
        """Does nothing: the test says when a body is complete."""

    def send_response(self, head: bytes, body: bytes) -> None:
        """Records a response of an endpoint."""
        self.statuses.append(int(head.split()[1]))

    def send_status(self, status: int, headers: bytes = b"") -> None:
        """Records a response of the node."""
        self.statuses.append(status)


def build_forwarder(
    loop: asyncio.AbstractEventLoop, directory: FakeDirectory
) -> forwarder.Forwarder:
    """Builds a forwarder with a large retry budget, without a local endpoint."""
    settings = node_test.build_settings()._replace(retry_ratio=100.0)
    graph = call_graph.CallGraph()
    endpoint = types.SimpleNamespace(running_requests=call_graph.RunningRequestIndex())
    built = forwarder.Forwarder(
        loop,
        settings,
        NAMES,
        endpoint,
        directory,
        graph,
        crash_history.CrashHistory(),
        None,
        lambda: True,
        types.SimpleNamespace(reserve_line=lambda *_, **__: False),
        metrics.Metrics(),
        random.Random(1),
    )
    route = ROOT_ROUTE._replace(max_attempts=1)
    limits = data.ClientLimits(1000, 1000, 1.0, 1.0)
    built.set_config(data.Config(1, (route,), ("pay",), limits, b"", ()))
    return built


class TestHedgedAttempt:
    """A node becomes suspect while an attempt is outstanding there."""

    def test_request_is_answered_once_without_an_endpoint_for_the_attempt(self) -> None:
        """The client got 502, and then the response of the suspect node."""
        loop = asyncio.new_event_loop()
        first, second = FakePeer(), FakePeer()
        second.is_suspect = True
        sender = build_forwarder(loop, FakeDirectory(first=first, second=second))
        connection = FakeConnection()
        request = http1.Request(b"GET", b"/root/x", [(b"host", b"a")])
        request.head_received_at = loop.time()
        sender.handle_request(connection, request)
        first.sent[0][0](REJECTED)
        first.is_suspect, second.is_suspect = True, False
        first.sent[1][1]()
        first.sent[1][0](ANSWERED)
        loop.close()
        assert connection.statuses == [200]
        assert sender.pending_count == 0


class TestBlockedBody:
    """A request that crashes endpoints is recognized when its body is complete."""

    def test_place_is_given_back(self) -> None:
        """Blocked uploads used up the share of requests that could run."""
        loop = asyncio.new_event_loop()
        sender = build_forwarder(loop, FakeDirectory())
        withdrawn = []
        sender.admission.withdraw_request = lambda *place: withdrawn.append(place)
        sender._history = types.SimpleNamespace(
            is_empty=False,
            get_standing=lambda *_: crash_history.Standing.BLOCKED,
            get_remaining_block_s=lambda *_: 1.0,
            get_crash_count=lambda *_: 1,
        )
        connection = FakeConnection()
        request = http1.Request(b"POST", b"/root/x", [(b"host", b"a")])
        request.head_received_at = loop.time()
        request.incoming_body = incoming_body.IncomingBody(
            body_budget.BodyBudget(9), 5, 9, expects_continue=False
        )
        sender.check_head(connection, request)
        sender.handle_request(connection, request)
        loop.close()
        assert connection.statuses == [503]
        assert len(withdrawn) == 1
