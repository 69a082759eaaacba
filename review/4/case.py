"""A node forgets a departure that it has acknowledged while the store is down.

The endpoint says that it leaves and is acknowledged; the node is killed at once and
starts again; a ping that the endpoint had sent before arrives late. The endpoint gets
requests again and ends while it runs them.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from lab import endpoint, http, platform, record, store  # noqa: E402

HOST = "hulo84.example"
SERVICE = "dispatch"
PATH = "/puka111/"
NODE_IPS = ("127.0.0.21", "127.0.0.22", "127.0.0.23")
DEADLINE_S = 6.0
REQUESTS_PER_S = 30.0  # at each node
DRAIN_S = 2.0
STABLE_WINDOW_S = 3.0
STORE_DOWN_S = 2.5
PING_LATE_S = 3.5
RESTART_DELAY_S = 0.5
SERVES_ON_S = 7.5  # after the acknowledgement; then the endpoint ends
WORK_S = 0.21


class Clients:
    """Clients on the machine of a node, with one kept connection each."""

    def __init__(self, node: platform.Node, log: record.Record) -> None:
        self._node = node
        self._log = log
        self._count = 0
        self.sent_at: dict[str, float] = {}
        self.result_by_id: dict[str, str] = {}

    async def run(self) -> None:
        """Sends requests while the node is ready, until cancelled."""
        tasks = set()
        while True:
            if not await self._node.is_ready():
                await asyncio.sleep(0.2)
                continue
            for _ in range(int(REQUESTS_PER_S / 3)):
                task = asyncio.ensure_future(self._request())
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(1 / REQUESTS_PER_S)

    async def _request(self) -> None:
        self._count += 1
        node_number = int(self._node.ip.rpartition(".")[2])
        request_id = f"{node_number:04x}{self._count:012x}"
        self.sent_at[request_id] = self._log.now()
        self._log.write(f"sent {request_id}")
        result = "connection ended"
        try:
            async with asyncio.timeout(DEADLINE_S):
                reader, writer = await asyncio.open_connection(
                    self._node.ip, self._node.ports.outbound
                )
                try:
                    headers = {
                        "Host": HOST,
                        "Request-Id": request_id,
                        "Deadline-Ms": str(int(DEADLINE_S * 1000)),
                    }
                    line = f"POST {PATH}{self._count} HTTP/1.1"
                    writer.write(http.build_message(line, headers))
                    response = await http.read_message(reader)
                    if response is not None:
                        result = str(response.status)
                finally:
                    writer.close()
        except TimeoutError:
            result = "time limit of the client"
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.result_by_id[request_id] = result
        self._log.write(f"got {request_id}: {result}")


async def work(request: http.Message) -> bytes:
    """Makes the answer to a request."""
    await asyncio.sleep(WORK_S)
    return b"x" * 1500


async def play(folder: str, log: record.Record, has_trouble: bool) -> int:
    """Plays the case."""
    ports = platform.find_ports([platform.STORE_IP, *NODE_IPS])
    log_store = store.Store()
    rule = platform.build_rule(
        "r-workorder", "unsafe", PATH, SERVICE, timeout="1200ms", latency="2000ms"
    )
    log_store.put("keyed.op", "config", platform.build_config(7, HOST, [rule]))
    await log_store.start(platform.STORE_IP, ports.store)
    nodes = [
        platform.Node(folder, ip, "lockside-a", SERVICE, ports, log) for ip in NODE_IPS
    ]
    endpoints = [
        endpoint.Endpoint(
            node.ip, ports.app, SERVICE, node.zone, f"i-7f3a91c{number}", 76, log, work
        )
        for number, node in enumerate(nodes)
    ]
    loads = []
    try:
        for node, server in zip(nodes, endpoints, strict=True):
            node.start()
            await server.start(ports.admin, platform.HEARTBEAT_S)
        for node in nodes:
            await node.wait_ready()
        await asyncio.sleep(3.0)
        clients = [Clients(node, log) for node in nodes]
        loads = [asyncio.ensure_future(each.run()) for each in clients]
        await asyncio.sleep(3.0)

        node, leaving = nodes[0], endpoints[0]
        # A ping that the endpoint sends now and that arrives late.
        late_ping = leaving.build_ping()
        late_ping_at = log.now() + PING_LATE_S
        log.write(f"a ping of {leaving.instance} is sent and delayed")
        leaving.pings.cancel()
        if has_trouble:
            log.write("the store falls silent")
            log_store.is_silent = True
            store_up_at = log.now() + STORE_DOWN_S
        await asyncio.sleep(0.2)
        log.write(f"{leaving.instance} says that it leaves (DELETE)")
        status = await leaving.deregister()
        acknowledged_at = log.now()
        log.write(f"{leaving.instance} is answered {status}")
        if status != 200:
            log.write("no acknowledgement: the case does not apply")
            return 2
        in_touch_from = 0.0
        if has_trouble:
            log.write(f"node {node.ip} is killed")
            node.kill()
            await asyncio.sleep(RESTART_DELAY_S)
            node.start()
            in_touch_from = log.now() + STABLE_WINDOW_S
            await asyncio.sleep(store_up_at - log.now())
            log_store.is_silent = False
            log.write("the store is back")
            in_touch_from = max(in_touch_from, log.now() + STABLE_WINDOW_S)
        await asyncio.sleep(late_ping_at - log.now())
        status = await leaving.call_node(late_ping)
        log.write(f"the delayed ping arrives and is answered {status}")
        await asyncio.sleep(acknowledged_at + SERVES_ON_S - log.now())
        log.write(f"{leaving.instance} ends")
        leaving.stop()
        await asyncio.sleep(2.0)
    finally:
        for load in loads:
            load.cancel()
        for each in nodes:
            each.kill()

    bound_at = max(acknowledged_at + DRAIN_S, in_touch_from)
    sent_at = {key: at for each in clients for key, at in each.sent_at.items()}
    late = [
        run
        for run in leaving.runs
        if run.began_at > acknowledged_at + DRAIN_S
        and sent_at[run.request_id] > in_touch_from
    ]
    log.write(
        f"acknowledged at {acknowledged_at:.3f}, in touch from {in_touch_from:.3f}"
    )
    log.write(
        f"requests sent and run after {bound_at:.3f} at the endpoint: {len(late)}"
    )
    results = {
        key: each for group in clients for key, each in group.result_by_id.items()
    }
    lost = [run for run in late if results.get(run.request_id) != "200"]
    log.write(f"of these, run and lost with the end of the endpoint: {len(lost)}")
    log.write(f"DRAIN is {'broken' if late else 'kept'}")
    return 1 if late else 0


if __name__ == "__main__":
    platform.run_case(str(FOLDER), play)
