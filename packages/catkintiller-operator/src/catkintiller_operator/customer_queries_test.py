"""Tests of what operators see of customers."""

import math

import pytest
from catkintiller_relay import data
from catkintiller_relay.customers import credentials

from . import customer_queries, exit_codes


class TestRow:
    """A customer as a table row."""

    def test_keys_are_shown_as_digits_of_their_digests(self) -> None:
        key = b"very-secret"
        digest = credentials.compute_digest(key)
        row = customer_queries.build_row(data.Customer("north", (digest,), 0, 5.0, 2.0))
        assert row == ["north", 0, 5.0, 2.0, digest.hex()[:8]]

    def test_customer_without_quota(self) -> None:
        row = customer_queries.build_row(data.Customer("north", ()))
        assert row == ["north", "-", "-", "-", "-"]


class TestIncrease:
    """Counts of two readings."""

    def test_increase(self) -> None:
        before = {"north": {"answered": 3}}
        after = {"north": {"answered": 5, "quota_exceeded": 2}}
        assert customer_queries.compute_increase(before, after) == {
            "north": {"answered": 2, "quota_exceeded": 2}
        }

    def test_node_that_restarted_in_between_counts_from_zero(self) -> None:
        before, after = {"north": {"answered": 9}}, {"north": {"answered": 2}}
        assert customer_queries.compute_increase(before, after) == {
            "north": {"answered": 2}
        }


class TestCommands:
    """Arguments of the commands, and nodes that do not respond."""

    @pytest.mark.parametrize("interval_s", [0.0, -1.0, math.nan, math.inf])
    def test_impossible_interval(self, interval_s: float) -> None:
        """Guards against a traceback."""
        nodes = ["127.0.0.1:1"]
        refusals = customer_queries.show_refusals(nodes, "", interval_s, True)
        customers = customer_queries.show_customers("", nodes, interval_s, True)
        assert refusals == customers == exit_codes.INVALID_INPUT

    def test_refusals_need_a_node(self) -> None:
        refusals = customer_queries.show_refusals([], "", 1.0, True)
        assert refusals == exit_codes.INVALID_INPUT

    def test_node_that_does_not_respond_is_named(
        self, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        """Guards against an "all is well" that leaves out a node that refuses."""
        document = {"customers": {}, "shares": {}}
        monkeypatch.setattr(
            customer_queries.node_client,
            "get_json_from_all",
            lambda addresses, path: [
                document if address == "a:1" else None for address in addresses
            ],
        )
        customer_queries.show_refusals(["a:1", "b:1"], "", 0.001, True)
        assert "b:1: left out" in capsys.readouterr().err


class TestRefusals:
    """Refusals of all nodes."""

    def test_reasons_are_summed_over_nodes_and_sorted(self) -> None:
        increases = {
            "a": {"north": {"answered": 9, "quota_exceeded": 4, "timeout": 1}},
            "b": {"north": {"quota_exceeded": 2}, "south": {"answered": 1}},
        }
        refusals = customer_queries.sum_refusals(increases, 2.0)
        assert list(refusals.items()) == [
            (("north", "quota_exceeded"), {"per_s": 3.0, "nodes": 2}),
            (("north", "timeout"), {"per_s": 0.5, "nodes": 1}),
        ]
