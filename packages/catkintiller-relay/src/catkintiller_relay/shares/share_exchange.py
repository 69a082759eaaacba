"""Connects the demand of a node to the messages about quotas."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from ..quotas import demand_totals, quota_client, quota_sync
from . import demand_sums, demand_table


class Hooks(NamedTuple):
    """Last parameters of :class:`.quota_sync.QuotaSync`, in their order."""

    get_demand: quota_client.GetDemand
    apply_totals: quota_sync.ApplyTotals
    totals: demand_totals.DemandTotals
    has_demand: Callable[[], bool]


def build_hooks(
    loop: asyncio.AbstractEventLoop, get_table: Callable[[], demand_table.DemandTable]
) -> Hooks:
    """Builds the hooks of a node.

    :param get_table: returns the demand by customer; called after the start only.
    """

    def apply_totals(totals: list[demand_totals.DemandEntry]) -> None:
        get_table().apply_totals(totals, loop.time())

    return Hooks(
        lambda: get_table().get_report(demand_table.REPORTED_COUNT),
        apply_totals,
        demand_sums.DemandSums(),
        lambda: get_table().has_demand,
    )
