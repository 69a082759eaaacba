"""Counters, levels and latencies of one node in the text format of metrics servers."""

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 60_000_000
DIGITS = 2
QUANTILES = (0.5, 0.9, 0.99, 0.999)

Series = tuple[str, str]


class Metrics:
    """Figures by name and labels; labels are such as ``service="a",reason="b"``."""

    def __init__(self) -> None:
        self._counts: dict[Series, float] = {}
        self._levels: dict[Series, float] = {}
        self._latencies: dict[Series, histogram.HdrHistogram] = {}

    def count(self, name: str, labels: str = "", amount: float = 1) -> None:
        """Adds to a counter."""
        key = (name, labels)
        self._counts[key] = self._counts.get(key, 0) + amount

    def set_gauge(self, name: str, labels: str, value: float) -> None:
        """Sets a figure that may fall as well as rise."""
        self._levels[name, labels] = value

    def record_latency(self, name: str, labels: str, seconds: float) -> None:
        """Records a latency."""
        key = (name, labels)
        found = self._latencies.get(key)
        if found is None:
            found = histogram.HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
            self._latencies[key] = found
        found.record_value(max(LOWEST_US, min(HIGHEST_US, int(seconds * 1e6))))

    def format_text(self) -> str:
        """Writes all figures."""
        lines = []
        for (name, labels), value in sorted(self._counts.items()):
            lines.append(f"catkintiller_{name}_total{_in_braces(labels)} {value:g}")
        for (name, labels), value in sorted(self._levels.items()):
            lines.append(f"catkintiller_{name}{_in_braces(labels)} {value:g}")
        for (name, labels), found in sorted(self._latencies.items()):
            lines.extend(_format_latency(name, labels, found))
        return "\n".join(lines) + "\n"


def _in_braces(labels: str) -> str:
    return f"{{{labels}}}" if labels else ""


def _format_latency(name: str, labels: str, found: histogram.HdrHistogram) -> list[str]:
    lines = []
    comma = "," if labels else ""
    for quantile in QUANTILES:
        seconds = found.get_value_at_percentile(100 * quantile) / 1e6
        tags = f'{labels}{comma}quantile="{quantile:g}"'
        lines.append(f"catkintiller_{name}_seconds{{{tags}}} {seconds:g}")
    total = found.get_total_count()
    lines.append(f"catkintiller_{name}_seconds_count{_in_braces(labels)} {total}")
    return lines
