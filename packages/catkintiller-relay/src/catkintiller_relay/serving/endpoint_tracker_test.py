"""Tests of the tracker of the local endpoint's state."""

from .. import data
from . import endpoint_tracker

READY = data.EndpointState.READY
DRAINING = data.EndpointState.DRAINING
GONE = data.EndpointState.GONE
HEARTBEAT_S = 1.5


def build_announcement(
    seq: int,
    state: data.EndpointState = READY,
    *,
    instance: str = "i-1",
    start_ms: int = 1000,
    service: str = "pay",
) -> data.Announcement:
    """Builds an announcement."""
    address = "10.0.0.1:80"
    return data.Announcement(
        instance, service, address, "z", 8, state, 0.0, seq, start_ms
    )


def build_tracker(
    *announcements: data.Announcement,
) -> endpoint_tracker.EndpointTracker:
    """Builds a tracker and applies announcements at time 0."""
    tracker = endpoint_tracker.EndpointTracker("pay", HEARTBEAT_S)
    for announcement in announcements:
        tracker.apply(0.0, announcement)
    return tracker


class TestOrder:
    """Late, duplicate and reordered announcements."""

    def test_not_accepting_before_the_first_announcement(self) -> None:
        assert not build_tracker().is_accepting(0.0)

    def test_late_ready_does_not_undo_draining(self) -> None:
        tracker = build_tracker(
            build_announcement(1),
            build_announcement(3, DRAINING),
            build_announcement(2),
        )
        assert not tracker.is_accepting(0.0)

    def test_ready_after_draining_of_the_same_start_is_ignored(self) -> None:
        tracker = build_tracker(
            build_announcement(1),
            build_announcement(2, DRAINING),
            build_announcement(3),
        )
        assert not tracker.is_accepting(0.0)

    def test_announcement_of_a_crashed_endpoint_is_ignored(self) -> None:
        tracker = build_tracker(
            build_announcement(5), build_announcement(1, instance="i-2", start_ms=2000)
        )
        assert not tracker.apply(0.0, build_announcement(6))
        assert tracker.current.instance == "i-2"

    def test_new_start_with_the_same_instance_id(self) -> None:
        tracker = build_tracker(
            build_announcement(9, DRAINING), build_announcement(1, start_ms=2000)
        )
        assert tracker.is_accepting(0.0)

    def test_announcement_after_gone_is_ignored(self) -> None:
        tracker = build_tracker(
            build_announcement(1), build_announcement(0, GONE, start_ms=0)
        )
        assert not tracker.is_accepting(0.0)
        assert not tracker.apply(0.0, build_announcement(2))
        assert not tracker.is_accepting(0.0)

    def test_gone_of_another_endpoint_changes_nothing(self) -> None:
        tracker = build_tracker(build_announcement(1, instance="i-2", start_ms=2000))
        tracker.apply(0.0, build_announcement(0, GONE, instance="i-1"))
        assert tracker.is_accepting(0.0)


class TestTombstones:
    """A restarted node ignores late announcements of an endpoint that has ended."""

    def test_late_announcement_of_an_ended_endpoint(self) -> None:
        tracker = build_tracker()
        tracker.add_tombstone("i-1", 1000)
        assert not tracker.apply(0.0, build_announcement(2))
        assert not tracker.is_accepting(0.0)

    def test_late_announcement_before_the_tombstone_is_read(self) -> None:
        tracker = build_tracker(build_announcement(2))
        tracker.add_tombstone("i-1", 1000)
        assert not tracker.is_accepting(0.0)

    def test_next_start_of_the_endpoint_is_accepted(self) -> None:
        tracker = build_tracker()
        tracker.add_tombstone("i-1", 1000)
        assert tracker.apply(0.0, build_announcement(1, start_ms=2000))
        assert tracker.is_accepting(0.0)


class TestSuspend:
    """Another endpoint uses the address."""

    def test_not_accepting_until_the_next_announcement(self) -> None:
        tracker = build_tracker(build_announcement(1))
        tracker.suspend()
        assert not tracker.is_accepting(0.0)
        tracker.apply(0.0, build_announcement(2))
        assert tracker.is_accepting(0.0)


class TestOtherService:
    """Announcements of endpoints of another service."""

    def test_another_service_is_ignored(self) -> None:
        tracker = build_tracker(build_announcement(1))
        assert not tracker.apply(
            0.0, build_announcement(2, service="shop", instance="i-9", start_ms=9000)
        )
        assert tracker.current.instance == "i-1"


class TestUnresponsiveEndpoint:
    """An endpoint that stops announcing."""

    def test_not_accepting_after_missed_heartbeats(self) -> None:
        tracker = build_tracker(build_announcement(1))
        assert tracker.is_accepting(2 * HEARTBEAT_S)
        assert not tracker.is_accepting(5 * HEARTBEAT_S)


class TestDrainingByResponse:
    """An endpoint says in a response that it leaves."""

    def test_later_announcements_do_not_make_it_ready(self) -> None:
        tracker = build_tracker(build_announcement(1))
        tracker.mark_draining()
        tracker.apply(0.0, build_announcement(2))
        assert tracker.is_leaving and not tracker.is_accepting(0.0)

    def test_next_start_is_ready(self) -> None:
        tracker = build_tracker(build_announcement(1))
        tracker.mark_draining()
        tracker.apply(0.0, build_announcement(1, start_ms=9000))
        assert not tracker.is_leaving and tracker.is_accepting(0.0)


class TestHold:
    """A node that starts does not know yet which endpoints have left."""

    def test_first_announcement_is_not_enough(self) -> None:
        """A late announcement of an endpoint that left once got it requests."""
        tracker = build_tracker()
        tracker.hold()
        tracker.apply(0.0, build_announcement(1))
        assert tracker.is_held and not tracker.is_accepting(0.0)
        tracker.release()
        assert tracker.is_accepting(0.0)

    def test_tombstone_that_is_learned_meanwhile_counts(self) -> None:
        tracker = build_tracker()
        tracker.hold()
        tracker.apply(0.0, build_announcement(1))
        tracker.add_tombstone("i-1", 1000)
        tracker.release()
        assert not tracker.is_accepting(0.0)
        assert tracker.has_left(build_announcement(2))

    def test_older_tombstone_does_not_replace_a_newer_one(self) -> None:
        tracker = build_tracker()
        tracker.add_tombstone("i-1", 2000)
        tracker.add_tombstone("i-1", 1000)
        assert tracker.has_left(build_announcement(1, start_ms=2000))
        assert not tracker.has_left(build_announcement(1, start_ms=2001))
