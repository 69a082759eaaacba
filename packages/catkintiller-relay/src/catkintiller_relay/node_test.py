"""Tests of a whole node: its reaction when one of its tasks fails."""

import asyncio
import json
import os
from collections.abc import Generator

import pytest

from . import data, interfaces, node
from .telemetry import events

ANY_PORT = "127.0.0.1:0"
TIMEOUT_S = 10.0


class FailingStore(interfaces.Store):
    """A client of the store that raises an unexpected exception."""

    async def read_config(
        self, timeout_s: float = interfaces.STORE_TIMEOUT_S
    ) -> data.StoreRecord | None:
        """Raises an exception that the node does not handle."""
        raise ZeroDivisionError("a fault in the client")

    @property
    def restore_count(self) -> int | None:
        """Tells nothing."""
        return None

    async def wait_for_config(
        self, offset: int, wait_s: float, timeout_s: float = interfaces.STORE_TIMEOUT_S
    ) -> data.StoreRecord | None:
        """Returns no config after the time has passed."""
        await asyncio.sleep(wait_s)
        return None

    async def read_node_records(self) -> list[data.StoreRecord]:
        """Returns no records."""
        return []

    async def write_node_record(self, key: str, value: bytes) -> None:
        """Does nothing."""


class FakePlatform(interfaces.Platform):
    """A platform whose store client fails."""

    @property
    def header_names(self) -> data.HeaderNames:
        """Names of the headers."""
        return data.HeaderNames(*(name.encode() for name in data.HeaderNames._fields))

    def load_settings(self) -> data.Settings:
        """Builds settings with free ports."""
        return build_settings()

    def parse_config_in_slices(
        self, raw: bytes, previous: data.Config | None
    ) -> Generator[int, None, data.Config]:
        """Rejects every config."""
        raise data.DecodeError("no config")

    def parse_announcement(
        self, method: str, path: str, body: bytes
    ) -> data.Announcement | None:
        """Recognizes no announcement."""
        return None

    def is_readiness_path(self, method: str, path: str) -> bool:
        """Recognizes no readiness check."""
        return False

    def create_store(
        self, settings: data.StoreSettings, loop: asyncio.AbstractEventLoop
    ) -> interfaces.Store:
        """Creates the client that fails."""
        return FailingStore()


def build_settings() -> data.Settings:
    """Builds the settings of a node that listens on free ports."""
    return data.Settings(
        node="node-1",
        ip="127.0.0.1",
        zone="zone-1",
        inbound=ANY_PORT,
        outbound=ANY_PORT,
        readiness=ANY_PORT,
        admin=ANY_PORT,
        metrics=ANY_PORT,
        endpoint=ANY_PORT,
        service="pay",
        heartbeat_s=1.5,
        grace_s=3.0,
        drain_s=2.0,
        retry_ratio=0.2,
        retry_slack=0.0,
        retry_window_s=10.0,
        memory_mb=300,
        max_fds=4096,
        store=data.StoreSettings(ANY_PORT),
    )


class TestFailedTask:
    """A task of the node ends with an unhandled exception."""

    def test_it_is_logged_and_stops_the_node(self) -> None:
        reader, writer = os.pipe()
        log = events.EventLog("node-1", writer)

        async def run() -> None:
            loop = asyncio.get_running_loop()
            started_node = node.Node(FakePlatform(), build_settings(), loop, log)
            async with asyncio.timeout(TIMEOUT_S):
                await started_node.run()

        with pytest.raises(ZeroDivisionError):
            asyncio.run(run())
        log.flush()
        lines = [json.loads(line) for line in os.read(reader, 65536).splitlines()]
        os.close(reader)
        os.close(writer)
        failed = [
            line for line in lines if line["msg"] == "node: Background task failed."
        ]
        assert "a fault in the client" in failed[0]["why"]
