"""Loads settings files whole: parsed, checked and, if asked, as a tree."""

from . import data, errors, fold, ini, paths, tree, validation


def load_entries(file: str) -> list[data.Entry]:
    """Loads a settings file and checks each entry by itself.

    :raises errors.SettingsInvalid: with all problems of the file.
    :raises OSError: if the file cannot be read.
    """
    with open(file, encoding="utf-8") as stream:
        return parse_entries(stream.read(), file)


def parse_entries(text: str, file: str) -> list[data.Entry]:
    """Parses a settings text and checks each entry by itself.

    :raises errors.SettingsInvalid: with all problems of the text.
    """
    entries, problems = ini.parse_ini(text, file)
    problems += validation.validate_entries(entries)
    if problems:
        raise errors.SettingsInvalid(problems)
    return entries


def build_tree(entries: list[data.Entry]) -> tree.SettingsTree:
    """Makes the tree that committing the entries to an empty one would give.

    :raises errors.SettingsInvalid: if the whole does not hold together.
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
    """Loads a settings file as the tree that it describes.

    :raises errors.SettingsInvalid: with all problems of the file.
    """
    return build_tree(load_entries(file))
