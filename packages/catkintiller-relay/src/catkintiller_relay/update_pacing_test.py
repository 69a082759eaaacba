"""Tests of sparse updates of the admission control."""

import types

from . import data, update_pacing
from .membership import peer_server
from .routing import admission, call_graph, load_shedder

SERVICE = "stock"
SLOTS = 100.0
MANY = peer_server.MAX_FULL_ROUND_COUNT + 1
CALL_INTERVAL_S = 0.1
ROUTE = data.Route(
    "look", "", "/", data.RequestKind.IDEMPOTENT, (), 2.0, 0.5, max_attempts=2, rank=1
)


class FakeEndpoints:
    """Endpoints of one service.

    :ivar peer_slots: demand at the peers.
    :ivar utilization: utilization of the service, as it is known at each call.
    :ivar update_count: number of updates so far.
    """

    def __init__(self) -> None:
        self.peer_slots = 10.0
        self.utilization = 0.2
        self.slots = SLOTS
        self.update_count = 0

    def get_connected_peers(self) -> list:
        """Returns nothing: the other methods do not look at peers."""
        return []

    def estimate_peer_demand(self, now: float, connected: list) -> dict:
        """Returns the demand at the peers."""
        self.update_count += 1
        return {SERVICE: {1: self.peer_slots}}

    def compute_occupancies_s(self, now: float, connected: list) -> dict:
        """Returns the time for which a request holds a slot."""
        return {(SERVICE, ROUTE.name): 1.0}

    def get_loads(self, connected: list) -> dict:
        """Returns slots and utilization."""
        return {SERVICE: (self.slots, self.utilization)}

    def get_highest_rank_utilizations(self) -> dict:
        """Returns nothing, like a directory of nodes of an older version."""
        return {}

    def has_utilization_above(self, limit: float) -> bool:
        """Returns whether the utilization is above a limit."""
        return self.utilization > limit


class PacedNode:
    """Admission control that is called every tenth of a second."""

    def __init__(self, connection_count: int = MANY) -> None:
        self.endpoints = FakeEndpoints()
        self.control = admission.AdmissionController(
            self.endpoints, call_graph.CallGraph()
        )
        server = types.SimpleNamespace(connection_count=connection_count)
        self._pacer = update_pacing.UpdatePacer(self.control, server)
        self._now = 0.0

    def call(self, count: int = 1) -> int:
        """Calls the pacer and returns the number of updates."""
        previous_count = self.endpoints.update_count
        for _ in range(count):
            self._now += CALL_INTERVAL_S
            self._pacer.run(self._now, CALL_INTERVAL_S)
        return self.endpoints.update_count - previous_count

    def become_quiet(self) -> None:
        """Calls the pacer until it has just updated and may wait."""
        while not self.call() or not self.control.is_quiet:
            pass

    def admit(self, count: int) -> int:
        """Offers requests and returns how many were admitted."""
        return sum(self.control.admit_request(ROUTE, SERVICE, 1) for _ in range(count))


class TestFrequency:
    """Updates are sparse only among many connections and far from limits."""

    def test_quiet_node_among_many(self) -> None:
        testbed = PacedNode()
        testbed.become_quiet()
        assert testbed.call(30) == 10

    def test_few_connections_are_served_as_before(self) -> None:
        testbed = PacedNode(peer_server.MAX_FULL_ROUND_COUNT)
        assert testbed.call(30) == 30

    def test_utilization_above_half(self) -> None:
        testbed = PacedNode()
        testbed.endpoints.utilization = load_shedder.QUIET_UTILIZATION
        testbed.call(3)
        assert testbed.call(30) == 30

    def test_rounding_of_shares_is_no_limit(self) -> None:
        """The share of some demands is below 1 by rounding only."""
        testbed = PacedNode()
        testbed.become_quiet()
        for step in range(100):
            testbed.endpoints.peer_slots = 10.0 + step / 7
            testbed.call(3)
        assert testbed.call(30) == 10


class TestBeginningLimit:
    """A limit that begins while updates are sparse must not be missed."""

    def test_demand_at_this_node(self) -> None:
        """All requests may enter at one node, of which the others know nothing."""
        testbed = PacedNode()
        testbed.become_quiet()
        testbed.admit(1000)
        assert testbed.call() == 1
        assert testbed.control.get_admitted_shares()
        assert testbed.call(10) == 10

    def test_demand_at_the_peers(self) -> None:
        testbed = PacedNode()
        testbed.become_quiet()
        testbed.endpoints.peer_slots = 3 * SLOTS
        calls = round(update_pacing.SPARSE_INTERVAL_S / CALL_INTERVAL_S)
        assert testbed.call(calls) >= 1
        assert testbed.control.get_admitted_shares()
        assert testbed.call(10) == 10
        assert testbed.admit(300) < 150

    def test_overloaded_endpoint(self) -> None:
        testbed = PacedNode()
        testbed.become_quiet()
        testbed.endpoints.utilization = 1.4
        assert testbed.call(10) == 10

    def test_lost_capacity(self) -> None:
        testbed = PacedNode()
        testbed.become_quiet()
        testbed.endpoints.slots = 5.0
        calls = round(update_pacing.SPARSE_INTERVAL_S / CALL_INTERVAL_S)
        testbed.call(calls)
        assert testbed.control.get_admitted_shares()

    def test_demand_is_averaged_over_the_whole_time(self) -> None:
        """Elapsed time that is lost would multiply the measured demand."""
        testbed = PacedNode()
        for _ in range(60):
            testbed.admit(1)
            testbed.call()
        assert abs(testbed.control.get_demand()[0] - 1 / CALL_INTERVAL_S) < 1.5
