"""Reads configs from the store while this node has the role to.

A poll returns each new config at once. It says nothing while the store is silent, and
what was under way then stays without a response. Short reads therefore go on beside the
poll, see :mod:`.read_schedule`, and decide whether the store is reachable; after one
that failed there are only short reads until one succeeds. Each call is priced and
limited in rate, so a node waits longer after each failed one while its peers still
read.
"""

import asyncio
import random
from collections.abc import Awaitable, Callable

from .. import data, interfaces
from . import config_age, read_schedule, store_calls

# A store that was restored may leave a poll of the former store waiting.
CONFIG_POLL_TIMEOUT_S = 6.0
# Interval of the short reads over the bound within which a config has to be in force;
# the rest is for the response and the way to the other nodes.
READ_INTERVAL_RATIO = 0.5
MIN_READ_INTERVAL_S = 0.2
MIN_BACKOFF_S = 0.2
MAX_BACKOFF_S = 1.0
MAX_BACKOFF_WITH_PEERS_S = 3.0
FIRST_POLL_DELAY_S = 1.5  # until the nodes have chosen those that go on reading
CALL_KIND = "config"


def ignore_read(began_at: float) -> None:
    """Does nothing."""


def is_always_first() -> bool:
    """Returns that no other node tries to read the store before this one."""
    return True


def compute_read_interval_s(config_bound_s: float) -> float:
    """Computes the longest time between two short reads, in seconds.

    :param config_bound_s: time in which a config has to be in force, in seconds.
    """
    interval_s = READ_INTERVAL_RATIO * config_bound_s
    return min(max(interval_s, MIN_READ_INTERVAL_S), CONFIG_POLL_TIMEOUT_S)


