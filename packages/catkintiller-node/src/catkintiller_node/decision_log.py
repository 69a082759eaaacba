"""The decision log: a line for each routing, admission or retry decision.

The lines per second are bounded. Decisions beyond the bound are counted, and the
next line that is written carries the count as ``left_out``.
"""

import logging

logger = logging.getLogger("catkintiller.decision")


class DecisionLog:
    """Writes decision lines, with a bound on the rate of each part.

    :param max_lines_per_s: largest number of lines per second for each part.
    """

    def __init__(self, max_lines_per_s: int) -> None:
        self._max_lines_per_s = max_lines_per_s
        self._second = 0
        self._written_count: dict[str, int] = {}
        self._left_out_count: dict[str, int] = {}

    def write(self, now: float, part: str, decision: str, **fields: object) -> None:
        """Writes one decision, or counts it if the bound is reached.

        :param part: prefix of the line, such as ``route`` or ``admit``.
        :param fields: the figures behind the decision, written as JSON keys.
        """
        if int(now) != self._second:
            self._second = int(now)
            self._written_count.clear()
        written = self._written_count.get(part, 0)
        if written >= self._max_lines_per_s:
            self._left_out_count[part] = self._left_out_count.get(part, 0) + 1
            return
        self._written_count[part] = written + 1
        left_out = self._left_out_count.pop(part, 0)
        if left_out:
            fields["left_out"] = left_out
        logger.info("%s: %s", part, decision, extra={"part": part, **fields})
