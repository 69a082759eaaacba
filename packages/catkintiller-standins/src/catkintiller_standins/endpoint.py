"""Stand-in for a service endpoint that records its executions in a ledger.

Run with ``python -m catkintiller_standins.endpoint PLAN``, where the plan is the
JSON of :class:`EndpointPlan`. It uses no catkintiller code, as a real endpoint does
not: it only forwards ``traceparent`` and ``tracestate``, as common instrumentation
does. ``POST /-/control`` accepts JSON with any of the fields of :class:`Faults`.

The ledger is a file with one JSON object a line: the start and the end of each
execution, with the trace, the key and the time that the work took.
"""

import asyncio
import json
import random
import signal
import sys
import time
from typing import NamedTuple, TypedDict

import aiohttp
import msgspec
import uvloop
from aiohttp import web

ANNOUNCE_INTERVAL_S = 1.0
DRAIN_TIMEOUT_S = 10.0
MIN_DRAIN_S = 1.0
CALL_TIMEOUT_S = 10.0


class NestedCall(NamedTuple):
    """A call that an endpoint sends while it executes a request.

    :param target: service and path, without a leading slash.
    """

    method: str
    target: str


class KindPlan(NamedTuple):
    """How an endpoint executes one kind of request.

    :param time_ms: mean time of the work, nested calls excluded.
    :param answer_bytes: size of the response body.
    :param calls: nested calls, sent one after another.
    """

    method: str
    path: str
    time_ms: float
    answer_bytes: int
    calls: tuple[NestedCall, ...]


class EndpointPlan(NamedTuple):
    """Configuration of one endpoint stand-in.

    :param node: HTTP address of the node beside the endpoint.
    :param slots: requests that the endpoint executes at once.
    :param retries_per_call: retries of each nested call by the endpoint itself.
    """

    service: str
    name: str
    port: int
    node: str
    slots: int
    ledger_file: str
    seed: int
    kinds: tuple[KindPlan, ...]
    retries_per_call: int = 0


class Faults(TypedDict, total=False):
    """Faults of an endpoint.

    ``slow`` is a factor on the time of the work. The others are the shares of requests
    that fail, get a truncated response, are refused before they are executed, or hang.
    """

    slow: float
    fail: float
    truncate: float
    refuse: float
    hang: float


