"""Test harness for real processes: deployments, proxies and single requests."""

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
RESPONSE_BYTES = {"pay": 400, "shop": 600, "stock": 200}


class Response(NamedTuple):
    """Response to a request; ``ran`` is empty if the endpoint answered."""

    status: int
    ran: str
    reason: str
    body: bytes
    trace: str

    @property
    def is_success(self) -> bool:
        """Whether it is the endpoint's response and not a refusal or an error."""
        return self.status == 200


def run_async(
    test: Callable[..., Coroutine[None, None, None]],
) -> Callable[..., None]:
    """Wraps an asynchronous test as a synchronous one with a time-out."""

    @functools.wraps(test)
    def run(*args: object, **fixtures: object) -> None:
        asyncio.run(asyncio.wait_for(test(*args, **fixtures), TEST_TIMEOUT_S))

    return run


@contextlib.asynccontextmanager
async def run_deployment(
    name: str = "small", seed: int = 1, proxied: bool = False
) -> AsyncIterator[local_deployment.Deployment]:
    """Runs an example deployment for the duration of a test.

    :param name: folder of the example.
    :param proxied: put a :class:`TCPProxy` before each node's mesh address; the
        deployment has them in ``proxies`` by endpoint name.
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
    """Ignores connection errors of a proxy's tasks after it closes connections."""
    if not isinstance(context.get("exception"), ConnectionError):
        loop.default_exception_handler(context)


async def block_traffic(proxy: TCPProxy) -> None:
    """Discards all data in a proxy and leaves its connections open."""

    async def discard(chunk: bytes) -> bytes:
        return b""

    proxy.set_content_processors(discard, discard)


async def restore_traffic(proxy: TCPProxy) -> None:
    """Lets a proxy forward data again, and closes its old connections."""
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
) -> Response:
    """Sends one request to a node and returns the response of any status."""
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
            content = await response.read()
            return Response(
                response.status,
                response.headers.get("Catkintiller-Ran", ""),
                response.headers.get("Catkintiller-Reason", ""),
                content,
                trace,
            )


async def send_charge(node: str, key: str, **options: object) -> Response:
    """Sends one charge, which must be executed at most once."""
    return await send_request(node, "pay/charge", "POST", key, **options)


async def request_ticket(node: str, service: str = "pay") -> str:
    """Requests one ticket from a node."""
    async with aiohttp.ClientSession() as http:
        url = f"http://{node}/-/tickets/{service}?count=1"
        async with http.post(url) as response:
            return (await response.json())["tickets"][0]


async def find_ticket_owner(
    deployment: local_deployment.Deployment, ticket: str
) -> local_deployment.Vm:
    """Finds the VM whose node issued a ticket and may execute it."""
    incarnation = ticket.split(".")[1]
    for vm in deployment.vms:
        status = await deployment.get_status(vm)
        if status["incarnation"] == incarnation:
            return vm
    raise local_deployment.DeploymentFailed(
        f"no node has the incarnation of ticket {ticket}"
    )


async def wait_for_executions(
    deployment: local_deployment.Deployment, service: str, count: int = 1
) -> None:
    """Waits until endpoints of a service have started ``count`` executions."""

    async def has_executions() -> bool:
        return count_executions(deployment, service) >= count

    await local_deployment.wait_until(
        has_executions, f"{count} executions at {service}"
    )


def count_executions(
    deployment: local_deployment.Deployment,
    service: str,
    trace: str = "",
    key: str = "",
) -> int:
    """Counts the executions that the endpoints of a service recorded."""
    return sum(
        record["event"] == "start"
        and record["service"] == service
        and (not trace or record["trace"] == trace)
        and (not key or record["key"] == key)
        for record in deployment.read_ledger()
    )


def is_complete_charge(response: Response, key: str, trace: str = "") -> bool:
    """Returns whether a response is the complete one to a charge."""
    expected = endpoint.build_response(
        trace or response.trace, key, RESPONSE_BYTES["pay"]
    )
    return response.is_success and response.body == expected
