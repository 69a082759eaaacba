"""Records that the parts of a node hand to each other. All are immutable."""

import enum
from typing import NamedTuple


class RequestKind(enum.Enum):
    """Whether a request may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "once"


class HeaderNames(NamedTuple):
    """Names of the headers that mean something to a node, in lower case.

    :param request_id: identity of one attempt of a client.
    :param deadline: milliseconds that the sender still waits.
    :param signature: the endpoint's signature of its answer.
    :param target: identity of the endpoint that is to run a request.
    :param not_run: present if the endpoint did not run the request.
    :param caller: service of the VM where a request began.
    :param instance: identity of the endpoint that answers.
    """

    request_id: bytes
    deadline: bytes
    signature: bytes
    target: bytes
    not_run: bytes
    caller: bytes
    instance: bytes


class Destination(NamedTuple):
    """A service that a route leads to, with its share of the requests."""

    service: str
    weight: float


class Route(NamedTuple):
    """One rule of the config.

    :param prefix: beginning of the paths that match; ends with a slash.
    :param timeout_s: longest time that a request is kept waiting.
    :param target_latency_s: time within which an answer is worth most.
    :param attempts: endpoints that one request may be sent to.
    :param rank: importance, 0 is highest.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    destinations: tuple[Destination, ...]
    timeout_s: float
    target_latency_s: float
    attempts: int
    rank: int


class ClientLimits(NamedTuple):
    """What a client may send, in bytes, and how long it may take, in seconds."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Config(NamedTuple):
    """One version of the operators' config.

    :param version: newer versions have higher numbers.
    :param raw: the bytes that it was decoded from, to be handed to other nodes.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[str, ...]
    limits: ClientLimits
    raw: bytes


class EndpointState(enum.Enum):
    """What an endpoint says of itself."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


class Announcement(NamedTuple):
    """What an endpoint told the node beside it.

    :param instance: identity of this start of the endpoint.
    :param start_ms: Unix time of its start in milliseconds.
    :param seq: number of the announcement since that start.
    :param slots: requests that it runs at once.
    :param warmup_s: how much longer it is slow after its start.
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
    """Where the platform's store is."""

    address: str


class Settings(NamedTuple):
    """What a process learns at its start.

    :param inbound: address for other nodes.
    :param outbound: address for clients and the endpoint of this VM.
    :param readiness: address where the platform asks whether the node is ready.
    :param admin: address for the endpoint's announcements.
    :param endpoint: address of the endpoint of this VM.
    :param service: service of the endpoint of this VM.
    :param heartbeat_s: usual time between two announcements.
    :param grace_s: time between SIGTERM and SIGKILL.
    :param drain_s: time after which a leaving endpoint gets no new request.
    :param retry_ratio: share of a service's requests that may be sent again.
    :param retry_slack: number that may be sent again besides, over all nodes.
    :param retry_window_s: length of the window of both.
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


class StoreRecord(NamedTuple):
    """A value in the store with its place in the order of writes."""

    key: str
    value: bytes
    offset: int


class StoreError(Exception):
    """The store gave no usable answer.

    :param reason: short cause, used in log lines and as a metric label.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class OffsetCompactedError(StoreError):
    """The records after an offset are gone; the newest of each key remain."""


class DecodeError(Exception):
    """Bytes from outside are not what they should be."""


class RefusalReason(enum.Enum):
    """Why a request was not run, or why its outcome is unknown."""

    NO_CONFIG = "no_config"
    NO_ENDPOINT = "no_endpoint"
    OVERLOADED = "overloaded"
    CHAIN_OVERLOADED = "chain_overloaded"
    QUEUE_TIMEOUT = "queue_timeout"
    NO_MEMORY = "no_memory"
    ENDPOINT_REFUSED = "endpoint_refused"
    ENDPOINT_LEAVING = "endpoint_leaving"
    WRONG_SERVICE = "wrong_service"
    UNREACHABLE = "unreachable"
    TIMEOUT = "timeout"
    BROKEN_ANSWER = "broken_answer"
    CONNECTION_LOST = "connection_lost"
    NODE_LOST = "node_lost"
    STOPPING = "stopping"


class Outcome(enum.IntEnum):
    """What became of a request at an endpoint."""

    ANSWERED = 0
    NOT_RUN = 1
    UNKNOWN = 2
