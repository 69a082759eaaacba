"""Admits root requests, those of customers by their shares."""

from collections.abc import Hashable

from .. import data
from . import admission, pending_request


def admit(
    controller: admission.AdmissionController,
    pending: pending_request.PendingRequest,
    now: float,
) -> data.RefusalReason | None:
    """Decides whether a request is admitted; nested calls always are.

    :param now: time of the event loop, in seconds.
    :returns: why it is refused; None if it is admitted.
    """
    if pending.is_nested_call:
        return None
    if not controller.has_customers:
        if controller.admit_request(pending.route, pending.service, pending.rank):
            return None
        return data.RefusalReason.CHAIN_OVERLOADED
    name = pending.customer_name
    content = None
    if pending.customer is not None and controller.has_reservations:
        content = compute_content(pending)
    if controller.admit_request(
        pending.route, pending.service, pending.rank, name, content, now
    ):
        return None
    if pending.customer is not None:
        pending.share_refusal = controller.refuse_by_share(
            pending.route,
            pending.service,
            pending.rank,
            name,
            compute_content(pending) if content is None else content,
            now,
        )
    if pending.share_refusal is not None:
        return data.RefusalReason.SHARE_EXCEEDED
    return data.RefusalReason.CHAIN_OVERLOADED


def compute_content(pending: pending_request.PendingRequest) -> Hashable:
    """Computes what a request is recognized by when it returns to this node.

    Its ID does not serve for that: it is another one at each attempt of the client. The
    body has not arrived when a request is admitted.
    """
    request = pending.request
    return hash((pending.customer_name, request.method, request.target))
