"""Holds root requests until their customers' quotas allow them to run."""

from collections.abc import Callable

from .. import data
from ..quotas import customer_account, quota_sync
from . import pending_request

# Time that is left for the response to a request that waits until it expires.
EXPIRY_MARGIN_S = 0.05

Proceed = Callable[[pending_request.PendingRequest], None]
Refuse = Callable[[pending_request.PendingRequest, data.RefusalReason], None]


class QuotaGate:
    """Acquires and returns the tokens of requests.

    :param quotas: quotas of this node.
    :param proceed: called with a request that may run.
    :param refuse: called with a request that may not, and the reason.
    """

    def __init__(
        self, quotas: quota_sync.QuotaSync, proceed: Proceed, refuse: Refuse
    ) -> None:
        self._quotas = quotas
        self._proceed = proceed
        self._refuse = refuse

    def enter(self, pending: pending_request.PendingRequest, now: float) -> None:
        """Lets a request proceed as soon as it has a token, if it needs one.

        :param now: time of the event loop, in seconds.
        """
        customer = pending.customer
        if customer is None or not customer.rate_per_s or pending.is_nested_call:
            self._proceed(pending)
            return

        is_decided = False

        def handle_decision(ticket: customer_account.Ticket) -> None:
            nonlocal is_decided
            is_decided = True
            pending.quota_ticket = ticket
            if ticket.refusal is None:
                self._proceed(pending)
            else:
                self._refuse(pending, ticket.refusal.reason)

        max_wait_s = pending.expires_at - EXPIRY_MARGIN_S - now
        ticket = self._quotas.acquire(customer, handle_decision, max_wait_s)
        # After a decision, its token may have been refunded already.
        if not is_decided:
            pending.quota_ticket = ticket

    def cancel(self, pending: pending_request.PendingRequest) -> None:
        """Ends the wait of a request that is answered or whose client has left."""
        if pending.quota_ticket is not None:
            self._quotas.cancel(pending.quota_ticket)

    def refund(self, pending: pending_request.PendingRequest) -> None:
        """Returns the token of a request that has not run and will not run."""
        ticket = pending.quota_ticket
        if ticket is not None:
            pending.quota_ticket = None
            self._quotas.cancel(ticket)
            self._quotas.refund(ticket)

    def charge_attempt(self, pending: pending_request.PendingRequest) -> None:
        """Charges a further attempt of a request that may have run before."""
        if pending.quota_ticket is not None:
            self._quotas.charge(pending.quota_ticket.customer_name)
