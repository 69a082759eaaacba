"""Decides what the announcements of the local endpoint mean.

Announcements may come late, twice, out of order, or from an endpoint that crashed
long ago; the newest start of an endpoint counts, and of it the newest word.
"""

from .. import data

SILENT_HEARTBEATS = 4.0


class Presence:
    """The endpoint beside this node, as far as it has announced itself.

    :param service: service of the endpoint by the settings.
    :param heartbeat_s: usual time between two announcements.
    """

    def __init__(self, service: str, heartbeat_s: float) -> None:
        self._service = service
        self._silent_s = SILENT_HEARTBEATS * heartbeat_s
        self._current: data.Announcement | None = None
        self._heard_at = 0.0
        self._ended: dict[str, int] = {}

    @property
    def current(self) -> data.Announcement | None:
        """The newest announcement of the newest start."""
        return self._current

    def take(self, now: float, said: data.Announcement) -> bool:
        """Takes an announcement; False if an older one or another's is ignored."""
        if said.state is data.EndpointState.GONE:
            return self._take_leave(said)
        if said.service != self._service:
            return False
        if self._ended.get(said.instance, -1) >= said.start_ms:
            return False
        current = self._current
        if current is not None:
            older = (said.start_ms, said.seq) <= (current.start_ms, current.seq)
            if said.instance == current.instance and older:
                return said.start_ms == current.start_ms
            if said.instance != current.instance and said.start_ms < current.start_ms:
                return False
        if current is not None and said.instance == current.instance:
            same_start = said.start_ms == current.start_ms
            if same_start and current.state is data.EndpointState.DRAINING:
                said = said._replace(state=data.EndpointState.DRAINING)
        self._current = said
        self._heard_at = now
        return True

    def is_accepting(self, now: float) -> bool:
        """Tells whether the endpoint may get new requests."""
        current = self._current
        if current is None or current.state is not data.EndpointState.READY:
            return False
        return now - self._heard_at <= self._silent_s

    def doubt(self) -> None:
        """Hears that another endpoint has the address; waits for an announcement."""
        self._heard_at = float("-inf")

    def add_ended(self, instance: str, start_ms: int) -> None:
        """Learns that an endpoint had said that it leaves, before this node started."""
        self._ended[instance] = start_ms
        current = self._current
        if current is None or current.instance != instance:
            return
        if current.start_ms <= start_ms and current.state is data.EndpointState.READY:
            self._current = current._replace(state=data.EndpointState.DRAINING)

    def _take_leave(self, said: data.Announcement) -> bool:
        current = self._current
        if current is None or current.instance != said.instance:
            self._ended[said.instance] = said.start_ms
            return True
        if said.start_ms and said.start_ms < current.start_ms:
            return True
        self._ended[said.instance] = max(said.start_ms, current.start_ms)
        self._current = current._replace(state=data.EndpointState.GONE)
        return True
