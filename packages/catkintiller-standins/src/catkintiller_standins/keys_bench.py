"""Compares tickets with plain keys: latency, appends, node crash and log outage.

Run with ``make keys``. All figures are of charges in the small deployment.
"""

import asyncio
import statistics
import time

import aiohttp
import uvloop

from . import harness, local_deployment

CHARGE_COUNT = 200
CONCURRENT_CHARGE_COUNT = 8


async def create_keys(deployment: local_deployment.Deployment, kind: str) -> list[str]:
    """Creates unused keys of a kind, ``plain`` or ``ticket``."""
    if kind == "plain":
        return [f"{time.monotonic_ns()}-{index}" for index in range(CHARGE_COUNT)]
    tickets: list[str] = []
    async with aiohttp.ClientSession() as http:
        while len(tickets) < CHARGE_COUNT:
            url = f"http://{deployment.nodes[0]}/-/tickets/pay?count=50"
            async with http.post(url) as response:
                tickets += (await response.json())["tickets"]
    return tickets[:CHARGE_COUNT]


async def send_charges(
    deployment: local_deployment.Deployment, keys: list[str]
) -> tuple[list[harness.Response], list[float]]:
    """Sends a charge with each key and returns responses and latencies in milliseconds.

    At most ``CONCURRENT_CHARGE_COUNT`` charges are in flight.
    """
    semaphore = asyncio.Semaphore(CONCURRENT_CHARGE_COUNT)
    latencies_ms = []

    async def send_one(index: int, key: str) -> harness.Response:
        async with semaphore:
            started_at_s = time.monotonic()
            node = deployment.nodes[index % 2]
            response = await harness.send_charge(node, key)
            latencies_ms.append((time.monotonic() - started_at_s) * 1000)
            return response

    responses = await asyncio.gather(*(send_one(i, k) for i, k in enumerate(keys)))
    return responses, latencies_ms


async def count_appends(deployment: local_deployment.Deployment) -> int:
    """Returns the number of appends that the log service has handled."""
    async with aiohttp.ClientSession() as http:
        async with http.get(f"{deployment.log_url}/counts") as response:
            return (await response.json())["appends"]


def compute_ran_ratio(responses: list[harness.Response], ran: str) -> float:
    """Computes the share of responses that state ``ran`` about the execution."""
    return sum(response.ran == ran for response in responses) / len(responses)


async def measure(kind: str) -> None:
    """Measures one kind of keys and prints a row of the table."""
    async with harness.run_deployment() as deployment:
        await send_charges(deployment, (await create_keys(deployment, kind))[:40])
        appends_before = await count_appends(deployment)
        keys = await create_keys(deployment, kind)
        responses, latencies_ms = await send_charges(deployment, keys)
        appends_per_charge = (
            await count_appends(deployment) - appends_before
        ) / CHARGE_COUNT
        assert all(response.is_success for response in responses)
        await deployment.kill("node pay-1")
        repeat_responses, _ = await send_charges(deployment, keys)
        failure_ratio = sum(
            not response.is_success for response in repeat_responses
        ) / len(repeat_responses)
        await deployment.start_node(deployment.get_vm("pay-1"))
        await deployment.wait_ready()
        await deployment.set_log_faults(mode="refusing")
        outage_responses, _ = await send_charges(
            deployment, await create_keys(deployment, kind)
        )
        success_ratio = sum(response.is_success for response in outage_responses) / len(
            outage_responses
        )
    quantiles = statistics.quantiles(latencies_ms, n=100)
    print(
        f"| {kind} | {quantiles[49]:.1f} | {quantiles[98]:.1f} "
        f"| {appends_per_charge:.2f} | {failure_ratio:.0%} | {success_ratio:.0%} |",
        flush=True,
    )


def main() -> None:
    """Measures both kinds of keys and prints the table."""
    uvloop.install()
    print(
        "| key | p50 ms | p99 ms | appends per charge | repeats unknown after 1 of 3 "
        "nodes was killed | complete while the log refuses |"
    )
    print("|---|---|---|---|---|---|")
    for kind in ("ticket", "plain"):
        asyncio.run(measure(kind))


if __name__ == "__main__":
    main()
