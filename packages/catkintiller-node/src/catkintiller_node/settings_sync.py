"""Keeps the settings of this node at the newest committed state.

A few nodes of each availability zone read the log. They push new records to a few
peers, which push them on. The failure detector's probes carry settings offsets, so
a node that missed a push requests the records it lacks. A node that starts while
the log is unavailable gets the settings in the same way.
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
IDLE_INTERVAL_S = 0.5
SNAPSHOT_INTERVAL_COUNT = 2000
SNAPSHOT_JITTER_MAX_S = 0.5


class SettingsSync:
    """Holds the settings state of one node and keeps it up to date.

    :param on_change: called with each newer state.
    :param snapshot_s: longest time between two snapshots on the log, in seconds.
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
        self._recent_records: collections.deque[data.LogRecord] = collections.deque()
        self._recent_bytes = 0
        self._changed_at = 0.0
        self._snapshot_at: float | None = None
        self._snapshot_offset = 0
        self._log_start_offset = 1
        self._reads_log = False
        self._readers_refresh_at = 0.0
        self._log_ok = True

    @property
    def state(self) -> data.SettingsState:
        """The newest state that this node holds."""
        return self._state

    @property
    def log_ok(self) -> bool:
        """Whether the last access to the log succeeded, ``True`` before the first."""
        return self._log_ok

    def is_reader(self) -> bool:
        """Returns whether this node is one of its zone's readers of the log.

        The readers are those with the lowest hashes of their incarnations.
        """
        now = time.monotonic()
        if now >= self._readers_refresh_at:
            own_record = self._members.own_record
            zone_members = [
                m for m in self._members.get_live_members() if m.zone == own_record.zone
            ]
            zone_members.sort(key=lambda member: _hash_incarnation(member.incarnation))
            readers = [
                member.incarnation for member in zone_members[:READERS_PER_ZONE_COUNT]
            ]
            self._reads_log = own_record.incarnation in readers
            self._readers_refresh_at = now + READERS_REFRESH_S
        return self._reads_log

    async def follow(self) -> None:
        """Reads the log until cancelled, if a reader or still without settings."""
        failure_count = 0
        while True:
            if self._state.offset and not self.is_reader():
                await asyncio.sleep(IDLE_INTERVAL_S)
                continue
            try:
                await self._read_once(logclient.get_poll_wait_ms(failure_count))
                await self._write_snapshot_if_due()
                failure_count = 0
                self._log_ok = True
            except (errors.LogUnavailable, errors.LogOutcomeUnknown) as error:
                if self._log_ok:
                    logger.warning("settings: log unavailable: %s", error)
                self._log_ok = False
                failure_count += 1
                await logclient.sleep_backoff(failure_count, self._rng)

    def handle_offset(self, address: str, offset: int) -> None:
        """Requests settings from a peer whose offset is higher than this node's."""
        if offset > self._state.offset:
            request = data.SettingsRequest(self._members.own_record, self._state.offset)
            self._mesh.send(address, request)

    def handle_request(self, request: data.SettingsRequest) -> None:
        """Sends a peer the records it lacks, or a snapshot if they are not kept."""
        if request.offset >= self._state.offset:
            return
        address = request.source.address
        if (
            self._recent_records
            and self._recent_records[0].offset <= request.offset + 1
        ):
            missing_records = [
                r for r in self._recent_records if r.offset > request.offset
            ]
            self._mesh.send(address, data.SettingsTail(tuple(missing_records)))
        else:
            self._mesh.send(address, data.SettingsSnapshot(self._state))

    def handle_tail(self, tail: data.SettingsTail) -> None:
        """Applies records from a peer."""
        try:
            self._apply(list(tail.records))
        except errors.LogTruncated:
            logger.info("settings: gap before the records from a peer, ignored")

    def handle_snapshot(self, snapshot: data.SettingsSnapshot) -> None:
        """Replaces the state with that of a peer, if that is newer."""
        if snapshot.state.offset <= self._state.offset:
            return
        self._recent_records.clear()
        self._recent_bytes = 0
        self._set_state(snapshot.state)

    async def _read_once(self, wait_ms: int) -> None:
        start_offset = self._state.offset + 1
        if self._snapshot_at is None:
            # The age of the newest snapshot is counted from the first read.
            self._snapshot_at = time.monotonic()
        try:
            result = await self._log.read(STREAM, start_offset, wait_ms)
            self._log_start_offset = result.first
            self._apply(result.records)
        except errors.LogTruncated as error:
            await self._recover(error.first)

    async def _recover(self, first_offset: int) -> None:
        records = await logclient.read_to_end(self._log, STREAM, first_offset)
        state = fold.recover_state(self._state, records).state
        if state is None:
            logger.error(
                "settings: no usable snapshot on the log, first offset %d",
                first_offset,
            )
            await asyncio.sleep(IDLE_INTERVAL_S)
            return
        logger.info("settings: recovered from the log, now at offset %d", state.offset)
        self._set_state(state)

    def _apply(self, records: list[data.LogRecord]) -> None:
        state = self._state
        new_records = []
        for record in records:
            applied = fold.apply_record(state, record)
            if applied is not state:
                new_records.append(record)
                self._retain_record(record)
            state = applied
        if new_records:
            self._set_state(state)
            self._push_records(new_records)

    def _retain_record(self, record: data.LogRecord) -> None:
        self._recent_records.append(record)
        self._recent_bytes += len(record.body)
        while (
            len(self._recent_records) > RECENT_RECORDS_MAX_COUNT
            or self._recent_bytes > RECENT_RECORDS_MAX_BYTES
        ):
            self._recent_bytes -= len(self._recent_records.popleft().body)
        if record.body[:1] == fold.SNAPSHOT_TAG:
            self._record_snapshot(record.offset)

    def _set_state(self, state: data.SettingsState) -> None:
        self._state = state
        logger.info("settings: applied up to offset %d", state.offset)
        self._on_change(state)

    def _push_records(self, records: list[data.LogRecord]) -> None:
        own_record = self._members.own_record
        peers = [
            member
            for member in self._members.get_live_members()
            if member.incarnation != own_record.incarnation
        ]
        for member in self._rng.sample(peers, min(PUSH_FANOUT_COUNT, len(peers))):
            self._mesh.send(member.address, data.SettingsTail(tuple(records)))

    def _record_snapshot(self, offset: int) -> None:
        self._snapshot_at = time.monotonic()
        self._snapshot_offset = max(self._snapshot_offset, offset)

    def _is_snapshot_due(self) -> bool:
        """Returns whether a snapshot is to be written.

        That is so if the newest one is too old, is followed by too many records,
        or lies in the older half of a log that has already been truncated.
        """
        if not self._state.offset or self._snapshot_at is None:
            return False
        age_s = time.monotonic() - self._snapshot_at
        record_count = self._state.offset - self._snapshot_offset
        log_middle = (self._log_start_offset + self._state.offset) / 2
        is_near_truncation = (
            self._log_start_offset > 1 and self._snapshot_offset < log_middle
        )
        is_outdated = (
            age_s >= self._snapshot_s or record_count >= SNAPSHOT_INTERVAL_COUNT
        )
        return is_outdated or is_near_truncation

    async def _write_snapshot_if_due(self) -> None:
        """Writes a snapshot of the state to the log before its records expire.

        Every reader may write one: a snapshot carries the offset it covers, so an
        additional or late one changes nothing.
        """
        if not self._is_snapshot_due():
            return
        previous_offset = self._snapshot_offset
        await asyncio.sleep(self._rng.uniform(0, SNAPSHOT_JITTER_MAX_S))
        await self._read_once(wait_ms=0)
        if self._snapshot_offset > previous_offset:
            return
        self._record_snapshot(self._snapshot_offset)
        logger.info("settings: writing a snapshot at offset %d", self._state.offset)
        await self._log.append(STREAM, fold.encode_snapshot(self._state))


def _hash_incarnation(incarnation: str) -> bytes:
    return hashlib.blake2b(incarnation.encode(), digest_size=8).digest()
