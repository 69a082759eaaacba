"""Commands that query the settings without changing them."""

import sys

from catkintiller import data, ini, loader, options, paths, tree

from . import exit_codes, render, settings_log


def check_settings(file: str) -> int:
    """Checks a settings file.

    :raises errors.SettingsInvalid: with all problems of the file.
    """
    entries = loader.load_entries(file)
    loader.build_tree(entries)
    print(f"{file}: valid, {len(entries)} settings")
    return exit_codes.OK


def show_settings(log_url: str, path: str, as_json: bool) -> int:
    """Prints the settings at and below a path.

    The text form is a settings file that can be committed again.
    """
    state = settings_log.load_state(log_url)
    values = {
        matching_path: {name: value.text for name, value in settings.items()}
        for matching_path, settings in state.values.items()
        if settings and (path == paths.ROOT or matching_path.startswith(path))
    }
    if as_json:
        render.print_json({"offset": state.offset, "values": values})
    else:
        print(f"# offset {state.offset}")
        print(ini.format_ini(values), end="")
    return exit_codes.OK


def explain_settings(log_url: str, path: str, as_json: bool) -> int:
    """Prints each effective value at a path, its source and what it shadows."""
    level = paths.get_level(path)
    if level is None:
        print(
            f"{path!r} is not a path of the settings tree; allowed: {paths.GRAMMAR}",
            file=sys.stderr,
        )
        return exit_codes.INVALID_INPUT
    effective = tree.SettingsTree(settings_log.load_state(log_url))
    rows = []
    for name, setting in sorted(options.SETTINGS.items()):
        if level not in setting.levels:
            continue
        explanation = effective.explain(path, name)
        shadows = ", ".join(f"{p}={text}" for p, text in explanation.shadows)
        rows.append(
            [name, explanation.text, explanation.path, explanation.commit_id, shadows]
        )
    columns = ["setting", "value", "from", "commit", "shadows"]
    render.print_rows(columns, rows, as_json)
    return exit_codes.OK


def diff_settings(log_url: str, file: str, as_json: bool) -> int:
    """Prints the settings that committing a file would change."""
    state = settings_log.load_state(log_url)
    rows = [
        [
            change.path,
            change.name,
            get_committed_text(state, change),
            change.value or "inherit",
        ]
        for change in find_changes(state, loader.load_entries(file))
    ]
    render.print_rows(["path", "setting", "now", "then"], rows, as_json)
    return exit_codes.OK


def list_commits(log_url: str, as_json: bool) -> int:
    """Prints the newest commits and their outcomes."""
    state = settings_log.load_state(log_url)
    rows = [
        [
            outcome.offset,
            outcome.commit.commit_id,
            outcome.kind.value,
            outcome.commit.author,
            len(outcome.commit.changes),
            outcome.commit.message,
        ]
        for outcome in state.outcomes
    ]
    columns = ["offset", "commit", "outcome", "author", "changes", "message"]
    render.print_rows(columns, rows, as_json)
    return exit_codes.OK


def find_changes(
    state: data.SettingsState, entries: list[data.Entry]
) -> tuple[data.Change, ...]:
    """Returns the changes for the entries that differ from the committed settings."""
    changes = [data.Change(entry.path, entry.name, entry.value) for entry in entries]
    return tuple(c for c in changes if get_committed_text(state, c) != (c.value or "-"))


def get_committed_text(state: data.SettingsState, change: data.Change) -> str:
    """Returns the committed text of the setting of a change, ``-`` if it is not set."""
    value = state.values.get(change.path, {}).get(change.name)
    return value.text if value else "-"
