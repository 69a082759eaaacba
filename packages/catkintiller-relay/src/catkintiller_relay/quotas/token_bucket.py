"""Token buckets whose fill rate follows the part of the quota that a node may grant.

The part changes whenever a member starts or stops following the node, and a bucket is
only brought up to date when its customer has traffic. The parts since the node became
coordinator are therefore kept, and each bucket replays those that it has missed.
"""

import math
from collections.abc import Iterator
from typing import NamedTuple

# A bucket holds at least what it gains between two requests of the same node, also if
# the burst is smaller.
MIN_DEPTH_S = 0.1
# Depth beyond the burst. It makes up for tokens that some nodes hold while requests at
# others need them, so that a customer that uses its whole quota is not refused. The
# factor and the slack of the quota rule include it.
EXTRA_DEPTH_RATIO = 0.1
EXTRA_DEPTH_TOKENS = 5.0
# A bucket of a small part of a quota would never hold one whole token. The sum of what
# it may hold in addition is at most this number of tokens over all coordinators.
SUMMED_DEPTH_ALLOWANCE = 10.0
MAX_SPAN_COUNT = 64
MAX_DELAY_S = 5.0
_TOLERANCE = 1e-6


class Span(NamedTuple):
    """Time during which the node may grant the same part of each quota.

    :param started_at: time in seconds.
    :param share: part of each quota, from 0 to 1.
    """

    started_at: float
    share: float


class ShareHistory:
    """The parts of the quotas that this node was allowed to grant."""

    def __init__(self) -> None:
        self._spans: list[Span] = []

    @property
    def share(self) -> float:
        """Part of each quota that the node may grant now, from 0 to 1."""
        return self._spans[-1].share if self._spans else 0.0

    def record(self, now: float, share: float) -> None:
        """Records a new part.

        :param now: time in seconds, not before that of the last call.
        """
        if share == self.share:
            return
        self._spans.append(Span(now, share))
        if len(self._spans) > MAX_SPAN_COUNT:
            # The lower of two parts stands for both, so that nothing is gained by it.
            pairs = zip(self._spans[:-1:2], self._spans[1:-1:2], strict=False)
            merged = [
                Span(first.started_at, min(first.share, second.share))
                for first, second in pairs
            ]
            self._spans = [*merged, *self._spans[2 * len(merged) :]]

    def get_age_s(self, now: float) -> float:
        """Returns for how long the node has had a part of the quotas, in seconds."""
        started_at = now
        for span in reversed(self._spans):
            if not span.share:
                break
            started_at = span.started_at
        return now - started_at

    def replay(self, since: float, now: float) -> Iterator[tuple[float, float]]:
        """Yields the duration in seconds and the part of each span, oldest first."""
        first = max(0, len(self._spans) - 1)
        while first and self._spans[first].started_at > since:
            first -= 1
        for index in range(first, len(self._spans)):
            span = self._spans[index]
            is_last = index + 1 == len(self._spans)
            ended_at = now if is_last else self._spans[index + 1].started_at
            elapsed_s = ended_at - max(since, span.started_at)
            if elapsed_s > 0:
                yield elapsed_s, span.share


class TokenBucket:
    """Tokens of one customer; begins empty.

    :param rate_per_s: tokens per second of the whole quota.
    :param burst: depth of the bucket for the whole quota, in tokens.
    """

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = 0.0
        self._updated_at = float("-inf")

    @property
    def level(self) -> float:
        """Number of tokens, with fractions."""
        return self._level

    def set_quota(
        self, now: float, history: ShareHistory, rate_per_s: float, burst: float
    ) -> None:
        """Changes the quota; what exceeds the new depth is lost at once."""
        self.refill(now, history)
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._level = min(self._level, self._compute_depth(history.share))

    def refill(self, now: float, history: ShareHistory) -> None:
        """Adds the tokens since the last call.

        :param now: time in seconds.
        """
        for elapsed_s, share in history.replay(self._updated_at, now):
            gained = self._rate_per_s * share * elapsed_s
            depth = self._compute_depth(share)
            self._level = min(depth, self._level + gained)
        self._updated_at = max(self._updated_at, now)

    def take(self, wanted: int) -> int:
        """Takes whole tokens and returns their number, at most ``wanted``."""
        taken = max(0, min(wanted, math.floor(self._level + _TOLERANCE)))
        self._level = max(0.0, self._level - taken)
        return taken

    def put_back(self, count: int, share: float) -> None:
        """Adds tokens that a node did not use, as far as the depth allows."""
        self._level = min(self._compute_depth(share), self._level + count)

    def get_delay_s(self, count: float, share: float) -> float:
        """Returns the time until so many tokens are available, in seconds, limited."""
        rate_per_s = self._rate_per_s * share
        missing = count - self._level
        if missing <= 0:
            return 0.0
        if rate_per_s * MAX_DELAY_S <= missing:
            return MAX_DELAY_S
        return missing / rate_per_s

    def _compute_depth(self, share: float) -> float:
        burst = (1.0 + EXTRA_DEPTH_RATIO) * self._burst
        burst = max(burst, MIN_DEPTH_S * self._rate_per_s)
        allowance = min(1.0, SUMMED_DEPTH_ALLOWANCE * share)
        return max((burst + EXTRA_DEPTH_TOKENS) * share, allowance)
