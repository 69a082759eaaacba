"""The second connection to a peer, which carries messages with large bodies.

Handles large bodies that share a link with small messages: a frame of 360 KB takes
29 ms at 100 Mbit/s, and several of them would delay what follows on their connection.
The second connection is opened when it is first needed. Small results and all other
messages stay on the first one.
"""

import abc
import asyncio

import msgspec

from .. import data, sockets
from . import frames

CONNECT_TIMEOUT_S = 1.0
# Bytes of bodies in the kernel that share the link with small messages: 10 ms at
# 100 Mbit/s.
SEND_BUFFER_BYTES = 128 * 1024
HIGH_WATER_BYTES = 64 * 1024


class BodyConnectionOwner(abc.ABC):
    """The first connection to the peer, which has the attempts without a result."""

    @abc.abstractmethod
    def handle_reply(self, reply: frames.Reply) -> None:
        """Handles the result of an attempt."""

    @abc.abstractmethod
    def handle_invalid_message(self, why: str) -> None:
        """Reports a message that cannot be decoded; the connection is aborted."""

    @abc.abstractmethod
    def handle_unconnected(self, messages: list[frames.Submit]) -> None:
        """Handles the messages that were not sent because no connection was opened."""

    @abc.abstractmethod
    def handle_body_connection_lost(
        self, sent_numbers: set[int], unsent: list[frames.Submit]
    ) -> None:
        """Handles the loss of the connection.

        :param sent_numbers: numbers of the attempts that may have arrived.
        :param unsent: attempts of which nothing was sent.
        """


class OutgoingBodyConnection(asyncio.Protocol):
    """Sends attempts with large bodies, one after another.

    An attempt is encoded when its turn comes: what waits is held once, and can be
    cancelled without being sent.

    :param address: address where the peer accepts connections.
    :param hello: first message, which the peer returns if it knows the first
        connection.
    :param owner: first connection to the peer.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: str,
        hello: frames.BodyHello,
        owner: BodyConnectionOwner,
    ) -> None:
        self._loop = loop
        self._address = address
        self._hello = hello
        self._owner = owner
        self._decoder = frames.FrameDecoder()
        self._transport: asyncio.Transport | None = None
        self._task: asyncio.Task | None = None
        self._waiting: dict[int, tuple[frames.Submit, float]] = {}
        self._sent_numbers: set[int] = set()
        self._confirmed: asyncio.Future[None] = loop.create_future()
        self._closed = False
        self._writing_paused = False

    def open(self) -> None:
        """Starts to connect."""
        self._task = self._loop.create_task(self._connect())

    def submit(self, message: frames.Submit) -> None:
        """Sends an attempt when those before it have been sent."""
        self._waiting[message.number] = (message, self._loop.time())
        self._send_waiting()

    def cancel(self, number: int) -> bool:
        """Cancels an attempt; returns whether it was submitted here."""
        if self._waiting.pop(number, None) is not None:
            return True
        if number not in self._sent_numbers:
            return False
        self._sent_numbers.discard(number)
        self._transport.write(frames.encode(frames.Cancel(number)))
        return True

    def forget(self, number: int) -> None:
        """Forgets an attempt that has a result."""
        self._sent_numbers.discard(number)

    def close(self) -> set[int]:
        """Closes the connection; returns the numbers of the attempts not sent."""
        self._closed = True
        unsent_numbers = set(self._waiting)
        self._waiting.clear()
        self._task.cancel()
        if self._transport is not None:
            self._transport.abort()
        return unsent_numbers

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Sends the message that names the first connection."""
        self._transport = transport
        sockets.limit_send_buffer(transport, SEND_BUFFER_BYTES)
        transport.set_write_buffer_limits(high=HIGH_WATER_BYTES)
        transport.write(frames.encode(self._hello))

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the first connection what was sent and what was not."""
        self._transport = None
        if self._closed:
            return
        if not self._confirmed.done():
            self._confirmed.set_exception(ConnectionResetError())
            return
        self._closed = True
        self._owner.handle_body_connection_lost(self._sent_numbers, self._pop_unsent())

    def data_received(self, received: bytes) -> None:
        """Passes on the results that are complete."""
        try:
            messages = self._decoder.feed(received)
        except data.DecodeError as error:
            self._owner.handle_invalid_message(str(error))
            self._transport.abort()
            return
        for message in messages:
            if type(message) is frames.Reply:
                self._owner.handle_reply(message)
            elif type(message) is frames.BodyHello and not self._confirmed.done():
                self._confirmed.set_result(None)
                self._send_waiting()

    def pause_writing(self) -> None:
        """Lets further attempts wait until what was sent has left this node."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Sends the next attempts."""
        self._writing_paused = False
        self._send_waiting()

    def _pop_unsent(self) -> list[frames.Submit]:
        """Removes the attempts that wait, with the times that remain to them now."""
        now = self._loop.time()
        unsent = [
            shorten(message, int((now - submitted_at) * 1000))
            for message, submitted_at in self._waiting.values()
        ]
        self._waiting.clear()
        return unsent

    def _send_waiting(self) -> None:
        while (
            self._waiting
            and self._transport is not None
            and not self._transport.is_closing()
            and self._confirmed.done()
            and not self._writing_paused
        ):
            number = next(iter(self._waiting))
            message, submitted_at = self._waiting.pop(number)
            waited_ms = int((self._loop.time() - submitted_at) * 1000)
            self._sent_numbers.add(number)
            self._transport.write(frames.encode(shorten(message, waited_ms)))

    async def _connect(self) -> None:
        """Connects; without success, the attempts go over the first connection."""
        host, _, port = self._address.rpartition(":")
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._loop.create_connection(lambda: self, host, int(port))
                await self._confirmed
        except (TimeoutError, OSError):
            if self._closed:
                return
            self._closed = True
            if self._transport is not None:
                self._transport.abort()
            self._owner.handle_unconnected(self._pop_unsent())


def shorten(message: frames.Submit, waited_ms: int) -> frames.Submit:
    """Returns an attempt whose remaining times are shorter by the time it waited."""
    if not waited_ms:
        return message
    return msgspec.structs.replace(
        message,
        remaining_ms=max(0, message.remaining_ms - waited_ms),
        target_latency_ms=max(0, message.target_latency_ms - waited_ms),
    )
