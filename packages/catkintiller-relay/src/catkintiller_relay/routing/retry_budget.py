"""Limits the rate of retries over all nodes.

Each node keeps its retries within a sliding window below a ratio of the first attempts
that it sent in that window. The sum over all nodes therefore stays below the same ratio
of all requests without any coordination between nodes. A node that restarts begins with
an empty budget. When many attempts fail, the retries go first to the requests that
benefit most, see :class:`Precedence`.

Handles a service whose endpoints all reject half of their requests, while some requests
make several nested calls there.
"""

import collections
import enum

SAFETY_RATIO = 0.85
BUCKET_COUNT = 10
# Retries that are kept for each preceding request; it needs one on average if half of
# the attempts are rejected.
RESERVED_RETRIES = 1.0


class Precedence(enum.IntEnum):
    """Order in which requests may use up the retry budget.

    Requests of the highest rank come first, their nested calls included. The retry of
    another root request is of use by itself, while a request with nested calls needs
    all of these calls to succeed, so the retry of one of them gains less.
    """

    HIGHEST_RANK = 0
    ROOT_REQUEST = 1
    NESTED_CALL = 2


# Part of the budget that requests may use up however many precede them.
MIN_BUDGET_SHARES = {
    Precedence.HIGHEST_RANK: 1.0,
    Precedence.ROOT_REQUEST: 0.5,
    Precedence.NESTED_CALL: 0.25,
}


class Bucket:
    """Counts of one part of the window.

    :ivar first_attempts: first attempts by precedence.
    """

    __slots__ = ("first_attempts", "number", "retries")

    def __init__(self, number: int) -> None:
        self.number = number
        self.first_attempts = [0] * len(Precedence)
        self.retries = 0.0


class RetryBudget:
    """Retry budget of one node for one service.

    :param ratio: retries that the deployment allows for each request.
    :param window_s: length of the sliding window in seconds.
    """

    def __init__(self, ratio: float, window_s: float) -> None:
        self._ratio = ratio * SAFETY_RATIO
        self._bucket_s = window_s / BUCKET_COUNT
        self._buckets: collections.deque[Bucket] = collections.deque()
        self._first_attempts = [0] * len(Precedence)
        self._retries = 0.0

    def record_first_attempt(self, now: float, precedence: Precedence) -> None:
        """Counts the first attempt of a request."""
        self._advance(now).first_attempts[precedence] += 1
        self._first_attempts[precedence] += 1

    def allows_retry(self, now: float, cost: float, precedence: Precedence) -> bool:
        """Returns whether a retry stays within the budget.

        :param cost: number of requests that the retry causes at the service.
        :param precedence: precedence of the request.
        """
        self._advance(now)
        limit = self._get_limit()
        preceding_count = sum(self._first_attempts[:precedence])
        limit = max(
            limit * MIN_BUDGET_SHARES[precedence],
            limit - RESERVED_RETRIES * preceding_count,
        )
        return self._retries + cost <= limit

    def get_remaining_retries(self, now: float) -> float:
        """Returns the number of retries that are left in the budget."""
        self._advance(now)
        return max(0.0, self._get_limit() - self._retries)

    def record_retry(self, now: float, cost: float) -> None:
        """Charges a retry to the budget.

        :param cost: number of requests that the retry causes at the service.
        """
        self._advance(now).retries += cost
        self._retries += cost

    def _get_limit(self) -> float:
        return self._ratio * sum(self._first_attempts)

    def _advance(self, now: float) -> Bucket:
        """Drops the buckets that left the window and returns the current one."""
        number = int(now / self._bucket_s)
        buckets = self._buckets
        while buckets and buckets[0].number <= number - BUCKET_COUNT:
            dropped = buckets.popleft()
            for precedence, count in enumerate(dropped.first_attempts):
                self._first_attempts[precedence] -= count
            self._retries -= dropped.retries
        if not buckets or buckets[-1].number != number:
            buckets.append(Bucket(number))
        return buckets[-1]
