"""Limits on the requests that work at an endpoint at once.

A request that waits for a call of its own does not work, and the time of such
calls is not counted. So a slow service does not shrink the limits of the ones
that call it.
"""

import abc

MIN_LIMIT = 2
WINDOW_S = 0.1
MIN_SAMPLES = 4
BUSY_SHARE = 0.8
CALM_SHARE = 0.5
FALL_WEIGHT = 0.05
CALM_RISE_WEIGHT = 0.01
TOLERANCE = {"goodput": 2.0, "recovery": 1.5}
DECREASE = 0.85
TRIAL_WINDOWS = 4
TRIAL_GAIN = 0.8


class Limiter(abc.ABC):
    """Gives the number of requests that may work at once."""

    @property
    @abc.abstractmethod
    def limit(self) -> int:
        """The present limit."""

    @abc.abstractmethod
    def record(
        self, now: float, kind: str, work_s: float, failed: bool, working: int
    ) -> None:
        """Takes the outcome of one request into account.

        :param work_s: time at the endpoint without the request's own calls.
        :param working: requests that worked when this one ended, itself included.
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
        self, now: float, kind: str, work_s: float, failed: bool, working: int
    ) -> None:
        """Ignores the outcome."""


class AdaptiveLimiter(Limiter):
    """Raises the limit while work takes its usual time, else lowers it.

    The usual time of each kind of request is learned: it follows shorter times
    at once, and longer ones slowly and only while the endpoint is calm. If some
    windows of a lower limit did not shorten the times, the cause is not the load:
    the limit is restored and the longer times become the usual ones.

    :param slots: the largest limit.
    :param favour: ``goodput`` or ``recovery``; sets how far times may rise.
    """

    def __init__(self, slots: int, favour: str) -> None:
        self._slots = slots
        self._tolerance = TOLERANCE[favour]
        self._limit = float(max(MIN_LIMIT, slots // 2))
        self._usual_s: dict[str, float] = {}
        self._started: float | None = None
        self._total_ratio = 0.0
        self._samples = 0
        self._failures = 0
        self._peak = 0
        self._slow_windows = 0
        self._limit_before = self._limit
        self._ratio_before = 1.0

    @property
    def limit(self) -> int:
        """The present limit, at least ``MIN_LIMIT`` and at most the slots."""
        return max(1, min(self._slots, int(self._limit)))

    def record(
        self, now: float, kind: str, work_s: float, failed: bool, working: int
    ) -> None:
        """Adds a sample and adjusts the limit once for each window."""
        if self._started is None:
            self._started = now
        usual_s = self._learn(kind, work_s, working)
        self._total_ratio += work_s / usual_s
        self._samples += 1
        self._failures += failed
        self._peak = max(self._peak, working)
        if now - self._started >= WINDOW_S and self._samples >= MIN_SAMPLES:
            self._adjust()
            self._started = now
            self._total_ratio = 0.0
            self._samples = self._failures = self._peak = 0

    def _learn(self, kind: str, work_s: float, working: int) -> float:
        work_s = max(work_s, 1e-6)
        usual_s = self._usual_s.get(kind, work_s)
        if work_s < usual_s:
            weight = FALL_WEIGHT
        elif working <= self._limit * CALM_SHARE:
            weight = CALM_RISE_WEIGHT
        else:
            weight = 0.0
        usual_s += weight * (work_s - usual_s)
        self._usual_s[kind] = usual_s
        return usual_s

    def _adjust(self) -> None:
        ratio = self._total_ratio / self._samples
        failing = self._failures * 2 > self._samples
        if ratio > self._tolerance and not failing:
            self._try_lower(ratio)
            return
        self._slow_windows = 0
        if failing:
            self._limit = max(MIN_LIMIT, self._limit * DECREASE)
        elif self._peak >= self._limit * BUSY_SHARE:
            self._limit = min(self._slots, self._limit + max(1, self._limit**0.5))

    def _try_lower(self, ratio: float) -> None:
        """Lowers the limit, or undoes that if it did not help."""
        if self._slow_windows == 0:
            self._limit_before = self._limit
            self._ratio_before = ratio
        self._slow_windows += 1
        if self._slow_windows <= TRIAL_WINDOWS:
            self._limit = max(MIN_LIMIT, self._limit * DECREASE)
            return
        if ratio > self._ratio_before * TRIAL_GAIN:
            self._limit = self._limit_before
            self._usual_s = {k: usual * ratio for k, usual in self._usual_s.items()}
        self._slow_windows = 0


def build_limiter(concurrency: str, slots: int, favour: str) -> Limiter:
    """Makes the limiter that the setting ``concurrency`` names."""
    if concurrency == "adaptive":
        return AdaptiveLimiter(slots, favour)
    return StaticLimiter(slots if concurrency == "static" else UNLIMITED)


UNLIMITED = 1_000_000
