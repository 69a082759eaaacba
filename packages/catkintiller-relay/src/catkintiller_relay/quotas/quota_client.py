"""Gets tokens from the coordinator and gives them to the requests at this node.

Times are those of one clock that also advances while the VM is suspended, in seconds.
Tokens expire a fixed time after the node requested them, so that neither a late reply
nor a pause of this node lets them be used in addition to later ones.
"""

import random
from collections.abc import Callable, Iterable, Sequence

from .. import data
from ..membership import frames
from . import coordinator_choice, customer_account, demand_totals

TOKEN_LIFETIME_S = 0.4
MAX_WAIT_S = 0.3
# A lease is measured from the reply before the last message, so that two messages and
# the time on the way must fit into it.
MESSAGE_INTERVAL_S = 0.18
MIN_MESSAGE_INTERVAL_S = 0.03
REPLY_TIMEOUT_S = 0.2
# While tokens are short, a node asks again when some are expected, within this time.
MAX_SHORTAGE_INTERVAL_S = 0.1
UNKNOWN_RETRY_AFTER_S = (0.3, 0.9)
RETRY_AFTER_SPREAD = 0.3
MAX_RETRY_AFTER_JITTER_S = 0.1

Send = Callable[[str, frames.QuotaRequest], None]
GetDemand = Callable[[], list[demand_totals.DemandEntry]]


def get_no_demand() -> list[demand_totals.DemandEntry]:
    """Returns no demand."""
    return []


