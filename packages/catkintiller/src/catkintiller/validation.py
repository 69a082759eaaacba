"""Validation of settings against their declarations and the tree."""

from . import data, options, paths


def validate_entries(
    entries: list[data.Entry], tolerate_unknown: bool = False
) -> list[data.Problem]:
    """Validates each entry separately.

    :param tolerate_unknown: whether to accept unknown names of settings, so that an
        older node keeps running during the rollout of a newer version.
    :returns: all problems, in the order of the entries.
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
    parsed = options.parse_value(setting, entry.value)
    if isinstance(parsed, options.InvalidValue):
        return data.Problem(parsed.kind, entry.source, parsed.message, parsed.allowed)
    return None


def validate_values(
    values: dict[str, dict[str, data.Value]], services: set[str]
) -> list[data.Problem]:
    """Validates the settings of whole services.

    Each kind of request needs a match, and no two kinds of a service may have the same.

    :param services: names of the services to validate.
    :returns: all problems, in the order of the paths.
    """
    problems = []
    path_by_match: dict[tuple[str, str], str] = {}
    for path in sorted(paths.iter_kind_paths(values, services)):
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
                    options.describe_allowed_values(options.SETTINGS["match"]),
                )
            )
            continue
        service = paths.get_service(path)
        first_path = path_by_match.setdefault((service, match.text), path)
        if first_path != path:
            problems.append(
                data.Problem(
                    data.ProblemKind.DUPLICATE,
                    source,
                    f"{match.text!r} also matches {first_path}",
                    "one kind of request for each match",
                )
            )
    return problems


def format_problem(problem: data.Problem) -> str:
    """Formats a problem as one human-readable line."""
    source = problem.source
    return (
        f"{source.file}:{source.line}: [{source.section}] {problem.kind.value}: "
        f"{problem.message}; allowed: {problem.allowed}"
    )
