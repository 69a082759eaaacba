"""Tokens of one customer that nodes wanted and did not get."""

MAX_AGE_S = 0.4  # nodes ask again sooner while requests wait


class ShortageTable:
    """The last shortage of each node, and their sum."""

    def __init__(self) -> None:
        # In the order of the last report.
        self._shortages: dict[str, tuple[float, int]] = {}
        self._total = 0

    def record(self, now: float, sender: str, count: int) -> None:
        """Replaces the shortage of a node.

        :param now: time in seconds.
        :param sender: address of the node.
        """
        _, previous = self._shortages.pop(sender, (0.0, 0))
        self._total += count - previous
        if count:
            self._shortages[sender] = (now, count)

    def get_total(self, now: float) -> int:
        """Returns the sum of the recent shortages."""
        while self._shortages:
            sender = next(iter(self._shortages))
            if now - self._shortages[sender][0] <= MAX_AGE_S:
                break
            self._total -= self._shortages.pop(sender)[1]
        return self._total
