"""Tests of what operators see of customers."""

from catkintiller_relay import data
from catkintiller_relay.customers import credentials

from . import customer_queries


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
