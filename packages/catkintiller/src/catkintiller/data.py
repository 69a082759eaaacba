"""Immutable records that the parts of catkintiller hand to one another.

Every record is plain data. The functions that make, check and transform the
records live in the modules named after their stage: ``ini`` loads, ``validate``
checks, ``fold`` orders, ``tree`` answers questions.
"""

import enum
from typing import NamedTuple


class Ran(enum.Enum):
    """Whether a refused or failed call reached the work it asked for."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why a call was refused or failed; the last part of the problem type."""

    OVERLOADED = "overloaded"
    CHAIN_OVERLOADED = "chain-overloaded"
    SHED_AT_ARRIVAL = "shed-at-arrival"
    QUEUE_TIMEOUT = "queue-timeout"
    LEAVING = "leaving"
    NO_ENDPOINT = "no-endpoint"
    NO_SETTINGS = "no-settings"
    DEADLINE = "deadline"
    CONNECTION_LOST = "connection-lost"
    ENDPOINT_REFUSED = "endpoint-refused"
    PARENT_GONE = "parent-gone"
    BODY_TOO_LARGE = "body-too-large"
    ANSWER_TOO_LARGE = "answer-too-large"
    KEY_MISSING = "key-missing"
    KEY_INVALID = "key-invalid"
    KEY_REUSED = "key-reused"
    KEY_OUTCOME_LOST = "key-outcome-lost"
    KEY_ANSWER_DROPPED = "key-answer-dropped"
    LOG_UNAVAILABLE = "log-unavailable"
    CALL_CANCELLED = "call-cancelled"


class Refusal(NamedTuple):
    """A typed failure of one call, reported to its caller."""

    reason: Reason
    ran: Ran
    detail: str = ""
    retry_after_ms: int = 0


class Source(NamedTuple):
    """Where a settings text says something: file, section and line (from 1)."""

    file: str
    section: str
    line: int


class ProblemKind(enum.Enum):
    """What is wrong with a settings text or a commit."""

    SYNTAX = "syntax"
    UNKNOWN_PATH = "unknown-path"
    UNKNOWN_SETTING = "unknown-setting"
    WRONG_LEVEL = "wrong-level"
    BAD_VALUE = "bad-value"
    OUT_OF_RANGE = "out-of-range"
    DUPLICATE = "duplicate"
    MISSING = "missing"


class Problem(NamedTuple):
    """One fault of a settings text, with what would be allowed there."""

    kind: ProblemKind
    source: Source
    message: str
    allowed: str


class Level(enum.Enum):
    """The kinds of node of the settings tree."""

    ROOT = "root"
    PLACE = "place"
    SERVICE = "service"
    KIND = "kind"
    ENDPOINT = "endpoint"


class Entry(NamedTuple):
    """One line of a settings text. A value of ``None`` means: inherit again."""

    path: str
    name: str
    value: str | None
    source: Source


class Change(NamedTuple):
    """One change of a commit. A value of ``None`` clears the setting."""

    path: str
    name: str
    value: str | None


class Commit(NamedTuple):
    """A request to change several tree nodes at once, all or nothing.

    ``base`` maps each touched path to the offset of the commit that last
    changed it, as the author saw it; 0 for a path without settings.
    """

    commit_id: str
    author: str
    message: str
    base: dict[str, int]
    changes: tuple[Change, ...]


class Value(NamedTuple):
    """A setting at one tree node: its text and the commit that set it."""

    text: str
    commit_id: str


class ConflictItem(NamedTuple):
    """One tree node that a rejected commit found changed by another commit."""

    path: str
    base: int
    current: int
    winner: str
    yours: str
    theirs: str


