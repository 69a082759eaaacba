"""A connection that this node opened to a peer."""

import abc
import asyncio
from collections.abc import Callable

import msgspec

from .. import data
from ..serving import attempts
from . import body_connection, frames

CompletionHandler = Callable[[attempts.AttemptResult], None]
SuspectHandler = Callable[[], None]

# Calls of an enum take longer than a lookup, and each reply needs both.
_OUTCOMES = {int(each): each for each in data.Outcome}
_REASONS = {each.value: each for each in data.RefusalReason}

_LOST_RESULT = attempts.AttemptResult(
    data.Outcome.UNKNOWN, data.RefusalReason.NODE_LOST, 0, b"", b"", 0.0, 0.0
)
_UNSENT_RESULT = attempts.AttemptResult(
    data.Outcome.NOT_RUN, data.RefusalReason.UNREACHABLE, 0, b"", b"", 0.0, 0.0
)


class OutstandingAttempt(msgspec.Struct, frozen=True):
    """An attempt sent to a peer that has no result yet.

    :param route: name of the route that the request matches.
    :param on_complete: called with the result.
    :param on_suspect: called at most once, when the peer becomes suspect; the result
        may still arrive afterwards.
    """

    route: str
    on_complete: CompletionHandler
    on_suspect: SuspectHandler


class ConnectionOwner(abc.ABC):
    """The peer that a connection was opened to, as this node knows it.

    :ivar loop: event loop of the connection.
    :ivar address: address where the peer accepts connections of other nodes.
    :ivar hello: message that identifies this node on new connections.
    :ivar utilization: arriving work over the work that its endpoint can do.
    :ivar own_times_s: own times at its endpoint by route, in seconds.
    """

    loop: asyncio.AbstractEventLoop
    address: str
    hello: frames.Hello
    utilization: float
    own_times_s: dict[str, float]

    @property
    @abc.abstractmethod
    def handles_load_requests(self) -> bool:
        """Whether the peer's version of the protocol has load requests."""

    @property
    @abc.abstractmethod
    def handles_body_connections(self) -> bool:
        """Whether the peer's version of the protocol has body connections."""

    @abc.abstractmethod
    def update_load(self, load: int, service_time_us: int) -> None:
        """Sets the load of the peer's endpoint, as the peer reported it."""

    @abc.abstractmethod
    def handle_message(self, message: frames.Message) -> None:
        """Handles a message other than a reply to a request."""

    @abc.abstractmethod
    def handle_invalid_message(self, why: str) -> None:
        """Reports a message that cannot be decoded; the connection is aborted."""

    @abc.abstractmethod
    def handle_connection_lost(self, connection: "OutgoingConnection") -> None:
        """Handles the end of a connection to the peer."""


