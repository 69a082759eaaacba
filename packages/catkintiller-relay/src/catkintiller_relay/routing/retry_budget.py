"""Bounds how often requests are sent to a second endpoint, over all nodes.

Each node keeps its repeats of the last window below a share of its first sendings
in that window. The sum over nodes therefore stays below the same share of all
requests, without any talk between nodes, and a node that restarts begins with
nothing. Who draws on the share may use only a part of it, see :class:`Claim`: when
much fails, repeats go first to those that gain most by them.
"""

import collections
import enum

SAFE_SHARE = 0.85
BUCKETS = 10


class BudgetShare(enum.Enum):
    """Part of the share up to which a kind of request may draw.

    A repeat of a single request of a client helps at once. A chain of calls needs all
    of its calls, so it gains less, and the most important chains come first.
    """

    CLIENT = 1.0
    IMPORTANT_CALL = 0.85
    CALL = 0.25


class RetryBudget:
    """Repeats of one node for one service.

    :param ratio: repeats that the deployment allows for each request.
    :param window_s: time over which the ratio holds.
    """

    def __init__(self, ratio: float, window_s: float) -> None:
        self._ratio = ratio * SAFE_SHARE
        self._bucket_s = window_s / BUCKETS
        self._buckets: collections.deque[list[float]] = collections.deque()
        self._first = 0.0
        self._repeats = 0.0

    def record_request(self, now: float) -> None:
        """Counts the first sending of a request."""
        self._roll(now)[1] += 1.0
        self._first += 1.0

    def allows_retry(self, now: float, cost: float, claim: BudgetShare) -> bool:
        """Tells whether further sendings are within the bound.

        :param cost: sendings, those of the request's calls included.
        """
        self._roll(now)
        return self._repeats + cost <= self._ratio * claim.value * self._first

    def get_remaining_retries(self, now: float) -> float:
        """Gets the further sendings that are within the bound."""
        self._roll(now)
        return max(0.0, self._ratio * self._first - self._repeats)

    def record_retry(self, now: float, cost: float) -> None:
        """Counts further sendings."""
        self._roll(now)[2] += cost
        self._repeats += cost

    def _roll(self, now: float) -> list[float]:
        number = int(now / self._bucket_s)
        buckets = self._buckets
        while buckets and buckets[0][0] <= number - BUCKETS:
            _, first, repeats = buckets.popleft()
            self._first -= first
            self._repeats -= repeats
        if not buckets or buckets[-1][0] != number:
            buckets.append([number, 0.0, 0.0])
        return buckets[-1]