class ConfigWatcher:
    """Reads configs from the store.

    :param calls: counts the calls.
    :param apply_config: called with the bytes of a config and the name of its source;
        returns when the config is in force or refused.
    :param has_peers: returns whether this node is connected to any peers.
    :ivar on_config_read: called after each successful read of the config with the time
        of :func:`.config_age.read_clock` at which it began, in seconds.
    :ivar is_first_to_try: returns whether this node is among those that must notice
        soon that the store is reachable again, see :mod:`.config_role`.
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
        interval_s = compute_read_interval_s(settings.config_bound_s)
        self._schedule = read_schedule.ReadSchedule(interval_s, rng)
        self._read_timeout_s = min(interval_s, interfaces.STORE_TIMEOUT_S)
        self._backoff_s = MIN_BACKOFF_S
        self._is_store_reachable = False
        self._offset = 0
        self._offset_is_valid = False
        self._poll: asyncio.Future[data.StoreRecord | None] | None = None
        self._call_began_at: float | None = None
        self._reading_enabled = asyncio.Event()
        self._reading_enabled.set()
        self.on_config_read: Callable[[float], None] = ignore_read
        self.is_first_to_try: Callable[[], bool] = is_always_first
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
        """Returns the time since the last successful read began, here or at a peer.

        :param now: time of the event loop, in seconds.
        :returns: the time in seconds; None if no read has succeeded.
        """
        confirmed_at = self._schedule.confirmed_at
        return None if confirmed_at == float("-inf") else now - confirmed_at

    def set_config_reading(self, *, enabled: bool) -> None:
        """Starts or stops reading configs; a call in progress may still succeed."""
        if enabled:
            self._reading_enabled.set()
        else:
            self._reading_enabled.clear()

    def confirm_read(self, began_at: float) -> None:
        """Handles a successful read of a peer whose config is in force here.

        :param began_at: time of the event loop at which it began, in seconds.
        """
        self._schedule.confirm(began_at)

    async def run(self) -> None:
        """Applies each new config, while reading is enabled, until cancelled."""
        is_first = True
        while True:
            if not self._reading_enabled.is_set():
                await self._reading_enabled.wait()
                self._backoff_s = MIN_BACKOFF_S
            if not await self._call_store():
                await self._back_off()
            elif is_first:
                is_first = False
                await asyncio.sleep(FIRST_POLL_DELAY_S)

    async def _call_store(self) -> bool:
        """Reads the store once, or polls it if it can be reached.

        :returns: whether that succeeded.
        """
        loop = asyncio.get_running_loop()
        self._call_began_at = loop.time()
        try:
            if self._is_store_reachable and self._offset_is_valid:
                await self._follow()
            else:
                await self._read()
        except data.OffsetCompactedError as error:
            self._calls.counts[CALL_KIND, error.reason] += 1
            self._calls.check_restore()
            self._offset_is_valid = False
            return False
        except data.StoreError as error:
            duration_s = loop.time() - self._call_began_at
            self._calls.record_failure(CALL_KIND, error, duration_s)
            self._is_store_reachable = False
            return False
        finally:
            self._call_began_at = None
        return True

    async def _read(self) -> data.StoreRecord | None:
        """Reads the newest config, or one that is newer than the last one.

        :raises data.StoreError: if the store gives no usable response in time.
        """
        began_at = asyncio.get_running_loop().time()
        poll_began_at, self._call_began_at = self._call_began_at, began_at
        self._schedule.begin_read(began_at)
        clock_began_at = config_age.read_clock()
        reads_newest = not self._offset_is_valid
        if reads_newest:
            self._offset_is_valid = True
            try:
                record = await self._store.read_config(self._read_timeout_s)
            except data.StoreError:
                self._offset_is_valid = False
                raise
            self._offset = 0
        else:
            record = await self._store.wait_for_config(
                self._offset, 0.0, self._read_timeout_s
            )
            self._backoff_s = MIN_BACKOFF_S
        self._call_began_at = poll_began_at
        await self._handle_record(record)
        self._handle_success(began_at, clock_began_at)
        return record

    async def _follow(self) -> None:
        """Polls the store once and reads it beside the poll when that is due.

        Returns when the poll has ended, or when a read returned what the poll should
        have returned.

        :raises data.StoreError: if the poll or a read fails.
        """
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        clock_began_at = config_age.read_clock()
        wait_s = self._max_wait_s * self._rng.uniform(0.7, 1.3)
        self._poll = asyncio.ensure_future(
            self._store.wait_for_config(self._offset, wait_s)
        )
        try:
            while not await self._wait_for_poll():
                if not self._reading_enabled.is_set():
                    return
                if loop.time() >= self._schedule.due_at and await self._read():
                    return
            if self._poll.cancelled():
                return
            record = self._poll.result()
        finally:
            self._end_poll()
        await self._handle_record(record)
        self._backoff_s = MIN_BACKOFF_S
        # Without a new config the poll has waited until its time had passed.
        self._handle_success(
            began_at if record is not None else began_at + wait_s, clock_began_at
        )

    def _end_poll(self) -> None:
        """Cancels the poll; its result is of no use any more."""
        if not self._poll.cancel() and not self._poll.cancelled():
            self._poll.exception()  # otherwise it counts as unhandled
        self._poll = None

    async def _wait_for_poll(self) -> bool:
        """Waits for the poll until the next read is due; returns whether it ended."""
        remaining_s = self._schedule.due_at - asyncio.get_running_loop().time()
        await asyncio.wait({self._poll}, timeout=max(0.0, remaining_s))
        return self._poll.done()

    async def _handle_record(self, record: data.StoreRecord | None) -> None:
        if record is not None:
            self._offset = record.offset + 1
            await self._apply_config(record.value, "store")

    def _handle_success(self, newest_at: float, clock_began_at: float) -> None:
        """Handles a successful call.

        :param newest_at: time of the event loop at which no config was newer than the
            one in force, in seconds.
        :param clock_began_at: time of :func:`.config_age.read_clock` at which the call
            began, in seconds.
        """
        self._calls.record_success(CALL_KIND)
        self._is_store_reachable = True
        if self._offset_is_valid:
            # Otherwise the store was restored during the call.
            self._schedule.confirm(newest_at)
            self.on_config_read(clock_began_at)

    def _handle_restore(self) -> None:
        """Lets the newest config be read again.

        Offsets of the former store are of no use in the restored one: records may lie
        below them that were never read.
        """
        self._offset_is_valid = False
        if self._poll is not None:
            self._poll.cancel()

    async def _back_off(self) -> None:
        """Waits after a failed call, longer after each one.

        A node that has peers waits longer, since they send it configs. Those that are
        the first to try do not wait beyond a due read.
        """
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + self._backoff_s * self._rng.uniform(0.7, 1.3)
        max_s = MAX_BACKOFF_WITH_PEERS_S if self._has_peers() else MAX_BACKOFF_S
        self._backoff_s = min(max_s, 2 * self._backoff_s)
        while loop.time() < ends_at:
            due_at = self._schedule.due_at if self.is_first_to_try() else ends_at
            wait_s = min(ends_at, due_at) - loop.time()
            if wait_s <= 0.0:
                return
            await asyncio.sleep(wait_s)
