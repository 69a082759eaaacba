"""Measures how the costs of a node grow, to extrapolate to the required size.

Run with ``make capacity``. The logic without input and output is measured at the
full size, real processes at as many nodes as one machine runs. The results are
printed as Markdown tables.
"""

import asyncio
import gc
import os
import random
import statistics
import tempfile
import time
import tracemalloc
from typing import NamedTuple

import defopt
import uvloop
from catkintiller import data, fold, membership, tree, wire

from . import deployment_spec, local_deployment

MEMBER_COUNTS = (1_000, 5_000, 25_000)
LEAF_COUNTS = (1_000, 5_000, 25_000)
NODE_COUNTS = (20, 60, 120)
PERIOD_COUNT = 200
COMMIT_COUNT = 50
IDLE_S = 10.0
PROPAGATION_COUNT = 5
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class MemberCost(NamedTuple):
    """Costs of a membership table of a number of members."""

    members: int
    megabytes: float
    cpu_ms_per_s: float
    sent_bytes_per_s: float


class TreeCost(NamedTuple):
    """Costs of a settings tree of a number of leaves."""

    leaves: int
    megabytes: float
    fold_ms: float
    build_ms: float
    snapshot_kb: float
    commit_bytes: float
    recover_ms: float


class DeploymentCost(NamedTuple):
    """Costs of one node in a deployment of a number of real nodes, without calls.

    :param median_s: median time until a commit is applied at every node.
    :param worst_s: longest such time.
    """

    nodes: int
    rss_mb: float
    cpu_share: float
    sent_bytes_per_s: float
    median_s: float
    worst_s: float


class CallCost(NamedTuple):
    """Processor time of the nodes at a rate of root requests per second."""

    rate: float
    node_calls_per_s: float
    cpu_ms_per_call: float


def build_member(index: int) -> data.Member:
    """Builds a member of a deployment of the required shape.

    The required shape has 11 regions, 24 zones and 650 services.
    """
    address = f"10.{index >> 16}.{index >> 8 & 255}.{index & 255}:7001"
    return data.Member(
        f"{index:016x}",
        address,
        address,
        f"region-{index % 11}",
        f"zone-{index % 24}",
        f"service-{index % 650}",
        f"endpoint-{index}",
        data.MemberState.ALIVE,
        3,
        True,
    )


def measure_members(count: int) -> MemberCost:
    """Measures a membership table with one sent and one received probe per period."""
    codec = wire.Codec(b"k" * 32)
    gc.collect()
    tracemalloc.start()
    table = membership.Membership(build_member(0), [], random.Random(1))
    peers = [build_member(index) for index in range(1, count)]
    table.handle_message(0.0, data.MembersPage(peers[0], tuple(peers)), 0)
    megabytes = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    table.pop_transitions()
    table.get_accepting_members("service-1")
    sent_bytes = 0
    started = time.process_time()
    for period in range(PERIOD_COUNT):
        now = period * membership.PROBE_PERIOD_S
        for outgoing in table.tick(now, 1):
            frames = codec.encode(outgoing.message)
            sent_bytes += sum(len(frame) for frame in frames)
            ping = outgoing.message
            subject = next(p for p in (table.get(ping.target),) if p)
            ack = data.Ack(ping.nonce, subject, 1, table.digest, ping.gossip)
            table.handle_message(now, codec.decode(codec.encode(ack)).message, 1)
        incoming = data.Ping("n", peers[period % len(peers)], "", 1, table.digest, ())
        for outgoing in table.handle_message(now, incoming, 1):
            sent_bytes += sum(len(frame) for frame in codec.encode(outgoing.message))
    seconds = PERIOD_COUNT * membership.PROBE_PERIOD_S
    cpu_ms = (time.process_time() - started) * 1000
    return MemberCost(count, megabytes, cpu_ms / seconds, sent_bytes / seconds)


