"""Stops a node without losing requests that it has accepted."""

import asyncio
from collections.abc import Callable

from .ingress import http1
from .membership import peer_server
from .routing import forwarder
from .serving import local_endpoint

# A node that is about to stop refuses root requests from REFUSE_BEFORE_CLOSE_S before
# the end of MIN_SHUTDOWN_S. After MIN_SHUTDOWN_S it closes its clients' connections and
# stops once it is idle, at the latest KILL_MARGIN_S before the platform kills it.
MIN_SHUTDOWN_S = 3.3
REFUSE_BEFORE_CLOSE_S = 0.4
KILL_MARGIN_S = 0.6
REPLY_FLUSH_S = 0.15
CHECK_INTERVAL_S = 0.05


class Shutdown:
    """The graceful shutdown of a node.

    :param grace_s: time after which the platform kills the process, in seconds.
    :param server_for_peers: accepts the connections of other nodes.
    :param broadcast_state: sends the node state to the connected nodes.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        grace_s: float,
        endpoint: local_endpoint.LocalEndpoint,
        node_forwarder: forwarder.Forwarder,
        outbound_server: http1.HttpServer,
        server_for_peers: peer_server.PeerServer,
        broadcast_state: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._grace_s = grace_s
        self._endpoint = endpoint
        self._forwarder = node_forwarder
        self._server = outbound_server
        self._peer_server = server_for_peers
        self._broadcast_state = broadcast_state
        self._started_at = 0.0

    def start(self) -> None:
        """Starts the shutdown: tells the peers that this node will stop."""
        self._endpoint.stopping = True
        self._started_at = self._loop.time()
        ends_at = self._started_at + self._grace_s - KILL_MARGIN_S
        self._endpoint.ends_at = self._forwarder.ends_at = ends_at
        self._broadcast_state()

    async def serve_pending(self) -> None:
        """Serves the pending requests as far as the time allows."""
        close_at = self._started_at + MIN_SHUTDOWN_S
        latest_end_at = self._forwarder.ends_at
        while True:
            now = self._loop.time()
            if now >= latest_end_at or (now >= close_at and not self._is_busy()):
                break
            if now >= close_at - REFUSE_BEFORE_CLOSE_S:
                self._refuse_root_requests()
            if now >= close_at:
                self._server.closing = True
            await asyncio.sleep(CHECK_INTERVAL_S)
        self._end_requests()
        self._server.stop_listening()
        self._server.close_idle()
        await asyncio.sleep(REPLY_FLUSH_S)
        # A connection ends when the client has read the response.
        while self._server.connections and self._loop.time() < latest_end_at:
            self._server.close_idle()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def _is_busy(self) -> bool:
        return bool(
            self._forwarder.pending_count
            or self._endpoint.queue.load
            or self._peer_server.is_transferring_body
        )

    def _end_requests(self) -> None:
        """Answers the requests that could not be served in time."""
        for connection in list(self._server.connections):
            if connection.pending is not None:
                self._forwarder.end_request(connection.pending)

    def _refuse_root_requests(self) -> None:
        if self._endpoint.lame_duck_ended:
            return
        self._endpoint.lame_duck_ended = True
        self._forwarder.stopping = True
        self._broadcast_state()
