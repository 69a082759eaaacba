"""Commits and reverts settings, and waits until a commit is in force."""

import sys
import time

from catkintiller import data, fold, loader, validation

from . import exit_codes, node_client, render, settings_log, settings_queries

IN_FORCE_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.2


def commit_settings(
    log_url: str, file: str, author: str, message: str, rebase: bool
) -> settings_log.CommitResult | None:
    """Commits the lines of a file that differ from the settings in force.

    :param rebase: whether to commit again on the newer settings after a conflict, if
        none of the settings to be changed differ there.
    :returns: the result of the commit, ``None`` if no line differs.
    """
    entries = loader.load_entries(file)
    state = settings_log.load_state(log_url)
    changes = settings_queries.find_changes(state, entries)
    if not changes:
        return None
    result = settings_log.submit_commit(
        log_url, settings_log.build_commit(state, changes, author, message)
    )
    outcome = result.outcome
    if rebase and outcome and outcome.kind is data.OutcomeKind.CONFLICT:
        newer_state = settings_log.load_state(log_url)
        if can_rebase(state, newer_state, changes):
            commit = settings_log.build_commit(newer_state, changes, author, message)
            result = settings_log.submit_commit(log_url, commit)
    return result


def can_rebase(
    base_state: data.SettingsState,
    newer_state: data.SettingsState,
    changes: tuple[data.Change, ...],
) -> bool:
    """Returns whether the settings to be changed are still those of the base.

    :param base_state: the settings on which the changes are based.
    :param newer_state: the settings after the commit that conflicts.
    """
    get_committed_text = settings_queries.get_committed_text
    return all(
        get_committed_text(base_state, c) == get_committed_text(newer_state, c)
        for c in changes
    )


def revert_commit(
    log_url: str, commit_id: str, author: str
) -> tuple[settings_log.CommitResult | None, str]:
    """Commits the values that were in force before another commit.

    The new commit is based on the one that it reverts, so it conflicts with any later
    commit that changed a setting at the same paths.

    :returns: the result and an empty text, or ``None`` and the reason of the failure.
    """
    state = settings_log.load_state(log_url)
    outcome = fold.find_outcome(state, commit_id)
    if outcome is None:
        return None, "not found among the newest commits"
    if outcome.kind is not data.OutcomeKind.ACCEPTED:
        return (
            None,
            "only an accepted commit can be reverted; the outcome was "
            f"{outcome.kind.value}",
        )
    message = f"revert {commit_id}: {outcome.commit.message}"
    commit = settings_log.build_commit(state, outcome.previous, author, message)
    base = dict.fromkeys(commit.base, outcome.offset)
    return settings_log.submit_commit(log_url, commit._replace(base=base)), ""


def print_commit_result(result: settings_log.CommitResult) -> int:
    """Prints the result of a commit and returns the exit code."""
    outcome = result.outcome
    if outcome is None:
        print(
            f"commit {result.commit_id}: outcome unknown; check later with "
            f"`catkintiller settings log`",
            file=sys.stderr,
        )
        return exit_codes.OUTCOME_UNKNOWN
    print(f"commit {result.commit_id}: {outcome.kind.value} at {outcome.offset}")
    for item in outcome.conflicts:
        print(
            f"  {item.path}: based on offset {item.base}, changed at {item.current} by "
            f"commit {item.winner}; yours: {item.yours}; theirs: {item.theirs}",
            file=sys.stderr,
        )
    for problem in outcome.problems:
        print("  " + validation.format_problem(problem), file=sys.stderr)
    return {
        data.OutcomeKind.ACCEPTED: exit_codes.OK,
        data.OutcomeKind.CONFLICT: exit_codes.CONFLICT,
        data.OutcomeKind.INVALID: exit_codes.INVALID_INPUT,
    }[outcome.kind]


def wait_until_in_force(node: str, offset: int) -> int:
    """Waits until the settings up to an offset are in force at every member.

    :returns: the exit code; ``FAULT_FOUND`` if some members are still outdated after
        ``IN_FORCE_TIMEOUT_S``.
    """
    deadline = time.monotonic() + IN_FORCE_TIMEOUT_S
    while True:
        outdated, queried_count = find_outdated_nodes(node, offset)
        if not outdated:
            print(f"in force at all {queried_count} nodes")
            return exit_codes.OK
        if time.monotonic() > deadline:
            print(
                f"in force at {queried_count - len(outdated)} of {queried_count} nodes"
                "; outdated:"
            )
            render.print_table(["node", "offset"], outdated)
            return exit_codes.FAULT_FOUND
        time.sleep(POLL_INTERVAL_S)


def find_outdated_nodes(node: str, offset: int) -> tuple[list[list[object]], int]:
    """Finds the members whose settings are older than an offset.

    Members that are gone or have left are not queried. Those that do not respond count
    as outdated.

    :returns: address and offset of each outdated member, and the number of members
        queried.
    """
    members = node_client.get_json(node, "/-/members")["members"]
    addresses = [m["http"] for m in members if m["state"] in ("alive", "suspect")]
    outdated = []
    statuses = node_client.get_json_from_all(addresses, "/-/status")
    for address, status in zip(addresses, statuses, strict=True):
        member_offset = status["settings_offset"] if status else "no answer"
        if status is None or member_offset < offset:
            outdated.append([address, member_offset])
    return outdated, len(addresses)
