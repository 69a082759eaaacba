"""Limits on the requests that run at an endpoint at once."""

import abc

MIN_LIMIT = 2
WINDOW_S = 0.1
MIN_SAMPLES = 4
BASELINE_WINDOWS = 600
TOLERANCE = {"goodput": 2.0, "recovery": 1.5}
DECREASE = 0.85


class Limiter(abc.ABC):
    """Gives the number of requests that may run at once."""

    @property
    @abc.abstractmethod
    def limit(self) -> int:
        """The present limit."""

    @abc.abstractmethod
    def record(
        self, now: float, latency_s: float, failed: bool, in_flight: int
    ) -> None:
        """Takes the outcome of one request into account.

        :param in_flight: requests that ran when this one ended, itself included.
        """


class StaticLimiter(Limiter):
    """A limit that never changes."""

    def __init__(self, slots: int) -> None:
        self._slots = slots

    @property
    def limit(self) -> int:
        """The configured slots."""
        return self._slots

    def record(
        self, now: float, latency_s: float, failed: bool, in_flight: int
    ) -> None:
        """Ignores the outcome."""


class AdaptiveLimiter(Limiter):
    """Raises the limit while latency stays near its floor, else lowers it.

    The floor is the lowest mean latency of the newest windows. It is forgotten
    after ``BASELINE_WINDOWS`` windows so that a lasting change of the work is
    learned.

    :param slots: the largest limit.
    :param favour: ``goodput`` or ``recovery``; sets how far latency may rise.
    """

    def __init__(self, slots: int, favour: str) -> None:
        self._slots = slots
        self._tolerance = TOLERANCE[favour]
        self._limit = float(max(MIN_LIMIT, slots // 2))
        self._floor_s = 0.0
        self._windows = 0
        self._started: float | None = None
        self._total_s = 0.0
        self._samples = 0
        self._failures = 0
        self._peak = 0

    @property
    def limit(self) -> int:
        """The present limit, at least ``MIN_LIMIT`` and at most the slots."""
        return max(MIN_LIMIT, min(self._slots, int(self._limit)))

    def record(
        self, now: float, latency_s: float, failed: bool, in_flight: int
    ) -> None:
        """Adds a sample and adjusts the limit once for each window."""
        if self._started is None:
            self._started = now
        self._total_s += latency_s
        self._samples += 1
        self._failures += failed
        self._peak = max(self._peak, in_flight)
        if now - self._started >= WINDOW_S and self._samples >= MIN_SAMPLES:
            self._adjust(self._total_s / self._samples)
            self._started = now
            self._total_s = 0.0
            self._samples = self._failures = self._peak = 0

    def _adjust(self, mean_s: float) -> None:
        self._windows += 1
        if not self._floor_s or self._windows > BASELINE_WINDOWS:
            self._floor_s = mean_s
            self._windows = 0
        self._floor_s = min(self._floor_s, mean_s)
        failing = self._failures * 2 > self._samples
        if failing or mean_s > self._floor_s * self._tolerance:
            self._limit = max(MIN_LIMIT, self._limit * DECREASE)
        elif self._peak >= self._limit * 0.8:
            self._limit = min(self._slots, self._limit + max(1, self._limit**0.5))


def make_limiter(concurrency: str, slots: int, favour: str) -> Limiter:
    """Makes the limiter that the setting ``concurrency`` names."""
    if concurrency == "adaptive":
        return AdaptiveLimiter(slots, favour)
    return StaticLimiter(slots if concurrency == "static" else 1_000_000)
