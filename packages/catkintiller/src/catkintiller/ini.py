"""Loads settings texts in INI form into entries with their source lines.

A section names a path of the tree, a line ``name = value`` a setting, and the
value ``inherit`` clears the setting so that the parent's value holds again.
"""

from . import data

INHERIT = "inherit"


def parse_ini(text: str, file: str) -> tuple[list[data.Entry], list[data.Problem]]:
    """Parses an INI text.

    :returns: the entries in order, and every problem of the text's form.
    """
    entries: list[data.Entry] = []
    problems: list[data.Problem] = []
    section = ""
    seen: set[tuple[str, str]] = set()
    for number, raw in enumerate(text.splitlines(), start=1):
        line = raw.strip()
        if not line or line[0] in "#;":
            continue
        source = data.Source(file, section, number)
        if line.startswith("[") and line.endswith("]"):
            section = line[1:-1].strip()
            continue
        name, equals, value = (part.strip() for part in line.partition("="))
        problem = _find_problem(section, name, equals, value, source, seen)
        if problem:
            problems.append(problem)
            continue
        seen.add((section, name))
        parsed = None if value == INHERIT else value
        entries.append(data.Entry(section, name, parsed, source))
    return entries, problems


def _find_problem(
    section: str,
    name: str,
    equals: str,
    value: str,
    source: data.Source,
    seen: set[tuple[str, str]],
) -> data.Problem | None:
    kind = data.ProblemKind.SYNTAX
    if not section:
        return data.Problem(kind, source, "line before any section", "[section]")
    if not equals or not name or not value:
        return data.Problem(kind, source, "not a setting", "name = value")
    if (section, name) in seen:
        kind = data.ProblemKind.DUPLICATE
        return data.Problem(kind, source, f"{name} is set twice", "one line each")
    return None


def format_ini(values: dict[str, dict[str, str]]) -> str:
    """Writes a settings text that :func:`parse_ini` reads back."""
    sections = []
    for path in sorted(values):
        lines = [f"{name} = {text}" for name, text in sorted(values[path].items())]
        sections.append("\n".join([f"[{path}]", *lines]))
    return "\n\n".join(sections) + "\n"
