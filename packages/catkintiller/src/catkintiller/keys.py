"""Idempotency keys: at most one execution for each key.

A key is run by one incarnation only. A *ticket* names that incarnation, and the
time until which it may be used, in its text. A plain key is bound to one by the
first claim in the offset order of the log. The incarnation keeps what became of
the key in memory; when it dies, the outcome is lost and the key is never run
again.
"""

import asyncio
import collections
import enum
import hashlib
import secrets
from typing import NamedTuple

from . import data

TICKET_PREFIX = "t1"
SWEEPS_PER_RETENTION = 8
MAX_KEY_LENGTH = 200
MAX_STORED_BYTES = 16 * 1024 * 1024


class Ticket(NamedTuple):
    """A parsed ticket: who may run it, and until when.

    ``expires_ms`` counts from the start of that incarnation.
    """

    incarnation: str
    expires_ms: int


class KeyState(enum.Enum):
    """How far the work of a key has come.

    A key that is unclaimed needs a claim on the log before it is ready to run. A
    key that was handed over may only run at the incarnation that it went to.
    """

    UNCLAIMED = "unclaimed"
    READY = "ready"
    RUNNING = "running"
    FINISHED = "finished"
    LOST = "lost"
    HANDED_OVER = "handed-over"


class StoredAnswer(NamedTuple):
    """The whole answer of a finished key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class KeyEntry:
    """The state of one key at the incarnation that may run it.

    ``done`` is set when a run ends, for repeats that joined it; ``failure`` is
    then why it has no answer. The entry is kept until ``kept_until``.
    """

    def __init__(self, digest: bytes, kept_until: float) -> None:
        self.digest = digest
        self.kept_until = kept_until
        self.state = KeyState.READY
        self.answer: StoredAnswer | None = None
        self.failure: Exception | None = None
        self.successor = ""
        self.done = asyncio.Event()


def compute_digest(method: str, path: str, body: bytes) -> bytes:
    """Computes what tells two requests under one key apart."""
    head = f"{method} {path}\n".encode()
    return hashlib.blake2b(head + body, digest_size=16).digest()


def format_ticket(incarnation: str, expires_ms: int) -> str:
    """Makes a new ticket for an incarnation."""
    return f"{TICKET_PREFIX}.{incarnation}.{expires_ms}.{secrets.token_hex(8)}"


def parse_ticket(key: str) -> Ticket | None:
    """Parses a key.

    :returns: the ticket, or ``None`` if the key is a plain one.
    """
    parts = key.split(".")
    if len(parts) != 4 or parts[0] != TICKET_PREFIX:
        return None
    if not parts[2].isascii() or not parts[2].isdigit():
        return None
    return Ticket(parts[1], int(parts[2]))


def is_valid_key(key: str) -> bool:
    """Tells whether a text may serve as an idempotency key."""
    return 0 < len(key) <= MAX_KEY_LENGTH and key.isascii() and key.isprintable()


class KeyTable:
    """Keys of one incarnation. Time is an argument, in seconds.

    :param incarnation: the incarnation that may run them.
    :param started: when the incarnation started.
    """

    def __init__(self, incarnation: str, started: float) -> None:
        self._incarnation = incarnation
        self._started = started
        self._entries: dict[str, KeyEntry] = {}
        self._swept = started
        self._stored: collections.deque[KeyEntry] = collections.deque()
        self._stored_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def issue_tickets(self, now: float, retention_s: float, count: int) -> list[str]:
        """Draws tickets that this incarnation will run for one retention."""
        expires_ms = int((now - self._started + retention_s) * 1000)
        return [format_ticket(self._incarnation, expires_ms) for _ in range(count)]

    def is_redeemable(self, now: float, ticket: Ticket) -> bool:
        """Tells whether a ticket without an entry can be known never to have run.

        The entry of a ticket is kept until the ticket expires, so one that has
        not expired and has no entry has not run.
        """
        return (
            ticket.incarnation == self._incarnation
            and (now - self._started) * 1000 < ticket.expires_ms
        )

    def get(self, key: str) -> KeyEntry | None:
        """Gets the entry of a key."""
        return self._entries.get(key)

    def add(self, now: float, key: str, digest: bytes, retention_s: float) -> KeyEntry:
        """Adds an entry for a key that has none."""
        kept_until = now + 2 * retention_s
        ticket = parse_ticket(key)
        if ticket:
            expires = self._started + ticket.expires_ms / 1000
            kept_until = max(kept_until, expires + retention_s)
        entry = self._entries[key] = KeyEntry(digest, kept_until)
        return entry

    def store(self, entry: KeyEntry, answer: StoredAnswer) -> None:
        """Keeps the answer of a finished key.

        The oldest answers are dropped when all together are too large; their
        keys stay, so they still never run again.
        """
        entry.answer = answer
        self._stored.append(entry)
        self._stored_bytes += len(answer.body)
        while self._stored_bytes > MAX_STORED_BYTES:
            oldest = self._stored.popleft()
            self._stored_bytes -= len(oldest.answer.body)
            oldest.answer = None

    def remove(self, key: str) -> None:
        """Removes the entry of a key that another incarnation may run."""
        self._entries.pop(key, None)

    def remove_expired(self, now: float, retention_s: float) -> None:
        """Drops entries that need not be kept any longer."""
        if now - self._swept < retention_s / SWEEPS_PER_RETENTION:
            return
        self._swept = now
        while self._stored and self._stored[0].kept_until <= now:
            self._stored_bytes -= len(self._stored.popleft().answer.body)
        self._entries = {
            key: entry
            for key, entry in self._entries.items()
            if entry.kept_until > now or entry.state is KeyState.RUNNING
        }


class ClaimTable:
    """The winners of plain keys: the first claim of each in offset order."""

    def __init__(self) -> None:
        self._claims: dict[str, tuple[data.Claim, float]] = {}
        self._offset = 0
        self._swept = 0.0

    def __len__(self) -> int:
        return len(self._claims)

    @property
    def offset(self) -> int:
        """Offset up to which the stream was read."""
        return self._offset

    def apply(self, now: float, offset: int, claims: tuple[data.Claim, ...]) -> None:
        """Takes the claims of one record of the stream."""
        if offset <= self._offset:
            return
        self._offset = offset
        for claim in claims:
            self._claims.setdefault(claim.key, (claim, now))

    def skip_to_offset(self, offset: int) -> None:
        """Goes on after records that the log no longer keeps."""
        self._offset = max(self._offset, offset)

    def get_winner(self, key: str) -> data.Claim | None:
        """Finds the claim that binds a key."""
        found = self._claims.get(key)
        return found[0] if found else None

    def remove_expired(self, now: float, retention_s: float) -> None:
        """Drops claims that were read more than one retention ago."""
        if now - self._swept < retention_s / SWEEPS_PER_RETENTION:
            return
        self._swept = now
        oldest = now - retention_s
        self._claims = {
            key: found for key, found in self._claims.items() if found[1] > oldest
        }
