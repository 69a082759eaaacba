"""Tests of the log lines: their format, their limits, and a pipe that is not read."""

import json
import os

from . import events

LINE_COUNT = 20_000


class LogPipe:
    """A pipe that a log writes to, and its reading end."""

    def __init__(self) -> None:
        self._reader, self._writer = os.pipe()
        os.set_blocking(self._reader, False)
        self.log = events.EventLog("node-1", self._writer)

    def read_lines(self) -> list[dict]:
        """Flushes the log and reads its lines until the pipe is empty."""
        received_bytes = b""
        while received := self._read():
            received_bytes += received
        return [json.loads(line) for line in received_bytes.splitlines()]

    def _read(self) -> bytes:
        self.log.flush()
        try:
            return os.read(self._reader, 1 << 20)
        except BlockingIOError:
            return b""

    def close(self) -> None:
        """Closes both ends."""
        os.close(self._reader)
        os.close(self._writer)


class TestLines:
    """Format of the lines."""

    def test_a_line_holds_prefix_node_time_and_fields(self) -> None:
        pipe = LogPipe()
        pipe.log.write("route", "Refused.", id="c1", tried=["a"], shares={"x": {1: 2}})
        (line,) = pipe.read_lines()
        pipe.close()
        assert line["msg"] == "route: Refused."
        assert line["node"] == "node-1"
        assert line["id"] == "c1"
        assert line["tried"] == ["a"]
        assert line["t"] > 0


class TestLineLimit:
    """Limits of the number of lines per second."""

    def test_frequent_reason_does_not_hide_a_rare_one(self) -> None:
        pipe = LogPipe()
        allowed = [
            pipe.log.reserve_line("route", failure=True, reason="overloaded")
            for _ in range(1000)
        ]
        assert sum(allowed) <= 2 * events.MAX_REASON_LINES_PER_S
        assert pipe.log.reserve_line("route", failure=True, reason="node_lost")
        pipe.close()

    def test_lines_left_out_are_counted(self) -> None:
        pipe = LogPipe()
        allowed = sum(pipe.log.reserve_line("route") for _ in range(100))
        pipe.log.write("route", "Answered.")
        (line,) = pipe.read_lines()
        pipe.close()
        assert line["left_out"] == 100 - allowed


class TestFullPipe:
    """A pipe that is full because nothing reads it.

    The log must neither block nor buffer without a limit.
    """

    def test_lines_are_dropped_and_counted(self) -> None:
        pipe = LogPipe()
        for _ in range(LINE_COUNT):
            pipe.log.write("queue", "Load.", running=1, text="x" * 100)
            pipe.log.flush()
        lines = pipe.read_lines()
        pipe.close()
        dropped = sum(line.get("lines", 0) for line in lines)
        assert dropped > 0
        assert (
            sum(line["msg"] == "queue: Load." for line in lines) + dropped == LINE_COUNT
        )
