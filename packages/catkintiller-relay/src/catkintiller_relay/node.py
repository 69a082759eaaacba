"""The node: starts and connects its parts, runs them, and shuts them down."""

import asyncio
import random
import secrets
import signal

from . import data, interfaces, periodic_tasks, shutdown, update_pacing
from .crashes import crash_reporter
from .ingress import body_budget, http1
from .membership import (
    config_loader,
    config_sync,
    config_watcher,
    departure_exchange,
    frames,
    introduction,
    node_record,
    node_state,
    peer_observer,
    peer_server,
    peer_set,
    store_calls,
    store_watcher,
)
from .quotas import quota_sync
from .routing import call_graph, edge_sync, endpoint_directory, forwarder, subsetting
from .serving import (
    announcements,
    departure_recorder,
    endpoint_pool,
    endpoint_tracker,
    local_endpoint,
    notice_handler,
    service_times,
)
from .shares import share_exchange
from .telemetry import (
    events,
    gauges,
    load_line,
    metrics,
    occupancy_line,
    status_pages,
)

ADMISSION_INTERVAL_S = 0.1
PEER_CHECK_INTERVAL_S = 0.1
SWEEP_INTERVAL_S = 1.0
OCCUPANCY_LINE_INTERVAL_S = 10.0
EDGE_REFRESH_INTERVAL_S = 0.3
CALL_GRAPH_KEEPER_COUNT = 3
MAX_START_HOLD_S = 2.0

DEFAULT_LIMITS = data.ClientLimits(16384, 64 * 1024 * 1024, 3.0, 15.0)
ANNOUNCEMENT_LIMITS = DEFAULT_LIMITS._replace(max_body_bytes=64 * 1024)


