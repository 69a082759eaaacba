"""Messages between nodes and their framing.

A frame is the length of the payload (four bytes, big-endian) and a msgpack payload.
"""

import struct

import msgspec

from .. import data

PROTOCOL_VERSION = 7
LOAD_REQUEST_VERSION = 3  # first protocol version with load requests
CRASH_REPORT_VERSION = 4  # first protocol version with crash reports
QUOTA_VERSION = 5  # first protocol version with quota requests
BODY_CONNECTION_VERSION = 5  # first protocol version with body connections
CONFIG_READ_VERSION = 6  # first protocol version that tells of reads of the store
DEPARTURE_VERSION = 7  # first protocol version with copies of departures
# A body from this size on goes over the second connection. It takes 1.3 ms at
# 100 Mbit/s, so some tens of smaller ones delay a message by less than 50 ms.
LARGE_BODY_BYTES = 16 * 1024
UTILIZATION_SCALE = 1000
DEMAND_SCALE = 1000
MAX_FRAME_BYTES = 80 * 1024 * 1024
_LENGTH = struct.Struct(">I")


class Hello(msgspec.Struct, tag=1, array_like=True):
    """First message on a connection; identifies the node that opened it.

    :param address: address where the sender accepts connections of other nodes.
    :param boot_id: identity of this start of the sender's process.
    :param service: service of the sender's endpoint; empty if the sender is of an
        older version.
    :param connection_number: number of the connection, which a :class:`BodyHello`
        refers to; 0 if the sender is of an older version.
    """

    protocol: int
    address: str
    zone: str
    boot_id: str
    service: str = ""
    connection_number: int = 0


class LoadReport(msgspec.Struct, tag=8, array_like=True):
    """Frequent message of a node about its load.

    :param load: requests that run or wait at the endpoint.
    :param service_time_us: average service time of the endpoint, in microseconds.
    :param capacity: requests per second that the endpoint can run; only read by
        nodes of protocol version 2.
    :param utilization: arriving work over the work that can be done, in thousandths.
    :param demand: requests per second demanded at the node; read by nodes of protocol
        version 2 and empty since.
    :param interval_ms: time until the next report to the receiver, in milliseconds; 0
        if the sender is of an older version.
    :param slot_demand: slots demanded at the node, in thousandths, in the order of the
        ``demand_keys`` of the last node state.
    :param highest_rank_utilization: part of the utilization that requests of rank 0
        cause, in thousandths; negative if the sender is of an older version.
    """

    load: int
    service_time_us: int
    capacity: int
    utilization: int
    demand: list[int]
    interval_ms: int = 0
    slot_demand: list[int] = []
    highest_rank_utilization: int = -1


class NodeState(msgspec.Struct, tag=2, array_like=True):
    """Full message of a node about itself, for all nodes that may send to it.

    It is sent on each new connection and whenever a field other than the load report
    changes. In between, only load reports are sent; they need a quarter of the bytes.

    :param instance: instance ID of the endpoint; empty before its first announcement.
    :param accepting: whether the endpoint accepts new requests.
    :param lame_duck: whether the endpoint still accepts new requests although the
        node is about to stop.
    :param concurrency_limit: maximum number of requests that run concurrently.
    :param warmed_up: whether the endpoint has warmed up.
    :param config_version: version of the config in force; 0 without one.
    :param edges: edges of the call graph that were counted at the node.
    :param demand_keys: service and rank of each value of the load report's demand.
    :param config_reading: value of a :class:`..data.ConfigReading`: whether the node
        reads configs from the store.
    :param protocol: protocol version of the sender.
    :param route_times: own time and occupancy of the endpoint's requests by route, in
        microseconds, see :mod:`..serving.service_times`.
    :param rate_limit: requests per second that the endpoint accepts from all nodes
        together; None if it has no limit or the sender is of an older version.
    :param start_ms: Unix time of the endpoint's start, in milliseconds; 0 if the sender
        is of an older version.
    :param leaving: whether the endpoint drains or is gone.
    :param restore_count: how often the platform's store has been restored, as far as
        the sender knows; 0 if it does not.
    :param stopping: whether the sender's process is about to stop.
    """

    instance: str
    service: str
    zone: str
    accepting: bool
    lame_duck: bool
    concurrency_limit: int
    warmed_up: bool
    config_version: int
    edges: list[tuple[str, str, str, float]]
    demand_keys: list[tuple[str, int]]
    load_report: LoadReport
    config_reading: int = 0
    protocol: int = 2
    route_times: list[tuple[str, int, int]] = []
    rate_limit: float | None = None
    start_ms: int = 0
    leaving: bool = False
    restore_count: int = 0
    stopping: bool = False


