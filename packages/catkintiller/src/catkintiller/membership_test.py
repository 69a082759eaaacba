"""Tests of membership in a simulated network with simulated time."""

import random

from . import data, membership

STEP_S = 0.05


def build_member(index: int, nonce: str = "") -> data.Member:
    """Builds the member record of a simulated node."""
    address = f"10.0.0.{index}:7000"
    return data.Member(
        f"{index:04d}{nonce}",
        address,
        address,
        "region",
        f"zone-{index % 3}",
        "service",
        f"endpoint-{index}",
        data.MemberState.ALIVE,
        0,
        True,
    )


class SimulatedNetwork:
    """Delivers messages between nodes, except on cut links and to stopped nodes."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.cut_links: set[tuple[str, str]] = set()
        self.stopped: set[str] = set()
        self.nodes: dict[str, membership.Membership] = {}
        for index in range(count):
            self.add_node(build_member(index))

    def add_node(self, own_record: data.Member) -> membership.Membership:
        """Adds a node and starts it."""
        seeds = [build_member(0).address, build_member(1).address]
        node = membership.Membership(own_record, seeds, self.rng)
        self.nodes[own_record.address] = node
        return node

    def run(self, seconds: float) -> None:
        """Advances the simulated time."""
        for _ in range(int(seconds / STEP_S)):
            self.now += STEP_S
            for address, node in list(self.nodes.items()):
                if address not in self.stopped:
                    self._deliver(address, node.tick(self.now, 0))

    def _deliver(self, source: str, messages: list[membership.OutgoingMessage]) -> None:
        queue = [(source, message) for message in messages]
        while queue:
            source, message = queue.pop(0)
            target = self.nodes.get(message.address)
            lost = (
                source,
                message.address,
            ) in self.cut_links or message.address in self.stopped
            if target is None or lost:
                continue
            replies = target.handle_message(self.now, message.message, 0)
            queue.extend((message.address, reply) for reply in replies)

    def collect_live_counts(self) -> set[int]:
        """Collects the numbers of live members in the tables of running nodes."""
        return {
            len(node.get_live_members())
            for address, node in self.nodes.items()
            if address not in self.stopped
        }


class TestJoining:
    """Nodes discover each other from a few seed addresses."""

    def test_all_tables_converge(self) -> None:
        network = SimulatedNetwork(30)
        network.run(5.0)
        assert network.collect_live_counts() == {30}
        assert len({node.digest for node in network.nodes.values()}) == 1

    def test_started_seed_requests_members_despite_a_ping(self) -> None:
        network = SimulatedNetwork(3)
        node = network.nodes[build_member(0).address]
        other = build_member(2)
        ping = data.Ping("n", other, "", 0, 0, ())
        node.handle_message(0.0, ping, 0)
        assert not node.is_synced
        messages = node.tick(1.0, 0)
        assert any(isinstance(s.message, data.MembersRequest) for s in messages)

    def test_replaced_vm_is_a_different_member(self) -> None:
        network = SimulatedNetwork(10)
        network.run(4.0)
        network.add_node(build_member(5, "b"))
        network.run(6.0)
        for node in network.nodes.values():
            assert node.get("0005") is None or (
                node.get("0005").state >= data.MemberState.GONE
            )
            assert node.get("0005b").state is data.MemberState.ALIVE


class TestRestart:
    """A node that starts again at the address of its killed predecessor."""

    def test_predecessor_gets_no_requests(self) -> None:
        network = SimulatedNetwork(5)
        network.run(5.0)
        former = build_member(2)
        restarted = network.add_node(build_member(2, nonce="b"))
        for _ in range(20):
            network.run(STEP_S)
            addresses = [member.incarnation for member in restarted.get_live_members()]
            assert former.incarnation not in addresses

    def test_others_learn_that_the_predecessor_is_gone(self) -> None:
        network = SimulatedNetwork(5)
        network.run(5.0)
        network.add_node(build_member(2, nonce="b"))
        network.run(2.0)
        for address, node in network.nodes.items():
            if address != build_member(2).address:
                live = {member.incarnation for member in node.get_live_members()}
                assert build_member(2).incarnation not in live
                assert build_member(2, nonce="b").incarnation in live


class TestLiveness:
    """Stopped nodes are detected; a failed link causes no false positives."""

    def test_stopped_node_is_gone_at_all_nodes(self) -> None:
        network = SimulatedNetwork(20)
        network.run(4.0)
        network.stopped.add(build_member(7).address)
        network.run(12.0)
        assert network.collect_live_counts() == {19}

    def test_one_failed_link_causes_no_suspicion(self) -> None:
        network = SimulatedNetwork(12)
        network.run(4.0)
        a, b = build_member(3).address, build_member(4).address
        network.cut_links |= {(a, b), (b, a)}
        for node in network.nodes.values():
            node.pop_transitions()
        network.run(30.0)
        assert network.collect_live_counts() == {12}
        changes = [c for n in network.nodes.values() for c in n.pop_transitions()]
        # Indirect probes through other nodes succeed, so no member becomes suspect.
        assert not [c for c in changes if c.member.state is data.MemberState.SUSPECT]

    def test_paused_node_rejoins(self) -> None:
        network = SimulatedNetwork(12)
        network.run(4.0)
        network.stopped.add(build_member(6).address)
        network.run(12.0)
        assert network.collect_live_counts() == {11}
        network.stopped.clear()
        network.run(20.0)
        assert network.collect_live_counts() == {12}

    def test_partitioned_zone_rejoins(self) -> None:
        network = SimulatedNetwork(18)
        network.run(4.0)
        zone = {build_member(i).address for i in range(18) if i % 3 == 2}
        other_zones = {build_member(i).address for i in range(18)} - zone
        network.cut_links = {(x, y) for x in zone for y in other_zones}
        network.cut_links |= {(y, x) for x, y in network.cut_links}
        network.run(15.0)
        assert network.collect_live_counts() == {6, 12}
        network.cut_links = set()
        network.run(30.0)
        assert network.collect_live_counts() == {18}

    def test_stale_record_does_not_revive_a_member_that_left(self) -> None:
        network = SimulatedNetwork(8)
        network.run(4.0)
        leaving_node = network.nodes[build_member(5).address]
        leaving_node.update_own_record(state=data.MemberState.LEFT, accepting=False)
        network.run(4.0)
        stale_record = build_member(5)
        for node in network.nodes.values():
            if node is not leaving_node:
                page = data.MembersPage(
                    node.own_record, (stale_record._replace(beat=9),)
                )
                node.handle_message(network.now, page, 0)
                assert node.get("0005").state is data.MemberState.LEFT
