"""Chooses the endpoint of a request: the one expected to answer first.

Load it answers: endpoints of one service that differ threefold in speed, with
load reports that are a few milliseconds old.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple

NEAR_CANDIDATES = 3
FAR_CANDIDATES = 2
LEAVING_WEIGHT = 2.0
FAR_WEIGHT = 1.2  # bytes between availability zones are dear
JITTER = 0.1
FREE_ROUNDS = 0.8
WAIT_WEIGHT = 2.0
IDLE_WEIGHT = 0.2
MIN_SUCCESS = 0.05


class Candidate(NamedTuple):
    """An endpoint as the node where a request arrived sees it.

    :param load: requests that run or wait there, those on their way included.
    :param limit: requests that it runs at once.
    :param service_s: usual time that a request works there.
    :param leaving: whether its node is about to stop.
    :param near: whether it is in the availability zone of this node.
    :param distance_s: time that a request and its answer travel.
    :param failures: share of the requests that failed there lately.
    """

    node: str
    load: float
    limit: int
    service_s: float
    leaving: bool
    near: bool
    distance_s: float
    failures: float


def compute_expected_latency_s(candidate: Candidate) -> float:
    """Computes the time until the answer of one more request."""
    rounds = (candidate.load + 1.0) / max(1, candidate.limit)
    waiting = WAIT_WEIGHT * max(0.0, rounds - FREE_ROUNDS)
    busy = candidate.service_s * (1.0 + waiting + IDLE_WEIGHT * rounds)
    success = max(MIN_SUCCESS, 1.0 - candidate.failures)
    whole = (busy + candidate.distance_s) / success**2
    if candidate.leaving:
        whole *= LEAVING_WEIGHT
    return whole if candidate.near else whole * FAR_WEIGHT


def select_endpoint(
    candidates: Iterable[Candidate], rng: random.Random
) -> Candidate | None:
    """Chooses among some random near and far candidates; None if there are none."""
    near, far = [], []
    for candidate in candidates:
        (near if candidate.near else far).append(candidate)
    pool = [
        *sample_candidates(near, NEAR_CANDIDATES, rng),
        *sample_candidates(far, FAR_CANDIDATES, rng),
    ]
    if not pool:
        return None
    return min(
        pool,
        key=lambda one: compute_expected_latency_s(one) * (1.0 + JITTER * rng.random()),
    )


def sample_candidates(
    pool: list[Candidate], most: int, rng: random.Random
) -> list[Candidate]:
    """Draws some candidates at random, all if they are few."""
    return pool if len(pool) <= most else rng.sample(pool, most)
