"""Counts what becomes of the root requests of each customer at this node.

Counters of all customers are kept. The metrics name only the largest few and sum up all
others, so that the number of series does not grow with the number of customers.
"""

from collections.abc import Iterable

from .. import data
from . import metrics

NAMED_COUNT = 8
ANSWERED = "answered"


class CustomerCounts:
    """Results of root requests by customer.

    A result is :data:`ANSWERED` or the value of a :class:`..data.RefusalReason`.
    """

    def __init__(self) -> None:
        self._counts: dict[str, dict[str, int]] = {}
        self._former_counts: dict[str, int] = {}
        self._removed: list[dict[str, int]] = []  # to be added to the former counts

    def set_customers(self, customers: Iterable[data.Customer]) -> None:
        """Removes customers that are in the config no more.

        Their counts are summed up when they are next read, since that takes some 10 ms
        for 10,000 customers, in addition to the rest of what a config requires.
        """
        names = {each.name for each in customers}
        self._removed += map(self._counts.pop, self._counts.keys() - names)

    def count(self, customer: data.Customer, result: str) -> None:
        """Counts a result of a request."""
        counts = self._counts.get(customer.name)
        if counts is None:
            counts = self._counts[customer.name] = {}
        counts[result] = counts.get(result, 0) + 1

    def get_counts(self, name: str = "") -> dict[str, dict[str, int]]:
        """Returns the results by customer.

        :param name: the only customer to be returned; empty for all.
        """
        if not name:
            return self._counts
        return {name: self._counts[name]} if name in self._counts else {}

    def format_text(self) -> str:
        """Formats the metrics: the customers with most requests, and all others."""
        by_size = sorted(
            self._counts, key=lambda name: (-sum(self._counts[name].values()), name)
        )
        named = by_size[:NAMED_COUNT]
        lines = [
            f'catkintiller_customer_requests_total{{customer="{metrics.escape_label(name)}",'
            f'result="{result}"}} {count}'
            for name in sorted(named)
            for result, count in sorted(self._counts[name].items())
        ]
        for counts in self._removed:
            _add(self._former_counts, counts)
        self._removed.clear()
        others = dict(self._former_counts)
        for name in by_size[NAMED_COUNT:]:
            _add(others, self._counts[name])
        lines += [
            f'catkintiller_other_customers_requests_total{{result="{result}"}} {count}'
            for result, count in sorted(others.items())
        ]
        return "".join(f"{line}\n" for line in lines)


def _add(sums: dict[str, int], counts: dict[str, int]) -> None:
    for result, count in counts.items():
        sums[result] = sums.get(result, 0) + count
