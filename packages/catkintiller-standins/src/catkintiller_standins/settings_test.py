"""Tests that settings are ordered, applied at all nodes, and kept during outages."""

import asyncio
import os

from catkintiller import data
from catkintiller_operator import settings_log

from . import harness


class TestCommit:
    """A commit is applied at every node, or its author gets the reason."""

    @harness.run_async
    async def test_commit_is_applied_at_every_node(self) -> None:
        async with harness.run_deployment() as deployment:
            await commit(deployment, "[root]\nretries = 1\n")
            await wait_offset(deployment, 2)

    @harness.run_async
    async def test_concurrent_commits_of_operators(self) -> None:
        async with harness.run_deployment() as deployment:
            state = await asyncio.to_thread(settings_log.load_state, deployment.log_url)
            commits = [
                settings_log.build_commit(
                    state,
                    (data.Change("service/shop", "slots", str(number)),),
                    f"operator-{number}",
                    "race",
                )
                for number in range(10, 18)
            ]
            submitted = await asyncio.gather(
                *(
                    asyncio.to_thread(
                        settings_log.submit_commit, deployment.log_url, commit
                    )
                    for commit in commits
                )
            )
            kinds = [submission.outcome.kind for submission in submitted]
            assert kinds.count(data.OutcomeKind.ACCEPTED) == 1
            assert kinds.count(data.OutcomeKind.CONFLICT) == 7
            winner = submitted[kinds.index(data.OutcomeKind.ACCEPTED)].outcome
            for submission in submitted:
                for item in submission.outcome.conflicts:
                    assert item.path == "service/shop"
                    assert item.winner == winner.commit.commit_id
            await wait_offset(deployment, 9)
            shown = await run_operator_command(
                deployment, "settings", "show", "service/shop"
            )
            assert f"slots = {winner.commit.changes[0].value}" in shown.text

    @harness.run_async
    async def test_lost_acknowledgement_is_read_back(self) -> None:
        async with harness.run_deployment() as deployment:
            await deployment.set_log_faults(lost_answers=1.0)
            assert await try_commit(deployment, "[root]\nretries = 1\n") == 0
            listed = await run_operator_command(deployment, "settings", "log")
            assert listed.text.count("accepted") == 2

    @harness.run_async
    async def test_invalid_file_reports_every_problem(self) -> None:
        async with harness.run_deployment() as deployment:
            text = "[root]\nretries = many\nslotz = 3\n[elsewhere]\nslots = 1\n"
            result = await run_operator_command(
                deployment, "settings", "check", write_settings_file(deployment, text)
            )
            assert result.status == 2
            for part in (":2:", ":3:", ":5:", "retries", "slotz", "elsewhere"):
                assert part in result.text
            assert await try_commit(deployment, text) == 2

    @harness.run_async
    async def test_revert_restores_the_values(self) -> None:
        async with harness.run_deployment() as deployment:
            await commit(deployment, "[service/shop]\nslots = 5\n")
            listed = await run_operator_command(deployment, "settings", "log")
            commit_id = listed.text.splitlines()[-1].split()[1]
            result = await run_operator_command(
                deployment, "settings", "revert", commit_id
            )
            assert result.status == 0
            shown = await run_operator_command(
                deployment, "settings", "explain", "service/shop"
            )
            slots = [ln for ln in shown.text.splitlines() if ln.startswith("slots")]
            assert slots[0].split()[1:3] == ["64", "default"]

    @harness.run_async
    async def test_malformed_record_is_skipped(self) -> None:
        async with harness.run_deployment() as deployment:
            url = f"{deployment.log_url}/streams/settings"
            await deployment.post_json(url, nonsense=True)
            await wait_offset(deployment, 2)
            for vm in deployment.vms:
                assert (await deployment.get_status(vm))["settings_skipped"] == 1
            assert (
                await harness.send_request(deployment.nodes[0], "shop/look")
            ).is_success


