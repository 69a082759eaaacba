"""Transport between nodes: one-way pyzmq pipes watched by the event loop.

Each node binds one PULL socket and connects a PUSH socket to each peer that it
sends to. A message is handed to a pipe only once its connection stands; until
then it waits here, and if it waits too long it is given back to its sender, who
then knows that it never left.
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


class _Outgoing(NamedTuple):
    """A message that waits for its connection."""

    frames: list[bytes]
    expires: float
    on_unsent: Callable[[], None] | None


class _Pipe:
    """A connection to one peer and the messages that wait for it."""

    def __init__(self, socket: zmq.Socket) -> None:
        self.socket = socket
        self.waiting: collections.deque[_Outgoing] = collections.deque()
        self.used = 0.0


class Mesh:
    """Sends and receives messages between nodes.

    :param codec: codec with the key of the deployment.
    :param address: ``IP:PORT`` to bind.
    :param receive: called with each message that arrives.
    """

    def __init__(
        self,
        codec: wire.Codec,
        address: str,
        receive: Callable[[wire.Envelope], None],
    ) -> None:
        self._codec = codec
        self._address = address
        self._receive = receive
        self._context = zmq.Context()
        self._pipes: dict[str, _Pipe] = {}
        self._rejected = 0
        self._sent_bytes = 0
        self._received_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def rejected(self) -> int:
        """Messages dropped as malformed, foreign or oversized."""
        return self._rejected

    @property
    def sent_bytes(self) -> int:
        """Bytes of all messages handed to pipes."""
        return self._sent_bytes

    @property
    def received_bytes(self) -> int:
        """Bytes of all messages received."""
        return self._received_bytes

    @property
    def connections(self) -> int:
        """Peers that this node has a pipe to."""
        return len(self._pipes)

    def start(self) -> None:
        """Binds the socket and begins to receive."""
        self._loop = asyncio.get_running_loop()
        self._pull = self._context.socket(zmq.PULL)
        self._pull.setsockopt(zmq.LINGER, 0)
        self._pull.setsockopt(zmq.RCVHWM, MAX_QUEUED_COUNT)
        self._pull.setsockopt(zmq.MAXMSGSIZE, MAX_FRAMES_BYTES)
        self._pull.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        self._pull.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        self._pull.bind(f"tcp://{self._address}")
        self._loop.add_reader(self._pull.getsockopt(zmq.FD), self._drain)
        self._loop.call_soon(self._drain)
        self._tick()

    def stop(self) -> None:
        """Closes every socket; what is in the pipes is given a moment to leave."""
        if self._timer:
            self._timer.cancel()
        self._loop.remove_reader(self._pull.getsockopt(zmq.FD))
        self._pull.close()
        for pipe in self._pipes.values():
            self._close_pipe(pipe, linger_ms=200)
        self._pipes.clear()
        self._context.term()

    def send(
        self,
        address: str,
        message: NamedTuple,
        body: bytes = b"",
        on_unsent: Callable[[], None] | None = None,
    ) -> None:
        """Sends a message, or drops it if no connection comes about in time.

        :param on_unsent: called if the message certainly never left.
        """
        frames = self._codec.encode(message, body)
        now = time.monotonic()
        pipe = self._pipes.get(address) or self._open_pipe(address)
        pipe.used = now
        if not pipe.waiting and self._try_send(pipe, frames):
            return
        expires = now + CONNECT_TIMEOUT_S
        pipe.waiting.append(_Outgoing(frames, expires, on_unsent))
        if len(pipe.waiting) > MAX_QUEUED_COUNT:
            self._give_back(pipe.waiting.popleft())

    def _open_pipe(self, address: str) -> _Pipe:
        socket = self._context.socket(zmq.PUSH)
        socket.setsockopt(zmq.LINGER, 0)
        socket.setsockopt(zmq.IMMEDIATE, 1)
        socket.setsockopt(zmq.SNDHWM, MAX_QUEUED_COUNT)
        socket.setsockopt(zmq.RECONNECT_IVL, RECONNECT_MIN_MS)
        socket.setsockopt(zmq.RECONNECT_IVL_MAX, RECONNECT_MAX_MS)
        socket.setsockopt(zmq.HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS)
        socket.setsockopt(zmq.HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS)
        socket.connect(f"tcp://{address}")
        pipe = self._pipes[address] = _Pipe(socket)
        self._loop.add_reader(socket.getsockopt(zmq.FD), self._flush, pipe)
        return pipe

    def _close_pipe(self, pipe: _Pipe, linger_ms: int = 0) -> None:
        self._loop.remove_reader(pipe.socket.getsockopt(zmq.FD))
        pipe.socket.close(linger=linger_ms)
        while pipe.waiting:
            self._give_back(pipe.waiting.popleft())

    def _try_send(self, pipe: _Pipe, frames: list[bytes]) -> bool:
        try:
            pipe.socket.send_multipart(frames, zmq.NOBLOCK, copy=True)
        except zmq.Again:
            return False
        self._sent_bytes += len(frames[0]) + len(frames[1])
        return True

    def _flush(self, pipe: _Pipe) -> None:
        # The file descriptor is edge-triggered: reading the events rearms it.
        pipe.socket.getsockopt(zmq.EVENTS)
        while pipe.waiting and self._try_send(pipe, pipe.waiting[0].frames):
            pipe.waiting.popleft()

    def _tick(self) -> None:
        now = time.monotonic()
        for address, pipe in list(self._pipes.items()):
            if pipe.waiting:
                self._flush(pipe)
            while pipe.waiting and pipe.waiting[0].expires <= now:
                self._give_back(pipe.waiting.popleft())
            if now - pipe.used > IDLE_TIMEOUT_S:
                del self._pipes[address]
                self._close_pipe(pipe)
        self._drain()
        self._timer = self._loop.call_later(FLUSH_INTERVAL_S, self._tick)

    @staticmethod
    def _give_back(outgoing: _Outgoing) -> None:
        if outgoing.on_unsent:
            outgoing.on_unsent()

    def _drain(self) -> None:
        while True:
            try:
                frames = self._pull.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                return
            self._received_bytes += sum(len(frame) for frame in frames)
            try:
                envelope = self._codec.decode(frames)
            except errors.MessageRejected as error:
                self._rejected += 1
                logger.warning("mesh: message dropped: %s", error)
                continue
            self._receive(envelope)
