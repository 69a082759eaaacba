"""The coordinator's sums of the demand of all nodes, by service, rank and customer.

A sum is kept and only the reports that have changed are subtracted and added. Demand is
in whole thousandths of a slot, so that the sums stay exact.
"""

from typing import NamedTuple

from ..quotas import demand_totals
from . import demand_table

# A node reports every 0.36 s; the reports of a node that was lost count until this age.
REPORT_KEPT_S = 1.0
MAX_RANK_COUNT = 8  # services and ranks in one reply, those with most demand first
REPLY_KEPT_S = 0.1  # time for which the same reply is sent to all nodes
TotalsByCustomer = dict[str, int]


class _Report(NamedTuple):
    received_at: float
    entries: list[demand_totals.DemandEntry]


class DemandSums(demand_totals.DemandTotals):
    """Sums of the last reports of all nodes."""

    def __init__(self) -> None:
        self._reports: dict[str, _Report] = {}
        self._sums: dict[demand_table.Key, TotalsByCustomer] = {}
        self._reply: list[demand_totals.DemandEntry] = []
        self._reply_built_at = float("-inf")

    def record(
        self, sender: str, entries: list[demand_totals.DemandEntry], now: float
    ) -> None:
        """Replaces the demand of a node; a message without demand changes nothing."""
        if not entries:
            return
        previous = self._reports.get(sender)
        if previous is not None:
            self._add(previous.entries, -1)
        self._reports[sender] = _Report(now, entries)
        self._add(entries, 1)

    def get_totals(self, now: float) -> list[demand_totals.DemandEntry]:
        """Returns the sums of the largest customers of each limited rank."""
        if now - self._reply_built_at >= REPLY_KEPT_S:
            self._reply_built_at = now
            self._drop_expired(now)
            self._reply = self._build_reply()
        return self._reply

    def _build_reply(self) -> list[demand_totals.DemandEntry]:
        largest = sorted(
            self._sums.items(), key=lambda item: sum(item[1].values()), reverse=True
        )
        reply = []
        for (service, rank), totals in largest[:MAX_RANK_COUNT]:
            demands = [
                (total / demand_table.SLOT_SCALE, service, rank, name)
                for name, total in totals.items()
            ]
            reply += demand_table.build_entries(demands, demand_table.REPORTED_COUNT)
        return reply

    def _drop_expired(self, now: float) -> None:
        for sender, report in list(self._reports.items()):
            if now - report.received_at > REPORT_KEPT_S:
                self._add(report.entries, -1)
                del self._reports[sender]

    def _add(self, entries: list[demand_totals.DemandEntry], sign: int) -> None:
        for service, rank, customer, slots in entries:
            key = (service, rank)
            totals = self._sums.setdefault(key, {})
            total = totals.get(customer, 0) + sign * slots
            if total:
                totals[customer] = total
            else:
                totals.pop(customer, None)
            if not totals:
                del self._sums[key]
