"""Tests of the ranks of requests, and a played load of a customer with a priority."""

from .. import data
from . import load_shedder, ranking

LIMITS = data.ClientLimits(1000, 1000, 1.0, 1.0)
SLOTS = 100.0


def build_route(name: str, rank: int) -> data.Route:
    """Builds a route."""
    kind = data.RequestKind.IDEMPOTENT
    return data.Route(
        name, "a", f"/{name}/", kind, (data.Destination("s", 1),), 1.0, 1.0, 2, rank
    )


FILE, LOOKUP, FORM = (
    build_route(name, rank) for rank, name in enumerate(("file", "lookup", "form"))
)
PLAIN = data.Customer("plain", ())
PREFERRED = data.Customer("preferred", (), rank=0)
SECOND = data.Customer("second", (), rank=1)


def build_ranking(*customers: data.Customer) -> ranking.Ranking:
    """Builds the ranking of a config with these customers."""
    routes = (FILE, LOOKUP, FORM)
    return ranking.Ranking(data.Config(1, routes, ("s",), LIMITS, b"", customers))


class TestRank:
    """The priority of the customer precedes that of the route, which breaks ties."""

    def test_config_without_priorities_of_customers(self) -> None:
        """Deployments without such priorities would be served differently."""
        ranks = build_ranking(PLAIN)
        assert [ranks.get_rank(each, PLAIN) for each in (FILE, LOOKUP, FORM)] == [
            0,
            1,
            2,
        ]
        assert ranks.highest_rank == 0

    def test_order(self) -> None:
        ranks = build_ranking(PLAIN, PREFERRED, SECOND)
        ordered = [
            (FILE, PLAIN),
            (LOOKUP, PREFERRED),
            (FORM, PREFERRED),
            (FILE, SECOND),
            (LOOKUP, SECOND),
            (FORM, SECOND),
            (FORM, PLAIN),
        ]
        numbers = [ranks.get_rank(*each) for each in ordered]
        assert numbers == sorted(set(numbers))
        assert ranks.get_rank(FILE, PREFERRED) == ranks.get_rank(FILE, None) == 0
        assert ranks.get_rank(LOOKUP, PLAIN) == ranks.get_rank(LOOKUP, SECOND)

    def test_highest_priority_includes_all_routes_of_its_customers(self) -> None:
        """Retries of such a customer's requests would yield to those of others."""
        ranks = build_ranking(PLAIN, PREFERRED)
        assert ranks.get_rank(FORM, PREFERRED) <= ranks.highest_rank
        assert ranks.get_rank(LOOKUP, PLAIN) > ranks.highest_rank

    def test_rank_beyond_the_last_digit(self) -> None:
        """It would count as a request of a lower priority."""
        assert ranking.combine_ranks(1, 99) < ranking.combine_ranks(2, 0)
        assert ranking.combine_ranks(1, -5) == ranking.combine_ranks(1, 0)


class TestCustomerFarAboveItsUsualLoad:
    """A customer of priority 1 demands several times the room of its priority."""

    def test_its_most_important_requests_are_admitted(self) -> None:
        """Its filings were refused as often as its lookups, which need more room."""
        ranks = build_ranking(PLAIN, SECOND)
        demand = {
            ranks.get_rank(FILE, PLAIN): 0.1 * SLOTS,
            ranks.get_rank(FILE, SECOND): 0.1 * SLOTS,
            ranks.get_rank(LOOKUP, SECOND): 2.0 * SLOTS,
        }
        shares = load_shedder.compute_admitted_shares(demand, SLOTS)
        assert ranks.get_rank(FILE, PLAIN) not in shares
        assert ranks.get_rank(FILE, SECOND) not in shares
        assert 0.3 < shares[ranks.get_rank(LOOKUP, SECOND)] < 0.5
