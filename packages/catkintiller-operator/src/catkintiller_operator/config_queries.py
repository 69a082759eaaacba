"""Looks at the config that the platform's store holds."""

import asyncio
import sys
from typing import NamedTuple

from catkintiller import errors
from catkintiller_platform import adapter
from catkintiller_relay import data

from . import exit_codes, render

COLUMNS = [
    "route",
    "host",
    "prefix",
    "kind",
    "services",
    "timeout ms",
    "target ms",
    "attempts",
    "rank",
]


class Change(NamedTuple):
    """A route that differs between two configs; None where it is not there."""

    place: tuple[str, str]
    before: data.Route | None
    after: data.Route | None


def read_config(address: str) -> data.Config | None:
    """Reads the newest config; None if the store holds none.

    :param address: ``IP:PORT`` of the store.
    :raises errors.LogUnavailable: if the store gives no usable answer.
    """

    async def read() -> data.StoreRecord | None:
        loop = asyncio.get_running_loop()
        platform = adapter.PlatformAdapter()
        store = platform.make_store(data.StoreSettings(address), loop)
        return await store.read_config()

    try:
        record = asyncio.run(read())
    except data.StoreError as error:
        raise errors.LogUnavailable(f"{address}: {error}") from error
    return (
        None if record is None else adapter.PlatformAdapter().parse_config(record.value)
    )


def show_config(address: str, as_json: bool) -> int:
    """Prints every route of the config in force."""
    config = read_config(address)
    if config is None:
        print("the store holds no config", file=sys.stderr)
        return exit_codes.FAULT_FOUND
    rows = [make_row(route) for route in config.routes]
    if as_json:
        routes = [dict(zip(COLUMNS, row, strict=True)) for row in rows]
        render.print_json({"version": config.version, "routes": routes})
        return exit_codes.OK
    print(f"version {config.version}, {len(rows)} routes")
    render.print_table(COLUMNS, rows)
    return exit_codes.OK


def explain_route(address: str, host: str, path: str, as_json: bool) -> int:
    """Prints the route that a request takes, then those that it shadows."""
    config = read_config(address)
    matching = find_routes(config, host, path) if config is not None else []
    rows = [
        ["in force" if index == 0 else "shadowed", *make_row(route)]
        for index, route in enumerate(matching)
    ]
    render.print_rows(["which", *COLUMNS], rows, as_json)
    if not rows:
        print("no route: the node answers 404", file=sys.stderr)
        return exit_codes.FAULT_FOUND
    return exit_codes.OK


def diff_config(address: str, file: str, as_json: bool) -> int:
    """Prints the routes that a config in a file would change."""
    with open(file, "rb") as stream:
        raw = stream.read()
    try:
        after = adapter.PlatformAdapter().parse_config(raw)
    except data.Undecodable as error:
        print(f"{file}: {error}", file=sys.stderr)
        return exit_codes.INVALID_INPUT
    changes = compute_changes(read_config(address), after)
    rows = []
    for change in changes:
        for mark, route in (("-", change.before), ("+", change.after)):
            if route is not None:
                rows.append([mark, *make_row(route)])
    render.print_rows(["", *COLUMNS], rows, as_json)
    return exit_codes.OK


def find_routes(config: data.Config, host: str, path: str) -> list[data.Route]:
    """Finds the routes whose prefix begins a path, the longest first."""
    name = host.lower().partition(":")[0]
    found = [
        route
        for route in config.routes
        if route.host == name and path.startswith(route.prefix)
    ]
    return sorted(found, key=lambda route: len(route.prefix), reverse=True)


def compute_changes(before: data.Config | None, after: data.Config) -> list[Change]:
    """Computes which routes differ, by host and prefix."""
    old = {} if before is None else index_routes(before)
    new = index_routes(after)
    return [
        Change(place, old.get(place), new.get(place))
        for place in sorted(old.keys() | new.keys())
        if old.get(place) != new.get(place)
    ]


def index_routes(config: data.Config) -> dict[tuple[str, str], data.Route]:
    """Gets the routes by host and prefix."""
    return {(route.host, route.prefix): route for route in config.routes}


def make_row(route: data.Route) -> list[object]:
    """Makes the cells of a route."""
    services = ", ".join(
        part.service
        if len(route.destinations) == 1
        else f"{part.service} {part.weight:g}"
        for part in route.destinations
    )
    return [
        route.name,
        route.host,
        route.prefix,
        route.kind.value,
        services,
        round(route.timeout_s * 1000),
        round(route.target_latency_s * 1000),
        route.attempts,
        route.rank,
    ]
