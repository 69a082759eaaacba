"""Occupancy of the endpoints of each service, as far as this node knows their loads.

Shows operators uneven load: requests that wait at one endpoint while another one of the
service has free slots. The number of services is bounded.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from . import endpoint_selection

MAX_SERVICE_COUNT = 64


class EndpointLoad(NamedTuple):
    """Load of one endpoint.

    :param service: service of the endpoint.
    :param load: requests that run or wait there.
    :param usable_slots: number of requests that run there concurrently at most.
    """

    service: str
    load: float
    usable_slots: float


class Occupancy(NamedTuple):
    """Occupancy of the endpoints of one service over some time.

    :param most_over_mean: occupancy of the fullest endpoint over the mean of all; 1 for
        even load, 0 without load.
    :param uneven_ratio: ratio of the samples in which requests waited at one endpoint
        while another one had free slots.
    :param load_age_s: mean age of the load when an endpoint was selected by it, in
        seconds.
    :param choice_count: number of these selections.
    """

    most_over_mean: float
    uneven_ratio: float
    load_age_s: float
    choice_count: int


class _ServiceCounts:
    """Sums for one service since they were last reset."""

    __slots__ = (
        "age_sum_s",
        "choice_count",
        "most_over_mean_sum",
        "sample_count",
        "uneven_count",
    )

    def __init__(self) -> None:
        self.age_sum_s = 0.0
        self.choice_count = 0
        self.most_over_mean_sum = 0.0
        self.sample_count = 0
        self.uneven_count = 0


class OccupancyTracker:
    """Samples the occupancy of the endpoints by service."""

    def __init__(self) -> None:
        self._counts: dict[str, _ServiceCounts] = {}

    def record_choice(
        self, service: str, candidate: endpoint_selection.Candidate
    ) -> None:
        """Counts the selection of an endpoint with the age of its load."""
        counts = self._get_counts(service)
        if counts is not None:
            counts.choice_count += 1
            counts.age_sum_s += candidate.load_age_s

    def record_loads(self, loads: Iterable[EndpointLoad]) -> None:
        """Adds a sample of the loads of all endpoints."""
        by_service: dict[str, list[EndpointLoad]] = {}
        for each in loads:
            by_service.setdefault(each.service, []).append(each)
        for service, endpoints in by_service.items():
            counts = self._get_counts(service)
            if counts is not None:
                counts.sample_count += 1
                counts.most_over_mean_sum += compute_most_over_mean(endpoints)
                counts.uneven_count += is_uneven(endpoints)

    def pop_occupancies(self) -> Mapping[str, Occupancy]:
        """Returns the occupancy by service since the last call and resets it."""
        all_counts, self._counts = self._counts, {}
        return {
            service: Occupancy(
                counts.most_over_mean_sum / max(1, counts.sample_count),
                counts.uneven_count / max(1, counts.sample_count),
                counts.age_sum_s / max(1, counts.choice_count),
                counts.choice_count,
            )
            for service, counts in all_counts.items()
        }

    def _get_counts(self, service: str) -> _ServiceCounts | None:
        counts = self._counts.get(service)
        if counts is None and len(self._counts) < MAX_SERVICE_COUNT:
            counts = self._counts[service] = _ServiceCounts()
        return counts


def compute_most_over_mean(endpoints: list[EndpointLoad]) -> float:
    """Computes the occupancy of the fullest endpoint over the mean occupancy."""
    occupancies = [each.load / max(1.0, each.usable_slots) for each in endpoints]
    total = sum(occupancies)
    return max(occupancies) * len(occupancies) / total if total else 0.0


def is_uneven(endpoints: list[EndpointLoad]) -> bool:
    """Returns whether requests wait at an endpoint while another has a free slot."""
    has_waiting = any(each.load > each.usable_slots for each in endpoints)
    return has_waiting and any(
        each.load <= each.usable_slots - 1.0 for each in endpoints
    )
