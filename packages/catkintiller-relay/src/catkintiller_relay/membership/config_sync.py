"""Decides where this node gets its configs from, and gets them from peers."""

import asyncio
import random
from collections.abc import Callable

from .. import data
from ..telemetry import events
from . import (
    config_age,
    config_loader,
    config_role,
    config_watcher,
    frames,
    peer_set,
    store_watcher,
)

# Time that a node that reads the store waits for a config that a peer already has, and
# time that a peer has to send a config before another one is asked.
PEER_CONFIG_DELAY_S = 0.3
PEER_CONFIG_TIMEOUT_S = 0.4
# Share of the peers that a node that starts has heard, and time that it waits for them.
HEARD_PEERS_RATIO = 0.5
MAX_START_WAIT_S = 1.0
ROLE_CHECK_INTERVAL_S = 1.0


class ConfigSync:
    """Role of this node in reading configs, and its requests to peers.

    :param configs: the config in force, and those that are being prepared.
    :param on_role_change: called when the node starts or stops reading the store.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: data.Settings,
        configs: config_loader.ConfigLoader,
        watcher: config_watcher.ConfigWatcher,
        records: store_watcher.StoreWatcher,
        peers: peer_set.PeerSet,
        rng: random.Random,
        log: events.EventLog,
        on_role_change: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._configs = configs
        self._own_address = settings.inbound
        self._age = config_age.ConfigAge(settings.max_key_age_s)
        self._config_watcher = watcher
        watcher.on_config_read = self._handle_own_read
        watcher.is_first_to_try = self._is_first_to_try
        self._record_watcher = records
        self._peers = peers
        self._rng = rng
        self._log = log
        self._on_role_change = on_role_change
        self._newer_seen_at: float | None = None
        self._requested_at = float("-inf")
        self._started_at: float | None = None
        self._synchronized = False
        self._next_role_check_at: float | None = None

    @property
    def synchronized(self) -> bool:
        """Whether this node had the newest config that its peers know.

        The store of a node that starts may be an older copy than its peers have seen.
        """
        return self._synchronized

    def tick(self, now: float) -> None:
        """Requests a newer config and updates the role, if that is due.

        :param now: time of the event loop, in seconds.
        """
        self._request_newer(now)
        self._update_synchronized(now)
        self._check_role(now)

    def _update_synchronized(self, now: float) -> None:
        """Compares the config in force with those of the peers."""
        version = self._configs.version
        if self._synchronized or not version or not self._record_watcher.nodes_listed:
            return
        if self._started_at is None:
            self._started_at = now
        heard = self._peers.get_responsive_peers(now)
        is_heard = len(heard) >= HEARD_PEERS_RATIO * len(self._peers.peers)
        has_newest = all(peer.state.config_version <= version for peer in heard)
        has_waited = now - self._started_at >= MAX_START_WAIT_S
        self._synchronized = has_waited or (is_heard and has_newest)

    @property
    def is_current(self) -> bool:
        """Whether keys that are in force here may be honoured."""
        return self._age.is_within_bound

    def build_reply(self, request: frames.ConfigRequest) -> frames.ConfigReply | None:
        """Builds the reply to a peer's request for the config; None without one."""
        config = self._configs.config
        if config is None:
            return None
        raw = config.raw if config.version > request.version else b""
        if not raw and not request.number:
            return None
        age_ms = self._age.get_age_ms()
        return frames.ConfigReply(config.version, raw, request.number, age_ms)

    def handle_reply(self, reply: frames.ConfigReply) -> None:
        """Loads the config in the reply of a peer, and handles its age."""
        if reply.raw:
            self._configs.load(reply.raw, "peer")
        if self._configs.version >= reply.version:
            self._age.handle_reply(reply.number, reply.age_ms)

    def handle_peer_read(self, message: frames.ConfigRead) -> None:
        """Handles a peer's message that it has read the store.

        It counts only if the config that the peer has is in force here.
        """
        if self._configs.version >= message.version and message.age_ms >= 0:
            began_at = self._loop.time() - message.age_ms / 1000
            self._config_watcher.confirm_read(began_at)

    def _handle_own_read(self, began_at: float) -> None:
        """Tells the other readers about a successful read of this node.

        :param began_at: time of :func:`.config_age.read_clock` at which it began, in
            seconds.
        """
        self._age.confirm(began_at)
        age_ms = int((config_age.read_clock() - began_at) * 1000) + 1
        message = frames.ConfigRead(self._configs.version, age_ms)
        for peer in self._peers.get_responsive_peers(self._loop.time()):
            if peer.config_reading is not data.ConfigReading.FROM_PEERS:
                peer.notify_config_read(message)

    def handle_config_applied(self) -> None:
        """Allows the next request at once, since the last one has succeeded."""
        self._requested_at = float("-inf")

    def _check_role(self, now: float) -> None:
        """Updates the role now and then; the times are random, so nodes take turns."""
        is_due = self._next_role_check_at is not None and (
            now >= self._next_role_check_at
        )
        if is_due:
            self._update_role(now)
        if is_due or self._next_role_check_at is None:
            delay_s = ROLE_CHECK_INTERVAL_S * self._rng.uniform(0.5, 1.5)
            self._next_role_check_at = now + delay_s

    def _update_role(self, now: float) -> None:
        """Starts or stops reading configs from the store, see :mod:`.config_role`."""
        previous = self._config_watcher.config_reading
        peers = self._get_peer_readings(now)
        reads = config_role.should_read_store(self._own_address, previous, peers)
        if reads is (previous is not data.ConfigReading.FROM_PEERS):
            return
        self._config_watcher.set_config_reading(enabled=reads)
        self._log.write(
            "config",
            "Reads configs from the store." if reads else "Gets configs from peers.",
            peers=len(peers),
            readers=_count(peers, data.ConfigReading.FROM_STORE),
            trying=_count(peers, data.ConfigReading.STORE_UNREACHABLE),
        )
        self._on_role_change()

    def _is_first_to_try(self) -> bool:
        peers = self._get_peer_readings(self._loop.time())
        return config_role.is_first_to_try(self._own_address, peers)

    def _get_peer_readings(self, now: float) -> list[config_role.PeerReading]:
        return [
            config_role.PeerReading(peer.address, peer.config_reading)
            for peer in self._peers.get_responsive_peers(now)
        ]

    def _request_newer(self, now: float) -> None:
        """Requests a config from one of the peers that have a newer one."""
        version = self._configs.newest_version
        self._request_age(now, version)
        peers = self._peers.get_peers_with_newer_config(now, version)
        if not peers:
            self._newer_seen_at = None
            return
        if self._newer_seen_at is None:
            self._newer_seen_at = now
        reads_store = (
            self._config_watcher.config_reading is data.ConfigReading.FROM_STORE
        )
        may_read_soon = reads_store and self._synchronized
        delay_s = PEER_CONFIG_DELAY_S if may_read_soon else 0.0
        if (
            now - self._newer_seen_at >= delay_s
            and now - self._requested_at >= PEER_CONFIG_TIMEOUT_S
        ):
            self._requested_at = now
            self._rng.choice(peers).request_config(version)

    def _request_age(self, now: float, version: int) -> None:
        """Asks a peer that reads the store how recent its config is, if that is due."""
        if not self._age.is_request_due:
            return
        readers = [
            peer
            for peer in self._peers.get_responsive_peers(now)
            if peer.config_reading is data.ConfigReading.FROM_STORE
        ]
        if readers:
            number = self._age.begin_request()
            self._rng.choice(readers).request_config(version, number)


def _count(peers: list[config_role.PeerReading], reading: data.ConfigReading) -> int:
    """Counts the peers that get their configs in one way."""
    return sum(peer.reading is reading for peer in peers)
