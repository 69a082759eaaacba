"""The body of a request while it arrives, counted in the budget of all bodies."""

import enum

from .. import part_buffer
from . import body_budget, message_limits

# Rest of a refused body that is discarded so that the connection can be kept open.
MAX_SHORT_REST_BYTES = 64 * 1024


class BodyFailure(enum.Enum):
    """Why a body is not read to its end, with the status code of the response."""

    INVALID = 400
    TIMEOUT = 408
    TOO_LARGE = 413
    NO_ROOM = 503


class IncomingBody:
    """Body of a request; its room is reserved until it is released.

    :param budget: memory limit that all bodies share.
    :param declared_bytes: length in the head; None for a chunked body.
    :param max_bytes: greatest length of a body.
    :param expects_continue: whether the client waits for ``100 Continue``.
    :ivar failure: why it is not read to its end; None while it can be.
    :ivar is_accepted: whether the request was accepted by its head.
    :ivar is_complete: whether all of it has arrived.
    :ivar is_discarded: whether what arrives of it is dropped.
    :ivar received_bytes: bytes that have arrived.
    """

    __slots__ = (
        "_budget",
        "_content",
        "_max_bytes",
        "_part_count",
        "_reserved_bytes",
        "_total_bytes",
        "declared_bytes",
        "expects_continue",
        "failure",
        "is_accepted",
        "is_complete",
        "is_discarded",
        "received_bytes",
    )

    def __init__(
        self,
        budget: body_budget.BodyBudget,
        declared_bytes: int | None,
        max_bytes: int,
        *,
        expects_continue: bool,
    ) -> None:
        self._budget = budget
        self._content = part_buffer.PartBuffer()
        self._max_bytes = max_bytes
        self._part_count = 0
        self._reserved_bytes = 0
        self._total_bytes = 0
        self.declared_bytes = declared_bytes
        self.expects_continue = expects_continue
        self.failure: BodyFailure | None = None
        self.is_accepted = False
        self.is_complete = False
        self.is_discarded = False
        self.received_bytes = 0

    @property
    def awaits_continue(self) -> bool:
        """Whether the client still waits for ``100 Continue`` before it sends it."""
        return self.expects_continue and not self.received_bytes

    @property
    def missing_bytes(self) -> int | None:
        """Bytes that have not arrived; None for a chunked body that is incomplete."""
        if self.is_complete:
            return 0
        if self.declared_bytes is None:
            return None
        return self.declared_bytes - self.received_bytes

    @property
    def is_rest_short(self) -> bool:
        """Whether what has not arrived is known to follow and short enough to skip."""
        missing_bytes = self.missing_bytes
        if missing_bytes is None:
            return False
        is_sent = not missing_bytes or not self.awaits_continue
        return is_sent and missing_bytes <= MAX_SHORT_REST_BYTES

    def reserve_declared(self) -> bool:
        """Reserves room for the declared length; returns whether there is enough."""
        if self.failure is not None:
            return False
        return self._reserve(max(self.declared_bytes or 0, self.received_bytes))

    def append(self, chunk: bytes) -> BodyFailure | None:
        """Adds a part; returns a failure if the body must not be read any further."""
        self.received_bytes += len(chunk)
        self._part_count += 1
        if self.is_discarded or self.failure is not None:
            return None
        if self.received_bytes > self._max_bytes:
            self._fail(BodyFailure.TOO_LARGE)
        elif not self._reserve(self.received_bytes):
            self._fail(BodyFailure.NO_ROOM)
        else:
            self._content.append(chunk)
        return self.failure

    def count_bytes(self, count: int) -> bool:
        """Counts bytes after the head; returns whether most are content.

        The parser holds the trailers of a chunked body, which are not in the budget.
        Parts that are too small for their number cost more time than their content.
        """
        self._total_bytes += count
        content_bytes = self.received_bytes
        return not (
            message_limits.is_overhead_excessive(self._total_bytes, content_bytes)
            or message_limits.are_parts_too_small(self._part_count, content_bytes)
        )

    def take(self) -> bytes:
        """Returns the complete body; its room stays reserved until it is released."""
        return self._content.take()

    def discard(self) -> None:
        """Drops what has arrived and what follows, and gives its room back."""
        self.is_discarded = True
        self.release()

    def release(self) -> None:
        """Gives its room back."""
        self._content.clear()
        reserved_bytes, self._reserved_bytes = self._reserved_bytes, 0
        self._budget.release(reserved_bytes)

    def _reserve(self, total_bytes: int) -> bool:
        missing_bytes = total_bytes - self._reserved_bytes
        if missing_bytes <= 0:
            return True
        if not self._budget.reserve_for_client(missing_bytes, total_bytes):
            return False
        self._reserved_bytes = total_bytes
        return True

    def _fail(self, failure: BodyFailure) -> None:
        self.failure = failure
        self.release()