class QuotaClient:
    """Tokens of all customers at one node.

    :param own_address: address where this node accepts connections of other nodes.
    :param send: sends a message to the node at an address, which may be this node.
    :param rng: source of the jitter.
    :param get_demand: returns the demand to report with the next message.
    :ivar choice: the coordinator that this node follows.
    """

    def __init__(
        self,
        own_address: str,
        send: Send,
        rng: random.Random,
        get_demand: GetDemand = get_no_demand,
    ) -> None:
        self._send = send
        self._rng = rng
        self._get_demand = get_demand
        self._accounts: dict[str, customer_account.CustomerAccount] = {}
        self._limited: frozenset[str] = frozenset()
        self._urgent: dict[str, float] = {}  # earliest time of the next message
        self._sent: dict[int, tuple[str, float]] = {}
        self._last_number = 0
        self._outstanding: int | None = None
        self._sent_at = float("-inf")
        self._probed_at = float("-inf")
        self._member_count = 0
        self._lease_member_count = 0
        self.choice = coordinator_choice.CoordinatorChoice(own_address)

    @property
    def is_urgent(self) -> bool:
        """Whether requests wait or tokens are to be requested soon."""
        return bool(self._urgent)

    def set_customers(self, now: float, customers: Iterable[data.Customer]) -> None:
        """Applies the customers of a config; lets requests without quota pass."""
        self._limited = frozenset(each.name for each in customers if each.rate_per_s)
        for name in [each for each in self._accounts if each not in self._limited]:
            account = self._accounts.pop(name)
            self._urgent.pop(name, None)
            account.release_waiting(now)

    def set_members(
        self, now: float, candidates: Sequence[str], member_count: int, *, listed: bool
    ) -> coordinator_choice.Change | None:
        """Updates the coordinator; returns a change.

        :param candidates: connected members and this node in the order of all members.
        :param member_count: number of members, this node included.
        :param listed: whether this node has read the list of members; if not, it grants
            no lease.
        """
        self._member_count = member_count
        self._lease_member_count = member_count if listed else 0
        change = self.choice.update(now, candidates, member_count)
        if change is not None:
            self._outstanding = None
        return change

    def acquire(
        self,
        customer: data.Customer,
        now: float,
        on_decision: Callable[[customer_account.Ticket], None],
        max_wait_s: float = MAX_WAIT_S,
    ) -> customer_account.Ticket:
        """Acquires a token for a request.

        :param on_decision: called with the ticket, at once if a token is available;
            the ticket has a refusal if there is none in time.
        :param max_wait_s: longest time to wait, in seconds.
        """
        account = self._get_account(customer.name, now)
        account.record_arrival()
        wait_until = now + min(max_wait_s, MAX_WAIT_S)
        ticket = customer_account.Ticket(customer.name, on_decision, now, wait_until)
        account.waiting[ticket] = None
        account.serve_waiting(now)
        if account.is_low(now):
            self._urgent.setdefault(customer.name, now)
            self._send_if_due(now)
        return ticket

    def cancel(self, ticket: customer_account.Ticket) -> None:
        """Cancels a ticket that still waits."""
        account = self._accounts.get(ticket.customer_name)
        if account is not None:
            account.waiting.pop(ticket, None)

    def refund(self, customer_name: str, now: float, expires_at: float) -> None:
        """Takes back the token of a request that has not run.

        A token that has expired since is lost: if it were used, more requests than the
        quota could run in a later window.

        :param expires_at: time at which the token expires.
        """
        account = self._accounts.get(customer_name)
        if account is not None:
            account.add(now, 1, expires_at, "")

    def charge(self, customer_name: str, now: float) -> None:
        """Charges a further attempt of a request that may have run before.

        A customer that has lost its quota since is not charged: the coordinator grants
        no token to one that it does not know, so the node would ask for ever.
        """
        if customer_name not in self._limited:
            return
        self._get_account(customer_name, now).charge()
        self._urgent.setdefault(customer_name, now)

    def tick(self, now: float) -> None:
        """Refuses requests that have waited too long and sends what is due."""
        for number, (_, sent_at) in list(self._sent.items()):
            if now - sent_at > TOKEN_LIFETIME_S:
                del self._sent[number]
        for name in list(self._urgent):
            account = self._accounts.get(name)
            if account is not None:
                self._refuse_expired(account, now)
            if account is None or not account.is_low(now):
                self._urgent.pop(name, None)
        self._send_if_due(now)
        self._send_probes(now)

    def handle_reply(self, address: str, reply: frames.QuotaReply, now: float) -> None:
        """Handles a reply; replies to requests that are too old are ignored."""
        sent = self._sent.pop(reply.number, None)
        if sent is None or sent[0] != address or now - sent[1] > TOKEN_LIFETIME_S:
            return
        if reply.number == self._outstanding:
            self._outstanding = None
        self.choice.record_reply(address, reply, now)
        expires_at = sent[1] + TOKEN_LIFETIME_S
        for name, granted, retry_after_ms in reply.entries:
            account = self._accounts.get(name)
            if account is None:
                continue
            if retry_after_ms:
                retry_after_s = self._record_shortage(account, now, retry_after_ms)
                self._urgent[name] = now + min(MAX_SHORTAGE_INTERVAL_S, retry_after_s)
            account.add(now, granted, expires_at, address)

    def _record_shortage(
        self, account: customer_account.CustomerAccount, now: float, retry_after_ms: int
    ) -> float:
        """Records a shortage and returns the time until the next try, in seconds."""
        is_known = retry_after_ms > 0
        retry_after_s = retry_after_ms / 1000 if is_known else None
        account.shortage = customer_account.Shortage(now, retry_after_s)
        return retry_after_s or 0.0

    def _get_account(self, name: str, now: float) -> customer_account.CustomerAccount:
        account = self._accounts.get(name)
        if account is None:
            account = self._accounts[name] = customer_account.CustomerAccount(now)
        return account

    def _send_if_due(self, now: float) -> None:
        elapsed_s = now - self._sent_at
        is_urgent = elapsed_s >= MIN_MESSAGE_INTERVAL_S and any(
            now >= not_before for not_before in self._urgent.values()
        )
        if not is_urgent and elapsed_s < MESSAGE_INTERVAL_S:
            return
        if self._outstanding is not None and elapsed_s < REPLY_TIMEOUT_S:
            return
        address = self.choice.coordinator
        if not address:
            return
        self._sent_at = now
        entries = self._build_entries(address, now)
        echo_ms = self.choice.grant_lease(now) if self._lease_member_count else 0
        self._outstanding = self._send_request(
            address, now, echo_ms, entries, self._get_demand()
        )

    def _build_entries(self, address: str, now: float) -> list[tuple[str, int, int]]:
        """Builds the entries of all customers, with returned tokens first."""
        returned = []
        wanted = []
        for name, account in list(self._accounts.items()):
            account.update_rate(now)
            unused_count = account.pop_unused(now, address)
            if unused_count:
                returned.append((name, -unused_count, 0))
            wanted_count = account.compute_wanted(now)
            if wanted_count:
                wanted.append((name, wanted_count, account.pop_arrivals()))
            elif account.is_idle:
                del self._accounts[name]
        return returned + wanted

    def _send_probes(self, now: float) -> None:
        if now - self._probed_at < MESSAGE_INTERVAL_S:
            return
        self._probed_at = now
        for address in self.choice.get_probed(now):
            self._send_request(address, now, 0, [], [])

    def _send_request(
        self,
        address: str,
        now: float,
        echo_ms: int,
        entries: list[tuple[str, int, int]],
        demand: list[demand_totals.DemandEntry],
    ) -> int | None:
        """Sends a message; returns its number, or None if its reply has arrived."""
        self._last_number += 1
        number = self._last_number
        self._sent[number] = (address, now)
        self.choice.record_sent(address, now)
        self._send(
            address,
            frames.QuotaRequest(
                self._lease_member_count, echo_ms, entries, demand, number
            ),
        )
        return number if number in self._sent else None

    def _refuse_expired(
        self, account: customer_account.CustomerAccount, now: float
    ) -> None:
        expired = [each for each in account.waiting if each.wait_until <= now]
        for ticket in expired:
            # An earlier decision may have cancelled it.
            if ticket in account.waiting:
                del account.waiting[ticket]
                ticket.refusal = self._build_refusal(account, ticket, now)
                ticket.on_decision(ticket)

    def _build_refusal(
        self,
        account: customer_account.CustomerAccount,
        ticket: customer_account.Ticket,
        now: float,
    ) -> customer_account.Refusal:
        shortage = account.shortage
        if (
            shortage is None
            or shortage.retry_after_s is None
            or shortage.reported_at < ticket.created_at
        ):
            return customer_account.Refusal(
                data.RefusalReason.QUOTA_UNKNOWN,
                self._rng.uniform(*UNKNOWN_RETRY_AFTER_S),
            )
        spread = 1.0 + RETRY_AFTER_SPREAD * self._rng.random()
        jitter_s = MAX_RETRY_AFTER_JITTER_S * self._rng.random()
        return customer_account.Refusal(
            data.RefusalReason.QUOTA_EXCEEDED,
            shortage.retry_after_s * spread + jitter_s,
            now - shortage.reported_at,
        )
