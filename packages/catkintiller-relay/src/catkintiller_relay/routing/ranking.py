"""Ranks of requests: which go first where a service lacks capacity.

The priority of a customer precedes that of the route. Requests for which it is the same
are ranked by the routes' own priorities: a customer that demands more than its share
loses its less important requests first, not the same proportion of each kind.

Handles a customer with a priority that sends many times its usual load, a few of its
requests being of the most important kind.
"""

from .. import data

# A rank has the priority in force in front of its last digit, which is the route's.
ROUTE_RANK_COUNT = 10


class Ranking:
    """Ranks of the requests under one config.

    Without priorities of customers, the rank of a request is that of its route.

    :param config: config in force.
    """

    def __init__(self, config: data.Config) -> None:
        priorities = [each.rank for each in config.customers if each.rank is not None]
        self._is_combined = bool(priorities)
        highest = min(
            [*priorities, *(route.rank for route in config.routes)], default=0
        )
        self._highest_rank = highest
        if self._is_combined:
            self._highest_rank = combine_ranks(highest, ROUTE_RANK_COUNT - 1)

    @property
    def highest_rank(self) -> int:
        """Largest number among the ranks of requests with the highest priority."""
        return self._highest_rank

    def get_rank(self, route: data.Route, customer: data.Customer | None) -> int:
        """Returns the rank of a root request; 0 is the highest.

        :param customer: customer of the request; None without one.
        """
        if not self._is_combined:
            return route.rank
        if customer is None or customer.rank is None:
            return combine_ranks(route.rank, route.rank)
        return combine_ranks(customer.rank, route.rank)


def combine_ranks(priority: int, route_rank: int) -> int:
    """Combines the priority in force with the rank of a route."""
    last_digit = min(max(0, route_rank), ROUTE_RANK_COUNT - 1)
    return ROUTE_RANK_COUNT * max(0, priority) + last_digit
