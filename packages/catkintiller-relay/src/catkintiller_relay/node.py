"""One node: its parts, how it starts, follows the store, and stops."""

import asyncio
import random
import secrets
import signal

from . import data, interfaces
from .ingress import http1
from .membership import connections, frames, node_state, store_watcher
from .routing import chains, forwarding, places
from .serving import exchange, local, presence
from .telemetry import events, gauges, metrics

TICK_S = 0.05
STATE_EVERY_S = 0.25
PEERS_EVERY_S = 0.1
SWEEP_EVERY_S = 1.0
EDGES_EVERY_S = 0.3
EDGE_CHANGE = 0.1
EDGES_AGAIN_EVERY_S = 5.0
ENDED_WRITE_S = 0.4
STOP_SETTLE_S = 3.3
STOP_REFUSE_S = 0.4
STOP_MARGIN_S = 0.6
FLUSH_S = 0.15
PEER_CONFIG_DELAY_S = 0.3
FORGET_PEER_S = 30.0

DEFAULT_LIMITS = data.ClientLimits(16384, 64 * 1024 * 1024, 3.0, 15.0)


class Node(connections.PeerObserver):
    """The process beside one endpoint.

    :param platform: decodes the platform's words.
    :param settings: settings of the process.
    """

    def __init__(
        self,
        platform: interfaces.Platform,
        settings: data.Settings,
        loop: asyncio.AbstractEventLoop,
        log: events.EventLog,
    ) -> None:
        self._platform = platform
        self._settings = settings
        self._loop = loop
        self._log = log
        self._rng = random.Random()
        self._boot = secrets.token_hex(6)
        self._config: data.Config | None = None
        self._config_since = 0.0
        self._peers: dict[str, connections.Peer] = {}
        self._edges_to_tell: tuple[chains.Edge, ...] = ()
        self._edges_told_at = 0.0
        self._stopping = asyncio.Event()
        self._stop_at = 0.0
        self._tasks: list[asyncio.Task] = []
        self._failure: BaseException | None = None
        self.metrics = metrics.Metrics()
        self._store_watcher = store_watcher.StoreWatcher(
            platform.create_store(settings.store, loop),
            settings,
            self._boot,
            log,
            self._rng,
            self._use_config,
            self._take_entry,
            lambda: bool(self._peers),
        )
        self._presence = presence.Presence(settings.service, settings.heartbeat_s)
        self._graph = chains.CallGraph()
        headers = platform.headers
        self._pool = exchange.EndpointPool(loop, settings.endpoint, headers)
        self._local = local.LocalServer(
            loop, self._presence, self._pool, self._graph, self.metrics
        )
        self._places = places.Places(settings, self._local, self._peers)
        self._forwarder = forwarding.Forwarder(
            loop,
            settings,
            headers,
            self._local,
            self._places,
            self._graph,
            log,
            self.metrics,
            self._rng,
        )
        self._state_builder = node_state.NodeStateBuilder(
            settings, self._presence, self._local, self._forwarder.admission
        )
        self._peer_server = connections.PeerServer(loop, self._local, self)
        self._hello = frames.Hello(
            frames.PROTOCOL_VERSION, settings.inbound, settings.zone, self._boot
        )
        self._outbound = self._make_server(self._forwarder.handle)
        self._admin = self._make_server(self._handle_admin)
        self._ready = self._make_server(self._handle_ready)
        self._figures = self._make_server(self._handle_metrics)

    @property
    def ready(self) -> bool:
        """Whether clients may send requests."""
        return (
            self._config is not None
            and self._store_watcher.nodes_listed
            and not self._local.stopping
        )

    async def run(self) -> None:
        """Serves until it is told to stop."""
        settings = self._settings
        self._log.write("node", "Started.", boot=self._boot, zone=settings.zone)
        self._loop.add_signal_handler(signal.SIGTERM, self._stop)
        self._loop.add_signal_handler(signal.SIGINT, self._stop)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._peer_server.listen(settings.inbound)
        await self._outbound.listen(settings.outbound)
        await self._admin.listen(settings.admin)
        await self._ready.listen(settings.readiness)
        await self._figures.listen(settings.metrics)
        self._tasks = [
            self._loop.create_task(self._store_watcher.watch_config()),
            self._loop.create_task(self._store_watcher.watch_node_records()),
            self._loop.create_task(self._tick_forever()),
        ]
        for task in self._tasks:
            task.add_done_callback(self._note_end)
        await self._stopping.wait()
        if self._failure is not None:
            raise self._failure
        await self._wind_down()

    def _note_end(self, task: asyncio.Task) -> None:
        """Ends the process if a part of it has failed; the platform restarts it."""
        if task.cancelled() or task.exception() is None:
            return
        self._failure = task.exception()
        self._log.write("node", "A part failed.", why=repr(self._failure))
        self._stopping.set()

    def handle_state(self, peer: connections.Peer, state: frames.NodeState) -> None:
        """Takes the state of another node."""
        if state.edges:
            self._learn([chains.Edge(*edge) for edge in state.edges])
        own = self._config.version if self._config else 0
        if state.config_version > own:
            self._loop.call_later(PEER_CONFIG_DELAY_S, self._ask_config, peer)

    def handle_hello(self, hello: frames.Hello) -> None:
        """Learns of a node that opened a connection."""
        self._add_peer(hello.address, hello.zone)

    def handle_config(self, reply: frames.ConfigReply) -> None:
        """Takes a config from another node."""
        self._use_config(reply.raw, "peer")

    def get_config(self) -> data.Config | None:
        """Gets the config in force."""
        return self._config

    def build_state(self) -> frames.NodeState:
        """Makes the state to tell other nodes."""
        version = self._config.version if self._config else 0
        return self._state_builder.build_state(version, self._edges_to_tell)

    def _tell_state(self) -> None:
        """Tells other nodes what has changed."""
        self._peer_server.broadcast(
            self._state_builder.select_message(self.build_state())
        )

    def handle_peer_event(self, peer: connections.Peer, event: str) -> None:
        """Logs that a node was lost or came back."""
        if self._log.allows("peer"):
            self._log.write("peer", f"Peer {event}.", peer=peer.address)

    def _make_server(self, handler: http1.Handler) -> http1.HttpServer:
        return http1.HttpServer(self._loop, handler, DEFAULT_LIMITS, self._note_bad)

    def _note_bad(self, status: int) -> None:
        self.metrics.count("bad_requests", f'status="{status}"')

    def _handle_ready(
        self, connection: http1.ServerConnection, request: http1.Request
    ) -> None:
        path = request.target.decode("latin-1")
        method = request.method.decode("latin-1")
        if not self._platform.is_readiness_path(method, path):
            connection.reply_status(404)
            return
        connection.reply_status(200 if self.ready else 503)

    def _handle_metrics(
        self, connection: http1.ServerConnection, request: http1.Request
    ) -> None:
        config = self._config
        now = self._loop.time()
        present = gauges.GaugeValues(
            config.version if config is not None else None,
            now - self._config_since,
            self._forwarder.pending,
            self._forwarder.get_budgets(now),
            self._store_watcher.store_calls,
        )
        peers = list(self._peers.values())
        gauges.set_gauges(self.metrics, present, peers, self._local)
        connection.reply_status(200, body=self.metrics.format_text().encode())

    def _handle_admin(
        self, connection: http1.ServerConnection, request: http1.Request
    ) -> None:
        method = request.method.decode("latin-1")
        path = request.target.decode("latin-1")
        try:
            said = self._platform.parse_announcement(method, path, request.body)
        except data.DecodeError as error:
            self._log.write("announce", "Ignored: not readable.", why=str(error))
            connection.reply_status(400)
            return
        if said is None:
            connection.reply_status(404)
            return
        before = self._presence.current
        taken = self._presence.take(self._loop.time(), said)
        self._note_announcement(before, said, taken)
        if taken and said.state is not data.EndpointState.READY:
            task = self._loop.create_task(self._keep_ended(connection, said))
            self._tasks.append(task)
            task.add_done_callback(self._note_end)
            task.add_done_callback(self._tasks.remove)
            return
        acknowledge(connection)

    async def _keep_ended(
        self, connection: http1.ServerConnection, said: data.Announcement
    ) -> None:
        """Keeps in the store that an endpoint leaves, then acknowledges it.

        A node that starts again would otherwise trust a late announcement. The
        acknowledgement does not wait for long: this node itself is bound already.
        """
        current = self._presence.current
        start_ms = current.start_ms if current else said.start_ms
        if said.instance not in self._store_watcher.tombstones:
            self._store_watcher.tombstones[said.instance] = max(start_ms, said.start_ms)
            try:
                await asyncio.wait_for(
                    self._store_watcher.write_record(), ENDED_WRITE_S
                )
            except (TimeoutError, data.StoreError) as error:
                self._log.write("announce", "Not kept in the store.", why=str(error))
        acknowledge(connection)

    def _take_entry(self, key: str, record: store_watcher.NodeRecord) -> None:
        self._learn(list(record.edges))
        if key == self._settings.node:
            self._take_ended(record)
        self._add_peer(record.address, record.zone)

    def _take_ended(self, record: store_watcher.NodeRecord) -> None:
        for instance, start_ms in record.tombstones:
            if instance not in self._store_watcher.tombstones:
                self._store_watcher.tombstones[instance] = start_ms
                self._presence.add_ended(instance, start_ms)

    def _note_announcement(
        self, before: data.Announcement | None, said: data.Announcement, taken: bool
    ) -> None:
        now = self._presence.current
        if not taken and self._log.allows("announce", failure=True):
            self._log.write("announce", "Ignored: older or foreign.", said=said)
        changed = now is not None and (
            before is None
            or (before.instance, before.start_ms, before.state, before.slots)
            != (now.instance, now.start_ms, now.state, now.slots)
        )
        if not changed:
            return
        self._local.queue.set_slots(now.slots)
        self._log.write(
            "announce",
            "The endpoint changed.",
            instance=now.instance,
            state=now.state.value,
            seq=now.seq,
            slots=now.slots,
        )
        if now.state is not data.EndpointState.READY:
            self._local.refuse_waiting()
        self._tell_state()

    def _add_peer(self, address: str, zone: str) -> None:
        if address == self._settings.inbound or address in self._peers:
            return
        peer = connections.Peer(self._loop, address, zone, self._hello, self, self._rng)
        self._peers[address] = peer
        peer.tick(self._loop.time())

    def _ask_config(self, peer: connections.Peer) -> None:
        own = self._config.version if self._config else 0
        if peer.state is not None and peer.state.config_version > own:
            peer.request_config(own)

    def _use_config(self, raw: bytes, source: str) -> None:
        try:
            config = self._platform.parse_config(raw)
        except data.DecodeError as error:
            self._log.write("config", "Ignored: not valid.", why=str(error))
            return
        if self._config is not None and config.version <= self._config.version:
            return
        self._config = config
        self._config_since = self._loop.time()
        self._forwarder.set_config(config)
        self._outbound.limits = config.limits
        self._log.write(
            "config",
            "In force.",
            version=config.version,
            routes=len(config.routes),
            source=source,
        )

    async def _tick_forever(self) -> None:
        last = self._loop.time()
        state_at = peers_at = sweep_at = edges_at = last
        while True:
            await asyncio.sleep(TICK_S)
            now = self._loop.time()
            passed, last = now - last, now
            self._local.tick(now)
            self._local.queue.update_use(passed)
            self._forwarder.admission.update(passed)
            if now >= state_at:
                state_at = now + STATE_EVERY_S
                self._tell_state()
                self._edges_to_tell = ()
            if now >= peers_at:
                peers_at = now + PEERS_EVERY_S
                self._tick_peers(now)
            if now >= edges_at:
                edges_at = now + EDGES_EVERY_S
                self._refresh_edges(now)
            if now >= sweep_at:
                sweep_at = now + SWEEP_EVERY_S
                self._outbound.sweep(now)
                self._log_load()
            self._log.flush()

    def _learn(self, edges: list[chains.Edge]) -> None:
        for learned in self._graph.learn(edges):
            self._log.write("chain", "Learned a call.", **learned._asdict())

    def _log_load(self) -> None:
        queue = self._local.queue
        self._log.write(
            "queue",
            "Load.",
            running=queue.running,
            waiting=queue.waiting,
            limit=queue.limit,
            service_ms=round(queue.service_s * 1000, 1),
            use=round(queue.use, 2),
            refused=queue.take_refused(),
            pending=self._forwarder.pending,
            shares=self._forwarder.admission.get_shares(),
        )

    def _refresh_edges(self, now: float) -> None:
        """Tells other nodes, and this one, what was counted here."""
        edges = self._graph.get_local_edges()
        known = {edge[:3]: edge.calls for edge in self._store_watcher.local_edges}
        self._store_watcher.local_edges = tuple(edges)
        self._local.queue.makes_calls = self._graph.makes_calls()
        changed = any(
            abs(known.get(edge[:3], 0.0) - edge.calls) > EDGE_CHANGE * edge.calls
            for edge in edges
        )
        if changed or now - self._edges_told_at > EDGES_AGAIN_EVERY_S:
            self._edges_told_at = now
            self._learn(edges)
            self._edges_to_tell = self._store_watcher.local_edges

    def _tick_peers(self, now: float) -> None:
        for address, peer in list(self._peers.items()):
            peer.tick(now)
            since = peer.unreachable_since
            if since is not None and now - since > FORGET_PEER_S:
                peer.close()
                del self._peers[address]
                self._places.forget(address)

    def _reload(self) -> None:
        try:
            self._settings = self._platform.load_settings()
        except (OSError, data.DecodeError) as error:
            self._log.write("node", "Settings not reloaded.", why=str(error))
            return
        self._log.write("node", "Settings reloaded.")

    def _stop(self) -> None:
        if self._local.stopping:
            return
        self._log.write("node", "Stopping.", pending=self._forwarder.pending)
        self._local.stopping = True
        self._stop_at = self._loop.time()
        self._tell_state()
        self._stopping.set()

    async def _wind_down(self) -> None:
        settle = self._stop_at + STOP_SETTLE_S
        last = self._stop_at + self._settings.grace_s - STOP_MARGIN_S
        while True:
            now = self._loop.time()
            busy = self._forwarder.pending or self._local.queue.load
            if now >= last or (now >= settle and not busy):
                break
            if now >= settle - STOP_REFUSE_S and not self._local.refusing:
                self._local.refusing = True
                self._forwarder.stopping = True
                self._tell_state()
            if now >= settle:
                self._outbound.closing = True
            await asyncio.sleep(TICK_S)
        self._outbound.stop_listening()
        self._outbound.close_idle()
        await asyncio.sleep(FLUSH_S)
        self._log.write("node", "Stopped.", pending=self._forwarder.pending)
        self._log.flush()
        for task in self._tasks:
            task.cancel()
        for peer in self._peers.values():
            peer.close()
        await asyncio.sleep(0)


def acknowledge(connection: http1.ServerConnection) -> None:
    """Acknowledges an announcement."""
    connection.reply_status(200, b"Content-Type: application/json\r\n", b"{}")
