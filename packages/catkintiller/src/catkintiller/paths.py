"""Paths of the settings tree: their grammar, level and parent.

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

_NAME = r"[a-z0-9][a-z0-9.-]*"
_PATTERNS = (
    (data.Level.ROOT, re.compile(r"root")),
    (data.Level.PLACE, re.compile(rf"place/{_NAME}(/{_NAME})?")),
    (data.Level.SERVICE, re.compile(rf"service/{_NAME}")),
    (data.Level.KIND, re.compile(rf"service/{_NAME}/kind/{_NAME}")),
    (data.Level.ENDPOINT, re.compile(rf"service/{_NAME}/endpoint/{_NAME}")),
)


def get_level(path: str) -> data.Level | None:
    """Gets the level of a path, or ``None`` if it is no path of the tree."""
    for level, pattern in _PATTERNS:
        if pattern.fullmatch(path):
            return level
    return None


def iter_lineage(path: str) -> list[str]:
    """Lists a path and its parents, nearest first, ending at the root."""
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
    """Gets the service that a path belongs to, ``""`` if it belongs to none."""
    parts = path.split("/", 2)
    return parts[1] if parts[0] == "service" and len(parts) > 1 else ""


def iter_kinds(found: Iterable[str], services: set[str] | None = None):
    """Yields the paths of kinds of request, of all services or of some.

    Plain text tests keep this quick for a tree of many endpoints.
    """
    prefixes = None
    if services is not None:
        prefixes = tuple(f"service/{service}/kind/" for service in services)
    for path in found:
        if path.startswith(prefixes) if prefixes is not None else "/kind/" in path:
            if get_level(path) is data.Level.KIND:
                yield path


def get_service_path(service: str) -> str:
    """Gets the path of a service."""
    return f"service/{service}"


def get_kind_path(service: str, kind: str) -> str:
    """Gets the path of a kind of request, or of the service if it has none."""
    return f"service/{service}/kind/{kind}" if kind else f"service/{service}"


def get_endpoint_path(service: str, endpoint: str) -> str:
    """Gets the path of an endpoint."""
    return f"service/{service}/endpoint/{endpoint}"


def get_place_path(region: str, zone: str) -> str:
    """Gets the path of an availability zone."""
    return f"place/{region}/{zone}"
