"""Runs both deployments through a surge and prints the outcomes of the requests.

Run with ``make demo``. The exit status is not 0 if a promise is violated.
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


async def print_progress(name: str) -> None:
    """Prints the start of each load stage."""
    for stage in STAGES:
        rate = f"{stage.rate_factor:g} times the steady rate"
        print(f"{name}: {stage.name}, {rate}, {stage.seconds:g} s", flush=True)
        await asyncio.sleep(stage.seconds)


async def run_demonstration(
    name: str, seed: int, folder: str
) -> list[analysis.Violation]:
    """Runs one deployment, prints its figures and returns the violations."""
    spec = deployment_spec.load_spec(f"examples/{name}/standins.ini")
    settings = f"examples/{name}/settings.ini"
    deployment = local_deployment.Deployment(spec, settings, folder, seed)
    print(f"{name}: starting {len(deployment.vms)} endpoints with a node beside each")
    try:
        await deployment.start()
        progress_task = asyncio.ensure_future(print_progress(name))
        results = await deployment.run_load(STAGES)
        await progress_task
        status = await deployment.get_status(deployment.vms[0])
        records = deployment.read_ledger()
    finally:
        await deployment.stop()
    report.print_run(name, results, records, STAGES, status["latencies"])
    settings_tree = loader.load_tree(settings)
    return analysis.find_violations(
        results,
        records,
        deployment_spec.find_unrepeatable_kinds(spec, settings_tree),
        settings_tree.get_kind(spec.services[0].name, "").retries,
    )


def run(*, seed: int = 1) -> None:
    """Runs the demonstration.

    :param seed: random seed of the stand-ins.
    """
    uvloop.install()
    violations = []
    for name in DEPLOYMENTS:
        with tempfile.TemporaryDirectory(prefix="catkintiller-") as folder:
            violations += asyncio.run(run_demonstration(name, seed, folder))
    sys.exit(report.print_violations(violations))


if __name__ == "__main__":
    defopt.run(run)
