"""Loads settings files as validated entries or as a settings tree."""

from . import data, errors, fold, ini, paths, tree, validation


def load_entries(file: str) -> list[data.Entry]:
    """Loads a settings file and validates each entry separately.

    :raises errors.SettingsInvalid: with all problems of the file.
    :raises OSError: if the file cannot be read.
    """
    with open(file, encoding="utf-8") as stream:
        return parse_entries(stream.read(), file)


def parse_entries(text: str, file: str) -> list[data.Entry]:
    """Parses a text in INI format and validates each entry separately.

    :param file: name of the file, for problems.

    :raises errors.SettingsInvalid: with all problems of the text.
    """
    entries, problems = ini.parse_ini(text, file)
    problems += validation.validate_entries(entries)
    if problems:
        raise errors.SettingsInvalid(problems)
    return entries


def build_tree(entries: list[data.Entry]) -> tree.SettingsTree:
    """Builds the tree that results from committing the entries to an empty tree.

    :raises errors.SettingsInvalid: if the entries are invalid in combination.
    """
    changes = tuple(data.Change(*entry[:3]) for entry in entries)
    commit = data.Commit("file", "", "", {}, changes)
    values = fold.apply_changes({}, commit)
    services = {paths.get_service(entry.path) for entry in entries}
    problems = validation.validate_values(values, services)
    if problems:
        raise errors.SettingsInvalid(problems)
    return tree.SettingsTree(fold.EMPTY._replace(values=values))


def load_tree(file: str) -> tree.SettingsTree:
    """Loads a settings file as a settings tree.

    :raises errors.SettingsInvalid: with all problems of the file.
    """
    return build_tree(load_entries(file))
