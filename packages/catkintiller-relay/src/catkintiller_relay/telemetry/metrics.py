"""Counters, gauges and latencies of a node, in the Prometheus text format."""

from collections.abc import Mapping

from hdrh import histogram

MIN_LATENCY_US = 1
MAX_LATENCY_US = 60_000_000
SIGNIFICANT_DIGIT_COUNT = 2
SIGNIFICANT_BIT_COUNT = 8  # resolution of the histogram for two significant digits
QUANTILES = (0.5, 0.9, 0.99, 0.999)

Series = tuple[str, str]


class Metrics:
    """Metrics by name and labels.

    Labels are given in the text format, such as ``service="a",reason="b"``. Latencies
    are counted by their rounded value and added to the histograms when they are read.
    """

    def __init__(self) -> None:
        self._counters: dict[Series, float] = {}
        self._gauges: dict[Series, float] = {}
        self._latencies: dict[Series, histogram.HdrHistogram] = {}
        self._new_latencies: dict[Series, dict[int, int]] = {}

    def count(self, name: str, labels: str = "", amount: float = 1) -> None:
        """Adds an amount to a counter."""
        key = (name, labels)
        self._counters[key] = self._counters.get(key, 0) + amount

    def set_gauge(self, name: str, labels: str, value: float) -> None:
        """Sets the value of a gauge."""
        self._gauges[name, labels] = value

    def replace_gauges(self, name: str, values: Mapping[str, float]) -> None:
        """Sets the values of a gauge by labels and drops those with other labels."""
        for key in [key for key in self._gauges if key[0] == name]:
            del self._gauges[key]
        for labels, value in values.items():
            self._gauges[name, labels] = value

    def record_latency(self, name: str, labels: str, seconds: float) -> None:
        """Records a latency in seconds, clamped to the range of the histogram."""
        key = (name, labels)
        counts = self._new_latencies.get(key)
        if counts is None:
            counts = self._new_latencies[key] = {}
        latency_us = round_latency_us(int(seconds * 1e6))
        counts[latency_us] = counts.get(latency_us, 0) + 1

    def format_text(self) -> str:
        """Formats all metrics as text."""
        lines = []
        for (name, labels), value in sorted(self._counters.items()):
            lines.append(f"catkintiller_{name}_total{_format_labels(labels)} {value:g}")
        for (name, labels), value in sorted(self._gauges.items()):
            lines.append(f"catkintiller_{name}{_format_labels(labels)} {value:g}")
        self._add_new_latencies()
        for (name, labels), latencies in sorted(self._latencies.items()):
            lines.extend(_format_latency(name, labels, latencies))
        return "\n".join(lines) + "\n"

    def _add_new_latencies(self) -> None:
        for key, counts in self._new_latencies.items():
            latencies = self._latencies.get(key)
            if latencies is None:
                latencies = histogram.HdrHistogram(
                    MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGIT_COUNT
                )
                self._latencies[key] = latencies
            for latency_us, count in counts.items():
                latencies.record_value(latency_us, count)
        self._new_latencies.clear()


def round_latency_us(latency_us: int) -> int:
    """Clamps a latency to the range of the histogram and rounds it down.

    :returns: the lowest latency that the histogram does not tell apart from this one.
    """
    if latency_us < MIN_LATENCY_US:
        return MIN_LATENCY_US
    if latency_us > MAX_LATENCY_US:
        latency_us = MAX_LATENCY_US
    shift = latency_us.bit_length() - SIGNIFICANT_BIT_COUNT
    return latency_us >> shift << shift if shift > 0 else latency_us


def escape_label(value: str) -> str:
    """Escapes the value of a label that may have any characters."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def _format_labels(labels: str) -> str:
    return f"{{{labels}}}" if labels else ""


def _format_latency(
    name: str, labels: str, latencies: histogram.HdrHistogram
) -> list[str]:
    lines = []
    comma = "," if labels else ""
    for quantile in QUANTILES:
        seconds = latencies.get_value_at_percentile(100 * quantile) / 1e6
        tags = f'{labels}{comma}quantile="{quantile:g}"'
        lines.append(f"catkintiller_{name}_seconds{{{tags}}} {seconds:g}")
    total = latencies.get_total_count()
    lines.append(f"catkintiller_{name}_seconds_count{_format_labels(labels)} {total}")
    return lines
