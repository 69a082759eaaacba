"""Counts the calls to the store, and notices when it is unreachable or was restored."""

import collections
from collections.abc import Callable

from .. import data, interfaces
from ..telemetry import events

RestoreHandler = Callable[[], None]


class StoreCalls:
    """Calls of this node to the store.

    :ivar counts: number of calls by kind and result, for the metrics.
    """

    def __init__(self, store: interfaces.Store, log: events.EventLog) -> None:
        self._store = store
        self._log = log
        self._is_unreachable = False
        self._restore_count: int | None = None
        self._restore_handlers: list[RestoreHandler] = []
        self.counts: collections.Counter[tuple[str, str]] = collections.Counter()

    @property
    def restore_count(self) -> int:
        """How often the store has been restored; 0 if that is not known."""
        return self._restore_count or 0

    def add_restore_handler(self, handler: RestoreHandler) -> None:
        """Adds a function that is called when the store is known to be restored."""
        self._restore_handlers.append(handler)

    def record_success(self, kind: str) -> None:
        """Counts a call that succeeded; logs if the store was unreachable before."""
        self.counts[kind, "ok"] += 1
        self.check_restore()
        if self._is_unreachable:
            self._is_unreachable = False
            self._log.write("store", "Store is reachable again.", call=kind)

    def record_failure(
        self, kind: str, error: data.StoreError, duration_s: float
    ) -> None:
        """Counts a call that failed; logs if the store was reachable before.

        :param duration_s: time since the call began, in seconds.
        """
        self.counts[kind, error.reason] += 1
        self.check_restore()
        if not self._is_unreachable:
            self._is_unreachable = True
            self._log.write(
                "store",
                "Store call failed.",
                why=error.reason,
                call=kind,
                seconds=round(duration_s, 3),
            )

    def check_restore(self) -> None:
        """Handles the number of restores that the last response named."""
        count = self._store.restore_count
        if count is not None:
            self.handle_restore_count(count)

    def handle_restore_count(self, count: int) -> None:
        """Calls the handlers if the store was restored since the last call.

        What was read from the former store and written to it is of no use any more.

        :param count: how often the store has been restored, also as a peer knows it.
        """
        previous = self._restore_count
        if previous is not None and count <= previous:
            return
        self._restore_count = count
        if previous is None:
            return
        self._log.write("store", "Store was restored from a copy.", restores=count)
        for handler in self._restore_handlers:
            handler()
