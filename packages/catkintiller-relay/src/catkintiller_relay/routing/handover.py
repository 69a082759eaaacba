"""Handing over a request that would wait at an endpoint while another one has room.

Handles loads that many nodes know too late: they send to the same endpoint, which is
full, while others have free slots. The node of arrival marks an attempt that may be
handed over. If it would wait, the node beside the endpoint replies that it has not run,
with the present load, and the node of arrival sends it to another endpoint. That node
has the deadline, the customer and the cancellation of the request, so nothing else is
handed on. No endpoint has been asked, so the retry budget is not charged. If the reply
is lost, the outcome is unknown, and the rules for retries apply.

An attempt is marked only while another endpoint seems to have room. In overload, when
all are full, requests wait where they are.
"""

import random

from . import endpoint_directory, endpoint_selection, pending_request

MAX_HANDOVER_COUNT = 2
MAX_BODY_BYTES = 64 * 1024  # sending a large body again costs more than a short wait


def get_candidates(
    endpoints: endpoint_directory.EndpointDirectory,
    pending: pending_request.PendingRequest,
    now: float,
    rng: random.Random | None,
) -> list[endpoint_selection.Candidate]:
    """Returns the endpoints that a request may be sent to.

    When it has reached as many as its route allows, these are the ones that rejected
    it. Full endpoints that handed it over get it again only if there is no other.

    :param rng: draws a sample if there are many endpoints; None returns all.
    """
    service, route = pending.service, pending.route.name
    if pending.has_reached_all_endpoints:
        excluded = pending.tried_nodes - pending.rejecting_nodes
        candidates = endpoints.get_candidates(service, route, excluded, now)
        return [each for each in candidates if each.node in pending.rejecting_nodes]
    excluded = pending.tried_nodes
    candidates = endpoints.get_candidates(service, route, excluded, now, rng)
    if candidates or not pending.full_nodes:
        return candidates
    return endpoints.get_candidates(service, route, excluded - pending.full_nodes, now)


def may_hand_over(
    pending: pending_request.PendingRequest,
    candidates: list[endpoint_selection.Candidate],
    selected: endpoint_selection.Candidate,
) -> bool:
    """Returns whether the selected endpoint may hand over a request if it is full.

    :param candidates: endpoints among which it was selected.
    """
    return (
        len(pending.full_nodes) < MAX_HANDOVER_COUNT
        and len(pending.request.body) <= MAX_BODY_BYTES
        and selected.node not in pending.full_nodes
        and endpoint_selection.has_alternative(candidates, selected)
    )
