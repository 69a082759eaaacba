"""Runs both deployments through a surge and shows what became of each request.

Run with ``make demo``. Exits with a status other than 0 if a promise broke.
"""

import asyncio
import sys
import tempfile

import defopt
import uvloop
from catkintiller import loader

from . import analysis, deployment_spec, load, local_deployment, report

DEPLOYMENTS = ("gunstock", "calder-reach")
STAGES = (
    load.Stage("steady", 6.0, 1.0),
    load.Stage("surge", 6.0, 4.0),
    load.Stage("after", 6.0, 1.0),
)


async def show_progress(name: str) -> None:
    """Tells which stage of the load begins."""
    for stage in STAGES:
        rate = f"{stage.factor:g} times the usual rate"
        print(f"{name}: {stage.name}, {rate}, {stage.seconds:g} s", flush=True)
        await asyncio.sleep(stage.seconds)


async def run_deployment(name: str, seed: int, folder: str) -> list[analysis.Broken]:
    """Runs one deployment and prints its table."""
    form = deployment_spec.load_shape(f"examples/{name}/standins.ini")
    settings = f"examples/{name}/settings.ini"
    running = local_deployment.Deployment(form, settings, folder, seed)
    print(f"{name}: starting {len(running.slots)} endpoints, a node beside each")
    try:
        await running.start()
        progress = asyncio.ensure_future(show_progress(name))
        results = await running.run_load(STAGES)
        await progress
        status = await running.get_status(running.slots[0])
        lines = running.read_ledger()
    finally:
        await running.stop()
    report.print_run(name, results, lines, STAGES, status["latencies"])
    effective = loader.load_tree(settings)
    return analysis.find_broken(
        results,
        lines,
        deployment_spec.find_unrepeatable(form, effective),
        effective.get_kind(form.services[0].name, "").retries,
    )


def run(*, seed: int = 1) -> None:
    """Runs the demonstration.

    :param seed: seed of everything random in the stand-ins.
    """
    uvloop.install()
    broken = []
    for name in DEPLOYMENTS:
        with tempfile.TemporaryDirectory(prefix="catkintiller-") as folder:
            broken += asyncio.run(run_deployment(name, seed, folder))
    sys.exit(report.print_verdict(broken))


if __name__ == "__main__":
    defopt.run(run)
