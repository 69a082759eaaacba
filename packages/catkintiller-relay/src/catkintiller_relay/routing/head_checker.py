"""Decides by its head whether a request is handled.

Handles requests that are refused anyway and whose bodies would take memory, link and
time: route, sender, deadline, room for the body, quota and capacity are checked before
a body is read. A request without a body takes the same way.
"""

import abc
import asyncio

from .. import data
from ..quotas import quota_sync
from . import (
    admission,
    authentication,
    call_graph,
    pending_request,
    quota_gate,
    request_head,
    route_table,
    share_gate,
    stop_deadline,
)

EXPIRY_MARGIN_S = 0.01
MAX_PENDING_COUNT = 6000
UNAUTHORIZED_HEADERS = b"WWW-Authenticate: Token\r\n"


class HeadDecisionHandler(abc.ABC):
    """Carries out what is decided by the head of a request."""

    @property
    @abc.abstractmethod
    def pending_count(self) -> int:
        """Number of requests that have not been answered yet."""

    @property
    @abc.abstractmethod
    def stopping(self) -> bool:
        """Whether root requests are refused because the node stops."""

    @property
    @abc.abstractmethod
    def ends_at(self) -> float | None:
        """Time of the event loop at which a node that stops ends, in seconds.

        None while it does not stop.
        """

    @abc.abstractmethod
    def accept(self, pending: pending_request.PendingRequest) -> None:
        """Handles a request that is accepted by its head."""

    @abc.abstractmethod
    def refuse(
        self, pending: pending_request.PendingRequest, reason: data.RefusalReason
    ) -> None:
        """Sends a response that says that the request has not run."""

    @abc.abstractmethod
    def reject(
        self, pending: pending_request.PendingRequest, status: int, headers: bytes = b""
    ) -> None:
        """Sends an error response to a request that cannot be handled.

        :param status: HTTP status code.
        :param headers: encoded header lines, each with its line end.
        """

    @abc.abstractmethod
    def is_blocked(self, pending: pending_request.PendingRequest, now: float) -> bool:
        """Returns whether a request may not run because it crashes endpoints."""


