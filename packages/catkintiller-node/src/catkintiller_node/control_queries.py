"""Control handlers that only read state: status, members, metrics."""

from typing import TypedDict

from aiohttp import web
from catkintiller import data

from . import metrics, node


class MemberStatus(TypedDict):
    """A member in the JSON document of members."""

    incarnation: str
    mesh: str
    http: str
    zone: str
    service: str
    endpoint: str
    state: str
    accepting: bool


class NodeStatus(TypedDict):
    """The JSON document of the status of a node."""

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
    latencies: dict[str, metrics.LatencySummary]


async def get_status(local_node: node.Node, request: web.BaseRequest) -> web.Response:
    """Returns the status of this node."""
    own_record = local_node.members.own_record
    claims = local_node.keyed_executor.claims
    document = NodeStatus(
        incarnation=own_record.incarnation,
        zone=own_record.zone,
        service=own_record.service,
        endpoint=own_record.endpoint,
        accepting=own_record.accepting,
        settings_offset=local_node.settings_sync.state.offset,
        settings_skipped=local_node.settings_sync.state.skipped,
        log_ok=local_node.settings_sync.log_ok,
        in_flight=local_node.in_flight,
        keys=len(local_node.keyed_executor.table),
        claims=len(claims.table) if claims else 0,
        claim_appends=claims.appends if claims else 0,
        members=len(local_node.members.get_live_members()),
        connections=local_node.mesh.connections,
        runs=local_node.metrics.get_count("runs"),
        rejected_messages=local_node.mesh.rejected,
        discarded_answers=local_node.attempt_sender.discarded,
        sent_bytes=local_node.mesh.sent_bytes,
        received_bytes=local_node.mesh.received_bytes,
        latencies=local_node.metrics.summarize(),
    )
    return web.json_response(document)


async def get_members(local_node: node.Node, request: web.BaseRequest) -> web.Response:
    """Returns the members in this node's membership."""
    members = [_build_member_status(member) for member in local_node.members.members]
    return web.json_response({"members": members})


async def get_metrics(local_node: node.Node, request: web.BaseRequest) -> web.Response:
    """Returns the metrics in the Prometheus text format."""
    return web.Response(text=local_node.metrics.format_prometheus())


def _build_member_status(member: data.Member) -> MemberStatus:
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
