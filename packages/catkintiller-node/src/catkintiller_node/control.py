"""Dispatches the paths below ``/-/`` to commands and queries."""

from aiohttp import web

from . import control_commands, control_queries, node

_HANDLERS = {
    ("POST", "announce"): control_commands.announce,
    ("POST", "drain"): control_commands.drain,
    ("POST", "tickets"): control_commands.issue_tickets,
    ("GET", "status"): control_queries.get_status,
    ("GET", "members"): control_queries.get_members,
    ("GET", "metrics"): control_queries.get_metrics,
}


class ControlDispatcher:
    """Dispatches the control requests of one node."""

    def __init__(self, local_node: node.Node) -> None:
        self._node = local_node

    async def handle(self, request: web.BaseRequest) -> web.Response:
        """Handles one control request; responds with 404 if there is no such path."""
        name = request.path.split("/")[2]
        handler = _HANDLERS.get((request.method, name))
        if handler is None:
            return web.json_response({"error": "no-such-path"}, status=404)
        return await handler(self._node, request)
