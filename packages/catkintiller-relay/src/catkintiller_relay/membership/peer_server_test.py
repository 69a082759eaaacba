"""Tests of the load reports to the nodes that are connected."""

import asyncio

from ..ingress import body_budget
from . import frames, peer_server
from .frames_test import CountingObserver


class RecordingConnection(peer_server.IncomingConnection):
    """A connection that counts the frames that are sent on it."""

    def __init__(self, server: peer_server.PeerServer) -> None:
        super().__init__(server)
        self.frame_count = 0

    def write(self, frame: bytes) -> None:
        """Counts a frame."""
        self.frame_count += 1


def build_server(
    connection_count: int,
) -> tuple[peer_server.PeerServer, list[RecordingConnection]]:
    """Builds a server with connections."""
    loop = asyncio.new_event_loop()
    server = peer_server.PeerServer(
        loop, None, CountingObserver(), body_budget.BodyBudget(1_000_000)
    )
    loop.close()
    connections = [RecordingConnection(server) for _ in range(connection_count)]
    for connection in connections:
        server.add(connection)
    return server, connections


class TestReports:
    """The number of reports per second does not grow with the connections."""

    def test_few_connections_get_every_report(self) -> None:
        server, connections = build_server(12)
        for _ in range(4):
            server.send_reports()
        assert [connection.frame_count for connection in connections] == [4] * 12
        assert server.report_interval_s == peer_server.REPORT_ROUND_INTERVAL_S

    def test_number_is_halved_only_beyond_the_full_round(self) -> None:
        """Deployments of 20 connections must be served as before."""
        full_count = peer_server.MAX_FULL_ROUND_COUNT
        server, connections = build_server(full_count)
        server.send_reports()
        assert {connection.frame_count for connection in connections} == {1}
        assert server.report_interval_s == peer_server.REPORT_ROUND_INTERVAL_S
        server, connections = build_server(full_count + 1)
        server.send_reports()
        counts = [connection.frame_count for connection in connections]
        assert sum(counts) == peer_server.REPORTS_PER_ROUND
        assert server.report_interval_s == 3 * peer_server.REPORT_ROUND_INTERVAL_S

    def test_many_connections_get_reports_in_turn(self) -> None:
        server, connections = build_server(195)
        rounds = round(server.report_interval_s / peer_server.REPORT_ROUND_INTERVAL_S)
        for _ in range(rounds):
            server.send_reports()
        counts = [connection.frame_count for connection in connections]
        assert sum(counts) == rounds * peer_server.REPORTS_PER_ROUND
        assert min(counts) == 1

    def test_node_of_a_former_version_gets_every_report(self) -> None:
        server, connections = build_server(195)
        connections[100].needs_every_report = True
        for _ in range(10):
            server.send_reports()
        assert connections[100].frame_count == 10

    def test_ended_connection_gets_none(self) -> None:
        server, connections = build_server(3)
        server.remove(connections[0])
        server.send_reports()
        assert [connection.frame_count for connection in connections] == [0, 1, 1]


class TestBroadcast:
    """A changed state goes to all at once."""

    def test_all_connections_get_it(self) -> None:
        server, connections = build_server(60)
        server.broadcast(frames.Cancel(1))
        assert {connection.frame_count for connection in connections} == {1}
