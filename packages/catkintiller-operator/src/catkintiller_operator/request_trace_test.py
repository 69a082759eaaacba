"""Tests of the log lines of a request and of the cause found in them."""

import io
import pathlib

import pytest

from . import exit_codes, request_trace

LINES = """\
{"t":2.0,"node":"b","msg":"route: Request refused.","id":"aa11",\
"reason":"queue_timeout"}
{"t":1.0,"node":"a","msg":"attempt: Attempt failed.","id":"aa11","reason":"node_lost"}
{"t":1.5,"node":"a","msg":"route: Request answered.","id":"aa11.cc","status":200}
{"t":1.5,"node":"a","msg":"route: Request answered.","id":"zz99","status":200}
{"t":1.6,"node":"a","id":"aa11
"""


class TestParse:
    """Parsing of the log lines of one request."""

    def test_nested_calls_are_included_and_unparsable_lines_reported(self) -> None:
        events, unreadable = request_trace.parse_events(
            io.StringIO(LINES), "log", "aa11"
        )
        assert [event.time for event in events] == [2.0, 1.0, 1.5]
        assert [line.number for line in unreadable] == [5]

    def test_requests_whose_id_only_begins_alike_are_left_out(self) -> None:
        """Guards against the lines and the count of another request in a trace."""
        lines = '{"t":1,"id":"aa112"}\n{"t":2,"id":"aa11.b"}\n{"t":3,"id":"aa11"}\n'
        events, _ = request_trace.parse_events(io.StringIO(lines), "log", "aa11")
        assert [event.time for event in events] == [2.0, 3.0]

    def test_line_with_an_invalid_time_is_reported(self) -> None:
        lines = '{"t":"x","id":"aa11"}\n{"t":null,"id":"aa11"}\n'
        events, unreadable = request_trace.parse_events(
            io.StringIO(lines), "log", "aa11"
        )
        assert (events, [line.number for line in unreadable]) == ([], [1, 2])


class TestCause:
    """Description of the cause."""

    @pytest.mark.parametrize(
        ("fields", "description"),
        [
            ({"reason": "chain_overloaded"}, "downstream service of its call graph"),
            (
                {
                    "reason": "quota_exceeded",
                    "customer": "north",
                    "rate": 5.0,
                    "burst": 2.0,
                    "age_ms": 40,
                },
                "its quota: customer north, 5.0 per second with a burst of 2.0, "
                "as reported 40 ms before",
            ),
            ({"status": 500}, "endpoint itself responded with status 500"),
            ({"status": 200}, "the request was answered"),
        ],
    )
    def test_description(self, fields: dict[str, object], description: str) -> None:
        events = [request_trace.Event(1.0, "a", "route: x", fields)]
        assert description in request_trace.describe_cause(events)

    def test_reason_for_no_retry_is_described(self) -> None:
        attempt = {"reason": "endpoint_refused", "next": "no_budget"}
        events = [
            request_trace.Event(1.0, "a", "attempt: Attempt failed.", attempt),
            request_trace.Event(
                1.1, "a", "route: Request refused.", {"reason": "endpoint_refused"}
            ),
        ]
        cause = request_trace.describe_cause(events)
        assert "the endpoint responded that it did not run the request" in cause
        assert "no retry: the retry budget of this node was used up" in cause

    def test_refusal_by_share_names_its_figures(self) -> None:
        fields = {
            "reason": "share_exceeded",
            "customer": "north",
            "rank": 1,
            "limited_by": "deep",
            "share": 0.25,
            "sums_age_ms": 210,
        }
        event = request_trace.Event(1.0, "a", "route: Request refused.", fields)
        cause = request_trace.describe_cause([event])
        assert "customer north, rank 1, service deep, share 0.25" in cause
        assert "210 ms old" in cause
        fields["sums_age_ms"] = None
        assert "the node alone" in request_trace.describe_cause([event])

    @pytest.mark.parametrize(
        ("fields", "description"),
        [
            (
                {"reason": "endpoint_full", "next": "handed_over"},
                "another attempt was made",
            ),
            ({"at": "10.0.0.1:1"}, "no line tells its outcome"),
        ],
    )
    def test_missing_line_of_the_outcome_is_told(
        self, fields: dict[str, object], description: str
    ) -> None:
        """Guards against a cause or an answer that no line tells of."""
        event = request_trace.Event(1.0, "a", "attempt: x", fields)
        assert description in request_trace.describe_cause([event])

    def test_no_line(self) -> None:
        assert "no line" in request_trace.describe_cause([])


class TestCommand:
    """Output and exit code of the command."""

    def test_lines_in_order_and_the_last_cause(
        self, tmp_path: pathlib.Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        file = tmp_path / "log"
        file.write_text(LINES)
        assert request_trace.trace_request("aa11", [str(file)], False) == exit_codes.OK
        printed = capsys.readouterr().out
        assert printed.index("Attempt failed") < printed.index("Request refused")
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

    def test_bytes_that_are_no_text_do_not_end_the_command(
        self, tmp_path: pathlib.Path
    ) -> None:
        file = tmp_path / "log"
        file.write_bytes(b"\xff\n" + LINES.encode())
        assert request_trace.trace_request("aa11", [str(file)], False) == exit_codes.OK
