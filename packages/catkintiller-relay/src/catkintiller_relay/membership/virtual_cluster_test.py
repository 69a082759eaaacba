"""Nodes that read configs from a fake store in virtual time, used by tests."""

import asyncio
import random
from typing import NamedTuple

from .. import data, interfaces
from ..telemetry import events
from . import config_sync, config_watcher, frames, store_calls

STORE_LATENCY_S = 0.004
PEER_LATENCY_S = 0.002
TICK_S = 0.1
PEERS_OF_A_NODE = 84


class SilentLog(events.EventLog):
    """Keeps the texts of the lines instead of writing them.

    :ivar texts: prefixes and texts of all lines.
    """

    def __init__(self) -> None:
        self.texts: list[str] = []

    def write(self, prefix: str, text: str, /, **fields: object) -> None:
        """Keeps a text."""
        self.texts.append(f"{prefix}: {text}")


class FakeStore:
    """A store that can be silent: what is under way then never gets a response.

    :ivar called_at: times of all calls, in seconds.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._versions: list[int] = []
        self._changed = asyncio.Condition()
        self._silent_from = float("inf")
        self._silent_until = float("-inf")
        self.called_at: list[float] = []

    @property
    def newest(self) -> data.StoreRecord:
        """The newest config, whose value is its version."""
        offset = len(self._versions) - 1
        return data.StoreRecord("config", str(self._versions[-1]).encode(), offset)

    @property
    def end_offset(self) -> int:
        """Offset of the next config."""
        return len(self._versions)

    async def write(self, version: int) -> None:
        """Writes a config."""
        async with self._changed:
            self._versions.append(version)
            self._changed.notify_all()

    def fall_silent(self, duration_s: float) -> None:
        """Gives no response from now on for a time."""
        self._silent_from = self._loop.time()
        self._silent_until = self._silent_from + duration_s

    async def call(self, offset: int, wait_s: float, timeout_s: float) -> None:
        """Waits for the time of a response.

        :param offset: returns when there is a config at this offset, or the wait ends.
        :param timeout_s: time in which the caller expects the response.
        :raises data.StoreError: if there is none in that time.
        """
        began_at = self._loop.time()
        self.called_at.append(began_at)
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.sleep(STORE_LATENCY_S / 2)
                await self._wait_for_offset(offset, wait_s)
                await asyncio.sleep(STORE_LATENCY_S / 2)
                if self._was_silent_since(began_at):
                    await asyncio.Event().wait()
        except TimeoutError:
            raise data.StoreError("no answer in time") from None

    async def _wait_for_offset(self, offset: int, wait_s: float) -> None:
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: self.end_offset > offset)
        except TimeoutError:
            pass

    def _was_silent_since(self, began_at: float) -> bool:
        return self._silent_from <= self._loop.time() and began_at < self._silent_until


class FakeStoreClient(interfaces.Store):
    """Client of one node.

    :ivar is_cut: whether its calls get no response although the store is not silent.
    """

    def __init__(self, store: FakeStore) -> None:
        self._store = store
        self.is_cut = False

    @property
    def restore_count(self) -> int | None:
        """Tells nothing."""
        return None

    async def read_config(
        self, timeout_s: float = interfaces.STORE_TIMEOUT_S
    ) -> data.StoreRecord | None:
        """Reads the newest config."""
        await self._call(-1, 0.0, timeout_s)
        return self._store.newest

    async def wait_for_config(
        self, offset: int, wait_s: float, timeout_s: float = interfaces.STORE_TIMEOUT_S
    ) -> data.StoreRecord | None:
        """Waits for a config."""
        await self._call(offset, wait_s, wait_s + timeout_s)
        return self._store.newest if self._store.end_offset > offset else None

    async def _call(self, offset: int, wait_s: float, timeout_s: float) -> None:
        if self.is_cut:
            await asyncio.sleep(timeout_s)
            raise data.StoreError("no answer in time")
        await self._store.call(offset, wait_s, timeout_s)

    async def read_node_records(self) -> list[data.StoreRecord]:
        """Returns no records."""
        return []

    async def write_node_record(self, key: str, value: bytes) -> None:
        """Does nothing."""


class PeerState(NamedTuple):
    """What a node has told its peers about itself."""

    config_version: int
    config_reading: data.ConfigReading


class VirtualPeer:
    """A node as one of its peers sees it.

    :param node: the node.
    :param viewer: the peer.
    """

    def __init__(self, node: "VirtualNode", viewer: "VirtualNode") -> None:
        self._node = node
        self._viewer = viewer
        self.address = node.address

    @property
    def state(self) -> PeerState:
        """The last state that has arrived."""
        return self._node.published

    @property
    def config_reading(self) -> data.ConfigReading:
        """How the node gets its configs."""
        return self._node.published.config_reading

    def request_config(self, version: int, number: int = 0) -> None:
        """Requests a config that is newer than ``version``."""
        request = frames.ConfigRequest(version, number)
        self._viewer.cluster.deliver(self._node.handle_request, self._viewer, request)

    def notify_config_read(self, message: frames.ConfigRead) -> None:
        """Tells the node that the viewer has read the store."""
        self._viewer.cluster.deliver(self._node.handle_config_read, message)


class VirtualPeerSet:
    """The peers of a node."""

    def __init__(self) -> None:
        self.peers: dict[str, VirtualPeer] = {}

    def get_responsive_peers(self, now: float) -> list[VirtualPeer]:
        """Returns all peers."""
        return list(self.peers.values())

    def get_peers_with_newer_config(
        self, now: float, version: int
    ) -> list[VirtualPeer]:
        """Returns the peers whose config is newer than ``version``."""
        return [
            peer for peer in self.peers.values() if peer.state.config_version > version
        ]


class ListedNodes:
    """The node records, which have been read."""

    nodes_listed = True


class VirtualNode:
    """The part of a node that gets configs.

    :ivar version: version of the config in force; 0 without one.
    :ivar client: its client of the store.
    :ivar published: the last state that has reached its peers.
    """

    def __init__(
        self, cluster: "VirtualCluster", address: str, rng: random.Random
    ) -> None:
        self.cluster = cluster
        self.address = address
        self.version = 0
        self.published = PeerState(0, data.ConfigReading.STORE_UNREACHABLE)
        self.peer_set = VirtualPeerSet()
        log = SilentLog()
        settings = build_settings(address)
        self.client = FakeStoreClient(cluster.store)
        self.watcher = config_watcher.ConfigWatcher(
            self.client,
            settings,
            rng,
            store_calls.StoreCalls(self.client, log),
            self._apply,
            lambda: bool(self.peer_set.peers),
        )
        self.sync = config_sync.ConfigSync(
            cluster.loop,
            settings,
            self,
            self.watcher,
            ListedNodes(),
            self.peer_set,
            rng,
            log,
            self._publish,
        )

    @property
    def newest_version(self) -> int:
        """Version of the config in force; none takes time to prepare."""
        return self.version

    async def run(self) -> None:
        """Reads configs and exchanges them with the peers until cancelled."""
        loop = asyncio.get_running_loop()
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.watcher.run())
            while True:
                await asyncio.sleep(TICK_S)
                self.sync.tick(loop.time())
                self._publish()

    def handle_request(
        self, sender: "VirtualNode", request: frames.ConfigRequest
    ) -> None:
        """Replies to a request for the config."""
        self.cluster.deliver(sender.handle_reply, self.version)

    def handle_config_read(self, message: frames.ConfigRead) -> None:
        """Handles a message of a peer that has read the store."""
        self.sync.handle_peer_read(message)

    def handle_reply(self, version: int) -> None:
        """Puts the config of a peer in force."""
        self._put_in_force(version)

    async def _apply(self, raw: bytes, source: str) -> None:
        self._put_in_force(int(raw))

    def _put_in_force(self, version: int) -> None:
        if version > self.version:
            self.version = version
            self.sync.handle_config_applied()
            self._publish()

    def _publish(self) -> None:
        state = PeerState(self.version, self.watcher.config_reading)
        if state != self.published:
            self.cluster.deliver(self._set_published, state)

    def _set_published(self, state: PeerState) -> None:
        self.published = state


class VirtualCluster:
    """Nodes that read the same store.

    :param node_count: number of nodes, each of which has a limited number of peers.
    """

    def __init__(self, node_count: int, seed: int) -> None:
        self.loop = asyncio.get_running_loop()
        self._tasks: list[asyncio.Task] = []
        self.rng = random.Random(seed)
        self.store = FakeStore(self.loop)
        self.nodes = [
            VirtualNode(self, f"10.0.{number // 200}.{number % 200}:8300", self.rng)
            for number in range(node_count)
        ]
        for node in self.nodes:
            others = [other for other in self.nodes if other is not node]
            peers = self.rng.sample(others, min(len(others), PEERS_OF_A_NODE))
            node.peer_set.peers = {
                peer.address: VirtualPeer(peer, node) for peer in peers
            }

    @property
    def readers(self) -> list[VirtualNode]:
        """Nodes that read configs from the store and can reach it."""
        reading = data.ConfigReading.FROM_STORE
        return [node for node in self.nodes if node.watcher.config_reading is reading]

    async def start(self) -> None:
        """Writes the first config and starts all nodes."""
        await self.store.write(1)
        self._tasks = [asyncio.create_task(node.run()) for node in self.nodes]

    def deliver(self, handler: object, *arguments: object) -> None:
        """Calls a handler after the time that a message takes."""
        self.loop.call_later(PEER_LATENCY_S, handler, *arguments)

    def count_calls(self, begin: float, end: float) -> int:
        """Counts the calls to the store between two times of the event loop."""
        return sum(begin <= called_at < end for called_at in self.store.called_at)

    def count_outdated(self, version: int) -> int:
        """Counts the nodes where a version is not in force yet."""
        return sum(node.version < version for node in self.nodes)


def build_settings(address: str) -> data.Settings:
    """Builds the settings of a node."""
    return data.Settings(
        node=address,
        ip="",
        zone="zone-1",
        inbound=address,
        outbound="",
        readiness="",
        admin="",
        metrics="",
        endpoint="",
        service="pay",
        heartbeat_s=1.5,
        grace_s=6.0,
        drain_s=2.0,
        retry_ratio=0.2,
        retry_slack=0.0,
        retry_window_s=10.0,
        memory_mb=300,
        max_fds=4096,
        store=data.StoreSettings(""),
    )
