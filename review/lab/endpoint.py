"""Stand-in of an endpoint, and of the platform's pings beside it."""

import asyncio
import contextlib
import json
import time
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from . import http, record

ACK_TIMEOUT_S = 1.0


class WorkFailedError(Exception):
    """A request failed because of a call that it needs."""


class Run(NamedTuple):
    """A request that an endpoint began to work on."""

    request_id: str
    method: str
    target: str
    began_at: float


Work = Callable[[http.Message], Awaitable[bytes]]


class Endpoint:
    """An endpoint: runs each request that names it, and answers with its signature.

    :param work: makes the body of the answer to a request.
    :ivar runs: requests that it began to work on.
    """

    def __init__(
        self,
        ip: str,
        port: int,
        service: str,
        zone: str,
        instance: str,
        slots: int,
        log: record.Record,
        work: Work,
    ) -> None:
        self.ip = ip
        self.port = port
        self.service = service
        self.zone = zone
        self.instance = instance
        self.slots = slots
        self.work = work
        self.log = log
        self.runs: list[Run] = []
        self.born_ms = int(time.time() * 1000)
        self.seq = 0
        self.admin_port = 0
        self.pings: asyncio.Task | None = None
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, admin_port: int, heartbeat_s: float) -> None:
        """Starts to listen and to ping the node beside it."""
        self.admin_port = admin_port
        self._server = await asyncio.start_server(self._serve, self.ip, self.port)
        self.pings = asyncio.ensure_future(self._ping_regularly(heartbeat_s))

    def build_ping(self, state: str = "ready") -> bytes:
        """Builds the next ping."""
        self.seq += 1
        document = {
            "address": f"{self.ip}:{self.port}",
            "born": self.born_ms,
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": self.zone,
                "maxConcurrency": self.slots,
            },
            "status": {"state": state, "seq": self.seq, "warmupLeft": "0ms"},
        }
        return self.build_call("PUT", document)

    def build_call(self, method: str, document: dict) -> bytes:
        """Builds a call about this endpoint."""
        return http.build_message(
            f"{method} /instances/{self.instance} HTTP/1.1",
            {"Host": self.ip, "Content-Type": "application/json"},
            json.dumps(document).encode(),
        )

    async def call_node(self, message: bytes) -> int:
        """Sends a call to the node beside it; returns the status, 0 without one."""
        try:
            async with asyncio.timeout(ACK_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(self.ip, self.admin_port)
                try:
                    writer.write(message)
                    response = await http.read_message(reader)
                finally:
                    writer.close()
        except (TimeoutError, OSError, asyncio.IncompleteReadError):
            return 0
        return response.status if response is not None else 0

    async def deregister(self) -> int:
        """Says that it leaves, without having reported that it drains."""
        self.pings.cancel()
        return await self.call_node(self.build_call("DELETE", {"born": self.born_ms}))

    def stop(self) -> None:
        """Ends: all connections end, and new ones are refused."""
        self.pings.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _ping_regularly(self, heartbeat_s: float) -> None:
        while True:
            status = await self.call_node(self.build_ping())
            await asyncio.sleep(heartbeat_s if status == 200 else 0.2)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await http.read_message(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(OSError):
                writer.close()

    async def _answer(self, request: http.Message) -> bytes:
        method, target, _ = request.first_line.split()
        headers = request.headers
        request_id = headers.get("request-id", "")
        if target == "/health":
            identity = {"Instance-Id": self.instance}
            return http.build_message("HTTP/1.1 200 OK", identity)
        if headers.get("target-instance", self.instance) != self.instance:
            refusal = {"Instance-Id": self.instance, "Not-Executed": "1"}
            return http.build_message("HTTP/1.1 421 Misdirected Request", refusal)
        if not request_id:
            return http.build_message("HTTP/1.1 400 Bad", {"Not-Executed": "1"})
        self.runs.append(Run(request_id, method, target, self.log.now()))
        self.log.write(f"ran {request_id} {method} {target} at {self.instance}")
        answer = {"Request-Id": request_id, "Response-Signature": f"{request_id}.s"}
        try:
            body = await self.work(request)
        except WorkFailedError:
            return http.build_message("HTTP/1.1 500 Call Failed", answer)
        return http.build_message("HTTP/1.1 200 OK", answer, body)
