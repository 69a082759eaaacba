"""Tests that refusals are correct, responses complete and retries bounded."""

import asyncio
import random

from . import harness

DISCONNECT_COUNT = 25


class TestNotRun:
    """A request that is refused as not run was not executed."""

    @harness.run_async
    async def test_connections_closed_at_random(self) -> None:
        rng = random.Random(7)
        async with harness.run_deployment(proxied=True) as deployment:
            calls = [
                asyncio.ensure_future(send_delayed_lookup(rng.uniform(0, 3), node))
                for node in deployment.nodes
                for _ in range(30)
            ]
            for _ in range(DISCONNECT_COUNT):
                await asyncio.sleep(0.1)
                proxy = deployment.proxies[rng.choice(deployment.vms).name]
                await proxy.disconnect_all()
            responses = await asyncio.gather(*calls)
            refused = [response for response in responses if response.ran == "no"]
            for response in refused:
                assert harness.count_executions(deployment, "shop", response.trace) == 0
            assert any(response.is_success for response in responses)

    @harness.run_async
    async def test_unreachable_endpoint(self) -> None:
        async with harness.run_deployment() as deployment:
            for name in ("shop-1", "shop-2"):
                await deployment.kill(f"endpoint {name}")
            response = await harness.send_request(deployment.nodes[5], "shop/look")
            assert (response.is_success, response.ran) == (False, "no")
            assert harness.count_executions(deployment, "shop") == 0

    @harness.run_async
    async def test_refusal_by_the_endpoint_is_reported_as_not_run(self) -> None:
        async with harness.run_deployment() as deployment:
            for name in ("pay-1", "pay-2", "pay-3"):
                await deployment.set_endpoint_faults(name, refuse=1.0)
            ticket = await harness.request_ticket(deployment.nodes[0])
            response = await harness.send_charge(deployment.nodes[0], ticket)
            assert (response.reason, response.ran) == ("endpoint-refused", "no")
            assert harness.count_executions(deployment, "pay") == 0
            for name in ("pay-1", "pay-2", "pay-3"):
                await deployment.set_endpoint_faults(name, refuse=0.0)
            again = await harness.send_charge(deployment.nodes[1], ticket)
            assert harness.is_complete_charge(again, ticket)
            assert harness.count_executions(deployment, "pay") == 1

    @harness.run_async
    async def test_deadline_during_the_run_is_unknown(self) -> None:
        async with harness.run_deployment() as deployment:
            for name in ("shop-1", "shop-2"):
                await deployment.set_endpoint_faults(name, hang=1.0)
            node = deployment.nodes[0]
            response = await harness.send_request(node, "shop/look", deadline_ms=200)
            assert (response.status, response.ran) == (504, "unknown")


class TestCompleteResponses:
    """Each caller gets the complete response to its own request, or a refusal."""

    @harness.run_async
    async def test_truncated_responses_are_not_delivered(self) -> None:
        async with harness.run_deployment() as deployment:
            for name in ("shop-1", "shop-2"):
                await deployment.set_endpoint_faults(name, truncate=0.5)
            calls = [
                harness.send_request(n, "shop/look") for n in deployment.nodes * 10
            ]
            responses = await asyncio.gather(*calls)
            for response in responses:
                assert (
                    not response.is_success
                    or response.body == build_expected_response(response)
                )
                ran = harness.count_executions(deployment, "shop", response.trace) > 0
                assert not (ran and response.ran == "no")
            assert any(response.is_success for response in responses)

    @harness.run_async
    async def test_corrupted_messages_are_rejected(self) -> None:
        async with harness.run_deployment(proxied=True) as deployment:
            for proxy in deployment.proxies.values():
                proxy.set_content_processors(replace_newline, replace_newline)
            calls = [
                harness.send_request(n, "shop/look", deadline_ms=500)
                for n in deployment.nodes * 5
            ]
            responses = await asyncio.gather(*calls)
            for response in responses:
                assert (
                    not response.is_success
                    or response.body == build_expected_response(response)
                )
            rejected = 0
            for vm in deployment.vms:
                rejected += (await deployment.get_status(vm))["rejected_messages"]
            assert rejected > 0

    @harness.run_async
    async def test_late_responses_reach_no_other_caller(self) -> None:
        async with harness.run_deployment(proxied=True) as deployment:
            for proxy in deployment.proxies.values():
                delay = proxy.slowdown(0.15, 0.15)
                delay.__enter__()
            calls = [
                harness.send_request(n, "shop/look", deadline_ms=ms)
                for n in deployment.nodes
                for ms in (100, 200, 400, 1500, 2000)
            ]
            responses = await asyncio.gather(*calls)
            for response in responses:
                assert (
                    not response.is_success
                    or response.body == build_expected_response(response)
                )

    @harness.run_async
    async def test_large_bodies_are_refused(self) -> None:
        async with harness.run_deployment() as deployment:
            response = await harness.send_request(
                deployment.nodes[0], "shop/look", body=b"x" * 300 * 1024
            )
            assert (response.status, response.ran) == (413, "no")


class TestBoundedRetries:
    """One retry budget bounds the executions over the whole call chain."""

    @harness.run_async
    async def test_retries_for_a_failing_deep_service_are_bounded(self) -> None:
        async with harness.run_deployment() as deployment:
            for name in ("stock-1", "stock-2"):
                await deployment.set_endpoint_faults(name, truncate=1.0)
            traces = []
            for node in deployment.nodes * 4:
                response = await harness.send_request(node, "shop/look")
                assert not response.is_success
                traces.append(response.trace)
            for trace in traces:
                shop = harness.count_executions(deployment, "shop", trace)
                stock = harness.count_executions(deployment, "stock", trace)
                # The budget is two retries for the whole chain, at any hop.
                assert (shop - 1) + (stock - 1) <= 2
                assert shop >= 1

    @harness.run_async
    async def test_lost_response_is_retried_within_the_budget(self) -> None:
        async with harness.run_deployment() as deployment:
            await deployment.set_endpoint_faults("shop-1", truncate=1.0)
            calls = [harness.send_request(n, "shop/look") for n in deployment.nodes]
            responses = await asyncio.gather(*calls)
            assert all(response.is_success for response in responses)
            for response in responses:
                assert harness.count_executions(deployment, "shop", response.trace) <= 3


async def send_delayed_lookup(delay_s: float, node: str) -> harness.Response:
    """Sends a lookup after a delay."""
    await asyncio.sleep(delay_s)
    return await harness.send_request(node, "shop/look", deadline_ms=1000)


async def replace_newline(chunk: bytes) -> bytes:
    """Corrupts a response body in a chunk by replacing its first newline."""
    return chunk.replace(b"\n", b"!", 1) if len(chunk) > 300 else chunk


def build_expected_response(response: harness.Response) -> bytes:
    """Builds the body that the response to a lookup must have."""
    size = harness.RESPONSE_BYTES["shop"]
    return harness.endpoint.build_response(response.trace, "", size)
