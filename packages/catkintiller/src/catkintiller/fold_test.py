"""The fold gives one state for one log, whatever way the records came."""

from hypothesis import given
from hypothesis import strategies as st

from . import data, errors, fold, paths

PATHS = ("root", "service/a", "service/b", "service/a/endpoint/x")
NAMES = ("slots", "concurrency")
VALUES = {"slots": ("1", "2", "3", "none"), "concurrency": ("off", "static")}


@st.composite
def draw_log(draw) -> list[data.LogRecord]:
    """Draws a log of commits, resends, snapshots and garbage."""
    state = fold.EMPTY
    records: list[data.LogRecord] = []
    bodies: list[bytes] = []
    for number in range(draw(st.integers(1, 25))):
        what = draw(st.sampled_from(["commit"] * 6 + ["resend", "snapshot", "junk"]))
        if what == "resend" and bodies:
            body = draw(st.sampled_from(bodies))
        elif what == "snapshot":
            body = fold.encode_snapshot(state)
        elif what == "junk":
            body = draw(st.binary(max_size=8))
        else:
            body = fold.encode_commit(draw_commit(draw, state, number))
            bodies.append(body)
        records.append(data.LogRecord(number + 1, body))
        state = fold.apply_record(state, records[-1])
    return records


def draw_commit(draw, state: data.SettingsState, number: int) -> data.Commit:
    """Draws a commit on the newest or on an older base."""
    changes = []
    for path in draw(st.sets(st.sampled_from(PATHS), min_size=1)):
        name = draw(st.sampled_from(NAMES if path != "service/a" else NAMES[:1]))
        value = draw(st.none() | st.sampled_from(VALUES[name]))
        changes.append(data.Change(path, name, value))
    base = {c.path: state.versions.get(c.path, 0) for c in changes}
    if draw(st.booleans()):
        base = {path: max(0, at - 1) for path, at in base.items()}
    return data.Commit(f"c{number}", "author", "", base, tuple(changes))


def fold_all(records: list[data.LogRecord]) -> data.SettingsState:
    """Folds a whole log."""
    state = fold.EMPTY
    for record in records:
        state = fold.apply_record(state, record)
    return state


class TestFold:
    """Every reader of one log holds one state."""

    @given(draw_log(), st.data())
    def test_repeated_and_stale_records_change_nothing(self, records, drawn) -> None:
        state = fold.EMPTY
        last = 0
        for record in records:
            state = fold.apply_record(state, record)
            again = drawn.draw(st.sampled_from(records[: record.offset]))
            assert fold.apply_record(state, again) is state
            assert state.offset > last
            last = state.offset
        assert state == fold_all(records)

    @given(draw_log(), st.data())
    def test_recovery_after_truncation_gives_the_same_values(
        self, records, drawn
    ) -> None:
        whole = fold_all(records)
        first = drawn.draw(st.integers(1, len(records)))
        kept = records[first - 1 :]
        recovered = fold.recover_state(fold.EMPTY, kept).state
        if recovered is None:
            usable = [r for r in kept if r.body[:1] == fold.SNAPSHOT_TAG]
            assert first > 1
            assert not any(r.offset == first for r in usable)
        else:
            assert recovered.values == whole.values
            assert recovered.versions == whole.versions
            assert recovered.offset == whole.offset

    @given(draw_log())
    def test_a_gap_is_an_error(self, records) -> None:
        if len(records) < 2:
            return
        try:
            fold.apply_record(fold.EMPTY, records[1])
        except errors.LogTruncated as error:
            assert error.first == 2
        else:
            raise AssertionError("a gap went unseen")

    @given(draw_log())
    def test_outcomes_tell_what_applied(self, records) -> None:
        state = fold_all(records)
        accepted = [o for o in state.outcomes if o.kind is data.OutcomeKind.ACCEPTED]
        for path, version in state.versions.items():
            touching = [
                o.offset
                for o in accepted
                if any(c.path == path for c in o.commit.changes)
            ]
            assert max(touching) == version

    def test_conflict_names_both_values_and_the_winner(self) -> None:
        first = data.Commit(
            "one", "ann", "", {"root": 0}, (data.Change("root", "slots", "5"),)
        )
        second = data.Commit(
            "two", "bob", "", {"root": 0}, (data.Change("root", "slots", "6"),)
        )
        records = [
            data.LogRecord(1, fold.encode_commit(first)),
            data.LogRecord(2, fold.encode_commit(second)),
        ]
        outcome = fold.find_outcome(fold_all(records), "two")
        assert outcome.kind is data.OutcomeKind.CONFLICT
        expected = data.ConflictItem("root", 0, 1, "one", "slots=6", "slots=5")
        assert outcome.conflicts == (expected,)

    def test_unknown_setting_of_a_newer_version_is_kept(self) -> None:
        commit = data.Commit(
            "one", "ann", "", {"root": 0}, (data.Change("root", "future", "5"),)
        )
        state = fold_all([data.LogRecord(1, fold.encode_commit(commit))])
        assert state.values["root"]["future"].text == "5"


class TestPaths:
    """The tree's grammar."""

    def test_lineage(self) -> None:
        assert paths.get_lineage("place/r/z") == ["place/r/z", "place/r", "root"]
        assert paths.get_lineage("service/s/kind/k") == [
            "service/s/kind/k",
            "service/s",
            "root",
        ]
        assert paths.get_level("service/s/kind") is None
