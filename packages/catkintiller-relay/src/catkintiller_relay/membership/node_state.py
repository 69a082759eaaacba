"""What a node tells the others of itself: the whole state, or only its pulse."""

import msgspec

from .. import data
from ..routing import admission, call_graph
from ..serving import endpoint_tracker, local_endpoint
from . import frames

NO_PULSE = frames.LoadReport(0, 0, 0, 0, [])


class NodeStateBuilder:
    """Makes the states of one node and knows the last one that was told."""

    def __init__(
        self,
        settings: data.Settings,
        present: endpoint_tracker.EndpointTracker,
        server: local_endpoint.LocalEndpoint,
        admitted: admission.AdmissionController,
    ) -> None:
        self._settings = settings
        self._presence = present
        self._local = server
        self._admission = admitted
        self._told: frames.NodeState | None = None

    def make_state(
        self, config_version: int, edges: tuple[call_graph.Edge, ...]
    ) -> frames.NodeState:
        """Makes the whole state.

        :param edges: calls that were counted here, if they are to be told.
        """
        current = self._presence.current
        return frames.NodeState(
            current.instance if current else "",
            self._settings.service,
            self._settings.zone,
            self._local.accepting,
            self._local.lame_duck,
            self._local.queue.concurrency_limit,
            current is None or current.warmup_s <= 0,
            config_version,
            [tuple(edge) for edge in edges],
            list(self._admission.demand_keys),
            self._make_pulse(),
        )

    def choose(self, state: frames.NodeState) -> frames.NodeState | frames.LoadReport:
        """Gives the whole state if it has changed since it was told, else its pulse."""
        lasting = msgspec.structs.replace(state, load_report=NO_PULSE)
        if lasting == self._told:
            return state.load_report
        self._told = lasting
        return state

    def _make_pulse(self) -> frames.LoadReport:
        queue = self._local.queue
        return frames.LoadReport(
            queue.load,
            int(queue.service_time_s * 1e6),
            round(queue.capacity),
            round(queue.utilization * frames.USE_UNITS),
            self._admission.get_demand_per_s(),
        )
