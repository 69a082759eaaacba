"""Responds to the platform's readiness probe and to requests for the metrics."""

from collections.abc import Callable

from .. import interfaces
from ..ingress import http1
from ..membership import peer_set
from ..serving import local_endpoint
from . import gauges, metrics


class StatusPages:
    """What a node tells about itself over HTTP.

    :param platform: knows the path of the readiness probe.
    :param peers: peers of the node.
    :param endpoint: endpoint beside the node.
    :param is_ready: returns whether the node is ready for requests of clients.
    :param get_gauge_values: returns the gauges that the node itself provides.
    """

    def __init__(
        self,
        platform: interfaces.Platform,
        node_metrics: metrics.Metrics,
        peers: peer_set.PeerSet,
        endpoint: local_endpoint.LocalEndpoint,
        is_ready: Callable[[], bool],
        get_gauge_values: Callable[[], gauges.GaugeValues],
    ) -> None:
        self._platform = platform
        self._metrics = node_metrics
        self._peers = peers
        self._local_endpoint = endpoint
        self._is_ready = is_ready
        self._get_gauge_values = get_gauge_values

    def handle_readiness(
        self, connection: http1.ServerConnection, request: http1.Request
    ) -> None:
        """Responds to the readiness probe."""
        path = request.target.decode("latin-1")
        method = request.method.decode("latin-1")
        if not self._platform.is_readiness_path(method, path):
            connection.send_status(404)
            return
        connection.send_status(200 if self._is_ready() else 503)

    def handle_metrics(
        self, connection: http1.ServerConnection, request: http1.Request
    ) -> None:
        """Responds with the metrics, whatever the path."""
        gauges.set_gauges(
            self._metrics,
            self._get_gauge_values(),
            list(self._peers.peers.values()),
            self._local_endpoint,
        )
        connection.send_status(200, body=self._metrics.format_text().encode())
