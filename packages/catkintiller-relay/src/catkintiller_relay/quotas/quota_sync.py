"""Connects the quotas of a node to its peers, its config, its clock and its log."""

import asyncio
import random
import time
from collections.abc import Callable

from .. import data
from ..membership import frames, peer_set
from ..telemetry import events
from . import (
    coordinator,
    coordinator_choice,
    customer_account,
    demand_totals,
    quota_client,
)

ApplyTotals = Callable[[list[demand_totals.DemandEntry]], None]


def read_clock() -> float:
    """Reads the clock that also advances while the VM is suspended, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def ignore_totals(totals: list[demand_totals.DemandEntry]) -> None:
    """Does nothing."""


def has_no_demand() -> bool:
    """Returns that there is no demand to report."""
    return False


class QuotaSync:
    """The quotas of one node, as a member and as a possible coordinator.

    Without quotas in the config in force it sends messages only while there is demand
    of customers to report. It always responds to peers that have a newer config.

    :param own_address: address where this node accepts connections of other nodes.
    :param is_listed: returns whether this node has read the list of members.
    :param get_demand: returns the demand to report to the coordinator.
    :param apply_totals: called with the sums of demand that the coordinator returns.
    :param totals: sums of the demand that followers of this node report.
    :param has_demand: returns whether there is demand to report.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        own_address: str,
        peers: peer_set.PeerSet,
        is_listed: Callable[[], bool],
        rng: random.Random,
        log: events.EventLog,
        get_demand: quota_client.GetDemand = quota_client.get_no_demand,
        apply_totals: ApplyTotals = ignore_totals,
        totals: demand_totals.DemandTotals | None = None,
        has_demand: Callable[[], bool] = has_no_demand,
    ) -> None:
        self._loop = loop
        self._own_address = own_address
        self._peers = peers
        self._is_listed = is_listed
        self._log = log
        self._apply_totals = apply_totals
        self._has_demand = has_demand
        self._coordinator = coordinator.Coordinator(read_clock(), totals)
        self._client = quota_client.QuotaClient(
            own_address, self._send, rng, get_demand
        )
        self._timer: asyncio.TimerHandle | None = None
        self._enabled = False
        self._has_customers = False

    @property
    def enabled(self) -> bool:
        """Whether a customer has a quota."""
        return self._enabled

    @property
    def is_coordinator(self) -> bool:
        """Whether this node follows itself."""
        return self._client.choice.coordinator == self._own_address

    @property
    def follower_count(self) -> int:
        """Number of nodes that follow this one, itself included."""
        return self._coordinator.follower_count

    def set_config(self, config: data.Config) -> None:
        """Applies a config."""
        now = read_clock()
        self._enabled = any(each.rate_per_s for each in config.customers)
        self._has_customers = bool(config.customers)
        self._peers.coordinator_order.enabled = self._has_customers
        self._coordinator.set_customers(now, config.customers)
        self._client.set_customers(now, config.customers)

    def tick(self) -> None:
        """Refuses requests that have waited too long and sends what is due."""
        if self._enabled or (self._has_customers and self._has_demand()):
            self._client.tick(read_clock())

    def update_members(self, loop_time: float) -> None:
        """Updates the members and the coordinator among them.

        :param loop_time: time of the event loop, in seconds.
        """
        now = read_clock()
        self._coordinator.expire(now)
        if not self._has_customers:
            return
        order = self._peers.coordinator_order
        listed = self._is_listed()
        self._coordinator.own_member_count = order.member_count if listed else 0
        candidates = order.get_candidates(loop_time, self._peers.peers)
        change = self._client.set_members(
            now, candidates, order.member_count, listed=listed
        )
        order.coordinator = self._client.choice.coordinator
        if change is not None:
            self._log_change(change)

    def acquire(
        self,
        customer: data.Customer,
        on_decision: Callable[[customer_account.Ticket], None],
        max_wait_s: float,
    ) -> customer_account.Ticket:
        """Acquires a token, see :meth:`.quota_client.QuotaClient.acquire`."""
        now = read_clock()
        ticket = self._client.acquire(customer, now, on_decision, max_wait_s)
        self._schedule_tick()
        return ticket

    def cancel(self, ticket: customer_account.Ticket) -> None:
        """Cancels a ticket that still waits."""
        self._client.cancel(ticket)

    def refund(self, ticket: customer_account.Ticket) -> None:
        """Takes back the token of a request that has not run."""
        self._client.refund(ticket.customer_name, read_clock(), ticket.expires_at)

    def charge(self, customer_name: str) -> None:
        """Charges a further attempt of a request that may have run before."""
        self._client.charge(customer_name, read_clock())
        self._schedule_tick()

    def handle_request(
        self, sender: str, request: frames.QuotaRequest
    ) -> frames.QuotaReply:
        """Handles a request of a peer, which may follow this node."""
        return self._coordinator.handle_request(sender, request, read_clock())

    def handle_reply(self, sender: str, reply: frames.QuotaReply) -> None:
        """Handles a reply of a peer.

        :param sender: address of the peer.
        """
        self._client.handle_reply(sender, reply, read_clock())
        if reply.demand and sender == self._client.choice.coordinator:
            self._apply_totals(reply.demand)

    def _send(self, address: str, request: frames.QuotaRequest) -> None:
        if address == self._own_address:
            self.handle_reply(address, self.handle_request(address, request))
            return
        peer = self._peers.get_peer(address)
        if peer is not None:
            peer.request_quota(request)

    def _schedule_tick(self) -> None:
        if self._client.is_urgent and self._timer is None:
            self._timer = self._loop.call_later(
                quota_client.MIN_MESSAGE_INTERVAL_S, self._handle_timer
            )

    def _handle_timer(self) -> None:
        self._timer = None
        self._client.tick(read_clock())
        self._schedule_tick()

    def _log_change(self, change: coordinator_choice.Change) -> None:
        if self._log.reserve_line("quota"):
            self._log.write(
                "quota",
                "Coordinator of the quotas changed.",
                coordinator=change.coordinator,
                previous=change.previous,
                members=self._peers.coordinator_order.member_count,
            )
