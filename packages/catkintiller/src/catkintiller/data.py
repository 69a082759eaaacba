"""Immutable records that the modules of catkintiller exchange.

Records contain data only. The functions that process them are in the modules of the
processing stages: ``ini`` parses, ``validation`` validates, ``fold`` applies records
of the settings stream in order, and ``tree`` resolves effective settings.
"""

import enum
from typing import NamedTuple


class Ran(enum.Enum):
    """Whether a refused or failed call was executed by the endpoint."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why a call was refused or failed.

    The value is the last segment of the problem type URI.
    """

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
    """Refusal or failure of a call, as it is reported to the caller."""

    reason: Reason
    ran: Ran
    detail: str = ""
    retry_after_ms: int = 0


class Source(NamedTuple):
    """Position in a settings file. Lines are counted from 1."""

    file: str
    section: str
    line: int


class ProblemKind(enum.Enum):
    """Kind of problem in a settings file or a commit."""

    SYNTAX = "syntax"
    UNKNOWN_PATH = "unknown-path"
    UNKNOWN_SETTING = "unknown-setting"
    WRONG_LEVEL = "wrong-level"
    BAD_VALUE = "bad-value"
    OUT_OF_RANGE = "out-of-range"
    DUPLICATE = "duplicate"
    MISSING = "missing"


class Problem(NamedTuple):
    """A problem in a settings file, with a description of what is allowed."""

    kind: ProblemKind
    source: Source
    message: str
    allowed: str


class Level(enum.Enum):
    """Level of a node of the settings tree."""

    ROOT = "root"
    PLACE = "place"
    SERVICE = "service"
    KIND = "kind"
    ENDPOINT = "endpoint"


class Entry(NamedTuple):
    """One line of a settings file. A value of ``None`` clears the setting."""

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
    """An atomic change of one or more nodes of the settings tree.

    ``base`` maps each changed path to the offset of the commit that had changed it
    last when the author read it, or to 0 for a path without settings.
    """

    commit_id: str
    author: str
    message: str
    base: dict[str, int]
    changes: tuple[Change, ...]


class Value(NamedTuple):
    """Value of a setting at one node of the tree, and the commit that set it."""

    text: str
    commit_id: str


class ConflictItem(NamedTuple):
    """A conflict: a node of the tree that another commit changed after ``base``.

    ``base`` and ``current`` are offsets, ``winner`` is the ID of the other commit, and
    ``yours`` and ``theirs`` are the texts of the values in conflict.
    """

    path: str
    base: int
    current: int
    winner: str
    yours: str
    theirs: str


class OutcomeKind(enum.Enum):
    """Kind of outcome of a commit."""

    ACCEPTED = "accepted"
    CONFLICT = "conflict"
    INVALID = "invalid"


class Outcome(NamedTuple):
    """Outcome of a commit; the same for all readers of the stream."""

    kind: OutcomeKind
    offset: int
    commit: Commit
    conflicts: tuple[ConflictItem, ...] = ()
    problems: tuple[Problem, ...] = ()
    previous: tuple[Change, ...] = ()


class SettingsState(NamedTuple):
    """Settings that result from all records up to and including ``offset``.

    ``values`` maps paths and names to values. ``versions`` maps a path to the offset of
    the commit that changed it last. ``outcomes`` contains the outcomes of the newest
    commits in offset order. ``skipped`` is the number of unreadable records.
    """

    offset: int
    values: dict[str, dict[str, Value]]
    versions: dict[str, int]
    outcomes: tuple[Outcome, ...]
    skipped: int = 0


class LogRecord(NamedTuple):
    """Record of a stream of the log service."""

    offset: int
    body: bytes


class Claim(NamedTuple):
    """Claim of an incarnation to execute an idempotency key.

    ``digest`` identifies the request that the key was used for.
    """

    key: str
    digest: bytes
    incarnation: str


class MemberState(enum.IntEnum):
    """State of a member.

    Of two records with the same ``beat``, the one with the higher state takes
    precedence.
    """

    ALIVE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3


class Member(NamedTuple):
    """Membership record of one incarnation of a node.

    ``incarnation`` is a random ID that is generated at process start, so the node of a
    replaced VM is a different member. ``beat`` is the version of the record; only the
    member itself increases it. ``accepting`` is whether its endpoint accepts requests.
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
    """Context that is propagated from a root request to its nested calls.

    ``rank`` is the order of admission, higher first. ``deadline_ms`` is the remaining
    time. ``retries`` is the call's share of the retry budget of the root request.
    ``depth`` is the number of calls between the root request and this one.
    """

    trace_id: str
    rank: int
    deadline_ms: int
    retries: int
    depth: int


class CallRequest(NamedTuple):
    """A call, from the node that received it to the serving node.

    ``handed_over_by`` is the incarnation that handed the key over to the target
    because it is draining; empty if none did.
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
    """Load of a serving node, sent with each response.

    ``level`` is the admission level of the node, that is, the lowest rank that it
    admits. ``downstream_level`` is that of the services which this kind of request
    calls.
    """

    level: int
    downstream_level: int
    in_flight: int
    limit: int
    latency_ms: float


class CallResponse(NamedTuple):
    """Response to a ``CallRequest``; ``refusal`` is set if it was refused or failed.

    ``winner`` is the incarnation that may run the key, if that is not the source.
    """

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
    """Cancels a call whose response is no longer needed."""

    call_id: str
    target: str


class Ping(NamedTuple):
    """A probe of a member.

    ``requested_by`` is the node that requested an indirect probe.
    """

    nonce: str
    source: Member
    target: str
    settings_offset: int
    digest: int
    gossip: tuple[Member, ...]
    requested_by: str = ""


class PingRequest(NamedTuple):
    """Requests an indirect probe of ``subject`` from another member."""

    nonce: str
    source: Member
    subject: Member


class Ack(NamedTuple):
    """Reply to a probe, from the node that now uses the probed address."""

    nonce: str
    source: Member
    settings_offset: int
    digest: int
    gossip: tuple[Member, ...]


class MembersRequest(NamedTuple):
    """Requests all members that the receiver has a record of."""

    source: Member


class MembersPage(NamedTuple):
    """Part of the membership table of the sender."""

    source: Member
    members: tuple[Member, ...]


class MembersDigest(NamedTuple):
    """Hashes of the buckets of the sender's table; requests those that differ."""

    source: Member
    buckets: tuple[int, ...]


class SettingsRequest(NamedTuple):
    """Requests the settings records after ``offset``."""

    source: Member
    offset: int


class SettingsTail(NamedTuple):
    """Consecutive settings records for a peer with an older state."""

    records: tuple[LogRecord, ...]


class SettingsSnapshot(NamedTuple):
    """Settings state for a peer that lacks too many records for a tail."""

    state: SettingsState


class TicketRequest(NamedTuple):
    """Requests tickets, that is, keys that only the target will execute."""

    call_id: str
    target: str
    count: int
    reply_to: str


class TicketResponse(NamedTuple):
    """Tickets that are bound to the responding incarnation."""

    call_id: str
    source: str
    tickets: tuple[str, ...]
