"""Tests of route look-ups and of weighted destinations."""

import collections

from .. import data
from . import route_table

LIMITS = data.ClientLimits(1000, 1000, 1.0, 1.0)


def build_route(
    prefix: str, host: str = "a.example", *destinations: tuple[str, float]
) -> data.Route:
    """Builds a route to ``destinations``, or to a service named like its prefix."""
    built = [
        data.Destination(*destination)
        for destination in destinations or ((prefix, 1.0),)
    ]
    kind = data.RequestKind.IDEMPOTENT
    return data.Route(prefix, host, prefix, kind, tuple(built), 1.0, 0.5, 2, 0)


def build_table(*routes: data.Route) -> route_table.RouteTable:
    """Builds the table of a config with the given routes."""
    return route_table.RouteTable(data.Config(1, routes, (), LIMITS, b""))


class TestFind:
    """Look-up of the longest prefix that matches the path."""

    def test_longest_prefix_wins(self) -> None:
        table = build_table(build_route("/"), build_route("/a/"), build_route("/a/b/"))
        assert table.find("a.example", "/a/b/c").prefix == "/a/b/"
        assert table.find("a.example", "/a/bc").prefix == "/a/"
        assert table.find("a.example", "/x").prefix == "/"

    def test_prefix_ends_at_a_slash(self) -> None:
        table = build_table(build_route("/a/"))
        assert table.find("a.example", "/ab") is None
        assert table.find("a.example", "/a") is None
        assert table.find("a.example", "/a/") is not None

    def test_hosts_are_separate(self) -> None:
        table = build_table(build_route("/a/", "a.example"))
        assert table.find("b.example", "/a/x") is None


class TestWeightedSplitter:
    """Distribution of requests over destinations."""

    def test_shares_hold_within_few_requests(self) -> None:
        table = build_table(build_route("/a/", "a.example", ("x", 90.0), ("y", 10.0)))
        route = table.find("a.example", "/a/")
        picked = collections.Counter(table.pick_service(route) for _ in range(50))
        assert picked == {"x": 45, "y": 5}

    def test_weight_zero_gets_no_requests(self) -> None:
        table = build_table(build_route("/a/", "a.example", ("x", 1.0), ("y", 0.0)))
        route = table.find("a.example", "/a/")
        assert {table.pick_service(route) for _ in range(20)} == {"x"}
