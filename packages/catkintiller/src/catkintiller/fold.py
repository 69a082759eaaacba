"""Folds the records of the settings stream into a state, in offset order.

Applying records is deterministic, so all readers of the stream compute the same
state. A record whose offset is not above that of the state is never applied again;
otherwise, an outdated value could replace a newer one.
"""

from typing import NamedTuple

import msgspec

from . import data, errors, paths, validation

COMMIT_TAG = b"C"
SNAPSHOT_TAG = b"S"
MAX_OUTCOME_COUNT = 512

EMPTY = data.SettingsState(0, {}, {}, ())

_commit_decoder = msgspec.msgpack.Decoder(data.Commit)
_state_decoder = msgspec.msgpack.Decoder(data.SettingsState)


class RecoveryResult(NamedTuple):
    """State recovered from a truncated stream, or ``None`` if that is impossible."""

    state: data.SettingsState | None


def encode_commit(commit: data.Commit) -> bytes:
    """Encodes a commit as a record of the settings stream."""
    return COMMIT_TAG + msgspec.msgpack.encode(commit)


def encode_snapshot(state: data.SettingsState) -> bytes:
    """Encodes a state as a snapshot record of the settings stream."""
    return SNAPSHOT_TAG + msgspec.msgpack.encode(state)


def apply_record(
    state: data.SettingsState, record: data.LogRecord
) -> data.SettingsState:
    """Applies the next record to ``state``.

    A snapshot, an unknown tag or an unreadable commit changes no settings.

    :returns: the new state, or ``state`` itself if the record is not newer.
    :raises errors.LogTruncated: if records before this one are missing.
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
        # A commit that is appended again after a lost response keeps its first outcome.
        return state._replace(offset=offset)
    outcomes = (*state.outcomes, outcome)[-MAX_OUTCOME_COUNT:]
    if outcome.kind is not data.OutcomeKind.ACCEPTED:
        return state._replace(offset=offset, outcomes=outcomes)
    values = apply_changes(state.values, commit)
    changed_versions = {change.path: offset for change in commit.changes}
    versions = {**state.versions, **changed_versions}
    return data.SettingsState(offset, values, versions, outcomes, state.skipped)


def evaluate_commit(
    state: data.SettingsState, commit: data.Commit, offset: int
) -> data.Outcome:
    """Determines the outcome of applying a commit to ``state``.

    :param offset: offset of the record of the commit.
    """
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
        data.Change(change.path, change.name, _get_current_text(state, change))
        for change in commit.changes
    )
    return data.Outcome(data.OutcomeKind.ACCEPTED, offset, commit, previous=previous)


def iter_conflicts(state: data.SettingsState, commit: data.Commit):
    """Yields a conflict for each changed path whose base version is not current."""
    for path in sorted({change.path for change in commit.changes}):
        base = commit.base.get(path, 0)
        current = state.versions.get(path, 0)
        if base == current:
            continue
        conflicting_changes = [
            change for change in commit.changes if change.path == path
        ]
        yours = ", ".join(
            f"{change.name}={change.value}" for change in conflicting_changes
        )
        theirs = ", ".join(
            f"{c.name}={_get_current_text(state, c)}" for c in conflicting_changes
        )
        winner = _find_commit_id(state, current)
        yield data.ConflictItem(path, base, current, winner, yours, theirs)


def apply_changes(
    values: dict[str, dict[str, data.Value]], commit: data.Commit
) -> dict[str, dict[str, data.Value]]:
    """Returns the values after a commit, without modifying ``values``."""
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
    """Returns the outcome of a commit, or ``None`` if it is not among the newest."""
    for outcome in reversed(state.outcomes):
        if outcome.commit.commit_id == commit_id:
            return outcome
    return None


def recover_state(
    state: data.SettingsState, records: list[data.LogRecord]
) -> RecoveryResult:
    """Recovers the state from the retained records of a truncated stream.

    :param state: state of the reader so far; the base if no record after it is missing
        and no newer snapshot is usable.
    :param records: consecutive records. The newest usable snapshot among them is the
        base, and the records after its offset are applied to it.
    """
    if not records:
        return RecoveryResult(None)
    base = state if records[0].offset <= state.offset + 1 else None
    for record in records:
        if record.body[:1] != SNAPSHOT_TAG:
            continue
        try:
            snapshot = _state_decoder.decode(record.body[1:])
        except msgspec.DecodeError:
            continue
        is_newer = snapshot.offset > (base.offset if base else state.offset)
        if is_newer and records[0].offset <= snapshot.offset + 1 <= record.offset:
            base = snapshot
    if base is None:
        return RecoveryResult(None)
    for record in records:
        base = apply_record(base, record)
    return RecoveryResult(base)


def _get_current_text(state: data.SettingsState, change: data.Change) -> str | None:
    value = state.values.get(change.path, {}).get(change.name)
    return value.text if value else None


def _find_commit_id(state: data.SettingsState, offset: int) -> str:
    for outcome in reversed(state.outcomes):
        if outcome.offset == offset:
            return outcome.commit.commit_id
    return ""