class TestLogOutage:
    """Nodes keep working with the last settings during an outage of the log."""

    @harness.run_async
    async def test_node_starts_from_its_peers(self) -> None:
        async with harness.run_deployment() as deployment:
            await commit(deployment, "[root]\nretries = 1\n")
            await wait_offset(deployment, 2)
            await deployment.set_log_faults(mode="down")
            vm = deployment.get_vm("shop-1")
            await deployment.kill(f"node {vm.name}")
            await deployment.start_node(vm)
            await wait_offset(deployment, 2)
            node = f"127.0.0.1:{vm.node_port}"
            assert (await harness.send_request(node, "shop/look")).is_success

    @harness.run_async
    async def test_commit_is_refused_and_later_accepted(self) -> None:
        async with harness.run_deployment() as deployment:
            await deployment.set_log_faults(mode="refusing")
            assert await try_commit(deployment, "[root]\nretries = 1\n") == 4
            await deployment.set_log_faults(mode="up")
            await commit(deployment, "[root]\nretries = 1\n")
            await wait_offset(deployment, 2)

    @harness.run_async
    async def test_state_is_kept_beyond_the_retention(self) -> None:
        async with harness.run_deployment() as deployment:
            await deployment.set_log_faults(kept_records=4)
            for number in range(1, 13):
                await commit_until_accepted(
                    deployment, f"[service/shop]\nslots = {number}\n"
                )
            await commit_until_accepted(deployment, "[service/pay]\nslots = 7\n")
            shown = await run_operator_command(deployment, "settings", "show")
            assert "slots = 12" in shown.text
            assert "slots = 7" in shown.text
            assert "match = POST /charge" in shown.text


class TestNoRollback:
    """An older state never replaces a newer one."""

    @harness.run_async
    async def test_reconnected_nodes_keep_the_newer_settings(self) -> None:
        async with harness.run_deployment(proxied=True) as deployment:
            await deployment.set_log_faults(mode="down")
            for name in ("shop-1", "pay-1"):
                await harness.block_traffic(deployment.proxies[name])
            await deployment.set_log_faults(mode="up")
            offsets_task = asyncio.ensure_future(record_offsets(deployment, 6.0))
            await commit(deployment, "[root]\nretries = 1\n")
            await commit(deployment, "[root]\nretries = 0\n")
            await asyncio.sleep(2.0)
            for proxy in deployment.proxies.values():
                await harness.restore_traffic(proxy)
            await wait_offset(deployment, 3)
            for offsets in await offsets_task:
                assert offsets == sorted(offsets)


class CommandResult(harness.NamedTuple):
    """Exit status and output of an operator's command."""

    status: int
    text: str


async def run_operator_command(deployment, *arguments: str) -> CommandResult:
    """Runs an operator's command as a process."""
    environment = {
        **os.environ,
        "CATKINTILLER_LOG": deployment.log_url,
        "CATKINTILLER_NODE": deployment.nodes[0],
        "LOGNAME": "tester",
    }
    process = await asyncio.create_subprocess_exec(
        harness.local_deployment.sys.executable,
        "-m",
        "catkintiller_operator.main",
        *arguments,
        env=environment,
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return CommandResult(process.returncode, output.decode())


def write_settings_file(deployment, text: str) -> str:
    """Writes a settings file and returns its path."""
    file = os.path.join(deployment.folder, f"change-{abs(hash(text))}.ini")
    with open(file, "w", encoding="utf-8") as stream:
        stream.write(text)
    return file


async def try_commit(deployment, text: str) -> int:
    """Commits a settings text and returns the exit status of the command."""
    file = write_settings_file(deployment, text)
    result = await run_operator_command(
        deployment, "settings", "commit", file, "--message", "test"
    )
    return result.status


async def commit(deployment, text: str) -> None:
    """Commits a settings text and asserts that it is accepted."""
    assert await try_commit(deployment, text) == 0


async def commit_until_accepted(deployment, text: str) -> None:
    """Repeats the commit of a settings text until it is accepted."""

    async def is_accepted() -> bool:
        return await try_commit(deployment, text) == 0

    await harness.local_deployment.wait_until(is_accepted, "the commit is accepted")


async def wait_offset(deployment, offset: int) -> None:
    """Waits until every node has applied the settings up to an offset."""

    async def is_applied() -> bool:
        for vm in deployment.vms:
            if (await deployment.get_status(vm))["settings_offset"] < offset:
                return False
        return True

    await harness.local_deployment.wait_until(
        is_applied, f"every node applies offset {offset}"
    )


async def record_offsets(deployment, seconds: float) -> list[list[int]]:
    """Records the settings offsets of each node for a number of seconds."""
    offsets_by_vm: list[list[int]] = [[] for _ in deployment.vms]
    for _ in range(int(seconds / 0.1)):
        for index, vm in enumerate(deployment.vms):
            offsets_by_vm[index].append(
                (await deployment.get_status(vm))["settings_offset"]
            )
        await asyncio.sleep(0.1)
    return offsets_by_vm
