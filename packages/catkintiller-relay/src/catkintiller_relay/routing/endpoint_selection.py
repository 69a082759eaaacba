"""Selects an endpoint for a request, in the own availability zone while it has room.

Handles endpoints of one service that differ threefold in speed, also with one endpoint
in each zone. If the load of the endpoints is known as it was a few milliseconds ago,
several of them are compared. With many nodes the load is known as it was many requests
ago; then all nodes would send to the same endpoint that looks free, so only two random
ones are compared. If an endpoint turns out to be full, the request may be handed over
to another one, see :mod:`.handover`.
"""

import hashlib
import math
import random
from collections.abc import Iterable

import msgspec

from ..serving import rate_limiter

SAME_ZONE_SAMPLE_COUNT = 3
OTHER_ZONE_SAMPLE_COUNT = 3
STALE_SAMPLE_COUNT = 1  # in each of both groups
STALE_AFTER_S = 0.2
UNKNOWN_AFTER_S = 5.0  # nearly all requests that were counted have ended
# The own zone is used although another zone has an endpoint that is faster by less than
# this factor, or that fails less often by no more than this difference.
MAX_SAME_ZONE_SLOWNESS = 2.5
MAX_FAILURE_DIFFERENCE = 0.1
LEAVING_ROOM_RATIO = 0.05  # free slots below which requests begin to leave the zone
LAME_DUCK_FACTOR = 2.0
OTHER_ZONE_FACTOR = 1.2  # traffic between availability zones is expensive
JITTER_RATIO = 0.1
MAX_OCCUPANCY_WITHOUT_WAIT = 0.8
QUEUE_WAIT_FACTOR = 2.0
FULL_WAIT_FACTOR = 4.0  # in addition, for waiting while other endpoints have free slots
OCCUPANCY_FACTOR = 0.2
MIN_SUCCESS_RATIO = 0.05
DEFAULT_SERVICE_TIME_S = 0.03


class Candidate(msgspec.Struct, frozen=True):
    """State of an endpoint, as last reported to the node where a request arrives.

    :param node: address of the node beside it.
    :param load: requests that run or wait there, including those in transit.
    :param usable_slots: number of requests that run there concurrently at most, or on
        average if a rate limit allows fewer.
    :param service_time_s: typical time in seconds that the request runs there, without
        its nested calls; None if it is not known.
    :param lame_duck: whether its node is about to stop.
    :param same_zone: whether it is in the availability zone of this node.
    :param round_trip_s: time in seconds for sending a request and its response.
    :param failure_ratio: ratio of the requests that failed there recently.
    :param load_age_s: time in seconds since the load was reported.
    :param rate_limit: requests per second that may start there; None if not limited.
    :param own_address: address of this node if the endpoint is the one beside it.
    """

    node: str
    load: float
    usable_slots: float
    service_time_s: float | None
    lame_duck: bool
    same_zone: bool
    round_trip_s: float
    failure_ratio: float
    load_age_s: float = 0.0
    rate_limit: float | None = None
    own_address: str = ""

    @property
    def room(self) -> float:
        """Number of free slots, as far as the load is known; at least 0."""
        if self.load_age_s > UNKNOWN_AFTER_S:
            return max(1.0, self.usable_slots)
        return max(0.0, self.usable_slots - self.load)

    @property
    def address(self) -> str:
        """Address of the node beside the endpoint, the same one at all nodes."""
        return self.node or self.own_address

    def _replace(self, **changes: object) -> "Candidate":
        """Returns a candidate with changed fields, like that of a named tuple."""
        return msgspec.structs.replace(self, **changes)


def compute_expected_latency_s(
    candidate: Candidate, default_service_time_s: float
) -> float:
    """Computes the expected latency in seconds of one more request.

    :param default_service_time_s: service time of endpoints where it is not known.
    """
    service_time_s = candidate.service_time_s
    if service_time_s is None:
        service_time_s = default_service_time_s
    usable_slots = max(1.0, candidate.usable_slots)
    occupancy = (candidate.load + 1.0) / usable_slots
    queue_wait_ratio = 0.0
    if occupancy > MAX_OCCUPANCY_WITHOUT_WAIT:
        queue_wait_ratio = QUEUE_WAIT_FACTOR * (occupancy - MAX_OCCUPANCY_WITHOUT_WAIT)
        queue_wait_ratio += FULL_WAIT_FACTOR * max(0.0, occupancy - 1.0)
    endpoint_s = service_time_s * (
        1.0 + queue_wait_ratio + OCCUPANCY_FACTOR * occupancy
    )
    if candidate.rate_limit is not None:
        waiting_count = max(0.0, candidate.load + 1.0 - usable_slots)
        endpoint_s += waiting_count / max(
            rate_limiter.MIN_RATE_PER_S, candidate.rate_limit
        )
    expected_s = endpoint_s + candidate.round_trip_s
    if candidate.failure_ratio:
        success_ratio = max(MIN_SUCCESS_RATIO, 1.0 - candidate.failure_ratio)
        expected_s /= success_ratio**2
    if candidate.lame_duck:
        expected_s *= LAME_DUCK_FACTOR
    return expected_s if candidate.same_zone else expected_s * OTHER_ZONE_FACTOR


