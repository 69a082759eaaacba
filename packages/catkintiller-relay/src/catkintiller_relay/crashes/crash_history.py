"""What a node knows about requests that ran when endpoints crashed.

A request that ran when an endpoint crashed is a suspect: it may be the cause, or only
have run beside it. Any response of an endpoint clears it. Suspects run apart from each
other, see :mod:`.isolation`, so a suspect that runs as the only one when another
endpoint crashes is taken as the cause and is blocked: for some time it is not run at
all, then it may run once more as a suspect, and a further crash blocks it for longer.
The crashes at which it ran are explained by it and no longer count against others.

A request is identified by its fingerprint. The tables are bounded; the entry that was
updated least recently is dropped first.
"""

import enum
from collections.abc import Iterable
from typing import NamedTuple

from . import crash

MAX_SUSPECTS = 2048
MAX_BLOCKS = 1024
MAX_CRASH_IDS = 512
MAX_CLEARED = 2048
MAX_CRASHES_PER_SUSPECT = 8
SUSPECT_TTL_S = 600.0

# Duration of the first block of a request, of the second one and so on.
BLOCK_DURATIONS_S = (30.0, 600.0, 3600.0, 30 * 86400.0)


class Standing(enum.Enum):
    """Whether a request may run."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    BLOCKED = "blocked"


class Suspect(NamedTuple):
    """A request that ran when endpoints crashed, without a response since.

    :param crash_ids: the crashes, as far as this node knows them.
    :param reported_count: number of crashes that another node has reported.
    :param updated_at: time of the event loop, in seconds.
    """

    crash_ids: frozenset[bytes]
    reported_count: int
    updated_at: float

    @property
    def crash_count(self) -> int:
        """Number of crashes at which it ran."""
        return max(len(self.crash_ids), self.reported_count)


class Block(NamedTuple):
    """A request that is not run.

    :param ends_at: time of the event loop at which it may run once more, in seconds.
    :param count: how often it has been blocked.
    """

    ends_at: float
    count: int


class BlockRecord(NamedTuple):
    """A block in a form that another node can apply.

    :param remaining_s: time until the request may run once more, in seconds.
    :param count: how often the request has been blocked.
    """

    fingerprint: bytes
    remaining_s: float
    count: int


class CrashReport(NamedTuple):
    """What nodes tell each other.

    :param crash_id: the crash that it reports; empty if it hands over a history.
    :param service: service of the endpoint that crashed; empty for a history.
    :param suspects: fingerprints, each with its number of crashes.
    """

    crash_id: bytes
    service: str
    suspects: tuple[tuple[bytes, int], ...]
    blocks: tuple[BlockRecord, ...]


class CrashHistory:
    """Suspects and blocked requests."""

    def __init__(self) -> None:
        self._suspects: dict[bytes, Suspect] = {}
        self._blocks: dict[bytes, Block] = {}
        self._crash_ids: dict[bytes, None] = {}
        self._explained_ids: dict[bytes, None] = {}
        self._cleared: dict[bytes, None] = {}

    @property
    def is_empty(self) -> bool:
        """Whether every request is clear."""
        return not self._suspects and not self._blocks

    @property
    def suspect_count(self) -> int:
        """Number of suspects."""
        return len(self._suspects)

    @property
    def block_count(self) -> int:
        """Number of requests that are or have been blocked."""
        return len(self._blocks)

    def get_standing(self, now: float, fingerprint: bytes) -> Standing:
        """Returns whether a request may run.

        :param now: time of the event loop in seconds.
        """
        block = self._blocks.get(fingerprint)
        if block is not None:
            return Standing.BLOCKED if now < block.ends_at else Standing.SUSPECT
        return Standing.SUSPECT if fingerprint in self._suspects else Standing.CLEAR

    def get_crash_count(self, fingerprint: bytes) -> int:
        """Returns the number of crashes at which a suspect ran; 0 if it is clear."""
        suspect = self._suspects.get(fingerprint)
        count = suspect.crash_count if suspect is not None else 0
        block = self._blocks.get(fingerprint)
        return count if block is None else max(count, 1 + block.count)

    def get_remaining_block_s(self, now: float, fingerprint: bytes) -> float:
        """Returns how long a request is still blocked, in seconds."""
        block = self._blocks.get(fingerprint)
        return 0.0 if block is None else max(0.0, block.ends_at - now)

    def record_crash(self, now: float, event: crash.EndpointCrash) -> CrashReport:
        """Records a crash of the endpoint beside this node.

        A suspect that ran as the only one is blocked.
        """
        crash_id = event.crash_id
        self._add_crash_id(crash_id)
        fingerprints = dict.fromkeys(run.fingerprint for run in event.runs)
        culprits = {run.fingerprint for run in event.runs if run.is_only_suspect}
        for fingerprint in fingerprints:
            self._add_suspicion(now, fingerprint, crash_id, 0)
        suspects = tuple((each, self.get_crash_count(each)) for each in fingerprints)
        for fingerprint in culprits:
            previous = self._blocks.get(fingerprint)
            count = 1 if previous is None else previous.count + 1
            ends_at = now + get_block_duration_s(count)
            self._block(fingerprint, Block(ends_at, count))
        return CrashReport(
            crash_id, event.service, suspects, self._build_records(now, culprits)
        )

    def merge(self, now: float, report: CrashReport) -> bool:
        """Adds what another node knows.

        :param now: time of the event loop in seconds.
        :returns: whether it reports a crash or a block that was not known.
        """
        if report.crash_id and report.crash_id in self._crash_ids:
            return False
        is_new = bool(report.crash_id)
        if report.crash_id:
            self._add_crash_id(report.crash_id)
        for fingerprint, count in report.suspects:
            if report.crash_id:
                self._add_suspicion(now, fingerprint, report.crash_id, count)
            elif fingerprint not in self._cleared:
                self._add_suspicion(now, fingerprint, None, count)
        for record in report.blocks:
            is_new |= self.merge_block(now, record)
        return is_new

    def merge_block(self, now: float, record: BlockRecord) -> bool:
        """Applies a block that another node knows, or that the store has.

        :returns: whether it was not known.
        """
        previous = self._blocks.get(record.fingerprint)
        if previous is not None and previous.count >= record.count:
            return False
        block = Block(now + max(0.0, record.remaining_s), record.count)
        self._block(record.fingerprint, block)
        return True

    def record_suspicion(self, now: float, fingerprint: bytes, count: int) -> None:
        """Records that the sender of a request holds it for a suspect."""
        if fingerprint not in self._cleared:
            self._add_suspicion(now, fingerprint, None, count)

    def record_response(self, fingerprint: bytes) -> Standing:
        """Clears a request to which an endpoint has responded.

        :returns: what it was before; a block that has ended counts as blocked.
        """
        was_suspect = self._suspects.pop(fingerprint, None) is not None
        was_blocked = self._blocks.pop(fingerprint, None) is not None
        if not was_suspect and not was_blocked:
            return Standing.CLEAR
        put_newest(self._cleared, fingerprint, None, MAX_CLEARED)
        return Standing.BLOCKED if was_blocked else Standing.SUSPECT

    def drop_expired(self, now: float) -> None:
        """Drops the suspects that have not run for a long time.

        :param now: time of the event loop in seconds.
        """
        while self._suspects:
            fingerprint, suspect = next(iter(self._suspects.items()))
            if now - suspect.updated_at < SUSPECT_TTL_S:
                return
            del self._suspects[fingerprint]

    def build_handover(self, now: float) -> CrashReport:
        """Builds a report of the whole history, for a node that has just started."""
        suspects = tuple(
            (fingerprint, suspect.crash_count)
            for fingerprint, suspect in reversed(self._suspects.items())
        )
        return CrashReport(b"", "", suspects, self._build_records(now, self._blocks))

    def _add_suspicion(
        self, now: float, fingerprint: bytes, crash_id: bytes | None, count: int
    ) -> None:
        previous = self._suspects.get(fingerprint)
        crash_ids = previous.crash_ids if previous is not None else frozenset()
        if crash_id in self._explained_ids and fingerprint not in self._blocks:
            return
        if crash_id is not None and len(crash_ids) < MAX_CRASHES_PER_SUSPECT:
            crash_ids |= {crash_id}
        reported_count = max(count, previous.reported_count if previous else 0)
        suspect = Suspect(crash_ids, reported_count, now)
        put_newest(self._suspects, fingerprint, suspect, MAX_SUSPECTS)
        self._cleared.pop(fingerprint, None)

    def _block(self, fingerprint: bytes, block: Block) -> None:
        """Blocks a request; the crashes at which it ran are explained by it."""
        put_newest(self._blocks, fingerprint, block, MAX_BLOCKS)
        suspect = self._suspects.pop(fingerprint, None)
        if suspect is None:
            return
        for crash_id in suspect.crash_ids:
            put_newest(self._explained_ids, crash_id, None, MAX_CRASH_IDS)
        explained = [
            each
            for each, other in self._suspects.items()
            if other.crash_ids and other.crash_ids <= self._explained_ids.keys()
        ]
        for each in explained:
            del self._suspects[each]

    def _build_records(
        self, now: float, fingerprints: Iterable[bytes]
    ) -> tuple[BlockRecord, ...]:
        return tuple(
            BlockRecord(each, max(0.0, block.ends_at - now), block.count)
            for each in fingerprints
            if (block := self._blocks.get(each)) is not None
        )

    def _add_crash_id(self, crash_id: bytes) -> None:
        put_newest(self._crash_ids, crash_id, None, MAX_CRASH_IDS)


def get_block_duration_s(count: int) -> float:
    """Returns for how long a request is blocked, in seconds.

    :param count: how often it has been blocked, this time included.
    """
    last = len(BLOCK_DURATIONS_S)
    return BLOCK_DURATIONS_S[max(1, min(count, last)) - 1]


def put_newest(table: dict, key: bytes, value: object, max_count: int) -> None:
    """Puts an entry at the end of a table and drops the first ones beyond a number."""
    table.pop(key, None)
    table[key] = value
    while len(table) > max_count:
        del table[next(iter(table))]
