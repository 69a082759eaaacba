"""Tests of the directory of endpoints."""

import random
import types

from .. import node_test
from . import endpoint_directory

PEER_COUNT = 20


class FakePeer:
    """A peer of another zone that takes requests."""

    load = 0
    sent_since_report = 0
    usable_slots = 10.0
    own_times_s: dict[str, float] = {}
    load_known_at = 0.0
    takes_requests = True
    zone = "zone-2"
    state = types.SimpleNamespace(lame_duck=False, rate_limit=None)

    def __init__(self, *, is_suspect: bool) -> None:
        self._is_suspect = is_suspect

    def is_suspect(self, now: float) -> bool:
        """Returns whether its node does not reply."""
        return self._is_suspect


def build_directory(*healthy_nodes: str) -> endpoint_directory.EndpointDirectory:
    """Builds a directory of endpoints beside suspect nodes, but for some."""
    peers = {
        node: FakePeer(is_suspect=node not in healthy_nodes)
        for node in (f"n{number}" for number in range(PEER_COUNT))
    }
    fake_set = types.SimpleNamespace(get_service_peers=lambda service: peers)
    settings = node_test.build_settings()
    return endpoint_directory.EndpointDirectory(settings, None, fake_set)


class TestSuspectNodes:
    """Endpoints beside suspect nodes are used only if there is no other."""

    def test_sample_of_suspect_nodes_only(self) -> None:
        """Requests were sent to a suspect node while another one was healthy."""
        directory = build_directory("n7")
        for seed in range(20):
            candidates = directory.get_candidates(
                "stock", "find", set(), 0.0, random.Random(seed)
            )
            assert [each.node for each in candidates] == ["n7"]

    def test_all_nodes_are_suspect(self) -> None:
        directory = build_directory()
        candidates = directory.get_candidates(
            "stock", "find", set(), 0.0, random.Random(1)
        )
        assert candidates


class LoadedPeer:
    """A peer whose endpoint has a utilization and perhaps a rate limit."""

    is_endpoint_open = True

    def __init__(
        self, service: str, utilization: float, usable_slots: float | None = None
    ) -> None:
        self.utilization = utilization
        self.usable_slots = 10.0 if usable_slots is None else usable_slots
        self.state = types.SimpleNamespace(
            service=service,
            concurrency_limit=10,
            rate_limit=None if usable_slots is None else 5.0,
        )


class TestLoads:
    """Slots and utilization of the services."""

    def test_sum_over_the_endpoints(self) -> None:
        """A rate limit must reduce the slots, and a subset must be extrapolated."""
        fake_set = types.SimpleNamespace(
            get_sampled_ratio={"stock": 1.0, "pay": 2.0, "gift": 1.0}.get
        )
        local = types.SimpleNamespace(accepting=False, lame_duck=False)
        directory = endpoint_directory.EndpointDirectory(
            node_test.build_settings(), local, fake_set
        )
        closed = LoadedPeer("pay", 0.9)
        closed.is_endpoint_open = False
        peers = [
            LoadedPeer("stock", 0.5),
            LoadedPeer("pay", 0.4),
            LoadedPeer("stock", 9.0, usable_slots=2.0),
            LoadedPeer("gift", 0.4, usable_slots=0.0),
            closed,
        ]
        loads = directory.get_loads(peers)
        assert loads["pay"] == (20.0, 0.4)
        assert loads["stock"] == (12.0, (5.0 + 2.0 * 1.5) / 12.0)
        assert loads["gift"] == (endpoint_directory.MIN_COUNTED_SLOTS, 0.4)


class ReportingPeer:
    """A peer that has reported its demand.

    :ivar reported_at: time of its last report, in seconds.
    """

    handles_load_requests = True

    def __init__(self, number: int, slots: int) -> None:
        self.address = f"n{number}"
        self.slot_demand = {("stock", 0): slots}
        self.reported_at = 0.0


class TestPeerDemand:
    """Peers that report less often than their reports count are only a sample."""

    REPORT_INTERVAL_S = 1.75

    def test_estimate_is_unbiased_with_rare_reports(self) -> None:
        """Reports that are too old must be replaced by the mean of the others.

        Were they left out, a third of the demand would not be seen and too many
        requests would be admitted.
        """
        rng = random.Random(3)
        peers = [ReportingPeer(number, rng.randrange(1000)) for number in range(68)]
        expected_slots = sum(peer.slot_demand["stock", 0] for peer in peers) / 1000
        fake_set = types.SimpleNamespace(estimate_live_count=len)
        directory = endpoint_directory.EndpointDirectory(
            node_test.build_settings(), None, fake_set
        )
        estimates = []
        for step in range(1, 36):
            now = 100.0 + step * self.REPORT_INTERVAL_S / 35
            for number, peer in enumerate(peers):
                phase_s = number / len(peers) * self.REPORT_INTERVAL_S
                peer.reported_at = now - (now + phase_s) % self.REPORT_INTERVAL_S
            demand = directory.estimate_peer_demand(now, peers)
            estimates.append(demand["stock"][0])
        mean_slots = sum(estimates) / len(estimates)
        assert abs(mean_slots / expected_slots - 1.0) < 0.01
        assert max(estimates) < 1.2 * expected_slots
