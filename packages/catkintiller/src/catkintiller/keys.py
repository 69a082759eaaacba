"""Idempotency keys: at most one execution for each key.

Requests with one key are executed by a single incarnation. A *ticket* is a key whose
text names that incarnation and the time when it expires. A plain key is bound to an
incarnation by its first claim in the offset order of the log. The incarnation keeps
the outcome of a key in memory. When its process ends, the outcome is lost and the key
is never executed again.
"""

import asyncio
import collections
import enum
import hashlib
import secrets
from typing import NamedTuple

from . import data

TICKET_PREFIX = "t1"
CLEANUPS_PER_RETENTION_COUNT = 8
MAX_KEY_LENGTH = 200
MAX_STORED_BYTES = 16 * 1024 * 1024


class Ticket(NamedTuple):
    """A parsed ticket: the incarnation that may execute it, and when it expires.

    ``expires_ms`` is relative to the start of that incarnation.
    """

    incarnation: str
    expires_ms: int


class KeyState(enum.Enum):
    """State of the execution of a key.

    An unclaimed key needs a claim in the log before it is ready to be executed. A
    key that was handed over may only be executed by its successor incarnation.
    """

    UNCLAIMED = "unclaimed"
    READY = "ready"
    RUNNING = "running"
    FINISHED = "finished"
    LOST = "lost"
    HANDED_OVER = "handed-over"


