"""One node: its parts, how messages reach them, and how it starts and stops."""

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

TICK_S = 0.05
BUSY_TICK_S = 0.02
ANNOUNCE_TTL_S = 5.0
STOP_PATIENCE_S = 50.0
BACKLOG = 1024
FAREWELL_S = 1.0

_MEMBERSHIP_MESSAGES = (
    data.Ping,
    data.PingRequest,
    data.Ack,
    data.MembersRequest,
    data.MembersPage,
    data.MembersDigest,
)


class Node(aiomisc.Service):
    """The process beside one endpoint.

    :param settings: checked local settings.
    :param make_control: makes the handler of the node's own paths.
    """

    def __init__(
        self,
        settings: config.NodeConfig,
        make_control: Callable[["Node"], http_handler.Control],
        **kwargs: object,
    ) -> None:
        super().__init__(**kwargs)
        self._config = settings
        self._make_control = make_control
        self._rng = random.Random()
        self._announced_at: float | None = None
        self._tasks: list[asyncio.Task] = []
        self._stopping = False
        self._drained = False
        self._tree: tree.SettingsTree | None = None

    @property
    def in_flight(self) -> int:
        """Calls that arrived here or are served here and are not done."""
        own = self._front.in_flight + self.sender.serving
        return own + self.serving.in_flight + self.keyed.running

    async def start(self) -> None:
        """Builds the parts and takes up work."""
        self._build_parts()
        self.mesh.start()
        handler = web.Server(
            self._front.handle, handler_cancellation=True, access_log=None
        )
        self._runner = web.ServerRunner(handler)
        await self._runner.setup()
        host, port = config.split_address(self._config.http)
        site = web.TCPSite(self._runner, host, port, backlog=BACKLOG)
        await site.start()
        self._tasks = [
            asyncio.ensure_future(self.sync.follow()),
            asyncio.ensure_future(self._tick_forever()),
        ]
        logger.info(
            "node: started", extra={"member": self.members.own_record._asdict()}
        )

    async def stop(self, exception: Exception | None = None) -> None:
        """Ends new work, lets what runs finish, and says farewell."""
        if self._stopping:
            return
        self._stopping = True
        self.drain()
        self._front.close_connections()
        began = time.monotonic()
        while time.monotonic() - began < STOP_PATIENCE_S:
            settled = time.monotonic() - began >= self._config.settle_s
            if settled and not self.in_flight:
                break
            await asyncio.sleep(BUSY_TICK_S)
        logger.info("node: stopped", extra={"in_flight": self.in_flight})
        self.members.update_own_record(state=data.MemberState.LEFT)
        self._send_all(self.members.build_immediate_pings(self.sync.state.offset))
        for task in self._tasks:
            task.cancel()
        self.keyed.stop()
        await self._runner.cleanup()
        await self._http.close()
        self.mesh.stop()

    def take_announcement(self, info: endpoint.EndpointInfo, leaving: bool) -> None:
        """Takes what the endpoint says of itself.

        An endpoint that was silent, or that left and was started again, comes
        back with its next announcement; one that an operator drained does not.
        """
        self._announced_at = time.monotonic()
        if self.serving.info != info:
            self.serving.set_endpoint(info)
            self.keyed.set_service(info.service)
            self._apply_retention()
        if leaving:
            self.serving.leave()
        elif not self._drained:
            self.serving.come_back()
        self._publish_endpoint()

    def drain(self) -> None:
        """Ends new work for the endpoint for good and tells the other nodes."""
        self._drained = True
        self._leave()

    def _leave(self) -> None:
        self.serving.leave()
        self._publish_endpoint()

    async def draw_tickets(self, service: str, count: int) -> list[str]:
        """Draws ticket keys for a service, spread over its endpoints.

        :raises errors.CallRefused: if no endpoint can give any.
        """
        members = self.members.get_accepting_members(service)
        if self._tree is None or not members:
            raise errors.CallRefused(
                data.Refusal(data.Reason.NO_ENDPOINT, data.Ran.NO, "", 1000)
            )
        return await self._desk.draw_spread(members, self._tree, count, self._rng)

    def _build_parts(self) -> None:
        settings = self._config
        self.metrics = metrics.Metrics()
        log = decision_log.DecisionLog(settings.decision_lines)
        self._http = endpoint.make_session()
        log_client = logclient.HttpLogClient(self._http, settings.log)
        codec = wire.Codec(settings.mesh_key)
        self.mesh = mesh.Mesh(codec, settings.mesh, self._receive)
        me = make_member(settings)
        peers = list(settings.peers)
        self.members = membership.Membership(me, peers, self._rng)
        self.balancer = load_balancer.Balancer(settings.zone, self._rng)
        self.sync = settings_sync.SettingsSync(
            self.members,
            self.mesh,
            log_client,
            self._use_settings,
            settings.snapshot_s,
            self._rng,
        )
        running = running_calls.Parents()
        client = endpoint.EndpointClient(self._http)
        needs = call_graph.Chain(self.members, self.balancer)
        self.serving = executor.Serving(client, running, needs, log, self.metrics)
        self.keyed = keyed_executor.KeyedServing(
            me.incarnation, self.serving, log_client, self._choose_successor
        )
        self.local = attempts.LocalServer(me.incarnation, self.serving, self.keyed)
        self.sender = attempts.MeshSender(me.incarnation, self.mesh, self.local)
        self._desk = tickets.TicketDesk(self.members, self.mesh, self.keyed)
        call_router = router.Router(
            self.members, self.balancer, self.sender, log, self.metrics
        )
        control = self._make_control(self)
        self._front = http_handler.Front(
            call_router, running, needs, control, self.metrics
        )

    def _choose_successor(self) -> str:
        me = self.members.own_record
        members = self.members.get_accepting_members(me.service)
        others = [m for m in members if m.incarnation != me.incarnation]
        return self._rng.choice(others).incarnation if others else ""

    def _use_settings(self, state: data.SettingsState) -> None:
        self._tree = tree.SettingsTree(state)
        self._front.set_tree(self._tree)
        self.serving.set_tree(self._tree)
        self._apply_retention()

    def _apply_retention(self) -> None:
        info = self.serving.info
        if self._tree and info:
            retention = self._tree.get_kind(info.service, "").key_retention
            self.local.set_retention(retention / 1000)

    def _publish_endpoint(self) -> None:
        """Tells other nodes whether and what this node's endpoint serves."""
        info = self.serving.info
        me = self.members.own_record
        changed = me._replace(
            service=info.service if info else "",
            endpoint=info.name if info else "",
            accepting=self.serving.accepting and self._tree is not None,
        )
        if changed == me:
            return
        self.members.update_own_record(
            service=changed.service,
            endpoint=changed.endpoint,
            accepting=changed.accepting,
        )
        self._send_all(self.members.build_immediate_pings(self.sync.state.offset))

    async def _tick_forever(self) -> None:
        while True:
            try:
                self._tick(time.monotonic())
            except Exception:
                logger.exception("node: tick failed")
            # Only waiting calls need a close watch on their time.
            await asyncio.sleep(BUSY_TICK_S if self.serving.waiting else TICK_S)

    def _tick(self, now: float) -> None:
        self.serving.tick(now)
        silent = self._announced_at is not None and (
            now - self._announced_at > ANNOUNCE_TTL_S
        )
        if silent and not self.serving.leaving:
            logger.warning("node: the endpoint is silent")
            self._leave()
        self._publish_endpoint()
        self._send_all(self.members.tick(now, self.sync.state.offset))
        self._note_transitions()
        if self._tree is not None and self.members.is_synced:
            self._front.note_joined()

    def _note_transitions(self) -> None:
        transitions = self.members.pop_transitions()
        for change in transitions:
            member = change.member
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
                self.sender.fail_member(member.incarnation)
            elif member.state is data.MemberState.LEFT:
                # Its last answers may still be on their way.
                loop = asyncio.get_running_loop()
                fail = self.sender.fail_member
                loop.call_later(FAREWELL_S, fail, member.incarnation)
        if transitions:
            alive = {member.incarnation for member in self.members.get_live_members()}
            self.balancer.retain_only(alive)

    def _send_all(self, sends: list[membership.OutgoingMessage]) -> None:
        for send in sends:
            self.mesh.send(send.address, send.message)

    def _receive(self, envelope: wire.Envelope) -> None:
        message = envelope.message
        if isinstance(message, data.CallRequest):
            self.sender.receive_request(message, envelope.body)
        elif isinstance(message, data.CallAnswer):
            self.sender.receive_answer(message, envelope.body)
        elif isinstance(message, data.CallCancel):
            self.sender.receive_cancel(message)
        elif isinstance(message, _MEMBERSHIP_MESSAGES):
            self._receive_membership(message)
        elif isinstance(message, data.SettingsRequest):
            self.sync.receive_request(message)
        elif isinstance(message, data.SettingsTail):
            self.sync.receive_tail(message)
        elif isinstance(message, data.SettingsSnapshot):
            self.sync.receive_snapshot(message)
        elif isinstance(message, data.TicketRequest):
            self._desk.receive_request(message, self._tree)
        elif isinstance(message, data.TicketAnswer):
            self._desk.receive_answer(message)

    def _receive_membership(self, message: data.Ping | data.Ack) -> None:
        now = time.monotonic()
        offset = self.sync.state.offset
        self._send_all(self.members.handle_message(now, message, offset))
        if isinstance(message, data.Ping | data.Ack):
            self.sync.receive_offset(message.source.address, message.settings_offset)


def make_member(settings: config.NodeConfig) -> data.Member:
    """Makes the record of a node that starts now."""
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
