"""Logs and counts what happens to the requests that arrive at this node."""

import asyncio

from .. import data
from ..crashes import fingerprint
from ..serving import attempts
from ..telemetry import customer_counts, events, metrics
from . import admission, pending_request

REFUSAL_STATUSES = (429, 503)


class RequestLog:
    """Log lines and counters of requests.

    :param admission_control: what it admits is written with each refusal.
    :param counts: results of the requests of each customer.
    :ivar config_version: version of the config in force, written on each line.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        log: events.EventLog,
        node_metrics: metrics.Metrics,
        admission_control: admission.AdmissionController,
        counts: customer_counts.CustomerCounts,
    ) -> None:
        self._loop = loop
        self._log = log
        self._metrics = node_metrics
        self._admission = admission_control
        self._customer_counts = counts
        self.config_version = 0

    def record_response(
        self, pending: pending_request.PendingRequest, node: str, status: int
    ) -> None:
        """Records the response of an endpoint.

        :param node: address of the node beside it; empty for this one.
        """
        elapsed_s = self._loop.time() - pending.head_received_at
        route = pending.route.name
        self._count_result(pending, customer_counts.ANSWERED)
        self._metrics.record_latency("answer", f'route="{route}"', elapsed_s)
        self._metrics.count("answers", f'route="{route}",status="{status}"')
        if not self._log.reserve_line("route", failure=status >= 500):
            return
        self._log.write(
            "route",
            "Request answered.",
            id=pending.request_id.decode("latin-1"),
            route=route,
            service=pending.service,
            at=node or "local",
            status=status,
            ms=round(elapsed_s * 1000, 1),
            call=pending.is_nested_call,
            version=self.config_version,
        )

    def record_own_response(
        self,
        pending: pending_request.PendingRequest,
        status: int,
        reason: data.RefusalReason | None,
        crash_count: int,
    ) -> None:
        """Records a response of this node itself.

        :param crash_count: number of crashes of endpoints at which the request ran.
        """
        reason_value = reason.value if reason else "none"
        route = pending.route.name if pending.route else ""
        self._metrics.count(
            "own_answers", f'route="{route}",status="{status}",reason="{reason_value}"'
        )
        self._count_result(pending, reason_value)
        if not self._log.reserve_line("route", failure=True, reason=reason_value):
            return
        refusal_fields = build_customer_fields(pending)
        if crash_count:
            refusal_fields |= {
                "request": fingerprint.format_fingerprint(pending.fingerprint),
                "crashes": crash_count,
            }
        self._log.write(
            "route",
            "Request refused." if status in REFUSAL_STATUSES else "Request failed.",
            id=pending.request_id.decode("latin-1"),
            route=route,
            service=pending.service,
            status=status,
            reason=reason_value,
            sent=pending.endpoint_attempt_count,
            tried=sorted(pending.tried_nodes),
            ms=round((self._loop.time() - pending.head_received_at) * 1000, 1),
            call=pending.is_nested_call,
            version=self.config_version,
            shares=self._admission.get_admitted_shares(),
            **refusal_fields,
        )

    def _count_result(
        self, pending: pending_request.PendingRequest, result: str
    ) -> None:
        if pending.customer is not None and not pending.is_nested_call:
            self._customer_counts.count(pending.customer, result)

    def record_attempt_failure(
        self,
        pending: pending_request.PendingRequest,
        node: str,
        result: attempts.AttemptResult,
        next_step: str,
    ) -> None:
        """Records an attempt without a response.

        :param node: address of the node beside the endpoint; empty for this one.
        :param next_step: what follows it.
        """
        reason_value = result.reason.value if result.reason else ""
        self._metrics.count(
            "attempt_failures",
            f'service="{pending.service}",reason="{reason_value}",next="{next_step}"',
        )
        if not self._log.reserve_line("attempt", failure=True, reason=reason_value):
            return
        self._log.write(
            "attempt",
            "Attempt failed.",
            id=pending.request_id.decode("latin-1"),
            at=node or "local",
            outcome=result.outcome.name.lower(),
            reason=reason_value,
            next=next_step,
            rank=pending.rank,
            call=pending.is_nested_call,
            request=fingerprint.format_fingerprint(
                fingerprint.compute_fingerprint(
                    pending.service,
                    pending.head,
                    pending.request.body,
                    pending.customer_name,
                )
            ),
        )

    def record_hedged_attempt(
        self, pending: pending_request.PendingRequest, node: str
    ) -> None:
        """Records a hedged attempt.

        :param node: address of the suspect node.
        """
        self._metrics.count("second_attempts", f'service="{pending.service}"')
        if self._log.reserve_line("attempt", failure=True, reason="suspect"):
            self._log.write(
                "attempt",
                "Hedged attempt sent: the node of the first one is suspect.",
                id=pending.request_id.decode("latin-1"),
                at=node,
            )


def build_customer_fields(
    pending: pending_request.PendingRequest,
) -> dict[str, object]:
    """Builds the fields of a log line that tell the customer, its quota and its share.

    The quota and the share are written only if they are the reason of a refusal.
    """
    customer, ticket = pending.customer, pending.quota_ticket
    if customer is None:
        return {}
    fields: dict[str, object] = {"customer": customer.name}
    if ticket is not None and ticket.refusal is not None:
        fields["rate"] = customer.rate_per_s
        fields["burst"] = customer.burst
        age_s = ticket.refusal.data_age_s
        fields["age_ms"] = None if age_s is None else round(age_s * 1000)
    if pending.share_refusal is not None:
        fields |= _build_share_fields(pending)
    return fields


def _build_share_fields(pending: pending_request.PendingRequest) -> dict[str, object]:
    """Builds the fields that explain a refusal by the share of a customer."""
    refusal = pending.share_refusal
    age_s = refusal.age_s
    return {
        "rank": pending.rank,
        "limited_by": refusal.service,
        "share": round(refusal.share, 3),
        "sums_age_ms": None if age_s is None else round(age_s * 1000),
        "retry_after_s": round(refusal.retry_after_s, 3),
    }
