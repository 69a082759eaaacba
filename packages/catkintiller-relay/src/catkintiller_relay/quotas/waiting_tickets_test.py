"""Tests of the order in which waiting requests get tokens."""

import random

from . import customer_account

MAX_WAIT_S = 0.3
RATE_PER_S = 100
DURATION_S = 5


class PlayedCustomer:
    """A customer at one node whose demand is four times its quota.

    :ivar counts: requests and those that got a token, by rank.
    """

    RANKS = (0, 1, 1, 1, 1, 1, 1, 1, 2, 2)

    def __init__(self) -> None:
        self._rng = random.Random(3)
        self._account = customer_account.CustomerAccount(0.0)
        self.counts = {0: [0, 0], 1: [0, 0], 2: [0, 0]}
        for step in range(RATE_PER_S * DURATION_S):
            now = step / RATE_PER_S
            for _ in range(4):
                self._request(now)
            for ticket in list(self._account.waiting):
                if ticket.wait_until <= now:
                    self._account.waiting.discard(ticket)
            if step % 5 == 0:
                self._account.add(now, 5, now + 0.4, "node")

    def _request(self, now: float) -> None:
        rank = self._rng.choice(self.RANKS)
        self.counts[rank][0] += 1
        ticket = customer_account.Ticket(
            "shop", self._count_granted, now, now + MAX_WAIT_S, rank
        )
        self._account.waiting.add(ticket)
        self._account.serve_waiting(now)

    def _count_granted(self, ticket: customer_account.Ticket) -> None:
        self.counts[ticket.rank][1] += 1


class TestOrder:
    """The tokens of a customer go to its most important requests."""

    def test_demand_of_four_times_the_quota(self) -> None:
        """Its most important requests were refused as often as all others."""
        counts = PlayedCustomer().counts
        served = {rank: granted / asked for rank, (asked, granted) in counts.items()}
        assert served[0] >= 0.95
        assert 0.1 < served[1] < 0.5
        assert served[2] < served[1]
        granted = sum(granted for _, granted in counts.values())
        assert granted >= 0.98 * RATE_PER_S * DURATION_S

    def test_first_of_the_same_rank(self) -> None:
        account = customer_account.CustomerAccount(0.0)
        order = []
        tickets = [
            customer_account.Ticket("shop", order.append, 0.0, MAX_WAIT_S, rank)
            for rank in (1, 0, 1, 0)
        ]
        for ticket in tickets:
            account.waiting.add(ticket)
        account.waiting.discard(tickets[3])
        account.waiting.discard(tickets[3])
        assert len(account.waiting) == 3
        account.add(0.0, 3, 0.4, "node")
        assert order == [tickets[1], tickets[0], tickets[2]]
        assert not account.waiting
