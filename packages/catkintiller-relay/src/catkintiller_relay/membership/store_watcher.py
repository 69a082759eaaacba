"""Watches the store for configs and node records, and writes this node's record.

Each call to the store is priced and limited in rate, and the number of nodes is not
limited. A node therefore reads configs only while it has the role to, see
:mod:`.config_role`, reads the node records rarely once it is connected to its peers,
which introduce new nodes, and waits longer after each failed call.
"""

import asyncio
import collections
import contextlib
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeVar

import msgspec

from .. import data, interfaces
from ..routing import call_graph
from ..telemetry import events
from . import config_age

# A store that was restored may leave a poll of the former store waiting.
CONFIG_POLL_TIMEOUT_S = 6.0
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0
MAX_BACKOFF_WITH_PEERS_S = 3.0
NODE_READ_INTERVAL_S = 60.0
FIRST_POLL_DELAY_S = 1.5  # until the nodes have chosen those that go on reading
RECORD_CHECK_INTERVAL_S = 10.0
MAX_TOMBSTONE_COUNT = 8
MAX_BLOCK_COUNT = 32
# After a restore all nodes write their records; those with tombstones go first.
MAX_URGENT_WRITE_DELAY_S = 0.3
MIN_WRITE_SPREAD_S = 1.0
RECORD_WRITES_PER_S = 100.0
READ_AFTER_WRITE_S = 2.0

Result = TypeVar("Result")


def ignore_read(began_at: float) -> None:
    """Does nothing."""


class StoredBlock(NamedTuple):
    """A request that is not run because it crashed endpoints.

    :param fingerprint: see :mod:`..crashes.fingerprint`.
    :param ends_at_ms: Unix time at which it may run once more, in milliseconds.
    :param count: how often it has been blocked.
    """

    fingerprint: bytes
    ends_at_ms: int
    count: int


class NodeRecord(NamedTuple):
    """Record that a node writes about itself into the store.

    :param address: address where it accepts connections of other nodes.
    :param service: service of its endpoint.
    :param boot_id: identity of this start of its process.
    :param edges: edges of the call graph that it counted; a node that starts reads
        them here.
    :param tombstones: instance IDs of endpoints that announced their departure to it,
        with the Unix times of their starts in milliseconds.
    :param blocks: requests that were blocked after a crash of its endpoint. Nodes of
        former versions cannot read a record with this field, so it is left out while
        it is empty.
    """

    address: str
    zone: str
    service: str
    boot_id: str
    edges: tuple[call_graph.Edge, ...] = ()
    tombstones: tuple[tuple[str, int], ...] = ()
    blocks: tuple[StoredBlock, ...] = ()


