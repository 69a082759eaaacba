"""Tests of the members that a node knows and of its connections to some of them."""

import asyncio
import random
from collections.abc import Awaitable, Callable

import msgspec

from .. import data, node_test
from ..ingress import body_budget
from ..routing import subsetting
from . import connections, frames, peer_server, peer_set
from .frames_test import CountingObserver, build_node_state

CONNECT_WAIT_S = 5.0
UNUSED_PORT = 1


class RecordingObserver(CountingObserver):
    """Records the nodes that introduce themselves and the peers that are removed."""

    def __init__(self) -> None:
        super().__init__()
        self.introduced: list[str] = []
        self.removed: list[str] = []

    def handle_hello(self, hello: frames.Hello) -> None:
        """Records the address of the sender."""
        self.introduced.append(hello.address)

    def handle_peer_removed(self, address: str) -> None:
        """Records the address of the peer."""
        self.removed.append(address)


def build_peer_set(observer: RecordingObserver, port: int = 9) -> peer_set.PeerSet:
    """Builds the peer set of a node in zone-1."""
    address = f"127.0.0.1:{port}"
    settings = node_test.build_settings()._replace(
        inbound=address, service="shop", zone="zone-1"
    )
    hello = frames.Hello(frames.PROTOCOL_VERSION, address, "zone-1", "boot", "shop")
    loop = asyncio.get_running_loop()
    return peer_set.PeerSet(loop, settings, hello, observer, random.Random(1))


def build_unreachable_member(number: int, service: str = "pay") -> subsetting.Member:
    """Builds a member where nothing listens."""
    return subsetting.Member(f"127.0.1.{number}:{UNUSED_PORT}", "zone-2", service)


def build_state(service: str) -> frames.NodeState:
    """Builds the state of a node beside an endpoint of a service."""
    return msgspec.structs.replace(build_node_state(), service=service)


async def wait_until(condition: Callable[[], bool]) -> None:
    """Waits until a condition holds.

    :raises TimeoutError: if it does not hold in time.
    """

    async def poll() -> None:
        while not condition():
            await asyncio.sleep(0.01)

    await asyncio.wait_for(poll(), CONNECT_WAIT_S)


def run(test: Callable[[], Awaitable[None]]) -> None:
    """Runs a test that needs an event loop."""
    asyncio.run(test())


