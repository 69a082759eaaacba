"""Builds the messages about this node's state: node states and load reports."""

import msgspec

from .. import data
from ..routing import admission, call_graph
from ..serving import endpoint_tracker, local_endpoint
from . import frames

EMPTY_LOAD_REPORT = frames.LoadReport(0, 0, 0, 0, [])


class NodeStateBuilder:
    """Builds the states of one node and keeps the last one, without its load report."""

    def __init__(
        self,
        settings: data.Settings,
        tracker: endpoint_tracker.EndpointTracker,
        endpoint: local_endpoint.LocalEndpoint,
        admission_control: admission.AdmissionController,
    ) -> None:
        self._settings = settings
        self._tracker = tracker
        self._local_endpoint = endpoint
        self._admission = admission_control
        self._last_sent: frames.NodeState | None = None

    def build_state(
        self, config_version: int, edges: tuple[call_graph.Edge, ...]
    ) -> frames.NodeState:
        """Builds the node state.

        :param config_version: version of the config in force; 0 without one.
        :param edges: edges of the call graph to send with it.
        """
        current = self._tracker.current
        return frames.NodeState(
            current.instance if current else "",
            self._settings.service,
            self._settings.zone,
            self._local_endpoint.accepting,
            self._local_endpoint.lame_duck,
            self._local_endpoint.queue.concurrency_limit,
            current is None or current.warmup_s <= 0,
            config_version,
            [tuple(edge) for edge in edges],
            list(self._admission.demand_keys),
            self._build_load_report(),
        )

    def select_message(
        self, state: frames.NodeState
    ) -> frames.NodeState | frames.LoadReport:
        """Returns the node state, or only its load report if nothing else has changed.

        The comparison is with the last node state that this method returned.
        """
        without_load = msgspec.structs.replace(state, load_report=EMPTY_LOAD_REPORT)
        if without_load == self._last_sent:
            return state.load_report
        self._last_sent = without_load
        return state

    def _build_load_report(self) -> frames.LoadReport:
        queue = self._local_endpoint.queue
        return frames.LoadReport(
            queue.load,
            int(queue.service_time_s * 1e6),
            round(queue.capacity),
            round(queue.utilization * frames.UTILIZATION_SCALE),
            self._admission.get_demand_per_s(),
        )