class Endpoint:
    """An endpoint with a fixed number of workers and an unbounded queue."""

    def __init__(self, plan: EndpointPlan) -> None:
        self._plan = plan
        self._kinds = {(kind.method, kind.path): kind for kind in plan.kinds}
        self._slots = asyncio.Semaphore(plan.slots)
        self._rng = random.Random(plan.seed)
        self._faults = Faults(slow=1.0, fail=0.0, truncate=0.0, refuse=0.0, hang=0.0)
        self._ledger = open(plan.ledger_file, "a", buffering=1, encoding="utf-8")
        self._in_flight = 0
        self._draining = False

    async def run(self) -> None:
        """Serves requests until SIGTERM, then drains and returns."""
        stop = asyncio.Event()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as http:
            self._http = http
            server = web.Server(
                self._handle, handler_cancellation=True, access_log=None
            )
            runner = web.ServerRunner(server)
            await runner.setup()
            await web.TCPSite(runner, "127.0.0.1", self._plan.port).start()
            announce_task = asyncio.ensure_future(self._announce_forever())
            await stop.wait()
            await self._drain()
            announce_task.cancel()
            await runner.cleanup()

    async def _drain(self) -> None:
        self._draining = True
        await self._announce()
        deadline = time.monotonic() + DRAIN_TIMEOUT_S
        earliest_end = time.monotonic() + MIN_DRAIN_S
        while time.monotonic() < deadline:
            if not self._in_flight and time.monotonic() > earliest_end:
                break
            await asyncio.sleep(0.02)

    async def _announce_forever(self) -> None:
        while True:
            await self._announce()
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _announce(self) -> None:
        plan = self._plan
        document = {
            "service": plan.service,
            "name": plan.name,
            "address": f"127.0.0.1:{plan.port}",
            "slots": plan.slots,
            "leaving": self._draining,
        }
        url = f"http://{plan.node}/-/announce"
        for _ in range(100):
            try:
                async with self._http.post(url, json=document):
                    return
            except aiohttp.ClientError:
                await asyncio.sleep(0.1)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        if request.path == "/-/control":
            self._faults.update(msgspec.json.decode(await request.read()))
            return web.json_response(self._faults)
        kind = self._kinds.get((request.method, request.path))
        if kind is None:
            return web.Response(status=404)
        await request.read()
        if self._rng.random() < self._faults["refuse"]:
            return web.Response(status=503, headers={"Catkintiller-Ran": "no"})
        self._in_flight += 1
        try:
            return await self._execute(request, kind)
        finally:
            self._in_flight -= 1

    async def _execute(
        self, request: web.BaseRequest, kind: KindPlan
    ) -> web.StreamResponse:
        trace = request.headers["traceparent"].split("-")[1]
        key = request.headers.get("Idempotency-Key", "")
        async with self._slots:
            succeeded = await self._execute_in_slot(request, kind, trace, key)
        if not succeeded:
            return web.Response(status=502, text="the work or a nested call failed")
        body = build_response(trace, key, kind.answer_bytes)
        if self._rng.random() < self._faults["truncate"]:
            return await self._truncate(request, body)
        return web.Response(body=body, content_type="text/plain")

    async def _execute_in_slot(
        self, request: web.BaseRequest, kind: KindPlan, trace: str, key: str
    ) -> bool:
        self._record_event("start", trace, key, kind, 0.0)
        started_at_s = time.monotonic()
        if self._rng.random() < self._faults["hang"]:
            await asyncio.sleep(CALL_TIMEOUT_S)
        mean_s = kind.time_ms / 1000 * self._faults["slow"]
        await asyncio.sleep(mean_s * self._rng.uniform(0.7, 1.3))
        elapsed_ms = (time.monotonic() - started_at_s) * 1000
        succeeded = self._rng.random() >= self._faults["fail"]
        for call in kind.calls:
            succeeded = succeeded and await self._call_with_retries(request, call)
        event = "end" if succeeded else "failed"
        self._record_event(event, trace, key, kind, elapsed_ms)
        return succeeded

    async def _call_with_retries(
        self, request: web.BaseRequest, call: NestedCall
    ) -> bool:
        """Retries a nested call as services without overload control do.

        :returns: whether an attempt succeeded.
        """
        for _ in range(1 + self._plan.retries_per_call):
            if await self._send_nested_call(request, call) < 400:
                return True
        return False

    async def _send_nested_call(
        self, request: web.BaseRequest, call: NestedCall
    ) -> int:
        forwarded_headers = {
            name: request.headers[name]
            for name in ("traceparent", "tracestate")
            if name in request.headers
        }
        url = f"http://{self._plan.node}/{call.target}"
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._http.request(
                call.method, url, headers=forwarded_headers, timeout=timeout
            ) as response:
                await response.read()
                return response.status
        except (aiohttp.ClientError, TimeoutError):
            return 599

    async def _truncate(
        self, request: web.BaseRequest, body: bytes
    ) -> web.StreamResponse:
        response = web.StreamResponse()
        response.content_length = len(body)
        await response.prepare(request)
        await response.write(body[: len(body) // 2])
        request.transport.abort()
        return response

    def _record_event(
        self, event: str, trace: str, key: str, kind: KindPlan, elapsed_ms: float
    ) -> None:
        line = {
            "event": event,
            "trace": trace,
            "key": key,
            "service": self._plan.service,
            "path": kind.path,
            "endpoint": self._plan.name,
            "ms": round(elapsed_ms, 2),
        }
        self._ledger.write(json.dumps(line) + "\n")


def build_response(trace: str, key: str, size: int) -> bytes:
    """Builds a response body from which its request and completeness can be checked."""
    pattern = f"{trace} {key}\n".encode()
    return (pattern * (size // len(pattern) + 1))[: max(size, len(pattern))]


def main() -> None:
    """Runs the endpoint whose plan file is the first argument."""
    with open(sys.argv[1], "rb") as stream:
        plan = msgspec.json.decode(stream.read(), type=EndpointPlan)
    uvloop.install()

    async def run() -> None:
        await Endpoint(plan).run()

    asyncio.run(run())


if __name__ == "__main__":
    main()
