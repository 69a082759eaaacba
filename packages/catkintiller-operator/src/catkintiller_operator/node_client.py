"""HTTP client for the JSON documents of nodes."""

import asyncio

import aiohttp
from catkintiller import errors

REQUEST_TIMEOUT_S = 3.0


def get_json(address: str, path: str) -> dict:
    """Gets a JSON document from a node.

    :raises errors.NodeUnreachable: if the node does not respond.
    """
    return asyncio.run(_request_all("GET", [address], path))[0]


def get_json_from_all(addresses: list[str], path: str) -> list[dict | None]:
    """Gets a JSON document from each node, ``None`` for nodes that do not respond."""
    return asyncio.run(_request_all("GET", addresses, path, allow_unreachable=True))


def post(address: str, path: str) -> dict:
    """Sends a POST request to a node and returns the JSON document of the response.

    :raises errors.NodeUnreachable: if the node does not respond.
    """
    return asyncio.run(_request_all("POST", [address], path))[0]


async def _request_all(
    method: str, addresses: list[str], path: str, allow_unreachable: bool = False
) -> list[dict | None]:
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with aiohttp.ClientSession(timeout=timeout) as http:
        requests = [
            _request(http, method, address, path, allow_unreachable)
            for address in addresses
        ]
        return await asyncio.gather(*requests)


async def _request(
    http: aiohttp.ClientSession,
    method: str,
    address: str,
    path: str,
    allow_unreachable: bool,
) -> dict | None:
    try:
        async with http.request(method, f"http://{address}{path}") as response:
            return await response.json()
    except (aiohttp.ClientError, TimeoutError) as error:
        if allow_unreachable:
            return None
        raise errors.NodeUnreachable(f"{address}: {error}") from error
