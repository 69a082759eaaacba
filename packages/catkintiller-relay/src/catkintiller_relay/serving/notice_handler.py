"""Handles the notices in the responses of the endpoint beside this node."""

from collections.abc import Callable

from ..telemetry import events
from . import local_endpoint, response_notices

RATE_CHANGE_RATIO = 0.1  # smaller changes are sent with the next regular node state


class NoticeHandler:
    """Logs and reports what the endpoint's responses say about it.

    :param on_change: called when the rate limit has changed enough to tell the peers.
    :param on_leaving: called for each response that says that the endpoint leaves.
    """

    def __init__(
        self,
        log: events.EventLog,
        on_change: Callable[[], None],
        on_leaving: Callable[[], None],
    ) -> None:
        self._log = log
        self._on_change = on_change
        self._on_leaving = on_leaving
        self._last_notice = response_notices.NO_NOTICE

    def handle_notice(
        self, source: local_endpoint.NoticeSource, notice: response_notices.Notice
    ) -> None:
        """Handles the notice in a response of the endpoint."""
        previous, self._last_notice = self._last_notice, notice
        if notice.is_leaving:
            self._on_leaving()
        if notice.invalid_values and self._log.reserve_line(
            "endpoint", failure=True, reason="invalid"
        ):
            self._log.write(
                "endpoint",
                "Header ignored: its value is invalid or it occurs twice.",
                instance=source.instance,
                values=[value.decode("latin-1") for value in notice.invalid_values],
            )
        if notice == previous:
            return
        if self._log.reserve_line("endpoint"):
            self._log.write(
                "endpoint",
                "Response of the endpoint names another rate limit or departure.",
                instance=source.instance,
                rate_limit=notice.rate_limit,
                leaving=notice.is_leaving,
            )
        if is_large_change(previous.rate_limit, notice.rate_limit):
            self._on_change()


def is_large_change(previous: float | None, current: float | None) -> bool:
    """Returns whether a rate limit has changed enough to tell the peers at once.

    :param previous: requests per second; None for no limit.
    :param current: the same after the change.
    """
    if previous is None or current is None:
        return previous is not current
    return abs(current - previous) > RATE_CHANGE_RATIO * previous
