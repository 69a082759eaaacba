"""Membership driven by stand-ins: no sockets, time given."""

import random

from . import data, membership

STEP_S = 0.05


def make_me(index: int, nonce: str = "") -> data.Member:
    """Makes the member record of a simulated node."""
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


class Net:
    """Delivers messages between nodes, but for those that are cut."""

    def __init__(self, count: int, seed: int = 1) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.cut: set[tuple[str, str]] = set()
        self.silent: set[str] = set()
        self.nodes: dict[str, membership.Membership] = {}
        for index in range(count):
            self.add(make_me(index))

    def add(self, me: data.Member) -> membership.Membership:
        """Starts a node."""
        seeds = [make_me(0).address, make_me(1).address]
        node = membership.Membership(me, seeds, self.rng)
        self.nodes[me.address] = node
        return node

    def run(self, seconds: float) -> None:
        """Lets time pass."""
        for _ in range(int(seconds / STEP_S)):
            self.now += STEP_S
            for address, node in list(self.nodes.items()):
                if address not in self.silent:
                    self._deliver(address, node.tick(self.now, 0))

    def _deliver(self, source: str, sends: list[membership.OutgoingMessage]) -> None:
        queue = [(source, send) for send in sends]
        while queue:
            source, send = queue.pop(0)
            target = self.nodes.get(send.address)
            lost = (source, send.address) in self.cut or send.address in self.silent
            if target is None or lost:
                continue
            replies = target.handle_message(self.now, send.message, 0)
            queue.extend((send.address, reply) for reply in replies)

    def count_known(self) -> set[int]:
        """Counts the living members that each speaking node knows."""
        return {
            len(node.get_live_members())
            for address, node in self.nodes.items()
            if address not in self.silent
        }


class TestJoining:
    """Nodes find each other from a few addresses."""

    def test_everyone_knows_everyone(self) -> None:
        net = Net(30)
        net.run(5.0)
        assert net.count_known() == {30}
        assert len({node.digest for node in net.nodes.values()}) == 1

    def test_started_seed_asks_even_if_it_heard_of_others(self) -> None:
        net = Net(3)
        node = net.nodes[make_me(0).address]
        other = make_me(2)
        ping = data.Ping("n", other, "", 0, 0, ())
        node.handle_message(0.0, ping, 0)
        assert not node.is_synced
        sends = node.tick(1.0, 0)
        assert any(isinstance(s.message, data.MembersRequest) for s in sends)

    def test_replaced_vm_is_another_member(self) -> None:
        net = Net(10)
        net.run(4.0)
        net.add(make_me(5, "b"))
        net.run(6.0)
        for node in net.nodes.values():
            assert node.get("0005") is None or (
                node.get("0005").state >= data.MemberState.GONE
            )
            assert node.get("0005b").state is data.MemberState.ALIVE


class TestLiveness:
    """Dead nodes are found; slow ones and lossy links accuse nobody."""

    def test_dead_node_is_gone_everywhere(self) -> None:
        net = Net(20)
        net.run(4.0)
        net.silent.add(make_me(7).address)
        net.run(12.0)
        assert net.count_known() == {19}

    def test_one_lossy_link_accuses_nobody(self) -> None:
        net = Net(12)
        net.run(4.0)
        a, b = make_me(3).address, make_me(4).address
        net.cut |= {(a, b), (b, a)}
        for node in net.nodes.values():
            node.pop_transitions()
        net.run(30.0)
        assert net.count_known() == {12}
        changes = [c for n in net.nodes.values() for c in n.pop_transitions()]
        # The accused answer through a third node, so nobody even suspects them.
        assert not [c for c in changes if c.member.state is data.MemberState.SUSPECT]

    def test_paused_node_comes_back(self) -> None:
        net = Net(12)
        net.run(4.0)
        net.silent.add(make_me(6).address)
        net.run(12.0)
        assert net.count_known() == {11}
        net.silent.clear()
        net.run(20.0)
        assert net.count_known() == {12}

    def test_cut_zone_heals(self) -> None:
        net = Net(18)
        net.run(4.0)
        zone = {make_me(i).address for i in range(18) if i % 3 == 2}
        rest = {make_me(i).address for i in range(18)} - zone
        net.cut = {(x, y) for x in zone for y in rest}
        net.cut |= {(y, x) for x, y in net.cut}
        net.run(15.0)
        assert net.count_known() == {6, 12}
        net.cut = set()
        net.run(30.0)
        assert net.count_known() == {18}

    def test_left_member_stays_left(self) -> None:
        net = Net(8)
        net.run(4.0)
        leaver = net.nodes[make_me(5).address]
        leaver.update_own_record(state=data.MemberState.LEFT, accepting=False)
        net.run(4.0)
        stale = make_me(5)
        for node in net.nodes.values():
            if node is not leaver:
                page = data.MembersPage(node.own_record, (stale._replace(beat=9),))
                node.handle_message(net.now, page, 0)
                assert node.get("0005").state is data.MemberState.LEFT