class OutcomeKind(enum.Enum):
    """What became of a commit record."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"


class Outcome(NamedTuple):
    """What the fold decided about a commit, the same at every reader."""

    kind: OutcomeKind
    offset: int
    commit: Commit
    conflicts: tuple[ConflictItem, ...] = ()
    problems: tuple[Problem, ...] = ()
    previous: tuple[Change, ...] = ()


class SettingsState(NamedTuple):
    """The folded settings: everything up to and including ``offset``.

    ``values`` maps path, then name, to the value; ``versions`` maps path to the
    offset of the commit that last changed it; ``outcomes`` holds the newest
    commits' outcomes in offset order; ``skipped`` counts unreadable records.
    """

    offset: int
    values: dict[str, dict[str, Value]]
    versions: dict[str, int]
    outcomes: tuple[Outcome, ...]
    skipped: int = 0


class LogRecord(NamedTuple):
    """One record of a stream of the log service."""

    offset: int
    body: bytes


class Claim(NamedTuple):
    """A node's wish to be the one that may run an idempotency key."""

    key: str
    digest: bytes
    incarnation: str


class MemberState(enum.IntEnum):
    """Liveness of a member; of two records with one beat the higher state wins."""

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3


class Member(NamedTuple):
    """One incarnation of a node, as membership knows it.

    ``incarnation`` is drawn at process start, so a replaced VM is another
    member. Only the member itself raises its own ``beat``.
    """

    incarnation: str
    address: str
    http_address: str
    region: str
    zone: str
    service: str
    endpoint: str
    state: MemberState
    beat: int
    accepting: bool


class CallContext(NamedTuple):
    """What a call carries along its chain.

    ``rank`` orders calls for admission, higher first; ``deadline_ms`` is the
    time left; ``retries`` is the share of the chain's retry budget.
    """

    trace_id: str
    rank: int
    deadline_ms: int
    retries: int
    depth: int


class CallRequest(NamedTuple):
    """A call on its way from the node that received it to the serving node.

    ``handed_over_by`` names the leaving incarnation that gave the key to the target.
    """

    call_id: str
    target: str
    service: str
    kind: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    context: CallContext
    key: str
    handed_over_by: str
    reply_to: str


class Feedback(NamedTuple):
    """What a serving node says of itself on each answer.

    ``level`` is the lowest rank it admits now; ``downstream_level`` the same for the
    services that this kind of request goes on to call.
    """

    level: int
    downstream_level: int
    in_flight: int
    limit: int
    latency_ms: float


class CallAnswer(NamedTuple):
    """The answer to one ``CallRequest``; ``refusal`` is set if it failed."""

    call_id: str
    source: str
    status: int
    headers: tuple[tuple[str, str], ...]
    body_length: int
    refusal: Refusal | None
    retries_left: int
    winner: str
    queue_ms: float
    endpoint_ms: float
    feedback: Feedback


class CallCancel(NamedTuple):
    """The receiving node no longer wants the answer to a call."""

    call_id: str
    target: str


class Ping(NamedTuple):
    """A liveness probe. ``requested_by`` names the asker of an indirect probe."""

    nonce: str
    source: Member
    target: str
    settings_offset: int
    digest: int
    gossip: tuple[Member, ...]
    requested_by: str = ""


class PingRequest(NamedTuple):
    """Asks a third member to probe ``subject`` on the sender's behalf."""

    nonce: str
    source: Member
    subject: Member


class Ack(NamedTuple):
    """The reply to a probe, by whoever now answers at the probed address."""

    nonce: str
    source: Member
    settings_offset: int
    digest: int
    gossip: tuple[Member, ...]


class MembersRequest(NamedTuple):
    """Asks for every member that the receiver knows."""

    source: Member


class MembersPage(NamedTuple):
    """A part of the membership table."""

    source: Member
    members: tuple[Member, ...]


class MembersDigest(NamedTuple):
    """Hashes over parts of the sender's table; asks for the parts that differ."""

    source: Member
    buckets: tuple[int, ...]


class SettingsRequest(NamedTuple):
    """Asks for the settings records after ``offset``."""

    source: Member
    offset: int


class SettingsTail(NamedTuple):
    """Consecutive settings records for a peer that is behind."""

    records: tuple[LogRecord, ...]


class SettingsSnapshot(NamedTuple):
    """The folded settings for a peer that is too far behind for a tail."""

    state: SettingsState


class TicketRequest(NamedTuple):
    """Asks a node for ticket keys that only it will run."""

    call_id: str
    target: str
    count: int
    reply_to: str


class TicketAnswer(NamedTuple):
    """Ticket keys bound to the answering incarnation."""

    call_id: str
    source: str
    tickets: tuple[str, ...]