class StoredResponse(NamedTuple):
    """The complete response to the request of a finished key."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class KeyEntry:
    """State of one key at the incarnation that may execute it.

    ``done`` is set when an execution ends, for repeated requests that wait for it;
    ``failure`` is then the reason if there is no response. The entry is retained until
    ``retained_until``, in seconds.
    """

    def __init__(self, digest: bytes, retained_until: float) -> None:
        self.digest = digest
        self.retained_until = retained_until
        self.state = KeyState.READY
        self.response: StoredResponse | None = None
        self.failure: Exception | None = None
        self.successor = ""
        self.done = asyncio.Event()


def compute_digest(method: str, path: str, body: bytes) -> bytes:
    """Computes a digest that distinguishes different requests under one key."""
    prefix = f"{method} {path}\n".encode()
    return hashlib.blake2b(prefix + body, digest_size=16).digest()


def format_ticket(incarnation: str, expires_ms: int) -> str:
    """Builds a new ticket with a random part.

    :param incarnation: incarnation that may execute it.
    :param expires_ms: expiry, in ms since the start of that incarnation.
    """
    return f"{TICKET_PREFIX}.{incarnation}.{expires_ms}.{secrets.token_hex(8)}"


def parse_ticket(key: str) -> Ticket | None:
    """Parses a key.

    :returns: the ticket, or ``None`` if the key is a plain key.
    """
    parts = key.split(".")
    if len(parts) != 4 or parts[0] != TICKET_PREFIX:
        return None
    if not parts[2].isascii() or not parts[2].isdigit():
        return None
    return Ticket(parts[1], int(parts[2]))


def is_valid_key(key: str) -> bool:
    """Returns whether a text is a valid idempotency key."""
    return 0 < len(key) <= MAX_KEY_LENGTH and key.isascii() and key.isprintable()


class KeyTable:
    """Keys of one incarnation. Times are arguments, in seconds.

    :param incarnation: incarnation that may execute the keys.
    :param started_at: time when the incarnation started.
    """

    def __init__(self, incarnation: str, started_at: float) -> None:
        self._incarnation = incarnation
        self._started_at = started_at
        self._entries: dict[str, KeyEntry] = {}
        self._cleaned_up_at = started_at
        self._stored_entries: collections.deque[KeyEntry] = collections.deque()
        self._stored_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def issue_tickets(self, now: float, retention_s: float, count: int) -> list[str]:
        """Issues tickets that this incarnation accepts for one retention period.

        :param retention_s: retention period of keys, in seconds.
        :param count: number of tickets.
        """
        expires_ms = int((now - self._started_at + retention_s) * 1000)
        return [format_ticket(self._incarnation, expires_ms) for _ in range(count)]

    def is_redeemable(self, now: float, ticket: Ticket) -> bool:
        """Returns whether a ticket without an entry may be executed.

        The entry of a ticket is retained until the ticket expires. A ticket of this
        incarnation that has not expired and has no entry was therefore never executed.
        """
        return (
            ticket.incarnation == self._incarnation
            and (now - self._started_at) * 1000 < ticket.expires_ms
        )

    def get(self, key: str) -> KeyEntry | None:
        """Returns the entry of a key, or ``None`` if there is none."""
        return self._entries.get(key)

    def add(self, now: float, key: str, digest: bytes, retention_s: float) -> KeyEntry:
        """Adds an entry for a key that has none.

        :param digest: digest of the request, see :func:`compute_digest`.
        :param retention_s: retention period of keys, in seconds.
        """
        retained_until = now + 2 * retention_s
        ticket = parse_ticket(key)
        if ticket:
            expires_at = self._started_at + ticket.expires_ms / 1000
            retained_until = max(retained_until, expires_at + retention_s)
        entry = self._entries[key] = KeyEntry(digest, retained_until)
        return entry

    def store(self, entry: KeyEntry, response: StoredResponse) -> None:
        """Stores the response of a finished key.

        The oldest responses are dropped when all stored bodies together exceed
        ``MAX_STORED_BYTES``. The entries of their keys remain, so that the keys are
        not executed again.
        """
        entry.response = response
        self._stored_entries.append(entry)
        self._stored_bytes += len(response.body)
        while self._stored_bytes > MAX_STORED_BYTES:
            oldest = self._stored_entries.popleft()
            self._stored_bytes -= len(oldest.response.body)
            oldest.response = None

    def remove(self, key: str) -> None:
        """Removes the entry of a key that another incarnation may execute."""
        self._entries.pop(key, None)

    def remove_expired(self, now: float, retention_s: float) -> None:
        """Removes entries whose retention has ended, unless they are running."""
        if now - self._cleaned_up_at < retention_s / CLEANUPS_PER_RETENTION_COUNT:
            return
        self._cleaned_up_at = now
        while self._stored_entries and self._stored_entries[0].retained_until <= now:
            self._stored_bytes -= len(self._stored_entries.popleft().response.body)
        self._entries = {
            key: entry
            for key, entry in self._entries.items()
            if entry.retained_until > now or entry.state is KeyState.RUNNING
        }


class ClaimTable:
    """The winning claims of plain keys: the first of each in offset order."""

    def __init__(self) -> None:
        self._claims: dict[str, tuple[data.Claim, float]] = {}
        self._offset = 0
        self._cleaned_up_at = 0.0

    def __len__(self) -> int:
        return len(self._claims)

    @property
    def offset(self) -> int:
        """Offset up to which the stream of claims has been read."""
        return self._offset

    def apply(self, now: float, offset: int, claims: tuple[data.Claim, ...]) -> None:
        """Applies the claims of one record of the stream."""
        if offset <= self._offset:
            return
        self._offset = offset
        for claim in claims:
            self._claims.setdefault(claim.key, (claim, now))

    def skip_to_offset(self, offset: int) -> None:
        """Skips records that the log no longer retains."""
        self._offset = max(self._offset, offset)

    def get_winner(self, key: str) -> data.Claim | None:
        """Returns the claim that binds a key, or ``None`` if there is none."""
        winner = self._claims.get(key)
        return winner[0] if winner else None

    def remove_expired(self, now: float, retention_s: float) -> None:
        """Removes claims that were read more than one retention period ago."""
        if now - self._cleaned_up_at < retention_s / CLEANUPS_PER_RETENTION_COUNT:
            return
        self._cleaned_up_at = now
        oldest = now - retention_s
        self._claims = {
            key: winner for key, winner in self._claims.items() if winner[1] > oldest
        }
