"""Log lines: JSON documents on standard output, limited in number, never blocking.

Lines that explain failures take precedence over those of successes: each prefix has its
own number of lines per second, failures have a further allowance, and each reason of a
failure has a part of that allowance, so that the most frequent reason does not hide the
others. Lines that are left out are counted; the next line with the same prefix reports
their number.
"""

import os
import time

from pythonjsonlogger import msgspec

MAX_LINES_PER_S = 5
MAX_FAILURE_LINES_PER_S = 20
MAX_REASON_LINES_PER_S = 8
MAX_BUFFER_BYTES = 256 * 1024


class EventLog:
    """Writes the log lines of one process.

    :param node: name of the node, written on each line.
    :param fd: file descriptor to write to; it is set to non-blocking.
    """

    def __init__(self, node: str, fd: int = 1) -> None:
        self._fd = fd
        self._node = node
        self._formatter = msgspec.MsgspecFormatter()
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        self._current_second = 0
        self._line_counts: dict[tuple[str, bool], int] = {}
        self._reason_counts: dict[tuple[str, str], int] = {}
        self._left_out_counts: dict[str, int] = {}
        self._dropped_count = 0
        os.set_blocking(fd, False)

    def reserve_line(
        self, prefix: str, *, failure: bool = False, reason: str = ""
    ) -> bool:
        """Counts a line and returns whether it is within the limits.

        A caller writes the line only if it is; otherwise the line counts as left out.

        :param prefix: prefix of the line.
        :param failure: whether the line explains a failure.
        :param reason: reason of the failure; empty for no limit per reason.
        """
        second = int(time.monotonic())
        if second != self._current_second:
            self._current_second = second
            self._line_counts.clear()
            self._reason_counts.clear()
        key = (prefix, failure)
        line_count = self._line_counts.get(key, 0)
        is_exhausted = line_count >= (
            MAX_FAILURE_LINES_PER_S if failure else MAX_LINES_PER_S
        )
        if reason and not is_exhausted:
            reason_count = self._reason_counts.get((prefix, reason), 0)
            self._reason_counts[prefix, reason] = reason_count + 1
            is_exhausted = reason_count >= MAX_REASON_LINES_PER_S
        if is_exhausted:
            self._left_out_counts[prefix] = self._left_out_counts.get(prefix, 0) + 1
            return False
        self._line_counts[key] = line_count + 1
        return True

    def write(self, prefix: str, text: str, /, **fields: object) -> None:
        """Buffers a line; drops and counts it if the buffer is full.

        :param prefix: fixed prefix of the line.
        :param text: a short sentence.
        :param fields: values that explain it, written under their names.
        """
        line: dict[str, object] = {
            "msg": f"{prefix}: {text}",
            "node": self._node,
            "t": round(time.time(), 3),
        }
        left_out = self._left_out_counts.pop(prefix, 0)
        if left_out:
            line["left_out"] = left_out
        line.update(fields)
        # Records of the logging module have twenty further fields, none of which is
        # written. With one, a line takes five times as long.
        encoded = self._formatter.jsonify_log_record(line).encode() + b"\n"
        if self._buffered_bytes + len(encoded) > MAX_BUFFER_BYTES:
            self._dropped_count += 1
            return
        self._buffer.append(encoded)
        self._buffered_bytes += len(encoded)

    def flush(self) -> None:
        """Writes the buffered lines as far as the file descriptor accepts them."""
        if not self._buffer:
            return
        pending_bytes = b"".join(self._buffer)
        try:
            written_bytes = os.write(self._fd, pending_bytes)
        except BlockingIOError:
            written_bytes = 0
        except OSError:
            written_bytes = len(pending_bytes)
        remainder = pending_bytes[written_bytes:]
        self._buffer = [remainder] if remainder else []
        self._buffered_bytes = len(remainder)
        if self._dropped_count and self._buffered_bytes < MAX_BUFFER_BYTES // 2:
            dropped_count, self._dropped_count = self._dropped_count, 0
            self.write("log", "Lines were dropped.", lines=dropped_count)
