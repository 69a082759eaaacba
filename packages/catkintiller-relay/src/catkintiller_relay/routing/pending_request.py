"""State of a request between its arrival and its response."""

import abc
import asyncio
from typing import Any

from .. import data
from ..ingress import http1, incoming_body
from ..quotas import customer_account
from ..shares import share_refusal
from . import call_graph


class PendingRequestOwner(abc.ABC):
    """Handles what happens to the connection of a request before the response."""

    @abc.abstractmethod
    def handle_client_disconnect(self, pending: "PendingRequest") -> None:
        """Handles the disconnect of the client."""

    @abc.abstractmethod
    def handle_body_failure(
        self, pending: "PendingRequest", failure: incoming_body.BodyFailure
    ) -> None:
        """Handles a body that cannot be read to its end."""


class PendingRequest:
    """A request that has not been answered yet.

    :ivar expires_at: time of the event loop at which the node sends its own response,
        in seconds.
    :ivar max_attempts: number of attempts that the route allows.
    :ivar endpoint_attempt_count: attempts that may have reached an endpoint.
    :ivar reached_nodes: addresses of the nodes beside these endpoints.
    :ivar rejecting_nodes: those of them whose endpoints said that they did not run it.
    :ivar full_nodes: addresses of the nodes that handed it over because their endpoints
        were full.
    :ivar redispatch_count: attempts that reached no endpoint.
    :ivar may_have_run: whether the outcome of at least one attempt is unknown.
    :ivar parent: running request that waits for this nested call, if known.
    :ivar is_nested_call: whether an endpoint sent it while it ran another request.
    :ivar is_admitted: whether a place was taken for it in the admission control.
    :ivar is_receiving: whether it was accepted by its head and its body still arrives.
    :ivar last_reason: why the last attempt got no response; NO_ENDPOINT before the
        first attempt.
    :ivar rank: importance; 0 is the highest.
    :ivar customer: customer that it is charged to, if any.
    :ivar quota_ticket: ticket of its customer's quota; None if it needs none.
    :ivar share_refusal: why it was refused by its customer's share, if it was.
    :ivar tried_nodes: addresses of the nodes that attempts were sent to.
    :ivar fingerprint: fingerprint of the request; empty until it is needed.
    :ivar outstanding: attempts without a result by node: None with a local execution,
        or the connection to a peer with the number of the attempt on it.
    """

    __slots__ = (
        "_owner",
        "head_received_at",
        "max_attempts",
        "is_admitted",
        "is_nested_call",
        "is_receiving",
        "connection",
        "customer",
        "expires_at",
        "fingerprint",
        "full_nodes",
        "head",
        "last_reason",
        "outstanding",
        "parent",
        "quota_ticket",
        "rank",
        "reached_nodes",
        "redispatch_count",
        "rejecting_nodes",
        "request",
        "request_id",
        "route",
        "endpoint_attempt_count",
        "service",
        "share_refusal",
        "expiry_timer",
        "tried_nodes",
        "may_have_run",
    )

    def __init__(
        self,
        owner: PendingRequestOwner,
        connection: http1.ServerConnection,
        request: http1.Request,
    ) -> None:
        self._owner = owner
        self.connection = connection
        self.request = request
        self.request_id = b""
        self.route: data.Route | None = None
        self.service = ""
        self.head = b""
        self.fingerprint = b""
        self.head_received_at = request.head_received_at
        self.expires_at = 0.0
        self.max_attempts = 1
        self.last_reason = data.RefusalReason.NO_ENDPOINT
        self.endpoint_attempt_count = 0
        self.redispatch_count = 0
        self.may_have_run = False
        self.parent: call_graph.RunningRequest | None = None
        self.is_admitted = False
        self.is_nested_call = False
        self.is_receiving = False
        self.rank = 0
        self.customer: data.Customer | None = None
        self.quota_ticket: customer_account.Ticket | None = None
        self.share_refusal: share_refusal.ShareRefusal | None = None
        self.tried_nodes: set[str] = set()
        self.reached_nodes: set[str] = set()
        self.rejecting_nodes: set[str] = set()
        self.full_nodes: set[str] = set()
        self.outstanding: dict[str, tuple[Any, Any]] = {}
        self.expiry_timer: asyncio.TimerHandle | None = None

    @property
    def customer_name(self) -> str:
        """Name of its customer; empty without one."""
        return "" if self.customer is None else self.customer.name

    @property
    def has_reached_all_endpoints(self) -> bool:
        """Whether it has been sent to as many endpoints as its route allows."""
        if not self.reached_nodes:
            return len(self.outstanding) >= self.max_attempts
        reached_count = len(self.reached_nodes | self.outstanding.keys())
        return reached_count >= self.max_attempts

    def cancel(self) -> None:
        """Handles the disconnect of the client."""
        self._owner.handle_client_disconnect(self)

    def fail_body(self, failure: incoming_body.BodyFailure) -> None:
        """Handles a body that cannot be read to its end."""
        self._owner.handle_body_failure(self, failure)
