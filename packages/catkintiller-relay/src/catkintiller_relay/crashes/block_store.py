"""Keeps blocked requests in the store, for the case that all nodes restart at once."""

import time

from ..membership import node_record, store_watcher
from . import crash_history

KEPT_AFTER_END_S = 3600.0  # a further crash then blocks for longer


class BlockStore:
    """Blocks in the node records.

    The node whose endpoint crashed keeps the block in its record. All nodes read all
    records when they start.

    :param watcher: writes this node's record.
    :param history: suspects and blocked requests.
    """

    def __init__(
        self,
        watcher: store_watcher.StoreWatcher,
        history: crash_history.CrashHistory,
    ) -> None:
        self._watcher = watcher
        self._history = history

    def add(self, blocks: tuple[crash_history.BlockRecord, ...]) -> None:
        """Adds blocks that a crash of this node's endpoint has caused."""
        now_s = time.time()
        for block in blocks:
            ends_at_ms = int((now_s + block.remaining_s) * 1000)
            self._watcher.blocks.pop(block.fingerprint, None)
            self._watcher.blocks[block.fingerprint] = node_record.StoredBlock(
                block.fingerprint, ends_at_ms, block.count
            )
        self._drop_ended(now_s)
        self._watcher.schedule_write()

    def remove(self, fingerprint: bytes) -> None:
        """Removes the block of a request to which an endpoint has responded."""
        if self._watcher.blocks.pop(fingerprint, None) is not None:
            self._watcher.schedule_write()

    def load(self, now: float, record: node_record.NodeRecord, *, is_own: bool) -> None:
        """Loads the blocks in a node record.

        The clock may have been set since they were written, so a block never lasts
        longer than it did at first.

        :param now: time of the event loop in seconds.
        :param is_own: whether this node wrote the record before it restarted.
        """
        now_s = time.time()
        for block in record.blocks:
            remaining_s = block.ends_at_ms / 1000 - now_s
            if remaining_s < -KEPT_AFTER_END_S:
                continue
            duration_s = crash_history.get_block_duration_s(block.count)
            self._history.merge_block(
                now,
                crash_history.BlockRecord(
                    block.fingerprint, min(remaining_s, duration_s), block.count
                ),
            )
            if is_own:
                self._watcher.blocks.setdefault(block.fingerprint, block)

    def _drop_ended(self, now_s: float) -> None:
        kept_from_ms = (now_s - KEPT_AFTER_END_S) * 1000
        for fingerprint, block in list(self._watcher.blocks.items()):
            if block.ends_at_ms < kept_from_ms:
                del self._watcher.blocks[fingerprint]
