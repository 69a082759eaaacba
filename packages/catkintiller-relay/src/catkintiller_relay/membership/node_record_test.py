"""Tests of node records, among which other writers may leave entries."""

import asyncio
import math
import random

import msgspec
import pytest

from .. import data, interfaces
from ..crashes import block_store, crash_history
from . import (
    node_record,
    store_calls,
    store_watcher,
    virtual_cluster_test,
    virtual_time_test,
)

VALID = ("10.0.0.1:8300", "z", "pay", "boot", (("a", "b", "pay", 1.0),), (("i-1", 5),))
FINGERPRINT = b"f" * 16


def encode(**changes: object) -> bytes:
    """Encodes a valid record with some other values."""
    fields = dict(zip(node_record.NodeRecord._fields, VALID, strict=False))
    fields["blocks"] = ()
    fields.update(changes)
    return msgspec.msgpack.encode(list(fields.values()))


INVALID_RECORDS = {
    "port-too-large": encode(address="10.0.0.1:99999"),
    "port-0": encode(address="10.0.0.1:0"),
    "no-port": encode(address="10.0.0.1"),
    "other-digits": encode(address="10.0.0.1:٨٠"),
    "host-with-line-end": encode(address="a\nb:80"),
    "calls-not-finite": encode(edges=[("a", "b", "pay", math.inf)]),
    "calls-not-a-number": encode(edges=[("a", "b", "pay", math.nan)]),
    "negative-calls": encode(edges=[("a", "b", "pay", -1.0)]),
    "negative-block-count": encode(blocks=[(FINGERPRINT, 2**62, -100)]),
    "end-beyond-64-bits": encode(blocks=[(FINGERPRINT, 2**64 - 1, 1)]),
    "start-beyond-64-bits": encode(tombstones=[("i-1", 2**64 - 1)]),
    "deep-nesting": b"\x96" + b"\x91" * 100_000 + b"\xc0",
    "deep-nesting-at-the-end": b"\x98" + encode()[1:] + b"\x91" * 100_000 + b"\xc0",
    "text": b"not a record",
    "invalid-utf-8": encode().replace(b"boot", b"\xff\xfe\xfd\xfc"),
}


class ListStore(interfaces.Store):
    """A store with node records that never change.

    :ivar written: records that were written.
    """

    def __init__(self, values: list[bytes]) -> None:
        self._records = [
            data.StoreRecord(f"node-{number}", value, number)
            for number, value in enumerate(values)
        ]
        self.written: list[bytes] = []

    @property
    def restore_count(self) -> int | None:
        """Tells nothing."""
        return None

    async def read_config(
        self, timeout_s: float = interfaces.STORE_TIMEOUT_S
    ) -> data.StoreRecord | None:
        """Returns no config."""
        return None

    async def wait_for_config(
        self, offset: int, wait_s: float, timeout_s: float = interfaces.STORE_TIMEOUT_S
    ) -> data.StoreRecord | None:
        """Returns no config."""
        return None

    async def read_node_records(self) -> list[data.StoreRecord]:
        """Returns the records."""
        return self._records

    async def write_node_record(self, key: str, value: bytes) -> None:
        """Keeps what is written."""
        self.written.append(value)


class TestParsing:
    """Records of nodes are read, and impossible ones are refused."""

    def test_record_is_read_as_it_was_written(self) -> None:
        record = node_record.parse_record(encode())
        assert record.address == "10.0.0.1:8300" and record.edges[0].calls == 1.0
        assert node_record.parse_record(node_record.encode_record(record)) == record

    @pytest.mark.parametrize("raw", INVALID_RECORDS.values(), ids=INVALID_RECORDS)
    def test_impossible_record_is_refused(self, raw: bytes) -> None:
        with pytest.raises(data.DecodeError):
            node_record.parse_record(raw)


class TestOddEntry:
    """One odd entry neither ends the node nor hides the other entries."""

    @pytest.mark.parametrize("raw", INVALID_RECORDS.values(), ids=INVALID_RECORDS)
    def test_odd_entry_does_not_end_the_reading_of_the_others(self, raw: bytes) -> None:
        keys = []
        log = virtual_cluster_test.SilentLog()
        store = ListStore([encode(), raw, encode(address="10.0.0.2:8300")])

        def handle_record(key: str, record: node_record.NodeRecord) -> None:
            keys.append(key)
            blocks.load(0.0, record, is_own=False)

        watcher = store_watcher.StoreWatcher(
            store,
            virtual_cluster_test.build_settings("10.0.0.9:8300"),
            "boot",
            log,
            random.Random(1),
            store_calls.StoreCalls(store, log),
            handle_record,
            lambda: True,
            lambda: False,
        )

        blocks = block_store.BlockStore(watcher, crash_history.CrashHistory())

        async def run() -> None:
            task = asyncio.create_task(watcher.watch_node_records())
            await asyncio.sleep(1.0)
            assert not task.done()
            task.cancel()

        virtual_time_test.run(run())
        assert set(keys) == {"node-0", "node-2"} and store.written
        assert "peer: Node record ignored: invalid format." in log.texts
