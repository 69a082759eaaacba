"""Limits on the concurrency of an endpoint.

A request that waits for a nested call does not count towards the concurrency, and the
time of nested calls is excluded from the latency. A slow service therefore does not
reduce the limits of the services that call it.
"""

import abc

MIN_LIMIT = 2
WINDOW_S = 0.1
MIN_SAMPLE_COUNT = 4
HIGH_UTILIZATION_RATIO = 0.8
LOW_UTILIZATION_RATIO = 0.5
BASELINE_DECREASE_WEIGHT = 0.05
BASELINE_INCREASE_WEIGHT = 0.01
MAX_LATENCY_RATIO = {"goodput": 2.0, "recovery": 1.5}
LIMIT_DECREASE_RATIO = 0.85
TRIAL_WINDOW_COUNT = 4
TRIAL_SUCCESS_RATIO = 0.8


class Limiter(abc.ABC):
    """Determines how many requests may work at an endpoint at once."""

    @property
    @abc.abstractmethod
    def limit(self) -> int:
        """Current limit."""

    @abc.abstractmethod
    def record(
        self, now: float, kind: str, work_s: float, failed: bool, working: int
    ) -> None:
        """Records the outcome of one request.

        :param now: current time, in seconds.
        :param kind: kind of request.
        :param work_s: time at the endpoint without nested calls, in seconds.
        :param failed: whether the request failed.
        :param working: number of requests that worked at the endpoint, and did not
            wait for a nested call, when this one ended, itself included.
        """


class StaticLimiter(Limiter):
    """Limiter with a constant limit."""

    def __init__(self, slots: int) -> None:
        self._slots = slots

    @property
    def limit(self) -> int:
        """The configured number of slots."""
        return self._slots

    def record(
        self, now: float, kind: str, work_s: float, failed: bool, working: int
    ) -> None:
        """Ignores the outcome."""


class AdaptiveLimiter(Limiter):
    """Limiter that raises the limit while latency is near its baseline.

    The limit is raised only in a window in which utilization was high, and is lowered
    if more than half of the requests of a window fail.

    If the mean ratio of latency to baseline in a window exceeds a maximum, the limit
    is lowered. Each kind of request has a baseline: a moving average that follows
    shorter latencies at any time, and longer ones more slowly and only while
    utilization is low. If a lower limit does not reduce the latency within
    ``TRIAL_WINDOW_COUNT`` windows, the load is not the cause: the limit is restored
    and the longer latencies become the baseline.

    :param slots: the largest limit.
    :param favour: ``goodput`` or ``recovery``; selects the maximum latency ratio.
    """

    def __init__(self, slots: int, favour: str) -> None:
        self._slots = slots
        self._max_latency_ratio = MAX_LATENCY_RATIO[favour]
        self._limit = float(max(MIN_LIMIT, slots // 2))
        self._baseline_s: dict[str, float] = {}
        self._window_started_at: float | None = None
        self._total_ratio = 0.0
        self._sample_count = 0
        self._failure_count = 0
        self._peak_working_count = 0
        self._slow_window_count = 0
        self._limit_before_trial = self._limit
        self._ratio_before_trial = 1.0

    @property
    def limit(self) -> int:
        """Current limit, from ``MIN_LIMIT`` to the number of slots."""
        return max(1, min(self._slots, int(self._limit)))

    def record(
        self, now: float, kind: str, work_s: float, failed: bool, working: int
    ) -> None:
        """Records a sample and adjusts the limit once in each window."""
        if self._window_started_at is None:
            self._window_started_at = now
        baseline_s = self._update_baseline(kind, work_s, working)
        self._total_ratio += work_s / baseline_s
        self._sample_count += 1
        self._failure_count += failed
        self._peak_working_count = max(self._peak_working_count, working)
        if (
            now - self._window_started_at >= WINDOW_S
            and self._sample_count >= MIN_SAMPLE_COUNT
        ):
            self._adjust_limit()
            self._window_started_at = now
            self._total_ratio = 0.0
            self._sample_count = self._failure_count = self._peak_working_count = 0

    def _update_baseline(self, kind: str, work_s: float, working: int) -> float:
        work_s = max(work_s, 1e-6)
        baseline_s = self._baseline_s.get(kind, work_s)
        if work_s < baseline_s:
            weight = BASELINE_DECREASE_WEIGHT
        elif working <= self._limit * LOW_UTILIZATION_RATIO:
            weight = BASELINE_INCREASE_WEIGHT
        else:
            weight = 0.0
        baseline_s += weight * (work_s - baseline_s)
        self._baseline_s[kind] = baseline_s
        return baseline_s

    def _adjust_limit(self) -> None:
        latency_ratio = self._total_ratio / self._sample_count
        is_failing = self._failure_count * 2 > self._sample_count
        if latency_ratio > self._max_latency_ratio and not is_failing:
            self._lower_or_restore_limit(latency_ratio)
            return
        self._slow_window_count = 0
        if is_failing:
            self._limit = max(MIN_LIMIT, self._limit * LIMIT_DECREASE_RATIO)
        elif self._peak_working_count >= self._limit * HIGH_UTILIZATION_RATIO:
            self._limit = min(self._slots, self._limit + max(1, self._limit**0.5))

    def _lower_or_restore_limit(self, latency_ratio: float) -> None:
        """Lowers the limit, or restores it if lowering it did not reduce latency."""
        if self._slow_window_count == 0:
            self._limit_before_trial = self._limit
            self._ratio_before_trial = latency_ratio
        self._slow_window_count += 1
        if self._slow_window_count <= TRIAL_WINDOW_COUNT:
            self._limit = max(MIN_LIMIT, self._limit * LIMIT_DECREASE_RATIO)
            return
        if latency_ratio > self._ratio_before_trial * TRIAL_SUCCESS_RATIO:
            self._limit = self._limit_before_trial
            self._baseline_s = {
                k: baseline * latency_ratio for k, baseline in self._baseline_s.items()
            }
        self._slow_window_count = 0


def build_limiter(concurrency: str, slots: int, favour: str) -> Limiter:
    """Builds the limiter that the setting ``concurrency`` selects.

    :param concurrency: ``adaptive``, ``static`` or ``off``.
    :param slots: the largest limit.
    :param favour: ``goodput`` or ``recovery``, for the adaptive limiter.
    """
    if concurrency == "adaptive":
        return AdaptiveLimiter(slots, favour)
    return StaticLimiter(slots if concurrency == "static" else UNLIMITED)


UNLIMITED = 1_000_000
