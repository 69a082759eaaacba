"""Tests of the endpoints of a service side by side."""

import json

import pytest

from . import endpoint_queries, exit_codes, metrics

TEXT = """\
catkintiller_endpoint_running 4
catkintiller_endpoint_waiting 2
catkintiller_endpoint_usable_slots 4
catkintiller_endpoint_accepting 1
catkintiller_queue_seconds_count{service="pay"} 7
"""


class TestRows:
    """Rows of endpoints."""

    def test_row(self) -> None:
        row = endpoint_queries.build_row("a:1", metrics.parse_metrics(TEXT))
        assert row == ["a:1", "pay", 4, 2, 4.0, 1.5, True]

    def test_endpoint_that_has_not_run_a_request(self) -> None:
        row = endpoint_queries.build_row("a:1", [])
        assert row == ["a:1", "-", 0, 0, 0.0, 0.0, False]


class TestCommand:
    """Output and exit code of the command."""

    def test_fullest_first_and_other_services_left_out(
        self, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
    ) -> None:
        texts = {
            "a:1/metrics": TEXT.replace("waiting 2", "waiting 0"),
            "b:1/metrics": TEXT,
            "c:1/metrics": TEXT.replace("pay", "shop"),
        }

        def fetch(addresses: list[str]) -> list[list[metrics.Sample] | None]:
            return [
                metrics.parse_metrics(texts[each]) if each in texts else None
                for each in addresses
            ]

        monkeypatch.setattr(endpoint_queries.metrics, "fetch_all_samples", fetch)
        nodes = ["a:1", "b:1", "c:1", "d:1"]
        status = endpoint_queries.show_endpoints(nodes, "pay", True)
        assert status == exit_codes.OK
        printed = capsys.readouterr()
        assert [row["node"] for row in json.loads(printed.out)] == ["b:1", "a:1"]
        assert "d:1: left out" in printed.err

    def test_no_node(self) -> None:
        status = endpoint_queries.show_endpoints([], "pay", True)
        assert status == exit_codes.INVALID_INPUT
