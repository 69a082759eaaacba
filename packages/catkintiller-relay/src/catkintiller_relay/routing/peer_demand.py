"""Sum of the demand that peers report.

Ten times as often as a peer reports, the node needs the sum over all peers. The sum is
kept, and only the reports that have changed since are subtracted and added. Demand is
in whole thousandths of a slot, so that the sum stays exact.
"""

from collections.abc import Mapping

SlotDemand = Mapping[tuple[str, int], int]


class DemandTotals:
    """Sum of the demand in the last reports of some peers, by service and rank."""

    def __init__(self) -> None:
        self._totals: dict[tuple[str, int], int] = {}
        self._reports: dict[str, SlotDemand] = {}

    @property
    def report_count(self) -> int:
        """Number of the reports in the sum."""
        return len(self._reports)

    @property
    def totals(self) -> SlotDemand:
        """Demand by service and rank, in thousandths of a slot, where it is not 0."""
        return self._totals

    def update(self, reports: dict[str, SlotDemand]) -> None:
        """Replaces the reports in the sum.

        :param reports: demand in the last report of each peer, by address. A report is
            never changed: a new one is another object.
        """
        previous_reports, self._reports = self._reports, reports
        for address, report in reports.items():
            previous = previous_reports.get(address)
            if report is not previous:
                if previous is not None:
                    self._add(previous, -1)
                self._add(report, 1)
        for address in previous_reports.keys() - reports.keys():
            self._add(previous_reports[address], -1)

    def _add(self, report: SlotDemand, sign: int) -> None:
        totals = self._totals
        for key, slots in report.items():
            if not slots:
                continue
            total = totals.get(key, 0) + sign * slots
            if total:
                totals[key] = total
            else:
                del totals[key]
