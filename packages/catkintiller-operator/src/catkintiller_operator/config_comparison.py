"""Compares a config with the version in force, and tells whom the changes affect."""

from catkintiller_relay import data

from . import config_queries, customer_queries, findings


def compare_configs(
    before: data.Config | None, after: data.Config
) -> list[findings.Finding]:
    """Compares a config with the version in force.

    :param before: the version in force; None without one.
    """
    found = []
    if before is not None and after.version <= before.version:
        where = f"version {after.version}"
        what = f"nodes ignore it: version {before.version} is in force"
        found.append(findings.Finding(findings.WARNING, where, what))
    found += _compare_routes(before, after)
    found += _compare_services(before, after)
    if before is not None:
        found += _compare_authentication(before, after)
        found += _compare_limits(before.limits, after.limits)
    found += _compare_customers(before, after)
    return found


def _compare_routes(
    before: data.Config | None, after: data.Config
) -> list[findings.Finding]:
    """Compares the routes; each change affects the requests with its prefix."""
    columns = config_queries.ROUTE_COLUMNS
    return [
        _build_change(
            f"route {''.join(change.key)}",
            _describe_change(
                columns,
                change.before and config_queries.build_row(change.before),
                change.after and config_queries.build_row(change.after),
            ),
        )
        for change in config_queries.compute_changes(before, after)
    ]


def _compare_services(
    before: data.Config | None, after: data.Config
) -> list[findings.Finding]:
    old = set() if before is None else set(before.services)
    new = set(after.services)
    return [
        _build_change(f"service {name}", "added" if name in new else "removed")
        for name in sorted(old ^ new)
    ]


def _compare_authentication(
    before: data.Config, after: data.Config
) -> list[findings.Finding]:
    """Tells whether requests begin or cease to need keys, which affects all clients."""
    if bool(before.customers) is bool(after.customers):
        return []
    if after.customers:
        public = sum(route.public for route in after.routes)
        what = f"requests need a key from now on, except on {public} public routes"
        return [_build_change("customers", what)]
    what = "requests need no key any more, and no quota holds: no customer is left"
    return [findings.Finding(findings.WARNING, "customers", what)]


def _compare_limits(
    before: data.ClientLimits, after: data.ClientLimits
) -> list[findings.Finding]:
    """Compares the limits, which hold for the requests of all clients."""
    if before == after:
        return []
    what = _describe_change(list(after._fields), list(before), list(after))
    return [_build_change("limits", f"for all clients: {what}")]


def _compare_customers(
    before: data.Config | None, after: data.Config
) -> list[findings.Finding]:
    """Compares the customers; keys appear as digits of their digests."""
    old = {} if before is None else {each.name: each for each in before.customers}
    new = {each.name: each for each in after.customers}
    columns = customer_queries.CUSTOMER_COLUMNS
    return [
        _build_change(
            f"customer {name}",
            _describe_change(
                columns,
                customer_queries.build_row(old[name]) if name in old else None,
                customer_queries.build_row(new[name]) if name in new else None,
            ),
        )
        for name in sorted(old.keys() | new.keys())
        if old.get(name) != new.get(name)
    ]


def _build_change(where: str, what: str) -> findings.Finding:
    return findings.Finding(findings.CHANGE, where, what)


def _describe_change(
    columns: list[str], before: list[object] | None, after: list[object] | None
) -> str:
    """Describes the cells that differ between two rows.

    :param before: None if the entry is added.
    :param after: None if it is removed.
    """
    if before is None:
        return "added"
    if after is None:
        return "removed"
    changes = [
        f"{column}: {old} -> {new}"
        for column, old, new in zip(columns, before, after, strict=True)
        if old != new
    ]
    return ", ".join(changes) or "changed"
