"""A request between its arrival and its answer."""

import asyncio
from collections.abc import Callable
from typing import Any

from .. import data
from ..ingress import http1


class PendingRequest:
    """A request that has no answer yet.

    :ivar drop: is called if the client leaves before the answer.
    :ivar sent: sendings that may have reached an endpoint.
    :ivar placed: where it waits or runs now, by node: a local run with None, or a
        number with the connection to another node.
    """

    __slots__ = (
        "arrived",
        "attempts",
        "call",
        "connection",
        "expires_at",
        "drop",
        "head",
        "last_reason",
        "placed",
        "rank",
        "replaced",
        "request",
        "request_id",
        "route",
        "sent",
        "service",
        "timer",
        "tried",
        "unknown",
    )

    def __init__(
        self,
        drop: Callable[["PendingRequest"], None],
        connection: http1.ServerConnection,
        request: http1.Request,
    ) -> None:
        self.drop = drop
        self.connection = connection
        self.request = request
        self.request_id = b""
        self.route: data.Route | None = None
        self.service = ""
        self.head = b""
        self.arrived = request.head_received_at
        self.expires_at = 0.0
        self.attempts = 1
        self.last_reason = data.RefusalReason.NO_ENDPOINT
        self.sent = 0
        self.replaced = 0
        self.unknown = False
        self.call = False
        self.rank = 0
        self.tried: set[str] = set()
        self.placed: dict[str, tuple[Any, Any]] = {}
        self.timer: asyncio.TimerHandle | None = None

    def cancel(self) -> None:
        """The client has left."""
        self.drop(self)
