"""Fetches, parses and prints the metrics of a node."""

import asyncio
import re
from typing import NamedTuple

import aiohttp
from catkintiller import errors

from . import exit_codes, node_client, render

NAME_PREFIX = "catkintiller_"
_SAMPLE_LINE = re.compile(r"(?P<name>\w+)(?:\{(?P<labels>.*)\})? (?P<value>\S+)")


class Sample(NamedTuple):
    """One sample of a metric.

    :param labels: text between the braces, such as ``service="a",reason="b"``.
    """

    name: str
    labels: str
    value: float


def show_metrics(address: str, word: str, as_json: bool) -> int:
    """Prints the metrics whose name or labels contain a text.

    :param address: ``IP:PORT/PATH`` of the node's metrics.
    :param word: the text; if it is empty, all metrics are printed.
    :raises errors.NodeUnreachable: if the node does not respond.
    """
    samples = parse_metrics(asyncio.run(_fetch_text(address)))
    rows = [
        list(sample)
        for sample in samples
        if word in sample.name or word in sample.labels
    ]
    render.print_rows(["figure", "labels", "value"], rows, as_json)
    return exit_codes.OK if rows else exit_codes.FAULT_FOUND


def fetch_all_samples(addresses: list[str]) -> list[list[Sample] | None]:
    """Fetches the metrics of each node, ``None`` for nodes that do not respond.

    :param addresses: ``IP:PORT/PATH`` of the nodes' metrics.
    """

    async def fetch(address: str) -> list[Sample] | None:
        try:
            return parse_metrics(await _fetch_text(address))
        except errors.NodeUnreachable:
            return None

    async def fetch_all() -> list[list[Sample] | None]:
        return await asyncio.gather(*(fetch(address) for address in addresses))

    return asyncio.run(fetch_all())


def parse_metrics(text: str) -> list[Sample]:
    """Parses metrics in the text format of Prometheus.

    Comments and lines in any other form are skipped.
    """
    samples = []
    for line in text.splitlines():
        match = _SAMPLE_LINE.fullmatch(line)
        if match is not None:
            name = match["name"].removeprefix(NAME_PREFIX)
            samples.append(Sample(name, match["labels"] or "", float(match["value"])))
    return samples


async def _fetch_text(address: str) -> str:
    timeout = aiohttp.ClientTimeout(total=node_client.REQUEST_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as http,
            http.get(f"http://{address}") as response,
        ):
            return await response.text()
    except (aiohttp.ClientError, TimeoutError) as error:
        raise errors.NodeUnreachable(f"{address}: {error}") from error
