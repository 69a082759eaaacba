"""Watches the store for configs.

Each call to the store is priced and limited in rate, and the number of nodes is not
limited. A node therefore reads configs only while it has the role to, see
:mod:`.config_role`, and waits longer after each failed call.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from .. import data, interfaces
from . import config_age, store_calls

# A store that was restored may leave a poll of the former store waiting.
CONFIG_POLL_TIMEOUT_S = 6.0
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0
MAX_BACKOFF_WITH_PEERS_S = 3.0
FIRST_POLL_DELAY_S = 1.5  # until the nodes have chosen those that go on reading
CALL_KIND = "config"


def ignore_read(began_at: float) -> None:
    """Does nothing."""


class ConfigWatcher:
    """Reads configs from the store.

    :param calls: counts the calls.
    :param apply_config: called with the bytes of a config and the name of its source;
        returns when the config is in force or refused.
    :param has_peers: returns whether this node is connected to any peers.
    :ivar on_config_read: called after each successful read of the config with the time
        of :func:`.config_age.read_clock` at which it began, in seconds.
    """

    def __init__(
        self,
        store: interfaces.Store,
        settings: data.Settings,
        rng: random.Random,
        calls: store_calls.StoreCalls,
        apply_config: Callable[[bytes, str], Awaitable[None]],
        has_peers: Callable[[], bool],
    ) -> None:
        self._store = store
        self._rng = rng
        self._calls = calls
        self._apply_config = apply_config
        self._has_peers = has_peers
        self._max_wait_s = CONFIG_POLL_TIMEOUT_S
        if settings.max_key_age_s is not None:
            strict_wait_s = config_age.STORE_WAIT_RATIO * settings.max_key_age_s
            self._max_wait_s = min(CONFIG_POLL_TIMEOUT_S, strict_wait_s)
        self._is_store_reachable = False
        self._offset_is_valid = False
        self._poll: asyncio.Future[data.StoreRecord | None] | None = None
        self._call_began_at: float | None = None
        self._read_began_at: float | None = None
        self._reading_enabled = asyncio.Event()
        self._reading_enabled.set()
        self.on_config_read: Callable[[float], None] = ignore_read
        calls.add_restore_handler(self._handle_restore)

    @property
    def config_reading(self) -> data.ConfigReading:
        """Whether this node reads configs from the store."""
        if not self._reading_enabled.is_set():
            return data.ConfigReading.FROM_PEERS
        if not self._is_store_reachable:
            return data.ConfigReading.STORE_UNREACHABLE
        return data.ConfigReading.FROM_STORE

    def get_call_s(self, now: float) -> float:
        """Returns how long the call under way has taken, in seconds; 0 without one.

        :param now: time of the event loop, in seconds.
        """
        return 0.0 if self._call_began_at is None else now - self._call_began_at

    def get_read_age_s(self, now: float) -> float | None:
        """Returns the time since this node's last successful read began, in seconds.

        :param now: time of the event loop, in seconds.
        :returns: None if no read has succeeded.
        """
        return None if self._read_began_at is None else now - self._read_began_at

    def set_config_reading(self, *, enabled: bool) -> None:
        """Starts or stops reading configs; a call in progress is not cancelled."""
        if enabled:
            self._reading_enabled.set()
        else:
            self._reading_enabled.clear()

    async def run(self) -> None:
        """Applies each new config, while reading is enabled, until cancelled."""
        loop = asyncio.get_running_loop()
        delay_s = MIN_BACKOFF_S
        offset = 0
        wait_s = FIRST_POLL_DELAY_S
        while True:
            if not self._reading_enabled.is_set():
                await self._reading_enabled.wait()
                delay_s = MIN_BACKOFF_S
            reads_newest = not self._offset_is_valid
            began_at = config_age.read_clock()
            called_at = self._call_began_at = loop.time()
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
                self._calls.record_success(CALL_KIND)
                self._call_began_at = None
                self._read_began_at = called_at
                self._is_store_reachable = True
                if self._offset_is_valid:
                    # Otherwise the store was restored during the read.
                    self.on_config_read(began_at)
                if not reads_newest:
                    delay_s = MIN_BACKOFF_S
                await asyncio.sleep(wait_s)
                wait_s = 0.0
            except data.OffsetCompactedError as error:
                self._call_began_at = None
                self._calls.counts[CALL_KIND, error.reason] += 1
                self._calls.check_restore()
                self._offset_is_valid = False
                delay_s = await self._back_off(delay_s)
            except data.StoreError as error:
                duration_s = loop.time() - called_at
                self._call_began_at = None
                self._calls.record_failure(CALL_KIND, error, duration_s)
                self._is_store_reachable = False
                if reads_newest:
                    self._offset_is_valid = False
                delay_s = await self._back_off(delay_s)

    def _handle_restore(self) -> None:
        """Lets the newest config be read again.

        Offsets of the former store are of no use in the restored one: records may lie
        below them that were never read.
        """
        self._offset_is_valid = False
        if self._poll is not None:
            self._poll.cancel()

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

    async def _back_off(self, delay_s: float) -> float:
        """Waits after a failed call and returns the delay after the next one.

        A node that has peers waits longer, since they send it configs.
        """
        await asyncio.sleep(delay_s * self._rng.uniform(0.7, 1.3))
        max_s = MAX_BACKOFF_WITH_PEERS_S if self._has_peers() else MAX_BACKOFF_S
        return min(max_s, 2 * delay_s)