class HeadChecker:
    """Checks the heads of the requests that arrive at this node.

    :param header_names: names of the headers that the node reads.
    :param authenticator: identifies the senders.
    :param graph: call graph of the routes.
    :param quotas: quotas of the customers.
    :param admission_control: decides by the capacity of the services.
    :param handler: carries out the decisions.
    :ivar quota_gate: holds the tokens of requests that were accepted.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        header_names: data.HeaderNames,
        authenticator: authentication.Authenticator,
        graph: call_graph.CallGraph,
        quotas: quota_sync.QuotaSync,
        admission_control: admission.AdmissionController,
        handler: HeadDecisionHandler,
    ) -> None:
        self._loop = loop
        self._header_names = header_names
        self._authenticator = authenticator
        self._graph = graph
        self._admission = admission_control
        self._handler = handler
        self._route_table: route_table.RouteTable | None = None
        self.quota_gate = quota_gate.QuotaGate(quotas, self._admit, handler.refuse)

    def set_config(self, config: data.Config) -> None:
        """Applies a config."""
        self._route_table = route_table.RouteTable(config)
        self._authenticator.set_config(config)

    def check(self, pending: pending_request.PendingRequest) -> None:
        """Checks a request; the handler is called with the decision, possibly later."""
        request = pending.request
        if self._route_table is None:
            self._handler.refuse(pending, data.RefusalReason.NO_CONFIG)
            return
        route = self._route_table.find(
            request_head.parse_host(request), request_head.parse_path(request)
        )
        if route is None:
            self._handler.reject(pending, 404)
            return
        now = self._loop.time()
        pending.route = route
        pending.request_id = request.get_header(self._header_names.request_id) or b""
        pending.max_attempts = route.max_attempts
        deadline = self._set_expiry(pending)
        identity = self._authenticator.identify(request, route, deadline, now)
        if identity.decision is authentication.Decision.UNAUTHORIZED:
            self._handler.reject(pending, 401, UNAUTHORIZED_HEADERS)
            return
        pending.service = self._route_table.pick_service(route)
        self._apply_identity(pending, identity, now)
        reason = self._find_refusal(pending, identity, now)
        if reason is not None:
            self._handler.refuse(pending, reason)
            return
        self.quota_gate.enter(pending, now)

    def withdraw(self, pending: pending_request.PendingRequest) -> None:
        """Gives back what a request took that was accepted and cannot be sent."""
        self.quota_gate.refund(pending)
        if pending.is_admitted:
            pending.is_admitted = False
            self._admission.withdraw_request(
                pending.route, pending.service, pending.rank, pending.customer_name
            )

    def _set_expiry(self, pending: pending_request.PendingRequest) -> float:
        """Sets when the request expires; returns the deadline of its sender."""
        route = pending.route
        sender_wait_s = request_head.parse_deadline_s(
            pending.request.get_header(self._header_names.deadline)
        )
        remaining_s = route.timeout_s if sender_wait_s is None else sender_wait_s
        deadline = pending.head_received_at + remaining_s
        route_timeout_at = pending.head_received_at + route.timeout_s
        pending.expires_at = min(deadline - EXPIRY_MARGIN_S, route_timeout_at)
        return deadline

    def _apply_identity(
        self,
        pending: pending_request.PendingRequest,
        identity: authentication.Identity,
        now: float,
    ) -> None:
        """Sets what follows from the sender of a request, and counts its arrival."""
        route, parent = pending.route, identity.parent
        pending.customer = identity.customer
        pending.is_nested_call = identity.is_nested_call
        pending.rank = route.rank
        if identity.customer is not None and identity.customer.rank is not None:
            pending.rank = identity.customer.rank
        self._graph.record_arrival(route.name, pending.service, parent)
        if parent is not None:
            pending.parent = parent
            pending.rank = parent.rank
            parent.begin_call(now)

    def _find_refusal(
        self,
        pending: pending_request.PendingRequest,
        identity: authentication.Identity,
        now: float,
    ) -> data.RefusalReason | None:
        """Returns why a request is refused before its quota is asked for.

        Whether a request is blocked depends on its body, so it is checked once that is
        complete. Room for a declared body is reserved.
        """
        if identity.decision is not authentication.Decision.ACCEPT:
            return identity.decision.reason
        if now >= pending.expires_at:
            return data.RefusalReason.TIMEOUT
        if self._handler.pending_count > MAX_PENDING_COUNT:
            return data.RefusalReason.NO_MEMORY
        if self._handler.stopping and not pending.is_nested_call:
            return data.RefusalReason.STOPPING
        if not self._can_finish(pending, now):
            return data.RefusalReason.STOPPING
        if pending.request.incoming_body is None:
            if self._handler.is_blocked(pending, now):
                return data.RefusalReason.BLOCKED
        elif not pending.connection.reserve_body():
            return data.RefusalReason.NO_MEMORY
        return None

    def _can_finish(self, pending: pending_request.PendingRequest, now: float) -> bool:
        """Returns whether a request will be answered before a node that stops ends."""
        ends_at = self._handler.ends_at
        if ends_at is None:
            return True
        mean_s = self._admission.get_known_occupancy_s(
            pending.service, pending.route.name
        )
        return stop_deadline.can_finish(now, ends_at, pending.expires_at, mean_s)

    def _admit(self, pending: pending_request.PendingRequest) -> None:
        """Accepts a request unless a service it needs lacks capacity."""
        reason = share_gate.admit(self._admission, pending, self._loop.time())
        if reason is not None:
            self._handler.refuse(pending, reason)
            return
        pending.is_admitted = not pending.is_nested_call
        self._handler.accept(pending)
