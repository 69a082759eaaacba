"""Measures what the quotas cost the coordinator, without a network.

Followers request tokens in turn from the coordinator's logic. Processor time and bytes
are those of encoding, decoding and handling; the time of the sockets is not included.
"""

import time
import tracemalloc

import defopt
from catkintiller_relay import data
from catkintiller_relay.membership import frames
from catkintiller_relay.quotas import coordinator, quota_client

START_S = 1000.0


def measure(node_count: int, customer_count: int, entry_count: int) -> str:
    """Measures one round of requests of all nodes and describes the result.

    :param entry_count: number of customers in each request.
    """
    customers = [
        data.Customer(f"customer-{number}", (), None, 100.0, 100.0)
        for number in range(customer_count)
    ]
    tracemalloc.start()
    leader = coordinator.Coordinator(START_S)
    leader.set_customers(START_S, customers)
    bytes_before, _ = tracemalloc.get_traced_memory()
    _run_round(leader, START_S + 0.1, node_count, customers, entry_count)
    state_bytes = tracemalloc.get_traced_memory()[0] - bytes_before
    tracemalloc.stop()
    began_at = time.process_time()
    byte_count = _run_round(leader, START_S + 0.3, node_count, customers, entry_count)
    elapsed_s = time.process_time() - began_at
    rounds_per_s = 1.0 / quota_client.MESSAGE_INTERVAL_S
    return (
        f"{node_count} nodes, {customer_count} customers, {entry_count} in a request: "
        f"{elapsed_s / node_count * 1e6:.1f} us a message, "
        f"{elapsed_s * rounds_per_s * 100:.2f}% of a core, "
        f"{byte_count * rounds_per_s / 1000:.1f} KB/s, "
        f"{byte_count * rounds_per_s / node_count / 1000:.2f} KB/s a follower, "
        f"state {state_bytes / 1000:.0f} KB"
    )


def _run_round(
    leader: coordinator.Coordinator,
    now: float,
    node_count: int,
    customers: list[data.Customer],
    entry_count: int,
) -> int:
    """Lets each node send one request; returns the bytes of requests and replies."""
    byte_count = 0
    echo_ms = int((now - 0.05) * 1000)
    for node in range(node_count):
        entries = [
            (customers[(node + number) % len(customers)].name, 1, 1)
            for number in range(entry_count)
        ]
        request = frames.QuotaRequest(node_count, echo_ms, entries, [], node)
        frame = frames.encode(request)
        decoded = frames.FrameDecoder().feed(frame)[0]
        address = f"10.{node >> 16}.{node >> 8 & 255}.{node & 255}:8102"
        reply = frames.encode(leader.handle_request(address, decoded, now))
        byte_count += len(frame) + len(reply)
    return byte_count


def main(*, entries: int = 3) -> None:
    """Print the cost for several numbers of nodes and customers.

    :param entries: number of customers in each request.
    """
    for node_count in (69, 300, 25_000):
        for customer_count in (76, 10_000):
            print(measure(node_count, customer_count, entries), flush=True)


if __name__ == "__main__":
    defopt.run(main)
