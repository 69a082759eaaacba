"""Commands that tell about the settings and change nothing."""

import sys

from catkintiller import data, ini, loader, options, paths, tree

from . import exit_codes, render, settings_log


def check_settings(file: str) -> int:
    """Checks a settings file and tells every problem at once."""
    entries = loader.load_entries(file)
    loader.make_tree(entries)
    print(f"{file}: good, {len(entries)} settings")
    return exit_codes.OK


def show_settings(log: str, path: str, as_json: bool) -> int:
    """Shows the settings below a path, as a text that can be committed again."""
    state = settings_log.load_state(log)
    values = {
        found: {name: value.text for name, value in settings.items()}
        for found, settings in state.values.items()
        if settings and (path == paths.ROOT or found.startswith(path))
    }
    if as_json:
        render.print_json({"offset": state.offset, "values": values})
    else:
        print(f"# offset {state.offset}")
        print(ini.format_ini(values), end="")
    return exit_codes.OK


def explain_settings(log: str, path: str, as_json: bool) -> int:
    """Explains each effective value at a path."""
    level = paths.get_level(path)
    if level is None:
        print(f"{path!r} is no path; allowed: {paths.GRAMMAR}", file=sys.stderr)
        return exit_codes.INVALID_INPUT
    found = tree.Tree(settings_log.load_state(log))
    rows = []
    for name, setting in sorted(options.SETTINGS.items()):
        if level not in setting.levels:
            continue
        explained = found.explain(path, name)
        shadows = ", ".join(f"{p}={text}" for p, text in explained.shadows)
        rows.append(
            [name, explained.text, explained.path, explained.commit_id, shadows]
        )
    columns = ["setting", "value", "from", "commit", "shadows"]
    render.print_rows(columns, rows, as_json)
    return exit_codes.OK


def diff_settings(log: str, file: str, as_json: bool) -> int:
    """Shows what committing a file would change."""
    state = settings_log.load_state(log)
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


def list_commits(log: str, as_json: bool) -> int:
    """Lists the newest commits and what became of them."""
    state = settings_log.load_state(log)
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
    """Finds the entries that differ from the committed settings."""
    changes = [data.Change(entry.path, entry.name, entry.value) for entry in entries]
    return tuple(c for c in changes if get_committed_text(state, c) != (c.value or "-"))


def get_committed_text(state: data.SettingsState, change: data.Change) -> str:
    """Gets the committed text that a change is about, ``-`` if there is none."""
    value = state.values.get(change.path, {}).get(change.name)
    return value.text if value else "-"
