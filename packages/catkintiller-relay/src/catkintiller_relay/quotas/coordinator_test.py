"""Tests of the leases that a coordinator holds."""

import pytest

from .. import data
from ..membership import frames
from . import coordinator, token_bucket

STARTED_AT = 100.0
MEMBER_COUNT = 4


def extend_lease(holder: coordinator.Coordinator, sender: str, now: float) -> None:
    """Extends the lease of a follower that returns the current time."""
    request = frames.QuotaRequest(MEMBER_COUNT, int(now * 1000), [])
    holder.handle_request(sender, request, now)


class TestExpiry:
    """A lease that is kept too long lets the sum of all coordinators exceed quotas."""

    def test_each_lease_ends_at_its_time(self) -> None:
        holder = coordinator.Coordinator(STARTED_AT)
        for sender, now in (("a", 101.0), ("b", 101.2), ("c", 101.4)):
            extend_lease(holder, sender, now)
        assert holder.share == 0.75
        extend_lease(holder, "a", 101.5)
        for end, count in ((101.2, 2), (101.4, 1), (101.5, 0)):
            holder.expire(end + coordinator.LEASE_S - 0.01)
            assert holder.follower_count == count + 1
            holder.expire(end + coordinator.LEASE_S + 0.01)
            assert holder.follower_count == count
        assert holder.share == 0.0

    def test_lease_after_all_have_ended(self) -> None:
        holder = coordinator.Coordinator(STARTED_AT)
        extend_lease(holder, "a", 101.0)
        holder.expire(105.0)
        assert holder.follower_count == 0
        extend_lease(holder, "b", 106.0)
        assert holder.follower_count == 1
        holder.expire(106.0 + coordinator.LEASE_S + 0.01)
        assert holder.follower_count == 0


class TestChangedQuotas:
    """A config changes the quotas of more customers than are updated in one go."""

    COUNT = 2 * coordinator.SLICE_ACCOUNT_COUNT

    def request(self, holder: coordinator.Coordinator, now: float, wanted: int) -> int:
        """Requests tokens for all customers; returns how many were granted."""
        entries = [(f"c{number}", wanted, 0) for number in range(self.COUNT)]
        request = frames.QuotaRequest(1, int(now * 1000), entries)
        reply = holder.handle_request("a", request, now)
        return sum(granted for _, granted, _ in reply.entries)

    def build_holder(self) -> coordinator.Coordinator:
        """Builds a coordinator whose buckets are full."""
        holder = coordinator.Coordinator(STARTED_AT)
        self.set_quotas(holder, 101.0, 10_000.0)
        for now in (101.0, 101.5, 102.0, 102.5, 103.0):
            self.request(holder, now, 0)
        return holder

    def set_quotas(
        self, holder: coordinator.Coordinator, now: float, rate_per_s: float
    ) -> None:
        """Applies a config in which all customers have the same quota."""
        names = [f"c{number}" for number in range(self.COUNT)]
        holder.set_customers(
            now, [data.Customer(name, (), None, rate_per_s) for name in names]
        )

    def test_lowered_quotas_hold_at_the_next_request(self) -> None:
        """Guards against tokens of a former quota in accounts that follow later."""
        holder, updated = self.build_holder(), self.build_holder()
        for each in (holder, updated):
            self.set_quotas(each, 103.0, 1.0)
        updated.expire(103.0)
        granted = self.request(holder, 103.0, 1000)
        assert granted == self.request(updated, 103.0, 1000)
        assert granted < self.request(self.build_holder(), 103.0, 1000) / 10

    def test_work_is_bounded_and_completed(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """Guards against a pause of the loop, and against accounts that stay behind."""
        calls: list[tuple] = []
        holder = self.build_holder()
        monkeypatch.setattr(
            token_bucket.TokenBucket, "set_quota", lambda *args: calls.append(args)
        )
        self.set_quotas(holder, 103.0, 1.0)
        assert len(calls) == coordinator.SLICE_ACCOUNT_COUNT
        for _ in range(3):
            holder.expire(103.1)
        assert len(calls) == self.COUNT
