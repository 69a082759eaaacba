"""Tests of what a node tells about itself over HTTP."""

import types

import pytest

from ..ingress import http1
from . import metrics, status_pages


class FakeConnection:
    """A connection that records the body of the response."""

    def __init__(self) -> None:
        self.body = b""

    def send_status(self, status: int, headers: bytes = b"", body: bytes = b"") -> None:
        """Records the body."""
        self.body = body


class TestMetrics:
    """Tests of the targets of the metrics port."""

    def _get(self, target: bytes, monkeypatch: pytest.MonkeyPatch) -> bytes:
        monkeypatch.setattr(status_pages.gauges, "set_gauges", lambda *args: None)
        values = types.SimpleNamespace(
            config_version=1, is_quota_coordinator=None, quota_follower_count=0
        )
        requests = types.SimpleNamespace(
            customer_counts=types.SimpleNamespace(
                format_text=lambda: "text", get_counts=lambda name: {name: {}}
            ),
            admission=types.SimpleNamespace(get_admitted_shares=lambda: {}),
        )
        peers = types.SimpleNamespace(peers={})
        pages = status_pages.StatusPages(
            None, metrics.Metrics(), peers, None, bool, lambda: values, requests
        )
        connection = FakeConnection()
        pages.handle_metrics(connection, http1.Request(b"GET", target, []))
        return connection.body

    def test_target_that_is_no_url(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """A target with an invalid host raised, and got no response."""
        assert b"text" in self._get(b"//[", monkeypatch)

    def test_customer(self, monkeypatch: pytest.MonkeyPatch) -> None:
        """The query names a customer."""
        body = self._get(b"/customers?name=a%20b", monkeypatch)
        assert b'"customers":{"a b":{}}' in body
