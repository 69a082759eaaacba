"""Bounds on retries: a budget for each chain and a ratio for each service.

The budget of a root request is a number of executions beyond the first. It is
never copied: a call takes a share of what its parent holds and an answer brings
back what it left over, so that all shares of a chain together never exceed the
root's budget. A share whose answer is lost stays lost.
"""

RATIO_BURST = 10.0


class RetryBudget:
    """The retries that one call still holds for itself and its child calls."""

    def __init__(self, retries: int) -> None:
        self._remaining = max(0, retries)

    @property
    def remaining(self) -> int:
        """Retries not spent and not lent."""
        return self._remaining

    def reserve_share(self) -> int:
        """Takes out the share for a child call: the larger half.

        A child that runs alone gives back what it did not spend, so the half
        only binds children that run at the same time.
        """
        share = (self._remaining + 1) // 2
        self._remaining -= share
        return share

    def reserve_all_but(self, kept: int) -> int:
        """Takes out the share for an attempt that leaves ``kept`` retries here."""
        share = max(0, self._remaining - kept)
        self._remaining -= share
        return share

    def refund(self, share: int, returned: int) -> None:
        """Takes back what an answer returns, never more than was lent."""
        self._remaining += max(0, min(share, returned))

    def spend(self) -> bool:
        """Spends one retry, if there is one."""
        if not self._remaining:
            return False
        self._remaining -= 1
        return True


class RetryTokenBucket:
    """Lets retries be at most a share of successes, with a small burst."""

    def __init__(self) -> None:
        self._tokens = RATIO_BURST

    def record_success(self, ratio: float) -> None:
        """Earns a part of a retry."""
        self._tokens = min(RATIO_BURST, self._tokens + ratio)

    def has_token(self) -> bool:
        """Tells whether one retry is covered."""
        return self._tokens >= 1

    def spend(self) -> None:
        """Spends one retry."""
        self._tokens -= 1
