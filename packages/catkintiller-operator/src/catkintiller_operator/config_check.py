"""Checks a config before it is written: errors, dead entries, and what it changes.

The file is parsed by the same code as at the nodes, so what is an error here is ignored
there. Warnings are about configs that nodes apply although they are hardly meant so.
"""

import collections
import sys

from catkintiller_platform import adapter
from catkintiller_relay import data

from . import (
    config_comparison,
    config_queries,
    exit_codes,
    findings,
    render,
)

COLUMNS = ["kind", "where", "what"]


def check_config(store: str, file: str, as_json: bool) -> int:
    """Prints what is wrong with a file, and how it differs from the version in force.

    :param store: ``IP:PORT`` of the store; empty to compare with nothing.
    :returns: the exit code: invalid input with errors, a fault with warnings.
    """
    with open(file, "rb") as stream:
        content = stream.read()
    try:
        config = adapter.PlatformAdapter().parse_config(content)
    except data.DecodeError as error:
        found = [findings.Finding(findings.ERROR, file, str(error))]
    else:
        found = find_warnings(config)
        if store:
            found += find_warnings_in_store(store, config)
    render.print_rows(COLUMNS, [list(each) for each in found], as_json)
    kinds = {each.kind for each in found}
    if findings.ERROR in kinds:
        return exit_codes.INVALID_INPUT
    if findings.WARNING in kinds:
        print("the config is valid, but see the warnings", file=sys.stderr)
        return exit_codes.FAULT_FOUND
    return exit_codes.OK


def find_warnings_in_store(store: str, config: data.Config) -> list[findings.Finding]:
    """Compares a config with what the store tells about the deployment.

    :param store: ``IP:PORT`` of the store.
    """
    found = []
    try:
        before = config_queries.read_config(store)
    except data.DecodeError as error:
        what = f"not compared: {error}"
        return [*found, findings.Finding(findings.WARNING, "store", what)]
    return found + config_comparison.compare_configs(before, config)


def find_warnings(config: data.Config) -> list[findings.Finding]:
    """Finds entries that have no effect, and limits that contradict each other."""
    found = []
    counts = collections.Counter((each.host, each.prefix) for each in config.routes)
    for route in config.routes:
        found += [
            findings.Finding(findings.WARNING, f"route {route.name}", what)
            for what in _check_route(route, counts[route.host, route.prefix])
        ]
    used = {each.service for route in config.routes for each in route.destinations}
    for service in config.services:
        if service not in used:
            where = f"service {service}"
            found.append(findings.Finding(findings.WARNING, where, "no route uses it"))
    for customer in config.customers:
        where = f"customer {customer.name}"
        if not customer.key_digests:
            found.append(findings.Finding(findings.WARNING, where, "it has no key"))
        if customer.burst and not customer.rate_per_s:
            what = "its burst has no effect: no rate"
            found.append(findings.Finding(findings.WARNING, where, what))
    limits = config.limits
    if limits.header_timeout_s > limits.idle_timeout_s:
        what = "the header timeout is longer than the idle timeout"
        found.append(findings.Finding(findings.WARNING, "limits", what))
    return found


def _check_route(route: data.Route, same_count: int) -> list[str]:
    """Describes what is doubtful about a route.

    :param same_count: number of routes with its host and prefix.
    """
    problems = []
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        problems.append(f"prefix {route.prefix!r} never matches: no slash at both ends")
    if same_count > 1:
        problems.append("several routes have its host and prefix; the last one applies")
    if route.target_latency_s > route.timeout_s:
        problems.append("its target latency is longer than its timeout")
    return problems
