"""Folding a log gives the same state, however the records are delivered."""

from hypothesis import given
from hypothesis import strategies as st

from . import data, errors, fold, paths

PATHS = ("root", "service/a", "service/b", "service/a/endpoint/x")
NAMES = ("slots", "concurrency")
VALUES = {"slots": ("1", "2", "3", "none"), "concurrency": ("off", "static")}


@st.composite
def draw_log(draw) -> list[data.LogRecord]:
    """Draws a log of commits, repeated commits, snapshots and garbage."""
    state = fold.EMPTY
    records: list[data.LogRecord] = []
    bodies: list[bytes] = []
    for number in range(draw(st.integers(1, 25))):
        record_kind = draw(
            st.sampled_from(["commit"] * 6 + ["resend", "snapshot", "garbage"])
        )
        if record_kind == "resend" and bodies:
            body = draw(st.sampled_from(bodies))
        elif record_kind == "snapshot":
            body = fold.encode_snapshot(state)
        elif record_kind == "garbage":
            body = draw(st.binary(max_size=8))
        else:
            body = fold.encode_commit(draw_commit(draw, state, number))
            bodies.append(body)
        records.append(data.LogRecord(number + 1, body))
        state = fold.apply_record(state, records[-1])
    return records


def draw_commit(draw, state: data.SettingsState, number: int) -> data.Commit:
    """Draws a commit with the current base or an older one."""
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
    """Applies all records of a log to the empty state."""
    state = fold.EMPTY
    for record in records:
        state = fold.apply_record(state, record)
    return state


class TestFold:
    """All readers of a log compute the same state."""

    @given(draw_log(), st.data())
    def test_repeated_and_stale_records_are_ignored(self, records, drawn_data) -> None:
        state = fold.EMPTY
        last = 0
        for record in records:
            state = fold.apply_record(state, record)
            repeated = drawn_data.draw(st.sampled_from(records[: record.offset]))
            assert fold.apply_record(state, repeated) is state
            assert state.offset > last
            last = state.offset
        assert state == fold_all(records)

    @given(draw_log(), st.data())
    def test_recovery_after_truncation_gives_the_same_values(
        self, records, drawn_data
    ) -> None:
        complete = fold_all(records)
        first = drawn_data.draw(st.integers(1, len(records)))
        retained = records[first - 1 :]
        recovered = fold.recover_state(fold.EMPTY, retained).state
        if recovered is None:
            snapshots = [r for r in retained if r.body[:1] == fold.SNAPSHOT_TAG]
            assert first > 1
            assert not any(r.offset == first for r in snapshots)
        else:
            assert recovered.values == complete.values
            assert recovered.versions == complete.versions
            assert recovered.offset == complete.offset

    @given(draw_log())
    def test_missing_record_raises_an_error(self, records) -> None:
        if len(records) < 2:
            return
        try:
            fold.apply_record(fold.EMPTY, records[1])
        except errors.LogTruncated as error:
            assert error.first == 2
        else:
            raise AssertionError("the missing record was not detected")

    @given(draw_log())
    def test_versions_match_the_accepted_commits(self, records) -> None:
        state = fold_all(records)
        accepted = [o for o in state.outcomes if o.kind is data.OutcomeKind.ACCEPTED]
        for path, version in state.versions.items():
            change_offsets = [
                o.offset
                for o in accepted
                if any(c.path == path for c in o.commit.changes)
            ]
            assert max(change_offsets) == version

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
    """Grammar and lineage of paths."""

    def test_lineage(self) -> None:
        assert paths.get_lineage("place/r/z") == ["place/r/z", "place/r", "root"]
        assert paths.get_lineage("service/s/kind/k") == [
            "service/s/kind/k",
            "service/s",
            "root",
        ]
        assert paths.get_level("service/s/kind") is None
