"""Checks a config before it is written: errors, dead entries, and what it changes.

The file is parsed by the same code as at the nodes, so what is an error here is ignored
there. Warnings are about configs that nodes apply although they are hardly meant so.
"""

import collections
import sys
from typing import NamedTuple

from catkintiller_platform import adapter
from catkintiller_relay import data

from . import config_queries, customer_queries, exit_codes, render

COLUMNS = ["kind", "where", "what"]
ERROR = "error"
WARNING = "warning"
CHANGE = "change"


class Finding(NamedTuple):
    """Result of the check.

    :param kind: :data:`ERROR`, :data:`WARNING` or :data:`CHANGE`.
    :param where: entry of the config.
    """

    kind: str
    where: str
    what: str


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
        findings = [Finding(ERROR, file, str(error))]
    else:
        findings = find_warnings(config)
        if store:
            findings += compare_configs(config_queries.read_config(store), config)
    render.print_rows(COLUMNS, [list(each) for each in findings], as_json)
    kinds = {each.kind for each in findings}
    if ERROR in kinds:
        return exit_codes.INVALID_INPUT
    if WARNING in kinds:
        print("the nodes would apply it, but see the warnings", file=sys.stderr)
        return exit_codes.FAULT_FOUND
    return exit_codes.OK


def find_warnings(config: data.Config) -> list[Finding]:
    """Finds entries that have no effect, and limits that contradict each other."""
    findings = []
    counts = collections.Counter((each.host, each.prefix) for each in config.routes)
    for route in config.routes:
        findings += [
            Finding(WARNING, f"route {route.name}", what)
            for what in _check_route(route, counts[route.host, route.prefix])
        ]
    used = {each.service for route in config.routes for each in route.destinations}
    for service in config.services:
        if service not in used:
            findings.append(Finding(WARNING, f"service {service}", "no route uses it"))
    for customer in config.customers:
        where = f"customer {customer.name}"
        if not customer.key_digests:
            findings.append(Finding(WARNING, where, "it has no key"))
        if customer.burst and not customer.rate_per_s:
            findings.append(Finding(WARNING, where, "its burst has no effect: no rate"))
    limits = config.limits
    if limits.header_timeout_s > limits.idle_timeout_s:
        what = "the header timeout is longer than the idle timeout"
        findings.append(Finding(WARNING, "limits", what))
    return findings


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


def compare_configs(before: data.Config | None, after: data.Config) -> list[Finding]:
    """Compares a config with the version in force."""
    findings = []
    if before is not None and after.version <= before.version:
        what = f"nodes ignore it: version {before.version} is in force"
        findings.append(Finding(WARNING, f"version {after.version}", what))
    for change in config_queries.compute_changes(before, after):
        what = _describe_change(change.before, change.after)
        findings.append(Finding(CHANGE, f"route {''.join(change.key)}", what))
    old = {} if before is None else {each.name: each for each in before.customers}
    new = {each.name: each for each in after.customers}
    for name in sorted(old.keys() | new.keys()):
        if old.get(name) != new.get(name):
            what = _describe_customer_change(old.get(name), new.get(name))
            findings.append(Finding(CHANGE, f"customer {name}", what))
    return findings


def _describe_change(before: object, after: object) -> str:
    if before is None:
        return "added"
    return "removed" if after is None else "changed"


def _describe_customer_change(
    before: data.Customer | None, after: data.Customer | None
) -> str:
    """Describes a change; keys appear as digits of their digests."""
    if before is None or after is None:
        return _describe_change(before, after)
    columns = customer_queries.CUSTOMER_COLUMNS
    rows = customer_queries.build_row(before), customer_queries.build_row(after)
    return ", ".join(
        f"{column}: {old} -> {new}"
        for column, old, new in zip(columns, *rows, strict=True)
        if old != new
    )
