"""Control endpoints that change something: announce, drain, tickets."""

from typing import NotRequired, TypedDict

import msgspec
from aiohttp import web
from catkintiller import errors

from . import endpoint, node, problems

DEFAULT_TICKET_COUNT = 10


class Announcement(TypedDict):
    """The JSON body of an announcement."""

    service: str
    name: str
    address: str
    slots: NotRequired[int]
    leaving: NotRequired[bool]


_announcement_decoder = msgspec.json.Decoder(Announcement)


async def announce(local_node: node.Node, request: web.BaseRequest) -> web.Response:
    """Takes the announcement of the endpoint beside this node.

    An endpoint repeats it every second; ``leaving`` ends new work for it.
    """
    try:
        found = _announcement_decoder.decode(await request.read())
    except msgspec.DecodeError as error:
        document = {"error": "bad-announcement", "detail": str(error)}
        return web.json_response(document, status=400)
    info = endpoint.EndpointInfo(
        found["service"], found["name"], found["address"], found.get("slots", 0)
    )
    local_node.handle_announcement(info, found.get("leaving", False))
    document = {
        "incarnation": local_node.members.me.incarnation,
        "in_flight": local_node.in_flight,
    }
    return web.json_response(document)


async def drain(local_node: node.Node, request: web.BaseRequest) -> web.Response:
    """Ends new work for the endpoint; running calls go on."""
    local_node.drain()
    return web.json_response({"leaving": True, "in_flight": local_node.in_flight})


async def issue_tickets(
    local_node: node.Node, request: web.BaseRequest
) -> web.Response:
    """Draws ticket keys: ``POST /-/tickets/SERVICE?count=N``."""
    service = request.path.rpartition("/")[2]
    text = request.query.get("count", "")
    count = int(text) if text.isascii() and text.isdigit() else DEFAULT_TICKET_COUNT
    try:
        drawn = await local_node.issue_tickets(service, count)
    except errors.CallRefused as error:
        return problems.build_problem_response(error.refusal)
    return web.json_response({"tickets": drawn})
