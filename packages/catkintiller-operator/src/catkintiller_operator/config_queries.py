"""Queries the config in the platform's store."""

import sys
from typing import NamedTuple

from catkintiller_platform import adapter
from catkintiller_relay import data
from catkintiller_relay.ingress import http_request
from catkintiller_relay.routing import request_head, route_table

from . import exit_codes, render, store_client

ROUTE_COLUMNS = [
    "route",
    "host",
    "prefix",
    "kind",
    "services",
    "timeout ms",
    "target ms",
    "attempts",
    "rank",
    "public",
]


class RouteChange(NamedTuple):
    """A route that differs between two configs.

    :param key: host and prefix of the route.
    :param before: the route in the older config, ``None`` if it has none.
    :param after: the route in the newer config, ``None`` if it has none.
    """

    key: tuple[str, str]
    before: data.Route | None
    after: data.Route | None


def read_config(address: str) -> data.Config | None:
    """Reads the newest config from the store.

    :param address: ``IP:PORT`` of the store.
    :returns: the config, ``None`` if the store holds none.
    :raises errors.LogUnavailable: if the store does not return a valid response.
    :raises data.DecodeError: if the address is not valid, or the newest config, which
        nodes then ignore.
    """
    record = store_client.read_store(address, lambda store: store.read_config())
    if record is None:
        return None
    try:
        return adapter.PlatformAdapter().parse_config(record.value)
    except data.DecodeError as error:
        raise data.DecodeError(f"config in the store {address}: {error}") from error


def show_config(address: str, as_json: bool) -> int:
    """Prints all routes of the newest config in the store."""
    config = read_config(address)
    if config is None:
        print("the store holds no config", file=sys.stderr)
        return exit_codes.FAULT_FOUND
    rows = [build_row(route) for route in config.routes]
    if as_json:
        routes = [dict(zip(ROUTE_COLUMNS, row, strict=True)) for row in rows]
        render.print_json({"version": config.version, "routes": routes})
        return exit_codes.OK
    print(f"version {config.version}, {len(rows)} routes")
    render.print_table(ROUTE_COLUMNS, rows)
    return exit_codes.OK


def explain_route(address: str, host: str, path: str, as_json: bool) -> int:
    """Prints the route that a request takes, then the routes that it shadows."""
    config = read_config(address)
    matches = find_matching_routes(config, host, path) if config is not None else []
    rows = [
        ["in force" if index == 0 else "shadowed", *build_row(route)]
        for index, route in enumerate(matches)
    ]
    render.print_rows(["which", *ROUTE_COLUMNS], rows, as_json)
    if not rows:
        print("no matching route: the node responds with status 404", file=sys.stderr)
        return exit_codes.FAULT_FOUND
    return exit_codes.OK


def diff_config(address: str, file: str, as_json: bool) -> int:
    """Prints the routes that differ between the newest config and a file."""
    with open(file, "rb") as stream:
        content = stream.read()
    try:
        after = adapter.PlatformAdapter().parse_config(content)
    except data.DecodeError as error:
        print(f"{file}: {error}", file=sys.stderr)
        return exit_codes.INVALID_INPUT
    changes = compute_changes(read_config(address), after)
    rows = []
    for change in changes:
        for sign, route in (("-", change.before), ("+", change.after)):
            if route is not None:
                rows.append([sign, *build_row(route)])
    render.print_rows(["", *ROUTE_COLUMNS], rows, as_json)
    return exit_codes.OK


def find_matching_routes(config: data.Config, host: str, path: str) -> list[data.Route]:
    """Returns the route in force for a host and a path, then those that it shadows."""
    in_force = find_route(route_table.RouteTable(config), host, path)
    shadowed = []
    for route in config.routes:
        table = route_table.RouteTable(config._replace(routes=(route,)))
        if route is not in_force and find_route(table, host, path) is not None:
            shadowed.append(route)
    shadowed.sort(key=lambda route: len(route.prefix), reverse=True)
    return [] if in_force is None else [in_force, *shadowed]


def find_route(
    table: route_table.RouteTable, host: str, path: str
) -> data.Route | None:
    """Finds the route of a request as nodes do; None if none matches."""
    headers = [(b"host", host.encode())]
    request = http_request.Request(b"GET", path.encode(), headers)
    return table.find(
        request_head.parse_host(request), request_head.parse_path(request)
    )


def compute_changes(
    before: data.Config | None, after: data.Config
) -> list[RouteChange]:
    """Computes which routes differ, sorted by host and prefix."""
    old_routes = {} if before is None else index_routes(before)
    new_routes = index_routes(after)
    return [
        RouteChange(key, old_routes.get(key), new_routes.get(key))
        for key in sorted(old_routes.keys() | new_routes.keys())
        if old_routes.get(key) != new_routes.get(key)
    ]


def index_routes(config: data.Config) -> dict[tuple[str, str], data.Route]:
    """Returns the routes of a config by host and prefix."""
    return {(route.host, route.prefix): route for route in config.routes}


def build_row(route: data.Route) -> list[object]:
    """Builds the table row of a route."""
    services = ", ".join(
        destination.service
        if len(route.destinations) == 1
        else f"{destination.service} {destination.weight:g}"
        for destination in route.destinations
    )
    return [
        route.name,
        route.host,
        route.prefix,
        route.kind.value,
        services,
        round(route.timeout_s * 1000),
        round(route.target_latency_s * 1000),
        route.max_attempts,
        route.rank,
        route.public,
    ]
