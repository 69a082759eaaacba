"""Watches the store for node records, and writes this node's record.

Each call to the store is priced and limited in rate, and the number of nodes is not
limited. A node therefore reads the node records rarely once it is connected to its
peers, which introduce new nodes, and waits longer after each failed call.
"""

import asyncio
import contextlib
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

from .. import data, interfaces
from ..routing import call_graph
from ..telemetry import events
from . import node_record, store_calls

MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0
MAX_BACKOFF_WITH_PEERS_S = 3.0
NODE_READ_INTERVAL_S = 60.0
RECORD_CHECK_INTERVAL_S = 10.0
MAX_TOMBSTONE_COUNT = 8
MAX_BLOCK_COUNT = 32
# After a restore all nodes write their records; those with tombstones go first.
MAX_URGENT_WRITE_DELAY_S = 0.3
MIN_WRITE_SPREAD_S = 1.0
RECORD_WRITES_PER_S = 100.0
READ_AFTER_WRITE_S = 2.0
CALL_KIND = "nodes"

Result = TypeVar("Result")


class StoreWatcher:
    """Reads node records from the store, and writes this node's record.

    :param calls: counts the calls.
    :param handle_record: called with the key of each node record and the record.
    :param has_peers: returns whether this node is connected to any peers.
    :param keeps_call_graph: returns whether this node is one of the few that write new
        edges of the call graph.
    :ivar nodes_listed: whether the node records were read, or could not be read while
        this node already has peers.
    :ivar local_edges: edges of the call graph counted at this node.
    :ivar tombstones: start times, in Unix milliseconds, of endpoints that announced
        their departure, by instance ID; in the order of the announcements.
    :ivar blocks: requests that were blocked after a crash of this node's endpoint, by
        fingerprint, in the order of the crashes.
    :ivar on_record_written: called with each record that the store has acknowledged.
    """

    def __init__(
        self,
        store: interfaces.Store,
        settings: data.Settings,
        boot_id: str,
        log: events.EventLog,
        rng: random.Random,
        calls: store_calls.StoreCalls,
        handle_record: Callable[[str, node_record.NodeRecord], None],
        has_peers: Callable[[], bool],
        keeps_call_graph: Callable[[], bool],
    ) -> None:
        self._store = store
        self._settings = settings
        self._boot_id = boot_id
        self._log = log
        self._rng = rng
        self._calls = calls
        self._handle_record = handle_record
        self._has_peers = has_peers
        self._keeps_call_graph = keeps_call_graph
        self._is_listed = False
        self._has_read_records = False
        self._record_count = 0
        self._write_due = asyncio.Event()
        self._written_edges: set[tuple[str, str, str]] = set()
        self.nodes_listed = False
        self.local_edges: tuple[call_graph.Edge, ...] = ()
        self.tombstones: dict[str, int] = {}
        self.blocks: dict[bytes, node_record.StoredBlock] = {}
        self.on_record_written: Callable[[node_record.NodeRecord], None] = (
            lambda record: None
        )
        calls.add_restore_handler(self._handle_restore)

    @property
    def has_read_records(self) -> bool:
        """Whether this node's former record is known and may be replaced."""
        return self._has_read_records

    async def watch_node_records(self) -> None:
        """Reads the node records and updates this node's record until cancelled.

        The records are read before this node's record is first written, so that the
        tombstones in its old record are kept. A node that is listed with its present
        address has started before and is found by the others without a new record.
        The record is written again if this node has counted an edge that no record
        contained, or if the store has lost it or does not have its tombstones.
        """
        self._decode_records(await self._call_store(self._store.read_node_records))
        if not self._is_listed:
            await self._call_store(self.write_record)
            self._decode_records(await self._call_store(self._store.read_node_records))
        self.nodes_listed = True
        next_read_at = self._draw_next_read_at()
        while True:
            await self._wait_for_check()
            if self._write_due.is_set():
                self._write_due.clear()
                await asyncio.sleep(self._draw_write_delay_s())
                await self._call_store(self.write_record)
                read_at = asyncio.get_running_loop().time() + READ_AFTER_WRITE_S
                next_read_at = min(next_read_at, read_at)
            elif self._keeps_call_graph() and self.has_unwritten_edges():
                await self._call_store(self.write_record)
            if asyncio.get_running_loop().time() >= next_read_at:
                self._decode_records(
                    await self._call_store(self._store.read_node_records)
                )
                next_read_at = self._draw_next_read_at()
                if not self._is_listed:
                    self._write_due.set()

    def schedule_write(self) -> None:
        """Lets this node's record be written, as soon as the store allows it."""
        self._write_due.set()

    async def _wait_for_check(self) -> None:
        """Waits until the record is to be written, for a limited time."""
        timeout_s = RECORD_CHECK_INTERVAL_S * self._rng.uniform(0.3, 1.0)
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._write_due.wait(), timeout_s)

    def _draw_write_delay_s(self) -> float:
        """Draws the time until the record is written, so that nodes take turns."""
        if self.tombstones or self.blocks:
            return MAX_URGENT_WRITE_DELAY_S * self._rng.random()
        spread_s = max(MIN_WRITE_SPREAD_S, self._record_count / RECORD_WRITES_PER_S)
        return spread_s * self._rng.random()

    def _draw_next_read_at(self) -> float:
        delay_s = NODE_READ_INTERVAL_S * self._rng.uniform(0.8, 1.2)
        return asyncio.get_running_loop().time() + delay_s

    def has_unwritten_edges(self) -> bool:
        """Returns whether an edge counted at this node is in no known record."""
        return bool({edge[:3] for edge in self.local_edges} - self._written_edges)

    async def write_record(self) -> None:
        """Writes this node's record.

        :raises data.StoreError: if the record may not have been written.
        """
        record = node_record.NodeRecord(
            self._settings.inbound,
            self._settings.zone,
            self._settings.service,
            self._boot_id,
            self.local_edges,
            self._get_newest_tombstones(),
            self._get_newest_blocks(),
        )
        await self._store.write_node_record(
            self._settings.node, node_record.encode_record(record)
        )
        self._written_edges |= {edge[:3] for edge in record.edges}
        self._calls.check_restore()
        self.on_record_written(record)

    async def _call_store(self, call: Callable[[], Awaitable[Result]]) -> Result:
        """Calls the store until a call succeeds, with exponential backoff."""
        loop = asyncio.get_running_loop()
        delay_s = MIN_BACKOFF_S
        while True:
            called_at = loop.time()
            try:
                result = await call()
            except data.StoreError as error:
                duration_s = loop.time() - called_at
                self._calls.record_failure(CALL_KIND, error, duration_s)
                if self._has_peers():
                    self.nodes_listed = True
                delay_s = await self._back_off(delay_s)
            else:
                self._calls.record_success(CALL_KIND)
                return result

    async def _back_off(self, delay_s: float) -> float:
        """Waits after a failed call and returns the delay after the next one.

        A node that has peers waits longer, since they introduce new nodes.
        """
        await asyncio.sleep(delay_s * self._rng.uniform(0.7, 1.3))
        max_s = MAX_BACKOFF_WITH_PEERS_S if self._has_peers() else MAX_BACKOFF_S
        return min(max_s, 2 * delay_s)

    def _decode_records(self, records: list[data.StoreRecord]) -> None:
        """Decodes node records and passes them to ``handle_record``.

        Records with an empty value have been removed and are skipped.
        """
        self._is_listed = False
        self._has_read_records = True
        self._record_count = len(records)
        for stored in records:
            if not stored.value:
                continue
            try:
                record = node_record.parse_record(stored.value)
            except data.DecodeError as error:
                self._log.write(
                    "peer",
                    "Node record ignored: invalid format.",
                    key=stored.key,
                    why=str(error),
                )
                continue
            self._written_edges |= {tuple(edge[:3]) for edge in record.edges}
            if stored.key == self._settings.node:
                self._is_listed = self._is_complete(record)
            self._handle_record(stored.key, record)

    def _is_complete(self, record: node_record.NodeRecord) -> bool:
        """Returns whether a record has this node's address, tombstones and blocks."""
        settings = self._settings
        return (record.address, record.zone, record.service) == (
            settings.inbound,
            settings.zone,
            settings.service,
        ) and (
            set(self._get_newest_tombstones()) <= set(record.tombstones)
            and set(self._get_newest_blocks()) <= set(record.blocks)
        )

    def _get_newest_tombstones(self) -> tuple[tuple[str, int], ...]:
        return tuple(self.tombstones.items())[-MAX_TOMBSTONE_COUNT:]

    def _get_newest_blocks(self) -> tuple[node_record.StoredBlock, ...]:
        return tuple(self.blocks.values())[-MAX_BLOCK_COUNT:]

    def _handle_restore(self) -> None:
        """Lets this node's record be written to the restored store."""
        self._written_edges.clear()
        self._write_due.set()
