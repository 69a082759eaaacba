"""A request to the local endpoint and what becomes of it."""

import abc
from collections.abc import Callable

from .. import data
from . import response_notices

CompletionHandler = Callable[
    [data.Outcome, data.RefusalReason | None, int, bytes, bytes], None
]
NoticeCallback = Callable[[response_notices.Notice], None]


class Connection(abc.ABC):
    """Connection that can carry an exchange."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Aborts the connection and drops the outstanding exchange."""


class Exchange:
    """One request to the endpoint and its response.

    :param request_id: identity that the response must repeat.
    :param message: encoded head of the request with the empty line at its end, and any
        body that is not passed separately.
    :param body: body that is sent after the message.
    :param on_notice: called with the notice in the response's head, before
        ``on_complete``; not called for a response of another endpoint.
    :ivar on_complete: called once with outcome, reason, status, head and body; None
        after that or after a cancel.
    :ivar on_notice: None after that, too.
    :ivar started_at: time of the event loop when it was sent, in seconds.
    :ivar connection: connection that carries it, if any.
    """

    __slots__ = (
        "body",
        "connection",
        "message",
        "on_complete",
        "on_notice",
        "request_id",
        "started_at",
    )

    def __init__(
        self,
        request_id: bytes,
        message: bytes,
        on_complete: CompletionHandler,
        on_notice: NoticeCallback | None = None,
        body: bytes = b"",
    ) -> None:
        self.request_id = request_id
        self.body = body
        self.message = message
        self.on_complete: CompletionHandler | None = on_complete
        self.on_notice = on_notice
        self.started_at = 0.0
        self.connection: Connection | None = None

    def complete(
        self,
        outcome: data.Outcome,
        reason: data.RefusalReason | None = None,
        status: int = 0,
        head: bytes = b"",
        body: bytes = b"",
    ) -> None:
        """Passes the outcome to the completion handler, the first time only."""
        on_complete, self.on_complete = self.on_complete, None
        self.on_notice = None
        if on_complete is not None:
            on_complete(outcome, reason, status, head, body)

    def cancel(self) -> None:
        """Aborts the request without calling the completion handler."""
        self.on_complete = None
        self.on_notice = None
        if self.connection is not None:
            self.connection.abort()
