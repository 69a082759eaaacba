"""Processes a request on the node where it arrives.

The node routes and admits the request, selects an endpoint and sends the request there.
It forwards the endpoint's response or sends a response of its own: 429 or 503 only if
the request has certainly not run, 502 or 504 if it may have run.
"""

import asyncio
import functools
import random

from .. import data
from ..crashes import crash_history, fingerprint
from ..ingress import http1, incoming_body
from ..quotas import quota_sync
from ..serving import attempts, local_endpoint
from ..telemetry import customer_counts, events, metrics
from . import (
    admission,
    authentication,
    call_graph,
    endpoint_directory,
    endpoint_selection,
    failure_tracker,
    handover,
    head_checker,
    pending_request,
    request_head,
    request_log,
    retry_after,
    retry_policy,
)
from .pending_request import PendingRequest

MAX_REDISPATCH_COUNT = 2


class Forwarder(head_checker.HeadDecisionHandler, pending_request.PendingRequestOwner):
    """Forwards the requests that arrive at this node.

    :param settings: settings of the process.
    :param header_names: names of the headers that the node reads or sets.
    :param endpoint: endpoint beside this node.
    :param endpoints: endpoints of this node and of its peers.
    :param graph: call graph of the routes.
    :param history: requests that may crash endpoints.
    :param quotas: quotas of the customers.
    :param is_current: returns whether keys that are in force here may be honoured.
    :ivar customer_counts: results of the requests of each customer.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: data.Settings,
        header_names: data.HeaderNames,
        endpoint: local_endpoint.LocalEndpoint,
        endpoints: endpoint_directory.EndpointDirectory,
        graph: call_graph.CallGraph,
        history: crash_history.CrashHistory,
        quotas: quota_sync.QuotaSync,
        is_current: authentication.IsCurrent,
        log: events.EventLog,
        node_metrics: metrics.Metrics,
        rng: random.Random,
    ) -> None:
        self._loop = loop
        self._settings = settings
        self._local_endpoint = endpoint
        self._endpoints = endpoints
        self.admission = admission.AdmissionController(endpoints, graph, rng)
        self._history = history
        self._metrics = node_metrics
        self.customer_counts = customer_counts.CustomerCounts()
        self._request_log = request_log.RequestLog(
            loop, log, node_metrics, self.admission, self.customer_counts
        )
        self._rng = rng
        self._head_builder = request_head.RequestHeadBuilder(
            header_names, settings.service
        )
        self._authenticator = authentication.Authenticator(
            header_names, endpoint.running_requests, graph, loop.time(), is_current
        )
        self._retry_policy = retry_policy.RetryPolicy(settings, graph)
        self._head_checker = head_checker.HeadChecker(
            loop,
            header_names,
            self._authenticator,
            graph,
            quotas,
            self.admission,
            self,
        )
        self._quota_gate = self._head_checker.quota_gate
        self._pending_count = 0
        self._stopping = False
        self._ends_at: float | None = None

    @property
    def pending_count(self) -> int:
        """Number of requests that have not been answered yet."""
        return self._pending_count

    @property
    def stopping(self) -> bool:
        """Whether root requests are refused because the node stops."""
        return self._stopping

    @stopping.setter
    def stopping(self, value: bool) -> None:
        self._stopping = value

    @property
    def ends_at(self) -> float | None:
        """Time of the event loop at which a node that stops ends, in seconds."""
        return self._ends_at

    @ends_at.setter
    def ends_at(self, value: float) -> None:
        self._ends_at = value

    def set_config(self, config: data.Config) -> None:
        """Applies a config."""
        self._head_checker.set_config(config)
        self.customer_counts.set_customers(config.customers)
        self.admission.set_config(config)
        self._retry_policy.set_config(config)
        self._request_log.config_version = config.version

    def get_remaining_retries(self, now: float) -> dict[str, float]:
        """Returns the number of retries left for root requests by service."""
        return self._retry_policy.get_remaining_retries(now)

    def check_head(
        self, connection: http1.ServerConnection, request: http1.Request
    ) -> None:
        """Decides by its head on a request with a body that has yet to be read."""
        pending = PendingRequest(self, connection, request)
        connection.pending = pending
        self._pending_count += 1
        self._head_checker.check(pending)

    def handle_request(
        self, connection: http1.ServerConnection, request: http1.Request
    ) -> None:
        """Handles a complete request from a client or from the local endpoint."""
        if request.incoming_body is None:
            self.check_head(connection, request)
            return
        pending = connection.pending
        pending.is_receiving = False
        now = self._loop.time()
        if self.is_blocked(pending, now):
            self._head_checker.withdraw(pending)
            self.refuse(pending, data.RefusalReason.BLOCKED)
            return
        self._dispatch(pending, now)

    def accept(self, pending: PendingRequest) -> None:
        """Sends a request to an endpoint, after its body is read if it has one."""
        now = self._loop.time()
        pending.expiry_timer = self._loop.call_at(
            pending.expires_at, self._handle_expiry, pending
        )
        if pending.request.incoming_body is None:
            self._dispatch(pending, now)
            return
        pending.is_receiving = True
        pending.connection.read_body()

    def is_blocked(self, pending: PendingRequest, now: float) -> bool:
        """Returns whether a request may not run because it crashes endpoints."""
        return self._get_standing(pending, now) is crash_history.Standing.BLOCKED

    def handle_client_disconnect(self, pending: PendingRequest) -> None:
        """Cancels a request whose client has disconnected."""
        if pending.is_receiving:
            self._head_checker.withdraw(pending)
        self._cancel_outstanding(pending)
        self._release(pending)
        self._metrics.count("client_left", f'route="{pending.route.name}"')

    def handle_body_failure(
        self, pending: PendingRequest, failure: incoming_body.BodyFailure
    ) -> None:
        """Ends a request whose body cannot be read to its end; it has not run."""
        self._metrics.count("body_failures", f'reason="{failure.name.lower()}"')
        self._head_checker.withdraw(pending)
        if failure is incoming_body.BodyFailure.NO_ROOM:
            self.refuse(pending, data.RefusalReason.NO_MEMORY)
            return
        self._release(pending)
        is_timeout = failure is incoming_body.BodyFailure.TIMEOUT
        reason = data.RefusalReason.TIMEOUT if is_timeout else None
        self._record_own_response(pending, failure.value, reason)
        pending.connection.send_status(failure.value, close=True)

    def _dispatch(self, pending: PendingRequest, now: float) -> None:
        """Sends a complete request that was accepted to an endpoint."""
        pending.head = pending.head or self._build_head(pending)
        self._retry_policy.record_first_attempt(pending, now)
        self._send_attempt(pending, now)

    def _build_head(self, pending: PendingRequest) -> bytes:
        is_enabled = self._authenticator.is_enabled
        customer = pending.customer_name if is_enabled else None
        return self._head_builder.build(pending.request, customer)

    def _send_attempt(self, pending: PendingRequest, now: float) -> None:
        candidate, may_hand_over = self._select_endpoint(pending, now)
        if candidate is None:
            self._send_failure(pending, pending.last_reason)
            return
        pending.tried_nodes.add(candidate.node)
        route = pending.route
        attempt = attempts.Attempt(
            pending.request_id,
            route.name,
            pending.service,
            pending.rank,
            pending.is_nested_call,
            max(0.001, pending.expires_at - now),
            max(0.0, route.target_latency_s - (now - pending.head_received_at)),
            pending.head,
            pending.request.body,
            self._history.get_crash_count(pending.fingerprint),
            pending.customer_name,
            may_hand_over,
        )

        node = candidate.node
        handle_result = functools.partial(self._handle_result, pending, node)
        if node == endpoint_directory.LOCAL_NODE:
            execution = self._local_endpoint.submit(attempt, handle_result)
            if execution.on_complete is not None:
                pending.outstanding[node] = (None, execution)
            return
        handle_suspect = functools.partial(self._send_hedged_attempt, pending, node)
        peer = self._endpoints.get_peer(node)
        pending.outstanding[node] = peer.submit(attempt, handle_result, handle_suspect)

    def _select_endpoint(
        self, pending: PendingRequest, now: float
    ) -> tuple[endpoint_selection.Candidate | None, bool]:
        """Selects the endpoint for an attempt, and whether it may be handed over.

        A request that may crash it is not sent while few endpoints are left.
        """
        is_clear = self._get_standing(pending, now) is crash_history.Standing.CLEAR
        candidates = handover.get_candidates(
            self._endpoints, pending, now, self._rng if is_clear else None
        )
        if is_clear:
            selected = endpoint_selection.select_endpoint(candidates, self._rng)
            if selected is None:
                return None, False
            self._endpoints.occupancy.record_choice(pending.service, selected)
            return selected, handover.may_hand_over(pending, candidates, selected)
        if not self._endpoints.can_spare_endpoint(pending.service):
            pending.last_reason = data.RefusalReason.SUSPECT
            return None, False
        selected = endpoint_selection.select_endpoint_for_suspect(
            candidates, pending.fingerprint
        )
        return selected, False

    def _send_hedged_attempt(self, pending: PendingRequest, node: str) -> None:
        """Sends a hedged attempt while the node of the first one is suspect.

        The first response is delivered, even if it comes late from the suspect node.

        :param node: address of the suspect node.
        """
        now = self._loop.time()
        if (
            pending.route.kind is data.RequestKind.NON_IDEMPOTENT
            or len(pending.outstanding) > 1
        ):
            return
        if self._get_standing(pending, now) is not crash_history.Standing.CLEAR:
            return
        if not self._endpoints.has_healthy_endpoint(
            pending.service, pending.route.name, pending.tried_nodes, now
        ):
            return
        # A request that has reached all endpoints goes only to those that rejected it.
        if not handover.get_candidates(self._endpoints, pending, now, None):
            return
        if (
            self._retry_policy.decide_and_charge(pending, now)
            is not retry_policy.RetryDecision.ALLOWED
        ):
            return
        pending.may_have_run = True
        pending.last_reason = data.RefusalReason.NODE_LOST
        self._request_log.record_hedged_attempt(pending, node)
        self._quota_gate.charge_attempt(pending)
        self._send_attempt(pending, now)

    def _handle_result(
        self, pending: PendingRequest, node: str, result: attempts.AttemptResult
    ) -> None:
        pending.outstanding.pop(node, None)
        now = self._loop.time()
        outcome = result.outcome
        pending.last_reason = result.reason or pending.last_reason
        if outcome is data.Outcome.ANSWERED:
            self._send_response(pending, node, result, now)
            return
        reached_endpoint = (
            outcome is data.Outcome.UNKNOWN
            or result.reason is data.RefusalReason.ENDPOINT_REFUSED
        )
        if reached_endpoint:
            pending.endpoint_attempt_count += 1
            pending.reached_nodes.add(node)
            if outcome is data.Outcome.NOT_RUN:
                pending.rejecting_nodes.add(node)
            self._endpoints.record_result(node, now, failure_tracker.FAILED_WEIGHT)
        if outcome is data.Outcome.UNKNOWN:
            pending.may_have_run = True
        if result.reason is data.RefusalReason.ENDPOINT_FULL:
            pending.full_nodes.add(node)
        next_step = self._decide_next_step(pending, reached_endpoint, now)
        self._request_log.record_attempt_failure(pending, node, result, next_step.value)
        if next_step is retry_policy.NextStep.WAIT:
            return
        if next_step is retry_policy.NextStep.HANDOVER:
            self._metrics.count("handovers", f'service="{pending.service}"')
            self._send_attempt(pending, now)
            return
        if (
            next_step is retry_policy.NextStep.RETRY
            or next_step is retry_policy.NextStep.REDISPATCH
        ):
            self._metrics.count("second_attempts", f'service="{pending.service}"')
            if outcome is data.Outcome.UNKNOWN:
                self._quota_gate.charge_attempt(pending)
            self._send_attempt(pending, now)
            return
        self._send_failure(pending, result.reason)

    def _decide_next_step(
        self, pending: PendingRequest, reached_endpoint: bool, now: float
    ) -> retry_policy.NextStep:
        """Decides what follows an attempt without a response.

        :param reached_endpoint: whether the attempt has, or may have, reached an
            endpoint. If not, sending the request again is a redispatch, which is not
            charged to the retry budget.
        """
        if (
            pending.may_have_run
            and pending.route.kind is data.RequestKind.NON_IDEMPOTENT
        ):
            return retry_policy.NextStep.MAY_HAVE_RUN
        if pending.outstanding:
            return retry_policy.NextStep.WAIT
        is_blocked = pending.last_reason is data.RefusalReason.BLOCKED
        if (
            is_blocked
            or self._get_standing(pending, now) is crash_history.Standing.BLOCKED
        ):
            return retry_policy.NextStep.BLOCKED
        if reached_endpoint:
            return retry_policy.NextStep(
                self._retry_policy.decide_and_charge(pending, now).value
            )
        if pending.last_reason is data.RefusalReason.ENDPOINT_FULL:
            return retry_policy.NextStep.HANDOVER
        pending.redispatch_count += 1
        if pending.redispatch_count <= MAX_REDISPATCH_COUNT:
            return retry_policy.NextStep.REDISPATCH
        return retry_policy.NextStep.NO_ATTEMPTS

    def _send_response(
        self,
        pending: PendingRequest,
        node: str,
        result: attempts.AttemptResult,
        now: float,
    ) -> None:
        self._request_log.record_response(pending, node, result.status)
        if not self._history.is_empty:
            self._history.record_response(self._get_fingerprint(pending))
        is_server_error = result.status >= 500
        failure_weight = (
            failure_tracker.SERVER_ERROR_WEIGHT
            if is_server_error
            else failure_tracker.SUCCESS_WEIGHT
        )
        self._endpoints.record_result(node, now, failure_weight)
        self._cancel_outstanding(pending)
        self._release(pending)
        pending.connection.send_response(result.head, result.body)

    def _send_failure(
        self, pending: PendingRequest, reason: data.RefusalReason | None
    ) -> None:
        if not pending.may_have_run:
            self.refuse(pending, reason or data.RefusalReason.NO_ENDPOINT)
            return
        self._release(pending)
        self._record_own_response(pending, 502, reason)
        pending.connection.send_status(502)

    def reject(
        self, pending: PendingRequest, status: int, headers: bytes = b""
    ) -> None:
        """Sends an error response to a request that cannot be handled."""
        self._release(pending)
        if pending.route is None:
            self._metrics.count("not_found")
        else:
            self._metrics.count("unauthorized", f'route="{pending.route.name}"')
        pending.connection.send_status(status, headers)

    def refuse(self, pending: PendingRequest, reason: data.RefusalReason) -> None:
        """Sends a 429 or 503 response with Retry-After: the request has not run."""
        self._release(pending)
        status = 429 if reason is data.RefusalReason.QUOTA_EXCEEDED else 503
        retry_after_s = retry_after.compute_retry_after_s(
            pending, reason, self._loop.time(), self._history, self._rng
        )
        self._record_own_response(pending, status, reason)
        self._quota_gate.refund(pending)
        header = b"Retry-After: %.3f\r\n" % retry_after_s
        pending.connection.send_status(status, header)

    def end_request(self, pending: PendingRequest) -> None:
        """Answers a request that has no response when the node ends."""
        if pending.is_receiving:
            self._head_checker.withdraw(pending)
            self.refuse(pending, data.RefusalReason.STOPPING)
            return
        self._end_without_response(pending, 502, data.RefusalReason.STOPPING)

    def _handle_expiry(self, pending: PendingRequest) -> None:
        if pending.is_receiving:
            self.handle_body_failure(pending, incoming_body.BodyFailure.TIMEOUT)
            return
        self._end_without_response(pending, 504, data.RefusalReason.TIMEOUT)

    def _end_without_response(
        self, pending: PendingRequest, status: int, reason: data.RefusalReason
    ) -> None:
        """Cancels the attempts of a request and answers it.

        It is refused if it still waits at this node and cannot have run.

        :param status: status code of the answer if it may have run.
        """
        _, execution = pending.outstanding.get(
            endpoint_directory.LOCAL_NODE, (None, None)
        )
        is_queued = execution is not None and not execution.is_running
        is_waiting = is_queued or not pending.outstanding
        self._cancel_outstanding(pending)
        if is_waiting and not pending.may_have_run:
            self.refuse(pending, reason)
            return
        self._release(pending)
        self._record_own_response(pending, status, reason)
        pending.connection.send_status(status)

    def _cancel_outstanding(self, pending: PendingRequest) -> None:
        if not pending.outstanding:
            return
        outstanding, pending.outstanding = pending.outstanding, {}
        for connection, execution_or_number in outstanding.values():
            if connection is None:
                self._local_endpoint.cancel(execution_or_number)
            else:
                connection.cancel(execution_or_number)

    def _release(self, pending: PendingRequest) -> None:
        self._quota_gate.cancel(pending)
        if pending.parent is not None:
            pending.parent.end_call(self._loop.time())
            pending.parent = None
        self._pending_count -= 1
        if pending.expiry_timer is not None:
            pending.expiry_timer.cancel()
            pending.expiry_timer = None

    def _record_own_response(
        self, pending: PendingRequest, status: int, reason: data.RefusalReason | None
    ) -> None:
        crash_count = self._history.get_crash_count(pending.fingerprint)
        self._request_log.record_own_response(pending, status, reason, crash_count)

    def _get_standing(
        self, pending: PendingRequest, now: float
    ) -> crash_history.Standing:
        """Returns whether a request may run, given the crashes of endpoints."""
        if self._history.is_empty:
            return crash_history.Standing.CLEAR
        return self._history.get_standing(now, self._get_fingerprint(pending))

    def _get_fingerprint(self, pending: PendingRequest) -> bytes:
        """Returns the fingerprint of a request; it is computed at the first call."""
        if not pending.fingerprint:
            if not pending.head:
                pending.head = self._build_head(pending)
            pending.fingerprint = fingerprint.compute_fingerprint(
                pending.service,
                pending.head,
                pending.request.body,
                pending.customer_name,
            )
        return pending.fingerprint
