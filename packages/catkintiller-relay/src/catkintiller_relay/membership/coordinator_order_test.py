"""Tests of the candidates for the quotas' coordinator."""

from . import config_role, coordinator_order

OWN_ADDRESS = "10.0.0.9:1"


class FakePeer:
    """A peer that may be connected and suspect."""

    handles_quotas = True

    def __init__(self) -> None:
        self.connected = True
        self.suspect = False

    def is_suspect(self, now: float) -> bool:
        """Returns whether its node does not reply."""
        return self.suspect


class TestCandidates:
    """The sorted addresses are kept, but must follow the peers."""

    def setup_method(self) -> None:
        self.order = coordinator_order.CoordinatorOrder(OWN_ADDRESS)
        self.peers = {f"10.0.0.{number}:1": FakePeer() for number in range(6)}

    def get_expected(self) -> list[str]:
        """Returns this node and the peers that can coordinate, sorted anew."""
        usable = [
            address
            for address, peer in self.peers.items()
            if peer.connected and not peer.suspect
        ]
        return sorted([*usable, OWN_ADDRESS], key=config_role.get_position)

    def test_peers_come_and_go(self) -> None:
        assert self.order.get_candidates(0.0, {}) == [OWN_ADDRESS]
        assert self.order.get_candidates(0.0, self.peers) == self.get_expected()
        self.peers["10.0.0.77:1"] = FakePeer()
        assert self.order.get_candidates(0.0, self.peers) == self.get_expected()
        del self.peers["10.0.0.2:1"]
        assert self.order.get_candidates(0.0, self.peers) == self.get_expected()

    def test_peer_that_is_replaced(self) -> None:
        """The new peer at the address counts, not the one that was there before."""
        self.order.get_candidates(0.0, self.peers)
        self.peers["10.0.0.3:1"] = FakePeer()
        self.peers["10.0.0.3:1"].connected = False
        candidates = self.order.get_candidates(0.0, self.peers)
        assert "10.0.0.3:1" not in candidates
        assert candidates == self.get_expected()

    def test_suspect_peer(self) -> None:
        self.order.get_candidates(0.0, self.peers)
        self.peers["10.0.0.4:1"].suspect = True
        assert self.order.get_candidates(0.0, self.peers) == self.get_expected()