class OutgoingConnection(asyncio.Protocol, body_connection.BodyConnectionOwner):
    """A connection that this node opened to a peer; requests are sent on it.

    Requests with large bodies are sent on a second connection. Their results are kept
    here as well, whichever connection they arrive on.

    :param peer: peer that it was opened to.
    :param number: number of the connection among those to the peer.
    :ivar outstanding: attempts without a result, by number in the order of sending.
    :ivar last_received_at: time of the event loop when bytes last arrived, in
        seconds.
    :ivar probed_at: time of the event loop when a probe was sent that got no reply
        yet, in seconds; None without one.
    """

    def __init__(self, peer: ConnectionOwner, number: int) -> None:
        self._peer = peer
        self._number = number
        self._body_connection: body_connection.OutgoingBodyConnection | None = None
        self._decoder = frames.FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self.outstanding: dict[int, OutstandingAttempt] = {}
        self.last_received_at = 0.0
        self.probed_at: float | None = None
        self._last_notified_number = 0

    @property
    def usable(self) -> bool:
        """Whether messages can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Sends the message that identifies this node."""
        self._transport = transport
        hello = msgspec.structs.replace(
            self._peer.hello, connection_number=self._number
        )
        self._transport.write(frames.encode(hello))

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the outstanding attempts; their outcome is unknown if they were sent."""
        self._transport = None
        outstanding, self.outstanding = self.outstanding, {}
        unsent_numbers: set[int] = set()
        if self._body_connection is not None:
            unsent_numbers = self._body_connection.close()
            self._body_connection = None
        self._peer.handle_connection_lost(self)
        for number, attempt in outstanding.items():
            attempt.on_complete(
                _UNSENT_RESULT if number in unsent_numbers else _LOST_RESULT
            )

    def data_received(self, received: bytes) -> None:
        """Handles the messages that are complete."""
        try:
            messages = self._decoder.feed(received)
        except data.DecodeError as error:
            self.handle_invalid_message(str(error))
            self.abort()
            return
        self.last_received_at = self._peer.loop.time()
        self.probed_at = None
        for message in messages:
            if type(message) is frames.Reply:
                if len(message.body) >= frames.LARGE_BODY_BYTES:
                    self._open_body_connection()
                self.handle_reply(message)
            else:
                self._peer.handle_message(message)

    def submit(self, message: frames.Submit, attempt: OutstandingAttempt) -> None:
        """Sends an attempt, on the second connection if its body is large."""
        self.outstanding[message.number] = attempt
        if (
            len(message.body) >= frames.LARGE_BODY_BYTES
            and self._peer.handles_body_connections
        ):
            self._get_body_connection().submit(message)
        else:
            self.send(message)

    def send(self, message: frames.Message) -> None:
        """Sends a message."""
        if self._transport is not None:
            self._transport.write(frames.encode(message))

    def cancel(self, number: int) -> None:
        """Cancels an attempt whose result is no longer needed, if it has none yet."""
        if self.outstanding.pop(number, None) is None:
            return
        if self._body_connection is None or not self._body_connection.cancel(number):
            self.send(frames.Cancel(number))

    def probe(self, now: float) -> None:
        """Requests a load report unless a request has no reply yet.

        :param now: time of the event loop, in seconds.
        """
        if self.probed_at is not None:
            return
        self.probed_at = now
        if self._peer.handles_load_requests:
            self.send(frames.LoadRequest())

    def get_unanswered_s(self, now: float) -> float:
        """Returns for how many seconds a probe has had no reply; 0 without one."""
        return 0.0 if self.probed_at is None else now - self.probed_at

    def abort(self) -> None:
        """Aborts the connection."""
        if self._transport is not None:
            self._transport.abort()

    def notify_suspect(self) -> None:
        """Calls ``on_suspect`` of the outstanding attempts, once for each attempt."""
        last_notified_number = self._last_notified_number
        unnotified_numbers = [
            number for number in self.outstanding if number > last_notified_number
        ]
        if not unnotified_numbers:
            return
        self._last_notified_number = unnotified_numbers[-1]
        for number in unnotified_numbers:
            attempt = self.outstanding.get(number)
            if attempt is not None:
                attempt.on_suspect()

    def handle_reply(self, reply: frames.Reply) -> None:
        """Passes on the result of an attempt, from either connection."""
        outcome = _OUTCOMES.get(reply.outcome)
        reason = _REASONS.get(reply.reason)
        if outcome is None or (reason is None and reply.reason):
            # The attempt ends with the connection, its outcome unknown.
            self.handle_invalid_message(f"outcome {reply.outcome} {reply.reason}")
            self.abort()
            return
        self._peer.update_load(reply.load, reply.service_time_us)
        if reply.utilization >= 0:
            self._peer.utilization = reply.utilization / frames.UTILIZATION_SCALE
        attempt = self.outstanding.pop(reply.number, None)
        if attempt is None:
            return
        if self._body_connection is not None:
            self._body_connection.forget(reply.number)
        if reply.own_time_us:
            self._peer.own_times_s[attempt.route] = reply.own_time_us / 1e6
        attempt.on_complete(
            attempts.AttemptResult(
                outcome, reason, reply.status, reply.head, reply.body, 0.0, 0.0
            )
        )

    def handle_invalid_message(self, why: str) -> None:
        """Reports a message that cannot be decoded, from either connection."""
        self._peer.handle_invalid_message(why)

    def handle_unconnected(self, messages: list[frames.Submit]) -> None:
        """Sends attempts on this connection because there is no second one."""
        self._body_connection = None
        for message in messages:
            self.send(message)

    def handle_body_connection_lost(
        self, sent_numbers: set[int], unsent: list[frames.Submit]
    ) -> None:
        """Handles the end of the second connection.

        The outcome of what was sent on it is unknown. The rest is sent on a new one.
        """
        self._body_connection = None
        for message in unsent:
            self._get_body_connection().submit(message)
        for number in sent_numbers:
            attempt = self.outstanding.pop(number, None)
            if attempt is not None:
                attempt.on_complete(_LOST_RESULT)

    def _get_body_connection(self) -> body_connection.OutgoingBodyConnection:
        """Returns the second connection; starts to open it when it is first needed."""
        if self._body_connection is None:
            peer = self._peer
            hello = frames.BodyHello(peer.hello.boot_id, self._number)
            self._body_connection = body_connection.OutgoingBodyConnection(
                peer.loop, peer.address, hello, self
            )
            self._body_connection.open()
        return self._body_connection

    def _open_body_connection(self) -> None:
        """Opens the second connection for the large responses that may follow."""
        if self._peer.handles_body_connections:
            self._get_body_connection()
