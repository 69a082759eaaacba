"""Injects random faults, alone and in pairs, and checks the promises.

Run with ``make faults SEED=1``. Both deployments run under load from clients that
retry, while faults of nodes, endpoints, connections and the log service are
injected and removed. The exit status is not 0 if a promise is violated.
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
WARM_UP_S = 2.0
FAULT_DURATION_RANGE_S = (0.5, 2.5)
LONG_PAUSE_S = 6.0
FAULT_INTERVAL_S = 0.5
CLIENT_RETRY_COUNT = 2
LOAD_RATE_FACTOR = 0.6

Fault = Callable[[local_deployment.Deployment, random.Random], Awaitable[None]]


async def kill_node(
    deployment: local_deployment.Deployment, rng: random.Random
) -> None:
    """Kills a node and starts it again after a random delay."""
    vm = rng.choice(deployment.vms)
    await deployment.kill(f"node {vm.name}")
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    await deployment.start_node(vm)


async def kill_endpoint(
    deployment: local_deployment.Deployment, rng: random.Random
) -> None:
    """Kills an endpoint and starts it again after a random delay."""
    vm = rng.choice(deployment.vms)
    await deployment.kill(f"endpoint {vm.name}")
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    await deployment.start_endpoint(vm)


async def pause_node(
    deployment: local_deployment.Deployment, rng: random.Random
) -> None:
    """Pauses a node and resumes it.

    The longer pause is long enough for its peers to declare it unresponsive.
    """
    process = f"node {rng.choice(deployment.vms).name}"
    deployment.signal(process, signal.SIGSTOP)
    await asyncio.sleep(rng.choice((1.0, LONG_PAUSE_S)))
    deployment.signal(process, signal.SIGCONT)


async def stop_vm(deployment: local_deployment.Deployment, rng: random.Random) -> None:
    """Stops a VM gracefully and starts another in its place."""
    vm = rng.choice(deployment.vms)
    await asyncio.gather(
        deployment.terminate(f"endpoint {vm.name}"),
        deployment.terminate(f"node {vm.name}"),
    )
    await deployment.start_vm(vm)


async def break_log(
    deployment: local_deployment.Deployment, rng: random.Random
) -> None:
    """Makes the log service abort, refuse or delay requests, or lose responses."""
    fault = rng.choice(
        (
            {"mode": "down"},
            {"mode": "refusing"},
            {"append_delay_ms": 700.0},
            {"lost_answers": 0.5},
        )
    )
    await deployment.set_log_faults(**fault)
    await asyncio.sleep(rng.uniform(*FAULT_DURATION_RANGE_S))
    await deployment.set_log_faults(mode="up", append_delay_ms=2.0, lost_answers=0.0)


async def break_endpoint(
    deployment: local_deployment.Deployment, rng: random.Random
) -> None:
    """Makes an endpoint slow, or fail, hang, refuse or truncate responses."""
    name = rng.choice(deployment.vms).name
    fault, share_or_factor = rng.choice(
        (
            ("slow", 10.0),
            ("fail", 0.5),
            ("hang", 0.3),
            ("refuse", 0.5),
            ("truncate", 0.5),
        )
    )
    await deployment.set_endpoint_faults(name, **{fault: share_or_factor})
    await asyncio.sleep(rng.uniform(*FAULT_DURATION_RANGE_S))
    no_faults = {"slow": 1.0, "fail": 0.0, "hang": 0.0, "refuse": 0.0, "truncate": 0.0}
    await deployment.set_endpoint_faults(name, **no_faults)


async def cut_connections(
    deployment: local_deployment.Deployment, rng: random.Random
) -> None:
    """Closes the connections to a node repeatedly, at any byte of a message."""
    proxy = deployment.proxies[rng.choice(deployment.vms).name]
    for _ in range(rng.randint(3, 20)):
        await proxy.disconnect_all()
        await asyncio.sleep(rng.uniform(0.0, 0.1))


async def cut_zone(deployment: local_deployment.Deployment, rng: random.Random) -> None:
    """Discards the traffic to the nodes of a zone for a random time."""
    zone = rng.choice(deployment.vms).zone
    names = [vm.name for vm in deployment.vms if vm.zone == zone]
    for name in names:
        await harness.block_traffic(deployment.proxies[name])
    await asyncio.sleep(rng.uniform(*FAULT_DURATION_RANGE_S))
    for name in names:
        await harness.restore_traffic(deployment.proxies[name])


async def delay_messages(
    deployment: local_deployment.Deployment, rng: random.Random
) -> None:
    """Delays the messages to a node, so that responses are late."""
    proxy = deployment.proxies[rng.choice(deployment.vms).name]
    with proxy.slowdown(0.2, 0.2):
        await asyncio.sleep(rng.uniform(*FAULT_DURATION_RANGE_S))


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


async def inject_faults(
    deployment: local_deployment.Deployment, rng: random.Random, done: asyncio.Future
) -> list[str]:
    """Injects one or two faults at a time until the load ends.

    :returns: names of the injected faults in their order.
    """
    injected = []
    await asyncio.sleep(WARM_UP_S)
    while not done.done():
        chosen = [rng.choice(FAULTS) for _ in range(rng.choice((1, 1, 2)))]
        injected.append(" + ".join(fault.__name__ for fault in chosen))
        # Two faults may act on the same process; the second one then fails.
        await asyncio.gather(
            *(fault(deployment, rng) for fault in chosen), return_exceptions=True
        )
        await asyncio.sleep(FAULT_INTERVAL_S)
    return injected


async def run_faults(name: str, seed: int, folder: str) -> list[analysis.Violation]:
    """Runs one deployment under faults and returns the violations."""
    spec = deployment_spec.load_spec(f"examples/{name}/standins.ini")
    settings = f"examples/{name}/settings.ini"
    deployment = local_deployment.Deployment(spec, settings, folder, seed)
    rng = random.Random(seed)
    asyncio.get_running_loop().set_exception_handler(harness.ignore_connection_errors)
    stages = (load.Stage("faults", LOAD_S, LOAD_RATE_FACTOR),)
    try:
        await harness.start_proxies(deployment)
        await deployment.start()
        load_task = asyncio.ensure_future(
            deployment.run_load(stages, CLIENT_RETRY_COUNT)
        )
        injected = await inject_faults(deployment, rng, load_task)
        results = await load_task
        records = deployment.read_ledger()
    finally:
        await deployment.stop()
        for proxy in deployment.proxies.values():
            await proxy.close()
    print(f"{name}, seed {seed}: {', '.join(injected)}")
    report.print_run(name, results, records, stages, {})
    settings_tree = loader.load_tree(settings)
    unrepeatable = deployment_spec.find_unrepeatable_kinds(spec, settings_tree)
    retries = settings_tree.get_kind(spec.services[0].name, "").retries
    return analysis.find_violations(results, records, unrepeatable, retries)


def run(*, seed: int = 1) -> None:
    """Runs both deployments with the faults of a seed.

    :param seed: random seed of the faults and of the stand-ins.
    """
    uvloop.install()
    violations = []
    for name in demo.DEPLOYMENTS:
        with tempfile.TemporaryDirectory(prefix="catkintiller-") as folder:
            violations += asyncio.run(run_faults(name, seed, folder))
    sys.exit(report.print_violations(violations))


if __name__ == "__main__":
    defopt.run(run)
