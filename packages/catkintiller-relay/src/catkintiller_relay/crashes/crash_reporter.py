"""Tells the peers and the log what this node knows about crashes of endpoints."""

import asyncio
from collections.abc import Callable

from ..membership import crash_messages, frames, store_watcher
from ..telemetry import events, metrics
from . import block_store, crash, crash_history, fingerprint

MAX_LOGGED_RUNS = 12

MAX_CLEARED_PER_MESSAGE = 512

CrashMessage = frames.CrashReport | frames.ClearedRequests
SendMessage = Callable[[CrashMessage, str | None], None]


class CrashReporter:
    """Records crashes, and passes them on to the peers.

    A report of a crash goes to all connected nodes. The nodes of the service that
    crashed pass it on once to the others of that service, since each of them is
    connected to a part of the nodes only.

    :param service: service of this node's endpoint.
    :param send_message: sends a message to the connected nodes of a service, or to all.
    :param watcher: keeps blocks in the store.
    :ivar history: suspects and blocked requests.
    :ivar block_store: blocks that survive a restart of all nodes.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        service: str,
        log: events.EventLog,
        node_metrics: metrics.Metrics,
        send_message: SendMessage,
        watcher: store_watcher.StoreWatcher,
    ) -> None:
        self._loop = loop
        self._service = service
        self.history = crash_history.CrashHistory()
        self.block_store = block_store.BlockStore(watcher, self.history)
        self._log = log
        self._metrics = node_metrics
        self._send_message = send_message
        self._newly_cleared: list[bytes] = []

    def handle_crash(self, event: crash.EndpointCrash) -> None:
        """Handles a crash of the endpoint beside this node."""
        report = self.history.record_crash(self._loop.time(), event)
        self._send_report(report, None)
        self._metrics.count("endpoint_crashes", f'service="{event.service}"')
        self._log_crash(event)
        if not report.blocks:
            return
        self.block_store.add(report.blocks)
        self._metrics.count(
            "requests_blocked", f'service="{event.service}"', len(report.blocks)
        )
        for block in report.blocks:
            self._log.write(
                "crash",
                "Request blocked: endpoints crashed while it was the only suspect.",
                request=fingerprint.format_fingerprint(block.fingerprint),
                crash=event.crash_id.hex(),
                seconds=round(block.remaining_s),
                times=block.count,
            )

    def handle_report(self, message: frames.CrashReport) -> None:
        """Handles what a peer knows."""
        report = crash_messages.parse_message(message)
        if not self.history.merge(self._loop.time(), report):
            return
        if report.crash_id and report.service == self._service:
            self._send_report(report, self._service)
            if report.blocks:
                self._send_report(report._replace(suspects=()), None)
        if self._log.reserve_line("crash"):
            self._log.write(
                "crash",
                "Crash reported by a peer.",
                crash=report.crash_id.hex(),
                service=report.service,
                suspects=len(report.suspects),
                blocked=[
                    fingerprint.format_fingerprint(block.fingerprint)
                    for block in report.blocks[:MAX_LOGGED_RUNS]
                ],
            )

    def handle_response(self, identity: bytes) -> None:
        """Handles a response of the endpoint beside this node to a request.

        :param identity: fingerprint of the request.
        """
        previous = self.history.record_response(identity)
        if previous is crash_history.Standing.CLEAR:
            return
        if len(self._newly_cleared) < MAX_CLEARED_PER_MESSAGE:
            self._newly_cleared.append(identity)
        if previous is crash_history.Standing.SUSPECT:
            self._metrics.count("suspects_cleared", f'service="{self._service}"')
            return
        self.block_store.remove(identity)
        self._metrics.count("requests_unblocked", f'service="{self._service}"')
        self._log.write(
            "crash",
            "Request is no longer blocked: an endpoint responded to it.",
            request=fingerprint.format_fingerprint(identity),
        )

    def handle_cleared(self, message: frames.ClearedRequests) -> None:
        """Handles the requests to which a peer's endpoint has responded."""
        for identity in message.fingerprints:
            self.history.record_response(identity)
            self.block_store.remove(identity)

    def send_newly_cleared(self) -> None:
        """Tells the peers which requests were cleared here since the last call."""
        if self._newly_cleared:
            identities, self._newly_cleared = self._newly_cleared, []
            self._send_message(frames.ClearedRequests(identities), None)

    def build_handover(self) -> frames.CrashReport | None:
        """Builds the message for a node that has just connected; None without one."""
        if self.history.is_empty:
            return None
        report = self.history.build_handover(self._loop.time())
        return crash_messages.build_message(report)

    def _send_report(
        self, report: crash_history.CrashReport, service: str | None
    ) -> None:
        self._send_message(crash_messages.build_message(report), service)

    def _log_crash(self, event: crash.EndpointCrash) -> None:
        if not self._log.reserve_line("crash", failure=True):
            return
        self._log.write(
            "crash",
            "Endpoint crashed: its connections ended and new ones are refused.",
            instance=event.instance,
            crash=event.crash_id.hex(),
            running=len(event.runs),
            requests=[
                [
                    run.request_id.decode("latin-1"),
                    fingerprint.format_fingerprint(run.fingerprint),
                    round(run.running_s * 1000),
                ]
                for run in event.runs[:MAX_LOGGED_RUNS]
            ],
        )
