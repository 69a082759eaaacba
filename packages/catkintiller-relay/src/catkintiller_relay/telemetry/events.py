"""Log lines: JSON documents on standard output, bounded in number, never waiting.

What explains failures goes before plain successes: each part has its own number of
lines a second, and lines of a failure have a further allowance. What is left out is
counted, and the count stands on the next line of that part.
"""

import os
import time

import msgspec

LINES_PER_S = 5
FAILURE_LINES_PER_S = 20
MAX_BUFFER_BYTES = 256 * 1024


class EventLog:
    """Writes log lines of one process.

    :param node: name of the node, on each line.
    :param fd: file descriptor to write to.
    """

    def __init__(self, node: str, fd: int = 1) -> None:
        self._node = node
        self._fd = fd
        self._encoder = msgspec.json.Encoder()
        self._buffer: list[bytes] = []
        self._buffered = 0
        self._second = 0
        self._written: dict[tuple[str, bool], int] = {}
        self._left_out: dict[str, int] = {}
        self._dropped = 0
        os.set_blocking(fd, False)

    def allows(self, part: str, *, failure: bool = False) -> bool:
        """Counts a line of a part; False if it is to be left out."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._written.clear()
        key = (part, failure)
        written = self._written.get(key, 0)
        if written >= (FAILURE_LINES_PER_S if failure else LINES_PER_S):
            self._left_out[part] = self._left_out.get(part, 0) + 1
            return False
        self._written[key] = written + 1
        return True

    def write(self, part: str, text: str, **figures: object) -> None:
        """Writes a line.

        :param part: fixed prefix of the line.
        :param text: a short sentence.
        :param figures: what decided it.
        """
        line = {"t": round(time.time(), 3), "node": self._node}
        line["msg"] = f"{part}: {text}"
        left_out = self._left_out.pop(part, 0)
        if left_out:
            line["left_out"] = left_out
        line.update(figures)
        encoded = self._encoder.encode(line) + b"\n"
        if self._buffered + len(encoded) > MAX_BUFFER_BYTES:
            self._dropped += 1
            return
        self._buffer.append(encoded)
        self._buffered += len(encoded)

    def flush(self) -> None:
        """Writes what is buffered, as far as the reader takes it."""
        if not self._buffer:
            return
        if self._dropped:
            dropped, self._dropped = self._dropped, 0
            self.write("log", "Lines were dropped.", lines=dropped)
        whole = b"".join(self._buffer)
        try:
            written = os.write(self._fd, whole)
        except BlockingIOError:
            written = 0
        except OSError:
            written = len(whole)
        rest = whole[written:]
        self._buffer = [rest] if rest else []
        self._buffered = len(rest)
