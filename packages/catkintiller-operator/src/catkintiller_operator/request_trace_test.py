"""Tests of following a request through logs."""

import io
import pathlib

import pytest

from . import exit_codes, request_trace

LINES = """\
{"t":2.0,"node":"b","msg":"route: Refused.","id":"aa11","reason":"queue_timeout"}
{"t":1.0,"node":"a","msg":"attempt: Got no answer.","id":"aa11","reason":"node_lost"}
{"t":1.5,"node":"a","msg":"route: Answered.","id":"aa11.cc","status":200}
{"t":1.5,"node":"a","msg":"route: Answered.","id":"zz99","status":200}
{"t":1.6,"node":"a","id":"aa11
"""


class TestParse:
    """Lines of one request."""

    def test_calls_are_included_and_bad_lines_are_told(self) -> None:
        events, problems = request_trace.parse_events(io.StringIO(LINES), "log", "aa11")
        assert [event.time for event in events] == [2.0, 1.0, 1.5]
        assert [problem.line for problem in problems] == [5]


class TestCause:
    """The cause in words."""

    @pytest.mark.parametrize(
        ("figures", "words"),
        [
            ({"reason": "chain_overloaded"}, "further down its chain"),
            ({"status": 500}, "endpoint itself answered 500"),
            ({"status": 200}, "it was answered"),
        ],
    )
    def test_words(self, figures: dict[str, object], words: str) -> None:
        events = [request_trace.Event(1.0, "a", "route: x", figures)]
        assert words in request_trace.describe_cause(events)

    def test_why_nothing_followed_is_told(self) -> None:
        attempt = {"reason": "endpoint_refused", "next": "no_budget"}
        events = [
            request_trace.Event(1.0, "a", "attempt: Got no answer.", attempt),
            request_trace.Event(
                1.1, "a", "route: Refused.", {"reason": "endpoint_refused"}
            ),
        ]
        cause = request_trace.describe_cause(events)
        assert "the endpoint said that it did not run it" in cause
        assert "not sent again: this node's share of repeats was used up" in cause

    def test_no_line(self) -> None:
        assert "no line" in request_trace.describe_cause([])


class TestCommand:
    """What is printed, and the exit status."""

    def test_lines_in_order_and_the_last_cause(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        file = tmp_path / "log"
        file.write_text(LINES)
        assert request_trace.trace_request("aa11", [str(file)], False) == exit_codes.OK
        printed = capsys.readouterr().out
        assert printed.index("Got no answer") < printed.index("Refused")
        assert "waited too long for a slot" in printed

    def test_unknown_request_and_missing_file(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        missing = str(tmp_path / "missing")
        assert (
            request_trace.trace_request("aa11", [missing], False)
            == exit_codes.FAULT_FOUND
        )
        assert "missing" in capsys.readouterr().err