def select_endpoint(
    candidates: Iterable[Candidate], rng: random.Random
) -> Candidate | None:
    """Selects an endpoint from random samples of this zone and of the other zones.

    The own zone is used while its endpoints have room, unless others are much faster
    or fail less. Otherwise, the one with the lowest expected latency is selected.

    :returns: the selected one; None if there are no candidates.
    """
    same_zone, other_zone = [], []
    age_sum_s = 0.0
    for candidate in candidates:
        (same_zone if candidate.same_zone else other_zone).append(candidate)
        age_sum_s += candidate.load_age_s
    count = len(same_zone) + len(other_zone)
    if not count:
        return None
    if age_sum_s > UNKNOWN_AFTER_S * count:
        return _select_by_capacity([*same_zone, *other_zone], rng)
    is_stale = age_sum_s > STALE_AFTER_S * count
    same_zone_count = STALE_SAMPLE_COUNT if is_stale else SAME_ZONE_SAMPLE_COUNT
    other_zone_count = STALE_SAMPLE_COUNT if is_stale else OTHER_ZONE_SAMPLE_COUNT
    pool = sample_candidates(same_zone, same_zone_count, rng)
    if other_zone:
        pool = pool + sample_candidates(other_zone, other_zone_count, rng)
    known_s = [each.service_time_s for each in pool if each.service_time_s is not None]
    default_s = min(known_s, default=DEFAULT_SERVICE_TIME_S)
    pool = _narrow_by_zone(pool, default_s, rng)
    if len(pool) == 1:
        return pool[0]
    return min(
        pool,
        key=lambda candidate: (
            compute_expected_latency_s(candidate, default_s)
            * (1.0 + JITTER_RATIO * rng.random())
        ),
    )


def has_alternative(candidates: Iterable[Candidate], selected: Candidate) -> bool:
    """Returns whether an endpoint other than the selected one seems to have room.

    Then a request that would wait at the selected one is better handed over.
    """
    for candidate in candidates:
        if candidate is not selected and candidate.room >= 1.0:
            return True
    return False


def _narrow_by_zone(
    pool: list[Candidate], default_s: float, rng: random.Random
) -> list[Candidate]:
    """Returns the endpoints in this zone if they are to be used, or those with room.

    While the own zone fills up, a growing part of the requests leaves it: if all nodes
    left it at the same load, they would overload the other zones one after the other.
    """
    with_room = [
        each
        for each in pool
        if each.load < each.usable_slots or each.load_age_s > UNKNOWN_AFTER_S
    ]
    fastest_s = math.inf
    least_failure_ratio = zone_failure_ratio = 1.0
    for each in with_room:
        service_time_s = each.service_time_s or default_s
        if service_time_s < fastest_s:
            fastest_s = service_time_s
        if each.failure_ratio < least_failure_ratio:
            least_failure_ratio = each.failure_ratio
    slowest_s = MAX_SAME_ZONE_SLOWNESS * fastest_s
    preferred = []
    room = slots = 0.0
    for each in with_room:
        service_time_s = each.service_time_s or default_s
        if each.same_zone and not each.lame_duck and service_time_s <= slowest_s:
            preferred.append(each)
            if each.failure_ratio < zone_failure_ratio:
                zone_failure_ratio = each.failure_ratio
            room += each.room
            slots += each.usable_slots
    if zone_failure_ratio > least_failure_ratio + MAX_FAILURE_DIFFERENCE:
        return with_room
    if room > rng.random() * LEAVING_ROOM_RATIO * slots:
        return preferred
    return with_room or pool


def _select_by_capacity(candidates: list[Candidate], rng: random.Random) -> Candidate:
    """Selects at random in proportion to the capacity, whatever the loads were."""
    known_s = [each.service_time_s for each in candidates if each.service_time_s]
    default_s = max(known_s, default=DEFAULT_SERVICE_TIME_S)
    weights = [
        max(MIN_SUCCESS_RATIO, 1.0 - each.failure_ratio) ** 2
        * max(1.0, each.usable_slots)
        / (each.service_time_s or default_s)
        for each in candidates
    ]
    return rng.choices(candidates, weights)[0]


def select_endpoint_for_suspect(
    candidates: Iterable[Candidate], fingerprint: bytes
) -> Candidate | None:
    """Selects the endpoint for a request that may crash it.

    All nodes send the same request to the same endpoint, as far as they know the same
    ones, so that it does not crash several; other requests go to others.

    :returns: the one with the highest rendezvous weight; None if there are none.
    """
    return max(
        candidates,
        key=lambda candidate: hashlib.blake2b(
            candidate.address.encode(), digest_size=8, key=fingerprint
        ).digest(),
        default=None,
    )


def sample_candidates(
    pool: list[Candidate], max_count: int, rng: random.Random
) -> list[Candidate]:
    """Returns a random sample of candidates, all if there are at most max_count."""
    if len(pool) <= max_count:
        return pool
    if max_count == 1:
        return [rng.choice(pool)]
    return rng.sample(pool, max_count)
