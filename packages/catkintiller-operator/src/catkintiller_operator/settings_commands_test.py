"""Rebase and revert never take another operator's change away."""

from catkintiller import data, fold

from . import settings_commands


def apply(state: data.SettingsState, name: str, value: str) -> data.SettingsState:
    """Commits one change at the root."""
    base = {"root": state.versions.get("root", 0)}
    change = data.Change("root", name, value)
    commit = data.Commit(f"c{state.offset}", "me", "", base, (change,))
    record = data.LogRecord(state.offset + 1, fold.encode_commit(commit))
    return fold.apply_record(state, record)


class TestRebase:
    """A commit moves only over changes of other settings."""

    def test_other_setting(self) -> None:
        seen = apply(fold.EMPTY, "slots", "5")
        newer = apply(seen, "retries", "1")
        mine = (data.Change("root", "slots", "6"),)
        assert settings_commands.can_rebase(seen, newer, mine)

    def test_same_setting(self) -> None:
        seen = apply(fold.EMPTY, "slots", "5")
        newer = apply(seen, "slots", "7")
        mine = (data.Change("root", "slots", "6"),)
        assert not settings_commands.can_rebase(seen, newer, mine)


class TestRevert:
    """A revert is based on the commit that it takes back."""

    def test_conflicts_with_a_later_change(self, monkeypatch) -> None:
        first = apply(fold.EMPTY, "slots", "5")
        state = apply(first, "slots", "7")
        submitted = []
        settings_log = settings_commands.settings_log
        monkeypatch.setattr(settings_log, "load_state", lambda log: state)
        monkeypatch.setattr(
            settings_log, "submit_commit", lambda log, c: submitted.append(c)
        )
        settings_commands.revert_commit("log", "c0", "me")
        outcome = fold.evaluate_commit(state, submitted[0], 3)
        assert outcome.kind is data.OutcomeKind.CONFLICT
