"""Latency histograms and counters of one node, for ``/-/metrics`` and ``/-/status``."""

import collections
from typing import NamedTuple

from hdrh import histogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGIT_COUNT = 2
PERCENTILES = (50.0, 99.0)


class LatencySummary(NamedTuple):
    """Quantiles of one latency, in milliseconds."""

    count: int
    p50_ms: float
    p99_ms: float


class Metrics:
    """Histograms and counters by name, service and label."""

    def __init__(self) -> None:
        self._histograms: dict[tuple[str, str, str], histogram.HdrHistogram] = {}
        self._counts: collections.Counter[tuple[str, str, str]] = collections.Counter()

    def record_latency_ms(
        self, name: str, service: str, label: str, value: float
    ) -> None:
        """Records a latency in milliseconds."""
        key = (name, service, label)
        latencies = self._histograms.get(key)
        if latencies is None:
            latencies = histogram.HdrHistogram(
                MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGIT_COUNT
            )
            self._histograms[key] = latencies
        latencies.record_value(
            max(MIN_LATENCY_US, min(MAX_LATENCY_US, int(value * 1000)))
        )

    def increment(self, name: str, service: str, label: str, amount: int = 1) -> None:
        """Adds to a counter."""
        self._counts[name, service, label] += amount

    def get_count(self, name: str) -> int:
        """Returns a counter's sum over services and labels."""
        return sum(n for key, n in self._counts.items() if key[0] == name)

    def summarize(self) -> dict[str, LatencySummary]:
        """Returns a summary of each latency, by ``name service label``."""
        return {
            " ".join(key): LatencySummary(
                latencies.get_total_count(),
                *(latencies.get_value_at_percentile(q) / 1000 for q in PERCENTILES),
            )
            for key, latencies in sorted(self._histograms.items())
        }

    def format_prometheus(self) -> str:
        """Formats all counters and latencies in the Prometheus text format."""
        lines = []
        for (name, service, label), count in sorted(self._counts.items()):
            labels = f'service="{service}",label="{label}"'
            lines.append(f"catkintiller_{name}_total{{{labels}}} {count}")
        for (name, service, label), latencies in sorted(self._histograms.items()):
            labels = f'service="{service}",label="{label}"'
            for percentile in PERCENTILES:
                value_s = latencies.get_value_at_percentile(percentile) / 1_000_000
                lines.append(
                    f"catkintiller_{name}_seconds{{{labels},"
                    f'quantile="{percentile / 100:g}"}} {value_s:g}'
                )
            lines.append(
                f"catkintiller_{name}_seconds_count{{{labels}}} "
                f"{latencies.get_total_count()}"
            )
        return "\n".join(lines) + "\n"
