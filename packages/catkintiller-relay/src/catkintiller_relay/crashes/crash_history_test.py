"""Tests of the suspects and blocked requests that a node knows."""

from . import crash, crash_history
from .crash_history import Standing

CULPRIT = b"culprit"
BYSTANDERS = [b"bystander%d" % number for number in range(40)]


def build_crash(
    number: int, *fingerprints: bytes, only_suspect: bytes | None = None
) -> crash.EndpointCrash:
    """Builds a crash at which requests ran."""
    runs = tuple(
        crash.CrashedRun(b"id", each, 0.07, each == only_suspect)
        for each in fingerprints
    )
    return crash.EndpointCrash(f"i-{number}", number, "pay", runs)


def build_blocking_history(now: float = 0.0) -> crash_history.CrashHistory:
    """Builds a history in which the culprit is blocked after two crashes."""
    history = crash_history.CrashHistory()
    history.record_crash(now, build_crash(1, CULPRIT, *BYSTANDERS))
    history.record_crash(now, build_crash(2, CULPRIT, b"new", only_suspect=CULPRIT))
    return history


class TestSuspects:
    """All that ran at a crash are suspects until an endpoint responds to them."""

    def test_requests_that_ran_are_suspects(self) -> None:
        history = crash_history.CrashHistory()
        history.record_crash(0.0, build_crash(1, CULPRIT, BYSTANDERS[0]))
        assert history.get_standing(1.0, CULPRIT) is Standing.SUSPECT
        assert history.get_standing(1.0, b"other") is Standing.CLEAR

    def test_response_clears_a_suspect(self) -> None:
        history = crash_history.CrashHistory()
        history.record_crash(0.0, build_crash(1, CULPRIT))
        assert history.record_response(CULPRIT) is Standing.SUSPECT
        assert history.is_empty

    def test_stale_suspicion_of_a_sender_does_not_count_after_a_response(self) -> None:
        history = crash_history.CrashHistory()
        history.record_crash(0.0, build_crash(1, CULPRIT))
        history.record_response(CULPRIT)
        history.record_suspicion(0.1, CULPRIT, 1)
        assert history.get_standing(0.1, CULPRIT) is Standing.CLEAR

    def test_another_crash_makes_it_a_suspect_again(self) -> None:
        history = crash_history.CrashHistory()
        history.record_crash(0.0, build_crash(1, CULPRIT))
        history.record_response(CULPRIT)
        history.record_crash(0.2, build_crash(2, CULPRIT))
        assert history.get_standing(0.2, CULPRIT) is Standing.SUSPECT

    def test_requests_beside_several_crashes_are_not_blocked(self) -> None:
        history = crash_history.CrashHistory()
        for number in range(5):
            history.record_crash(0.0, build_crash(number, *BYSTANDERS))
        assert history.block_count == 0

    def test_suspicion_ends_after_a_long_time(self) -> None:
        history = crash_history.CrashHistory()
        history.record_crash(0.0, build_crash(1, CULPRIT))
        history.drop_expired(crash_history.SUSPECT_TTL_S)
        assert history.is_empty

    def test_number_of_suspects_is_bounded(self) -> None:
        history = crash_history.CrashHistory()
        for number in range(2 * crash_history.MAX_SUSPECTS):
            history.record_crash(0.0, build_crash(number, b"%d" % number))
        assert history.suspect_count == crash_history.MAX_SUSPECTS


class TestBlocks:
    """The only suspect that ran at a crash is blocked."""

    def test_only_suspect_is_blocked(self) -> None:
        history = build_blocking_history()
        assert history.get_standing(1.0, CULPRIT) is Standing.BLOCKED

    def test_crashes_are_explained_by_it(self) -> None:
        history = build_blocking_history()
        assert history.suspect_count == 0

    def test_suspect_of_a_crash_that_it_does_not_explain_stays_one(self) -> None:
        history = crash_history.CrashHistory()
        history.record_crash(0.0, build_crash(1, CULPRIT))
        history.record_crash(0.0, build_crash(2, b"second"))
        history.record_crash(0.0, build_crash(3, CULPRIT, only_suspect=CULPRIT))
        assert history.get_standing(0.0, b"second") is Standing.SUSPECT

    def test_it_may_run_once_more_as_a_suspect(self) -> None:
        history = build_blocking_history()
        ends_at = crash_history.BLOCK_DURATIONS_S[0]
        assert history.get_standing(ends_at, CULPRIT) is Standing.SUSPECT
        assert history.get_crash_count(CULPRIT) > 1

    def test_each_further_crash_blocks_it_for_longer(self) -> None:
        history = build_blocking_history()
        now = 0.0
        for number, duration_s in enumerate(crash_history.BLOCK_DURATIONS_S, 3):
            assert history.get_remaining_block_s(now, CULPRIT) == duration_s
            now += duration_s
            event = build_crash(number, CULPRIT, only_suspect=CULPRIT)
            history.record_crash(now, event)

    def test_response_unblocks_it(self) -> None:
        history = build_blocking_history()
        assert history.record_response(CULPRIT) is Standing.BLOCKED
        assert history.is_empty

    def test_number_of_blocks_is_bounded(self) -> None:
        history = crash_history.CrashHistory()
        for number in range(2 * crash_history.MAX_BLOCKS):
            identity = b"%d" % number
            history.record_crash(
                0.0, build_crash(number, identity, only_suspect=identity)
            )
        assert history.block_count == crash_history.MAX_BLOCKS


class TestReports:
    """What a node knows is passed on to others."""

    def test_report_of_a_crash_is_merged_once(self) -> None:
        source, target = crash_history.CrashHistory(), crash_history.CrashHistory()
        report = source.record_crash(0.0, build_crash(1, CULPRIT))
        assert target.merge(100.0, report)
        assert not target.merge(100.0, report)
        assert target.get_standing(100.0, CULPRIT) is Standing.SUSPECT

    def test_own_crash_that_comes_back_is_not_new(self) -> None:
        history = crash_history.CrashHistory()
        report = history.record_crash(0.0, build_crash(1, CULPRIT))
        assert not history.merge(0.1, report)

    def test_report_explains_what_the_receiver_suspects(self) -> None:
        source, target = crash_history.CrashHistory(), crash_history.CrashHistory()
        for number, only_suspect in ((1, None), (2, CULPRIT)):
            event = build_crash(
                number, CULPRIT, BYSTANDERS[number], only_suspect=only_suspect
            )
            target.merge(50.0, source.record_crash(0.0, event))
        assert target.get_standing(50.0, CULPRIT) is Standing.BLOCKED
        assert target.suspect_count == 0

    def test_new_node_gets_blocks_with_the_remaining_time(self) -> None:
        report = build_blocking_history().build_handover(10.0)
        target = crash_history.CrashHistory()
        assert target.merge(1000.0, report)
        remaining_s = target.get_remaining_block_s(1000.0, CULPRIT)
        assert remaining_s == crash_history.BLOCK_DURATIONS_S[0] - 10.0

    def test_handover_with_nothing_new_is_not_new(self) -> None:
        history = build_blocking_history()
        assert not history.merge(1.0, history.build_handover(1.0))
