"""Tests of the metrics of customers."""

from .. import data
from . import customer_counts


def build_customer(name: str) -> data.Customer:
    """Builds a customer without keys."""
    return data.Customer(name, ())


class TestText:
    """The metrics stay bounded and complete with any number of customers."""

    def test_only_the_largest_are_named(self) -> None:
        counts = customer_counts.CustomerCounts()
        for number in range(10_000):
            customer = build_customer(f"c{number}")
            for _ in range(1 + (number < customer_counts.NAMED_COUNT)):
                counts.count(customer, "answered")
        lines = counts.format_text().splitlines()
        assert len(lines) == customer_counts.NAMED_COUNT + 1
        expected = f"{10_000 - customer_counts.NAMED_COUNT}"
        assert lines[-1].startswith("catkintiller_other_customers_requests_total")
        assert lines[-1].split()[-1] == expected

    def test_counts_of_removed_customers_are_kept_in_the_sum(self) -> None:
        counts = customer_counts.CustomerCounts()
        counts.count(build_customer("north"), "quota_exceeded")
        counts.set_customers([])
        assert counts.get_counts() == {}
        assert counts.format_text().endswith('{result="quota_exceeded"} 1\n')

    def test_names_cannot_break_the_format(self) -> None:
        counts = customer_counts.CustomerCounts()
        counts.count(build_customer('a"b\\'), "answered")
        assert 'customer="a\\"b\\\\",' in counts.format_text()


class TestCounts:
    """Counts for the operator's commands."""

    def test_one_customer(self) -> None:
        counts = customer_counts.CustomerCounts()
        counts.count(build_customer("north"), "answered")
        counts.count(build_customer("south"), "answered")
        assert counts.get_counts("north") == {"north": {"answered": 1}}
        assert counts.get_counts("east") == {}
