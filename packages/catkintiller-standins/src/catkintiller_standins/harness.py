"""Helpers for tests with real processes: deployments, proxies and single calls."""

import asyncio
import contextlib
import functools
import secrets
import tempfile
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import NamedTuple

import aiohttp
from aiomisc.pytest import TCPProxy

from . import deployment_spec, endpoint, local_deployment

TEST_TIMEOUT_S = 120.0
CALL_TIMEOUT_S = 15.0
ANSWER_BYTES = {"pay": 400, "shop": 600, "stock": 200}


class Reply(NamedTuple):
    """What a caller was told; ``ran`` is empty for an answer of the endpoint."""

    status: int
    ran: str
    reason: str
    body: bytes
    trace: str

    @property
    def is_whole(self) -> bool:
        """Whether it is an answer and no refusal."""
        return self.status == 200


def run_async(
    test: Callable[..., Coroutine[None, None, None]],
) -> Callable[..., None]:
    """Makes a plain test of an asynchronous one, with a bound in time."""

    @functools.wraps(test)
    def run(*args: object, **fixtures: object) -> None:
        asyncio.run(asyncio.wait_for(test(*args, **fixtures), TEST_TIMEOUT_S))

    return run


@contextlib.asynccontextmanager
async def deployed(
    name: str = "small", seed: int = 1, proxied: bool = False
) -> AsyncIterator[local_deployment.Deployment]:
    """Runs a deployment of the examples for the time of a test.

    :param proxied: put a :class:`TCPProxy` before each node's mesh address; they
        are in the deployment's ``proxies`` by endpoint name.
    """
    form = deployment_spec.load_shape(f"examples/{name}/standins.ini")
    with tempfile.TemporaryDirectory(prefix="catkintiller-") as folder:
        settings = f"examples/{name}/settings.ini"
        running = local_deployment.Deployment(form, settings, folder, seed)
        if proxied:
            await start_proxies(running)
        try:
            await running.start()
            yield running
        finally:
            await running.stop()
            for proxy in running.proxies.values():
                await proxy.close()


async def start_proxies(running: local_deployment.Deployment) -> None:
    """Puts a proxy before the mesh address of each node."""
    for slot in running.slots:
        proxy = TCPProxy("127.0.0.1", slot.mesh_port)
        await proxy.start()
        running.proxies[slot.name] = proxy
        address = f"{proxy.proxy_host}:{proxy.proxy_port}"
        running.advertised[f"127.0.0.1:{slot.mesh_port}"] = address


def ignore_cut_connections(
    loop: asyncio.AbstractEventLoop, context: dict[str, object]
) -> None:
    """Handles the exceptions that a proxy's tasks leave behind when it cuts."""
    if not isinstance(context.get("exception"), ConnectionError):
        loop.default_exception_handler(context)


async def cut(proxy: TCPProxy) -> None:
    """Drops everything that goes through a proxy, without closing it."""

    async def drop(chunk: bytes) -> bytes:
        return b""

    proxy.set_content_processors(drop, drop)


async def heal(proxy: TCPProxy) -> None:
    """Lets new connections through a proxy again."""
    proxy.set_content_processors(None, None)
    await proxy.disconnect_all()


async def call(
    node: str,
    target: str,
    method: str = "GET",
    key: str = "",
    body: bytes = b"",
    deadline_ms: int = 0,
    trace: str = "",
) -> Reply:
    """Sends one request to a node and takes whatever comes back."""
    trace = trace or secrets.token_hex(16)
    sent = {"traceparent": f"00-{trace}-{secrets.token_hex(8)}-01"}
    if key:
        sent["Idempotency-Key"] = key
    if deadline_ms:
        sent["Catkintiller-Deadline-Ms"] = str(deadline_ms)
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as http:
        async with http.request(
            method, f"http://{node}/{target}", headers=sent, data=body or None
        ) as response:
            found = await response.read()
            return Reply(
                response.status,
                response.headers.get("Catkintiller-Ran", ""),
                response.headers.get("Catkintiller-Reason", ""),
                found,
                trace,
            )


async def charge(node: str, key: str, **options: object) -> Reply:
    """Sends one charge, which must not run twice."""
    return await call(node, "pay/charge", "POST", key, **options)


async def draw_ticket(node: str, service: str = "pay") -> str:
    """Draws one ticket key."""
    async with aiohttp.ClientSession() as http:
        url = f"http://{node}/-/tickets/{service}?count=1"
        async with http.post(url) as response:
            return (await response.json())["tickets"][0]


async def find_owner(
    running: local_deployment.Deployment, ticket: str
) -> local_deployment.Slot:
    """Finds the VM whose node may run a ticket."""
    incarnation = ticket.split(".")[1]
    for slot in running.slots:
        status = await running.get_status(slot)
        if status["incarnation"] == incarnation:
            return slot
    raise local_deployment.DeploymentFailed(f"no node has drawn {ticket}")


async def wait_started(
    running: local_deployment.Deployment, service: str, count: int = 1
) -> None:
    """Waits until requests have started at the endpoints of a service."""

    async def has_started() -> bool:
        return count_runs(running, service) >= count

    await local_deployment.wait_until(has_started, f"{count} runs at {service}")


def count_runs(
    running: local_deployment.Deployment, service: str, trace: str = "", key: str = ""
) -> int:
    """Counts the executions that endpoints of a service recorded."""
    return sum(
        line["event"] == "start"
        and line["service"] == service
        and (not trace or line["trace"] == trace)
        and (not key or line["key"] == key)
        for line in running.read_ledger()
    )


def is_whole_charge(reply: Reply, key: str, trace: str = "") -> bool:
    """Tells whether a reply is the whole answer to a charge."""
    expected = endpoint.make_body(trace or reply.trace, key, ANSWER_BYTES["pay"])
    return reply.is_whole and reply.body == expected
