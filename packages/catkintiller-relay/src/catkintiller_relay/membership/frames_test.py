"""Tests of the messages between nodes and of their framing."""

import asyncio
import random

import pytest

from .. import data
from . import connections, frames

SERIES = [(f"service-{number}", rank) for number in range(4) for rank in range(3)]


def make_state(load: int = 7) -> frames.NodeState:
    """Makes the state of a node in a deployment of four services."""
    pulse = frames.LoadReport(load, 22_000, 1_950, 830, [310] * len(SERIES))
    return frames.NodeState(
        "i-7f3a91c2",
        "service-1",
        "zone-1",
        True,
        False,
        40,
        True,
        12,
        [],
        SERIES,
        pulse,
    )


class TestReader:
    """Whole messages from bytes that come in any pieces."""

    def test_messages_are_whole_however_they_are_cut(self) -> None:
        sent = [make_state(), make_state().load_report, frames.Cancel(5)]
        whole = b"".join(frames.encode(message) for message in sent)
        for size in (1, 3, 64, len(whole)):
            reader = frames.FrameDecoder()
            got = []
            for start in range(0, len(whole), size):
                got += reader.feed(whole[start : start + size])
            assert got == sent

    def test_other_bytes_are_refused(self) -> None:
        with pytest.raises(data.DecodeError):
            frames.FrameDecoder().feed(b"\x00\x00\x00\x02\xc1\xc1")
        with pytest.raises(data.DecodeError):
            frames.FrameDecoder().feed(b"\xff\xff\xff\xff")


class TestPulse:
    """What is told all the time is small."""

    def test_it_takes_under_a_third_of_the_whole_state(self) -> None:
        state = make_state()
        assert len(frames.encode(state.load_report)) * 3 < len(frames.encode(state))

    def test_demand_is_read_in_the_order_of_the_series(self) -> None:
        loop = asyncio.new_event_loop()
        hello = frames.Hello(frames.PROTOCOL_VERSION, "127.0.0.1:1", "zone-1", "boot")
        observer = Observer()
        peer = connections.Peer(
            loop, "127.0.0.1:2", "zone-2", hello, observer, random.Random(1)
        )
        loop.close()
        peer.receive(make_state())
        peer.receive(frames.LoadReport(9, 30_000, 1_000, 1_250, list(range(12))))
        assert peer.load == 9
        assert peer.utilization == 1.25
        assert peer.demand["service-2"] == {0: 6.0, 1: 7.0, 2: 8.0}
        assert observer.states == 1


class Observer(connections.PeerObserver):
    """Counts the states."""

    def __init__(self) -> None:
        self.states = 0

    def receive_state(self, peer: connections.Peer, state: frames.NodeState) -> None:
        """Counts it."""
        self.states += 1

    def receive_hello(self, hello: frames.Hello) -> None:
        """Does nothing."""

    def receive_config(self, reply: frames.ConfigReply) -> None:
        """Does nothing."""

    def get_config(self) -> data.Config | None:
        """Has none."""
        return None

    def make_state(self) -> frames.NodeState:
        """Makes some state."""
        return make_state()

    def note_peer(self, peer: connections.Peer, event: str) -> None:
        """Does nothing."""
