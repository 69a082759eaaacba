"""Bounds how often requests are sent to a second endpoint, over all nodes.

Each node earns a fraction of a token with each first sending to a service, and
pays one token for each further sending. Tokens expire with the window. The sum
over nodes therefore stays below the ratio of all requests, without any talk
between nodes, and a node that restarts begins with nothing.
"""

EARN_SHARE = 0.5
MAX_TOKENS = 20.0


class RetryBudget:
    """Tokens of one node for one service.

    :param ratio: repeats that the deployment allows for each request.
    :param window_s: time over which the ratio holds.
    """

    def __init__(self, ratio: float, window_s: float) -> None:
        self._earn = ratio * EARN_SHARE
        self._window_s = window_s
        self._tokens = 0.0
        self._updated = 0.0

    @property
    def tokens(self) -> float:
        """Repeats that are allowed now."""
        return self._tokens

    def earn(self, now: float) -> None:
        """Counts the first sending of a request."""
        self._decay(now)
        self._tokens = min(MAX_TOKENS, self._tokens + self._earn)

    def spend(self, now: float, cost: float = 1.0) -> bool:
        """Pays for a further sending; False if it is not allowed.

        :param cost: sendings that follow, those of the request's calls included.
        """
        self._decay(now)
        if self._tokens < cost:
            return False
        self._tokens -= cost
        return True

    def _decay(self, now: float) -> None:
        passed = now - self._updated
        self._updated = now
        self._tokens *= max(0.0, 1.0 - passed / self._window_s)
