"""Shows the figures that a node serves at its metrics address."""

import asyncio
import re
from typing import NamedTuple

import aiohttp
from catkintiller import errors

from . import exit_codes, node_client, render

PREFIX = "catkintiller_"
_LINE = re.compile(r"(?P<name>\w+)(?:\{(?P<labels>.*)\})? (?P<value>\S+)")


class Sample(NamedTuple):
    """One figure of a node.

    :param labels: such as ``service="a",reason="b"``.
    """

    name: str
    labels: str
    value: float


def show_metrics(address: str, word: str, as_json: bool) -> int:
    """Prints the figures whose name or labels hold a word, all if it is empty.

    :param address: ``IP:PORT/PATH`` of the node's metrics.
    :raises errors.NodeUnreachable: if the node does not answer.
    """
    figures = parse_metrics(asyncio.run(_fetch(address)))
    rows = [list(one) for one in figures if word in one.name or word in one.labels]
    render.print_rows(["figure", "labels", "value"], rows, as_json)
    return exit_codes.OK if rows else exit_codes.FAULT_FOUND


def parse_metrics(text: str) -> list[Sample]:
    """Parses the text form of a node's metrics."""
    found = []
    for line in text.splitlines():
        match = _LINE.fullmatch(line)
        if match is not None:
            name = match["name"].removeprefix(PREFIX)
            found.append(Sample(name, match["labels"] or "", float(match["value"])))
    return found


async def _fetch(address: str) -> str:
    timeout = aiohttp.ClientTimeout(total=node_client.REQUEST_TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(timeout=timeout) as http,
            http.get(f"http://{address}") as response,
        ):
            return await response.text()
    except (aiohttp.ClientError, TimeoutError) as error:
        raise errors.NodeUnreachable(f"{address}: {error}") from error