class Node(peer_observer.PeerObserver):
    """The process beside one endpoint.

    :param platform: decodes the platform's formats.
    :param settings: settings of the process.
    :ivar metrics: metrics of the process.
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
        self._boot_id = secrets.token_hex(6)
        self._hello = frames.Hello(
            frames.PROTOCOL_VERSION,
            settings.inbound,
            settings.zone,
            self._boot_id,
            settings.service,
        )
        self._peers = peer_set.PeerSet(loop, settings, self._hello, self, self._rng)
        self._configs = config_loader.ConfigLoader(
            loop, platform, log, self._apply_config, self._handle_task_done
        )
        self._config_applied_at = 0.0
        self._published_times = service_times.PublishedTimes()
        self._stopping = asyncio.Event()
        self._tasks: list[asyncio.Task] = []
        self._failure: BaseException | None = None
        self.metrics = metrics.Metrics()
        store = platform.create_store(settings.store, loop)
        self._store_calls = store_calls.StoreCalls(store, log)
        self._config_watcher = config_watcher.ConfigWatcher(
            store,
            settings,
            self._rng,
            self._store_calls,
            self._configs.load_and_wait,
            lambda: self._peers.has_connection,
        )
        self._store_watcher = store_watcher.StoreWatcher(
            store,
            settings,
            self._boot_id,
            log,
            self._rng,
            self._store_calls,
            self._handle_node_record,
            lambda: self._peers.has_connection,
            lambda: self._peers.is_first_of_service(CALL_GRAPH_KEEPER_COUNT),
        )
        self._store_calls.add_restore_handler(self._broadcast_state)
        self._tracker = endpoint_tracker.EndpointTracker(
            settings.service, settings.heartbeat_s
        )
        self._config_sync = config_sync.ConfigSync(
            loop,
            settings,
            self._configs,
            self._config_watcher,
            self._store_watcher,
            self._peers,
            self._rng,
            log,
            self._broadcast_state,
        )
        # What arrives first may be a late announcement of an endpoint that left.
        self._tracker.hold()
        self._started_at = loop.time()
        self._departure_recorder = departure_recorder.DepartureRecorder(
            settings.zone,
            self._store_watcher,
            lambda departure: self._peer_server.send_departure(departure),
            lambda: self._peer_server.get_copy_holders(),
            log,
        )
        self._graph = call_graph.CallGraph()
        self._edges = edge_sync.EdgeSync(self._graph, self._store_watcher, log)
        self._quotas = quota_sync.QuotaSync(
            loop,
            settings.inbound,
            self._peers,
            lambda: self._store_watcher.nodes_listed,
            self._rng,
            log,
            *share_exchange.build_hooks(
                loop, lambda: self._forwarder.admission.customer_demand
            ),
        )
        header_names = platform.header_names
        self._body_budget = body_budget.create_budget(settings.memory_mb)
        self._pool = endpoint_pool.EndpointConnectionPool(
            loop, settings.endpoint, header_names, self._body_budget
        )
        self._notices = notice_handler.NoticeHandler(
            log,
            self._broadcast_state,
            lambda: self._announcements.handle_leaving_response(),
        )
        self._crash_reporter = crash_reporter.CrashReporter(
            loop,
            settings.service,
            log,
            self.metrics,
            self._send_crash_message,
            self._store_watcher,
        )
        self._local_endpoint = local_endpoint.LocalEndpoint(
            loop,
            self._tracker,
            self._pool,
            self._graph,
            self.metrics,
            self._notices.handle_notice,
            self._crash_reporter,
        )
        self._announcements = announcements.AnnouncementHandler(
            loop,
            settings.ip,
            platform,
            self._tracker,
            self._local_endpoint,
            self._departure_recorder,
            log,
            self._broadcast_state,
            self._handle_task_done,
        )
        self._departures = departure_exchange.DepartureExchange(
            self._departure_recorder.get_unstored, self._announcements.handle_copy
        )
        self._endpoints = endpoint_directory.EndpointDirectory(
            settings, self._local_endpoint, self._peers
        )
        self._forwarder = forwarder.Forwarder(
            loop,
            settings,
            header_names,
            self._local_endpoint,
            self._endpoints,
            self._graph,
            self._crash_reporter.history,
            self._quotas,
            lambda: self._config_sync.is_current,
            log,
            self.metrics,
            self._rng,
        )
        self._state_builder = node_state.NodeStateBuilder(
            settings, self._tracker, self._local_endpoint, self._forwarder.admission
        )
        self._peer_server = peer_server.PeerServer(
            loop, self._local_endpoint, self, self._body_budget
        )
        self._introduction = introduction.Introduction(
            self._peers, self._peer_server, self._store_watcher, self._rng, log
        )
        self._outbound_server = self._create_server(self._forwarder.handle_request)
        self._outbound_server.check_head = self._forwarder.check_head
        self._outbound_server.budget = self._body_budget
        self._admin_server = self._create_server(self._announcements.handle_request)
        self._admin_server.limits = ANNOUNCEMENT_LIMITS
        pages = status_pages.StatusPages(
            platform,
            self.metrics,
            self._peers,
            self._local_endpoint,
            lambda: self.ready,
            self._get_gauge_values,
            self._forwarder,
        )
        self._readiness_server = self._create_server(pages.handle_readiness)
        self._metrics_server = self._create_server(pages.handle_metrics)
        self._shutdown = shutdown.Shutdown(
            loop,
            settings.grace_s,
            self._local_endpoint,
            self._forwarder,
            self._outbound_server,
            self._peer_server,
            self._broadcast_state,
        )
        self._was_accepting = self._local_endpoint.accepting
        self._periodic_tasks = periodic_tasks.PeriodicTasks(loop)
        self._add_periodic_tasks()

    @property
    def ready(self) -> bool:
        """Whether the node is ready for requests of clients."""
        return (
            self._configs.config is not None
            and self._store_watcher.nodes_listed
            and self._config_sync.synchronized
            and not self._local_endpoint.stopping
        )

    @property
    def departures(self) -> departure_exchange.DepartureExchange:
        """Departures of endpoints that nodes hold for each other."""
        return self._departures

    async def run(self) -> None:
        """Serves until a signal stops the node or one of its tasks fails.

        :raises BaseException: the exception of the task that failed.
        """
        settings = self._settings
        self._log.write("node", "Node started.", boot=self._boot_id, zone=settings.zone)
        self._loop.add_signal_handler(signal.SIGTERM, self._stop)
        self._loop.add_signal_handler(signal.SIGINT, self._stop)
        self._loop.add_signal_handler(signal.SIGHUP, self._reload)
        await self._peer_server.listen(settings.inbound)
        await self._outbound_server.listen(settings.outbound)
        await self._admin_server.listen(settings.admin)
        await self._readiness_server.listen(settings.readiness)
        await self._metrics_server.listen(settings.metrics)
        self._tasks = [
            self._loop.create_task(self._config_watcher.run()),
            self._loop.create_task(self._store_watcher.watch_node_records()),
            self._loop.create_task(self._periodic_tasks.run()),
            self._loop.create_task(self._introduction.run()),
        ]
        for task in self._tasks:
            task.add_done_callback(self._handle_task_done)
        await self._stopping.wait()
        if self._failure is not None:
            raise self._failure
        await self._shut_down()

    def _handle_task_done(self, task: asyncio.Task) -> None:
        """Stops the node if a task has failed; the platform restarts the process."""
        if task.cancelled() or task.exception() is None:
            return
        self._failure = task.exception()
        self._log.write("node", "Background task failed.", why=repr(self._failure))
        self._stopping.set()

    def handle_state(self, address: str, state: frames.NodeState) -> None:
        """Updates the peer's service and adds its edges to the call graph."""
        member = subsetting.Member(address, state.zone, state.service)
        self._peers.add_member(member)
        if state.restore_count:
            self._store_calls.handle_restore_count(state.restore_count)
        if state.edges:
            self._edges.merge([call_graph.Edge(*edge) for edge in state.edges])

    def handle_hello(self, hello: frames.Hello) -> None:
        """Adds the node that opened a connection as a member."""
        member = subsetting.Member(hello.address, hello.zone, hello.service)
        self._peers.add_member(member)

    def handle_peer_removed(self, address: str) -> None:
        """Drops what is known about the endpoint beside a peer that was removed."""
        self._endpoints.remove_node(address)

    def handle_config(self, reply: frames.ConfigReply) -> None:
        """Applies a config that a peer sent."""
        self._config_sync.handle_reply(reply)

    def handle_config_read(self, message: frames.ConfigRead) -> None:
        """Handles a peer's message that it has read the store."""
        self._config_sync.handle_peer_read(message)

    def handle_crash_report(self, message: frames.CrashReport) -> None:
        """Adds what a peer knows about crashes of endpoints."""
        self._crash_reporter.handle_report(message)

    def handle_cleared_requests(self, message: frames.ClearedRequests) -> None:
        """Clears requests to which a peer's endpoint has responded."""
        self._crash_reporter.handle_cleared(message)

    def build_crash_handover(self) -> frames.CrashReport | None:
        """Builds the message with all that this node knows about crashes."""
        return self._crash_reporter.build_handover()

    def handle_quota_request(
        self, sender: str, request: frames.QuotaRequest
    ) -> frames.QuotaReply | None:
        """Grants tokens to a peer that may follow this node."""
        return self._quotas.handle_request(sender, request)

    def handle_quota_reply(self, address: str, reply: frames.QuotaReply) -> None:
        """Adds the tokens that a peer granted."""
        self._quotas.handle_reply(address, reply)

    def _send_crash_message(
        self, message: crash_reporter.CrashMessage, service: str | None
    ) -> None:
        self._peer_server.send_crash_message(message, service)
        self._broadcast_state()

    def build_config_reply(
        self, request: frames.ConfigRequest
    ) -> frames.ConfigReply | None:
        """Builds the reply to a peer's request for the config."""
        return self._config_sync.build_reply(request)

    def build_state(self) -> frames.NodeState:
        """Builds the node state to send to peers."""
        return self._state_builder.build_state(
            self._configs.version,
            self._config_watcher.config_reading,
            self._edges.published,
            self._published_times.times,
            self._peer_server.report_interval_s,
            self._store_calls.restore_count,
        )

    def build_load_report(self) -> frames.LoadReport:
        """Builds the load report to send to peers."""
        return self._state_builder.build_load_report(
            self._peer_server.report_interval_s
        )

    def _broadcast_state(self) -> None:
        """Sends the node state to all connected nodes if it has changed."""
        state = self.build_state()
        if self._state_builder.record_change(state):
            self._peer_server.broadcast(state)

    def handle_peer_event(self, address: str, event: str) -> None:
        """Logs a change of the connection to a peer."""
        if self._log.reserve_line("peer"):
            self._log.write("peer", f"Peer {event}.", peer=address)

    def _create_server(self, handler: http1.Handler) -> http1.HttpServer:
        return http1.HttpServer(
            self._loop, handler, DEFAULT_LIMITS, self._record_rejection
        )

    def _record_rejection(self, status: int) -> None:
        self.metrics.count("bad_requests", f'status="{status}"')

    def _get_gauge_values(self) -> gauges.GaugeValues:
        config = self._configs.config
        now = self._loop.time()
        history = self._crash_reporter.history
        return gauges.GaugeValues(
            config.version if config is not None else None,
            now - self._config_applied_at,
            self._config_watcher.config_reading,
            self._config_watcher.get_call_s(now),
            self._config_watcher.get_read_age_s(now),
            self._forwarder.pending_count,
            self._forwarder.get_remaining_retries(now),
            self._store_calls.counts,
            history.suspect_count,
            history.block_count,
            self._quotas.is_coordinator if self._quotas.enabled else None,
            self._quotas.follower_count,
            self._forwarder.admission.get_customer_shares(),
            self._body_budget.used_bytes,
        )

    def _handle_node_record(self, key: str, record: node_record.NodeRecord) -> None:
        self._edges.merge(list(record.edges))
        is_own = key == self._settings.node
        self._crash_reporter.block_store.load(self._loop.time(), record, is_own=is_own)
        if is_own:
            self._announcements.restore_tombstones(record)
        self._peers.add_member(
            subsetting.Member(record.address, record.zone, record.service)
        )

    def _apply_config(self, config: data.Config, source: str) -> None:
        """Puts a config in force for all requests from now on."""
        self._config_applied_at = self._loop.time()
        self._config_sync.handle_config_applied()
        self._quotas.set_config(config)
        self._forwarder.set_config(config)
        self._outbound_server.limits = config.limits
        self._log.write(
            "config",
            "Config is in force.",
            version=config.version,
            routes=len(config.routes),
            source=source,
        )
        self._broadcast_state()

    def _add_periodic_tasks(self) -> None:
        add = self._periodic_tasks.add
        add(periodic_tasks.EVERY_TICK_S, self._handle_tick)
        admission = self._forwarder.admission
        pacer = update_pacing.UpdatePacer(admission, self._peer_server)
        add(ADMISSION_INTERVAL_S, pacer.run)
        add(peer_server.REPORT_ROUND_INTERVAL_S, self._send_reports)
        add(PEER_CHECK_INTERVAL_S, self._check_peers)
        add(EDGE_REFRESH_INTERVAL_S, self._refresh_edges)
        add(SWEEP_INTERVAL_S, self._sweep)
        add(OCCUPANCY_LINE_INTERVAL_S, self._write_occupancies)
        add(periodic_tasks.EVERY_TICK_S, lambda _now, _elapsed_s: self._log.flush())

    def _handle_tick(self, now: float, elapsed_s: float) -> None:
        endpoint = self._local_endpoint
        endpoint.refuse_expired(now)
        self._quotas.tick()
        self._crash_reporter.send_newly_cleared()
        endpoint.queue.update_utilization(elapsed_s)
        if endpoint.accepting is not self._was_accepting:
            self._was_accepting = not self._was_accepting
            self._broadcast_state()

    def _send_reports(self, now: float, elapsed_s: float) -> None:
        self._broadcast_state()
        self._peer_server.send_reports()

    def _check_peers(self, now: float, elapsed_s: float) -> None:
        self._peers.tick(now)
        self._quotas.update_members(now)
        self._config_sync.tick(now)
        self._check_hold(now)

    def _check_hold(self, now: float) -> None:
        """Lets the endpoint get requests once earlier departures are known.

        Without the store and without peers, nobody can be asked.
        """
        if not self._tracker.is_held:
            return
        has_waited = now - self._started_at >= MAX_START_HOLD_S
        if has_waited or self._config_sync.synchronized:
            self._tracker.release()
            self._broadcast_state()

    def _refresh_edges(self, now: float, elapsed_s: float) -> None:
        self._edges.refresh()
        self._published_times.update(self._local_endpoint.service_times, now)

    def _sweep(self, now: float, elapsed_s: float) -> None:
        self._outbound_server.close_timed_out(now)
        self._crash_reporter.history.drop_expired(now)
        load_line.write_line(self._log, self._local_endpoint, self._forwarder)
        self._endpoints.sample_occupancy()

    def _write_occupancies(self, now: float, elapsed_s: float) -> None:
        occupancy_line.write_occupancies(
            self._log, self.metrics, self._endpoints.occupancy
        )

    def _reload(self) -> None:
        try:
            self._settings = self._platform.load_settings()
        except (OSError, data.DecodeError) as error:
            self._log.write("node", "Settings could not be reloaded.", why=str(error))
            return
        self._log.write("node", "Settings reloaded.")

    def _stop(self) -> None:
        if self._local_endpoint.stopping:
            return
        self._log.write(
            "node", "Node is stopping.", pending=self._forwarder.pending_count
        )
        self._shutdown.start()
        self._stopping.set()

    async def _shut_down(self) -> None:
        """Serves the pending requests as far as the time allows, then stops."""
        await self._shutdown.serve_pending()
        self._log.write("node", "Node stopped.", pending=self._forwarder.pending_count)
        self._log.flush()
        for task in self._tasks:
            task.cancel()
        self._configs.close()
        self._announcements.close()
        self._peers.close()
        await asyncio.sleep(0)
