"""Tracks the state of the local endpoint from its announcements and responses.

Announcements may be late, duplicated, out of order, or from an endpoint that crashed
long ago. The newest announcement of the endpoint that started last is in force.
"""

from .. import data

UNRESPONSIVE_AFTER_HEARTBEATS = 4.0


class EndpointTracker:
    """State of the local endpoint according to its announcements.

    :param service: service of the endpoint according to the settings; announcements of
        other services are ignored.
    :param heartbeat_s: usual interval between two announcements, in seconds.
    """

    def __init__(self, service: str, heartbeat_s: float) -> None:
        self._service = service
        self._unresponsive_after_s = UNRESPONSIVE_AFTER_HEARTBEATS * heartbeat_s
        self._current: data.Announcement | None = None
        self._last_announced_at = 0.0
        self._tombstones: dict[str, int] = {}
        self._is_held = False

    @property
    def is_held(self) -> bool:
        """Whether the endpoint gets no requests although it may be ready."""
        return self._is_held

    @property
    def current(self) -> data.Announcement | None:
        """Newest announcement of the newest start of the endpoint, if any."""
        return self._current

    @property
    def is_leaving(self) -> bool:
        """Whether the endpoint drains or is gone."""
        current = self._current
        return current is not None and current.state is not data.EndpointState.READY

    def apply(self, now: float, announcement: data.Announcement) -> bool:
        """Applies an announcement.

        An endpoint that drains does not become ready again before its next start.

        :param now: time of the event loop in seconds.
        :returns: False if the announcement comes from another service, from an endpoint
            that has ended or from an earlier start. A duplicate or reordered one of the
            current start changes nothing and returns True.
        """
        if announcement.state is data.EndpointState.GONE:
            return self._handle_gone(announcement)
        if announcement.service != self._service:
            return False
        if self.has_left(announcement):
            return False
        current = self._current
        if current is not None:
            is_not_newer = (announcement.start_ms, announcement.seq) <= (
                current.start_ms,
                current.seq,
            )
            if announcement.instance == current.instance and is_not_newer:
                return announcement.start_ms == current.start_ms
            if (
                announcement.instance != current.instance
                and announcement.start_ms < current.start_ms
            ):
                return False
        if current is not None and announcement.instance == current.instance:
            is_same_start = announcement.start_ms == current.start_ms
            if is_same_start and current.state is data.EndpointState.DRAINING:
                announcement = announcement._replace(state=data.EndpointState.DRAINING)
        self._current = announcement
        self._last_announced_at = now
        return True

    def has_left(self, announcement: data.Announcement) -> bool:
        """Returns whether the start that an announcement names has left before."""
        newest_ms = self._tombstones.get(announcement.instance, -1)
        return newest_ms >= announcement.start_ms

    def is_accepting(self, now: float) -> bool:
        """Returns whether the endpoint may get new requests.

        It must be ready and must not be unresponsive.

        :param now: time of the event loop in seconds.
        """
        current = self._current
        if current is None or current.state is not data.EndpointState.READY:
            return False
        if self._is_held:
            return False
        return now - self._last_announced_at <= self._unresponsive_after_s

    def hold(self) -> None:
        """Accepts nothing until the departures before this node's start are known.

        The first announcement that arrives may be a late one of an endpoint that left.
        """
        self._is_held = True

    def release(self) -> None:
        """Ends the hold."""
        self._is_held = False

    def suspend(self) -> None:
        """Stops accepting requests until the next announcement.

        Called when another endpoint turns out to use the address, or none.
        """
        self._last_announced_at = float("-inf")

    def mark_draining(self) -> None:
        """Records that the endpoint said outside its announcements that it leaves."""
        if self._current is not None and not self.is_leaving:
            self._current = self._current._replace(state=data.EndpointState.DRAINING)

    def add_tombstone(self, instance: str, start_ms: int) -> None:
        """Records that an endpoint announced its end before this node started.

        Late announcements of that start are ignored from then on.

        :param instance: instance ID of the endpoint.
        :param start_ms: Unix time of its start in milliseconds.
        """
        self._tombstones[instance] = max(start_ms, self._tombstones.get(instance, -1))
        current = self._current
        if current is None or current.instance != instance:
            return
        if current.start_ms <= start_ms:
            self.mark_draining()

    def _handle_gone(self, announcement: data.Announcement) -> bool:
        current = self._current
        if current is None or current.instance != announcement.instance:
            self._tombstones[announcement.instance] = announcement.start_ms
            return True
        if announcement.start_ms and announcement.start_ms < current.start_ms:
            return True
        self._tombstones[announcement.instance] = max(
            announcement.start_ms, current.start_ms
        )
        self._current = current._replace(state=data.EndpointState.GONE)
        return True