class Submit(msgspec.Struct, tag=3, array_like=True):
    """An attempt to run a request at the endpoint beside the receiver.

    :param number: number of the attempt on its connection.
    :param rank: importance; 0 is the highest.
    :param is_nested_call: whether an endpoint sends it while it runs another request.
    :param remaining_ms: time left until the deadline, in milliseconds.
    :param target_latency_ms: time left, in milliseconds, in which a response has
        full value.
    :param suspect_crashes: number of crashes of endpoints at which the request ran, as
        far as the sender knows; 0 if the sender is of an older version.
    :param customer: name of the customer that the request belongs to; empty without one
        or if the sender is of an older version.
    :param may_hand_over: whether the receiver is to refuse it instead of queueing it;
        false if the sender is of an older version.
    """

    number: int
    request_id: bytes
    route: str
    service: str
    rank: int
    is_nested_call: bool
    remaining_ms: int
    target_latency_ms: int
    head: bytes
    body: bytes
    suspect_crashes: int = 0
    customer: str = ""
    may_hand_over: bool = False


class Cancel(msgspec.Struct, tag=4, array_like=True):
    """Cancels an attempt whose sender no longer waits for its result."""

    number: int


class Reply(msgspec.Struct, tag=5, array_like=True):
    """Result of an attempt.

    :param number: number of the attempt on its connection.
    :param outcome: value of a :class:`..data.Outcome`.
    :param reason: value of a :class:`..data.RefusalReason`; empty if answered.
    :param load: requests that run or wait at the endpoint.
    :param service_time_us: average service time of the endpoint, in microseconds.
    :param utilization: as in :class:`LoadReport`; negative if the sender is of an
        older version.
    :param own_time_us: own time of the request's route at the endpoint, in
        microseconds; 0 if not known.
    """

    number: int
    outcome: int
    reason: str
    status: int
    load: int
    service_time_us: int
    head: bytes
    body: bytes
    utilization: int = -1
    own_time_us: int = 0


class ConfigRequest(msgspec.Struct, tag=6, array_like=True):
    """Requests a config that is newer than ``version``.

    :param number: number of a request for the age of the receiver's knowledge; 0 if it
        is not requested or the sender is of an older version.
    """

    version: int
    number: int = 0


class ConfigReply(msgspec.Struct, tag=7, array_like=True):
    """A config, encoded as the operators wrote it.

    :param raw: the config; empty if the receiver has it.
    :param number: number of the request; 0 if it did not request the age.
    :param age_ms: age of what the sender knows, see :mod:`.config_age`; negative if it
        knows nothing.
    """

    version: int
    raw: bytes
    number: int = 0
    age_ms: int = -1


class LoadRequest(msgspec.Struct, tag=9, array_like=True):
    """Requests a load report at once; shows whether the receiver still responds."""


class CrashReport(msgspec.Struct, tag=10, array_like=True):
    """Requests that ran when an endpoint crashed, and requests that are not run.

    Sent at a crash, and with the whole history to a node that opens a connection. Nodes
    before :data:`CRASH_REPORT_VERSION` do not know this message.

    :param crash_id: identity of the crash; empty for a history.
    :param service: service of the endpoint that crashed; empty for a history.
    :param suspects: fingerprint and number of crashes of each request that ran.
    :param blocks: fingerprint, remaining milliseconds and number of blocks of each
        request that is blocked.
    """

    crash_id: bytes
    service: str
    suspects: list[tuple[bytes, int]]
    blocks: list[tuple[bytes, int, int]]


class ClearedRequests(msgspec.Struct, tag=11, array_like=True):
    """Suspects and blocked requests to which the sender's endpoint has responded.

    Nodes before :data:`CRASH_REPORT_VERSION` do not know this message.
    """

    fingerprints: list[bytes]


class QuotaRequest(msgspec.Struct, tag=12, array_like=True):
    """Asks the coordinator for tokens and extends the sender's lease to it.

    Nodes before :data:`QUOTA_VERSION` do not know this message.

    :param member_count: number of members that the sender knows, itself included; 0 if
        it has not read the list of members, which grants no lease.
    :param echo_ms: ``clock_ms`` of the last reply; 0 to grant no lease.
    :param entries: name of a customer, number of tokens wanted (negative for unused
        tokens that are returned), and requests that arrived since the last message.
    :param demand: service, rank, customer and its slots in thousandths, see
        :mod:`..quotas.demand_totals`.
    :param number: number of the request; the reply repeats it.
    """

    member_count: int
    echo_ms: int
    entries: list[tuple[str, int, int]]
    demand: list[tuple[str, int, str, int]] = []
    number: int = 0


