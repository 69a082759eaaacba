"""Keeps the call graph up to date with the edges counted here and at other nodes."""

from ..membership import store_watcher
from ..telemetry import events
from . import call_graph

CHANGE_RATIO = 0.1  # change of an edge's calls from which the edges are sent again


class EdgeSync:
    """Edges of the call graph that this node sends to its peers and gets from them.

    :param watcher: keeps the edges counted here in the store.
    :ivar published: edges that the node state contains.
    """

    def __init__(
        self,
        graph: call_graph.CallGraph,
        watcher: store_watcher.StoreWatcher,
        log: events.EventLog,
    ) -> None:
        self._graph = graph
        self._store_watcher = watcher
        self._log = log
        self.published: tuple[call_graph.Edge, ...] = ()

    def merge(self, edges: list[call_graph.Edge]) -> None:
        """Adds edges to the call graph and logs the new ones."""
        for new_edge in self._graph.merge_edges(edges):
            self._log.write(
                "chain", "Edge added to the call graph.", **new_edge._asdict()
            )

    def refresh(self) -> None:
        """Updates the edges counted here; they are sent if one has changed enough."""
        edges = self._graph.get_local_edges()
        self._store_watcher.local_edges = tuple(edges)
        published_calls = {edge[:3]: edge.calls for edge in self.published}
        if any(
            abs(published_calls.get(edge[:3], 0.0) - edge.calls)
            > CHANGE_RATIO * edge.calls
            for edge in edges
        ):
            self.merge(edges)
            self.published = tuple(edges)