class StoreWatcher:
    """Reads configs and node records from the store, and writes this node's record.

    :param apply_config: called with the bytes of a config and the name of its source;
        returns when the config is in force or refused.
    :param handle_record: called with the key of each node record and the record.
    :param has_peers: returns whether this node is connected to any peers.
    :param keeps_call_graph: returns whether this node is one of the few that write new
        edges of the call graph.
    :param on_restore: called when the store is known to have been restored.
    :ivar on_config_read: called after each successful read of the config with the time
        of :func:`.config_age.read_clock` at which it began, in seconds.
    :ivar store_calls: number of calls by kind and result, for the metrics.
    :ivar nodes_listed: whether the node records were read, or could not be read while
        this node already has peers.
    :ivar local_edges: edges of the call graph counted at this node.
    :ivar tombstones: start times, in Unix milliseconds, of endpoints that announced
        their departure, by instance ID; in the order of the announcements.
    :ivar blocks: requests that were blocked after a crash of this node's endpoint, by
        fingerprint, in the order of the crashes.
    """

    def __init__(
        self,
        store: interfaces.Store,
        settings: data.Settings,
        boot_id: str,
        log: events.EventLog,
        rng: random.Random,
        apply_config: Callable[[bytes, str], Awaitable[None]],
        handle_record: Callable[[str, NodeRecord], None],
        has_peers: Callable[[], bool],
        keeps_call_graph: Callable[[], bool],
        on_restore: Callable[[], None],
    ) -> None:
        self._store = store
        self._settings = settings
        self._boot_id = boot_id
        self._log = log
        self._rng = rng
        self._apply_config = apply_config
        self._handle_record = handle_record
        self._has_peers = has_peers
        self._keeps_call_graph = keeps_call_graph
        self._on_restore = on_restore
        self._max_wait_s = CONFIG_POLL_TIMEOUT_S
        if settings.max_key_age_s is not None:
            strict_wait_s = config_age.STORE_WAIT_RATIO * settings.max_key_age_s
            self._max_wait_s = min(CONFIG_POLL_TIMEOUT_S, strict_wait_s)
        self._store_unreachable = False
        self._config_reachable = False
        self._restore_count: int | None = None
        self._offset_is_valid = False
        self._poll: asyncio.Future[data.StoreRecord | None] | None = None
        self._is_listed = False
        self._record_count = 0
        self._write_due = asyncio.Event()
        self._reading_enabled = asyncio.Event()
        self._reading_enabled.set()
        self._written_edges: set[tuple[str, str, str]] = set()
        self.store_calls: collections.Counter[tuple[str, str]] = collections.Counter()
        self.on_config_read: Callable[[float], None] = ignore_read
        self.nodes_listed = False
        self.local_edges: tuple[call_graph.Edge, ...] = ()
        self.tombstones: dict[str, int] = {}
        self.blocks: dict[bytes, StoredBlock] = {}

    @property
    def restore_count(self) -> int:
        """How often the store has been restored; 0 if that is not known."""
        return self._restore_count or 0

    @property
    def config_reading(self) -> data.ConfigReading:
        """Whether this node reads configs from the store."""
        if not self._reading_enabled.is_set():
            return data.ConfigReading.FROM_PEERS
        if not self._config_reachable:
            return data.ConfigReading.STORE_UNREACHABLE
        return data.ConfigReading.FROM_STORE

    def set_config_reading(self, *, enabled: bool) -> None:
        """Starts or stops reading configs; a call in progress is not cancelled."""
        if enabled:
            self._reading_enabled.set()
        else:
            self._reading_enabled.clear()

    async def watch_config(self) -> None:
        """Applies each new config, while reading is enabled, until cancelled."""
        delay_s = MIN_BACKOFF_S
        offset = 0
        wait_s = FIRST_POLL_DELAY_S
        while True:
            if not self._reading_enabled.is_set():
                await self._reading_enabled.wait()
                delay_s = MIN_BACKOFF_S
            reads_newest = not self._offset_is_valid
            began_at = config_age.read_clock()
            try:
                if reads_newest:
                    self._offset_is_valid = True
                    record = await self._store.read_config()
                    offset = 0
                else:
                    record = await self._poll_config(offset)
                if record is not None:
                    offset = record.offset + 1
                    await self._apply_config(record.value, "store")
                self._record_call("config", None)
                self._config_reachable = True
                if self._offset_is_valid:
                    # Otherwise the store was restored during the read.
                    self.on_config_read(began_at)
                if not reads_newest:
                    delay_s = MIN_BACKOFF_S
                await asyncio.sleep(wait_s)
                wait_s = 0.0
            except data.OffsetCompactedError as error:
                self.store_calls["config", error.reason] += 1
                self._check_restore()
                self._offset_is_valid = False
                delay_s = await self._back_off(delay_s)
            except data.StoreError as error:
                self._record_call("config", error.reason)
                self._config_reachable = False
                if reads_newest:
                    self._offset_is_valid = False
                delay_s = await self._back_off(delay_s)

    def handle_restore_count(self, count: int) -> None:
        """Handles what a peer knows about restores of the store.

        Offsets of the former store are of no use in the restored one: records may lie
        below them that were never read. The newest config is therefore read again, and
        this node's record is written again.

        :param count: how often the store has been restored.
        """
        previous = self._restore_count
        if previous is not None and count <= previous:
            return
        self._restore_count = count
        if previous is None:
            return
        self._log.write("store", "Store was restored from a copy.", restores=count)
        self._offset_is_valid = False
        self._written_edges.clear()
        self._write_due.set()
        if self._poll is not None:
            self._poll.cancel()
        self._on_restore()

    async def _poll_config(self, offset: int) -> data.StoreRecord | None:
        """Waits for a config at an offset or later, unless the store was restored.

        :returns: the newest one, or None.
        """
        wait_s = self._max_wait_s * self._rng.uniform(0.7, 1.3)
        self._poll = asyncio.ensure_future(self._store.wait_for_config(offset, wait_s))
        try:
            await asyncio.wait({self._poll})
            return None if self._poll.cancelled() else self._poll.result()
        finally:
            self._poll.cancel()
            self._poll = None

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
        record = NodeRecord(
            self._settings.inbound,
            self._settings.zone,
            self._settings.service,
            self._boot_id,
            self.local_edges,
            self._get_newest_tombstones(),
            self._get_newest_blocks(),
        )
        await self._store.write_node_record(self._settings.node, encode_record(record))
        self._written_edges |= {edge[:3] for edge in record.edges}
        self._check_restore()

    async def _call_store(self, call: Callable[[], Awaitable[Result]]) -> Result:
        """Calls the store until a call succeeds, with exponential backoff."""
        delay_s = MIN_BACKOFF_S
        while True:
            try:
                result = await call()
            except data.StoreError as error:
                self._record_call("nodes", error.reason)
                if self._has_peers():
                    self.nodes_listed = True
                delay_s = await self._back_off(delay_s)
            else:
                self._record_call("nodes", None)
                return result

    async def _back_off(self, delay_s: float) -> float:
        """Waits after a failed call and returns the delay after the next one.

        A node that has peers waits longer, since they send it configs and nodes.
        """
        await asyncio.sleep(delay_s * self._rng.uniform(0.7, 1.3))
        max_s = MAX_BACKOFF_WITH_PEERS_S if self._has_peers() else MAX_BACKOFF_S
        return min(max_s, 2 * delay_s)

    def _decode_records(self, records: list[data.StoreRecord]) -> None:
        """Decodes node records and passes them to ``handle_record``.

        Records with an empty value have been removed and are skipped.
        """
        self._is_listed = False
        self._record_count = len(records)
        for stored in records:
            if not stored.value:
                continue
            try:
                record = msgspec.msgpack.decode(stored.value, type=NodeRecord)
            except msgspec.MsgspecError as error:
                self._log.write(
                    "peer", "Node record ignored: invalid format.", why=str(error)
                )
                continue
            self._written_edges |= {tuple(edge[:3]) for edge in record.edges}
            if stored.key == self._settings.node:
                self._is_listed = self._is_complete(record)
            self._handle_record(stored.key, record)

    def _is_complete(self, record: NodeRecord) -> bool:
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

    def _get_newest_blocks(self) -> tuple[StoredBlock, ...]:
        return tuple(self.blocks.values())[-MAX_BLOCK_COUNT:]

    def _check_restore(self) -> None:
        count = self._store.restore_count
        if count is not None:
            self.handle_restore_count(count)

    def _record_call(self, call: str, reason: str | None) -> None:
        """Counts a call; logs when the store becomes unreachable or reachable.

        :param reason: why the call failed; None if it succeeded.
        """
        self.store_calls[call, reason or "ok"] += 1
        self._check_restore()
        if (reason is not None) == self._store_unreachable:
            return
        self._store_unreachable = reason is not None
        if reason is None:
            self._log.write("store", "Store is reachable again.")
        else:
            self._log.write("store", "Store call failed.", why=reason)


def encode_record(record: NodeRecord) -> bytes:
    """Encodes a node record, without its last field if that is empty."""
    return msgspec.msgpack.encode(record if record.blocks else tuple(record)[:-1])
