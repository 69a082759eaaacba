"""Tests of the blocked requests in the node records."""

import time
from typing import NamedTuple

import msgspec

from ..membership import node_record
from . import block_store, crash_history

FINGERPRINT = b"request"
DURATION_S = crash_history.BLOCK_DURATIONS_S[0]


class FakeWatcher:
    """Counts the writes of this node's record."""

    def __init__(self) -> None:
        self.blocks: dict[bytes, node_record.StoredBlock] = {}
        self.write_count = 0

    def schedule_write(self) -> None:
        """Counts a write."""
        self.write_count += 1


def build_store() -> tuple[block_store.BlockStore, FakeWatcher]:
    """Builds the block store of a node without blocks."""
    watcher = FakeWatcher()
    return block_store.BlockStore(watcher, crash_history.CrashHistory()), watcher


def build_record(*blocks: node_record.StoredBlock) -> node_record.NodeRecord:
    """Builds the record of a node."""
    return node_record.NodeRecord("10.0.0.1:1", "z1", "pay", "b", blocks=blocks)


def load(remaining_s: float, count: int = 1) -> crash_history.CrashHistory:
    """Loads a record with a block that has the given time left by the clock."""
    history = crash_history.CrashHistory()
    ends_at_ms = int((time.time() + remaining_s) * 1000)
    block = node_record.StoredBlock(FINGERPRINT, ends_at_ms, count)
    store = block_store.BlockStore(FakeWatcher(), history)
    store.load(0.0, build_record(block), is_own=False)
    return history


class TestBlockStore:
    """Blocks survive a restart of all nodes."""

    def test_block_is_written_once(self) -> None:
        store, watcher = build_store()
        store.add((crash_history.BlockRecord(FINGERPRINT, DURATION_S, 1),))
        assert watcher.write_count == 1
        assert list(watcher.blocks) == [FINGERPRINT]

    def test_removed_block_is_written_only_by_its_node(self) -> None:
        store, watcher = build_store()
        store.remove(FINGERPRINT)
        assert watcher.write_count == 0

    def test_loaded_block_is_in_force(self) -> None:
        history = load(10.0)
        remaining_s = history.get_remaining_block_s(0.0, FINGERPRINT)
        assert 9.0 < remaining_s <= 10.0

    def test_clock_that_was_set_back_does_not_extend_a_block(self) -> None:
        history = load(10_000.0)
        assert history.get_remaining_block_s(0.0, FINGERPRINT) == DURATION_S

    def test_block_that_ended_lets_the_request_run_alone(self) -> None:
        standing = load(-5.0).get_standing(0.0, FINGERPRINT)
        assert standing is crash_history.Standing.SUSPECT

    def test_block_that_ended_long_ago_is_forgotten(self) -> None:
        assert load(-2 * block_store.KEPT_AFTER_END_S).is_empty


class FormerNodeRecord(NamedTuple):
    """Record as nodes of the former version read it."""

    address: str
    zone: str
    service: str
    boot_id: str
    edges: tuple = ()
    tombstones: tuple = ()


class TestFormerVersion:
    """Nodes of the former version read the records of nodes without blocks."""

    def test_record_without_blocks_is_readable(self) -> None:
        encoded = node_record.encode_record(build_record())
        decoded = msgspec.msgpack.decode(encoded, type=FormerNodeRecord)
        assert decoded.address == "10.0.0.1:1"

    def test_record_with_blocks_keeps_them(self) -> None:
        record = build_record(node_record.StoredBlock(FINGERPRINT, 1, 2))
        encoded = node_record.encode_record(record)
        assert msgspec.msgpack.decode(encoded, type=node_record.NodeRecord) == record
