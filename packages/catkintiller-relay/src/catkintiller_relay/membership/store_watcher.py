"""Watches the store for configs and node records, and writes this node's record."""

import asyncio
import collections
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeVar

import msgspec

from .. import data, interfaces
from ..routing import call_graph
from ..telemetry import events

CONFIG_POLL_TIMEOUT_S = 20.0
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0
NODE_READ_INTERVAL_S = 20.0
RECORD_CHECK_INTERVAL_S = 10.0
MAX_TOMBSTONE_COUNT = 8

Result = TypeVar("Result")


class NodeRecord(NamedTuple):
    """Record that a node writes about itself into the store.

    :param address: address where it accepts connections of other nodes.
    :param service: service of its endpoint.
    :param boot_id: identity of this start of its process.
    :param edges: edges of the call graph that it counted; a node that starts reads
        them here.
    :param tombstones: instance IDs of endpoints that announced their departure to it,
        with the Unix times of their starts in milliseconds.
    """

    address: str
    zone: str
    service: str
    boot_id: str
    edges: tuple[call_graph.Edge, ...] = ()
    tombstones: tuple[tuple[str, int], ...] = ()


class StoreWatcher:
    """Reads configs and node records from the store, and writes this node's record.

    :param apply_config: called with the bytes of a config and the name of its source.
    :param handle_record: called with the key of each node record and the record.
    :param has_peers: returns whether this node has any peers.
    :ivar store_calls: number of calls by kind and result, for the metrics.
    :ivar nodes_listed: whether the node records were read, or could not be read while
        this node already has peers.
    :ivar local_edges: edges of the call graph counted at this node.
    :ivar tombstones: start times, in Unix milliseconds, of endpoints that announced
        their departure, by instance ID; in the order of the announcements.
    """

    def __init__(
        self,
        store: interfaces.Store,
        settings: data.Settings,
        boot_id: str,
        log: events.EventLog,
        rng: random.Random,
        apply_config: Callable[[bytes, str], None],
        handle_record: Callable[[str, NodeRecord], None],
        has_peers: Callable[[], bool],
    ) -> None:
        self._store = store
        self._settings = settings
        self._boot_id = boot_id
        self._log = log
        self._rng = rng
        self._apply_config = apply_config
        self._handle_record = handle_record
        self._has_peers = has_peers
        self._store_unreachable = False
        self._written_edges: set[tuple[str, str, str]] = set()
        self.store_calls: collections.Counter[tuple[str, str]] = collections.Counter()
        self.nodes_listed = False
        self.local_edges: tuple[call_graph.Edge, ...] = ()
        self.tombstones: dict[str, int] = {}

    async def watch_config(self) -> None:
        """Applies each new config until cancelled."""
        delay_s = MIN_BACKOFF_S
        offset: int | None = None
        while True:
            try:
                if offset is None:
                    record = await self._store.read_config()
                    offset = 0 if record is None else record.offset + 1
                else:
                    record = await self._store.wait_for_config(
                        offset, CONFIG_POLL_TIMEOUT_S
                    )
                if record is not None:
                    offset = record.offset + 1
                    self._apply_config(record.value, "store")
                self._record_call("config", None)
                delay_s = MIN_BACKOFF_S
            except data.OffsetCompactedError as error:
                self.store_calls["config", error.reason] += 1
                offset = None
            except data.StoreError as error:
                self._record_call("config", error.reason)
                await asyncio.sleep(delay_s * self._rng.uniform(0.7, 1.3))
                delay_s = min(MAX_BACKOFF_S, 2 * delay_s)

    async def watch_node_records(self) -> None:
        """Reads the node records and updates this node's record until cancelled.

        The records are read before this node's record is first written, so that the
        tombstones in its old record are kept. The record is written again when this
        node has counted an edge that is not in it.
        """
        self._decode_records(await self._call_store(self._store.read_node_records))
        await self._call_store(self.write_record)
        next_read_at = 0.0
        while True:
            if asyncio.get_running_loop().time() >= next_read_at:
                self._decode_records(
                    await self._call_store(self._store.read_node_records)
                )
                self.nodes_listed = True
                delay_s = NODE_READ_INTERVAL_S * self._rng.uniform(0.8, 1.2)
                next_read_at = asyncio.get_running_loop().time() + delay_s
            await asyncio.sleep(RECORD_CHECK_INTERVAL_S * self._rng.uniform(0.3, 1.0))
            if {edge[:3] for edge in self.local_edges} - self._written_edges:
                await self._call_store(self.write_record)

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
            tuple(self.tombstones.items())[-MAX_TOMBSTONE_COUNT:],
        )
        value = msgspec.msgpack.encode(record)
        await self._store.write_node_record(self._settings.node, value)
        self._written_edges |= {edge[:3] for edge in record.edges}

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
                await asyncio.sleep(delay_s * self._rng.uniform(0.7, 1.3))
                delay_s = min(MAX_BACKOFF_S, 2 * delay_s)
            else:
                self.store_calls["nodes", "ok"] += 1
                return result

    def _decode_records(self, records: list[data.StoreRecord]) -> None:
        """Decodes node records and passes them to ``handle_record``.

        Records with an empty value have been removed and are skipped.
        """
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
            self._handle_record(stored.key, record)

    def _record_call(self, call: str, reason: str | None) -> None:
        """Counts a call; logs when the store becomes unreachable or reachable.

        :param reason: why the call failed; None if it succeeded.
        """
        self.store_calls[call, reason or "ok"] += 1
        if (reason is not None) == self._store_unreachable:
            return
        self._store_unreachable = reason is not None
        if reason is None:
            self._log.write("store", "Store is reachable again.")
        else:
            self._log.write("store", "Store call failed.", why=reason)
