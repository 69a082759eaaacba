"""Tracks the ratio of requests that failed at an endpoint recently.

Covers endpoints that lose a few responses in a hundred and endpoints that reject half
of their requests. The ratio gives the number of requests that must be sent for one that
succeeds, so the selection of an endpoint can weigh it. A count of failures would grow
with the load instead.
"""

HALF_LIFE_S = 2.0
SMOOTHING_RATIO = 0.05
FAILED_WEIGHT = 1.0
SERVER_ERROR_WEIGHT = 0.3  # may be caused by a downstream call
SUCCESS_WEIGHT = 0.0


class FailureTracker:
    """Failure ratio of one endpoint, decaying while no request is sent there."""

    def __init__(self) -> None:
        self._ratio = 0.0
        self._updated_at = 0.0

    def get_ratio(self, now: float) -> float:
        """Returns the ratio, 0 to 1."""
        if self._ratio == 0.0:
            return 0.0
        return self._ratio * 0.5 ** ((now - self._updated_at) / HALF_LIFE_S)

    def record(self, now: float, failure_weight: float) -> None:
        """Updates the moving average with one result.

        :param failure_weight: 0 for a success, 1 for a failure of the endpoint itself.
        """
        ratio = self.get_ratio(now)
        self._ratio = ratio + SMOOTHING_RATIO * (failure_weight - ratio)
        self._updated_at = now
