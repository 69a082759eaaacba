"""Tests of at-most-once execution with real processes and injected faults.

The faults are killed and paused nodes, and a log service that fails.
"""

import asyncio
import signal

from . import harness


class TestTicket:
    """A ticket contains the only incarnation whose node may execute it."""

    @harness.run_async
    async def test_repeat_gets_the_first_response(self) -> None:
        async with harness.run_deployment() as deployment:
            ticket = await harness.request_ticket(deployment.nodes[0])
            first = await harness.send_charge(deployment.nodes[0], ticket)
            again = await harness.send_charge(deployment.nodes[1], ticket)
            assert harness.is_complete_charge(first, ticket)
            assert again.body == first.body
            assert harness.count_executions(deployment, "pay", key=ticket) == 1

    @harness.run_async
    async def test_simultaneous_repeats_share_one_execution(self) -> None:
        async with harness.run_deployment() as deployment:
            ticket = await harness.request_ticket(deployment.nodes[0])
            calls = [harness.send_charge(node, ticket) for node in deployment.nodes]
            responses = await asyncio.gather(*calls)
            assert all(response.is_success for response in responses)
            assert len({response.body for response in responses}) == 1
            assert harness.count_executions(deployment, "pay", key=ticket) == 1

    @harness.run_async
    async def test_other_body_is_refused(self) -> None:
        async with harness.run_deployment() as deployment:
            ticket = await harness.request_ticket(deployment.nodes[0])
            await harness.send_charge(deployment.nodes[0], ticket, body=b"one")
            other = await harness.send_charge(deployment.nodes[0], ticket, body=b"two")
            assert (other.status, other.ran) == (422, "no")
            assert harness.count_executions(deployment, "pay", key=ticket) == 1

    @harness.run_async
    async def test_killed_node_leaves_the_outcome_unknown(self) -> None:
        async with harness.run_deployment() as deployment:
            await slow_payments(deployment)
            ticket = await harness.request_ticket(deployment.nodes[0])
            owner = await harness.find_ticket_owner(deployment, ticket)
            others = [vm for vm in deployment.vms if vm.name != owner.name]
            node = f"127.0.0.1:{others[0].node_port}"
            first = asyncio.ensure_future(harness.send_charge(node, ticket))
            await harness.wait_for_executions(deployment, "pay")
            await deployment.kill(f"node {owner.name}")
            response = await first
            assert (response.is_success, response.ran) == (False, "unknown")
            await deployment.start_node(owner)
            for vm in others:
                again = await harness.send_charge(f"127.0.0.1:{vm.node_port}", ticket)
                assert (again.is_success, again.ran) == (False, "unknown")
            assert harness.count_executions(deployment, "pay", key=ticket) == 1

    @harness.run_async
    async def test_resumed_node_does_not_run_a_ticket_again(self) -> None:
        async with harness.run_deployment() as deployment:
            ticket = await harness.request_ticket(deployment.nodes[0])
            owner = await harness.find_ticket_owner(deployment, ticket)
            others = [vm for vm in deployment.vms if vm.name != owner.name]
            deployment.signal(f"node {owner.name}", signal.SIGSTOP)
            node = f"127.0.0.1:{others[0].node_port}"
            first = await harness.send_charge(node, ticket, deadline_ms=300)
            assert first.ran == "unknown"
            await wait_until_gone(deployment, others[0], owner.name)
            again = await harness.send_charge(node, ticket)
            assert again.ran == "unknown"
            deployment.signal(f"node {owner.name}", signal.SIGCONT)
            await deployment.wait_ready()
            last = await harness.send_charge(node, ticket)
            assert last.is_success or last.ran == "unknown"
            assert harness.count_executions(deployment, "pay", key=ticket) <= 1

    @harness.run_async
    async def test_draining_node_hands_over_an_unused_ticket(self) -> None:
        async with harness.run_deployment() as deployment:
            ticket = await harness.request_ticket(deployment.nodes[0])
            owner = await harness.find_ticket_owner(deployment, ticket)
            node = f"127.0.0.1:{owner.node_port}"
            await deployment.post_json(f"http://{node}/-/drain")
            responses = [await harness.send_charge(n, ticket) for n in deployment.nodes]
            assert harness.is_complete_charge(responses[0], ticket, responses[0].trace)
            assert len({response.body for response in responses}) == 1
            assert harness.count_executions(deployment, "pay", key=ticket) == 1

    @harness.run_async
    async def test_runs_while_the_log_is_down(self) -> None:
        async with harness.run_deployment() as deployment:
            await deployment.set_log_faults(mode="down")
            ticket = await harness.request_ticket(deployment.nodes[0])
            response = await harness.send_charge(deployment.nodes[3], ticket)
            assert harness.is_complete_charge(response, ticket)


