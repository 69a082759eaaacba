"""Measures policy under load and faults against baselines.

Run with ``make bench``. Each scenario runs in each arm with real processes and
hard-retrying callers; a table and a plot for each go to ``bench/results``.
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
RESENDS = 3
RESULTS = "bench/results"
IMPORTANT = options.PRIORITIES.index("high")

Action = Callable[[local_deployment.Deployment], Awaitable[None]]


class Arm(NamedTuple):
    """A way to run the deployment: settings at the root, and retries per call."""

    name: str
    settings: str
    retries_per_call: int


class Scenario(NamedTuple):
    """Load factors before, during and after the trigger, and what happens."""

    name: str
    factor: float
    begin: Action | None = None
    end: Action | None = None


class Measured(NamedTuple):
    """Figures of one run."""

    goodput: float
    important_share: float
    recovery_s: float | None
    wasted_share: float
    runs_per_root: float
    broken: int


ARMS = (
    Arm("no control", "concurrency = off\nshedding = off\nretries = 0", 0),
    Arm(
        "static, 3 retries per hop",
        "concurrency = static\nshedding = off\nretries = 0",
        3,
    ),
    Arm("catkintiller", "", 0),
)


async def slow_workshop(running: local_deployment.Deployment) -> None:
    """Makes the deepest service ten times slower."""
    for slot in running.slots:
        if slot.service == get_deepest(running):
            await running.control_endpoint(slot.name, slow=10.0)


async def heal_workshop(running: local_deployment.Deployment) -> None:
    """Heals the deepest service."""
    for slot in running.slots:
        if slot.service == get_deepest(running):
            await running.control_endpoint(slot.name, slow=1.0)


async def lose_endpoint(running: local_deployment.Deployment) -> None:
    """Kills the endpoint and the node of one VM."""
    name = next(s.name for s in running.slots if s.service == get_deepest(running))
    await running.kill(f"endpoint {name}")
    await running.kill(f"node {name}")


async def replace_endpoint(running: local_deployment.Deployment) -> None:
    """Starts another VM in the place of the lost one."""
    name = next(s.name for s in running.slots if s.service == get_deepest(running))
    await running.start_slot(running.get_slot(name))


async def stop_log(running: local_deployment.Deployment) -> None:
    """Takes the log down."""
    await running.control_log(mode="down")


async def start_log(running: local_deployment.Deployment) -> None:
    """Brings the log back."""
    await running.control_log(mode="up")


SCENARIOS = (
    Scenario("steady", 1.0),
    Scenario("surge-2x", 2.0),
    Scenario("surge-4x", 4.0),
    Scenario("deep-service-slow", 1.0, slow_workshop, heal_workshop),
    Scenario("vm-lost", 1.0, lose_endpoint, replace_endpoint),
    Scenario("log-outage-in-surge", 2.0, stop_log, start_log),
)


def get_deepest(running: local_deployment.Deployment) -> str:
    """Gets the service at the end of the chains."""
    services = {slot.service for slot in running.slots}
    return "workshop" if "workshop" in services else "condition-map"


async def run_arm(
    name: str, scenario: Scenario, arm: Arm, seed: int, folder: str
) -> list[load.RootResult]:
    """Runs one scenario in one arm; the ledgers stay in ``folder``."""
    form = deployment_spec.load_shape(f"examples/{name}/standins.ini")
    settings = write_settings(name, arm, folder)
    running = local_deployment.Deployment(form, settings, folder, seed)
    running.retries_per_call = arm.retries_per_call
    stages = make_stages(scenario)
    try:
        await running.start()
        loading = asyncio.ensure_future(running.run_load(stages, RESENDS))
        await asyncio.sleep(BEFORE_S + 0.7)
        if scenario.begin:
            await scenario.begin(running)
        await asyncio.sleep(TRIGGER_S)
        if scenario.end:
            await scenario.end(running)
        return await loading
    finally:
        await running.stop()


def write_settings(name: str, arm: Arm, folder: str) -> str:
    """Writes the deployment's settings with the arm's values at the root."""
    with open(f"examples/{name}/settings.ini", encoding="utf-8") as stream:
        lines = stream.read().splitlines()
    names = [line.split(" = ")[0] for line in arm.settings.splitlines()]
    kept = [line for line in lines if line.split(" = ")[0] not in names]
    text = "\n".join(kept).replace("[root]", f"[root]\n{arm.settings}")
    file = os.path.join(folder, "settings.ini")
    with open(file, "w", encoding="utf-8") as stream:
        stream.write(text + "\n")
    return file


def make_stages(scenario: Scenario) -> tuple[load.Stage, ...]:
    """Makes the stages of a scenario."""
    return (
        load.Stage("before", BEFORE_S, 1.0),
        load.Stage("trigger", TRIGGER_S, scenario.factor),
        load.Stage("after", AFTER_S, 1.0),
    )


def measure(name: str, results: list[load.RootResult], lines: list[dict]) -> Measured:
    """Computes the figures of one run."""
    settings = loader.load_tree(f"examples/{name}/settings.ini")
    form = deployment_spec.load_shape(f"examples/{name}/standins.ini")
    during = [r for r in results if r.stage == "trigger"]
    important = [
        r for r in during if settings.get_kind(r.service, r.kind).priority >= IMPORTANT
    ]
    figures = analysis.compute_run(results, lines)
    per_call = analysis.count_starts(lines)
    extra = sum(count - 1 for count in per_call.values())
    unrepeatable = deployment_spec.find_unrepeatable(form, settings)
    broken = analysis.find_broken(results, lines, unrepeatable, 2)
    return Measured(
        sum(r.outcome == "whole" for r in during) / TRIGGER_S,
        sum(r.outcome == "whole" for r in important) / max(1, len(important)),
        analysis.compute_recovery(results, "before", "after"),
        figures.wasted_share,
        1 + extra / max(1, len(per_call)),
        len(broken),
    )


def format_rows(scenario: Scenario, arm: Arm, runs: list[Measured]) -> str:
    """Writes one line of the table: medians over the seeds."""
    never = AFTER_S
    recoveries = [never if r.recovery_s is None else r.recovery_s for r in runs]
    worst = max(recoveries)
    return (
        f"| {scenario.name} | {arm.name} "
        f"| {statistics.median(r.goodput for r in runs):.1f} "
        f"| {statistics.median(r.important_share for r in runs):.2%} "
        f"| {format_recovery(statistics.median(recoveries))} "
        f"| {format_recovery(worst)} "
        f"| {statistics.median(r.wasted_share for r in runs):.1%} "
        f"| {statistics.median(r.runs_per_root for r in runs):.3f} "
        f"| {sum(r.broken for r in runs)} |"
    )


def format_recovery(seconds: float) -> str:
    """Writes a recovery time, or that there was none within the run."""
    return "never" if seconds >= AFTER_S else f"{seconds:.2f} s"


def run(
    *, seed: int = 1, seeds: int = 1, name: str = "gunstock", only: str = ""
) -> None:
    """Runs every scenario in every arm.

    :param seed: first seed.
    :param seeds: how many seeds.
    :param name: deployment of the examples.
    :param only: run just the scenario of this name.
    """
    uvloop.install()
    os.makedirs(RESULTS, exist_ok=True)
    table = [
        "| scenario | arm | whole/s in trigger | important whole | recovery, median "
        "| recovery, worst | wasted | executions per call | promises broken |",
        "|---|---|---|---|---|---|---|---|---|",
    ]
    for scenario in SCENARIOS:
        if only and scenario.name != only:
            continue
        curves = {}
        for arm in ARMS:
            runs = []
            for number in range(seed, seed + seeds):
                with tempfile.TemporaryDirectory(prefix="catkintiller-") as folder:
                    results = asyncio.run(run_arm(name, scenario, arm, number, folder))
                    runs.append(measure(name, results, read_lines(folder)))
            curves[arm.name] = plot.compute_curve(results)
            table.append(format_rows(scenario, arm, runs))
            print(table[-1], flush=True)
        file = os.path.join(RESULTS, f"{name}-{scenario.name}.svg")
        plot.write_plot(file, f"{name}: {scenario.name}", curves, BEFORE_S, TRIGGER_S)
    if not only:
        file = os.path.join(RESULTS, f"{name}.md")
        with open(file, "w", encoding="utf-8") as stream:
            stream.write(f"Seeds {seed} to {seed + seeds - 1}.\n\n")
            stream.write("\n".join(table) + "\n")


def read_lines(folder: str) -> list[dict]:
    """Reads every ledger in a folder."""
    lines = []
    for file in sorted(os.listdir(folder)):
        if file.endswith(".ledger"):
            lines += analysis.read_lines(os.path.join(folder, file))
    return lines


if __name__ == "__main__":
    defopt.run(run)
