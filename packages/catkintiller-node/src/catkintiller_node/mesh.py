"""Transport between nodes: one-way pyzmq connections on the event loop.

Each node binds one PULL socket and connects a PUSH socket to each peer that it
sends to. A message is passed to the socket only once the connection is up; until
then it is queued here. A message that is queued for too long is dropped, and its
sender is notified that it was certainly not sent.
"""

import asyncio
import collections
import logging
import time
from collections.abc import Callable
from typing import NamedTuple

import zmq
from catkintiller import errors, wire

logger = logging.getLogger("catkintiller.mesh")

CONNECT_TIMEOUT_S = 0.25
FLUSH_INTERVAL_S = 0.1
MAX_QUEUED_COUNT = 4096
IDLE_TIMEOUT_S = 60.0
HEARTBEAT_INTERVAL_MS = 1000
HEARTBEAT_TIMEOUT_MS = 3000
RECONNECT_MIN_MS = 50
RECONNECT_MAX_MS = 1000
MAX_FRAMES_BYTES = wire.MAX_MESSAGE_BODY_BYTES + 64 * 1024


class _QueuedMessage(NamedTuple):
    """A message that is queued until its connection is up."""

    frames: list[bytes]
    expires_at: float
    on_unsent: Callable[[], None] | None


class _Connection:
    """A connection to one peer and the messages that are queued for it."""

    def __init__(self, socket: zmq.Socket) -> None:
        self.socket = socket
        self.queue: collections.deque[_QueuedMessage] = collections.deque()
        self.last_used_at = 0.0


class Mesh:
    """Sends and receives messages between nodes.

    :param codec: codec with the key of the deployment.
    :param address: ``IP:PORT`` to bind.
    :param on_message: called with each message that is received.
    """

    def __init__(
        self,
        codec: wire.Codec,
        address: str,
        on_message: Callable[[wire.Envelope], None],
    ) -> None:
        self._codec = codec
        self._address = address
        self._on_message = on_message
        self._context = zmq.Context()
        self._connections: dict[str, _Connection] = {}
        self._rejected = 0
        self._sent_bytes = 0
        self._received_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def rejected(self) -> int:
        """Number of messages dropped as malformed, unauthenticated or oversized."""
        return self._rejected

    @property
    def sent_bytes(self) -> int:
        """Number of bytes of all messages passed to sockets."""
        return self._sent_bytes

    @property
    def received_bytes(self) -> int:
        """Number of bytes of all messages received."""
        return self._received_bytes

    @property
    def connections(self) -> int:
        """Number of peers that this node has a connection to."""
        return len(self._connections)

    def start(self) -> None:
        """Binds the socket and starts to receive."""
        self._loop = asyncio.get_running_loop()
        self._pull_socket = self._context.socket(zmq.PULL)
        self._pull_socket.setsockopt(zmq.LINGER, 0)
        self._pull_socket.setsockopt(zmq.RCVHWM, MAX_QUEUED_COUNT)
        self._pull_socket.setsockopt(zmq.MAXMSGSIZE, MAX_FRAMES_BYTES)
        self._pull_socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        self._pull_socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        self._pull_socket.bind(f"tcp://{self._address}")
        self._loop.add_reader(
            self._pull_socket.getsockopt(zmq.FD), self._receive_pending
        )
        self._loop.call_soon(self._receive_pending)
        self._tick()

    def stop(self) -> None:
        """Closes every socket; messages already passed to it get 200 ms to be sent."""
        if self._timer:
            self._timer.cancel()
        self._loop.remove_reader(self._pull_socket.getsockopt(zmq.FD))
        self._pull_socket.close()
        for connection in self._connections.values():
            self._close_connection(connection, linger_ms=200)
        self._connections.clear()
        self._context.term()

    def send(
        self,
        address: str,
        message: NamedTuple,
        body: bytes = b"",
        on_unsent: Callable[[], None] | None = None,
    ) -> None:
        """Sends a message, or drops it if no connection is up in time.

        :param on_unsent: called if the message was certainly not sent.
        """
        frames = self._codec.encode(message, body)
        now = time.monotonic()
        connection = self._connections.get(address) or self._open_connection(address)
        connection.last_used_at = now
        if not connection.queue and self._try_send(connection, frames):
            return
        expires_at = now + CONNECT_TIMEOUT_S
        connection.queue.append(_QueuedMessage(frames, expires_at, on_unsent))
        if len(connection.queue) > MAX_QUEUED_COUNT:
            self._report_unsent(connection.queue.popleft())

    def _open_connection(self, address: str) -> _Connection:
        socket = self._context.socket(zmq.PUSH)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_COUNT)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MIN_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        socket.connect(f"tcp://{address}")
        connection = self._connections[address] = _Connection(socket)
        self._loop.add_reader(socket.getsockopt(zmq.FD), self._flush, connection)
        return connection

    def _close_connection(self, connection: _Connection, linger_ms: int = 0) -> None:
        self._loop.remove_reader(connection.socket.getsockopt(zmq.FD))
        connection.socket.close(linger=linger_ms)
        while connection.queue:
            self._report_unsent(connection.queue.popleft())

    def _try_send(self, connection: _Connection, frames: list[bytes]) -> bool:
        try:
            connection.socket.send_multipart(frames, zmq.NOBLOCK, copy=True)
        except zmq.Again:
            return False
        self._sent_bytes += len(frames[0]) + len(frames[1])
        return True

    def _flush(self, connection: _Connection) -> None:
        # The file descriptor is edge-triggered; reading the events rearms it.
        connection.socket.getsockopt(zmq.EVENTS)
        while connection.queue and self._try_send(
            connection, connection.queue[0].frames
        ):
            connection.queue.popleft()

    def _tick(self) -> None:
        now = time.monotonic()
        for address, connection in list(self._connections.items()):
            if connection.queue:
                self._flush(connection)
            while connection.queue and connection.queue[0].expires_at <= now:
                self._report_unsent(connection.queue.popleft())
            if now - connection.last_used_at > IDLE_TIMEOUT_S:
                del self._connections[address]
                self._close_connection(connection)
        self._receive_pending()
        self._timer = self._loop.call_later(FLUSH_INTERVAL_S, self._tick)

    @staticmethod
    def _report_unsent(queued: _QueuedMessage) -> None:
        if queued.on_unsent:
            queued.on_unsent()

    def _receive_pending(self) -> None:
        while True:
            try:
                frames = self._pull_socket.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._received_bytes += sum(len(frame) for frame in frames)
            try:
                envelope = self._codec.decode(frames)
            except errors.MessageRejected as error:
                self._rejected += 1
                logger.warning("mesh: message dropped: %s", error)
                continue
            self._on_message(envelope)
