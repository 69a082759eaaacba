"""Limits on retries: a budget for each root request and a ratio for each service.

The retry budget of a root request is the number of executions beyond the first. It
is divided, never copied: a nested call reserves a share of its parent's budget, and
the unused part is refunded with the response. All shares of a root request therefore
never add up to more than its budget. If a response is lost, its share is not refunded.
"""

MAX_RETRY_TOKENS = 10.0


class RetryBudget:
    """Remaining retries of one call and of its nested calls."""

    def __init__(self, retries: int) -> None:
        self._remaining = max(0, retries)

    @property
    def remaining(self) -> int:
        """Number of retries that are neither spent nor reserved."""
        return self._remaining

    def reserve_share(self) -> int:
        """Reserves the larger half for a nested call and returns its size.

        Unused retries are refunded when a nested call ends, so this only restricts
        nested calls that run concurrently.
        """
        share = (self._remaining + 1) // 2
        self._remaining -= share
        return share

    def reserve_all_but(self, kept_count: int) -> int:
        """Reserves all but ``kept_count`` retries for an attempt; returns the count."""
        share = max(0, self._remaining - kept_count)
        self._remaining -= share
        return share

    def refund(self, share: int, returned: int) -> None:
        """Adds the unused retries of a share, at most as many as were reserved.

        :param share: number of retries that were reserved.
        :param returned: number of unused retries according to the response.
        """
        self._remaining += max(0, min(share, returned))

    def spend(self) -> bool:
        """Spends one retry if one remains and returns whether it did."""
        if not self._remaining:
            return False
        self._remaining -= 1
        return True


class RetryTokenBucket:
    """Token bucket that limits retries to a ratio of the successful calls.

    It starts full with ``MAX_RETRY_TOKENS`` tokens, which allows a small burst.
    """

    def __init__(self) -> None:
        self._tokens = MAX_RETRY_TOKENS

    def record_success(self, ratio: float) -> None:
        """Adds ``ratio`` tokens for a successful call."""
        self._tokens = min(MAX_RETRY_TOKENS, self._tokens + ratio)

    def has_token(self) -> bool:
        """Returns whether there is a token for one retry."""
        return self._tokens >= 1

    def spend(self) -> None:
        """Removes the token for one retry."""
        self._tokens -= 1
