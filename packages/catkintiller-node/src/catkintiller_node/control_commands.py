"""Control handlers that change state: announce, drain, tickets."""

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
    """Handles an announcement of the endpoint beside this node.

    An endpoint sends one every second; ``leaving`` stops new calls to it.
    """
    try:
        announcement = _announcement_decoder.decode(await request.read())
    except msgspec.DecodeError as error:
        document = {"error": "bad-announcement", "detail": str(error)}
        return web.json_response(document, status=400)
    info = endpoint.EndpointInfo(
        announcement["service"],
        announcement["name"],
        announcement["address"],
        announcement.get("slots", 0),
    )
    local_node.handle_announcement(info, announcement.get("leaving", False))
    document = {
        "incarnation": local_node.members.own_record.incarnation,
        "in_flight": local_node.in_flight,
    }
    return web.json_response(document)


async def drain(local_node: node.Node, request: web.BaseRequest) -> web.Response:
    """Stops new calls to the endpoint; running calls continue."""
    local_node.drain()
    return web.json_response({"leaving": True, "in_flight": local_node.in_flight})


async def issue_tickets(
    local_node: node.Node, request: web.BaseRequest
) -> web.Response:
    """Issues tickets: ``POST /-/tickets/SERVICE?count=N``."""
    service = request.path.rpartition("/")[2]
    text = request.query.get("count", "")
    count = int(text) if text.isascii() and text.isdigit() else DEFAULT_TICKET_COUNT
    try:
        issued = await local_node.issue_tickets(service, count)
    except errors.CallRefused as error:
        return problems.build_problem_response(error.refusal)
    return web.json_response({"tickets": issued})
