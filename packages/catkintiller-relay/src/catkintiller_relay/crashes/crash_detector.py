"""Detects that the endpoint has crashed, and holds back the results of lost requests.

When a process ends, all its connections end and new ones are refused. A single lost
connection is no crash: an endpoint may drop a response, and one that has reached its
limit of connections refuses new ones while others stay open. So a connection is opened
as soon as a request is lost; until that is decided, the lost requests have no result,
because their next attempt depends on it.
"""

import asyncio
from collections.abc import Callable
from typing import Protocol

from .. import data
from ..serving import endpoint_exchange

# Time in which the ends of all connections of a crashed endpoint are noticed.
CLOSE_WAIT_S = 0.05
CLOSE_CHECK_INTERVAL_S = 0.005


class EndpointProbe(Protocol):
    """What the detector asks of the connections to the endpoint."""

    @property
    def has_open_connection(self) -> bool:
        """Whether any connection is open."""

    async def is_refused(self) -> bool:
        """Returns whether the endpoint refuses a new connection."""


class CrashDetector:
    """Decides whether lost requests were lost to a crash.

    :param probe: connections to the endpoint.
    :ivar on_crash: called at a crash, before the lost requests get their results.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, probe: EndpointProbe) -> None:
        self._loop = loop
        self._probe = probe
        self._lost: list[endpoint_exchange.Exchange] = []
        self._check: asyncio.Task | None = None
        self.on_crash: Callable[[], None] | None = None

    def handle_lost(self, exchange: endpoint_exchange.Exchange) -> None:
        """Handles a request whose connection ended before its response."""
        self._lost.append(exchange)
        if self._check is None:
            self._check = self._loop.create_task(self._decide())

    async def _decide(self) -> None:
        has_crashed = False
        try:
            has_crashed = await self._has_crashed()
        finally:
            self._check = None
            self._complete_lost(has_crashed)

    def _complete_lost(self, has_crashed: bool) -> None:
        lost, self._lost = self._lost, []
        try:
            if has_crashed and self.on_crash is not None:
                self.on_crash()
        finally:
            reason = data.RefusalReason.CONNECTION_LOST
            for exchange in lost:
                exchange.complete(data.Outcome.UNKNOWN, reason)

    async def _has_crashed(self) -> bool:
        if not await self._probe.is_refused():
            return False
        give_up_at = self._loop.time() + CLOSE_WAIT_S
        while self._probe.has_open_connection:
            if self._loop.time() >= give_up_at:
                return False
            await asyncio.sleep(CLOSE_CHECK_INTERVAL_S)
        return True
