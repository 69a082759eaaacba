"""Plays a surge under several ways of control and prints what callers get.

Run it with ``make experiment``.
"""

import pathlib
import statistics
from collections.abc import Callable

import defopt
from catkintiller_operator import render

from .. import plot
from . import deployments, policies, simulation

CALM_S = 4.0
SURGE_S = 8.0
AFTER_S = 6.0
SECONDS = CALM_S + SURGE_S + AFTER_S
RECOVERED_SHARE = 0.95

ARMS: tuple[Callable[[], policies.Arm], ...] = (
    policies.NoControl,
    policies.QueueOnly,
    lambda: policies.Relay(simulation.NODES),
)


def make_load(surge: float) -> deployments.Load:
    """Makes a calm time, a surge, and a calm time again."""
    return deployments.Load(
        ((CALM_S, 1.0), (CALM_S + SURGE_S, surge), (SECONDS, 1.0)),
    )


def compute_share(outcomes: list[simulation.Outcome], kind: str) -> float:
    """Computes the share of a kind that was served in its target time."""
    asked = [one for one in outcomes if one.kind == kind]
    return sum(one.in_target for one in asked) / max(1, len(asked))


def get_surge(result: simulation.Result) -> list[simulation.Outcome]:
    """Gets the outcomes of requests that were sent in the surge."""
    return [o for o in result.outcomes if CALM_S <= o.sent < CALM_S + SURGE_S]


def compute_recovery_s(outcomes: list[simulation.Outcome]) -> float | None:
    """Computes the time after the surge until each half second is well served."""
    bad = None
    for index in range(int(SECONDS / plot.BIN_S)):
        start = index * plot.BIN_S
        if start < CALM_S + SURGE_S:
            continue
        sent = [o for o in outcomes if start <= o.sent < start + plot.BIN_S]
        share = sum(o.served for o in sent) / max(1, len(sent))
        if sent and share < RECOVERED_SHARE:
            bad = start + plot.BIN_S
    if bad is None:
        return 0.0
    return None if bad >= SECONDS else bad - CALM_S - SURGE_S


def compute_curve(result: simulation.Result) -> list[float]:
    """Computes answers in target time a second, by the time of sending."""
    bins = [0.0] * int(SECONDS / plot.BIN_S)
    for outcome in result.outcomes:
        index = int(outcome.sent / plot.BIN_S)
        if outcome.in_target and index < len(bins):
            bins[index] += 1.0 / plot.BIN_S
    return bins


def run_experiment(
    form: deployments.Shape, surge: float, seeds: int, folder: pathlib.Path | None
) -> list[list[object]]:
    """Plays every arm with some seeds; a row of medians for each arm.

    :param folder: where plots of the first seed go; None for no plots.
    """
    kinds = [kind.name for kind in form.kinds if kind.rate]
    rows: list[list[object]] = []
    curves: dict[str, list[float]] = {}
    for make_arm in ARMS:
        results = [
            simulation.Model(form, make_arm(), make_load(surge), seed).run(SECONDS)
            for seed in range(1, seeds + 1)
        ]
        name = make_arm().name
        curves[name] = compute_curve(results[0])
        shares = [
            statistics.median(compute_share(get_surge(r), kind) for r in results)
            for kind in kinds
        ]
        wasted = statistics.median(
            r.work_s[False] / max(1e-9, sum(r.work_s.values())) for r in results
        )
        back = [compute_recovery_s(r.outcomes) for r in results]
        late = "never" if None in back else f"{statistics.median(back):.1f}"
        rows.append(
            [form.name, name, *(f"{s:.2f}" for s in shares), f"{wasted:.1%}", late]
        )
    if folder is not None:
        file = str(folder / f"emulated-{form.name}-{surge:g}x.svg")
        plot.write_plot(file, f"{form.name}, {surge:g}x", curves, CALM_S, SURGE_S)
    return rows


def main(*, surge: float = 2.0, seeds: int = 3, plots: str = "") -> None:
    """Compare ways of control under a surge.

    :param surge: factor on the usual load.
    :param seeds: runs of each arm.
    :param plots: folder for plots; none are drawn if it is empty.
    """
    for form in deployments.SHAPES.values():
        kinds = [kind.name for kind in form.kinds if kind.rate]
        columns = ["deployment", "arm", *kinds, "wasted", "recovery s"]
        folder = pathlib.Path(plots) if plots else None
        render.print_table(columns, run_experiment(form, surge, seeds, folder))
        print()


if __name__ == "__main__":
    defopt.run(main)
