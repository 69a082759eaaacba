"""Simulates a surge of load under several policies and prints what clients get.

Run it with ``make experiment``.
"""

import pathlib
import statistics
from collections.abc import Callable

import defopt
from catkintiller_operator import render

from .. import plot
from . import deployments, policies, simulation

BASELINE_S = 4.0
SURGE_S = 8.0
RECOVERY_S = 6.0
DURATION_S = BASELINE_S + SURGE_S + RECOVERY_S
RECOVERED_RATIO = 0.95

POLICY_FACTORIES: tuple[Callable[[], policies.Policy], ...] = (
    policies.NoControl,
    policies.QueueOnly,
    lambda: policies.FullControl(simulation.NODE_COUNT),
)


def build_load_profile(surge: float) -> deployments.LoadProfile:
    """Builds a profile of usual load, a surge, and usual load again.

    :param surge: factor on the usual load during the surge.
    """
    return deployments.LoadProfile(
        ((BASELINE_S, 1.0), (BASELINE_S + SURGE_S, surge), (DURATION_S, 1.0)),
    )


def compute_in_target_ratio(outcomes: list[simulation.RootOutcome], kind: str) -> float:
    """Computes the ratio of requests of a kind that were served in target."""
    requests = [outcome for outcome in outcomes if outcome.kind == kind]
    return sum(outcome.in_target for outcome in requests) / max(1, len(requests))


def get_surge_outcomes(result: simulation.RunResult) -> list[simulation.RootOutcome]:
    """Returns the outcomes of root requests that were sent during the surge."""
    return [
        o for o in result.outcomes if BASELINE_S <= o.sent_at_s < BASELINE_S + SURGE_S
    ]


def compute_recovery_s(outcomes: list[simulation.RootOutcome]) -> float | None:
    """Computes the time from the end of the surge until the load is served again.

    That is the case once at least ``RECOVERED_RATIO`` of the requests are served in
    each later bin of ``plot.BIN_S`` seconds.

    :returns: seconds; ``None`` if that is not reached by the end of the run.
    """
    recovered_at_s = None
    for index in range(int(DURATION_S / plot.BIN_S)):
        start_s = index * plot.BIN_S
        if start_s < BASELINE_S + SURGE_S:
            continue
        bin_outcomes = [
            o for o in outcomes if start_s <= o.sent_at_s < start_s + plot.BIN_S
        ]
        served_ratio = sum(o.served for o in bin_outcomes) / max(1, len(bin_outcomes))
        if bin_outcomes and served_ratio < RECOVERED_RATIO:
            recovered_at_s = start_s + plot.BIN_S
    if recovered_at_s is None:
        return 0.0
    return (
        None if recovered_at_s >= DURATION_S else recovered_at_s - BASELINE_S - SURGE_S
    )


def compute_curve(result: simulation.RunResult) -> list[float]:
    """Computes responses in target per second, in bins by the time of sending."""
    bins = [0.0] * int(DURATION_S / plot.BIN_S)
    for outcome in result.outcomes:
        index = int(outcome.sent_at_s / plot.BIN_S)
        if outcome.in_target and index < len(bins):
            bins[index] += 1.0 / plot.BIN_S
    return bins


def run_experiment(
    deployment: deployments.Deployment,
    surge: float,
    seeds: int,
    folder: pathlib.Path | None,
) -> list[list[object]]:
    """Runs each policy with several seeds.

    :param folder: folder for plots of the first seed, ``None`` for no plots.
    :returns: a row of medians for each policy.
    """
    kinds = [kind.name for kind in deployment.kinds if kind.rate_per_s]
    rows: list[list[object]] = []
    curves: dict[str, list[float]] = {}
    for create_policy in POLICY_FACTORIES:
        results = [
            simulation.Simulation(
                deployment, create_policy(), build_load_profile(surge), seed
            ).run(DURATION_S)
            for seed in range(1, seeds + 1)
        ]
        name = create_policy().name
        curves[name] = compute_curve(results[0])
        ratios = [
            statistics.median(
                compute_in_target_ratio(get_surge_outcomes(result), kind)
                for result in results
            )
            for kind in kinds
        ]
        wasted_ratio = statistics.median(
            result.work_s[False] / max(1e-9, sum(result.work_s.values()))
            for result in results
        )
        recovery_times_s = [compute_recovery_s(result.outcomes) for result in results]
        recovery_text = (
            "never"
            if None in recovery_times_s
            else f"{statistics.median(recovery_times_s):.1f}"
        )
        rows.append(
            [
                deployment.name,
                name,
                *(f"{ratio:.2f}" for ratio in ratios),
                f"{wasted_ratio:.1%}",
                recovery_text,
            ]
        )
    if folder is not None:
        file = str(folder / f"emulated-{deployment.name}-{surge:g}x.svg")
        plot.write_plot(
            file, f"{deployment.name}, {surge:g}x", curves, BASELINE_S, SURGE_S
        )
    return rows


def main(*, surge: float = 2.0, seeds: int = 3, plots: str = "") -> None:
    """Compare overload-control policies under a surge of load.

    :param surge: factor on the usual load.
    :param seeds: number of runs of each policy.
    :param plots: folder for plots; if it is empty, no plots are written.
    """
    for deployment in deployments.DEPLOYMENTS.values():
        kinds = [kind.name for kind in deployment.kinds if kind.rate_per_s]
        columns = ["deployment", "arm", *kinds, "wasted", "recovery s"]
        folder = pathlib.Path(plots) if plots else None
        render.print_table(columns, run_experiment(deployment, surge, seeds, folder))
        print()


if __name__ == "__main__":
    defopt.run(main)
