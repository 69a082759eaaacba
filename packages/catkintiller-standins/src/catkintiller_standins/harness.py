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
REQUEST_TIMEOUT_S = 15.0
ANSWER_BYTES = {"pay": 400, "shop": 600, "stock": 200}


class Reply(NamedTuple):
    """What a caller was told; ``ran`` is empty for an answer of the endpoint."""

    status: int
    ran: str
    reason: str
    body: bytes
    trace: str

    @property
    def is_success(self) -> bool:
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
async def running_deployment(
    name: str = "small", seed: int = 1, proxied: bool = False
) -> AsyncIterator[local_deployment.Deployment]:
    """Runs a deployment of the examples for the time of a test.

    :param proxied: put a :class:`TCPProxy` before each node's mesh address; they
        are in the deployment's ``proxies`` by endpoint name.
    """
    spec = deployment_spec.load_spec(f"examples/{name}/standins.ini")
    with tempfile.TemporaryDirectory(prefix="catkintiller-") as folder:
        settings = f"examples/{name}/settings.ini"
        deployment = local_deployment.Deployment(spec, settings, folder, seed)
        if proxied:
            await start_proxies(deployment)
        try:
            await deployment.start()
            yield deployment
        finally:
            await deployment.stop()
            for proxy in deployment.proxies.values():
                await proxy.close()


async def start_proxies(deployment: local_deployment.Deployment) -> None:
    """Puts a proxy before the mesh address of each node."""
    for vm in deployment.vms:
        proxy = TCPProxy("127.0.0.1", vm.mesh_port)
        await proxy.start()
        deployment.proxies[vm.name] = proxy
        address = f"{proxy.proxy_host}:{proxy.proxy_port}"
        deployment.advertised_addresses[f"127.0.0.1:{vm.mesh_port}"] = address


def ignore_connection_errors(
    loop: asyncio.AbstractEventLoop, context: dict[str, object]
) -> None:
    """Handles the exceptions that a proxy's tasks leave behind when it cuts."""
    if not isinstance(context.get("exception"), ConnectionError):
        loop.default_exception_handler(context)


async def block_traffic(proxy: TCPProxy) -> None:
    """Drops everything that goes through a proxy, without closing it."""

    async def discard(chunk: bytes) -> bytes:
        return b""

    proxy.set_content_processors(discard, discard)


async def restore_traffic(proxy: TCPProxy) -> None:
    """Lets new connections through a proxy again."""
    proxy.set_content_processors(None, None)
    await proxy.disconnect_all()


async def send_request(
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
    headers = {"traceparent": f"00-{trace}-{secrets.token_hex(8)}-01"}
    if key:
        headers["Idempotency-Key"] = key
    if deadline_ms:
        headers["Catkintiller-Deadline-Ms"] = str(deadline_ms)
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as http:
        async with http.request(
            method, f"http://{node}/{target}", headers=headers, data=body or None
        ) as response:
            answer = await response.read()
            return Reply(
                response.status,
                response.headers.get("Catkintiller-Ran", ""),
                response.headers.get("Catkintiller-Reason", ""),
                answer,
                trace,
            )


async def send_charge(node: str, key: str, **options: object) -> Reply:
    """Sends one charge, which must not run twice."""
    return await send_request(node, "pay/charge", "POST", key, **options)


async def request_ticket(node: str, service: str = "pay") -> str:
    """Draws one ticket key."""
    async with aiohttp.ClientSession() as http:
        url = f"http://{node}/-/tickets/{service}?count=1"
        async with http.post(url) as response:
            return (await response.json())["tickets"][0]


async def find_ticket_owner(
    deployment: local_deployment.Deployment, ticket: str
) -> local_deployment.Vm:
    """Finds the VM whose node may run a ticket."""
    incarnation = ticket.split(".")[1]
    for vm in deployment.vms:
        status = await deployment.get_status(vm)
        if status["incarnation"] == incarnation:
            return vm
    raise local_deployment.DeploymentFailed(f"no node has drawn {ticket}")


async def wait_for_executions(
    deployment: local_deployment.Deployment, service: str, count: int = 1
) -> None:
    """Waits until requests have started at the endpoints of a service."""

    async def has_executions() -> bool:
        return count_executions(deployment, service) >= count

    await local_deployment.wait_until(has_executions, f"{count} runs at {service}")


def count_executions(
    deployment: local_deployment.Deployment,
    service: str,
    trace: str = "",
    key: str = "",
) -> int:
    """Counts the executions that endpoints of a service recorded."""
    return sum(
        record["event"] == "start"
        and record["service"] == service
        and (not trace or record["trace"] == trace)
        and (not key or record["key"] == key)
        for record in deployment.read_ledger()
    )


def is_complete_charge(reply: Reply, key: str, trace: str = "") -> bool:
    """Tells whether a reply is the whole answer to a charge."""
    expected = endpoint.build_answer(trace or reply.trace, key, ANSWER_BYTES["pay"])
    return reply.is_success and reply.body == expected
