"""A node: builds its components, dispatches messages to them, starts and stops them."""

import asyncio
import logging
import random
import secrets
import time
from collections.abc import Callable

import aiomisc
from aiohttp import web
from catkintiller import (
    data,
    errors,
    load_balancer,
    logclient,
    membership,
    tree,
    wire,
)

from . import (
    attempts,
    call_graph,
    config,
    decision_log,
    endpoint,
    executor,
    http_handler,
    keyed_executor,
    mesh,
    metrics,
    router,
    running_calls,
    settings_sync,
    tickets,
)

logger = logging.getLogger("catkintiller.node")

TICK_INTERVAL_S = 0.05
WAITING_TICK_INTERVAL_S = 0.02
ANNOUNCEMENT_TIMEOUT_S = 5.0
STOP_TIMEOUT_S = 50.0
LISTEN_BACKLOG_COUNT = 1024
# Time to wait for the last responses of a node that has left.
LEFT_RESPONSE_TIMEOUT_S = 1.0

_MEMBERSHIP_MESSAGES = (
    data.Ping,
    data.PingRequest,
    data.Ack,
    data.MembersRequest,
    data.MembersPage,
    data.MembersDigest,
)


class Node(aiomisc.Service):
    """The service that runs beside one endpoint.

    :param settings: validated local settings.
    :param build_control: builds the handler of the paths below ``/-/``.
    """

    def __init__(
        self,
        settings: config.NodeConfig,
        build_control: Callable[["Node"], http_handler.ControlHandler],
        **kwargs: object,
    ) -> None:
        super().__init__(**kwargs)
        self._config = settings
        self._build_control = build_control
        self._rng = random.Random()
        self._last_announcement_at: float | None = None
        self._tasks: list[asyncio.Task] = []
        self._stopping = False
        self._drained = False
        self._tree: tree.SettingsTree | None = None

    @property
    def in_flight(self) -> int:
        """Number of calls that arrived or are served here and have not ended."""
        own_calls = self._http_handler.in_flight + self.attempt_sender.serving_count
        return own_calls + self.executor.in_flight + self.keyed_executor.running

    async def start(self) -> None:
        """Builds the components and starts to accept requests."""
        self._build_components()
        self.mesh.start()
        handler = web.Server(
            self._http_handler.handle, handler_cancellation=True, access_log=None
        )
        self._runner = web.ServerRunner(handler)
        await self._runner.setup()
        host, port = config.split_address(self._config.http)
        site = web.TCPSite(self._runner, host, port, backlog=LISTEN_BACKLOG_COUNT)
        await site.start()
        self._tasks = [
            asyncio.ensure_future(self.settings_sync.follow()),
            asyncio.ensure_future(self._tick_forever()),
        ]
        logger.info(
            "node: started", extra={"member": self.members.own_record._asdict()}
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Drains the node, then notifies the other nodes that it has left.

        Waits at least ``settle_s`` for the other nodes to route around this one,
        and at most ``STOP_TIMEOUT_S`` for running calls to end.
        """
        if self._stopping:
            return
        self._stopping = True
        self.drain()
        self._http_handler.start_closing_connections()
        stop_started_at = time.monotonic()
        while time.monotonic() - stop_started_at < STOP_TIMEOUT_S:
            is_settled = time.monotonic() - stop_started_at >= self._config.settle_s
            if is_settled and not self.in_flight:
                break
            await asyncio.sleep(WAITING_TICK_INTERVAL_S)
        logger.info("node: stopped", extra={"in_flight": self.in_flight})
        self.members.update_own_record(state=data.MemberState.LEFT)
        self._send_all(
            self.members.build_immediate_pings(self.settings_sync.state.offset)
        )
        for task in self._tasks:
            task.cancel()
        self.keyed_executor.stop()
        await self._runner.cleanup()
        await self._http.close()
        self.mesh.stop()

    def handle_announcement(self, info: endpoint.EndpointInfo, leaving: bool) -> None:
        """Applies an announcement of the endpoint.

        An endpoint that was unresponsive, or that left and was started again, gets
        new calls after its next announcement, unless an operator drained the node.

        :param leaving: whether the endpoint announces that it will stop.
        """
        self._last_announcement_at = time.monotonic()
        if self.executor.info != info:
            self.executor.set_endpoint(info)
            self.keyed_executor.set_service(info.service)
            self._apply_retention()
        if leaving:
            self.executor.start_draining()
        elif not self._drained:
            self.executor.stop_draining()
        self._publish_endpoint()

    def drain(self) -> None:
        """Stops new calls to the endpoint permanently and notifies the other nodes."""
        self._drained = True
        self._start_draining()

    def _start_draining(self) -> None:
        self.executor.start_draining()
        self._publish_endpoint()

    async def issue_tickets(self, service: str, count: int) -> list[str]:
        """Issues tickets for a service, spread over its serving nodes.

        :raises errors.CallRefused: if no node can issue a ticket.
        """
        members = self.members.get_accepting_members(service)
        if self._tree is None or not members:
            raise errors.CallRefused(
                data.Refusal(data.Reason.NO_ENDPOINT, data.Ran.NO, "", 1000)
            )
        return await self._ticket_issuer.issue_spread(
            members, self._tree, count, self._rng
        )

    def _build_components(self) -> None:
        settings = self._config
        self.metrics = metrics.Metrics()
        log = decision_log.DecisionLog(settings.decision_lines)
        self._http = endpoint.build_session()
        log_client = logclient.HttpLogClient(self._http, settings.log)
        codec = wire.Codec(settings.mesh_key)
        self.mesh = mesh.Mesh(codec, settings.mesh, self._handle_message)
        own_record = build_member(settings)
        peers = list(settings.peers)
        self.members = membership.Membership(own_record, peers, self._rng)
        self.balancer = load_balancer.Balancer(settings.zone, self._rng)
        self.settings_sync = settings_sync.SettingsSync(
            self.members,
            self.mesh,
            log_client,
            self._apply_settings,
            settings.snapshot_s,
            self._rng,
        )
        registry = running_calls.RunningCallRegistry()
        endpoint_client = endpoint.EndpointClient(self._http)
        graph = call_graph.CallGraph(self.members, self.balancer)
        self.executor = executor.CallExecutor(
            endpoint_client, registry, graph, log, self.metrics
        )
        self.keyed_executor = keyed_executor.KeyedExecutor(
            own_record.incarnation, self.executor, log_client, self._choose_successor
        )
        self.local_server = attempts.LocalAttemptServer(
            own_record.incarnation, self.executor, self.keyed_executor
        )
        self.attempt_sender = attempts.MeshAttemptSender(
            own_record.incarnation, self.mesh, self.local_server
        )
        self._ticket_issuer = tickets.TicketIssuer(
            self.members, self.mesh, self.keyed_executor
        )
        call_router = router.Router(
            self.members, self.balancer, self.attempt_sender, log, self.metrics
        )
        control = self._build_control(self)
        self._http_handler = http_handler.HttpHandler(
            call_router, registry, graph, control, self.metrics
        )

    def _choose_successor(self) -> str:
        own_record = self.members.own_record
        members = self.members.get_accepting_members(own_record.service)
        others = [
            member for member in members if member.incarnation != own_record.incarnation
        ]
        return self._rng.choice(others).incarnation if others else ""

    def _apply_settings(self, state: data.SettingsState) -> None:
        self._tree = tree.SettingsTree(state)
        self._http_handler.set_tree(self._tree)
        self.executor.set_tree(self._tree)
        self._apply_retention()

    def _apply_retention(self) -> None:
        info = self.executor.info
        if self._tree and info:
            retention_ms = self._tree.get_kind(info.service, "").key_retention
            self.local_server.set_retention(retention_ms / 1000)

    def _publish_endpoint(self) -> None:
        """Publishes the service and state of the endpoint to peers, if changed."""
        info = self.executor.info
        own_record = self.members.own_record
        changed = own_record._replace(
            service=info.service if info else "",
            endpoint=info.name if info else "",
            accepting=self.executor.accepting and self._tree is not None,
        )
        if changed == own_record:
            return
        self.members.update_own_record(
            service=changed.service,
            endpoint=changed.endpoint,
            accepting=changed.accepting,
        )
        self._send_all(
            self.members.build_immediate_pings(self.settings_sync.state.offset)
        )

    async def _tick_forever(self) -> None:
        while True:
            try:
                self._tick(time.monotonic())
            except Exception:
                logger.exception("node: tick failed")
            # The shorter interval lets waiting calls expire on time.
            await asyncio.sleep(
                WAITING_TICK_INTERVAL_S if self.executor.waiting else TICK_INTERVAL_S
            )

    def _tick(self, now: float) -> None:
        self.executor.tick(now)
        is_unresponsive = self._last_announcement_at is not None and (
            now - self._last_announcement_at > ANNOUNCEMENT_TIMEOUT_S
        )
        if is_unresponsive and not self.executor.draining:
            logger.warning("node: endpoint unresponsive, no announcement in time")
            self._start_draining()
        self._publish_endpoint()
        self._send_all(self.members.tick(now, self.settings_sync.state.offset))
        self._handle_transitions()
        if self._tree is not None and self.members.is_synced:
            self._http_handler.mark_joined()

    def _handle_transitions(self) -> None:
        transitions = self.members.pop_transitions()
        for transition in transitions:
            member = transition.member
            logger.info(
                "member: %s is %s",
                member.address,
                member.state.name.lower(),
                extra={
                    "incarnation": member.incarnation,
                    "service": member.service,
                    "accepting": member.accepting,
                },
            )
            if member.state is data.MemberState.GONE:
                self.attempt_sender.fail_attempts_to(member.incarnation)
            elif member.state is data.MemberState.LEFT:
                # Its last responses may still be in transit.
                loop = asyncio.get_running_loop()
                fail_attempts = self.attempt_sender.fail_attempts_to
                loop.call_later(
                    LEFT_RESPONSE_TIMEOUT_S, fail_attempts, member.incarnation
                )
        if transitions:
            live_incarnations = {
                member.incarnation for member in self.members.get_live_members()
            }
            self.balancer.retain_only(live_incarnations)

    def _send_all(self, outgoing: list[membership.OutgoingMessage]) -> None:
        for item in outgoing:
            self.mesh.send(item.address, item.message)

    def _handle_message(self, envelope: wire.Envelope) -> None:
        message = envelope.message
        if isinstance(message, data.CallRequest):
            self.attempt_sender.handle_request(message, envelope.body)
        elif isinstance(message, data.CallResponse):
            self.attempt_sender.handle_response(message, envelope.body)
        elif isinstance(message, data.CallCancel):
            self.attempt_sender.handle_cancel(message)
        elif isinstance(message, _MEMBERSHIP_MESSAGES):
            self._handle_membership(message)
        elif isinstance(message, data.SettingsRequest):
            self.settings_sync.handle_request(message)
        elif isinstance(message, data.SettingsTail):
            self.settings_sync.handle_tail(message)
        elif isinstance(message, data.SettingsSnapshot):
            self.settings_sync.handle_snapshot(message)
        elif isinstance(message, data.TicketRequest):
            self._ticket_issuer.handle_request(message, self._tree)
        elif isinstance(message, data.TicketResponse):
            self._ticket_issuer.handle_response(message)

    def _handle_membership(self, message: data.Ping | data.Ack) -> None:
        now = time.monotonic()
        offset = self.settings_sync.state.offset
        self._send_all(self.members.handle_message(now, message, offset))
        if isinstance(message, data.Ping | data.Ack):
            self.settings_sync.handle_offset(
                message.source.address, message.settings_offset
            )


def build_member(settings: config.NodeConfig) -> data.Member:
    """Builds the member record of a node that starts, with a new incarnation."""
    return data.Member(
        secrets.token_hex(8),
        settings.advertised_mesh,
        settings.http,
        settings.region,
        settings.zone,
        "",
        "",
        data.MemberState.ALIVE,
        0,
        False,
    )
