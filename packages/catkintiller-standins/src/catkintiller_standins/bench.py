"""Benchmarks overload control against baselines under load and faults.

Run with ``make bench``. Each scenario runs in each arm (a configuration to compare)
with real processes and clients that retry failed requests almost at once. The table of
the deployment and a plot of each scenario are written to ``bench/results``.
"""

import asyncio
import os
import statistics
import tempfile
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import defopt
import uvloop
from catkintiller import loader, options

from . import analysis, deployment_spec, load, local_deployment, plot

BEFORE_S = 5.0
TRIGGER_S = 6.0
AFTER_S = 7.0
CLIENT_RETRY_COUNT = 3
RESULTS_FOLDER = "bench/results"
IMPORTANT_PRIORITY_MIN = options.PRIORITIES.index("high")

FaultAction = Callable[[local_deployment.Deployment], Awaitable[None]]


class Arm(NamedTuple):
    """A configuration that is compared with others.

    :param settings: settings that replace those at the root.
    :param retries_per_call: retries of each nested call by the endpoints themselves.
    """

    name: str
    settings: str
    retries_per_call: int


class Scenario(NamedTuple):
    """A trigger of overload.

    :param rate_factor: multiple of the steady rate during the trigger.
    :param start_fault: called when the trigger starts.
    :param end_fault: called when the trigger ends.
    """

    name: str
    rate_factor: float
    start_fault: FaultAction | None = None
    end_fault: FaultAction | None = None


class RunSummary(NamedTuple):
    """Figures of one run of a scenario in an arm.

    :param goodput_per_s: complete responses in time, per second of the trigger.
    :param important_ratio: share of complete responses among the requests of high
        priority that are sent during the trigger.
    """

    goodput_per_s: float
    important_ratio: float
    recovery_s: float | None
    wasted_ratio: float
    executions_per_call: float
    violation_count: int


ARMS = (
    Arm("no control", "concurrency = off\nshedding = off\nretries = 0", 0),
    Arm(
        "static, 3 retries per hop",
        "concurrency = static\nshedding = off\nretries = 0",
        3,
    ),
    Arm("catkintiller", "", 0),
)


async def slow_deepest_service(deployment: local_deployment.Deployment) -> None:
    """Makes the work of the deepest service ten times slower."""
    for vm in deployment.vms:
        if vm.service == get_deepest_service(deployment):
            await deployment.set_endpoint_faults(vm.name, slow=10.0)


async def restore_deepest_service(deployment: local_deployment.Deployment) -> None:
    """Restores the speed of the deepest service."""
    for vm in deployment.vms:
        if vm.service == get_deepest_service(deployment):
            await deployment.set_endpoint_faults(vm.name, slow=1.0)


async def kill_vm(deployment: local_deployment.Deployment) -> None:
    """Kills the endpoint and the node of one VM of the deepest service."""
    name = next(
        vm.name
        for vm in deployment.vms
        if vm.service == get_deepest_service(deployment)
    )
    await deployment.kill(f"endpoint {name}")
    await deployment.kill(f"node {name}")


async def replace_vm(deployment: local_deployment.Deployment) -> None:
    """Starts a VM in the place of the killed one."""
    name = next(
        vm.name
        for vm in deployment.vms
        if vm.service == get_deepest_service(deployment)
    )
    await deployment.start_vm(deployment.get_vm(name))


async def stop_log(deployment: local_deployment.Deployment) -> None:
    """Makes the log service unavailable."""
    await deployment.set_log_faults(mode="down")


async def start_log(deployment: local_deployment.Deployment) -> None:
    """Makes the log service available again."""
    await deployment.set_log_faults(mode="up")


SCENARIOS = (
    Scenario("steady", 1.0),
    Scenario("surge-2x", 2.0),
    Scenario("surge-4x", 4.0),
    Scenario("deep-service-slow", 1.0, slow_deepest_service, restore_deepest_service),
    Scenario("vm-lost", 1.0, kill_vm, replace_vm),
    Scenario("log-outage-in-surge", 2.0, stop_log, start_log),
)


def get_deepest_service(deployment: local_deployment.Deployment) -> str:
    """Returns the service at the end of the longest call chain."""
    services = {vm.service for vm in deployment.vms}
    return "workshop" if "workshop" in services else "condition-map"


async def run_arm(
    name: str, scenario: Scenario, arm: Arm, seed: int, folder: str
) -> list[load.RootResult]:
    """Runs one scenario in one arm and leaves the ledgers in ``folder``."""
    spec = deployment_spec.load_spec(f"examples/{name}/standins.ini")
    settings = write_settings(name, arm, folder)
    deployment = local_deployment.Deployment(spec, settings, folder, seed)
    deployment.retries_per_call = arm.retries_per_call
    stages = build_stages(scenario)
    try:
        await deployment.start()
        load_task = asyncio.ensure_future(
            deployment.run_load(stages, CLIENT_RETRY_COUNT)
        )
        await asyncio.sleep(BEFORE_S + 0.7)
        if scenario.start_fault:
            await scenario.start_fault(deployment)
        await asyncio.sleep(TRIGGER_S)
        if scenario.end_fault:
            await scenario.end_fault(deployment)
        return await load_task
    finally:
        await deployment.stop()


