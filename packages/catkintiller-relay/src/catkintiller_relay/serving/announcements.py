"""Handles the announcements of the endpoint beside this node, and its departure."""

import asyncio
import time
from collections.abc import Callable, Coroutine

from .. import data, interfaces
from ..ingress import http1
from ..membership import frames, node_record
from ..telemetry import events
from . import departure_recorder, endpoint_tracker, local_endpoint

# The clock may have been set back since the endpoint's start.
MAX_START_AHEAD_MS = 60_000
UNKNOWN_START_MS = 0
RETRY_HEADER = b"Retry-After: 0.5\r\n"


class AnnouncementHandler:
    """Applies announcements, records departures and acknowledges both.

    :param ip: IP address of this VM; endpoints elsewhere are not beside this node.
    :param recorder: records the departures of endpoints.
    :param on_change: called when the endpoint or its state has changed.
    :param on_task_done: called when a task that writes a tombstone has ended.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        ip: str,
        platform: interfaces.Platform,
        tracker: endpoint_tracker.EndpointTracker,
        endpoint: local_endpoint.LocalEndpoint,
        recorder: departure_recorder.DepartureRecorder,
        log: events.EventLog,
        on_change: Callable[[], None],
        on_task_done: Callable[[asyncio.Task], None],
    ) -> None:
        self._loop = loop
        self._ip = ip
        self._platform = platform
        self._tracker = tracker
        self._local_endpoint = endpoint
        self._recorder = recorder
        self._log = log
        self._on_change = on_change
        self._on_task_done = on_task_done
        self._tasks: set[asyncio.Task] = set()

    def handle_request(
        self, connection: http1.ServerConnection, request: http1.Request
    ) -> None:
        """Handles a request at the address for announcements."""
        method = request.method.decode("latin-1")
        path = request.target.decode("latin-1")
        try:
            announcement = self._platform.parse_announcement(method, path, request.body)
            if announcement is not None:
                self._check_address(announcement)
        except data.DecodeError as error:
            self._log.write(
                "announce", "Announcement ignored: it is not valid.", why=str(error)
            )
            connection.send_status(400)
            return
        if announcement is None:
            connection.send_status(404)
            return
        announcement = self._complete_departure(drop_impossible_start(announcement))
        previous = self._tracker.current
        accepted = self._tracker.apply(self._loop.time(), announcement)
        self._apply_change(previous, announcement, accepted)
        is_departure = announcement.state is not data.EndpointState.READY
        if is_departure and (accepted or self._tracker.has_left(announcement)):
            self._add_task(self._record_departure(connection, announcement))
            return
        acknowledge(connection)

    def _check_address(self, announcement: data.Announcement) -> None:
        """Checks that an endpoint runs on this VM; a departure names no address.

        :raises data.DecodeError: if it does not.
        """
        host = announcement.address.rpartition(":")[0]
        if announcement.state is not data.EndpointState.GONE and host != self._ip:
            raise data.DecodeError(f"address {announcement.address!r} of another VM")

    def handle_leaving_response(self) -> None:
        """Handles a response that says that the endpoint is about to leave.

        The endpoint's announcement of that may come later or be lost.
        """
        previous = self._tracker.current
        if previous is None or self._tracker.is_leaving:
            return
        self._tracker.mark_draining()
        self._apply_change(previous, previous, accepted=True)
        self._add_task(self._recorder.record(previous.instance, previous.start_ms))

    def _complete_departure(self, announcement: data.Announcement) -> data.Announcement:
        """Adds the start to the departure of an endpoint that this node does not know.

        Without it, a late announcement of that start could not be told from the first
        one of the next start. Any start up to now has ended.
        """
        current = self._tracker.current
        is_known = current is not None and current.instance == announcement.instance
        if (
            announcement.state is not data.EndpointState.GONE
            or announcement.start_ms
            or is_known
        ):
            return announcement
        return announcement._replace(start_ms=int(time.time() * 1000))

    def restore_tombstones(self, record: node_record.NodeRecord) -> None:
        """Restores the tombstones that this node wrote before it restarted."""
        for instance, start_ms in record.tombstones:
            if self._recorder.restore(instance, start_ms):
                self._apply_tombstone(instance, start_ms)

    def handle_copy(self, address: str, copy: frames.DepartureCopy) -> None:
        """Handles a copy of a departure that a peer holds for this node.

        It is restored if it was announced before this node restarted.

        :param address: address of the peer.
        """
        if not self._recorder.handle_copy(address, copy):
            return
        self._log.write(
            "announce",
            "Departure restored: a peer holds a copy.",
            instance=copy.instance,
            peer=address,
        )
        self._apply_tombstone(copy.instance, copy.start_ms)

    def _apply_tombstone(self, instance: str, start_ms: int) -> None:
        """Applies the departure of an endpoint that may have been announced since."""
        previous = self._tracker.current
        self._tracker.add_tombstone(instance, start_ms)
        if previous is not None:
            self._apply_change(previous, previous, accepted=True)

    def close(self) -> None:
        """Cancels the writes that have not ended."""
        for task in self._tasks:
            task.cancel()

    async def _record_departure(
        self, connection: http1.ServerConnection, announcement: data.Announcement
    ) -> None:
        """Records the departure of an endpoint, then acknowledges it.

        It is not acknowledged if it would be lost with this process: a node that
        restarts would accept a late announcement of the endpoint.
        """
        current = self._tracker.current
        start_ms = announcement.start_ms
        if current is not None and current.instance == announcement.instance:
            start_ms = max(start_ms, current.start_ms)
        if await self._recorder.record(announcement.instance, start_ms):
            acknowledge(connection)
            return
        self._log.write(
            "announce",
            "Departure not acknowledged: neither the store nor a peer has it.",
            instance=announcement.instance,
        )
        connection.send_status(503, RETRY_HEADER)

    def _add_task(self, coroutine: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        task.add_done_callback(self._tasks.discard)

    def _apply_change(
        self,
        previous: data.Announcement | None,
        announcement: data.Announcement,
        accepted: bool,
    ) -> None:
        """Applies and logs what an announcement changed.

        :param previous: announcement in force before it.
        :param accepted: whether it was accepted.
        """
        current = self._tracker.current
        if not accepted and self._log.reserve_line("announce", failure=True):
            self._log.write(
                "announce",
                "Announcement ignored: it is outdated or from another service.",
                said=announcement,
            )
        changed = current is not None and (
            previous is None
            or (previous.instance, previous.start_ms, previous.state, previous.slots)
            != (current.instance, current.start_ms, current.state, current.slots)
        )
        if not changed:
            return
        self._local_endpoint.queue.set_slots(current.slots)
        if previous is not None and (previous.instance, previous.start_ms) != (
            current.instance,
            current.start_ms,
        ):
            self._local_endpoint.handle_endpoint_start(previous)
        self._log.write(
            "announce",
            "Endpoint changed.",
            instance=current.instance,
            state=current.state.value,
            seq=current.seq,
            slots=current.slots,
        )
        if current.state is not data.EndpointState.READY:
            self._local_endpoint.refuse_queued()
        self._on_change()


def drop_impossible_start(announcement: data.Announcement) -> data.Announcement:
    """Drops a start in the future, which would outlast all starts that follow."""
    if announcement.start_ms <= time.time() * 1000 + MAX_START_AHEAD_MS:
        return announcement
    return announcement._replace(start_ms=UNKNOWN_START_MS)


def acknowledge(connection: http1.ServerConnection) -> None:
    """Acknowledges an announcement."""
    connection.send_status(200, b"Content-Type: application/json\r\n", b"{}")
