"""Responds to the platform's readiness probe and to requests for the metrics."""

import urllib.parse
from collections.abc import Callable

import msgspec

from .. import interfaces
from ..ingress import http1
from ..membership import peer_set
from ..routing import forwarder
from ..serving import local_endpoint
from . import gauges, metrics

CUSTOMERS_PATH = "/customers"
JSON_HEADERS = b"Content-Type: application/json\r\n"


class StatusPages:
    """What a node tells about itself over HTTP.

    :param platform: knows the path of the readiness probe.
    :param peers: peers of the node.
    :param endpoint: endpoint beside the node.
    :param is_ready: returns whether the node is ready for requests of clients.
    :param get_gauge_values: returns the gauges that the node itself provides.
    :param requests: forwards the requests that arrive at this node.
    """

    def __init__(
        self,
        platform: interfaces.Platform,
        node_metrics: metrics.Metrics,
        peers: peer_set.PeerSet,
        endpoint: local_endpoint.LocalEndpoint,
        is_ready: Callable[[], bool],
        get_gauge_values: Callable[[], gauges.GaugeValues],
        requests: forwarder.Forwarder,
    ) -> None:
        self._platform = platform
        self._metrics = node_metrics
        self._peers = peers
        self._local_endpoint = endpoint
        self._is_ready = is_ready
        self._get_gauge_values = get_gauge_values
        self._requests = requests

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
        """Responds with the metrics, or with what becomes of customers' requests.

        The metrics are sent whatever the path is, except for that of the customers.
        """
        path, _, query = request.target.decode("latin-1").partition("?")
        if path == CUSTOMERS_PATH:
            name = urllib.parse.parse_qs(query).get("name", [""])[0]
            body = self._encode_customers(name)
            connection.send_status(200, JSON_HEADERS, body)
            return
        gauges.set_gauges(
            self._metrics,
            self._get_gauge_values(),
            list(self._peers.peers.values()),
            self._local_endpoint,
        )
        text = self._metrics.format_text()
        text += self._requests.customer_counts.format_text()
        connection.send_status(200, body=text.encode())

    def _encode_customers(self, name: str) -> bytes:
        """Encodes the results of requests by customer as a JSON document.

        :param name: the only customer to be included; empty for all.
        """
        values = self._get_gauge_values()
        return msgspec.json.encode(
            {
                "version": values.config_version,
                "coordinator": values.is_quota_coordinator,
                "followers": values.quota_follower_count,
                "shares": self._requests.admission.get_admitted_shares(),
                "customers": self._requests.customer_counts.get_counts(name),
            }
        )
