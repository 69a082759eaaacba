"""Seeded fault run: draws faults alone and in pairs, and compares ledgers.

Run with ``make faults SEED=1``. Both deployments run under load with callers that
try again, while faults of nodes, endpoints, connections and the log come and go.
Exits with a status other than 0 if a promise broke.
"""

import asyncio
import random
import signal
import sys
import tempfile
from collections.abc import Awaitable, Callable

import defopt
import uvloop
from catkintiller import loader

from . import analysis, demo, deployment_spec, harness, load, local_deployment, report

LOAD_S = 16.0
QUIET_S = 2.0
FAULT_S = (0.5, 2.5)
PAUSE_S = 6.0
CALM_S = 0.5
RESENDS = 2
LOAD_FACTOR = 0.6

Fault = Callable[[local_deployment.Deployment, random.Random], Awaitable[None]]


async def kill_node(running: local_deployment.Deployment, rng: random.Random) -> None:
    """Kills a node and starts another in its place."""
    slot = rng.choice(running.slots)
    await running.kill(f"node {slot.name}")
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    await running.start_node(slot)


async def kill_endpoint(
    running: local_deployment.Deployment, rng: random.Random
) -> None:
    """Kills an endpoint and starts another in its place."""
    slot = rng.choice(running.slots)
    await running.kill(f"endpoint {slot.name}")
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    await running.start_endpoint(slot)


async def pause_node(running: local_deployment.Deployment, rng: random.Random) -> None:
    """Pauses a node until the others hold it for gone, then wakes it."""
    process = f"node {rng.choice(running.slots).name}"
    running.signal(process, signal.SIGSTOP)
    await asyncio.sleep(rng.choice((1.0, PAUSE_S)))
    running.signal(process, signal.SIGCONT)


async def stop_vm(running: local_deployment.Deployment, rng: random.Random) -> None:
    """Stops a VM as planned and starts another in its place."""
    slot = rng.choice(running.slots)
    await asyncio.gather(
        running.end(f"endpoint {slot.name}"), running.end(f"node {slot.name}")
    )
    await running.start_slot(slot)


async def break_log(running: local_deployment.Deployment, rng: random.Random) -> None:
    """Takes the log down, or makes it slow, refusing or forgetful of answers."""
    fault = rng.choice(
        (
            {"mode": "down"},
            {"mode": "refusing"},
            {"append_delay_ms": 700.0},
            {"lost_answers": 0.5},
        )
    )
    await running.control_log(**fault)
    await asyncio.sleep(rng.uniform(*FAULT_S))
    await running.control_log(mode="up", append_delay_ms=2.0, lost_answers=0.0)


async def break_endpoint(
    running: local_deployment.Deployment, rng: random.Random
) -> None:
    """Makes an endpoint slow, failing, hanging, refusing, or cut its answers."""
    name = rng.choice(running.slots).name
    fault, amount = rng.choice(
        (
            ("slow", 10.0),
            ("fail", 0.5),
            ("hang", 0.3),
            ("refuse", 0.5),
            ("truncate", 0.5),
        )
    )
    await running.control_endpoint(name, **{fault: amount})
    await asyncio.sleep(rng.uniform(*FAULT_S))
    calm = {"slow": 1.0, "fail": 0.0, "hang": 0.0, "refuse": 0.0, "truncate": 0.0}
    await running.control_endpoint(name, **calm)


async def cut_connections(
    running: local_deployment.Deployment, rng: random.Random
) -> None:
    """Cuts the connections to a node again and again, at any byte."""
    proxy = running.proxies[rng.choice(running.slots).name]
    for _ in range(rng.randint(3, 20)):
        await proxy.disconnect_all()
        await asyncio.sleep(rng.uniform(0.0, 0.1))


async def cut_zone(running: local_deployment.Deployment, rng: random.Random) -> None:
    """Lets nothing reach the nodes of a zone for a while."""
    zone = rng.choice(running.slots).zone
    names = [slot.name for slot in running.slots if slot.zone == zone]
    for name in names:
        await harness.cut(running.proxies[name])
    await asyncio.sleep(rng.uniform(*FAULT_S))
    for name in names:
        await harness.heal(running.proxies[name])


async def delay_messages(
    running: local_deployment.Deployment, rng: random.Random
) -> None:
    """Delays what reaches a node, so that answers come late."""
    proxy = running.proxies[rng.choice(running.slots).name]
    with proxy.slowdown(0.2, 0.2):
        await asyncio.sleep(rng.uniform(*FAULT_S))


FAULTS: tuple[Fault, ...] = (
    kill_node,
    kill_endpoint,
    pause_node,
    stop_vm,
    break_log,
    break_endpoint,
    cut_connections,
    cut_zone,
    delay_messages,
)


async def bring_faults(
    running: local_deployment.Deployment, rng: random.Random, done: asyncio.Future
) -> list[str]:
    """Brings faults about, one or two at a time, until the load ends."""
    log = []
    await asyncio.sleep(QUIET_S)
    while not done.done():
        chosen = [rng.choice(FAULTS) for _ in range(rng.choice((1, 1, 2)))]
        log.append(" + ".join(fault.__name__ for fault in chosen))
        # Two faults may want the same process; the second one then fails.
        await asyncio.gather(
            *(fault(running, rng) for fault in chosen), return_exceptions=True
        )
        await asyncio.sleep(CALM_S)
    return log


async def run_deployment(name: str, seed: int, folder: str) -> list[analysis.Broken]:
    """Runs one deployment under faults and compares the ledgers."""
    form = deployment_spec.load_shape(f"examples/{name}/standins.ini")
    settings = f"examples/{name}/settings.ini"
    running = local_deployment.Deployment(form, settings, folder, seed)
    rng = random.Random(seed)
    asyncio.get_running_loop().set_exception_handler(harness.ignore_cut_connections)
    stages = (load.Stage("faults", LOAD_S, LOAD_FACTOR),)
    try:
        await harness.start_proxies(running)
        await running.start()
        loading = asyncio.ensure_future(running.run_load(stages, RESENDS))
        log = await bring_faults(running, rng, loading)
        results = await loading
        lines = running.read_ledger()
    finally:
        await running.stop()
        for proxy in running.proxies.values():
            await proxy.close()
    print(f"{name}, seed {seed}: {', '.join(log)}")
    report.print_run(name, results, lines, stages, {})
    effective = loader.load_tree(settings)
    unrepeatable = deployment_spec.find_unrepeatable(form, effective)
    retries = effective.get_kind(form.services[0].name, "").retries
    return analysis.find_broken(results, lines, unrepeatable, retries)


def run(*, seed: int = 1) -> None:
    """Runs both deployments under the faults of a seed.

    :param seed: seed of the faults and of the stand-ins.
    """
    uvloop.install()
    broken = []
    for name in demo.DEPLOYMENTS:
        with tempfile.TemporaryDirectory(prefix="catkintiller-") as folder:
            broken += asyncio.run(run_deployment(name, seed, folder))
    sys.exit(report.print_verdict(broken))


if __name__ == "__main__":
    defopt.run(run)
