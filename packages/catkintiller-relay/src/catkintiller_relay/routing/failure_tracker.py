"""Share of the requests that failed at an endpoint lately.

Load it answers: an endpoint that loses a few answers in a hundred, or rejects half of
what it gets. The share says how many requests must be sent for one that succeeds, so
the choice of an endpoint can weigh it; a count of failures would grow with the load.
"""

HALF_LIFE_S = 2.0
STEP = 0.05
FAILED = 1.0
SERVER_ERROR = 0.3  # may come from a call further down
SERVED = 0.0


class FailureTracker:
    """Failures of one endpoint; they fade while nothing is sent there."""

    def __init__(self) -> None:
        self._share = 0.0
        self._at = 0.0

    def get(self, now: float) -> float:
        """Gets the share, 0 to 1."""
        if self._share == 0.0:
            return 0.0
        return self._share * 0.5 ** ((now - self._at) / HALF_LIFE_S)

    def note(self, now: float, failed: float) -> None:
        """Folds in one result.

        :param failed: 0 for a success, 1 for a failure that the endpoint caused.
        """
        share = self.get(now)
        self._share = share + STEP * (failed - share)
        self._at = now
