"""Holds the requests to the local endpoint below the rate limit that it names.

All requests for an endpoint pass through the node beside it, so that one token bucket
there bounds their sum over all nodes. The bucket is small, also after an idle time, so
that the rate holds over short windows, too.
"""

BURST_S = 0.1
# Responses tell when a limit ends, so that a limit of 0 needs a request now and then.
MIN_RATE_PER_S = 0.25
_TOKEN_TOLERANCE = 1e-6


def compute_usable_slots(
    concurrency_limit: int, rate_limit: float | None, service_time_s: float
) -> float:
    """Computes how many slots of an endpoint its rate limit lets it use on average.

    :param rate_limit: requests per second; None if it has no limit.
    :param service_time_s: average time for which a request holds a slot, in seconds.
    """
    if rate_limit is None:
        return float(concurrency_limit)
    return min(float(concurrency_limit), rate_limit * service_time_s)


class NamedRateLimit:
    """Rate limit that the responses of an endpoint name.

    Responses do not arrive in the order in which they were made. A stricter limit is
    in force at once. A looser one, or none, is taken only from a response to a request
    that was sent after the stricter one had become known.
    """

    def __init__(self) -> None:
        self._limit: float | None = None
        self._named_at = float("-inf")
        self._is_known = False

    @property
    def limit(self) -> float | None:
        """Limit in force in requests per second; None if there is none."""
        return self._limit

    @property
    def is_known(self) -> bool:
        """Whether this start of the endpoint has sent a response to this node."""
        return self._is_known

    def apply(self, now: float, sent_at: float, limit: float | None) -> None:
        """Applies what a response says.

        :param now: time of the event loop, in seconds.
        :param sent_at: time of the event loop when its request was sent, in seconds.
        :param limit: requests per second; None if the response names no limit.
        """
        self._is_known = True
        is_looser = self._limit is not None and (limit is None or limit > self._limit)
        if is_looser and sent_at < self._named_at:
            return
        self._limit = limit
        if limit is not None:
            self._named_at = now

    def clear(self) -> None:
        """Drops what is known because another endpoint has started."""
        self._limit = None
        self._named_at = float("-inf")
        self._is_known = False


class RateLimiter:
    """Token bucket; without a rate it lets everything pass."""

    def __init__(self) -> None:
        self._rate: float | None = None
        self._tokens = 0.0
        self._updated_at = 0.0

    @property
    def rate(self) -> float | None:
        """Requests per second that pass; None if it is not limited."""
        return self._rate

    def set_rate(self, now: float, limit: float | None) -> None:
        """Sets the rate; a bucket that was not limited before begins empty.

        :param limit: requests per second; None for no limit.
        """
        if limit is None:
            self._rate = None
            self._tokens = 0.0
            return
        if self._rate is not None:
            self._refill(now)
        self._rate = max(MIN_RATE_PER_S, limit)
        self._tokens = min(self._tokens, self._burst)
        self._updated_at = now

    def allows(self, now: float) -> bool:
        """Returns whether a request may pass now."""
        if self._rate is None:
            return True
        self._refill(now)
        return self._tokens >= 1.0 - _TOKEN_TOLERANCE

    def get_delay_s(self, now: float, ahead_count: int = 0) -> float:
        """Returns the time until a request may pass, in seconds; 0 if it may now.

        :param ahead_count: number of requests that pass before it.
        """
        if self._rate is None:
            return 0.0
        self._refill(now)
        return max(0.0, (ahead_count + 1.0 - self._tokens) / self._rate)

    def take(self, now: float) -> None:
        """Counts a request that passes."""
        if self._rate is not None:
            self._refill(now)
            self._tokens -= 1.0

    @property
    def _burst(self) -> float:
        return max(1.0, self._rate * BURST_S)

    def _refill(self, now: float) -> None:
        gained = (now - self._updated_at) * self._rate
        self._tokens = min(self._burst, self._tokens + gained)
        self._updated_at = now
