"""Tests that rebase and revert never undo another operator's change."""

from catkintiller import data, fold

from . import settings_commands


def apply_change(
    state: data.SettingsState, name: str, value: str
) -> data.SettingsState:
    """Commits one change at the root and returns the new state."""
    base = {"root": state.versions.get("root", 0)}
    change = data.Change("root", name, value)
    commit = data.Commit(f"c{state.offset}", "me", "", base, (change,))
    record = data.LogRecord(state.offset + 1, fold.encode_commit(commit))
    return fold.apply_record(state, record)


class TestRebase:
    """A commit is rebased only over changes of other settings."""

    def test_other_setting(self) -> None:
        base_state = apply_change(fold.EMPTY, "slots", "5")
        newer_state = apply_change(base_state, "retries", "1")
        changes = (data.Change("root", "slots", "6"),)
        assert settings_commands.can_rebase(base_state, newer_state, changes)

    def test_same_setting(self) -> None:
        base_state = apply_change(fold.EMPTY, "slots", "5")
        newer_state = apply_change(base_state, "slots", "7")
        changes = (data.Change("root", "slots", "6"),)
        assert not settings_commands.can_rebase(base_state, newer_state, changes)


class TestRevert:
    """A revert is based on the commit that it reverts."""

    def test_conflicts_with_a_later_change(self, monkeypatch) -> None:
        first_state = apply_change(fold.EMPTY, "slots", "5")
        state = apply_change(first_state, "slots", "7")
        submitted = []
        settings_log = settings_commands.settings_log
        monkeypatch.setattr(settings_log, "load_state", lambda log: state)
        monkeypatch.setattr(
            settings_log, "submit_commit", lambda log, c: submitted.append(c)
        )
        settings_commands.revert_commit("log", "c0", "me")
        outcome = fold.evaluate_commit(state, submitted[0], 3)
        assert outcome.kind is data.OutcomeKind.CONFLICT
