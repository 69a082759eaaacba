"""Retries of nested calls go to requests all of whose calls can be completed.

Handles a service that rejects half of its requests, to which requests make many nested
calls: a request is of use only if all of its calls succeed. If the retry budget is
spread over the calls of all requests, nearly every request has a call that fails in
the end. So the first retry of a request's calls needs a budget that is enough for all
of its remaining calls; its further retries need no more than themselves. When one of
its calls has failed, the others are not retried.
"""

import math

from . import call_graph

# A call needs one retry on average if half of the attempts are rejected. Requests that
# run at the same time share the budget, so twice that must be left.
REQUIRED_RETRIES_PER_CALL = 2.0


def compute_required_retries(
    parent: call_graph.RunningRequest | None, service: str, expected_calls: float
) -> float:
    """Computes how many retries must be left in the budget for a retry of a call.

    :param parent: running request that makes the call; None if it is not known.
    :param expected_calls: mean number of calls to the service that each request of its
        route makes.
    """
    if parent is None:
        return 1.0
    if parent.has_failed_call:
        return math.inf
    if parent.has_retries:
        return 1.0
    remaining_calls = parent.estimate_remaining_calls(service, expected_calls)
    if remaining_calls <= 1.0:
        return 1.0
    return REQUIRED_RETRIES_PER_CALL * remaining_calls
