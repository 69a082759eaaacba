"""Sum of the demand that peers report.

Ten times as often as a peer reports, the node needs the sum over all peers. The sum is
kept, and only the reports that have changed since are subtracted and added. Demand is
in whole thousandths of a slot, so that the sum stays exact.
"""

from collections.abc import Mapping

SlotDemand = Mapping[tuple[str, int], int]
NO_DEMAND: SlotDemand = {}


class PeerDemand:
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
                self._replace(previous or NO_DEMAND, report)
        for address in previous_reports.keys() - reports.keys():
            self._replace(previous_reports[address], NO_DEMAND)

    def _replace(self, previous: SlotDemand, report: SlotDemand) -> None:
        totals = self._totals
        for key, slots in report.items():
            previous_slots = previous.get(key, 0)
            if slots != previous_slots:
                total = totals.get(key, 0) + slots - previous_slots
                if total:
                    totals[key] = total
                else:
                    del totals[key]
        if previous.keys() != report.keys():
            remaining = dict.fromkeys(previous.keys() - report.keys(), 0)
            self._replace({key: previous[key] for key in remaining}, remaining)
