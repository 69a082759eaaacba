"""Parser and formatter of settings in INI format.

A section is named after a path of the tree, and a line ``name = value`` is a setting.
The value ``inherit`` clears the setting, so that the value of the parent applies.
"""

from . import data

INHERIT = "inherit"


def parse_ini(text: str, file: str) -> tuple[list[data.Entry], list[data.Problem]]:
    """Parses a text in INI format.

    :param file: name of the file, for problems.
    :returns: the entries in order, and all syntax problems and duplicates.
    """
    entries: list[data.Entry] = []
    problems: list[data.Problem] = []
    section = ""
    seen_settings: set[tuple[str, str]] = set()
    for line_number, raw_line in enumerate(text.splitlines(), start=1):
        line = raw_line.strip()
        if not line or line[0] in "#;":
            continue
        source = data.Source(file, section, line_number)
        if line.startswith("[") and line.endswith("]"):
            section = line[1:-1].strip()
            continue
        name, separator, value = (part.strip() for part in line.partition("="))
        problem = _find_syntax_problem(
            section, name, separator, value, source, seen_settings
        )
        if problem:
            problems.append(problem)
            continue
        seen_settings.add((section, name))
        parsed_value = None if value == INHERIT else value
        entries.append(data.Entry(section, name, parsed_value, source))
    return entries, problems


def _find_syntax_problem(
    section: str,
    name: str,
    separator: str,
    value: str,
    source: data.Source,
    seen_settings: set[tuple[str, str]],
) -> data.Problem | None:
    kind = data.ProblemKind.SYNTAX
    if not section:
        return data.Problem(
            kind, source, "the line precedes the first section", "[section]"
        )
    if not separator or not name or not value:
        return data.Problem(kind, source, "the line is not a setting", "name = value")
    if (section, name) in seen_settings:
        kind = data.ProblemKind.DUPLICATE
        return data.Problem(
            kind, source, f"{name} is set more than once", "one line for each setting"
        )
    return None


def format_ini(values: dict[str, dict[str, str]]) -> str:
    """Formats values as a text that :func:`parse_ini` accepts.

    :param values: texts of the values by path and by name.
    """
    sections = []
    for path in sorted(values):
        lines = [f"{name} = {text}" for name, text in sorted(values[path].items())]
        sections.append("\n".join([f"[{path}]", *lines]))
    return "\n\n".join(sections) + "\n"
