"""Tests of what announcements of the local endpoint mean."""

from .. import data
from . import presence

READY = data.EndpointState.READY
DRAINING = data.EndpointState.DRAINING
GONE = data.EndpointState.GONE
HEARTBEAT_S = 1.5


def say(
    seq: int,
    state: data.EndpointState = READY,
    *,
    instance: str = "i-1",
    start_ms: int = 1000,
    service: str = "pay",
) -> data.Announcement:
    """Makes an announcement."""
    address = "10.0.0.1:80"
    return data.Announcement(
        instance, service, address, "z", 8, state, 0.0, seq, start_ms
    )


def make_presence(*said: data.Announcement) -> presence.Presence:
    """Makes a presence that has heard announcements at time 0."""
    made = presence.Presence("pay", HEARTBEAT_S)
    for one in said:
        made.take(0.0, one)
    return made


class TestOrder:
    """What goes first."""

    def test_nothing_is_accepted_before_the_first(self) -> None:
        assert not make_presence().is_accepting(0.0)

    def test_late_ready_does_not_undo_draining(self) -> None:
        own = make_presence(say(1), say(3, DRAINING), say(2))
        assert not own.is_accepting(0.0)

    def test_ready_after_draining_of_the_same_start_is_ignored(self) -> None:
        own = make_presence(say(1), say(2, DRAINING), say(3))
        assert not own.is_accepting(0.0)

    def test_ping_of_a_crashed_start_is_ignored(self) -> None:
        own = make_presence(say(5), say(1, instance="i-2", start_ms=2000))
        assert not own.take(0.0, say(6))
        assert own.current.instance == "i-2"

    def test_same_identity_starts_again(self) -> None:
        own = make_presence(say(9, DRAINING), say(1, start_ms=2000))
        assert own.is_accepting(0.0)

    def test_gone_start_does_not_come_back(self) -> None:
        own = make_presence(say(1), say(0, GONE, start_ms=0))
        assert not own.is_accepting(0.0)
        assert not own.take(0.0, say(2))
        assert not own.is_accepting(0.0)

    def test_leave_of_another_start_changes_nothing(self) -> None:
        own = make_presence(say(1, instance="i-2", start_ms=2000))
        own.take(0.0, say(0, GONE, instance="i-1"))
        assert own.is_accepting(0.0)


class TestRestartOfTheNode:
    """What was acknowledged binds a node that starts again."""

    def test_late_ping_of_an_endpoint_that_left(self) -> None:
        own = make_presence()
        own.add_ended("i-1", 1000)
        assert not own.take(0.0, say(2))
        assert not own.is_accepting(0.0)

    def test_late_ping_that_came_before_the_store_answered(self) -> None:
        own = make_presence(say(2))
        own.add_ended("i-1", 1000)
        assert not own.is_accepting(0.0)

    def test_next_start_of_the_same_endpoint_is_new(self) -> None:
        own = make_presence()
        own.add_ended("i-1", 1000)
        assert own.take(0.0, say(1, start_ms=2000))
        assert own.is_accepting(0.0)


class TestDoubt:
    """Another endpoint has the address."""

    def test_nothing_is_sent_until_the_next_announcement(self) -> None:
        own = make_presence(say(1))
        own.doubt()
        assert not own.is_accepting(0.0)
        own.take(0.0, say(2))
        assert own.is_accepting(0.0)


class TestForeign:
    """Announcements of others."""

    def test_another_service_is_ignored(self) -> None:
        own = make_presence(say(1))
        assert not own.take(0.0, say(2, service="shop", instance="i-9", start_ms=9000))
        assert own.current.instance == "i-1"


class TestSilence:
    """An endpoint that says nothing."""

    def test_silent_endpoint_gets_nothing(self) -> None:
        own = make_presence(say(1))
        assert own.is_accepting(2 * HEARTBEAT_S)
        assert not own.is_accepting(5 * HEARTBEAT_S)