def measure_tree(leaves: int) -> TreeCost:
    """Measures how commits are applied and how the lookup tree of a node is built."""
    rng = random.Random(1)
    gc.collect()
    tracemalloc.start()
    values = {}
    for index in range(leaves):
        path = f"service/service-{index % 650}/endpoint/endpoint-{index}"
        value = data.Value(str(10 + index % 90), f"{index:012x}")
        values[path] = {"slots": value, "queue_time": value._replace(text="20 ms")}
    versions = dict.fromkeys(values, 1)
    state = data.SettingsState(1, values, versions, ())
    megabytes = tracemalloc.get_traced_memory()[0] / 1e6
    tracemalloc.stop()
    records = []
    paths = list(values)
    for number in range(COMMIT_COUNT):
        path = rng.choice(paths)
        change = data.Change(path, "slots", str(rng.randint(1, 99)))
        base = {path: 1}
        commit = data.Commit(f"{number:012x}", "operator", "more", base, (change,))
        records.append(data.LogRecord(2 + number, fold.encode_commit(commit)))
    fold_ms = measure_ms(lambda: [fold.apply_record(state, records[0])])
    build_ms = measure_ms(lambda: tree.SettingsTree(state))
    snapshot = fold.encode_snapshot(state)
    stream = [data.LogRecord(2, snapshot)]
    stream += [data.LogRecord(3 + i, r.body) for i, r in enumerate(records)]
    recover_ms = measure_ms(lambda: fold.recover_state(fold.EMPTY, stream))
    commit_bytes = statistics.mean(len(record.body) for record in records)
    return TreeCost(
        leaves,
        megabytes,
        fold_ms,
        build_ms,
        len(snapshot) / 1024,
        commit_bytes,
        recover_ms,
    )


def measure_ms(function) -> float:
    """Measures the median processor time of 7 calls of a function in milliseconds."""
    durations_ms = []
    for _ in range(7):
        started = time.process_time()
        function()
        durations_ms.append((time.process_time() - started) * 1000)
    return statistics.median(durations_ms)


async def measure_deployment(count: int, folder: str) -> DeploymentCost:
    """Measures idle costs and commit propagation of real nodes without endpoints."""
    zones = tuple(f"zone-{index}" for index in range(4))
    service = deployment_spec.ServiceSpec("none", count, 1)
    spec = deployment_spec.DeploymentSpec("region-1", zones, (service,), ())
    deployment = local_deployment.Deployment(
        spec, "examples/small/settings.ini", folder, 1
    )
    try:
        await deployment.start_log()
        for vm in deployment.vms:
            await deployment.start_node(vm)
        await deployment.wait_listening()
        await deployment.commit("examples/small/settings.ini")
        await wait_for_members(deployment, count)
        await asyncio.sleep(3.0)
        before = await read_costs(deployment)
        await asyncio.sleep(IDLE_S)
        after = await read_costs(deployment)
        propagations_s = [
            await measure_propagation_s(deployment, 2 + n)
            for n in range(PROPAGATION_COUNT)
        ]
    finally:
        await deployment.stop()
    cpu_shares = [(a[0] - b[0]) / IDLE_S for a, b in zip(after, before, strict=True)]
    sent_bytes_per_s = [
        (a[1] - b[1]) / IDLE_S for a, b in zip(after, before, strict=True)
    ]
    rss_mb = statistics.median(cost[2] for cost in after)
    return DeploymentCost(
        count,
        rss_mb,
        statistics.median(cpu_shares),
        statistics.median(sent_bytes_per_s),
        statistics.median(propagations_s),
        max(propagations_s),
    )


async def wait_for_members(deployment: local_deployment.Deployment, count: int) -> None:
    """Waits until the membership table of every node has ``count`` members."""

    async def has_all_members() -> bool:
        statuses = [await deployment.get_status(vm) for vm in deployment.vms]
        return all(status["members"] == count for status in statuses)

    await local_deployment.wait_until(
        has_all_members, "every node lists all members", 90.0
    )


async def read_costs(
    deployment: local_deployment.Deployment,
) -> list[tuple[float, float, float]]:
    """Reads processor seconds, sent bytes and resident megabytes of each node."""
    costs = []
    for vm in deployment.vms:
        status = await deployment.get_status(vm)
        pid = deployment.get_pid(f"node {vm.name}")
        cpu_s, rss_mb = read_process_usage(pid)
        costs.append((cpu_s, status["sent_bytes"], rss_mb))
    return costs


