"""Tests of the age of what a node knows about the config."""

from . import config_age

BOUND_S = 5.0


class Clock:
    """Clock that is set by hand.

    :ivar now: time in seconds.
    """

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now


class TestBound:
    """Keys are not honoured when it is not known whether they were withdrawn."""

    def test_nothing_is_known_at_the_start(self) -> None:
        assert not config_age.ConfigAge(BOUND_S, Clock()).is_within_bound
        assert config_age.ConfigAge(None, Clock()).is_within_bound

    def test_age_counts_from_the_beginning_of_a_read(self) -> None:
        clock = Clock()
        age = config_age.ConfigAge(BOUND_S, clock)
        age.confirm(clock.now - 1.0)
        clock.now += BOUND_S - 1.0
        assert age.is_within_bound
        clock.now += 0.1
        assert not age.is_within_bound

    def test_earlier_knowledge_changes_nothing(self) -> None:
        clock = Clock()
        age = config_age.ConfigAge(BOUND_S, clock)
        age.confirm(clock.now)
        age.confirm(clock.now - 3.0)
        assert age.get_age_ms() <= 1


class TestPeers:
    """A node that does not read the store relies on peers that do."""

    def test_delayed_reply_makes_nothing_more_recent(self) -> None:
        clock = Clock()
        age = config_age.ConfigAge(BOUND_S, clock)
        number = age.begin_request()
        clock.now += 3.0
        age.handle_reply(number, 1000)
        assert 4000 <= age.get_age_ms() <= 4001

    def test_reply_to_an_earlier_request_is_ignored(self) -> None:
        clock = Clock()
        age = config_age.ConfigAge(BOUND_S, clock)
        number = age.begin_request()
        clock.now += 3.0
        age.begin_request()
        age.handle_reply(number, 0)
        assert not age.is_within_bound

    def test_peer_that_knows_nothing_confirms_nothing(self) -> None:
        age = config_age.ConfigAge(BOUND_S, Clock())
        age.handle_reply(age.begin_request(), config_age.NOT_KNOWN_MS)
        assert not age.is_within_bound

    def test_requests_are_sent_in_an_interval(self) -> None:
        clock = Clock()
        age = config_age.ConfigAge(BOUND_S, clock)
        assert age.is_request_due
        age.begin_request()
        assert not age.is_request_due
        clock.now += BOUND_S / 10
        assert age.is_request_due
