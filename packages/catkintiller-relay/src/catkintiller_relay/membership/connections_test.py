"""Tests of what a node knows about the endpoint beside a peer."""

import asyncio
import random
from collections.abc import Callable
from unittest import mock

import msgspec

from . import connections, frames, peer_set_test
from .frames_test import CountingObserver, build_node_state


class TestEndpoint:
    """What follows from a node state must not outlast the state or the connection."""

    def test_it_follows_the_states(self) -> None:
        async def check() -> None:
            peer, _ = await connect_peer()
            assert not peer.takes_requests
            state = build_node_state()
            peer.handle_message(state)
            assert peer.accepting and peer.takes_requests and not peer.lame_duck
            duck = msgspec.structs.replace(state, accepting=False, lame_duck=True)
            peer.handle_message(duck)
            assert peer.lame_duck and peer.takes_requests and not peer.accepting
            peer.handle_message(msgspec.structs.replace(state, accepting=False))
            assert not peer.takes_requests
            peer.close()

        peer_set_test.run(check)

    def test_endpoint_that_left_is_not_used_again(self) -> None:
        async def check() -> None:
            peer, _ = await connect_peer()
            state = build_node_state()
            peer.handle_message(msgspec.structs.replace(state, leaving=True))
            assert not peer.takes_requests
            # The node has restarted and does not know that its endpoint leaves.
            peer.handle_message(state)
            assert not peer.accepting and not peer.takes_requests
            peer.handle_message(msgspec.structs.replace(state, start_ms=5))
            assert peer.accepting and peer.takes_requests
            peer.close()

        peer_set_test.run(check)

    def test_lost_connection(self) -> None:
        async def check() -> None:
            peer, server = await connect_peer()
            peer.handle_message(build_node_state())
            assert peer.takes_requests
            server.writer.close()
            await peer_set_test.wait_until(lambda: not peer.connected)
            assert not peer.accepting and not peer.takes_requests
            peer.close()

        peer_set_test.run(check)


class TestConnecting:
    """A peer that cannot be connected must be noticed and tried again later."""

    def test_connection_that_is_lost_at_once(self) -> None:
        """It would count as connected, and the peer would be left out for a second."""

        async def check() -> None:
            loop = asyncio.get_running_loop()
            peer = build_peer("127.0.0.1:9")

            async def connect(create: Callable, host: str, port: int) -> tuple:
                connection = create()
                connection.connection_lost(None)
                return None, connection

            with mock.patch.object(loop, "create_connection", connect):
                peer.tick(loop.time())
                await peer_set_test.wait_until(lambda: not peer._tasks)
            assert peer.is_suspect(loop.time())
            assert peer.unreachable_since is not None
            assert not peer._connecting

        peer_set_test.run(check)

    def test_address_that_is_none(self) -> None:
        """It would be tried ten times per second without end."""

        async def check() -> None:
            loop = asyncio.get_running_loop()
            for address in ("", "127.0.0.1:x", "127.0.0.1:99999"):
                peer = build_peer(address)
                peer.tick(loop.time())
                await peer_set_test.wait_until(lambda peer=peer: not peer._tasks)
                assert peer.unreachable_since is not None
                assert not peer._connecting

        peer_set_test.run(check)


class TestLoadReport:
    """Figures follow each load report, not only the rarer node states."""

    def test_utilization_by_the_highest_rank_follows_reports(self) -> None:
        async def check() -> None:
            peer, _ = await connect_peer()
            peer.handle_message(build_node_state())
            report = frames.LoadReport(0, 0, 0, 700, [], highest_rank_utilization=300)
            peer.handle_message(report)
            assert peer.highest_rank_utilization == 0.3
            older_version = frames.LoadReport(0, 0, 0, 700, [])
            peer.handle_message(older_version)
            assert peer.highest_rank_utilization is None
            peer.close()

        peer_set_test.run(check)


class TestSlotDemand:
    """Demand that is not built anew must still follow reports and states."""

    def test_it_follows_figures_and_keys(self) -> None:
        async def check() -> None:
            peer, _ = await connect_peer()
            state = build_node_state()
            first = frames.LoadReport(0, 0, 0, 700, [], slot_demand=[5, 7])
            keys = [("pay", 0), ("pay", 1)]
            peer.handle_message(
                msgspec.structs.replace(state, demand_keys=keys, load_report=first)
            )
            known = peer.slot_demand
            assert known == {("pay", 0): 5, ("pay", 1): 7}
            peer.handle_message(msgspec.structs.replace(first, slot_demand=[5, 7]))
            assert peer.slot_demand is known
            peer.handle_message(msgspec.structs.replace(first, slot_demand=[5, 8]))
            assert peer.slot_demand == {("pay", 0): 5, ("pay", 1): 8}
            assert known == {("pay", 0): 5, ("pay", 1): 7}
            # The node has restarted and names the same figures in another order.
            other = msgspec.structs.replace(first, slot_demand=[5, 8])
            peer.handle_message(
                msgspec.structs.replace(
                    state, demand_keys=keys[::-1], load_report=other
                )
            )
            assert peer.slot_demand == {("pay", 1): 5, ("pay", 0): 8}
            peer.close()

        peer_set_test.run(check)


class TestSilence:
    """A long interval of reports must neither cause probes nor delay suspicion."""

    INTERVAL_MS = 1750

    def test_late_report_of_many_connections_is_awaited(self) -> None:
        """Seven rounds begin later than announced by more than the fixed margin.

        Each probe costs a request and a report, so the probes would replace the reports
        that are saved.
        """

        async def check() -> None:
            peer, sent_at = await self.connect()
            connection = peer._connection
            interval_s = self.INTERVAL_MS / 1000
            peer.tick(sent_at + interval_s + 2 * connections.IDLE_PROBE_MARGIN_S)
            assert connection.probed_at is None
            peer.tick(sent_at + 1.2 * interval_s)
            assert connection.probed_at is not None
            peer.close()

        peer_set_test.run(check)

    def test_silent_peer_with_requests_is_suspect_within_a_second(self) -> None:
        """The node that sends to it must not wait for the time of the next report."""

        async def check() -> None:
            peer, sent_at = await self.connect()
            peer._connection.outstanding[1] = mock.Mock()
            for tick in range(1, 10):
                peer.tick(sent_at + tick / 10)
            assert peer.is_suspect(sent_at + 1.0)
            peer._connection.outstanding.clear()
            peer.close()

        peer_set_test.run(check)

    async def connect(self) -> tuple[connections.Peer, float]:
        """Returns a peer that has announced the interval, and the time of its bytes."""
        peer, _ = await connect_peer()
        state = build_node_state()
        report = msgspec.structs.replace(
            state.load_report, interval_ms=self.INTERVAL_MS
        )
        peer.handle_message(msgspec.structs.replace(state, load_report=report))
        return peer, peer._connection.last_received_at


async def connect_peer() -> tuple[connections.Peer, peer_set_test.SilentServer]:
    """Connects to a node that has not sent its state yet."""
    loop = asyncio.get_running_loop()
    server = peer_set_test.SilentServer()
    await server.start()
    peer = build_peer(f"127.0.0.1:{server.port}")
    peer.tick(loop.time())
    await peer_set_test.wait_until(lambda: server.writer and peer.connected)
    return peer, server


def build_peer(address: str) -> connections.Peer:
    """Builds a peer that is not connected."""
    loop = asyncio.get_running_loop()
    hello = frames.Hello(frames.PROTOCOL_VERSION, "127.0.0.1:9", "z", "boot")
    return connections.Peer(
        loop, address, "z", hello, CountingObserver(), random.Random(1)
    )
