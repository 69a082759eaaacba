"""Control endpoints that only tell: status, members, metrics."""

from typing import TypedDict

from aiohttp import web
from catkintiller import data

from . import metrics, node


class MemberStatus(TypedDict):
    """A member as status shows it."""

    incarnation: str
    mesh: str
    http: str
    zone: str
    service: str
    endpoint: str
    state: str
    accepting: bool


class NodeStatus(TypedDict):
    """What a node tells about itself."""

    incarnation: str
    zone: str
    service: str
    endpoint: str
    accepting: bool
    settings_offset: int
    settings_skipped: int
    log_ok: bool
    in_flight: int
    keys: int
    claims: int
    claim_appends: int
    members: int
    connections: int
    runs: int
    rejected_messages: int
    discarded_answers: int
    sent_bytes: int
    received_bytes: int
    latencies: dict[str, metrics.Latency]


async def status(own: node.Node, request: web.BaseRequest) -> web.Response:
    """Tells the state of this node."""
    me = own.members.own_record
    claims = own.keyed.claims
    document = NodeStatus(
        incarnation=me.incarnation,
        zone=me.zone,
        service=me.service,
        endpoint=me.endpoint,
        accepting=me.accepting,
        settings_offset=own.sync.state.offset,
        settings_skipped=own.sync.state.skipped,
        log_ok=own.sync.log_ok,
        in_flight=own.in_flight,
        keys=len(own.keyed.table),
        claims=len(claims.table) if claims else 0,
        claim_appends=claims.appends if claims else 0,
        members=len(own.members.get_live_members()),
        connections=own.mesh.connections,
        runs=own.metrics.get_count("runs"),
        rejected_messages=own.mesh.rejected,
        discarded_answers=own.sender.discarded,
        sent_bytes=own.mesh.sent_bytes,
        received_bytes=own.mesh.received_bytes,
        latencies=own.metrics.summarize(),
    )
    return web.json_response(document)


async def list_members(own: node.Node, request: web.BaseRequest) -> web.Response:
    """Lists the members that this node knows."""
    members = [_describe(member) for member in own.members.members]
    return web.json_response({"members": members})


async def show_metrics(own: node.Node, request: web.BaseRequest) -> web.Response:
    """Gives the metrics in the Prometheus text format."""
    return web.Response(text=own.metrics.format_text())


def _describe(member: data.Member) -> MemberStatus:
    return MemberStatus(
        incarnation=member.incarnation,
        mesh=member.address,
        http=member.http_address,
        zone=member.zone,
        service=member.service,
        endpoint=member.endpoint,
        state=member.state.name.lower(),
        accepting=member.accepting,
    )
