"""Planned stops cut nothing and end new work within seconds."""

import asyncio
import time

from . import harness, load

NEW_WORK_BOUND_S = 3.0


class TestDrain:
    """A draining endpoint finishes what it has and gets nothing new."""

    @harness.run_async
    async def test_no_new_work_after_a_drain(self) -> None:
        async with harness.deployed() as running:
            slot = running.get_slot("shop-1")
            loading = asyncio.ensure_future(run_steady(running, 8.0))
            await harness.wait_started(running, "shop", 20)
            node = f"127.0.0.1:{slot.node_port}"
            await running.control(f"http://{node}/-/drain")
            await asyncio.sleep(NEW_WORK_BOUND_S)
            before = count_at(running, "shop-1")
            results = await loading
            assert count_at(running, "shop-1") == before
            assert all(result.outcome == "whole" for result in results)

    @harness.run_async
    async def test_new_work_ends_where_the_news_is_cut_off(self) -> None:
        async with harness.deployed(proxied=True) as running:
            observer = running.get_slot("pay-1")
            slot = running.get_slot("shop-1")
            # The observer can send calls but hears nothing of the drain.
            await harness.cut(running.proxies["pay-1"])
            await running.control(f"http://127.0.0.1:{slot.node_port}/-/drain")
            await asyncio.sleep(NEW_WORK_BOUND_S)
            before = count_at(running, "shop-1")
            node = f"127.0.0.1:{observer.node_port}"
            calls = [
                harness.call(node, "shop/look", deadline_ms=300) for _ in range(20)
            ]
            await asyncio.gather(*calls)
            assert count_at(running, "shop-1") == before

    @harness.run_async
    async def test_long_request_survives_the_stop_of_its_vm(self) -> None:
        async with harness.deployed() as running:
            for name in ("pay-1", "pay-2", "pay-3"):
                await running.control_endpoint(name, slow=60.0)
            ticket = await harness.draw_ticket(running.nodes[0])
            owner = await harness.find_owner(running, ticket)
            node = next(n for n in running.nodes if str(owner.node_port) not in n)
            first = asyncio.ensure_future(harness.charge(node, ticket))
            await harness.wait_started(running, "pay")
            began = time.monotonic()
            stops = [
                running.end(f"endpoint {owner.name}"),
                running.end(f"node {owner.name}"),
            ]
            reply, *_ = await asyncio.gather(first, *stops)
            assert harness.is_whole_charge(reply, ticket), reply
            assert time.monotonic() - began > 0.5


class TestReturn:
    """An endpoint that was away is used again."""

    @harness.run_async
    async def test_silent_endpoint_comes_back_on_its_address(self) -> None:
        async with harness.deployed() as running:
            slot = running.get_slot("shop-1")
            await running.kill(f"endpoint {slot.name}")
            await wait_accepting(running, slot, False)
            await running.start_endpoint(slot)
            await wait_accepting(running, slot, True)
            node = f"127.0.0.1:{slot.node_port}"
            replies = [await harness.call(node, "shop/look") for _ in range(10)]
            assert all(reply.is_whole for reply in replies)


class TestRollingReplacement:
    """Every VM is replaced under load and nothing is lost."""

    @harness.run_async
    async def test_nothing_is_lost(self) -> None:
        async with harness.deployed() as running:
            loading = asyncio.ensure_future(run_steady(running, 40.0))
            await harness.wait_started(running, "shop", 20)
            for slot in list(running.slots):
                await asyncio.gather(
                    running.end(f"endpoint {slot.name}"),
                    running.end(f"node {slot.name}"),
                )
                await running.start_slot(slot)
                await running.wait_ready()
            results = await loading
            lost = [r for r in results if r.outcome != "whole"]
            assert not lost, lost[:3]


async def run_steady(running, seconds: float) -> list[load.RootResult]:
    """Runs steady load."""
    return await running.run_load((load.Stage("steady", seconds, 1.0),))


def count_at(running, name: str) -> int:
    """Counts the executions at one endpoint."""
    lines = running.read_ledger()
    return sum(line["event"] == "start" and line["endpoint"] == name for line in lines)


async def wait_accepting(running, slot, accepting: bool) -> None:
    """Waits until a node takes new requests, or none."""

    async def is_so() -> bool:
        return (await running.get_status(slot))["accepting"] is accepting

    await harness.local_deployment.wait_until(is_so, f"accepting is {accepting}")
