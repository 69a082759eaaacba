"""Prints the figures and violations of a run."""

from catkintiller_operator import render

from . import analysis, load


def print_run(
    name: str,
    results: list[load.RootResult],
    records: list[dict],
    stages: tuple[load.Stage, ...],
    latencies: dict[str, list],
) -> None:
    """Prints the outcomes by kind and stage, and the figures of the run.

    :param latencies: count, p50 and p99 in ms by ``name service kind``, as in
        the status of a node.
    """
    columns = ["service", "kind", "stage", "sent", "whole", "shed", "late", "other"]
    columns += ["whole/s", "p50 ms", "p99 ms"]
    rows = [
        [
            *figure[:8],
            f"{figure.goodput_per_s:.1f}",
            *(f"{ms:.1f}" for ms in figure[9:]),
        ]
        for figure in analysis.compute_kind_figures(results, stages)
    ]
    print(f"\n{name}")
    render.print_table(columns, rows)
    figures = analysis.compute_run_figures(results, records)
    recovery_s = analysis.compute_recovery_s(results, stages[0].name, stages[-1].name)
    recovery_text = (
        "not within the run" if recovery_s is None else f"{recovery_s:.2f} s"
    )
    print(
        f"root requests {figures.root_requests}, executions {figures.executions}, "
        f"retries per root request {figures.retries_per_root:.4f} (max "
        f"{figures.max_retries}), max executions per key "
        f"{figures.max_executions_per_key}"
    )
    print(
        f"endpoint time spent on failed root requests {figures.wasted_ratio:.1%}, "
        f"goodput back at 95% after {recovery_text}"
    )
    count, p50, p99 = merge_latencies(latencies)
    print(
        f"latency added by the first node: p50 {p50:.2f} ms, p99 {p99:.2f} ms ({count})"
    )


def print_violations(violations: list[analysis.Violation]) -> int:
    """Prints the violations and returns the exit status of the command."""
    for promise, evidence in violations:
        print(f"VIOLATION: {promise}: {evidence}")
    print(f"{len(violations)} violations" if violations else "no violations")
    return 1 if violations else 0


def merge_latencies(latencies: dict[str, list]) -> tuple[int, float, float]:
    """Merges the added latencies of all kinds: count, p50 and p99 in ms.

    The p50 is the mean weighted by the counts, the p99 the maximum, since the samples
    themselves are not available.
    """
    added = [figure for name, figure in latencies.items() if name.startswith("added")]
    count = sum(figure[0] for figure in added)
    if not count:
        return 0, 0.0, 0.0
    p50 = sum(figure[0] * figure[1] for figure in added) / count
    return count, p50, max(figure[2] for figure in added)
