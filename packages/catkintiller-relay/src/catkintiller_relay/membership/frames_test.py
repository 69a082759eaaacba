"""Tests of the messages between nodes and of their framing."""

import asyncio
import random

import msgspec
import pytest

from .. import data
from . import connections, departure_exchange, frames, peer_observer

DEMAND_KEYS = [(f"service-{number}", rank) for number in range(4) for rank in range(3)]


def build_node_state(load: int = 7) -> frames.NodeState:
    """Builds the state of a node in a deployment of four services."""
    load_report = frames.LoadReport(
        load, 22_000, 1_950, 830, [], 250, [310] * len(DEMAND_KEYS)
    )
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
        DEMAND_KEYS,
        load_report,
    )


class TestFrameDecoder:
    """Decoding of messages from a stream of bytes."""

    def test_messages_are_decoded_from_pieces_of_any_size(self) -> None:
        sent = [build_node_state(), build_node_state().load_report, frames.Cancel(5)]
        encoded = b"".join(frames.encode(message) for message in sent)
        for size in (1, 3, 64, len(encoded)):
            decoder = frames.FrameDecoder()
            decoded = []
            for start in range(0, len(encoded), size):
                decoded += decoder.feed(encoded[start : start + size])
            assert decoded == sent

    def test_invalid_bytes_are_rejected(self) -> None:
        with pytest.raises(data.DecodeError):
            frames.FrameDecoder().feed(b"\x00\x00\x00\x02\xc1\xc1")
        with pytest.raises(data.DecodeError):
            frames.FrameDecoder().feed(b"\xff\xff\xff\xff")


class TestLoadReport:
    """Size and decoding of the frequent message about load."""

    def test_it_takes_under_a_third_of_the_node_state(self) -> None:
        state = build_node_state()
        assert len(frames.encode(state.load_report)) * 3 < len(frames.encode(state))

    def test_demand_is_read_in_the_order_of_the_demand_keys(self) -> None:
        loop = asyncio.new_event_loop()
        hello = frames.Hello(frames.PROTOCOL_VERSION, "127.0.0.1:1", "zone-1", "boot")
        observer = CountingObserver()
        peer = connections.Peer(
            loop, "127.0.0.1:2", "zone-2", hello, observer, random.Random(1)
        )
        loop.close()
        peer.handle_message(build_node_state())
        peer.handle_message(
            frames.LoadReport(
                9, 30_000, 40, 1_250, [], 250, [1_000 * slots for slots in range(12)]
            )
        )
        assert peer.load == 9
        assert peer.utilization == 1.25
        assert peer.slot_demand == {
            key: 1_000 * slots for slots, key in enumerate(DEMAND_KEYS)
        }
        assert observer.state_count == 1


class FormerConfigRequest(msgspec.Struct, tag=6, array_like=True):
    """Request for a config of protocol version 4."""

    version: int


class FormerConfigReply(msgspec.Struct, tag=7, array_like=True):
    """Reply with a config of protocol version 4."""

    version: int
    raw: bytes


class FormerLoadReport(msgspec.Struct, tag=8, array_like=True):
    """Load report as nodes of protocol version 2 decode it."""

    load: int
    service_time_us: int
    capacity: int
    utilization: int
    demand: list[int]


class TestFormerVersion:
    """Nodes of protocol version 2 beside this one."""

    def test_report_is_decoded_without_demand_in_other_units(self) -> None:
        encoded = frames.encode(build_node_state().load_report)[4:]
        report = msgspec.msgpack.decode(encoded, type=FormerLoadReport)
        assert report.demand == []
        assert report.capacity == 1_950

    def test_former_report_has_no_demand_in_slots(self) -> None:
        encoded = msgspec.msgpack.encode(FormerLoadReport(1, 2, 3, 4, [5]))
        report = msgspec.msgpack.decode(encoded, type=frames.LoadReport)
        assert report.slot_demand == []
        assert report.interval_ms == 0

    def test_state_without_the_newer_fields(self) -> None:
        newer_field_count = 5
        fields = msgspec.to_builtins(build_node_state())
        encoded = msgspec.msgpack.encode(fields[:-newer_field_count])
        state = msgspec.msgpack.decode(encoded, type=frames.NodeState)
        assert state.rate_limit is None and not state.leaving
        assert state.start_ms == state.restore_count == 0
        assert not state.stopping


class TestFormerConfigMessages:
    """Nodes of version 4 exchange configs with newer ones, but confirm no age."""

    def test_newer_messages_are_decoded_by_former_nodes(self) -> None:
        encode = msgspec.msgpack.encode
        request = encode(frames.ConfigRequest(5, 9))
        former_request = msgspec.msgpack.decode(request, type=FormerConfigRequest)
        assert former_request.version == 5
        reply = encode(frames.ConfigReply(6, b"c", 9, 40))
        former_reply = msgspec.msgpack.decode(reply, type=FormerConfigReply)
        assert former_reply == FormerConfigReply(6, b"c")

    def test_former_messages_neither_ask_for_an_age_nor_state_one(self) -> None:
        encode = msgspec.msgpack.encode
        request = msgspec.msgpack.decode(
            encode(FormerConfigRequest(5)), type=frames.ConfigRequest
        )
        assert request.number == 0
        reply = msgspec.msgpack.decode(
            encode(FormerConfigReply(6, b"c")), type=frames.ConfigReply
        )
        assert reply.number == 0 and reply.age_ms < 0


class CountingObserver(peer_observer.PeerObserver):
    """Counts the node states that it receives."""

    def __init__(self) -> None:
        self.state_count = 0
        self.events: list[str] = []

    def handle_state(self, address: str, state: frames.NodeState) -> None:
        """Counts a node state."""
        self.state_count += 1

    def handle_hello(self, hello: frames.Hello) -> None:
        """Does nothing."""

    def handle_config(self, reply: frames.ConfigReply) -> None:
        """Does nothing."""

    def build_config_reply(
        self, request: frames.ConfigRequest
    ) -> frames.ConfigReply | None:
        """Returns no config."""
        return None

    def build_state(self) -> frames.NodeState:
        """Builds a node state."""
        return build_node_state()

    def build_load_report(self) -> frames.LoadReport:
        """Builds a load report."""
        return build_node_state().load_report

    def handle_peer_removed(self, address: str) -> None:
        """Does nothing."""

    def handle_config_read(self, message: frames.ConfigRead) -> None:
        """Does nothing."""

    def handle_crash_report(self, message: frames.CrashReport) -> None:
        """Does nothing."""

    def handle_cleared_requests(self, message: frames.ClearedRequests) -> None:
        """Does nothing."""

    def build_crash_handover(self) -> frames.CrashReport | None:
        """Returns nothing."""
        return None

    @property
    def departures(self) -> departure_exchange.DepartureExchange:
        """Holds copies and has no departures of its own."""
        return departure_exchange.DepartureExchange(list, lambda address, copy: None)

    def handle_quota_request(
        self, sender: str, request: frames.QuotaRequest
    ) -> frames.QuotaReply | None:
        """Returns nothing."""
        return None

    def handle_quota_reply(self, address: str, reply: frames.QuotaReply) -> None:
        """Does nothing."""

    def handle_peer_event(self, address: str, event: str) -> None:
        """Records an event."""
        self.events.append(event)
