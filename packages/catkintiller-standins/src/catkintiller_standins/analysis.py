"""Compares the results that clients received with the ledgers of the endpoints.

The functions take the results of the load generator and the records of the ledgers,
and compute figures of a run or the violations of promises in it.
"""

import collections
import statistics
from typing import NamedTuple

import msgspec

from . import load

BUCKET_S = 0.25
RECOVERED_RATIO = 0.95


class KindFigures(NamedTuple):
    """Outcomes of one kind of root request in one stage.

    :param shed: requests that were refused as not run.
    :param goodput_per_s: complete responses in time, per second.
    """

    service: str
    kind: str
    stage: str
    sent: int
    complete: int
    shed: int
    late: int
    other: int
    goodput_per_s: float
    p50_ms: float
    p99_ms: float


class Violation(NamedTuple):
    """A violation of a promise, with the evidence."""

    promise: str
    evidence: str


class RunFigures(NamedTuple):
    """Figures of a run over all kinds and stages.

    :param wasted_ratio: share of the endpoints' time that was spent on root requests
        without a complete response in time.
    """

    root_requests: int
    executions: int
    retries_per_root: float
    max_retries: int
    max_executions_per_key: int
    wasted_ratio: float


def read_ledger_file(file: str) -> list[dict]:
    """Reads the records of one ledger; an incomplete last line is ignored."""
    with open(file, "rb") as stream:
        lines = stream.read().split(b"\n")
    return [msgspec.json.decode(line) for line in lines[:-1]]


def compute_kind_figures(
    results: list[load.RootResult], stages: tuple[load.Stage, ...]
) -> list[KindFigures]:
    """Computes outcomes and latencies by service, kind and stage."""
    groups: dict[tuple[str, str, str], list[load.RootResult]] = {}
    for result in results:
        key = (result.service, result.kind, result.stage)
        groups.setdefault(key, []).append(result)
    stage_order = [stage.name for stage in stages]
    stage_durations_s = {stage.name: stage.seconds for stage in stages}
    figures = []
    for key in sorted(groups, key=lambda k: (k[0], k[1], stage_order.index(k[2]))):
        group = groups[key]
        outcomes = collections.Counter(result.outcome for result in group)
        latencies_ms = sorted(r.latency_ms for r in group if r.outcome == "whole") or [
            0.0
        ]
        shed = outcomes["no"]
        complete, late = outcomes["whole"], outcomes["late"]
        figures.append(
            KindFigures(
                *key,
                len(group),
                complete,
                shed,
                late,
                len(group) - complete - late - shed,
                complete / stage_durations_s[key[2]],
                statistics.median(latencies_ms),
                latencies_ms[int(len(latencies_ms) * 0.99) - 1],
            )
        )
    return figures


def compute_recovery_s(
    results: list[load.RootResult], before: str, after: str
) -> float | None:
    """Computes the time from the start of a stage until goodput has recovered.

    :param before: stage whose share of complete responses is the baseline.
    :param after: stage that begins when the overload's trigger ends.
    :returns: seconds from which on every bucket reaches ``RECOVERED_RATIO`` of the
        baseline, ``None`` if the last bucket does not.
    """
    baseline_ratio = _compute_complete_ratio([r for r in results if r.stage == before])
    after_results = [result for result in results if result.stage == after]
    if not after_results:
        return None
    started_at_s = min(result.sent_s for result in after_results)
    buckets: dict[int, list[load.RootResult]] = {}
    for result in after_results:
        buckets.setdefault(int((result.sent_s - started_at_s) / BUCKET_S), []).append(
            result
        )
    degraded_buckets = [
        index
        for index, group in buckets.items()
        if _compute_complete_ratio(group) < RECOVERED_RATIO * baseline_ratio
    ]
    if not degraded_buckets:
        return 0.0
    return (
        None
        if max(degraded_buckets) == max(buckets)
        else (max(degraded_buckets) + 1) * BUCKET_S
    )


def compute_run_figures(
    results: list[load.RootResult], records: list[dict]
) -> RunFigures:
    """Computes executions, retries and wasted time over a run."""
    complete = {r.trace for r in results if r.outcome == "whole"}
    starts = [record for record in records if record["event"] == "start"]
    execution_counts = count_executions(records)
    extra_executions: collections.Counter[str] = collections.Counter()
    for (trace, _, _), count in execution_counts.items():
        extra_executions[trace] += count - 1
    key_counts = collections.Counter(
        (record["key"], record["service"], record["path"])
        for record in starts
        if record["key"]
    )
    total_ms = sum(record["ms"] for record in records)
    wasted_ms = sum(
        record["ms"] for record in records if record["trace"] not in complete
    )
    return RunFigures(
        len(results),
        len(starts),
        sum(extra_executions.values()) / max(1, len(results)),
        max(extra_executions.values(), default=0),
        max(key_counts.values(), default=0),
        wasted_ms / total_ms if total_ms else 0.0,
    )


def count_executions(records: list[dict]) -> collections.Counter[tuple[str, str, str]]:
    """Counts executions by trace, service and path."""
    return collections.Counter(
        (record["trace"], record["service"], record["path"])
        for record in records
        if record["event"] == "start"
    )


def find_violations(
    results: list[load.RootResult],
    records: list[dict],
    unrepeatable: set[tuple[str, str]],
    retries: int,
) -> list[Violation]:
    """Finds the violations of promises in a run.

    :param unrepeatable: service and path of the kinds executed at most once.
    :param retries: retry budget of a root request, per attempt of its client.
    """
    execution_counts = count_executions(records)
    violations = []
    for (trace, service, path), count in execution_counts.items():
        if (service, path) in unrepeatable and count > 1:
            evidence = f"{service}{path} ran {count} times in trace {trace}"
            violations.append(Violation("at most once", evidence))
    executed = {(trace, service) for trace, service, _ in execution_counts}
    extra_executions: collections.Counter[str] = collections.Counter()
    for (trace, _, _), count in execution_counts.items():
        extra_executions[trace] += count - 1
    for result in results:
        if result.reported_not_run and (result.trace, result.service) in executed:
            evidence = (
                f"{result.trace} ran but was refused as not run ({result.reason})"
            )
            violations.append(Violation("refused means not run", evidence))
        if result.outcome == "wrong":
            violations.append(
                Violation("whole answers", f"{result.trace} got a wrong body")
            )
        if (
            extra_executions[result.trace]
            > retries * result.attempts + result.attempts - 1
        ):
            evidence = (
                f"{result.trace}: {extra_executions[result.trace]} extra executions"
            )
            violations.append(Violation("bounded retries", evidence))
    return violations


def _compute_complete_ratio(results: list[load.RootResult]) -> float:
    complete = sum(result.outcome == "whole" for result in results)
    return complete / len(results) if results else 0.0