def write_settings(name: str, arm: Arm, folder: str) -> str:
    """Writes the deployment's settings with the arm's values at the root.

    :returns: path of the file.
    """
    with open(f"examples/{name}/settings.ini", encoding="utf-8") as stream:
        lines = stream.read().splitlines()
    names = [line.split(" = ")[0] for line in arm.settings.splitlines()]
    kept_lines = [line for line in lines if line.split(" = ")[0] not in names]
    text = "\n".join(kept_lines).replace("[root]", f"[root]\n{arm.settings}")
    file = os.path.join(folder, "settings.ini")
    with open(file, "w", encoding="utf-8") as stream:
        stream.write(text + "\n")
    return file


def build_stages(scenario: Scenario) -> tuple[load.Stage, ...]:
    """Builds the load stages of a scenario."""
    return (
        load.Stage("before", BEFORE_S, 1.0),
        load.Stage("trigger", TRIGGER_S, scenario.rate_factor),
        load.Stage("after", AFTER_S, 1.0),
    )


def compute_figures(
    name: str, results: list[load.RootResult], records: list[dict]
) -> RunSummary:
    """Computes the figures of one run.

    :param name: name of a deployment in ``examples``.
    """
    settings = loader.load_tree(f"examples/{name}/settings.ini")
    spec = deployment_spec.load_spec(f"examples/{name}/standins.ini")
    trigger_results = [r for r in results if r.stage == "trigger"]
    important_results = [
        r
        for r in trigger_results
        if settings.get_kind(r.service, r.kind).priority >= IMPORTANT_PRIORITY_MIN
    ]
    figures = analysis.compute_run_figures(results, records)
    execution_counts = analysis.count_executions(records)
    extra_executions = sum(count - 1 for count in execution_counts.values())
    unrepeatable = deployment_spec.find_unrepeatable_kinds(spec, settings)
    violations = analysis.find_violations(results, records, unrepeatable, 2)
    return RunSummary(
        sum(r.outcome == "whole" for r in trigger_results) / TRIGGER_S,
        sum(r.outcome == "whole" for r in important_results)
        / max(1, len(important_results)),
        analysis.compute_recovery_s(results, "before", "after"),
        figures.wasted_ratio,
        1 + extra_executions / max(1, len(execution_counts)),
        len(violations),
    )


def format_row(scenario: Scenario, arm: Arm, runs: list[RunSummary]) -> str:
    """Formats one row of the table: medians over the seeds, and the worst recovery."""
    no_recovery_s = AFTER_S
    recoveries = [no_recovery_s if r.recovery_s is None else r.recovery_s for r in runs]
    worst = max(recoveries)
    return (
        f"| {scenario.name} | {arm.name} "
        f"| {statistics.median(r.goodput_per_s for r in runs):.1f} "
        f"| {statistics.median(r.important_ratio for r in runs):.2%} "
        f"| {format_recovery(statistics.median(recoveries))} "
        f"| {format_recovery(worst)} "
        f"| {statistics.median(r.wasted_ratio for r in runs):.1%} "
        f"| {statistics.median(r.executions_per_call for r in runs):.3f} "
        f"| {sum(r.violation_count for r in runs)} |"
    )


def format_recovery(seconds: float) -> str:
    """Formats a recovery time; ``never`` means not within the run."""
    return "never" if seconds >= AFTER_S else f"{seconds:.2f} s"


def run(
    *, seed: int = 1, seeds: int = 1, name: str = "gunstock", only: str = ""
) -> None:
    """Runs every scenario in every arm.

    :param seed: first seed.
    :param seeds: number of seeds.
    :param name: name of a deployment in ``examples``.
    :param only: name of the only scenario to run, empty for all.
    """
    uvloop.install()
    os.makedirs(RESULTS_FOLDER, exist_ok=True)
    table = [
        "| scenario | arm | whole/s in trigger | important whole | recovery, median "
        "| recovery, worst | wasted | executions per call | violations |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    for scenario in SCENARIOS:
        if only and scenario.name != only:
            continue
        curves = {}
        for arm in ARMS:
            runs = []
            for run_seed in range(seed, seed + seeds):
                with tempfile.TemporaryDirectory(prefix="catkintiller-") as folder:
                    results = asyncio.run(
                        run_arm(name, scenario, arm, run_seed, folder)
                    )
                    runs.append(compute_figures(name, results, read_ledgers(folder)))
            curves[arm.name] = plot.compute_goodput(results)
            table.append(format_row(scenario, arm, runs))
            print(table[-1], flush=True)
        file = os.path.join(RESULTS_FOLDER, f"{name}-{scenario.name}.svg")
        plot.write_plot(file, f"{name}: {scenario.name}", curves, BEFORE_S, TRIGGER_S)
    if not only:
        file = os.path.join(RESULTS_FOLDER, f"{name}.md")
        with open(file, "w", encoding="utf-8") as stream:
            stream.write(f"Seeds {seed} to {seed + seeds - 1}.\n\n")
            stream.write("\n".join(table) + "\n")


def read_ledgers(folder: str) -> list[dict]:
    """Reads all ledgers in a folder."""
    records = []
    for file in sorted(os.listdir(folder)):
        if file.endswith(".ledger"):
            records += analysis.read_ledger_file(os.path.join(folder, file))
    return records


if __name__ == "__main__":
    defopt.run(run)