class QuotaReply(msgspec.Struct, tag=13, array_like=True):
    """Grants tokens, which expire a fixed time after they were requested.

    :param clock_ms: time of the coordinator's clock, in milliseconds.
    :param follower_count: number of nodes whose leases the coordinator has.
    :param entries: name of a customer, number of tokens granted, and milliseconds until
        a further token is available: 0 if all were granted, negative if not known.
    :param demand: sums of the demand that nodes reported.
    :param number: number of the request.
    """

    clock_ms: int
    follower_count: int
    entries: list[tuple[str, int, int]]
    demand: list[tuple[str, int, str, int]] = []
    number: int = 0


class BodyHello(msgspec.Struct, tag=14, array_like=True):
    """First message on a second connection, which carries messages with large bodies.

    The receiver returns it. Attempts keep their numbers on both connections. Nodes
    before :data:`BODY_CONNECTION_VERSION` do not know this message.

    :param boot_id: identity of this start of the sender's process.
    :param connection_number: number in the :class:`Hello` of the first connection.
    """

    boot_id: str
    connection_number: int


class ConfigRead(msgspec.Struct, tag=15, array_like=True):
    """Tells another reader that the sender has read the store successfully.

    Nodes before :data:`CONFIG_READ_VERSION` do not know this message.

    :param version: version of the config in force at the sender.
    :param age_ms: time since the read began, in milliseconds.
    """

    version: int
    age_ms: int


class Departure(msgspec.Struct, tag=16, array_like=True):
    """Tells that the endpoint beside the sender has announced its departure.

    The receiver holds a copy and says so. Nodes before :data:`DEPARTURE_VERSION` do
    not know this message.

    :param instance: instance ID of the endpoint.
    :param start_ms: Unix time of the endpoint's start, in milliseconds.
    """

    instance: str
    start_ms: int


class DepartureCopy(msgspec.Struct, tag=17, array_like=True):
    """Tells that the sender holds a copy of a departure that the receiver announced.

    Sent for each departure, and for all that are held on each new connection between
    the two nodes: the receiver may have restarted. Nodes before
    :data:`DEPARTURE_VERSION` do not know this message.

    :param instance: instance ID of the endpoint.
    :param start_ms: Unix time of the endpoint's start, in milliseconds.
    """

    instance: str
    start_ms: int


Message = (
    Hello
    | NodeState
    | Submit
    | Cancel
    | Reply
    | ConfigRequest
    | ConfigReply
    | LoadReport
    | LoadRequest
    | CrashReport
    | ClearedRequests
    | QuotaRequest
    | QuotaReply
    | BodyHello
    | ConfigRead
    | Departure
    | DepartureCopy
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Encodes a message as a frame."""
    payload = _encoder.encode(message)
    return _LENGTH.pack(len(payload)) + payload


class FrameDecoder:
    """Decodes messages from a stream of bytes that arrives in arbitrary pieces."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def pending_frame_bytes(self) -> int:
        """Length of the incomplete frame; 0 if there is none or it is not known."""
        if len(self._buffer) < _LENGTH.size:
            return 0
        (length,) = _LENGTH.unpack_from(self._buffer)
        return _LENGTH.size + length

    def feed(self, received: bytes) -> list[Message]:
        """Adds received bytes and returns the messages that are complete.

        :raises data.DecodeError: if a frame is too long or is not a message of this
            protocol.
        """
        source: bytes | bytearray = received
        if self._buffer:
            source = self._buffer
            source += received
        messages = []
        position = 0
        size = len(source)
        while size - position >= 4:
            (length,) = _LENGTH.unpack_from(source, position)
            if length > MAX_FRAME_BYTES:
                raise data.DecodeError(f"frame is too long: {length} bytes")
            end = position + 4 + length
            if size < end:
                break
            try:
                messages.append(_decoder.decode(source[position + 4 : end]))
            except msgspec.MsgspecError as error:
                raise data.DecodeError(str(error)) from error
            position = end
        if source is received:
            self._buffer += received[position:]
        elif position:
            del self._buffer[:position]
        return messages
