"""Tests of the leases that a coordinator holds."""

from ..membership import frames
from . import coordinator

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
