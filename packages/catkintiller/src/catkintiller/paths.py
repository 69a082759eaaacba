"""Paths of the settings tree: grammar, levels and parents.

The forms of a path are

``root``, ``place/REGION[/ZONE]``, ``service/NAME``,
``service/NAME/kind/NAME`` and ``service/NAME/endpoint/NAME``.
"""

import re
from collections.abc import Iterable

from . import data

ROOT = "root"
GRAMMAR = (
    "root | place/REGION[/ZONE] | service/NAME | service/NAME/kind/NAME | "
    "service/NAME/endpoint/NAME"
)

_NAME_PATTERN = r"[a-z0-9][a-z0-9.-]*"
_PATTERNS_BY_LEVEL = (
    (data.Level.ROOT, re.compile(r"root")),
    (data.Level.PLACE, re.compile(rf"place/{_NAME_PATTERN}(/{_NAME_PATTERN})?")),
    (data.Level.SERVICE, re.compile(rf"service/{_NAME_PATTERN}")),
    (data.Level.KIND, re.compile(rf"service/{_NAME_PATTERN}/kind/{_NAME_PATTERN}")),
    (
        data.Level.ENDPOINT,
        re.compile(rf"service/{_NAME_PATTERN}/endpoint/{_NAME_PATTERN}"),
    ),
)


def get_level(path: str) -> data.Level | None:
    """Returns the level of a path, or ``None`` if the path is invalid."""
    for level, pattern in _PATTERNS_BY_LEVEL:
        if pattern.fullmatch(path):
            return level
    return None


def get_lineage(path: str) -> list[str]:
    """Returns a path and its ancestors, from the path itself to the root."""
    lineage = [path]
    level = get_level(path)
    if level in (data.Level.KIND, data.Level.ENDPOINT):
        lineage.append("/".join(path.split("/")[:2]))
    elif level is data.Level.PLACE and path.count("/") == 2:
        lineage.append(path.rpartition("/")[0])
    if path != ROOT:
        lineage.append(ROOT)
    return lineage


def get_service(path: str) -> str:
    """Returns the service that a path belongs to, or ``""`` if there is none."""
    parts = path.split("/", 2)
    return parts[1] if parts[0] == "service" and len(parts) > 1 else ""


def iter_kind_paths(candidates: Iterable[str], services: set[str] | None = None):
    """Yields the paths that are kinds of request, of all services or of some.

    A text comparison precedes the regular expressions, since these are slow for a tree
    with many endpoints.

    :param services: names of the services; ``None`` for all.
    """
    prefixes = None
    if services is not None:
        prefixes = tuple(f"service/{service}/kind/" for service in services)
    for path in candidates:
        if path.startswith(prefixes) if prefixes is not None else "/kind/" in path:
            if get_level(path) is data.Level.KIND:
                yield path


def get_service_path(service: str) -> str:
    """Returns the path of a service."""
    return f"service/{service}"


def get_kind_path(service: str, kind: str) -> str:
    """Returns the path of a kind of request, or of the service if ``kind`` is empty."""
    return f"service/{service}/kind/{kind}" if kind else f"service/{service}"


def get_endpoint_path(service: str, endpoint: str) -> str:
    """Returns the path of an endpoint."""
    return f"service/{service}/endpoint/{endpoint}"


def get_place_path(region: str, zone: str) -> str:
    """Returns the path of an availability zone."""
    return f"place/{region}/{zone}"
