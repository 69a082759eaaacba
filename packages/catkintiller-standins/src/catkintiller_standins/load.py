"""Open-loop load generator: the send times do not depend on the responses.

Run with ``python -m catkintiller_standins.load PLAN OUT``, where the plan is the
JSON of :class:`LoadPlan`. Latency is measured from the intended send time, so that
a delay in the generator counts as well. Each line of the output is the JSON of one
:class:`RootResult`.
"""

import asyncio
import random
import sys
import time
from typing import NamedTuple

import aiohttp
import msgspec
import uvloop

from . import endpoint

CONNECT_ATTEMPT_COUNT = 4
TICKET_BATCH_COUNT = 20
TICKET_MAX_AGE_S = 1.0


class Stage(NamedTuple):
    """A period with a constant load.

    :param rate_factor: multiple of the steady rate of each kind.
    """

    name: str
    seconds: float
    rate_factor: float


class LoadKind(NamedTuple):
    """One kind of root request.

    :param rate: steady rate in requests per second.
    :param key: idempotency key: ``none``, ``plain`` if the client generates it, or
        ``ticket`` if a node issues it.
    """

    service: str
    kind: str
    method: str
    path: str
    rate: float
    deadline_ms: int
    answer_bytes: int
    key: str


class LoadPlan(NamedTuple):
    """What clients send.

    :param nodes: HTTP addresses of the nodes to which clients send.
    :param client_retries: most retries of a request by its client.
    """

    seed: int
    nodes: tuple[str, ...]
    stages: tuple[Stage, ...]
    kinds: tuple[LoadKind, ...]
    client_retries: int


class RootResult(NamedTuple):
    """Result of one root request.

    :param sent_s: intended send time, in seconds since the start of the load.
    :param outcome: ``whole`` for a complete response in time, ``late`` for one after
        the deadline, ``wrong`` for a body of another request or a damaged one, ``no``
        for a refusal as not run, ``unknown`` if the execution is unknown, or
        ``failed``.
    :param reported_not_run: whether every attempt was refused as not run.
    """

    service: str
    kind: str
    stage: str
    trace: str
    key: str
    sent_s: float
    latency_ms: float
    outcome: str
    attempts: int
    reported_not_run: bool
    status: int
    reason: str


class _AttemptResult(NamedTuple):
    """Result of one attempt.

    :param ran: what the response states about the execution: yes, no or unknown.
    """

    outcome: str
    ran: str
    status: int = 0
    reason: str = ""