class TestMembers:
    """Members come from the store, from introductions and from node states."""

    def test_peers_are_bounded(self) -> None:
        async def check() -> None:
            peers = build_peer_set(RecordingObserver())
            for number in range(200):
                peers.add_member(build_unreachable_member(number))
            peers.tick(asyncio.get_running_loop().time())
            assert peers.member_count == 200
            assert len(peers.peers) == subsetting.SUBSET_SIZE
            assert peers.get_sampled_ratio("pay") == 200 / subsetting.SUBSET_SIZE
            peers.close()

        run(check)

    def test_sampled_ratio_follows_members_and_peers(self) -> None:
        async def check() -> None:
            peers = build_peer_set(RecordingObserver())
            now = asyncio.get_running_loop().time()
            assert peers.get_sampled_ratio("pay") == 1.0
            for number in range(48):
                peers.add_member(build_unreachable_member(number))
            assert peers.get_sampled_ratio("pay") == 1.0
            peers.tick(now)
            assert peers.get_sampled_ratio("pay") == 2.0
            for number in range(48, 72):
                peers.add_member(build_unreachable_member(number))
            assert peers.get_sampled_ratio("pay") == 3.0
            outside = [
                member
                for member in peers.get_members()
                if member.address not in peers.peers
            ]
            for member in outside[:24]:
                peers.add_member(member._replace(service="stock"))
            assert peers.get_sampled_ratio("pay") == 2.0
            assert peers.get_sampled_ratio("stock") == 1.0
            for peer in list(peers.peers.values()):
                peer.unreachable_since = now
            peers.tick(now + 2 * peer_set.REMOVE_AFTER_S)
            # All peers of this service were removed; the others took their places.
            assert peers.get_sampled_ratio("pay") == 1.0
            assert peers.member_count == 48
            peers.close()

        run(check)

    def test_live_count_follows_connections(self) -> None:
        async def check() -> None:
            loop = asyncio.get_running_loop()
            server = SilentServer()
            await server.start()
            peers = build_peer_set(RecordingObserver())
            address = f"127.0.0.1:{server.port}"
            peers.add_member(subsetting.Member(address, "zone-1", "pay"))
            peers.add_member(build_unreachable_member(1))
            peers.add_member(build_unreachable_member(2, "stock"))
            assert peers.estimate_live_count() == 0
            peers.tick(loop.time())
            await wait_until(lambda: peers.peers[address].connected)
            assert peers.estimate_live_count() == 1
            peers.add_member(subsetting.Member(address, "zone-1", "stock"))
            assert peers.estimate_live_count() == 1
            server.writer.close()
            await wait_until(lambda: not peers.peers[address].connected)
            assert peers.estimate_live_count() == 0
            peers.close()

        run(check)

    def test_member_that_stopped_counts_again_when_it_returns(self) -> None:
        """Guards against a check of the peers that leaves out those that return."""

        async def check() -> None:
            loop = asyncio.get_running_loop()
            server = SilentServer()
            await server.start()
            peers = build_peer_set(RecordingObserver())
            address = f"127.0.0.1:{server.port}"
            peers.add_member(subsetting.Member(address, "zone-1", "pay"))
            peers.tick(loop.time())
            peer = peers.peers[address]
            await wait_until(lambda: peer.connected)
            peers.tick(loop.time())
            assert peers.coordinator_order.member_count == 2
            stopped = msgspec.structs.replace(build_state("pay"), stopping=True)
            peer.handle_message(stopped)
            server.writer.close()
            await wait_until(lambda: not peer.connected)
            peers.tick(loop.time())
            assert peers.coordinator_order.member_count == 1
            await wait_until(lambda: peers.tick(loop.time()) or peer.connected)
            peers.tick(loop.time())
            assert peers.coordinator_order.member_count == 2
            peers.close()

        run(check)

    def test_node_is_no_member_of_its_own(self) -> None:
        async def check() -> None:
            peers = build_peer_set(RecordingObserver())
            peers.add_member(subsetting.Member("127.0.0.1:9", "zone-1", "shop"))
            assert peers.member_count == 0

        run(check)

    def test_invalid_address_is_ignored(self) -> None:
        async def check() -> None:
            peers = build_peer_set(RecordingObserver())
            for address in ("", "host", ":80", "host:", "host:-1", "host:99999", "a:x"):
                peers.add_member(subsetting.Member(address, "zone-1", "pay"))
            assert peers.member_count == 0

        run(check)

    def test_address_that_another_service_uses_now(self) -> None:
        async def check() -> None:
            peers = build_peer_set(RecordingObserver())
            peers.add_member(build_unreachable_member(1, "pay"))
            peers.add_member(build_unreachable_member(1, "stock"))
            members = peers.get_members()
            assert [member.service for member in members] == ["stock"]

        run(check)

    def test_unreachable_peers_are_replaced_and_later_removed(self) -> None:
        async def check() -> None:
            observer = RecordingObserver()
            peers = build_peer_set(observer)
            loop = asyncio.get_running_loop()
            for number in range(60):
                peers.add_member(build_unreachable_member(number))
            peers.tick(loop.time())
            first = set(peers.peers)
            await wait_until(
                lambda: all(
                    peer.unreachable_since is not None for peer in peers.peers.values()
                )
            )
            peers.tick(loop.time() + 2 * peer_set.UNREACHABLE_AFTER_S)
            assert len(set(peers.peers) - first) >= subsetting.SUBSET_SIZE
            peers.tick(loop.time() + 2 * peer_set.REMOVE_AFTER_S)
            assert first <= set(observer.removed)
            peers.close()

        run(check)


