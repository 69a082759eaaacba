"""Checks entries against the declared settings and the shape of the tree."""

from . import data, options, paths


def validate_entries(
    entries: list[data.Entry], tolerate_unknown: bool = False
) -> list[data.Problem]:
    """Checks each entry by itself.

    :param tolerate_unknown: accept names that this version does not know, so
        that an older node keeps running while newer ones are rolled out.
    :returns: every problem, in the order of the entries.
    """
    problems = []
    for entry in entries:
        problem = _validate_entry(entry, tolerate_unknown)
        if problem:
            problems.append(problem)
    return problems


def _validate_entry(entry: data.Entry, tolerate_unknown: bool) -> data.Problem | None:
    level = paths.get_level(entry.path)
    if level is None:
        return data.Problem(
            data.ProblemKind.UNKNOWN_PATH,
            entry.source,
            f"{entry.path!r} is no path of the tree",
            paths.GRAMMAR,
        )
    setting = options.SETTINGS.get(entry.name)
    if setting is None:
        if tolerate_unknown:
            return None
        return data.Problem(
            data.ProblemKind.UNKNOWN_SETTING,
            entry.source,
            f"{entry.name!r} is no setting",
            ", ".join(sorted(options.SETTINGS)),
        )
    if level not in setting.levels:
        return data.Problem(
            data.ProblemKind.WRONG_LEVEL,
            entry.source,
            f"{entry.name} cannot be set at a {level.value}",
            ", ".join(level.value for level in setting.levels),
        )
    if entry.value is None:
        return None
    found = options.parse_value(setting, entry.value)
    if isinstance(found, options.ValueRejected):
        return data.Problem(found.kind, entry.source, found.message, found.allowed)
    return None


def validate_values(
    values: dict[str, dict[str, data.Value]], services: set[str]
) -> list[data.Problem]:
    """Checks what only the whole of a service shows.

    Each kind of request needs a match, and no two kinds may have the same one.

    :param services: names of the services to check.
    """
    problems = []
    matches: dict[tuple[str, str], str] = {}
    for path in sorted(paths.iter_kinds(values, services)):
        settings = values[path]
        if not settings:
            continue
        source = data.Source("tree", path, 0)
        match = settings.get("match")
        if match is None:
            problems.append(
                data.Problem(
                    data.ProblemKind.MISSING,
                    source,
                    "a kind of request without a match",
                    options.get_allowed(options.SETTINGS["match"]),
                )
            )
            continue
        service = paths.get_service(path)
        other = matches.setdefault((service, match.text), path)
        if other != path:
            problems.append(
                data.Problem(
                    data.ProblemKind.DUPLICATE,
                    source,
                    f"{match.text!r} also matches {other}",
                    "one kind of request for each match",
                )
            )
    return problems


def format_problem(problem: data.Problem) -> str:
    """Writes a problem on one line for people."""
    source = problem.source
    return (
        f"{source.file}:{source.line}: [{source.section}] {problem.kind.value}: "
        f"{problem.message}; allowed: {problem.allowed}"
    )