class TestPlainKey:
    """A plain key belongs to the node with the first claim in the log."""

    @harness.run_async
    async def test_repeat_gets_the_first_response(self) -> None:
        async with harness.run_deployment() as deployment:
            first = await harness.send_charge(deployment.nodes[0], "order-1")
            again = await harness.send_charge(deployment.nodes[4], "order-1")
            assert harness.is_complete_charge(first, "order-1")
            assert again.body == first.body
            assert harness.count_executions(deployment, "pay", key="order-1") == 1

    @harness.run_async
    async def test_missing_key_is_refused(self) -> None:
        async with harness.run_deployment() as deployment:
            response = await harness.send_charge(deployment.nodes[0], "")
            assert (response.status, response.ran) == (400, "no")
            assert harness.count_executions(deployment, "pay") == 0

    @harness.run_async
    async def test_claim_is_kept_after_its_node_is_killed(self) -> None:
        async with harness.run_deployment() as deployment:
            keys = [f"order-{index}" for index in range(12)]
            for key in keys:
                response = await harness.send_charge(deployment.nodes[0], key)
                assert harness.is_complete_charge(response, key)
            killed_vm = deployment.get_vm("pay-1")
            await deployment.kill(f"node {killed_vm.name}")
            node = deployment.nodes[0]
            await wait_until_gone(deployment, deployment.vms[0], killed_vm.name)
            for key in keys:
                response = await harness.send_charge(node, key)
                assert response.is_success or response.ran == "unknown"
            execution_counts = [
                harness.count_executions(deployment, "pay", key=key) for key in keys
            ]
            assert execution_counts == [1] * len(keys)

    @harness.run_async
    async def test_claimed_key_that_did_not_run_is_handed_over(self) -> None:
        async with harness.run_deployment() as deployment:
            for name in ("pay-1", "pay-2", "pay-3"):
                await deployment.set_endpoint_faults(name, refuse=1.0)
            first = await harness.send_charge(deployment.nodes[0], "order-1")
            assert (first.reason, first.ran) == ("endpoint-refused", "no")
            owner = await find_claiming_vm(deployment)
            node = f"127.0.0.1:{owner.node_port}"
            await deployment.post_json(f"http://{node}/-/drain")
            for name in ("pay-1", "pay-2", "pay-3"):
                await deployment.set_endpoint_faults(name, refuse=0.0)
            # Other nodes read the claim, and the claiming node redirects them.
            responses = [
                await harness.send_charge(n, "order-1") for n in deployment.nodes
            ]
            assert all(response.is_success for response in responses), responses
            assert harness.count_executions(deployment, "pay", key="order-1") == 1

    @harness.run_async
    async def test_log_outage_refuses_without_running(self) -> None:
        async with harness.run_deployment() as deployment:
            await deployment.set_log_faults(mode="refusing")
            response = await harness.send_charge(deployment.nodes[0], "order-1")
            assert (response.ran, response.reason) == ("unknown", "log-unavailable")
            assert harness.count_executions(deployment, "pay") == 0
            await deployment.set_log_faults(mode="up")
            await wait_for_response(deployment.nodes[0], "order-1")
            assert harness.count_executions(deployment, "pay", key="order-1") == 1

    @harness.run_async
    async def test_lost_append_response_is_resolved_by_reading(self) -> None:
        async with harness.run_deployment() as deployment:
            await deployment.set_log_faults(lost_answers=1.0)
            response = await harness.send_charge(deployment.nodes[0], "order-1")
            assert harness.is_complete_charge(response, "order-1")
            again = await harness.send_charge(deployment.nodes[5], "order-1")
            assert again.body == response.body
            assert harness.count_executions(deployment, "pay", key="order-1") == 1


async def find_claiming_vm(deployment):
    """Returns the VM whose node has claimed a key."""
    for vm in deployment.vms:
        if (await deployment.get_status(vm))["claim_appends"]:
            return vm
    raise AssertionError("no node has appended a claim")


async def slow_payments(deployment) -> None:
    """Makes a charge take longer than killing a process does."""
    for name in ("pay-1", "pay-2", "pay-3"):
        await deployment.set_endpoint_faults(name, slow=50.0)


async def wait_until_gone(deployment, observer, name: str) -> None:
    """Waits until a node lists another node as gone or left, or not at all."""
    address = f"127.0.0.1:{deployment.get_vm(name).node_port}"

    async def is_gone() -> bool:
        members = await deployment.get_members(observer)
        states = [m["state"] for m in members if m["http"] == address]
        return all(state in ("gone", "left") for state in states)

    await harness.local_deployment.wait_until(is_gone, f"{name} is listed as gone")


async def wait_for_response(node: str, key: str) -> None:
    """Repeats a charge until it is answered."""

    async def is_answered() -> bool:
        return (await harness.send_charge(node, key)).is_success

    await harness.local_deployment.wait_until(is_answered, f"{key} is answered")
