"""Decides whether a request will end before a node that stops.

Handles requests that arrive late in a planned stop: one that is passed on and then cut
has an unknown outcome, while one that is refused at once can go elsewhere.
"""

# A request may take several times the mean of its route.
MAX_TIME_RATIO = 4.0
MARGIN_S = 0.3
UNKNOWN_MEAN_S = 0.25  # before the first request of a route was answered


def can_finish(
    now: float, ends_at: float, expires_at: float, mean_s: float | None
) -> bool:
    """Returns whether a request that starts now will end before the node does.

    All times are those of the event loop, in seconds.

    :param ends_at: time at which the node ends the requests that it still has.
    :param expires_at: time at which the request ends in any case.
    :param mean_s: mean time that a request of its route takes; None if not known.
    """
    if expires_at <= ends_at:
        return True
    expected_s = UNKNOWN_MEAN_S if mean_s is None else mean_s
    return now + MAX_TIME_RATIO * expected_s + MARGIN_S <= ends_at