def read_process_usage(pid: int) -> tuple[float, float]:
    """Reads processor seconds and resident megabytes of a process from /proc."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as stream:
        fields = stream.read().rpartition(")")[2].split()
    cpu_s = (int(fields[11]) + int(fields[12])) / TICKS_PER_S
    return cpu_s, int(fields[21]) * PAGE_BYTES / 1e6


async def measure_propagation_s(
    deployment: local_deployment.Deployment, offset: int
) -> float:
    """Measures the time from the append of a commit until every node applies it."""
    change = data.Change("root", "retries", str(offset % 8))
    base = {"root": offset - 1}
    commit = data.Commit(f"p{offset}", "bench", "", base, (change,))
    started = time.monotonic()
    async with local_deployment.aiohttp.ClientSession() as http:
        url = f"{deployment.log_url}/streams/settings"
        async with http.post(url, data=fold.encode_commit(commit)) as response:
            response.raise_for_status()

    async def is_applied_everywhere() -> bool:
        statuses = [deployment.get_status(vm) for vm in deployment.vms]
        results = await asyncio.gather(*statuses)
        return all(status["settings_offset"] >= offset for status in results)

    await local_deployment.wait_until(
        is_applied_everywhere, f"every node applies offset {offset}"
    )
    return time.monotonic() - started


async def measure_calls(rate_factor: float, folder: str) -> CallCost:
    """Measures the processor time of the nodes per call.

    :param rate_factor: multiple of the steady rate of root requests.
    """
    spec = deployment_spec.load_spec("examples/small/standins.ini")
    deployment = local_deployment.Deployment(
        spec, "examples/small/settings.ini", folder, 1
    )
    try:
        await deployment.start()
        await asyncio.sleep(1.0)
        before = read_node_cpu_s(deployment)
        stages = (local_deployment.load.Stage("steady", 8.0, rate_factor),)
        results = await deployment.run_load(stages)
        after = read_node_cpu_s(deployment)
        executions = sum(
            record["event"] == "start" for record in deployment.read_ledger()
        )
    finally:
        await deployment.stop()
    cpu_ms = (after - before) * 1000
    return CallCost(len(results) / 8.0, executions / 8.0, cpu_ms / max(1, executions))


def read_node_cpu_s(deployment: local_deployment.Deployment) -> float:
    """Reads the total processor seconds of all nodes."""
    pids = [deployment.get_pid(f"node {vm.name}") for vm in deployment.vms]
    return sum(read_process_usage(pid)[0] for pid in pids)


def print_table(title: str, rows: list[NamedTuple]) -> None:
    """Prints records as a Markdown table."""
    print(f"\n### {title}\n")
    print("| " + " | ".join(name.replace("_", " ") for name in rows[0]._fields) + " |")
    print("|" + "---|" * len(rows[0]))
    for row in rows:
        print("| " + " | ".join(f"{cell:,.3g}" for cell in row) + " |", flush=True)


def compute_slope(rows: list[NamedTuple], column: str) -> tuple[float, float]:
    """Fits a line over the first column and returns its slope and intercept."""
    counts = [float(row[0]) for row in rows]
    line = statistics.linear_regression(counts, [getattr(r, column) for r in rows])
    return line.slope, line.intercept


def run(*, quick: bool = False) -> None:
    """Measures the costs and the slope of each.

    :param quick: omit the largest deployment of real nodes.
    """
    uvloop.install()
    print_table("Members", [measure_members(count) for count in MEMBER_COUNTS])
    print_table("Settings", [measure_tree(count) for count in LEAF_COUNTS])
    calls = []
    for rate_factor in (1.0, 2.0, 4.0):
        with tempfile.TemporaryDirectory(prefix="catkintiller-") as folder:
            calls.append(asyncio.run(measure_calls(rate_factor, folder)))
    print_table("Calls", calls)
    costs = []
    for count in NODE_COUNTS[: 2 if quick else 3]:
        with tempfile.TemporaryDirectory(prefix="catkintiller-") as folder:
            costs.append(asyncio.run(measure_deployment(count, folder)))
    print_table("Real nodes without calls", costs)
    print("\n### Slopes for each additional node\n")
    for column in DeploymentCost._fields[1:]:
        slope, intercept = compute_slope(costs, column)
        print(f"- {column.replace('_', ' ')}: {intercept:.4g} + {slope:.4g} per node")


if __name__ == "__main__":
    defopt.run(run)
