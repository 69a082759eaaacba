"""Tests that load shedding refuses requests of low priority first."""

from . import harness, load

SHEDDING_REASONS = {"overloaded", "chain-overloaded", "shed-at-arrival"}


class TestSheddingOrder:
    """Lookups are shed before charges."""

    @harness.run_async
    async def test_lookups_are_shed_before_charges(self) -> None:
        async with harness.run_deployment() as deployment:
            for name in ("stock-1", "stock-2"):
                await deployment.set_endpoint_faults(name, slow=12.0)
            results = await deployment.run_load((load.Stage("surge", 8.0, 3.0),))
            shed = {"look": 0, "charge": 0}
            for result in results:
                shed[result.kind] += result.reason in SHEDDING_REASONS
            assert shed["look"] > 0
            assert shed["charge"] == 0
