"""Folds the records of the settings stream into the settings, in offset order.

Every reader applies the same rule to the same records and so holds the same
state. A record at or below the state's offset is never applied again, which is
what keeps an old value from coming back.
"""

from typing import NamedTuple

import msgspec

from . import data, errors, paths, validation

COMMIT_TAG = b"C"
SNAPSHOT_TAG = b"S"
KEPT_OUTCOMES = 512

EMPTY = data.SettingsState(0, {}, {}, ())

_commit_decoder = msgspec.msgpack.Decoder(data.Commit)
_state_decoder = msgspec.msgpack.Decoder(data.SettingsState)


class Recovered(NamedTuple):
    """A state rebuilt from a truncated stream, or ``None`` if it cannot be."""

    state: data.SettingsState | None


def encode_commit(commit: data.Commit) -> bytes:
    """Encodes a commit as a record of the settings stream."""
    return COMMIT_TAG + msgspec.msgpack.encode(commit)


def encode_snapshot(state: data.SettingsState) -> bytes:
    """Encodes the folded state as a record of the settings stream."""
    return SNAPSHOT_TAG + msgspec.msgpack.encode(state)


def apply_record(
    state: data.SettingsState, record: data.LogRecord
) -> data.SettingsState:
    """Applies the next record.

    :returns: the new state, or ``state`` itself if the record is not newer.
    :raises errors.LogTruncated: if records between are missing.
    """
    if record.offset <= state.offset:
        return state
    if record.offset > state.offset + 1:
        raise errors.LogTruncated(state.offset + 1, record.offset)
    tag, body = record.body[:1], record.body[1:]
    if tag == SNAPSHOT_TAG:
        return state._replace(offset=record.offset)
    if tag != COMMIT_TAG:
        return state._replace(offset=record.offset, skipped=state.skipped + 1)
    try:
        commit = _commit_decoder.decode(body)
    except msgspec.DecodeError:
        return state._replace(offset=record.offset, skipped=state.skipped + 1)
    return _apply_commit(state, commit, record.offset)


def _apply_commit(
    state: data.SettingsState, commit: data.Commit, offset: int
) -> data.SettingsState:
    outcome = evaluate_commit(state, commit, offset)
    if find_outcome(state, commit.commit_id) is not None:
        # A commit that was sent again after a lost answer keeps its first outcome.
        return state._replace(offset=offset)
    outcomes = (*state.outcomes, outcome)[-KEPT_OUTCOMES:]
    if outcome.kind is not data.OutcomeKind.ACCEPTED:
        return state._replace(offset=offset, outcomes=outcomes)
    values = apply_changes(state.values, commit)
    touched = {change.path: offset for change in commit.changes}
    versions = {**state.versions, **touched}
    return data.SettingsState(offset, values, versions, outcomes, state.skipped)


def evaluate_commit(
    state: data.SettingsState, commit: data.Commit, offset: int
) -> data.Outcome:
    """Decides whether a commit applies to ``state``."""
    conflicts = tuple(iter_conflicts(state, commit))
    if conflicts:
        kind = data.OutcomeKind.CONFLICT
        return data.Outcome(kind, offset, commit, conflicts=conflicts)
    source = data.Source(f"commit {commit.commit_id}", "", 0)
    entries = [
        data.Entry(*change, source._replace(section=change.path))
        for change in commit.changes
    ]
    problems = validation.validate_entries(entries, tolerate_unknown=True)
    if not problems:
        services = {paths.get_service(change.path) for change in commit.changes}
        values = apply_changes(state.values, commit)
        problems = validation.validate_values(values, services)
    if problems:
        kind = data.OutcomeKind.INVALID
        return data.Outcome(kind, offset, commit, problems=tuple(problems))
    previous = tuple(
        data.Change(change.path, change.name, _get_text(state, change))
        for change in commit.changes
    )
    return data.Outcome(data.OutcomeKind.ACCEPTED, offset, commit, previous=previous)


def iter_conflicts(state: data.SettingsState, commit: data.Commit):
    """Yields a conflict for each touched path whose base is not current."""
    for path in sorted({change.path for change in commit.changes}):
        base = commit.base.get(path, 0)
        current = state.versions.get(path, 0)
        if base == current:
            continue
        mine = [change for change in commit.changes if change.path == path]
        yours = ", ".join(f"{change.name}={change.value}" for change in mine)
        theirs = ", ".join(f"{c.name}={_get_text(state, c)}" for c in mine)
        winner = _find_commit_at(state, current)
        yield data.ConflictItem(path, base, current, winner, yours, theirs)


def apply_changes(
    values: dict[str, dict[str, data.Value]], commit: data.Commit
) -> dict[str, dict[str, data.Value]]:
    """Gets the values after a commit; ``values`` itself is left as it is."""
    changed = dict(values)
    for change in commit.changes:
        settings = dict(changed.get(change.path, {}))
        if change.value is None:
            settings.pop(change.name, None)
        else:
            settings[change.name] = data.Value(change.value, commit.commit_id)
        changed[change.path] = settings
    return changed


def find_outcome(state: data.SettingsState, commit_id: str) -> data.Outcome | None:
    """Finds what became of a commit, if it is among the newest ones."""
    for outcome in reversed(state.outcomes):
        if outcome.commit.commit_id == commit_id:
            return outcome
    return None


def recover_state(
    state: data.SettingsState, records: list[data.LogRecord]
) -> Recovered:
    """Rebuilds the state from what a truncated stream still holds.

    :param records: consecutive records; the newest usable snapshot among them
        is the base and the records after its offset are applied on top.
    """
    if not records:
        return Recovered(None)
    base = state if records[0].offset <= state.offset + 1 else None
    for record in records:
        if record.body[:1] != SNAPSHOT_TAG:
            continue
        try:
            found = _state_decoder.decode(record.body[1:])
        except msgspec.DecodeError:
            continue
        newer = found.offset > (base.offset if base else state.offset)
        if newer and records[0].offset <= found.offset + 1 <= record.offset:
            base = found
    if base is None:
        return Recovered(None)
    for record in records:
        base = apply_record(base, record)
    return Recovered(base)


def _get_text(state: data.SettingsState, change: data.Change) -> str | None:
    value = state.values.get(change.path, {}).get(change.name)
    return value.text if value else None


def _find_commit_at(state: data.SettingsState, offset: int) -> str:
    for outcome in reversed(state.outcomes):
        if outcome.offset == offset:
            return outcome.commit.commit_id
    return ""
