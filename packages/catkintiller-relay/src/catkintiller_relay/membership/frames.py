"""Messages between nodes and their framing: a length, then msgpack."""

import struct

import msgspec

from .. import data

PROTOCOL = 2
USE_UNITS = 1000
MAX_FRAME_BYTES = 80 * 1024 * 1024
_LENGTH = struct.Struct(">I")


class Hello(msgspec.Struct, tag=1, array_like=True):
    """First message on a connection: who opened it.

    :param boot: identity of the start of the sender's process.
    """

    protocol: int
    address: str
    zone: str
    boot: str


class LoadReport(msgspec.Struct, tag=8, array_like=True):
    """The part of a node's state that changes all the time.

    :param service_us: usual time that a request works there, in microseconds.
    :param capacity: requests a second that the endpoint can run.
    :param use: arriving work over the work that can be done, in thousandths.
    :param demand: work a second demanded there, in the order of the state's series.
    """

    load: int
    service_us: int
    capacity: int
    utilization: int
    demand: list[int]


class NodeState(msgspec.Struct, tag=2, array_like=True):
    """What a node tells all nodes that send requests to it, whole.

    It is sent on each new connection and when something in it changes besides the
    pulse; in between, pulses say less in a quarter of the bytes.

    :param accepting: whether its endpoint takes new requests.
    :param lame_duck: whether it takes them for a short time still, since the node is
        about to stop.
    :param edges: calls by route that were counted there.
    :param series: service and rank of each figure of the demand.
    """

    instance: str
    service: str
    zone: str
    accepting: bool
    lame_duck: bool
    limit: int
    warm: bool
    config_version: int
    edges: list[tuple[str, str, str, float]]
    series: list[tuple[str, int]]
    load_report: LoadReport


class Submit(msgspec.Struct, tag=3, array_like=True):
    """A request for the endpoint beside the receiver."""

    number: int
    request_id: bytes
    route: str
    service: str
    rank: int
    call: bool
    left_ms: int
    target_ms: int
    head: bytes
    body: bytes


class Cancel(msgspec.Struct, tag=4, array_like=True):
    """The sender does not wait for a request any more."""

    number: int


class Reply(msgspec.Struct, tag=5, array_like=True):
    """What became of a request.

    :param reason: value of a refusal reason, empty with an answer.
    :param load: requests that run or wait at the endpoint now.
    """

    number: int
    outcome: int
    reason: str
    status: int
    load: int
    service_us: int
    head: bytes
    body: bytes


class ConfigRequest(msgspec.Struct, tag=6, array_like=True):
    """Asks for a config that is newer than a version."""

    version: int


class ConfigReply(msgspec.Struct, tag=7, array_like=True):
    """A config as the operator wrote it."""

    version: int
    raw: bytes


Message = (
    Hello
    | NodeState
    | Submit
    | Cancel
    | Reply
    | ConfigRequest
    | ConfigReply
    | LoadReport
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Message)


def encode(message: Message) -> bytes:
    """Makes a frame of a message."""
    payload = _encoder.encode(message)
    return _LENGTH.pack(len(payload)) + payload


class Reader:
    """Takes bytes as they come and gives whole messages."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, received: bytes) -> list[Message]:
        """Adds bytes and takes the messages that are whole.

        :raises data.DecodeError: if they are no messages of this protocol.
        """
        buffer = self._buffer
        buffer += received
        messages = []
        position = 0
        size = len(buffer)
        while size - position >= 4:
            (length,) = _LENGTH.unpack_from(buffer, position)
            if length > MAX_FRAME_BYTES:
                raise data.DecodeError(f"a frame of {length} bytes is too long")
            end = position + 4 + length
            if size < end:
                break
            with memoryview(buffer) as view:
                payload = bytes(view[position + 4 : end])
            try:
                messages.append(_decoder.decode(payload))
            except msgspec.MsgspecError as error:
                raise data.DecodeError(str(error)) from error
            position = end
        if position:
            del buffer[:position]
        return messages
