"""Service times of the local endpoint by route.

The requests of one service differ many times in cost, so a mean over all of them says
more about their mix than about the endpoint. For each route there are two times: the
own time, without the time in which the request waited for nested calls, shows how fast
the endpoint is. The occupancy is the time that a slot is held when downstream services
are not overloaded.

Handles endpoints that are slow for a while: the averages follow the time, not the
number of requests, and an endpoint that gets no requests returns to its baseline, so
that it is tried again.
"""

import math
from collections.abc import Iterator

EWMA_WEIGHT = 0.03
EWMA_TIME_CONSTANT_S = 3.0
BASELINE_TIME_CONSTANT_S = 20.0
IDLE_AFTER_S = 1.0
IDLE_HALF_LIFE_S = 1.0
MAX_ROUTE_COUNT = 64
MIN_PUBLISHED_CHANGE_RATIO = 0.25


class RouteTimes:
    """Service times of one route at one endpoint, in seconds."""

    __slots__ = ("_baseline_s", "_own_baseline_s", "_own_s", "_updated_at")

    def __init__(self, now: float, total_s: float, own_s: float) -> None:
        self._own_s = own_s
        self._own_baseline_s = own_s
        self._baseline_s = total_s
        self._updated_at = now

    @property
    def occupancy_s(self) -> float:
        """Time that a request holds a slot, nested calls included."""
        return max(self._own_s, self._baseline_s)

    def record(self, now: float, total_s: float, own_s: float) -> None:
        """Adds the times of a request that was answered."""
        elapsed_s = max(0.0, now - self._updated_at)
        time_weight = 1.0 - math.exp(-elapsed_s / EWMA_TIME_CONSTANT_S)
        weight = max(EWMA_WEIGHT, time_weight)
        self._own_s += weight * (own_s - self._own_s)
        baseline_weight = min(1.0, elapsed_s / BASELINE_TIME_CONSTANT_S)
        self._baseline_s = _follow(self._baseline_s, total_s, weight, baseline_weight)
        self._own_baseline_s = _follow(
            self._own_baseline_s, self._own_s, 1.0, baseline_weight
        )
        self._updated_at = now

    def get_own_s(self, now: float) -> float:
        """Returns the mean own time; without requests it decays to the baseline."""
        idle_s = now - self._updated_at - IDLE_AFTER_S
        if idle_s <= 0.0:
            return self._own_s
        excess_s = self._own_s - self._own_baseline_s
        return self._own_baseline_s + excess_s * 0.5 ** (idle_s / IDLE_HALF_LIFE_S)


def _follow(
    baseline: float, value: float, decrease_weight: float, increase_weight: float
) -> float:
    """Moves a baseline towards a value, faster down than up."""
    weight = decrease_weight if value < baseline else increase_weight
    return baseline + weight * (value - baseline)


class ServiceTimes:
    """Service times of one endpoint by route."""

    def __init__(self) -> None:
        self._routes: dict[str, RouteTimes] = {}

    def record(self, now: float, route: str, total_s: float, own_s: float) -> None:
        """Adds the times of a request that was answered.

        :param now: time of the event loop, in seconds.
        :param total_s: time at the endpoint, in seconds.
        :param own_s: the same without the time of nested calls.
        """
        times = self._routes.get(route)
        if times is not None:
            times.record(now, total_s, own_s)
        elif len(self._routes) < MAX_ROUTE_COUNT:
            self._routes[route] = RouteTimes(now, total_s, own_s)

    def get_own_s(self, now: float, route: str) -> float | None:
        """Returns the own time of a route in seconds; None before the first request."""
        times = self._routes.get(route)
        return None if times is None else times.get_own_s(now)

    def get_occupancy_s(self, route: str) -> float | None:
        """Returns the occupancy of a route in seconds; None if it is not known."""
        times = self._routes.get(route)
        return None if times is None else times.occupancy_s

    def iter_times(self, now: float) -> Iterator[tuple[str, float, float]]:
        """Iterates over route, own time and occupancy, in seconds."""
        for route, times in self._routes.items():
            yield route, times.get_own_s(now), times.occupancy_s

    def clear(self) -> None:
        """Drops all times because another endpoint has started."""
        self._routes.clear()


class PublishedTimes:
    """Service times as they are sent to peers: again only after a large change."""

    def __init__(self) -> None:
        self._times: tuple[tuple[str, int, int], ...] = ()

    @property
    def times(self) -> tuple[tuple[str, int, int], ...]:
        """Own time and occupancy by route, in microseconds."""
        return self._times

    def update(self, service_times: ServiceTimes, now: float) -> None:
        """Replaces the times if one has changed enough or routes have gone.

        :param now: time of the event loop, in seconds.
        """
        times = tuple(
            (route, int(own_s * 1e6), int(occupancy_s * 1e6))
            for route, own_s, occupancy_s in service_times.iter_times(now)
        )
        published = {route: values for route, *values in self._times}
        has_lost_routes = len(times) < len(published)  # another endpoint has started
        if has_lost_routes or any(
            abs(value - previous) > MIN_PUBLISHED_CHANGE_RATIO * previous
            for route, *values in times
            for value, previous in zip(
                values, published.get(route, (0, 0)), strict=True
            )
        ):
            self._times = times
