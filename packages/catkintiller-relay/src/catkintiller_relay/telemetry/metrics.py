"""Counters of one node in the text format that metrics servers read."""

BUCKETS_MS = (1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000)


class Metrics:
    """Counters and latencies by name and labels."""

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], float] = {}
        self._buckets: dict[tuple[str, str], list[int]] = {}

    def count(self, name: str, labels: str = "", amount: float = 1) -> None:
        """Adds to a counter.

        :param labels: such as ``service="a",reason="b"``.
        """
        key = (name, labels)
        self._counts[key] = self._counts.get(key, 0) + amount

    def record_s(self, name: str, labels: str, seconds: float) -> None:
        """Records a latency."""
        key = (name, labels)
        buckets = self._buckets.get(key)
        if buckets is None:
            buckets = self._buckets[key] = [0] * (len(BUCKETS_MS) + 1)
        value = seconds * 1000
        for index, bound in enumerate(BUCKETS_MS):
            if value <= bound:
                buckets[index] += 1
                return
        buckets[-1] += 1

    def format_text(self) -> str:
        """Writes all figures."""
        lines = []
        for (name, labels), value in sorted(self._counts.items()):
            tags = f"{{{labels}}}" if labels else ""
            lines.append(f"catkintiller_{name}_total{tags} {value:g}")
        for (name, labels), buckets in sorted(self._buckets.items()):
            lines.extend(_format_buckets(name, labels, buckets))
        return "\n".join(lines) + "\n"


def _format_buckets(name: str, labels: str, buckets: list[int]) -> list[str]:
    lines = []
    total = 0
    comma = "," if labels else ""
    for bound, count in zip(BUCKETS_MS, buckets, strict=False):
        total += count
        tags = f'{{{labels}{comma}le="{bound / 1000:g}"}}'
        lines.append(f"catkintiller_{name}_seconds_bucket{tags} {total}")
    total += buckets[-1]
    tags = f'{{{labels}{comma}le="+Inf"}}'
    lines.append(f"catkintiller_{name}_seconds_bucket{tags} {total}")
    lines.append(f"catkintiller_{name}_seconds_count{{{labels}}} {total}")
    return lines
