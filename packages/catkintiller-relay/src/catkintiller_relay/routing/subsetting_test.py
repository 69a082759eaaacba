"""Tests of the subsets of nodes that a node connects to."""

import collections
import random

from hypothesis import given
from hypothesis import strategies as st

from . import subsetting

ZONES = ("zone-1", "zone-2", "zone-3", "zone-4", "zone-5")
MAX_CALLERS_TO_MEAN = 1.5


def build_members(
    count: int, service: str = "pay", zones: tuple[str, ...] = ZONES
) -> list[subsetting.Member]:
    """Builds members of a service, spread over the zones in turn."""
    return [
        subsetting.Member(
            f"10.{service}.{number // 250}.{number % 250}:8300",
            zones[number % len(zones)],
            service,
        )
        for number in range(count)
    ]


def select(
    own: subsetting.Member,
    members: list[subsetting.Member],
    lost: set[str] = frozenset(),
) -> list[subsetting.Member]:
    """Selects the subset of one node."""
    weights = {
        member.address: subsetting.compute_weight(own.address, member.address)
        for member in members
    }
    return subsetting.select_subset(members, weights, own.zone, lost)


class TestSize:
    """The subset is bounded, and a small service is met whole."""

    @given(st.integers(1, 400), st.integers(0, 100))
    def test_size_does_not_grow_with_the_service(self, count: int, seed: int) -> None:
        own = build_members(seed + 1, "shop")[seed]
        members = build_members(count)
        subset = select(own, members)
        assert len(subset) == min(count, subsetting.SUBSET_SIZE)
        assert len(set(subset)) == len(subset)

    @given(st.integers(20, 200), st.randoms(use_true_random=False))
    def test_unreachable_members_are_replaced(
        self, count: int, rng: random.Random
    ) -> None:
        own = build_members(1, "shop")[0]
        members = build_members(count)
        lost = {member.address for member in rng.sample(members, rng.randrange(count))}
        subset = select(own, members, lost)
        reachable = [member for member in subset if member.address not in lost]
        assert len(reachable) == min(count - len(lost), subsetting.SUBSET_SIZE)

    def test_every_zone_of_a_small_service_is_covered(self) -> None:
        own = build_members(1, "shop")[0]
        subset = select(own, build_members(12))
        assert {member.zone for member in subset} == set(ZONES)

    def test_members_of_other_zones_are_kept(self) -> None:
        own = build_members(1, "shop")[0]
        subset = select(own, build_members(300))
        same_zone = [member for member in subset if member.zone == own.zone]
        assert len(same_zone) == subsetting.SAME_ZONE_SIZE

    def test_zone_without_members(self) -> None:
        own = subsetting.Member("10.0.0.1:8300", "zone-9", "shop")
        assert len(select(own, build_members(100))) == subsetting.SUBSET_SIZE


class TestBalance:
    """Endpoints of a service have nearly the same number of callers."""

    def test_callers_of_an_endpoint_stay_near_the_mean(self) -> None:
        for node_count in (195, 300, 1000):
            members = build_members(node_count // 2)
            callers = collections.Counter(
                member.address
                for own in build_members(node_count, "shop")
                for member in select(own, members)
            )
            mean = node_count * subsetting.SUBSET_SIZE / len(members)
            counts = sorted(callers[member.address] for member in members)
            assert counts[-1] <= MAX_CALLERS_TO_MEAN * mean
            assert counts[0] > 0


class TestStability:
    """A change of one member changes few subsets."""

    @given(st.integers(30, 150), st.randoms(use_true_random=False))
    def test_lost_member_changes_one_place_at_most(
        self, count: int, rng: random.Random
    ) -> None:
        members = build_members(count)
        departed = rng.choice(members)
        remaining = [member for member in members if member != departed]
        for own in build_members(20, "shop"):
            before, after = set(select(own, members)), set(select(own, remaining))
            assert len(before - after) <= 2
            if departed not in before:
                assert before == after

    def test_new_member_enters_its_share_of_the_subsets(self) -> None:
        members = build_members(100)
        joined = subsetting.Member("10.9.9.1:8300", ZONES[0], "pay")
        entered = sum(
            joined in select(own, [*members, joined])
            for own in build_members(200, "shop")
        )
        mean = 200 * subsetting.SUBSET_SIZE / 101
        assert mean / MAX_CALLERS_TO_MEAN <= entered <= MAX_CALLERS_TO_MEAN * mean
