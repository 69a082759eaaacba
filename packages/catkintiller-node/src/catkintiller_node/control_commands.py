"""Control endpoints that change something: announce, drain, tickets."""

from typing import NotRequired, TypedDict

import msgspec
from aiohttp import web
from catkintiller import errors

from . import endpoint, node, problems

DEFAULT_TICKETS = 10


class Announcement(TypedDict):
    """The JSON body of an announcement."""

    service: str
    name: str
    address: str
    slots: NotRequired[int]
    leaving: NotRequired[bool]


_announcement_decoder = msgspec.json.Decoder(Announcement)


async def announce(own: node.Node, request: web.BaseRequest) -> web.Response:
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
    own.take_announcement(info, found.get("leaving", False))
    document = {
        "incarnation": own.members.own_record.incarnation,
        "in_flight": own.in_flight,
    }
    return web.json_response(document)


async def drain(own: node.Node, request: web.BaseRequest) -> web.Response:
    """Ends new work for the endpoint; running calls go on."""
    own.drain()
    return web.json_response({"leaving": True, "in_flight": own.in_flight})


async def draw_tickets(own: node.Node, request: web.BaseRequest) -> web.Response:
    """Draws ticket keys: ``POST /-/tickets/SERVICE?count=N``."""
    service = request.path.rpartition("/")[2]
    text = request.query.get("count", "")
    count = int(text) if text.isascii() and text.isdigit() else DEFAULT_TICKETS
    try:
        drawn = await own.draw_tickets(service, count)
    except errors.CallRefused as error:
        return problems.make_problem(error.refusal)
    return web.json_response({"tickets": drawn})
