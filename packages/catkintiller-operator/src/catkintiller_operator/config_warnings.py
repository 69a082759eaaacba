"""Finds entries of a config that have no effect, and limits that contradict each other.

Whether a route can match and which of two routes applies is asked of the code of the
nodes.
"""

import collections

from catkintiller_relay import data
from catkintiller_relay.customers import credentials
from catkintiller_relay.routing import head_checker, route_table

from . import config_queries, deployment_queries, findings


def find_warnings(config: data.Config) -> list[findings.Finding]:
    """Finds what is doubtful about a config on its own."""
    found = []
    name_counts = collections.Counter(route.name for route in config.routes)
    key_counts = collections.Counter(
        (route.host, route.prefix) for route in config.routes
    )
    table = route_table.RouteTable(config)
    for route in config.routes:
        problems = _check_match(route, table) + _check_limits_of_route(route)
        if key_counts[route.host, route.prefix] > 1:
            problems.append(
                "several routes have its host and prefix; the last one applies"
            )
        if name_counts[route.name] > 1:
            problems.append("several routes have its name; nodes count them as one")
        found += [_build_warning(f"route {route.name}", each) for each in problems]
    used = {each.service for route in config.routes for each in route.destinations}
    for service in config.services:
        if service not in used:
            found.append(_build_warning(f"service {service}", "no route uses it"))
    for customer in config.customers:
        found += [
            _build_warning(f"customer {customer.name}", each)
            for each in _check_customer(customer)
        ]
    found += [_build_warning("limits", each) for each in _check_limits(config.limits)]
    return found


def find_deployment_warnings(
    config: data.Config, deployment: deployment_queries.Deployment
) -> list[findings.Finding]:
    """Finds where a config contradicts the nodes and calls that the store tells of."""
    found = []
    for route in config.routes:
        where = f"route {route.name}"
        for destination in route.destinations:
            if destination.weight <= 0:
                continue
            count = deployment.node_counts.get(destination.service, 0)
            if not count:
                what = f"service {destination.service} has no endpoint"
                found.append(_build_warning(where, what))
            elif route.max_attempts > count:
                what = (
                    f"{route.max_attempts} attempts, number of endpoints of "
                    f"{destination.service}: {count}"
                )
                found.append(_build_warning(where, what))
    routes = {route.name: route for route in config.routes}
    for edge in deployment.edges:
        caller, callee = routes.get(edge.route), routes.get(edge.callee)
        if caller and callee and callee.timeout_s > caller.timeout_s:
            what = f"its timeout is longer than that of its caller, route {caller.name}"
            found.append(_build_warning(f"route {callee.name}", what))
    return found


def _build_warning(where: str, what: str) -> findings.Finding:
    return findings.Finding(findings.WARNING, where, what)


def _check_match(route: data.Route, table: route_table.RouteTable) -> list[str]:
    """Describes why no request matches a route, apart from routes that replace it."""
    found = config_queries.find_route(table, route.host, route.prefix)
    matches = found is not None and (
        (found.host, found.prefix) == (route.host, route.prefix)
    )
    if not route.prefix.startswith("/") or not (matches or route.prefix.endswith("/")):
        return [f"prefix {route.prefix!r} never matches: no slash at both ends"]
    if not matches:
        return [
            f"host {route.host!r} and prefix {route.prefix!r} never match: nodes "
            "compare the host without its port, and the path without its query as sent"
        ]
    return []


def _check_limits_of_route(route: data.Route) -> list[str]:
    """Describes what is doubtful about the limits and weights of a route."""
    problems = []
    if route.target_latency_s > route.timeout_s:
        problems.append("its target latency is longer than its timeout")
    if route.timeout_s <= head_checker.EXPIRY_MARGIN_S:
        problems.append("its timeout is too short for any request")
    problems += [
        f"service {each.service} has weight {each.weight:g} and gets no request"
        for each in route.destinations
        if each.weight <= 0
    ]
    return problems


def _check_customer(customer: data.Customer) -> list[str]:
    """Describes what is doubtful about a customer."""
    problems = []
    digests = customer.key_digests
    if not digests:
        problems.append("it has no key")
    if len(set(digests)) < len(digests):
        problems.append("it has a key twice")
    if credentials.compute_digest(b"") in digests:
        problems.append("its empty key never matches")
    if customer.burst and not customer.rate_per_s:
        problems.append("its burst has no effect: no rate")
    return problems


def _check_limits(limits: data.ClientLimits) -> list[str]:
    """Describes what is doubtful about the limits on clients."""
    problems = []
    if min(limits.max_header_bytes, limits.header_timeout_s) <= 0:
        problems.append("no head is accepted: its size or time is 0 or less")
    if limits.max_body_bytes < 0:
        problems.append("no request is accepted: the size of a body is below 0")
    if limits.header_timeout_s > limits.idle_timeout_s:
        problems.append("the header timeout is longer than the idle timeout")
    return problems
