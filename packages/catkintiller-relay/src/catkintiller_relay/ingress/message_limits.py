"""Limits on a message of HTTP/1.1 beside the length of its content.

Handles senders whose bytes are no message or have no end. Many small parts take more
memory and processor time than their content: chunks of a body, and the lines of a head.
"""

# Bytes outside the content: heads, trailers and the framing of chunks, of which small
# ones have many times the bytes of their content.
MAX_OVERHEAD_BYTES = 64 * 1024
MAX_FRAMING_RATIO = 8
# Lines of a head and trailers.
MAX_HEADER_COUNT = 256
# Parts in which a body arrives, beside one for each LARGE_PART_BYTES of its content.
MAX_SMALL_PART_COUNT = 256 * 1024
LARGE_PART_BYTES = 256


def is_overhead_excessive(received_bytes: int, content_bytes: int) -> bool:
    """Returns whether too many bytes of a message are not content.

    :param received_bytes: bytes that have arrived, content included.
    :param content_bytes: bytes of content among them.
    """
    overhead_bytes = received_bytes - content_bytes
    return overhead_bytes > MAX_OVERHEAD_BYTES + MAX_FRAMING_RATIO * content_bytes


def are_parts_too_small(part_count: int, content_bytes: int) -> bool:
    """Returns whether a body arrives in too many parts for its length.

    :param part_count: number of parts that have arrived.
    :param content_bytes: bytes of content in them.
    """
    return part_count > MAX_SMALL_PART_COUNT + content_bytes // LARGE_PART_BYTES
