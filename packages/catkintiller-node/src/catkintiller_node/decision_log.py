"""The decision log: a line for each routing, admission or placement decision.

At high rates the lines of a second are bounded; each further decision is counted,
and the count is on the next line that is written.
"""

import logging

logger = logging.getLogger("catkintiller.decision")


class DecisionLog:
    """Writes decision lines, at most so many a second for each part.

    :param lines: the bound in lines a second and part.
    """

    def __init__(self, lines: int) -> None:
        self._lines = lines
        self._second = 0
        self._written: dict[str, int] = {}
        self._left_out: dict[str, int] = {}

    def write(self, now: float, part: str, decision: str, **figures: object) -> None:
        """Writes one decision.

        :param part: prefix of the line, such as ``route`` or ``admit``.
        :param figures: the figures that decided it.
        """
        if int(now) != self._second:
            self._second = int(now)
            self._written.clear()
        written = self._written.get(part, 0)
        if written >= self._lines:
            self._left_out[part] = self._left_out.get(part, 0) + 1
            return
        self._written[part] = written + 1
        left_out = self._left_out.pop(part, 0)
        if left_out:
            figures["left_out"] = left_out
        logger.info("%s: %s", part, decision, extra={"part": part, **figures})