class LoadGenerator:
    """Sends the root requests of one plan."""

    def __init__(self, plan: LoadPlan, http: aiohttp.ClientSession) -> None:
        self._plan = plan
        self._http = http
        self._rng = random.Random(plan.seed)
        self._results: list[RootResult] = []
        self._tickets: dict[str, list[tuple[float, str]]] = {}
        self._started_at_s = 0.0

    async def run(self) -> list[RootResult]:
        """Sends all requests, waits for the last response and returns the results."""
        self._started_at_s = time.monotonic()
        arrivals = []
        for kind in self._plan.kinds:
            for at_s, stage in self._iter_arrivals(kind):
                arrivals.append((at_s, kind, stage))
        arrivals.sort(key=lambda item: item[0])
        requests = []
        for at_s, kind, stage in arrivals:
            delay_s = self._started_at_s + at_s - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            request = self._send_root_request(kind, stage, self._started_at_s + at_s)
            requests.append(asyncio.ensure_future(request))
        await asyncio.gather(*requests)
        return self._results

    def _iter_arrivals(self, kind: LoadKind):
        """Yields the intended send times of a kind with the names of their stages."""
        at_s = 0.0
        for stage in self._plan.stages:
            end_s = at_s + stage.seconds
            rate = kind.rate * stage.rate_factor
            arrival_s = at_s
            while rate > 0:
                arrival_s += self._rng.expovariate(rate)
                if arrival_s >= end_s:
                    break
                yield arrival_s, stage.name
            at_s = end_s

    async def _send_root_request(
        self, kind: LoadKind, stage: str, due_at_s: float
    ) -> None:
        trace = f"{self._rng.getrandbits(128):032x}"
        key = await self._get_key(kind)
        attempts = 0
        reported_not_run = True
        while True:
            attempts += 1
            result = await self._send_attempt(kind, trace, key)
            reported_not_run = reported_not_run and result.ran == "no"
            if result.outcome == "whole" or attempts > self._plan.client_retries:
                break
            await asyncio.sleep(self._rng.uniform(0.0, 0.05))
        latency_ms = (time.monotonic() - due_at_s) * 1000
        outcome = result.outcome
        if outcome == "whole" and latency_ms > kind.deadline_ms:
            outcome = "late"
        self._results.append(
            RootResult(
                kind.service,
                kind.kind,
                stage,
                trace,
                key,
                due_at_s - self._started_at_s,
                latency_ms,
                outcome,
                attempts,
                reported_not_run,
                result.status,
                result.reason,
            )
        )

    async def _get_key(self, kind: LoadKind) -> str:
        if kind.key == "none":
            return ""
        if kind.key == "plain":
            return f"{self._rng.getrandbits(96):024x}"
        unused_tickets = self._tickets.setdefault(kind.service, [])
        min_issued_at_s = time.monotonic() - TICKET_MAX_AGE_S
        unused_tickets[:] = [
            item for item in unused_tickets if item[0] > min_issued_at_s
        ]
        if not unused_tickets:
            tickets = await self._request_tickets(kind.service)
            unused_tickets.extend((time.monotonic(), ticket) for ticket in tickets)
        return (
            unused_tickets.pop()[1]
            if unused_tickets
            else f"{self._rng.getrandbits(96):024x}"
        )

    async def _request_tickets(self, service: str) -> list[str]:
        node = self._rng.choice(self._plan.nodes)
        url = f"http://{node}/-/tickets/{service}?count={TICKET_BATCH_COUNT}"
        try:
            async with self._http.post(url) as response:
                if response.status != 200:
                    return []
                return (await response.json())["tickets"]
        except (aiohttp.ClientError, TimeoutError):
            return []

    async def _send_attempt(
        self, kind: LoadKind, trace: str, key: str
    ) -> _AttemptResult:
        headers = {
            "traceparent": f"00-{trace}-{self._rng.getrandbits(64):016x}-01",
            "Catkintiller-Deadline-Ms": str(kind.deadline_ms),
        }
        if key:
            headers["Idempotency-Key"] = key
        timeout = aiohttp.ClientTimeout(total=kind.deadline_ms / 1000 + 1.0)
        node_count = min(CONNECT_ATTEMPT_COUNT, len(self._plan.nodes))
        for node in self._rng.sample(self._plan.nodes, node_count):
            url = f"http://{node}/{kind.service}{kind.path}"
            try:
                async with self._http.request(
                    kind.method, url, headers=headers, timeout=timeout
                ) as response:
                    body = await response.read()
                    return _classify_response(kind, trace, key, response, body)
            except aiohttp.ClientConnectorError:
                continue
            except (aiohttp.ClientError, TimeoutError) as error:
                reason = f"{type(error).__name__}: {error}"
                return _AttemptResult("unknown", "unknown", 0, reason)
        return _AttemptResult("no", "no", 0, "unreachable")


def _classify_response(
    kind: LoadKind,
    trace: str,
    key: str,
    response: aiohttp.ClientResponse,
    body: bytes,
) -> _AttemptResult:
    ran = response.headers.get("Catkintiller-Ran")
    reason = response.headers.get("Catkintiller-Reason", "")
    if response.status == 200:
        is_complete = body == endpoint.build_response(trace, key, kind.answer_bytes)
        return _AttemptResult("whole" if is_complete else "wrong", "yes", 200)
    if ran is None:
        return _AttemptResult("failed", "yes", response.status)
    return _AttemptResult(
        ran if ran != "yes" else "failed", ran, response.status, reason
    )


async def run_plan(plan: LoadPlan) -> list[RootResult]:
    """Runs a plan in this process and returns the results."""
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as http:
        return await LoadGenerator(plan, http).run()


def main() -> None:
    """Runs the plan in the first argument and writes its results to the second."""
    with open(sys.argv[1], "rb") as stream:
        plan = msgspec.json.decode(stream.read(), type=LoadPlan)
    uvloop.install()
    results = asyncio.run(run_plan(plan))
    with open(sys.argv[2], "wb") as stream:
        for result in results:
            stream.write(msgspec.json.encode(result) + b"\n")


if __name__ == "__main__":
    main()
