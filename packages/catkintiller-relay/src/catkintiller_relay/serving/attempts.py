"""Attempts to run a request at an endpoint, their state and their results."""

from collections.abc import Callable

import msgspec

from .. import data
from ..routing import call_graph
from . import endpoint_exchange


class Attempt(msgspec.Struct, frozen=True):
    """One attempt to run a request at an endpoint.

    :param request_id: identity of the request, as sent by its client.
    :param route: name of the route that the request matches.
    :param service: service that is to run the request.
    :param rank: importance of its root request; 0 is highest.
    :param is_nested_call: whether an endpoint sends it while it runs another request.
    :param remaining_s: time until the deadline, in seconds.
    :param target_latency_s: remaining time to the latency target, in seconds.
    :param head: encoded head without the empty line at its end and without the headers
        for the deadline and the target, which are added here.
    :param body: complete body.
    :param suspect_crashes: known crashes at which it ran, see :mod:`..crashes`.
    :param customer: name of the customer that it belongs to; empty without one.
    :param may_hand_over: whether it is refused if it would wait.
    """

    request_id: bytes
    route: str
    service: str
    rank: int
    is_nested_call: bool
    remaining_s: float
    target_latency_s: float
    head: bytes
    body: bytes
    suspect_crashes: int = 0
    customer: str = ""
    may_hand_over: bool = False


class AttemptResult(msgspec.Struct, frozen=True):
    """Result of an attempt.

    :param reason: why it was not run or its outcome is unknown; None if answered.
    :param status: HTTP status code; 0 if there is no response.
    :param head: encoded head of the response without the empty line at its end.
    :param body: complete body of the response.
    :param queued_s: time in the queue, in seconds.
    :param service_time_s: time at the endpoint, in seconds.
    """

    outcome: data.Outcome
    reason: data.RefusalReason | None
    status: int
    head: bytes
    body: bytes
    queued_s: float
    service_time_s: float


class Execution:
    """An attempt that is queued for the local endpoint or runs there.

    :ivar on_complete: called once with the result; None after that or after a cancel.
    :ivar queue_number: number in the queue; None if it was not queued.
    :ivar running_request: entry in the index, to which nested calls are assigned.
    :ivar submitted_at: time of the event loop when it was submitted, in seconds.
    :ivar started_at: time of the event loop when it got a slot, in seconds.
    :ivar deadline: time of the event loop after which it is of no use, in seconds.
    :ivar fingerprint: fingerprint of the request; empty until it is needed.
    """

    __slots__ = (
        "fingerprint",
        "submitted_at",
        "on_complete",
        "deadline",
        "exchange",
        "running_request",
        "queue_number",
        "is_running",
        "started_at",
        "attempt",
    )

    def __init__(
        self, attempt: Attempt, on_complete: Callable[[AttemptResult], None]
    ) -> None:
        self.attempt = attempt
        self.on_complete: Callable[[AttemptResult], None] | None = on_complete
        self.exchange: endpoint_exchange.Exchange | None = None
        self.queue_number: int | None = None
        self.running_request: call_graph.RunningRequest | None = None
        self.is_running = False
        self.submitted_at = 0.0
        self.started_at = 0.0
        self.deadline = 0.0
        self.fingerprint = b""
