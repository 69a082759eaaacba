"""Commands that change the settings."""

import sys
import time

from catkintiller import data, fold, loader, validate

from . import exit_codes, node_client, render, settings_log, settings_queries

WAIT_S = 30.0
POLL_S = 0.2


def commit_settings(
    log: str, file: str, author: str, message: str, rebase: bool
) -> settings_log.CommitResult | None:
    """Commits the lines of a file that differ from the settings in force.

    :returns: what became of the commit, ``None`` if there was nothing to do.
    """
    entries = loader.load_entries(file)
    state = settings_log.load_state(log)
    changes = settings_queries.find_changes(state, entries)
    if not changes:
        return None
    submitted = settings_log.submit_commit(
        log, settings_log.build_commit(state, changes, author, message)
    )
    outcome = submitted.outcome
    if rebase and outcome and outcome.kind is data.OutcomeKind.CONFLICT:
        newer = settings_log.load_state(log)
        if can_rebase(state, newer, changes):
            commit = settings_log.build_commit(newer, changes, author, message)
            submitted = settings_log.submit_commit(log, commit)
    return submitted


def can_rebase(
    seen: data.SettingsState,
    newer: data.SettingsState,
    changes: tuple[data.Change, ...],
) -> bool:
    """Tells whether nobody set what is to be changed since the author looked.

    :param seen: the settings that the author saw.
    """
    get_committed_text = settings_queries.get_committed_text
    return all(
        get_committed_text(seen, c) == get_committed_text(newer, c) for c in changes
    )


def revert_commit(
    log: str, commit_id: str, author: str
) -> tuple[settings_log.CommitResult | None, str]:
    """Commits the values from before another commit.

    It is based on that commit, so it conflicts with any later one that touched
    the same tree nodes.

    :returns: what became of it, and why it could not be done if ``None``.
    """
    state = settings_log.load_state(log)
    outcome = fold.find_outcome(state, commit_id)
    if outcome is None:
        return None, "no such commit among the newest"
    if outcome.kind is not data.OutcomeKind.ACCEPTED:
        return None, f"the commit was not accepted but {outcome.kind.value}"
    message = f"revert {commit_id}: {outcome.commit.message}"
    commit = settings_log.build_commit(state, outcome.previous, author, message)
    base = dict.fromkeys(commit.base, outcome.offset)
    return settings_log.submit_commit(log, commit._replace(base=base)), ""


def print_commit_result(submitted: settings_log.CommitResult) -> int:
    """Tells the operator what became of a commit."""
    outcome = submitted.outcome
    if outcome is None:
        print(
            f"commit {submitted.commit_id}: outcome unknown; ask later with "
            f"`catkintiller settings log`",
            file=sys.stderr,
        )
        return exit_codes.OUTCOME_UNKNOWN
    print(f"commit {submitted.commit_id}: {outcome.kind.value} at {outcome.offset}")
    for item in outcome.conflicts:
        print(
            f"  {item.path}: based on {item.base}, now at {item.current} by commit "
            f"{item.winner}; yours: {item.yours}; theirs: {item.theirs}",
            file=sys.stderr,
        )
    for problem in outcome.problems:
        print("  " + validate.format_problem(problem), file=sys.stderr)
    return {
        data.OutcomeKind.ACCEPTED: exit_codes.OK,
        data.OutcomeKind.CONFLICT: exit_codes.CONFLICT,
        data.OutcomeKind.INVALID: exit_codes.INVALID_INPUT,
    }[outcome.kind]


def wait_until_in_force(node: str, offset: int) -> int:
    """Waits until every member runs settings at or after an offset."""
    deadline = time.monotonic() + WAIT_S
    while True:
        laggards, total = find_outdated_nodes(node, offset)
        if not laggards:
            print(f"in force at all {total} nodes")
            return exit_codes.OK
        if time.monotonic() > deadline:
            print(f"in force at {total - len(laggards)} of {total} nodes; lagging:")
            render.print_table(["node", "offset"], laggards)
            return exit_codes.FAULT_FOUND
        time.sleep(POLL_S)


def find_outdated_nodes(node: str, offset: int) -> tuple[list[list[object]], int]:
    """Finds the members whose settings are older than an offset.

    :returns: address and offset of each, and the number of members asked.
    """
    members = node_client.get_json(node, "/-/members")["members"]
    addresses = [m["http"] for m in members if m["state"] in ("alive", "suspect")]
    laggards = []
    answers = node_client.get_json_from_all(addresses, "/-/status")
    for address, status in zip(addresses, answers, strict=True):
        found = status["settings_offset"] if status else "no answer"
        if status is None or found < offset:
            laggards.append([address, found])
    return laggards, len(addresses)