class TestServicePeers:
    """The index of peers by service must not keep peers that went or changed.

    Requests would be sent to an endpoint of another service, or a new one would get
    none.
    """

    def test_it_follows_node_states(self) -> None:
        async def check() -> None:
            peers = build_peer_set(RecordingObserver())
            for number in (1, 2):
                peers.add_member(build_unreachable_member(number))
            peers.tick(asyncio.get_running_loop().time())
            first, second = peers.peers.values()
            assert not peers.get_service_peers("pay")
            first.handle_message(build_state("pay"))
            assert peers.get_service_peers("pay") == {first.address: first}
            second.handle_message(build_state("pay"))
            assert list(peers.get_service_peers("pay").values()) == [first, second]
            first.handle_message(build_state("stock"))
            assert peers.get_service_peers("pay") == {second.address: second}
            assert peers.get_service_peers("stock") == {first.address: first}
            first.handle_message(build_state("pay"))
            assert list(peers.get_service_peers("pay").values()) == [first, second]
            assert not peers.get_service_peers("stock")
            peers.close()

        run(check)

    def test_peer_that_was_removed_and_returns(self) -> None:
        async def check() -> None:
            peers = build_peer_set(RecordingObserver())
            now = asyncio.get_running_loop().time()
            member = build_unreachable_member(1)
            peers.add_member(member)
            peers.tick(now)
            (gone,) = peers.peers.values()
            gone.handle_message(build_state("pay"))
            assert peers.get_service_peers("pay") == {member.address: gone}
            gone.unreachable_since = now
            peers.tick(now + 2 * peer_set.REMOVE_AFTER_S)
            assert not peers.get_service_peers("pay")
            gone.handle_message(build_state("pay"))
            assert not peers.get_service_peers("pay")
            peers.add_member(member)
            peers.tick(now)
            (returned,) = peers.peers.values()
            assert not peers.get_service_peers("pay")
            returned.handle_message(build_state("pay"))
            assert peers.get_service_peers("pay") == {member.address: returned}
            peers.close()

        run(check)

    def test_peer_that_left_the_subset(self) -> None:
        async def check() -> None:
            peers = build_peer_set(RecordingObserver())
            now = asyncio.get_running_loop().time()
            for number in range(subsetting.SUBSET_SIZE):
                peers.add_member(build_unreachable_member(number))
            peers.tick(now)
            for peer in peers.peers.values():
                peer.handle_message(build_state("pay"))
            assert peers.get_service_peers("pay") == peers.peers
            for number in range(100, 200):
                peers.add_member(build_unreachable_member(number))
            before = set(peers.peers)
            peers.tick(now)
            assert before - set(peers.peers)
            known = {
                address: peer
                for address, peer in peers.peers.items()
                if peer.state is not None
            }
            assert peers.get_service_peers("pay") == known
            peers.close()

        run(check)


class TestIntroduction:
    """A new node introduces itself to the members that should connect to it."""

    def test_member_learns_of_a_new_node(self) -> None:
        async def check() -> None:
            loop = asyncio.get_running_loop()
            observer = RecordingObserver()
            server = peer_server.PeerServer(
                loop, None, observer, body_budget.BodyBudget(1_000_000)
            )
            listener = await loop.create_server(
                lambda: peer_server.IncomingConnection(server), "127.0.0.1", 0
            )
            port = listener.sockets[0].getsockname()[1]
            peers = build_peer_set(RecordingObserver(), port=9)
            peers.add_member(subsetting.Member(f"127.0.0.1:{port}", "zone-2", "pay"))
            assert await peers.introduce(set()) == 1
            await wait_until(lambda: observer.introduced == ["127.0.0.1:9"])

        run(check)

    def test_connected_members_are_left_out(self) -> None:
        async def check() -> None:
            peers = build_peer_set(RecordingObserver())
            member = build_unreachable_member(1)
            peers.add_member(member)
            assert await peers.introduce({member.address}) == 0

        run(check)

    def test_only_members_that_select_it(self) -> None:
        own = subsetting.Member("10.0.0.1:8300", "zone-1", "pay")
        service_members = [
            own,
            *(
                subsetting.Member(f"10.1.0.{number}:8300", "zone-1", "pay")
                for number in range(99)
            ),
        ]
        callers = [
            subsetting.Member(f"10.2.0.{number}:8300", "zone-2", "shop")
            for number in range(200)
        ]
        selecting = sum(
            peer_set.is_selected_by(caller, own, service_members) for caller in callers
        )
        mean = len(callers) * subsetting.SUBSET_SIZE / len(service_members)
        assert 0.5 * mean < selecting < 1.5 * mean


