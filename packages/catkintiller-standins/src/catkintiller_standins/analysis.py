"""Compares what callers were told with what endpoints recorded.

Each function takes the callers' results and the endpoints' ledger lines and
returns plain figures or the promises that broke.
"""

import collections
import statistics
from typing import NamedTuple

import msgspec

from . import load

BUCKET_S = 0.25
RECOVERED_SHARE = 0.95


class KindFigures(NamedTuple):
    """Outcomes of one kind of root request in one stage."""

    service: str
    kind: str
    stage: str
    sent: int
    whole: int
    shed: int
    late: int
    other: int
    goodput: float
    p50_ms: float
    p99_ms: float


class Broken(NamedTuple):
    """A promise that did not hold, with the evidence."""

    promise: str
    evidence: str


class RunFigures(NamedTuple):
    """Figures of a whole run."""

    roots: int
    runs: int
    retries_per_root: float
    most_retries: int
    most_runs_per_key: int
    wasted_share: float


def read_lines(file: str) -> list[dict]:
    """Reads the lines of one endpoint's ledger; a cut last line is left out."""
    with open(file, "rb") as stream:
        lines = stream.read().split(b"\n")
    return [msgspec.json.decode(line) for line in lines[:-1]]


def compute_kinds(
    results: list[load.RootResult], stages: tuple[load.Stage, ...]
) -> list[KindFigures]:
    """Computes the outcomes by kind and stage."""
    groups: dict[tuple[str, str, str], list[load.RootResult]] = {}
    for result in results:
        key = (result.service, result.kind, result.stage)
        groups.setdefault(key, []).append(result)
    order = [stage.name for stage in stages]
    seconds = {stage.name: stage.seconds for stage in stages}
    figures = []
    for key in sorted(groups, key=lambda k: (k[0], k[1], order.index(k[2]))):
        found = groups[key]
        outcomes = collections.Counter(result.outcome for result in found)
        times = sorted(r.latency_ms for r in found if r.outcome == "whole") or [0.0]
        shed = outcomes["no"]
        whole, late = outcomes["whole"], outcomes["late"]
        figures.append(
            KindFigures(
                *key,
                len(found),
                whole,
                shed,
                late,
                len(found) - whole - late - shed,
                whole / seconds[key[2]],
                statistics.median(times),
                times[int(len(times) * 0.99) - 1],
            )
        )
    return figures


def compute_recovery(
    results: list[load.RootResult], before: str, after: str
) -> float | None:
    """Computes the time from the start of a stage until goodput is back.

    :param before: stage whose share of whole answers is the earlier level.
    :param after: stage that begins when the overload's trigger ends.
    :returns: seconds until every later bucket is back at the level, ``None`` if
        the last one is not.
    """
    level = _get_whole_share([r for r in results if r.stage == before])
    later = [result for result in results if result.stage == after]
    if not later:
        return None
    began = min(result.sent for result in later)
    buckets: dict[int, list[load.RootResult]] = {}
    for result in later:
        buckets.setdefault(int((result.sent - began) / BUCKET_S), []).append(result)
    bad = [
        index
        for index, found in buckets.items()
        if _get_whole_share(found) < RECOVERED_SHARE * level
    ]
    if not bad:
        return 0.0
    return None if max(bad) == max(buckets) else (max(bad) + 1) * BUCKET_S


def compute_run(results: list[load.RootResult], lines: list[dict]) -> RunFigures:
    """Computes executions, retries and waste over a whole run."""
    whole = {r.trace for r in results if r.outcome == "whole"}
    starts = [line for line in lines if line["event"] == "start"]
    per_call = count_starts(lines)
    extra: collections.Counter[str] = collections.Counter()
    for (trace, _, _), count in per_call.items():
        extra[trace] += count - 1
    keyed = collections.Counter(
        (line["key"], line["service"], line["path"]) for line in starts if line["key"]
    )
    spent = sum(line["ms"] for line in lines)
    wasted = sum(line["ms"] for line in lines if line["trace"] not in whole)
    return RunFigures(
        len(results),
        len(starts),
        sum(extra.values()) / max(1, len(results)),
        max(extra.values(), default=0),
        max(keyed.values(), default=0),
        wasted / spent if spent else 0.0,
    )


def count_starts(lines: list[dict]) -> collections.Counter[tuple[str, str, str]]:
    """Counts executions by trace, service and path."""
    return collections.Counter(
        (line["trace"], line["service"], line["path"])
        for line in lines
        if line["event"] == "start"
    )


def find_broken(
    results: list[load.RootResult],
    lines: list[dict],
    unrepeatable: set[tuple[str, str]],
    retries: int,
) -> list[Broken]:
    """Finds promises that did not hold.

    :param unrepeatable: service and path of the kinds that run at most once.
    :param retries: retry budget of a root request.
    """
    starts = count_starts(lines)
    broken = []
    for (trace, service, path), count in starts.items():
        if (service, path) in unrepeatable and count > 1:
            evidence = f"{service}{path} ran {count} times for {trace}"
            broken.append(Broken("at most once", evidence))
    ran = {(trace, service) for trace, service, _ in starts}
    extra: collections.Counter[str] = collections.Counter()
    for (trace, _, _), count in starts.items():
        extra[trace] += count - 1
    for result in results:
        if result.ran_no and (result.trace, result.service) in ran:
            evidence = f"{result.trace} was refused as not run ({result.reason})"
            broken.append(Broken("refused means not run", evidence))
        if result.outcome == "wrong":
            broken.append(Broken("whole answers", f"{result.trace} got another body"))
        if extra[result.trace] > retries * result.tries + result.tries - 1:
            evidence = f"{result.trace}: {extra[result.trace]} executions too many"
            broken.append(Broken("bounded retries", evidence))
    return broken


def _get_whole_share(results: list[load.RootResult]) -> float:
    whole = sum(result.outcome == "whole" for result in results)
    return whole / len(results) if results else 0.0
