"""Computes when a client may send a request again that was refused."""

import random

from .. import data
from ..crashes import crash_history
from . import pending_request

NO_CONFIG_RETRY_AFTER_S = 0.5
MIN_BLOCKED_RETRY_AFTER_S = 1.0
SUSPECT_RETRY_AFTER_S = 1.0


def compute_retry_after_s(
    pending: pending_request.PendingRequest,
    reason: data.RefusalReason,
    now: float,
    history: crash_history.CrashHistory,
    rng: random.Random,
) -> float:
    """Computes the time after which a refused request may be sent again, in seconds.

    :param now: time of the event loop, in seconds.
    :param history: requests that may crash endpoints.
    """
    if pending.route is None:
        return NO_CONFIG_RETRY_AFTER_S
    ticket = pending.quota_ticket
    if ticket is not None and ticket.refusal is not None:
        return ticket.refusal.retry_after_s
    if reason is data.RefusalReason.SHARE_EXCEEDED:
        return pending.share_refusal.retry_after_s
    if reason is data.RefusalReason.BLOCKED:
        block_s = history.get_remaining_block_s(now, pending.fingerprint)
        return max(MIN_BLOCKED_RETRY_AFTER_S, block_s)
    if reason is data.RefusalReason.SUSPECT:
        return SUSPECT_RETRY_AFTER_S
    remaining_s = max(0.0, pending.expires_at - now)
    target_latency_s = pending.route.target_latency_s
    return min(remaining_s / 3.0, target_latency_s * rng.uniform(0.2, 0.5))
