"""Tests of the sums of the rates at which the peers' slots run requests."""

import pytest

from ..membership import frames, frames_test
from . import peer_occupancies

KEY = ("pay", "charge")


def build_state(occupancy_us: int, service: str = "pay") -> frames.NodeState:
    """Builds the state of a node whose endpoint runs one route."""
    state = frames_test.build_node_state()
    state.service = service
    state.route_times = [("charge", 1, occupancy_us)]
    return state


class TestPeerOccupancies:
    """Sums that are kept may be those of former states."""

    def test_harmonic_mean_over_the_endpoints(self) -> None:
        states = [build_state(100_000), build_state(300_000), build_state(1, "stock")]
        rates = peer_occupancies.PeerOccupancies().get_rates(states)
        assert rates[KEY].endpoint_count == 2
        assert rates[KEY].occupancy_s == pytest.approx(0.15)

    def test_replaced_state(self) -> None:
        occupancies = peer_occupancies.PeerOccupancies()
        kept = build_state(100_000)
        occupancies.get_rates([kept, build_state(300_000)])
        rates = occupancies.get_rates([kept, build_state(100_000)])
        assert rates[KEY].occupancy_s == pytest.approx(0.1)

    def test_peers_that_join_and_leave(self) -> None:
        occupancies = peer_occupancies.PeerOccupancies()
        first, second = build_state(100_000), build_state(200_000)
        assert occupancies.get_rates([first])[KEY].endpoint_count == 1
        assert occupancies.get_rates([first, second])[KEY].endpoint_count == 2
        rates = occupancies.get_rates([second])
        assert rates[KEY].occupancy_s == pytest.approx(0.2)
        assert not occupancies.get_rates([])

    def test_rates_of_unchanged_states_are_kept(self) -> None:
        occupancies = peer_occupancies.PeerOccupancies()
        states = [build_state(100_000)]
        rates = occupancies.get_rates(states)
        assert occupancies.get_rates(list(states)) is rates
