"""Interface through which connections between nodes reach the node itself."""

import abc

from . import departure_exchange, frames


class PeerObserver(abc.ABC):
    """Handles the messages and events of peers, and provides what they request."""

    @abc.abstractmethod
    def handle_state(self, address: str, state: frames.NodeState) -> None:
        """Handles the node state of a peer."""

    @abc.abstractmethod
    def handle_hello(self, hello: frames.Hello) -> None:
        """Handles the first message of a node that opened a connection."""

    @abc.abstractmethod
    def handle_config(self, reply: frames.ConfigReply) -> None:
        """Handles a config that a peer sent."""

    @abc.abstractmethod
    def build_config_reply(
        self, request: frames.ConfigRequest
    ) -> frames.ConfigReply | None:
        """Builds the reply to a request for the config; None if there is none."""

    @abc.abstractmethod
    def handle_config_read(self, message: frames.ConfigRead) -> None:
        """Handles a peer's message that it has read the store."""

    @abc.abstractmethod
    def build_state(self) -> frames.NodeState:
        """Builds the node state to send to peers."""

    @abc.abstractmethod
    def build_load_report(self) -> frames.LoadReport:
        """Builds the load report to send to peers."""

    @abc.abstractmethod
    def handle_peer_event(self, address: str, event: str) -> None:
        """Handles a change of the connection to a peer.

        :param event: description of the change, used in a log line.
        """

    @abc.abstractmethod
    def handle_peer_removed(self, address: str) -> None:
        """Handles the removal of a peer that is lost or no longer selected."""

    @abc.abstractmethod
    def handle_crash_report(self, message: frames.CrashReport) -> None:
        """Handles what a peer knows about crashes of endpoints."""

    @abc.abstractmethod
    def handle_cleared_requests(self, message: frames.ClearedRequests) -> None:
        """Handles the requests to which a peer's endpoint has responded."""

    @abc.abstractmethod
    def handle_quota_request(
        self, sender: str, request: frames.QuotaRequest
    ) -> frames.QuotaReply | None:
        """Handles a request for tokens; returns the reply, if there is one.

        :param sender: address of the node that sent it.
        """

    @abc.abstractmethod
    def handle_quota_reply(self, address: str, reply: frames.QuotaReply) -> None:
        """Handles the reply of a peer to a request for tokens."""

    @property
    @abc.abstractmethod
    def departures(self) -> departure_exchange.DepartureExchange:
        """Departures of endpoints that nodes hold for each other."""

    @abc.abstractmethod
    def build_crash_handover(self) -> frames.CrashReport | None:
        """Builds what a node that has just connected must know about crashes."""
