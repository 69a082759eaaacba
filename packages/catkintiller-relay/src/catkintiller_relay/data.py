"""Immutable records and enums that the modules of a node share, and its errors."""

import enum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from .customers import credentials


class RequestKind(enum.Enum):
    """Whether a request may safely run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "once"


class HeaderNames(NamedTuple):
    """Names of the HTTP headers that a node reads or sets, in lower case.

    :param request_id: identity of one attempt of a client.
    :param deadline: time left until the sender's deadline, in milliseconds.
    :param signature: the endpoint's signature of its response.
    :param target: instance ID of the endpoint that is to run the request.
    :param not_run: present in a response if the endpoint did not run the request.
    :param caller: service of the VM that sent the request.
    :param instance: instance ID of the endpoint that responds.
    :param rate_limit: requests per second that the responding endpoint accepts from all
        nodes together.
    :param leaving: ``1`` in the responses of an endpoint that is about to leave.
    :param credentials: the client's key, after the name of its scheme.
    :param customer: name of the customer that the request belongs to.
    """

    request_id: bytes
    deadline: bytes
    signature: bytes
    target: bytes
    not_run: bytes
    caller: bytes
    instance: bytes
    rate_limit: bytes
    leaving: bytes
    credentials: bytes
    customer: bytes


class Destination(NamedTuple):
    """A service that a route sends requests to.

    :param weight: share of the route's requests, relative to its other destinations.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """One routing rule of the config.

    :param prefix: prefix of the paths that match; ends with a slash.
    :param timeout_s: longest time until a request is answered, in seconds.
    :param target_latency_s: latency in seconds up to which a response has full value.
    :param max_attempts: maximum number of endpoints that one request may be sent to.
    :param rank: importance of the requests; 0 is the highest.
    :param public: whether requests need no key although the config has customers.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    destinations: tuple[Destination, ...]
    timeout_s: float
    target_latency_s: float
    max_attempts: int
    rank: int
    public: bool = False


class Customer(NamedTuple):
    """A customer, whose requests carry one of its keys.

    :param key_digests: digests of its keys, see :func:`.credentials.compute_digest`.
    :param rank: importance of its requests, in place of that of their routes; 0 is the
        highest, None keeps that of the routes.
    :param rate_per_s: root requests per second that may run at all nodes together; 0
        for no limit.
    :param burst: root requests that may run at once in addition.
    """

    name: str
    key_digests: tuple[bytes, ...]
    rank: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


class ClientLimits(NamedTuple):
    """Limits on the size, in bytes, and duration, in seconds, of clients' requests."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Config(NamedTuple):
    """One version of the operators' config.

    :param version: number of the version; newer versions have higher numbers.
    :param raw: bytes that it was decoded from; sent to other nodes as they are.
    :param customers: customers whose requests are served; without any, requests need no
        key.
    :param key_table: table of these customers; None if it has yet to be built.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[str, ...]
    limits: ClientLimits
    raw: bytes
    customers: tuple[Customer, ...] = ()
    key_table: "credentials.KeyTable | None" = None


class EndpointState(enum.Enum):
    """State that an endpoint announces."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Announcement(NamedTuple):
    """Regular message of an endpoint to the node beside it.

    :param instance: instance ID of the endpoint.
    :param slots: number of requests that it runs concurrently.
    :param warmup_s: time left until it has warmed up, in seconds.
    :param seq: sequence number of the announcement since the endpoint's start.
    :param start_ms: Unix time of the endpoint's start, in milliseconds.
    """

    instance: str
    service: str
    address: str
    zone: str
    slots: int
    state: EndpointState
    warmup_s: float
    seq: int
    start_ms: int


class StoreSettings(NamedTuple):
    """Address of the platform's store."""

    address: str