class SilentServer:
    """A peer that sends its state and then only what a test tells it to."""

    def __init__(self) -> None:
        self.port = 0
        self.writer: asyncio.StreamWriter | None = None
        self.received: list[frames.Message] = []

    async def start(self) -> None:
        """Starts to listen."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writer = writer
        decoder = frames.FrameDecoder()
        while received := await reader.read(65536):
            self.received += decoder.feed(received)

    def send(self, message: frames.Message) -> None:
        """Sends a message to the node that connected."""
        self.writer.write(frames.encode(message))


class TestInvalidMessages:
    """A message that makes no sense ends the connection, not the process."""

    def test_reply_with_an_unknown_outcome(self) -> None:
        async def check() -> None:
            loop = asyncio.get_running_loop()
            server = SilentServer()
            await server.start()
            observer = CountingObserver()
            hello = frames.Hello(frames.PROTOCOL_VERSION, "127.0.0.1:9", "z", "boot")
            peer = connections.Peer(
                loop, f"127.0.0.1:{server.port}", "z", hello, observer, random.Random()
            )
            peer.tick(loop.time())
            await wait_until(lambda: server.writer is not None and peer.connected)
            server.send(frames.Reply(1, 77, "no such reason", 0, 0, 0, b"", b""))
            await wait_until(lambda: not peer.connected)
            peer.close()

        run(check)

    def test_unknown_way_of_reading_configs(self) -> None:
        async def check() -> None:
            peers = build_peer_set(RecordingObserver())
            peers.add_member(build_unreachable_member(1))
            peers.tick(asyncio.get_running_loop().time())
            (peer,) = peers.peers.values()
            state = CountingObserver().build_state()
            state.config_reading = 99
            peer.handle_message(state)
            assert peer.config_reading is data.ConfigReading.FROM_PEERS
            peers.close()

        run(check)


class TestProbing:
    """A peer is suspect only if it does not reply to a probe."""

    def test_silent_peer(self) -> None:
        async def check() -> None:
            loop = asyncio.get_running_loop()
            server = SilentServer()
            await server.start()
            observer = CountingObserver()
            hello = frames.Hello(frames.PROTOCOL_VERSION, "127.0.0.1:9", "z", "boot")
            peer = connections.Peer(
                loop, f"127.0.0.1:{server.port}", "z", hello, observer, random.Random()
            )
            peer.tick(loop.time())
            await wait_until(lambda: server.writer is not None)
            state = observer.build_state()
            state.protocol = frames.PROTOCOL_VERSION
            server.send(state)
            await wait_until(lambda: peer.accepting)
            last_at = loop.time()
            report_s = peer.report_interval_s
            probe_at = last_at + report_s + 2 * connections.IDLE_PROBE_MARGIN_S
            peer.tick(probe_at)
            await wait_until(
                lambda: any(
                    isinstance(message, frames.LoadRequest)
                    for message in server.received
                )
            )
            assert not peer.is_suspect(probe_at + 0.5 * connections.SUSPECT_AFTER_S)
            assert peer.is_suspect(probe_at + 2 * connections.SUSPECT_AFTER_S)
            server.send(state.load_report)
            await wait_until(lambda: not peer.is_suspect(probe_at + 60.0))
            peer.close()

        run(check)

    def test_announced_interval_is_waited_for(self) -> None:
        async def check() -> None:
            loop = asyncio.get_running_loop()
            server = SilentServer()
            await server.start()
            observer = CountingObserver()
            hello = frames.Hello(frames.PROTOCOL_VERSION, "127.0.0.1:9", "z", "boot")
            peer = connections.Peer(
                loop, f"127.0.0.1:{server.port}", "z", hello, observer, random.Random()
            )
            peer.tick(loop.time())
            await wait_until(lambda: server.writer is not None)
            state = observer.build_state()
            state.load_report.interval_ms = 5_000
            server.send(state)
            await wait_until(lambda: peer.accepting)
            peer.tick(loop.time() + 4.0)
            assert not peer.is_suspect(loop.time() + 60.0)
            peer.close()

        run(check)
