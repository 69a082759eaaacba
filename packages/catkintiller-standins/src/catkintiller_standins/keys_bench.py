"""Measures the two kinds of keys: latency, log outage, node crash, appends.

Run with ``make keys``. Each figure is of charges in the small deployment.
"""

import asyncio
import statistics
import time

import aiohttp
import uvloop

from . import harness, local_deployment

CHARGES = 200
PARALLEL = 8


async def make_keys(running: local_deployment.Deployment, kind: str) -> list[str]:
    """Makes fresh keys of a kind: tickets or plain ones."""
    if kind == "plain":
        return [f"{time.monotonic_ns()}-{index}" for index in range(CHARGES)]
    drawn: list[str] = []
    async with aiohttp.ClientSession() as http:
        while len(drawn) < CHARGES:
            url = f"http://{running.nodes[0]}/-/tickets/pay?count=50"
            async with http.post(url) as response:
                drawn += (await response.json())["tickets"]
    return drawn[:CHARGES]


async def charge_all(
    running: local_deployment.Deployment, keys: list[str]
) -> tuple[list[harness.Reply], list[float]]:
    """Charges each key, a few at a time, and measures each in milliseconds."""
    gate = asyncio.Semaphore(PARALLEL)
    spent = []

    async def charge(index: int, key: str) -> harness.Reply:
        async with gate:
            began = time.monotonic()
            node = running.nodes[index % 2]
            reply = await harness.charge(node, key)
            spent.append((time.monotonic() - began) * 1000)
            return reply

    replies = await asyncio.gather(*(charge(i, k) for i, k in enumerate(keys)))
    return replies, spent


async def count_appends(running: local_deployment.Deployment) -> int:
    """Counts the appends that the log service took."""
    async with aiohttp.ClientSession() as http:
        async with http.get(f"{running.log_url}/counts") as response:
            return (await response.json())["appends"]


def share(replies: list[harness.Reply], ran: str) -> float:
    """Gets the share of replies that said so of the run."""
    return sum(reply.ran == ran for reply in replies) / len(replies)


async def measure(kind: str) -> None:
    """Measures one kind of keys and prints a row."""
    async with harness.deployed() as running:
        await charge_all(running, (await make_keys(running, kind))[:40])
        before = await count_appends(running)
        keys = await make_keys(running, kind)
        replies, spent = await charge_all(running, keys)
        appends = (await count_appends(running) - before) / CHARGES
        assert all(reply.is_whole for reply in replies)
        await running.kill("node pay-1")
        again, _ = await charge_all(running, keys)
        lost = sum(not reply.is_whole for reply in again) / len(again)
        await running.start_node(running.get_slot("pay-1"))
        await running.wait_ready()
        await running.control_log(mode="refusing")
        outage, _ = await charge_all(running, await make_keys(running, kind))
        whole = sum(reply.is_whole for reply in outage) / len(outage)
    quantiles = statistics.quantiles(spent, n=100)
    print(
        f"| {kind} | {quantiles[49]:.1f} | {quantiles[98]:.1f} | {appends:.2f} "
        f"| {lost:.0%} | {whole:.0%} |",
        flush=True,
    )


def main() -> None:
    """Measures both kinds of keys."""
    uvloop.install()
    print(
        "| key | p50 ms | p99 ms | appends a charge | repeats unknown after 1 of 3 "
        "nodes died | whole while the log is down |"
    )
    print("|---|---|---|---|---|---|")
    for kind in ("ticket", "plain"):
        asyncio.run(measure(kind))


if __name__ == "__main__":
    main()
