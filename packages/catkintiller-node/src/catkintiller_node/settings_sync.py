"""Keeps the settings of this node at the newest committed state.

A few nodes of each availability zone read the log. They push what is new to a
few peers, who push it on, and every probe between nodes compares offsets, so a
node that missed a push asks for what it lacks. The same exchange serves a node
that starts while the log is down.
"""

import asyncio
import collections
import hashlib
import logging
import random
import time
from collections.abc import Callable

from catkintiller import data, errors, fold, logclient, membership

from . import mesh

logger = logging.getLogger("catkintiller.settings")

STREAM = "settings"
READERS_PER_ZONE_COUNT = 2
READERS_REFRESH_S = 2.0
PUSH_FANOUT_COUNT = 3
RECENT_RECORDS_MAX_COUNT = 2000
RECENT_RECORDS_MAX_BYTES = 2 * 1024 * 1024
READ_WAIT_MS = 10_000
IDLE_INTERVAL_S = 0.5
SNAPSHOT_INTERVAL_COUNT = 2000
SNAPSHOT_JITTER_MAX_S = 0.5


class SettingsSync:
    """The folded settings of one node.

    :param on_change: called with each newer state.
    :param snapshot_s: longest time between two snapshots on the log.
    """

    def __init__(
        self,
        members: membership.Membership,
        transport: mesh.Mesh,
        log: logclient.LogClient,
        on_change: Callable[[data.SettingsState], None],
        snapshot_s: float,
        rng: random.Random,
    ) -> None:
        self._members = members
        self._mesh = transport
        self._log = log
        self._on_change = on_change
        self._snapshot_s = snapshot_s
        self._rng = rng
        self._state = fold.EMPTY
        self._tail: collections.deque[data.LogRecord] = collections.deque()
        self._tail_bytes = 0
        self._changed_at = 0.0
        self._snapshot_seen: float | None = None
        self._snapshot_offset = 0
        self._log_first = 1
        self._reads = False
        self._readers_expire = 0.0
        self._log_ok = True

    @property
    def state(self) -> data.SettingsState:
        """The newest state that this node holds."""
        return self._state

    @property
    def log_ok(self) -> bool:
        """Whether the last read of the log, if this node reads it, succeeded."""
        return self._log_ok

    def is_reader(self) -> bool:
        """Tells whether this node is one of its zone's readers of the log."""
        now = time.monotonic()
        if now >= self._readers_expire:
            me = self._members.me
            zone = [m for m in self._members.get_alive() if m.zone == me.zone]
            zone.sort(key=lambda member: _hash_incarnation(member.incarnation))
            names = [member.incarnation for member in zone[:READERS_PER_ZONE_COUNT]]
            self._reads = me.incarnation in names
            self._readers_expire = now + READERS_REFRESH_S
        return self._reads

    async def follow(self) -> None:
        """Reads the log, when it is this node's turn, for as long as it runs."""
        attempt = 0
        while True:
            if self._state.offset and not self.is_reader():
                await asyncio.sleep(IDLE_INTERVAL_S)
                continue
            try:
                await self._read_once()
                await self._write_snapshot_if_due()
                attempt = 0
                self._log_ok = True
            except (errors.LogUnavailable, errors.LogOutcomeUnknown) as error:
                if self._log_ok:
                    logger.warning("settings: log unavailable: %s", error)
                self._log_ok = False
                attempt += 1
                await logclient.sleep_backoff(attempt, self._rng)

    def handle_offset(self, address: str, offset: int) -> None:
        """Compares a peer's offset with the own one; asks if the peer has more."""
        if offset > self._state.offset:
            request = data.SettingsRequest(self._members.me, self._state.offset)
            self._mesh.send(address, request)

    def handle_request(self, request: data.SettingsRequest) -> None:
        """Sends a peer what it lacks."""
        if request.offset >= self._state.offset:
            return
        address = request.source.address
        if self._tail and self._tail[0].offset <= request.offset + 1:
            lacking = [r for r in self._tail if r.offset > request.offset]
            self._mesh.send(address, data.SettingsTail(tuple(lacking)))
        else:
            self._mesh.send(address, data.SettingsSnapshot(self._state))

    def handle_tail(self, tail: data.SettingsTail) -> None:
        """Takes records from a peer."""
        try:
            self._apply(list(tail.records))
        except errors.LogTruncated:
            logger.info("settings: a peer's records leave a gap, waiting for more")

    def handle_snapshot(self, snapshot: data.SettingsSnapshot) -> None:
        """Takes a peer's state, if it is newer."""
        if snapshot.state.offset <= self._state.offset:
            return
        self._tail.clear()
        self._tail_bytes = 0
        self._adopt(snapshot.state)

    async def _read_once(self, wait_ms: int = READ_WAIT_MS) -> None:
        start = self._state.offset + 1
        if self._snapshot_seen is None:
            # The age of the log's snapshots counts from the first read.
            self._snapshot_seen = time.monotonic()
        try:
            result = await self._log.read(STREAM, start, wait_ms)
            self._log_first = result.first
            self._apply(result.records)
        except errors.LogTruncated as error:
            await self._recover(error.first)

    async def _recover(self, first: int) -> None:
        records = await logclient.read_to_end(self._log, STREAM, first)
        state = fold.recover_state(self._state, records).state
        if state is None:
            logger.error("settings: the log starts at %d without a snapshot", first)
            await asyncio.sleep(IDLE_INTERVAL_S)
            return
        logger.info("settings: recovered from a snapshot at %d", state.offset)
        self._adopt(state)

    def _apply(self, records: list[data.LogRecord]) -> None:
        state = self._state
        fresh = []
        for record in records:
            applied = fold.apply_record(state, record)
            if applied is not state:
                fresh.append(record)
                self._note_record(record)
            state = applied
        if fresh:
            self._adopt(state)
            self._push(fresh)

    def _note_record(self, record: data.LogRecord) -> None:
        self._tail.append(record)
        self._tail_bytes += len(record.body)
        while (
            len(self._tail) > RECENT_RECORDS_MAX_COUNT
            or self._tail_bytes > RECENT_RECORDS_MAX_BYTES
        ):
            self._tail_bytes -= len(self._tail.popleft().body)
        if record.body[:1] == fold.SNAPSHOT_TAG:
            self._note_snapshot(record.offset)

    def _adopt(self, state: data.SettingsState) -> None:
        self._state = state
        logger.info("settings: in force at offset %d", state.offset)
        self._on_change(state)

    def _push(self, records: list[data.LogRecord]) -> None:
        me = self._members.me
        others = [
            member
            for member in self._members.get_alive()
            if member.incarnation != me.incarnation
        ]
        for member in self._rng.sample(others, min(PUSH_FANOUT_COUNT, len(others))):
            self._mesh.send(member.address, data.SettingsTail(tuple(records)))

    def _note_snapshot(self, offset: int) -> None:
        self._snapshot_seen = time.monotonic()
        self._snapshot_offset = max(self._snapshot_offset, offset)

    def _is_snapshot_due(self) -> bool:
        """Tells whether the newest snapshot is old, far back, or nearly dropped."""
        if not self._state.offset or self._snapshot_seen is None:
            return False
        age_s = time.monotonic() - self._snapshot_seen
        behind = self._state.offset - self._snapshot_offset
        middle = (self._log_first + self._state.offset) / 2
        endangered = self._log_first > 1 and self._snapshot_offset < middle
        old = age_s >= self._snapshot_s or behind >= SNAPSHOT_INTERVAL_COUNT
        return old or endangered

    async def _write_snapshot_if_due(self) -> None:
        """Writes the folded state to the log before its records expire.

        Every reader may write one: a snapshot names the offset it covers, so one
        too many, or a late one, changes nothing.
        """
        if not self._is_snapshot_due():
            return
        known = self._snapshot_offset
        await asyncio.sleep(self._rng.uniform(0, SNAPSHOT_JITTER_MAX_S))
        await self._read_once(wait_ms=0)
        if self._snapshot_offset > known:
            return
        self._note_snapshot(self._snapshot_offset)
        logger.info("settings: snapshot written at offset %d", self._state.offset)
        await self._log.append(STREAM, fold.encode_snapshot(self._state))


def _hash_incarnation(incarnation: str) -> bytes:
    return hashlib.blake2b(incarnation.encode(), digest_size=8).digest()
