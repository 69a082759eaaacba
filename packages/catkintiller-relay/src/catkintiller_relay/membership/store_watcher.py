"""Follows the store: the config, the other nodes, and this node's own entry."""

import asyncio
import collections
import random
from collections.abc import Awaitable, Callable
from typing import NamedTuple, TypeVar

import msgspec

from .. import data, interfaces
from ..routing import call_graph
from ..telemetry import events

CONFIG_WAIT_S = 20.0
STORE_PAUSE_S = 0.2
STORE_MAX_PAUSE_S = 1.0
NODES_EVERY_S = 20.0
ENTRY_EVERY_S = 10.0
MAX_ENDED = 8

Result = TypeVar("Result")


class NodeRecord(NamedTuple):
    """What a node keeps in the store about itself.

    :param edges: calls by route that it counted, for nodes that start anew.
    :param ended: endpoints that told it that they leave, with their births.
    """

    address: str
    zone: str
    service: str
    boot: str
    edges: tuple[call_graph.Edge, ...] = ()
    ended: tuple[tuple[str, int], ...] = ()


class StoreWatcher:
    """Reads what other nodes and operators write, and writes this node's entry.

    :param use_config: takes the bytes of a config and says where they are from.
    :param take_entry: takes an entry with its key.
    :param knows_peers: tells whether any other node is known.
    """

    def __init__(
        self,
        store: interfaces.Store,
        settings: data.Settings,
        boot: str,
        log: events.EventLog,
        rng: random.Random,
        use_config: Callable[[bytes, str], None],
        take_entry: Callable[[str, NodeRecord], None],
        knows_peers: Callable[[], bool],
    ) -> None:
        self._store = store
        self._settings = settings
        self._boot = boot
        self._log = log
        self._rng = rng
        self._use_config = use_config
        self._take_entry = take_entry
        self._knows_peers = knows_peers
        self._lost = False
        self._written_edges: set[tuple[str, str, str]] = set()
        self.store_calls: collections.Counter[tuple[str, str]] = collections.Counter()
        self.listed = False
        self.counted: tuple[call_graph.Edge, ...] = ()
        self.ended: dict[str, int] = {}

    async def follow_config(self) -> None:
        """Puts each new config in force, for ever."""
        pause = STORE_PAUSE_S
        offset: int | None = None
        while True:
            try:
                if offset is None:
                    record = await self._store.read_config()
                    offset = 0 if record is None else record.offset + 1
                else:
                    record = await self._store.wait_for_config(offset, CONFIG_WAIT_S)
                if record is not None:
                    offset = record.offset + 1
                    self._use_config(record.value, "store")
                self._note_store("config", None)
                pause = STORE_PAUSE_S
            except data.OffsetCompactedError as error:
                self.store_calls["config", error.reason] += 1
                offset = None
            except data.StoreError as error:
                self._note_store("config", error.reason)
                await asyncio.sleep(pause * self._rng.uniform(0.7, 1.3))
                pause = min(STORE_MAX_PAUSE_S, 2 * pause)

    async def follow_nodes(self) -> None:
        """Keeps the other nodes known and this node's entry written, for ever."""
        self._take_nodes(await self._retry_store(self._store.read_node_records))
        await self._retry_store(self.write_entry)
        read_at = 0.0
        while True:
            if asyncio.get_running_loop().time() >= read_at:
                self._take_nodes(await self._retry_store(self._store.read_node_records))
                self.listed = True
                pause = NODES_EVERY_S * self._rng.uniform(0.8, 1.2)
                read_at = asyncio.get_running_loop().time() + pause
            await asyncio.sleep(ENTRY_EVERY_S * self._rng.uniform(0.3, 1.0))
            if {edge[:3] for edge in self.counted} - self._written_edges:
                await self._retry_store(self.write_entry)

    async def write_entry(self) -> None:
        """Writes this node's entry.

        :raises data.StoreError: if it may not have been written.
        """
        entry = NodeRecord(
            self._settings.inbound,
            self._settings.zone,
            self._settings.service,
            self._boot,
            self.counted,
            tuple(self.ended.items())[-MAX_ENDED:],
        )
        value = msgspec.msgpack.encode(entry)
        await self._store.write_node_record(self._settings.node, value)
        self._written_edges |= {edge[:3] for edge in entry.edges}

    async def _retry_store(self, call: Callable[[], Awaitable[Result]]) -> Result:
        pause = STORE_PAUSE_S
        while True:
            try:
                result = await call()
            except data.StoreError as error:
                self._note_store("nodes", error.reason)
                if self._knows_peers():
                    self.listed = True
                await asyncio.sleep(pause * self._rng.uniform(0.7, 1.3))
                pause = min(STORE_MAX_PAUSE_S, 2 * pause)
            else:
                self.store_calls["nodes", "ok"] += 1
                return result

    def _take_nodes(self, records: list[data.StoreRecord]) -> None:
        for record in records:
            if not record.value:
                continue
            try:
                entry = msgspec.msgpack.decode(record.value, type=NodeRecord)
            except msgspec.MsgspecError as error:
                self._log.write("peer", "Entry not readable.", why=str(error))
                continue
            self._take_entry(record.key, entry)

    def _note_store(self, call: str, why: str | None) -> None:
        """Counts a call; logs if the store is lost or reached again.

        :param why: why it failed, None if it did not.
        """
        self.store_calls[call, why or "ok"] += 1
        if (why is not None) == self._lost:
            return
        self._lost = why is not None
        if why is None:
            self._log.write("store", "Reached again.")
        else:
            self._log.write("store", "Lost.", why=why)
