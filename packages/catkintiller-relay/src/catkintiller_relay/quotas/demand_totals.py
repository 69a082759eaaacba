"""Interface of the coordinator's sums of demand over all nodes.

Demand is sent in the messages about quotas: each entry has a service, a rank, the name
of a customer and its slots in thousandths.
"""

import abc

DemandEntry = tuple[str, int, str, int]


class DemandTotals(abc.ABC):
    """Sums of the demand that nodes report to the coordinator."""

    @abc.abstractmethod
    def record(self, sender: str, entries: list[DemandEntry], now: float) -> None:
        """Replaces the demand that a node reported before.

        :param sender: address of the node.
        :param now: time in seconds.
        """

    @abc.abstractmethod
    def get_totals(self, now: float) -> list[DemandEntry]:
        """Returns the sums for a reply.

        :param now: time in seconds.
        """


class NoDemandTotals(DemandTotals):
    """Keeps nothing."""

    def record(self, sender: str, entries: list[DemandEntry], now: float) -> None:
        """Does nothing."""

    def get_totals(self, now: float) -> list[DemandEntry]:
        """Returns nothing."""
        return []
