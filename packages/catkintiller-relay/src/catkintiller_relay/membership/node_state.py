"""Builds the messages about this node's state: node states and load reports."""

import msgspec

from .. import data
from ..routing import admission, call_graph
from ..serving import endpoint_tracker, local_endpoint
from . import frames

EMPTY_LOAD_REPORT = frames.LoadReport(0, 0, 0, 0, [])
MIN_SERVICE_TIME_S = 0.001


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
        self._last_state: frames.NodeState | None = None

    def build_state(
        self,
        config_version: int,
        config_reading: data.ConfigReading,
        edges: tuple[call_graph.Edge, ...],
        route_times: tuple[tuple[str, int, int], ...],
        report_interval_s: float,
        restore_count: int,
    ) -> frames.NodeState:
        """Builds the node state.

        :param config_version: version of the config in force; 0 without one.
        :param config_reading: whether this node reads configs from the store.
        :param edges: edges of the call graph that were counted at this node.
        :param route_times: see :class:`.frames.NodeState`.
        :param report_interval_s: time between load reports to a peer, in seconds.
        :param restore_count: how often the store has been restored.
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
            self.build_load_report(report_interval_s),
            config_reading,
            frames.PROTOCOL_VERSION,
            list(route_times),
            self._local_endpoint.queue.rate_limit,
            current.start_ms if current else 0,
            self._tracker.is_leaving,
            restore_count,
            self._local_endpoint.stopping,
        )

    def record_change(self, state: frames.NodeState) -> bool:
        """Returns whether a state differs from the one in the last call.

        The load report is left out of the comparison.
        """
        without_load = msgspec.structs.replace(state, load_report=EMPTY_LOAD_REPORT)
        changed = without_load != self._last_state
        self._last_state = without_load
        return changed

    def build_load_report(self, report_interval_s: float) -> frames.LoadReport:
        """Builds the load report.

        :param report_interval_s: time until the next one to the same peer, in seconds.
        """
        queue = self._local_endpoint.queue
        service_time_s = max(MIN_SERVICE_TIME_S, queue.service_time_s)
        slot_demand = [
            round(slots * frames.DEMAND_SCALE) for slots in self._admission.get_demand()
        ]
        return frames.LoadReport(
            queue.load,
            int(queue.service_time_s * 1e6),
            round(queue.concurrency_limit / service_time_s),
            round(queue.utilization * frames.UTILIZATION_SCALE),
            [],
            round(report_interval_s * 1000),
            slot_demand,
            round(queue.highest_rank_utilization * frames.UTILIZATION_SCALE),
        )