class Settings(NamedTuple):
    """Settings of a process, loaded at its start.

    :param node: name of the node.
    :param ip: IP address of the VM.
    :param zone: availability zone of the VM.
    :param inbound: address where other nodes connect.
    :param outbound: address for requests of clients and of this VM's endpoint.
    :param readiness: address of the readiness check of the platform.
    :param admin: address for the endpoint's announcements.
    :param metrics: address where the metrics are read.
    :param endpoint: address of the endpoint of this VM.
    :param service: service of the endpoint of this VM.
    :param heartbeat_s: usual interval between two announcements, in seconds.
    :param grace_s: time between SIGTERM and SIGKILL, in seconds.
    :param drain_s: time after the acknowledgement of an endpoint's departure, in
        seconds; when it has passed, the endpoint gets no new request.
    :param retry_ratio: retries allowed for each request of a service.
    :param retry_slack: retries allowed in addition, summed over all nodes.
    :param retry_window_s: window over which both bounds hold, in seconds.
    :param memory_mb: memory limit of the process, in megabytes.
    :param max_fds: limit of open file descriptors of the process.
    :param config_bound_s: time from the acknowledgement of a config in which it has to
        be in force, in seconds.
    :param revoke_s: time in which a withdrawn key stops being honoured, in seconds.
    :param strict_revoke: whether requests with keys are refused while this node cannot
        know which keys were withdrawn within that time.
    """

    node: str
    ip: str
    zone: str
    inbound: str
    outbound: str
    readiness: str
    admin: str
    metrics: str
    endpoint: str
    service: str
    heartbeat_s: float
    grace_s: float
    drain_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    memory_mb: int
    max_fds: int
    store: StoreSettings
    config_bound_s: float = 2.0
    revoke_s: float = 5.0
    strict_revoke: bool = False

    @property
    def max_key_age_s(self) -> float | None:
        """Longest age of what is known about keys, in seconds; None for no limit."""
        return self.revoke_s if self.strict_revoke else None


class StoreRecord(NamedTuple):
    """A value in the store.

    :param offset: position in the store's order of writes.
    """

    key: str
    value: bytes
    offset: int


class StoreError(Exception):
    """A call to the store failed or returned an unusable response.

    :param reason: short cause, used in log lines and as a metric label.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class OffsetCompactedError(StoreError):
    """The store has compacted its log beyond the requested offset.

    The newest record of each key remains.
    """


class DecodeError(Exception):
    """Input from outside the process has an invalid format."""


class RefusalReason(enum.Enum):
    """Why a request did not run, or why its outcome is unknown."""

    NO_CONFIG = "no_config"
    NO_ENDPOINT = "no_endpoint"
    OVERLOADED = "overloaded"
    CHAIN_OVERLOADED = "chain_overloaded"
    QUEUE_TIMEOUT = "queue_timeout"
    NO_MEMORY = "no_memory"
    ENDPOINT_FULL = "endpoint_full"
    ENDPOINT_REFUSED = "endpoint_refused"
    ENDPOINT_LEAVING = "endpoint_leaving"
    WRONG_SERVICE = "wrong_service"
    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    BROKEN_ANSWER = "broken_answer"
    CONNECTION_LOST = "connection_lost"
    NODE_LOST = "node_lost"
    STOPPING = "stopping"
    BLOCKED = "blocked"
    SUSPECT = "suspect"
    PARENT_ENDED = "parent_ended"
    SHARE_EXCEEDED = "share_exceeded"
    QUOTA_EXCEEDED = "quota_exceeded"
    QUOTA_UNKNOWN = "quota_unknown"
    KEYS_OUTDATED = "keys_outdated"


class Outcome(enum.IntEnum):
    """Outcome of a request at an endpoint."""

    ANSWERED = 0
    NOT_RUN = 1
    UNKNOWN = 2


class ConfigReading(enum.IntEnum):
    """Whether a node reads configs from the store or gets them from its peers."""

    FROM_PEERS = 0
    STORE_UNREACHABLE = 1
    FROM_STORE = 2
