"""Decides how often the admission control of a node with many peers is updated.

An update passes over the reports of all peers. While no service is near a limit, its
result is the same each time, so that a node among many updates less often. Handles many
nodes at low load; a node with few connections updates at each call.
"""

from .membership import peer_server
from .routing import admission

# A third of the updates; shorter than the time over which demand is averaged, so that
# the average and a limit that begins follow as closely as the reports of the peers.
SPARSE_INTERVAL_S = 0.3
CALL_TOLERANCE_S = 0.05  # calls come at multiples of 0.1 s, some milliseconds apart


class UpdatePacer:
    """Updates the admission control at each call, or less often while it may wait.

    :param control: admission control to update.
    :param server: server with the connections from peers.
    """

    def __init__(
        self,
        control: admission.AdmissionController,
        server: peer_server.PeerServer,
    ) -> None:
        self._control = control
        self._server = server
        self._elapsed_s = 0.0

    def run(self, now: float, elapsed_s: float) -> None:
        """Updates the admission control unless that may wait.

        :param now: time of the event loop, in seconds.
        :param elapsed_s: time in seconds since the last call.
        """
        self._elapsed_s += elapsed_s
        if self._may_wait():
            return
        elapsed_s, self._elapsed_s = self._elapsed_s, 0.0
        self._control.update(now, elapsed_s)

    def _may_wait(self) -> bool:
        return (
            self._elapsed_s < SPARSE_INTERVAL_S - CALL_TOLERANCE_S
            and self._server.connection_count > peer_server.MAX_FULL_ROUND_COUNT
            and self._control.is_quiet
        )
