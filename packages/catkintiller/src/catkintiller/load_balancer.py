"""Load balancer: chooses the serving node for a call.

Of two random candidates, the one with the lower expected latency is chosen (power of
two choices). Nodes in the same availability zone are preferred until their
utilization exceeds the ``spill`` setting. Nodes whose calls fail are ejected for a
time (outlier ejection), at most the ``ejected_share`` of all. The share of a new node
grows during its slow start.
"""

import random
from typing import NamedTuple

from . import data, rank

FEEDBACK_TTL_S = 1.0
LEVEL_HOLD_S = 0.1
# Ranks by which a level falls per second once it is no longer held.
LEVEL_DECAY_PER_S = 80.0
EJECTION_FAILURE_COUNT = 3
BASE_EJECTION_S = 2.0
MAX_EJECTION_S = 30.0
DEFAULT_LIMIT = 32
DEFAULT_LATENCY_MS = 5.0


class Candidate(NamedTuple):
    """A serving node with the figures that the choice is based on.

    The candidate with the lower ``cost`` is chosen: its expected latency in ms, plus
    its admission level.
    """

    member: data.Member
    outstanding: int
    in_flight: int
    limit: int
    latency_ms: float
    level: int
    cost: float


class _Target:
    """Statistics of one serving node, the target of calls.

    ``downstream_levels`` holds the level and the time of its feedback by kind of
    request. ``failures`` and ``ejections`` are counted since the last successful call.
    ``is_probing`` is set while the first call after an ejection is outstanding; the
    node then still counts as ejected.
    """

    def __init__(self, now: float) -> None:
        self.first_seen_at = now
        self.outstanding = 0
        self.in_flight = 0
        self.limit = DEFAULT_LIMIT
        self.latency_ms = DEFAULT_LATENCY_MS
        self.level = rank.LOWEST
        self.downstream_levels: dict[str, tuple[int, float]] = {}
        self.updated_at = 0.0
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.is_probing = False


