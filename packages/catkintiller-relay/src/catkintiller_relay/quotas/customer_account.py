"""Tokens and waiting requests of one customer at one node."""

import collections
import math
from collections.abc import Callable
from typing import NamedTuple

from .. import data

RATE_TIME_CONSTANT_S = 0.5
MIN_RATE_PER_S = 0.05  # below this a customer counts as gone
# Tokens are held for the requests expected until the next message but one at the
# latest; tokens that would expire before the next message are returned.
STOCK_S = 0.2
RETURN_BEFORE_EXPIRY_S = 0.22
SHORTAGE_KEPT_S = 0.5


class Refusal(NamedTuple):
    """Why a request gets no token.

    :param reason: whether no token is left or that is not known.
    :param retry_after_s: time after which the client may try again, in seconds.
    :param data_age_s: age of the coordinator's report that it is based on, in seconds;
        None without one.
    """

    reason: data.RefusalReason
    retry_after_s: float
    data_age_s: float | None = None


class Ticket:
    """A request for one token.

    :param on_decision: called once with the ticket, unless it is cancelled before.
    :param created_at: time in seconds.
    :param wait_until: time until which it may wait, in seconds.
    :ivar expires_at: time until which its token may be refunded, in seconds.
    :ivar refusal: why it got no token; None if it got one or still waits.
    """

    __slots__ = (
        "customer_name",
        "on_decision",
        "created_at",
        "wait_until",
        "expires_at",
        "refusal",
    )

    def __init__(
        self,
        customer_name: str,
        on_decision: Callable[["Ticket"], None],
        created_at: float,
        wait_until: float,
    ) -> None:
        self.customer_name = customer_name
        self.on_decision = on_decision
        self.created_at = created_at
        self.wait_until = wait_until
        self.expires_at = float("-inf")
        self.refusal: Refusal | None = None


class _Tokens(NamedTuple):
    expires_at: float
    granted_by: str
    count: int


class Shortage(NamedTuple):
    """Report of the coordinator that it has fewer tokens than were wanted.

    :param reported_at: time in seconds.
    :param retry_after_s: time until a token is available, in seconds; None if that is
        not known.
    """

    reported_at: float
    retry_after_s: float | None


class CustomerAccount:
    """Tokens of one customer; all times are in seconds.

    :ivar waiting: tickets that wait for a token, in their order.
    :ivar shortage: last report that tokens are short.
    """

    def __init__(self, now: float) -> None:
        self._tokens: collections.deque[_Tokens] = collections.deque()
        self._debt = 0
        self._arrival_count = 0
        self._unreported_count = 0
        self._rate_per_s = 0.0
        self._rate_updated_at = now
        self._is_serving = False
        self.waiting: dict[Ticket, None] = {}
        self.shortage: Shortage | None = None

    @property
    def is_idle(self) -> bool:
        """Whether nothing is to be kept."""
        is_empty = not (self.waiting or self._tokens or self._debt)
        return is_empty and self._rate_per_s < MIN_RATE_PER_S

    def record_arrival(self) -> None:
        """Counts a request."""
        self._arrival_count += 1

    def pop_arrivals(self) -> int:
        """Returns the requests from the last call to the last update of the rate."""
        count, self._unreported_count = self._unreported_count, 0
        return count

    def update_rate(self, now: float) -> None:
        """Updates the rate of requests."""
        elapsed_s = now - self._rate_updated_at
        if elapsed_s <= 0:
            return
        weight = 1.0 - math.exp(-elapsed_s / RATE_TIME_CONSTANT_S)
        self._rate_per_s += weight * (
            self._arrival_count / elapsed_s - self._rate_per_s
        )
        self._unreported_count += self._arrival_count
        self._arrival_count = 0
        self._rate_updated_at = now

    def add(self, now: float, count: int, expires_at: float, granted_by: str) -> None:
        """Adds tokens; they pay for charged retries first, then for waiting tickets.

        :param granted_by: address of the coordinator; empty for a refunded token.
        """
        if expires_at <= now:
            return
        paid = min(self._debt, count)
        self._debt -= paid
        if count > paid:
            self._tokens.append(_Tokens(expires_at, granted_by, count - paid))
        self.serve_waiting(now)

    def charge(self) -> None:
        """Counts a token that is used now and paid with the next one."""
        self._debt += 1

    def take(self, now: float) -> float | None:
        """Takes a token and returns when it expires; None if there is none."""
        tokens = self._tokens
        while tokens and tokens[0].expires_at <= now:
            tokens.popleft()
        if not tokens:
            return None
        first = tokens[0]
        if first.count > 1:
            tokens[0] = first._replace(count=first.count - 1)
        else:
            tokens.popleft()
        return first.expires_at

    def serve_waiting(self, now: float) -> None:
        """Gives tokens to waiting tickets, as far as there are any."""
        if self._is_serving:
            # A request that was refused refunds its token; the loop below uses it.
            return
        self._is_serving = True
        try:
            while self.waiting:
                expires_at = self.take(now)
                if expires_at is None:
                    return
                ticket = next(iter(self.waiting))
                del self.waiting[ticket]
                ticket.expires_at = expires_at
                ticket.on_decision(ticket)
        finally:
            self._is_serving = False

    def release_waiting(self, now: float) -> None:
        """Lets all waiting tickets pass, since the customer has no quota any more."""
        while self.waiting:
            ticket = next(iter(self.waiting))
            del self.waiting[ticket]
            ticket.on_decision(ticket)

    def is_low(self, now: float) -> bool:
        """Returns whether tokens are needed before the next regular message."""
        if self.waiting or self._debt:
            return True
        return 2 * self._count_tokens(now) < self._get_stock(now)

    def pop_unused(self, now: float, coordinator: str) -> int:
        """Removes tokens that expire soon; returns how many can be returned."""
        count = 0
        kept = collections.deque()
        for tokens in self._tokens:
            if tokens.expires_at - now > RETURN_BEFORE_EXPIRY_S:
                kept.append(tokens)
            elif tokens.granted_by == coordinator:
                count += tokens.count if tokens.expires_at > now else 0
            elif tokens.expires_at > now:
                kept.append(tokens)
        self._tokens = kept
        return count

    def compute_wanted(self, now: float) -> int:
        """Computes the number of tokens to request."""
        needed = len(self.waiting) + self._debt + self._get_stock(now)
        return max(0, needed - self._count_tokens(now))

    def _count_tokens(self, now: float) -> int:
        return sum(each.count for each in self._tokens if each.expires_at > now)

    def _get_stock(self, now: float) -> int:
        """Returns the number of tokens to hold; none while tokens are short."""
        shortage = self.shortage
        if shortage is not None and now - shortage.reported_at < SHORTAGE_KEPT_S:
            return 0
        return int(self._rate_per_s * STOCK_S)
