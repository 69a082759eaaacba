"""Refusals tell the truth, answers are whole, retries are bounded."""

import asyncio
import random

from . import harness

PROXY_FAULTS = 25


class TestDidNotRun:
    """What is refused as not run did not run."""

    @harness.run_async
    async def test_connections_cut_at_random(self) -> None:
        rng = random.Random(7)
        async with harness.deployed(proxied=True) as running:
            calls = [
                asyncio.ensure_future(look_later(rng.uniform(0, 3), node))
                for node in running.nodes
                for _ in range(30)
            ]
            for _ in range(PROXY_FAULTS):
                await asyncio.sleep(0.1)
                proxy = running.proxies[rng.choice(running.slots).name]
                await proxy.disconnect_all()
            replies = await asyncio.gather(*calls)
            refused = [reply for reply in replies if reply.ran == "no"]
            for reply in refused:
                assert harness.count_runs(running, "shop", reply.trace) == 0
            assert any(reply.is_whole for reply in replies)

    @harness.run_async
    async def test_unreachable_endpoint(self) -> None:
        async with harness.deployed() as running:
            for name in ("shop-1", "shop-2"):
                await running.kill(f"endpoint {name}")
            reply = await harness.call(running.nodes[5], "shop/look")
            assert (reply.is_whole, reply.ran) == (False, "no")
            assert harness.count_runs(running, "shop") == 0

    @harness.run_async
    async def test_endpoint_refuses_by_itself(self) -> None:
        async with harness.deployed() as running:
            for name in ("pay-1", "pay-2", "pay-3"):
                await running.control_endpoint(name, refuse=1.0)
            ticket = await harness.draw_ticket(running.nodes[0])
            reply = await harness.charge(running.nodes[0], ticket)
            assert (reply.reason, reply.ran) == ("endpoint-refused", "no")
            assert harness.count_runs(running, "pay") == 0
            for name in ("pay-1", "pay-2", "pay-3"):
                await running.control_endpoint(name, refuse=0.0)
            again = await harness.charge(running.nodes[1], ticket)
            assert harness.is_whole_charge(again, ticket)
            assert harness.count_runs(running, "pay") == 1

    @harness.run_async
    async def test_deadline_during_the_run_is_unknown(self) -> None:
        async with harness.deployed() as running:
            for name in ("shop-1", "shop-2"):
                await running.control_endpoint(name, hang=1.0)
            node = running.nodes[0]
            reply = await harness.call(node, "shop/look", deadline_ms=200)
            assert (reply.status, reply.ran) == (504, "unknown")


class TestWholeAnswers:
    """Each caller gets its own whole answer, or a refusal."""

    @harness.run_async
    async def test_truncated_answers_never_pass(self) -> None:
        async with harness.deployed() as running:
            for name in ("shop-1", "shop-2"):
                await running.control_endpoint(name, truncate=0.5)
            calls = [harness.call(n, "shop/look") for n in running.nodes * 10]
            replies = await asyncio.gather(*calls)
            for reply in replies:
                assert not reply.is_whole or reply.body == own_body(reply)
                ran = harness.count_runs(running, "shop", reply.trace) > 0
                assert not (ran and reply.ran == "no")
            assert any(reply.is_whole for reply in replies)

    @harness.run_async
    async def test_damaged_messages_never_pass(self) -> None:
        async with harness.deployed(proxied=True) as running:
            for proxy in running.proxies.values():
                proxy.set_content_processors(swap_letters, swap_letters)
            calls = [
                harness.call(n, "shop/look", deadline_ms=500) for n in running.nodes * 5
            ]
            replies = await asyncio.gather(*calls)
            for reply in replies:
                assert not reply.is_whole or reply.body == own_body(reply)
            rejected = 0
            for slot in running.slots:
                rejected += (await running.get_status(slot))["rejected_messages"]
            assert rejected > 0

    @harness.run_async
    async def test_late_answers_reach_nobody_else(self) -> None:
        async with harness.deployed(proxied=True) as running:
            for proxy in running.proxies.values():
                delay = proxy.slowdown(0.15, 0.15)
                delay.__enter__()
            calls = [
                harness.call(n, "shop/look", deadline_ms=ms)
                for n in running.nodes
                for ms in (100, 200, 400, 1500, 2000)
            ]
            replies = await asyncio.gather(*calls)
            for reply in replies:
                assert not reply.is_whole or reply.body == own_body(reply)

    @harness.run_async
    async def test_large_bodies_are_refused(self) -> None:
        async with harness.deployed() as running:
            reply = await harness.call(
                running.nodes[0], "shop/look", body=b"x" * 300 * 1024
            )
            assert (reply.status, reply.ran) == (413, "no")


class TestBoundedRetries:
    """One budget bounds the executions over the whole chain."""

    @harness.run_async
    async def test_failing_deep_service(self) -> None:
        async with harness.deployed() as running:
            for name in ("stock-1", "stock-2"):
                await running.control_endpoint(name, truncate=1.0)
            traces = []
            for node in running.nodes * 4:
                reply = await harness.call(node, "shop/look")
                assert not reply.is_whole
                traces.append(reply.trace)
            for trace in traces:
                shop = harness.count_runs(running, "shop", trace)
                stock = harness.count_runs(running, "stock", trace)
                # Two retries for the whole chain, wherever they are spent.
                assert (shop - 1) + (stock - 1) <= 2
                assert shop >= 1

    @harness.run_async
    async def test_lost_answer_is_retried_within_the_budget(self) -> None:
        async with harness.deployed() as running:
            await running.control_endpoint("shop-1", truncate=1.0)
            calls = [harness.call(n, "shop/look") for n in running.nodes]
            replies = await asyncio.gather(*calls)
            assert all(reply.is_whole for reply in replies)
            for reply in replies:
                assert harness.count_runs(running, "shop", reply.trace) <= 3


async def look_later(delay_s: float, node: str) -> harness.Reply:
    """Sends a lookup after a while."""
    await asyncio.sleep(delay_s)
    return await harness.call(node, "shop/look", deadline_ms=1000)


async def swap_letters(chunk: bytes) -> bytes:
    """Damages the answer bodies that pass in a chunk."""
    return chunk.replace(b"\n", b"!", 1) if len(chunk) > 300 else chunk


def own_body(reply: harness.Reply) -> bytes:
    """Gets the body that belongs to a reply."""
    size = harness.ANSWER_BYTES["shop"]
    return harness.endpoint.make_body(reply.trace, "", size)