class Balancer:
    """Chooses serving nodes from the feedback on their responses.

    :param zone: availability zone of this node.
    :param rng: random number generator, seeded in tests.
    """

    def __init__(self, zone: str, rng: random.Random) -> None:
        self._zone = zone
        self._rng = rng
        self._targets: dict[str, _Target] = {}

    def choose(
        self,
        now: float,
        members: list[data.Member],
        spill: float,
        ejected_share: float,
        slow_start_s: float,
    ) -> Candidate | None:
        """Chooses a serving node among ``members``.

        :param now: current time, in seconds.
        :param spill: utilization of the own zone above which other zones are used.
        :param ejected_share: largest ratio of members that may be ejected.
        :param slow_start_s: duration of the slow start, in seconds.
        :returns: the chosen node, or ``None`` if there is no member.
        """
        eligible = self._exclude_ejected(now, members, ejected_share)
        if not eligible:
            return None
        pool = self._select_pool(now, eligible, spill, slow_start_s)
        sampled = self._rng.sample(pool, min(2, len(pool)))
        best = min(sampled, key=lambda candidate: candidate.cost)
        target = self._targets[best.member.incarnation]
        if target.ejections and target.ejected_until <= now:
            target.is_probing = target.failures > 0
        return best

    def get_level(self, now: float, member: data.Member, kind: str) -> int:
        """Returns the lowest rank that a node admits for a kind, by its feedback."""
        target = self._targets.get(member.incarnation)
        if target is None:
            return rank.LOWEST
        level = _decay_level(target.level, now - target.updated_at)
        downstream_level, updated_at = target.downstream_levels.get(
            kind, (rank.LOWEST, now)
        )
        return max(level, _decay_level(downstream_level, now - updated_at))

    def record_sent(self, now: float, incarnation: str) -> None:
        """Records a call that is sent to a node."""
        self._get_target(now, incarnation).outstanding += 1

    def record_response(
        self, now: float, incarnation: str, kind: str, feedback: data.Feedback
    ) -> None:
        """Records the feedback of a response."""
        target = self._get_target(now, incarnation)
        target.in_flight = feedback.in_flight
        target.limit = feedback.limit
        target.latency_ms = feedback.latency_ms or DEFAULT_LATENCY_MS
        target.level = feedback.level
        target.downstream_levels[kind] = (feedback.downstream_level, now)
        target.updated_at = now

    def record_completion(self, now: float, incarnation: str, failed: bool) -> bool:
        """Records the end of a call that was sent.

        :param failed: whether the node or its endpoint failed the call. A refusal
            because of overload does not count as a failure.
        :returns: whether the node is ejected as a result.
        """
        target = self._get_target(now, incarnation)
        target.outstanding = max(0, target.outstanding - 1)
        if not failed:
            target.failures = target.ejections = 0
            target.is_probing = False
            return False
        target.failures += 1
        if target.failures < EJECTION_FAILURE_COUNT and not target.is_probing:
            return False
        target.is_probing = False
        ejection_s = min(MAX_EJECTION_S, BASE_EJECTION_S * 2**target.ejections)
        target.ejections += 1
        target.ejected_until = now + ejection_s
        return True

    def retain_only(self, incarnations: set[str]) -> None:
        """Removes targets that are no longer members."""
        for incarnation in self._targets.keys() - incarnations:
            del self._targets[incarnation]

    def _get_target(self, now: float, incarnation: str) -> _Target:
        target = self._targets.get(incarnation)
        if target is None:
            target = self._targets[incarnation] = _Target(now)
        return target

    def _exclude_ejected(
        self, now: float, members: list[data.Member], ejected_share: float
    ) -> list[data.Member]:
        ejected = []
        for member in members:
            target = self._get_target(now, member.incarnation)
            if target.ejected_until > now or target.is_probing:
                ejected.append(member)
        max_ejected_count = int(len(members) * ejected_share)
        if not ejected or len(ejected) > max_ejected_count:
            # If more nodes fail than may be ejected, the cause is elsewhere, and
            # ejecting the rest would only move their load.
            ejected = ejected[:max_ejected_count]
        return [member for member in members if member not in ejected]

    def _select_pool(
        self, now: float, members: list[data.Member], spill: float, slow_start_s: float
    ) -> list[Candidate]:
        pool = [self._build_candidate(now, member, slow_start_s) for member in members]
        local_candidates = [
            candidate for candidate in pool if candidate.member.zone == self._zone
        ]
        load = sum(
            max(candidate.in_flight, candidate.outstanding)
            for candidate in local_candidates
        )
        limit = sum(candidate.limit for candidate in local_candidates)
        return local_candidates if local_candidates and load < limit * spill else pool

    def _build_candidate(
        self, now: float, member: data.Member, slow_start_s: float
    ) -> Candidate:
        target = self._get_target(now, member.incarnation)
        is_fresh = now - target.updated_at < FEEDBACK_TTL_S
        in_flight = target.in_flight if is_fresh else 0
        level = _decay_level(target.level, now - target.updated_at)
        age_s = now - target.first_seen_at
        slow_start_ratio = (
            min(1.0, max(0.1, age_s / slow_start_s)) if slow_start_s else 1.0
        )
        load = max(in_flight, target.outstanding) + 1
        cost = load / (max(1, target.limit) * slow_start_ratio) * target.latency_ms
        cost += level
        return Candidate(
            member,
            target.outstanding,
            in_flight,
            target.limit,
            target.latency_ms,
            level,
            cost,
        )


def choose_by_key(members: list[data.Member], key: str) -> data.Member | None:
    """Chooses a node by rendezvous hashing: the same key reaches the same node."""
    return max(
        members,
        key=lambda member: _compute_weight(member.incarnation, key),
        default=None,
    )


def _decay_level(level: int, age_s: float) -> int:
    """Lowers a level that no feedback confirms, so that a few calls are tried again."""
    stale_s = age_s - LEVEL_HOLD_S
    if stale_s <= 0:
        return level
    return max(rank.LOWEST, level - int(stale_s * LEVEL_DECAY_PER_S))


def _compute_weight(incarnation: str, key: str) -> int:
    return random.Random(f"{incarnation} {key}").getrandbits(64)
