"""Compares the latency that a node adds with that of a bare forwarder.

Run with ``make latency``. In each run, open-loop load of small requests is sent in
turn directly to an endpoint, through a bare forwarder, to the node beside the
endpoint, and to another node.
"""

import asyncio
import tempfile
import time
from typing import NamedTuple

import aiohttp
import defopt
import uvloop
from aiohttp import web

from . import capacity, deployment_spec, endpoint, local_deployment, ports

ROUND_S = 5.0
ROUND_COUNT = 3
ADDED_LATENCY_TARGET_MS = 0.4
RESPONSE_BYTES = 512


class Path(NamedTuple):
    """One path to the endpoint.

    :param samples: measured latencies in milliseconds.
    """

    name: str
    url: str
    samples: list[float]


class Forwarder:
    """A forwarder of one aiohttp server and one client, without any logic."""

    def __init__(self, target: str) -> None:
        self._target = target

    async def start(self, port: int) -> web.ServerRunner:
        """Starts to listen on a loopback port."""
        self._http = aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0))
        server = web.Server(self._handle, access_log=None)
        runner = web.ServerRunner(server)
        await runner.setup()
        await web.TCPSite(runner, "127.0.0.1", port).start()
        return runner

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        url = f"{self._target}/{request.path.rpartition('/')[2]}"
        async with self._http.get(
            url, headers={"traceparent": _TRACEPARENT}
        ) as response:
            body = await response.read()
            return web.Response(status=response.status, body=body)


_TRACEPARENT = "00-" + "a" * 32 + "-" + "b" * 16 + "-01"


def serve_forwarder(target: str, port: int) -> None:
    """Runs the bare forwarder until the process is stopped."""
    uvloop.install()

    async def run() -> None:
        await Forwarder(target).start(port)
        await asyncio.Event().wait()

    asyncio.run(run())


def build_spec() -> deployment_spec.DeploymentSpec:
    """Builds the description of a deployment of two services with one VM each.

    Only the first service gets requests; the node of the other one forwards them.
    """
    kind = endpoint.KindPlan("GET", "/look", 0.0, RESPONSE_BYTES, ())
    return deployment_spec.DeploymentSpec(
        "region-1",
        ("zone-a",),
        (
            deployment_spec.ServiceSpec("shop", 1, 64),
            deployment_spec.ServiceSpec("other", 1, 64),
        ),
        (deployment_spec.KindSpec("shop", "look", kind, 0.0, "none"),),
    )


async def run_round(http: aiohttp.ClientSession, path: Path, rate: float) -> None:
    """Sends requests at even intervals and records the latency of each."""
    started = time.monotonic()
    tasks = []
    for number in range(int(ROUND_S * rate)):
        due_time = started + number / rate
        delay = due_time - time.monotonic()
        if delay > 0:
            await asyncio.sleep(delay)
        tasks.append(asyncio.ensure_future(_send(http, path)))
    await asyncio.gather(*tasks)


async def _send(http: aiohttp.ClientSession, path: Path) -> None:
    started = time.monotonic()
    async with http.get(path.url, headers={"traceparent": _TRACEPARENT}) as response:
        await response.read()
        if response.status == 200:
            path.samples.append((time.monotonic() - started) * 1000)


async def measure(rate: float, folder: str) -> None:
    """Measures every path at a rate of requests per second and prints a table."""
    deployment = local_deployment.Deployment(
        build_spec(), "examples/small/settings.ini", folder, 1
    )
    port = ports.claim_ports(1)[0]
    first, other = deployment.vms
    direct = f"http://127.0.0.1:{first.endpoint_port}"
    paths = (
        Path("direct", f"{direct}/look", []),
        Path("bare forward", f"http://127.0.0.1:{port}/look", []),
        Path("node beside the endpoint", f"http://{deployment.nodes[0]}/shop/look", []),
        Path("another node", f"http://{deployment.nodes[1]}/shop/look", []),
    )
    try:
        await deployment.start()
        await deployment.start_tool("forwarder", direct, str(port))
        await asyncio.sleep(1.5)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as http:
            for path in paths:
                await run_round(http, path, rate)
                path.samples.clear()
            before = capacity.read_node_cpu_s(deployment)
            for _ in range(ROUND_COUNT):
                for path in paths:
                    await run_round(http, path, rate)
            cpu_s = capacity.read_node_cpu_s(deployment) - before
    finally:
        await deployment.stop()
    print_paths(rate, paths, cpu_s)


def print_paths(rate: float, paths: tuple[Path, ...], cpu_s: float) -> None:
    """Prints quantiles, and the latency that each path adds to the direct one.

    :param cpu_s: processor time of all nodes in the measured rounds.
    """
    direct = sorted(paths[0].samples)
    forwarder_added = get_quantile(sorted(paths[1].samples), 0.5) - get_quantile(
        direct, 0.5
    )
    print(f"\n{rate:g} calls per second\n")
    print("| path | p50 ms | p99 ms | added p50 | to bare | added p99 | in 0.4 ms |")
    print("|---|---|---|---|---|---|---|")
    for path in paths:
        samples = sorted(path.samples)
        p50, p99 = get_quantile(samples, 0.5), get_quantile(samples, 0.99)
        added = p50 - get_quantile(direct, 0.5)
        quantiles = (
            (i / len(samples), latency_ms) for i, latency_ms in enumerate(samples)
        )
        within_target = sum(
            latency_ms - get_quantile(direct, quantile) <= ADDED_LATENCY_TARGET_MS
            for quantile, latency_ms in quantiles
        )
        print(
            f"| {path.name} | {p50:.2f} | {p99:.2f} | {added:.2f} "
            f"| {added / forwarder_added:.2f} | {p99 - get_quantile(direct, 0.99):.2f} "
            f"| {within_target / len(samples):.0%} |"
        )
    calls = sum(len(path.samples) for path in paths[2:])
    # A call through another node takes processor time at two nodes.
    print(f"\nnode CPU {cpu_s * 1000 / calls:.2f} ms per call, both paths together")


def get_quantile(values: list[float], quantile: float) -> float:
    """Returns a quantile of sorted values."""
    return values[min(len(values) - 1, int(len(values) * quantile))]


def run(*, rates: list[float] = (200.0, 500.0)) -> None:
    """Measures at each rate.

    :param rates: requests per second.
    """
    uvloop.install()
    for rate in rates:
        with tempfile.TemporaryDirectory(prefix="catkintiller-") as folder:
            asyncio.run(measure(rate, folder))


if __name__ == "__main__":
    defopt.run(run)
