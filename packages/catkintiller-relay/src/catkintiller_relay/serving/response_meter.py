"""Counts what an endpoint sends in response to one request.

Handles an endpoint that sends bytes without end that are no response: the memory that
they take and the processor time that they cost stay bounded.
"""

from ..ingress import message_limits

MAX_BODY_BYTES = 32 * 1024 * 1024
# Complete responses before the expected one that match no request. Their bodies and
# the expected one may have twice the length of the longest body.
MAX_STRAY_COUNT = 16
MAX_CONTENT_BYTES = 2 * MAX_BODY_BYTES


class ResponseMeter:
    """Counts of one exchange, interim responses and those to other requests included.

    :ivar received_bytes: bytes that have arrived.
    :ivar content_bytes: bytes of bodies among them.
    :ivar part_count: parts in which the bodies arrived.
    :ivar header_count: header lines and trailers of the last message.
    :ivar stray_count: complete responses to other requests.
    """

    __slots__ = (
        "content_bytes",
        "header_count",
        "part_count",
        "received_bytes",
        "stray_count",
    )

    def __init__(self) -> None:
        self.received_bytes = 0
        self.content_bytes = 0
        self.part_count = 0
        self.header_count = 0
        self.stray_count = 0

    @property
    def has_too_many_headers(self) -> bool:
        """Whether the last message has more lines than are held."""
        return self.header_count > message_limits.MAX_HEADER_COUNT

    @property
    def is_excessive(self) -> bool:
        """Whether no sound endpoint would send what has arrived."""
        content_bytes = self.content_bytes
        return (
            message_limits.is_overhead_excessive(self.received_bytes, content_bytes)
            or message_limits.are_parts_too_small(self.part_count, content_bytes)
            or self.has_too_many_headers
            or self.stray_count > MAX_STRAY_COUNT
            or content_bytes > MAX_CONTENT_BYTES
        )
