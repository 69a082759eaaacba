"""Tests of the choice of the nodes that read configs from the store."""

import random

from .. import data
from . import config_role

FROM_PEERS = data.ConfigReading.FROM_PEERS
FROM_STORE = data.ConfigReading.FROM_STORE
STORE_UNREACHABLE = data.ConfigReading.STORE_UNREACHABLE
PEERS_OF_A_NODE = 84
SETTLING_ROUNDS = 8
MAX_TRYING_RATIO = 0.1  # of the nodes that the store refuses


class Deployment:
    """Nodes that decide on their role in turn.

    :ivar refused: addresses of the nodes that the store refuses.
    """

    def __init__(self, node_count: int, seed: int = 1) -> None:
        rng = random.Random(seed)
        self.readings = {
            f"10.0.{number // 200}.{number % 200}:8300": STORE_UNREACHABLE
            for number in range(node_count)
        }
        self.refused: set[str] = set()
        self.peers = {
            address: rng.sample(sorted(self.readings), min(node_count, PEERS_OF_A_NODE))
            for address in self.readings
        }
        self.rng = rng

    def run_round(self) -> None:
        """Lets every node decide once, in random order."""
        for address in self.rng.sample(sorted(self.readings), len(self.readings)):
            reads = config_role.should_read_store(
                address,
                self.readings[address],
                [
                    config_role.PeerReading(peer, self.readings[peer])
                    for peer in self.peers[address]
                    if peer != address and peer in self.readings
                ],
            )
            if not reads:
                self.readings[address] = FROM_PEERS
            elif address in self.refused:
                self.readings[address] = STORE_UNREACHABLE
            else:
                self.readings[address] = FROM_STORE

    def count(self, reading: data.ConfigReading) -> int:
        """Counts the nodes that get their configs in one way."""
        return sum(each is reading for each in self.readings.values())

    def count_readers_seen(self) -> int:
        """Returns the lowest number of readers among the peers of a node.

        Nodes that read the store themselves, or try to, need none.
        """
        return min(
            sum(self.readings.get(peer) is FROM_STORE for peer in self.peers[address])
            for address, reading in self.readings.items()
            if reading is FROM_PEERS
        )


class TestReaders:
    """Number of readers, and readers seen by each node."""

    def test_readers_do_not_grow_with_the_deployment(self) -> None:
        for node_count in (13, 78, 195, 1000):
            deployment = Deployment(node_count)
            for _ in range(SETTLING_ROUNDS):
                deployment.run_round()
            peer_ratio = min(1, PEERS_OF_A_NODE / node_count)
            readers_per_peer_set = deployment.count(FROM_STORE) * peer_ratio
            assert readers_per_peer_set <= 2 * config_role.SUFFICIENT_READER_COUNT
            assert deployment.count_readers_seen() >= config_role.MIN_READER_COUNT

    def test_small_deployment_is_read_by_all(self) -> None:
        deployment = Deployment(3)
        deployment.run_round()
        assert deployment.count(FROM_STORE) == 3

    def test_lost_readers_are_replaced(self) -> None:
        deployment = Deployment(195)
        for _ in range(SETTLING_ROUNDS):
            deployment.run_round()
        for address, reading in list(deployment.readings.items()):
            if reading is FROM_STORE:
                del deployment.readings[address]
        for _ in range(SETTLING_ROUNDS):
            deployment.run_round()
        assert deployment.count_readers_seen() >= config_role.MIN_READER_COUNT


class TestFirstToTry:
    """Few of the nodes that try to reach the store do so often."""

    def test_number_of_the_first_does_not_grow_with_the_deployment(self) -> None:
        for node_count in (3, 13, 84):
            peers = [
                config_role.PeerReading(f"10.0.0.{number}:8300", STORE_UNREACHABLE)
                for number in range(node_count)
            ]
            firsts = [
                peer.address
                for peer in peers
                if config_role.is_first_to_try(
                    peer.address, [other for other in peers if other is not peer]
                )
            ]
            assert len(firsts) == min(node_count, config_role.MIN_READER_COUNT)

    def test_nodes_that_do_not_try_are_not_waited_for(self) -> None:
        peers = [
            config_role.PeerReading(f"10.0.0.{number}:8300", FROM_PEERS)
            for number in range(84)
        ]
        assert config_role.is_first_to_try("10.0.1.1:8300", peers)


class TestUnreachableStore:
    """Nodes that the store refuses do not go on trying while others read."""

    def test_refused_nodes_stop_reading(self) -> None:
        deployment = Deployment(195)
        deployment.refused = set(deployment.rng.sample(sorted(deployment.readings), 65))
        for _ in range(SETTLING_ROUNDS):
            deployment.run_round()
        trying_count = deployment.count(STORE_UNREACHABLE)
        assert trying_count <= MAX_TRYING_RATIO * len(deployment.refused)
        assert deployment.count_readers_seen() >= config_role.MIN_READER_COUNT

    def test_few_nodes_try_while_the_store_is_down(self) -> None:
        deployment = Deployment(195)
        for _ in range(SETTLING_ROUNDS):
            deployment.run_round()
        deployment.refused = set(deployment.readings)
        for _ in range(SETTLING_ROUNDS):
            deployment.run_round()
        trying_share = deployment.count(STORE_UNREACHABLE) / len(deployment.readings)
        assert 0 < trying_share <= 2 * config_role.MAX_TRYING_COUNT / PEERS_OF_A_NODE
        deployment.refused = set()
        for _ in range(SETTLING_ROUNDS):
            deployment.run_round()
        assert deployment.count_readers_seen() >= config_role.MIN_READER_COUNT
