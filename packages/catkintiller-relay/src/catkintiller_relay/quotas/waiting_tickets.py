"""Tickets of one customer that wait for a token, the most important first.

Handles a customer that demands several times its quota: each token goes to its most
important request, among equal ones to the first.
"""

from collections.abc import Iterator
from typing import Protocol


class RankedTicket(Protocol):
    """A ticket with the rank of its request; 0 is the highest."""

    rank: int


class WaitingTickets:
    """Waiting tickets by rank, and in the order of arrival within a rank."""

    def __init__(self) -> None:
        self._tickets_by_rank: dict[int, dict[RankedTicket, None]] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[RankedTicket]:
        for tickets in self._tickets_by_rank.values():
            yield from tickets

    def __contains__(self, ticket: RankedTicket) -> bool:
        return ticket in self._tickets_by_rank.get(ticket.rank, {})

    def add(self, ticket: RankedTicket) -> None:
        """Adds a ticket that does not wait yet."""
        self._tickets_by_rank.setdefault(ticket.rank, {})[ticket] = None
        self._count += 1

    def discard(self, ticket: RankedTicket) -> None:
        """Removes a ticket if it waits."""
        tickets = self._tickets_by_rank.get(ticket.rank, {})
        if ticket not in tickets:
            return
        del tickets[ticket]
        self._count -= 1
        if not tickets:
            del self._tickets_by_rank[ticket.rank]

    def pop_first(self) -> RankedTicket:
        """Removes and returns the first ticket of the highest rank.

        :raises ValueError: if no ticket waits.
        """
        first = next(iter(self._tickets_by_rank[min(self._tickets_by_rank)]))
        self.discard(first)
        return first
