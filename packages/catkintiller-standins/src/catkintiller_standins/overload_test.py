"""Under overload, the less important work is shed first."""

from . import harness, load

LEVEL_REASONS = {"overloaded", "chain-overloaded", "shed-at-arrival"}


class TestSheddingOrder:
    """Charges are served while lookups are shed."""

    @harness.run_async
    async def test_lookups_are_shed_before_charges(self) -> None:
        async with harness.deployed() as running:
            for name in ("stock-1", "stock-2"):
                await running.control_endpoint(name, slow=12.0)
            results = await running.run_load((load.Stage("surge", 8.0, 3.0),))
            shed = {"look": 0, "charge": 0}
            for result in results:
                shed[result.kind] += result.reason in LEVEL_REASONS
            assert shed["look"] > 0
            assert shed["charge"] == 0
