"""Choice of the serving node for a call.

Two random candidates are compared by expected time. Nodes of the own availability
zone come first until their load passes the ``spill`` setting; nodes whose
answers failed are ejected for a time, never more than the ``ejected_share``; and
a node's share grows over its slow start.
"""

import random
from typing import NamedTuple

from . import data, rank

HINT_TTL_S = 1.0
LEVEL_HOLD_S = 0.1
LEVEL_FALL_PER_S = 80.0
EJECT_AFTER_FAILURES = 3
EJECT_S = 2.0
MAX_EJECT_S = 30.0
DEFAULT_LIMIT = 32
DEFAULT_LATENCY_MS = 5.0


class Candidate(NamedTuple):
    """A serving node as the chooser sees it, with the figures that decide."""

    member: data.Member
    outstanding: int
    in_flight: int
    limit: int
    latency_ms: float
    level: int
    cost: float


class _Target:
    """What this node has learned of one serving node."""

    def __init__(self, now: float) -> None:
        self.first_seen = now
        self.outstanding = 0
        self.in_flight = 0
        self.limit = DEFAULT_LIMIT
        self.latency_ms = DEFAULT_LATENCY_MS
        self.level = rank.LOWEST
        self.chain_levels: dict[str, tuple[int, float]] = {}
        self.updated = 0.0
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.probing = False


class Balancer:
    """Learns from answers and chooses serving nodes.

    :param zone: availability zone of this node.
    :param rng: source of randomness, seeded in tests.
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

        :returns: the choice, or ``None`` if there is no member.
        """
        usable = self._drop_ejected(now, members, ejected_share)
        if not usable:
            return None
        pool = self._prefer_zone(now, usable, spill, slow_start_s)
        pair = self._rng.sample(pool, min(2, len(pool)))
        best = min(pair, key=lambda candidate: candidate.cost)
        target = self._targets[best.member.incarnation]
        if target.ejections and target.ejected_until <= now:
            target.probing = target.failures > 0
        return best

    def get_level(self, now: float, member: data.Member, kind: str) -> int:
        """Gets the lowest rank that a node lately said it admits for a kind."""
        target = self._targets.get(member.incarnation)
        if target is None:
            return rank.LOWEST
        level = _fade(target.level, now - target.updated)
        chain_level, updated = target.chain_levels.get(kind, (rank.LOWEST, now))
        return max(level, _fade(chain_level, now - updated))

    def record_sent(self, now: float, incarnation: str) -> None:
        """Counts a call that goes out to a node."""
        self._get_target(now, incarnation).outstanding += 1

    def record_answer(
        self, now: float, incarnation: str, kind: str, feedback: data.Feedback
    ) -> None:
        """Learns from the figures that come with an answer."""
        target = self._get_target(now, incarnation)
        target.in_flight = feedback.in_flight
        target.limit = feedback.limit
        target.latency_ms = feedback.latency_ms or DEFAULT_LATENCY_MS
        target.level = feedback.level
        target.chain_levels[kind] = (feedback.downstream_level, now)
        target.updated = now

    def record_completion(self, now: float, incarnation: str, failed: bool) -> bool:
        """Ends a call that went out.

        :param failed: the node or its endpoint failed the call; a refusal for
            overload is no failure.
        :returns: whether the node is ejected because of it.
        """
        target = self._get_target(now, incarnation)
        target.outstanding = max(0, target.outstanding - 1)
        if not failed:
            target.failures = target.ejections = 0
            target.probing = False
            return False
        target.failures += 1
        if target.failures < EJECT_AFTER_FAILURES and not target.probing:
            return False
        target.probing = False
        duration = min(MAX_EJECT_S, EJECT_S * 2**target.ejections)
        target.ejections += 1
        target.ejected_until = now + duration
        return True

    def retain_only(self, incarnations: set[str]) -> None:
        """Forgets nodes that are members no more."""
        for incarnation in self._targets.keys() - incarnations:
            del self._targets[incarnation]

    def _get_target(self, now: float, incarnation: str) -> _Target:
        target = self._targets.get(incarnation)
        if target is None:
            target = self._targets[incarnation] = _Target(now)
        return target

    def _drop_ejected(
        self, now: float, members: list[data.Member], ejected_share: float
    ) -> list[data.Member]:
        ejected = []
        for member in members:
            target = self._get_target(now, member.incarnation)
            if target.ejected_until > now or target.probing:
                ejected.append(member)
        allowed = int(len(members) * ejected_share)
        if not ejected or len(ejected) > allowed:
            # More nodes fail than may be ejected: the cause is elsewhere, and
            # taking the rest of the load off them would only move it.
            ejected = ejected[:allowed]
        return [member for member in members if member not in ejected]

    def _prefer_zone(
        self, now: float, members: list[data.Member], spill: float, slow_start_s: float
    ) -> list[Candidate]:
        pool = [self._weigh(now, member, slow_start_s) for member in members]
        own = [item for item in pool if item.member.zone == self._zone]
        load = sum(max(item.in_flight, item.outstanding) for item in own)
        limit = sum(item.limit for item in own)
        return own if own and load < limit * spill else pool

    def _weigh(self, now: float, member: data.Member, slow_start_s: float) -> Candidate:
        target = self._get_target(now, member.incarnation)
        fresh = now - target.updated < HINT_TTL_S
        in_flight = target.in_flight if fresh else 0
        level = _fade(target.level, now - target.updated)
        age = now - target.first_seen
        share = min(1.0, max(0.1, age / slow_start_s)) if slow_start_s else 1.0
        load = max(in_flight, target.outstanding) + 1
        cost = load / (max(1, target.limit) * share) * target.latency_ms
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
    """Chooses a node by rendezvous hashing, so that repeats of a key meet."""
    return max(members, key=lambda member: _hash(member.incarnation, key), default=None)


def _fade(level: int, age_s: float) -> int:
    """Lets a level that nobody confirms fall, so that a few calls try again."""
    overdue_s = age_s - LEVEL_HOLD_S
    if overdue_s <= 0:
        return level
    return max(rank.LOWEST, level - int(overdue_s * LEVEL_FALL_PER_S))


def _hash(incarnation: str, key: str) -> int:
    return random.Random(f"{incarnation} {key}").getrandbits(64)
