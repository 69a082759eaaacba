"""Limits the rate of retries over all nodes.

Each node keeps its retries within a sliding window below a ratio of the first attempts
that it sent in that window. The sum over all nodes therefore stays below the same ratio
of all requests without any coordination between nodes. A node that restarts begins with
an empty budget. Each kind of request may use only a part of the budget, see
:class:`BudgetShare`: when many attempts fail, the retries go first to the requests that
benefit most.
"""

import collections
import enum

SAFETY_RATIO = 0.85
BUCKET_COUNT = 10


class BudgetShare(enum.Enum):
    """Part of the retry budget that a kind of request may use up.

    Requests of the highest rank come first, their nested calls included. The retry of
    another root request is of use by itself, while a request with nested calls needs
    all of these calls to succeed, so the retry of one of them gains less.
    """

    HIGHEST_RANK = 1.0
    ROOT_REQUEST = 0.5
    NESTED_CALL = 0.25


class RetryBudget:
    """Retry budget of one node for one service.

    :param ratio: retries that the deployment allows for each request.
    :param window_s: length of the sliding window in seconds.
    """

    def __init__(self, ratio: float, window_s: float) -> None:
        self._ratio = ratio * SAFETY_RATIO
        self._bucket_s = window_s / BUCKET_COUNT
        self._buckets: collections.deque[list[float]] = collections.deque()
        self._first_attempts = 0.0
        self._retries = 0.0

    def record_first_attempt(self, now: float) -> None:
        """Counts the first attempt of a request."""
        self._advance(now)[1] += 1.0
        self._first_attempts += 1.0

    def allows_retry(self, now: float, cost: float, share: BudgetShare) -> bool:
        """Returns whether a retry stays within the budget.

        :param cost: number of requests that the retry causes at the service.
        :param share: part of the budget that the request may use up.
        """
        self._advance(now)
        return self._retries + cost <= self._ratio * share.value * self._first_attempts

    def get_remaining_retries(self, now: float) -> float:
        """Returns the number of retries that are left in the budget."""
        self._advance(now)
        return max(0.0, self._ratio * self._first_attempts - self._retries)

    def record_retry(self, now: float, cost: float) -> None:
        """Charges a retry to the budget.

        :param cost: number of requests that the retry causes at the service.
        """
        self._advance(now)[2] += cost
        self._retries += cost

    def _advance(self, now: float) -> list[float]:
        """Drops the buckets that left the window and returns the current one.

        A bucket holds its number, its first attempts and its retries.
        """
        bucket_number = int(now / self._bucket_s)
        buckets = self._buckets
        while buckets and buckets[0][0] <= bucket_number - BUCKET_COUNT:
            _, first_attempts, retries = buckets.popleft()
            self._first_attempts -= first_attempts
            self._retries -= retries
        if not buckets or buckets[-1][0] != bucket_number:
            buckets.append([bucket_number, 0.0, 0.0])
        return buckets[-1]
