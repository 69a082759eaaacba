"""Grants the tokens of all customers while members follow this node.

Each follower leases its part of every quota to this node. A lease is measured by the
clock of this node alone: a reply carries its time, the follower returns that time, and
the lease ends a fixed time after it. Messages that were delayed, or that waited while
this node was paused, therefore extend no lease.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from .. import data
from ..membership import frames
from . import demand_totals, shortage, token_bucket

LEASE_S = 0.6
# A bucket that began empty may lack tokens for this time although its customer is below
# its quota, so the time until a token is available is reported as not known.
SETTLING_S = 1.0
NOT_KNOWN_MS = -1
MAX_ENTRY_TOKENS = 100_000
# Accounts that are brought to a new config in one go: some milliseconds of work. The
# others follow with each call of `expire`, or when they are next used.
SLICE_ACCOUNT_COUNT = 250


class Lease(NamedTuple):
    """Lease of one follower.

    :param expires_at: time of this node's clock, in seconds.
    :param member_count: number of members that the follower knows.
    """

    expires_at: float
    member_count: int


class _Account(NamedTuple):
    bucket: token_bucket.TokenBucket
    shortages: shortage.ShortageTable


class Coordinator:
    """Leases, buckets and replies of one node.

    All times are those of one clock that also advances while the VM is suspended, in
    seconds.

    :param started_at: time when the process started.
    :param totals: sums of the demand that followers report.
    :ivar own_member_count: number of members that this node knows; 0 if it does not.
    """

    def __init__(
        self, started_at: float, totals: demand_totals.DemandTotals | None = None
    ) -> None:
        self._started_ms = int(started_at * 1000)
        self._totals = totals or demand_totals.NoDemandTotals()
        self._leases: dict[str, Lease] = {}
        # At most the first end of a lease: before it, none has to be searched for.
        self._next_expiry_at = float("inf")
        self._member_counts: collections.Counter[int] = collections.Counter()
        self._history = token_bucket.ShareHistory()
        self._accounts: dict[str, _Account] = {}
        self._customers: dict[str, data.Customer] = {}
        self._outdated: dict[str, None] = {}  # accounts of a former config
        self.own_member_count = 0

    @property
    def follower_count(self) -> int:
        """Number of leases, as of the last message."""
        return len(self._leases)

    @property
    def share(self) -> float:
        """Part of each quota that this node may grant, as of the last message."""
        return self._history.share

    def set_customers(self, now: float, customers: Iterable[data.Customer]) -> None:
        """Applies the customers of a config; changed quotas are in force at once.

        An account that is not in use may follow later, see :meth:`expire`.
        """
        self._expire_leases(now)
        self._customers = {each.name: each for each in customers}
        self._outdated = dict.fromkeys(self._accounts)
        self._update_accounts(now)

    def expire(self, now: float) -> None:
        """Ends the leases that have expired, and updates some outdated accounts."""
        self._expire_leases(now)
        self._update_accounts(now)

    def _update_accounts(self, now: float) -> None:
        """Applies the config in force to a bounded number of accounts."""
        for _ in range(min(SLICE_ACCOUNT_COUNT, len(self._outdated))):
            name, _ = self._outdated.popitem()
            self._update_account(name, now)

    def _update_account(self, name: str, now: float) -> None:
        customer = self._customers.get(name)
        if customer is None or not customer.rate_per_s:
            del self._accounts[name]
            return
        bucket = self._accounts[name].bucket
        bucket.set_quota(now, self._history, customer.rate_per_s, customer.burst)

    def handle_request(
        self, sender: str, request: frames.QuotaRequest, now: float
    ) -> frames.QuotaReply:
        """Extends the lease of a follower and grants tokens.

        :param sender: address of the follower.
        """
        self._expire_leases(now)
        is_fresh = self._extend_lease(sender, request, now)
        self._totals.record(sender, request.demand, now)
        entries = []
        for name, wanted, _ in request.entries:
            if wanted < 0 and not is_fresh:
                # Tokens in a delayed message may have been granted long ago.
                continue
            entry = self._handle_entry(sender, name, wanted, now)
            if entry is not None:
                entries.append(entry)
        return frames.QuotaReply(
            int(now * 1000),
            len(self._leases),
            entries,
            self._totals.get_totals(now) if request.demand else [],
            request.number,
        )

    def _extend_lease(
        self, sender: str, request: frames.QuotaRequest, now: float
    ) -> bool:
        """Extends a lease; returns whether the returned time was recent and valid."""
        echo_ms = request.echo_ms
        is_own_clock = echo_ms and self._started_ms <= echo_ms <= now * 1000
        expires_at = echo_ms / 1000 + LEASE_S
        if request.member_count <= 0 or not is_own_clock or expires_at <= now:
            return False
        previous = self._leases.get(sender)
        if previous is not None:
            expires_at = max(expires_at, previous.expires_at)
            self._remove_count(previous.member_count)
        self._leases[sender] = Lease(expires_at, request.member_count)
        self._member_counts[request.member_count] += 1
        self._next_expiry_at = min(self._next_expiry_at, expires_at)
        self._update_share(now)
        return True

    def _expire_leases(self, now: float) -> None:
        """Ends expired leases in their order, so that each counted until its end."""
        if now < self._next_expiry_at:
            return
        expired = sorted(
            (lease.expires_at, sender)
            for sender, lease in self._leases.items()
            if lease.expires_at <= now
        )
        for expires_at, sender in expired:
            self._remove_count(self._leases.pop(sender).member_count)
            self._update_share(expires_at)
        self._next_expiry_at = min(
            (lease.expires_at for lease in self._leases.values()), default=float("inf")
        )

    def _remove_count(self, member_count: int) -> None:
        self._member_counts[member_count] -= 1
        if not self._member_counts[member_count]:
            del self._member_counts[member_count]

    def _update_share(self, now: float) -> None:
        # Members nearly always agree on their number, so there are few counts.
        member_count = max(self._member_counts, default=1)
        member_count = max(member_count, self.own_member_count)
        self._history.record(now, min(1.0, len(self._leases) / member_count))

    def _handle_entry(
        self, sender: str, name: str, wanted: int, now: float
    ) -> tuple[str, int, int] | None:
        """Returns the entry of the reply; None if the customer is not known."""
        customer = self._customers.get(name)
        if customer is None:
            return None
        if name in self._outdated:
            del self._outdated[name]
            self._update_account(name, now)
        if not customer.rate_per_s:
            return name, max(0, wanted), 0
        bucket, shortages = self._get_account(customer)
        bucket.refill(now, self._history)
        if wanted < 0:
            bucket.put_back(-wanted, self.share)
            return None
        granted = bucket.take(min(wanted, MAX_ENTRY_TOKENS))
        shortages.record(now, sender, wanted - granted)
        if granted == wanted:
            return name, granted, 0
        if self._history.get_age_s(now) < SETTLING_S:
            return name, granted, NOT_KNOWN_MS
        delay_s = bucket.get_delay_s(1 + shortages.get_total(now), self.share)
        return name, granted, max(1, round(delay_s * 1000))

    def _get_account(self, customer: data.Customer) -> _Account:
        account = self._accounts.get(customer.name)
        if account is None:
            bucket = token_bucket.TokenBucket(customer.rate_per_s, customer.burst)
            account = _Account(bucket, shortage.ShortageTable())
            self._accounts[customer.name] = account
        return account
