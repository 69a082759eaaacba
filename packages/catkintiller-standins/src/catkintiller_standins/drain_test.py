"""Tests that planned stops complete running requests and soon get no new ones."""

import asyncio
import time

from . import harness, load

DRAIN_PROPAGATION_LIMIT_S = 3.0


class TestDrain:
    """A draining endpoint completes its requests and gets no new ones."""

    @harness.run_async
    async def test_no_new_work_after_a_drain(self) -> None:
        async with harness.run_deployment() as deployment:
            vm = deployment.get_vm("shop-1")
            load_task = asyncio.ensure_future(run_steady(deployment, 8.0))
            await harness.wait_for_executions(deployment, "shop", 20)
            node = f"127.0.0.1:{vm.node_port}"
            await deployment.post_json(f"http://{node}/-/drain")
            await asyncio.sleep(DRAIN_PROPAGATION_LIMIT_S)
            before = count_endpoint_executions(deployment, "shop-1")
            results = await load_task
            assert count_endpoint_executions(deployment, "shop-1") == before
            assert all(result.outcome == "whole" for result in results)

    @harness.run_async
    async def test_no_new_work_from_a_node_that_missed_the_drain(self) -> None:
        async with harness.run_deployment(proxied=True) as deployment:
            observer = deployment.get_vm("pay-1")
            vm = deployment.get_vm("shop-1")
            # The observer can send calls, but messages about the drain do not reach it.
            await harness.block_traffic(deployment.proxies["pay-1"])
            await deployment.post_json(f"http://127.0.0.1:{vm.node_port}/-/drain")
            await asyncio.sleep(DRAIN_PROPAGATION_LIMIT_S)
            before = count_endpoint_executions(deployment, "shop-1")
            node = f"127.0.0.1:{observer.node_port}"
            calls = [
                harness.send_request(node, "shop/look", deadline_ms=300)
                for _ in range(20)
            ]
            await asyncio.gather(*calls)
            assert count_endpoint_executions(deployment, "shop-1") == before

    @harness.run_async
    async def test_long_request_completes_while_its_vm_stops(self) -> None:
        async with harness.run_deployment() as deployment:
            for name in ("pay-1", "pay-2", "pay-3"):
                await deployment.set_endpoint_faults(name, slow=60.0)
            ticket = await harness.request_ticket(deployment.nodes[0])
            owner = await harness.find_ticket_owner(deployment, ticket)
            node = next(n for n in deployment.nodes if str(owner.node_port) not in n)
            first = asyncio.ensure_future(harness.send_charge(node, ticket))
            await harness.wait_for_executions(deployment, "pay")
            started_at_s = time.monotonic()
            stops = [
                deployment.terminate(f"endpoint {owner.name}"),
                deployment.terminate(f"node {owner.name}"),
            ]
            response, *_ = await asyncio.gather(first, *stops)
            assert harness.is_complete_charge(response, ticket), response
            assert time.monotonic() - started_at_s > 0.5


class TestEndpointRestart:
    """An endpoint that was killed gets requests again after its restart."""

    @harness.run_async
    async def test_killed_endpoint_is_used_again_after_its_restart(self) -> None:
        async with harness.run_deployment() as deployment:
            vm = deployment.get_vm("shop-1")
            await deployment.kill(f"endpoint {vm.name}")
            await wait_accepting(deployment, vm, False)
            await deployment.start_endpoint(vm)
            await wait_accepting(deployment, vm, True)
            node = f"127.0.0.1:{vm.node_port}"
            responses = [
                await harness.send_request(node, "shop/look") for _ in range(10)
            ]
            assert all(response.is_success for response in responses)


class TestRollingReplacement:
    """Every VM is replaced under load without a lost request."""

    @harness.run_async
    async def test_nothing_is_lost(self) -> None:
        async with harness.run_deployment() as deployment:
            load_task = asyncio.ensure_future(run_steady(deployment, 40.0))
            await harness.wait_for_executions(deployment, "shop", 20)
            for vm in list(deployment.vms):
                await asyncio.gather(
                    deployment.terminate(f"endpoint {vm.name}"),
                    deployment.terminate(f"node {vm.name}"),
                )
                await deployment.start_vm(vm)
                await deployment.wait_ready()
            results = await load_task
            lost = [r for r in results if r.outcome != "whole"]
            assert not lost, lost[:3]


async def run_steady(deployment, seconds: float) -> list[load.RootResult]:
    """Runs the load at the steady rate and returns the results."""
    return await deployment.run_load((load.Stage("steady", seconds, 1.0),))


def count_endpoint_executions(deployment, name: str) -> int:
    """Counts the executions that one endpoint recorded."""
    records = deployment.read_ledger()
    return sum(
        record["event"] == "start" and record["endpoint"] == name for record in records
    )


async def wait_accepting(deployment, vm, accepting: bool) -> None:
    """Waits until a node reports the given ``accepting`` state."""

    async def has_state() -> bool:
        return (await deployment.get_status(vm))["accepting"] is accepting

    await harness.local_deployment.wait_until(has_state, f"accepting is {accepting}")
