"""Log line about the load of the local endpoint."""

from ..routing import forwarder
from ..serving import local_endpoint
from . import events


def write_line(
    log: events.EventLog,
    endpoint: local_endpoint.LocalEndpoint,
    requests: forwarder.Forwarder,
) -> None:
    """Writes the load of the endpoint since the last line.

    :param requests: forwards the requests that arrive at this node.
    """
    queue = endpoint.queue
    customer_shares = requests.admission.get_customer_shares()
    log.write(
        "queue",
        "Load of the endpoint.",
        running=queue.running_count,
        waiting=queue.queued_count,
        limit=queue.concurrency_limit,
        sent=endpoint.pop_sent_count(),
        rate_limit=queue.rate_limit,
        service_ms=round(queue.service_time_s * 1000, 1),
        use=round(queue.utilization, 2),
        refused=queue.pop_refused_count(),
        pending=requests.pending_count,
        shares=requests.admission.get_admitted_shares(),
    )
    if customer_shares:
        log.write(
            "shares", "Customers are limited to shares.", customers=customer_shares
        )
