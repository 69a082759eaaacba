"""Client of the endpoint beside this node."""

from typing import NamedTuple

import aiohttp
import yarl
from catkintiller import data, errors

from . import headers


class EndpointInfo(NamedTuple):
    """The announced data of an endpoint; ``slots`` is 0 if it announced none."""

    service: str
    name: str
    address: str
    slots: int


class EndpointResponse(NamedTuple):
    """A complete response of the endpoint."""

    status: int
    headers: headers.Headers
    body: bytes


class EndpointClient:
    """Sends requests to the endpoint, each one exactly once.

    :param http: session of this node; the caller closes it.
    """

    def __init__(self, http: aiohttp.ClientSession) -> None:
        self._http = http

    async def call(
        self,
        info: EndpointInfo,
        request: data.CallRequest,
        body: bytes,
        timeout_s: float,
        response_limit: int,
    ) -> EndpointResponse:
        """Sends one request and reads the complete response.

        :param response_limit: largest accepted body of the response, in bytes.
        :raises errors.CallRefused: if there is no complete response; its refusal
            records whether the request ran.
        """
        sent = headers.build_endpoint_headers(
            request.headers,
            request.context.trace_id,
            request.call_id,
            max(1, int(timeout_s * 1000)),
        )
        url = yarl.URL(f"http://{info.address}{request.path}", encoded=True)
        timeout = aiohttp.ClientTimeout(total=max(0.001, timeout_s))
        try:
            async with self._http.request(
                request.method,
                url,
                headers=sent,
                data=body or None,
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                return await _read_response(response, response_limit)
        except aiohttp.ClientConnectorError as error:
            raise _build_refusal(data.Reason.NO_ENDPOINT, data.Ran.NO, error) from error
        except TimeoutError as error:
            raise _build_refusal(
                data.Reason.DEADLINE, data.Ran.UNKNOWN, error
            ) from error
        except aiohttp.ClientError as error:
            reason = data.Reason.CONNECTION_LOST
            raise _build_refusal(reason, data.Ran.UNKNOWN, error) from error


async def _read_response(
    response: aiohttp.ClientResponse, response_limit: int
) -> EndpointResponse:
    if response.status == 503 and response.headers.get(headers.RAN) == "no":
        detail = "the endpoint refused the request"
        raise errors.CallRefused(
            data.Refusal(data.Reason.ENDPOINT_REFUSED, data.Ran.NO, detail)
        )
    parts = []
    size_bytes = 0
    async for chunk in response.content.iter_any():
        size_bytes += len(chunk)
        if size_bytes > response_limit:
            response.close()
            detail = f"the response is larger than {response_limit} bytes"
            raise errors.CallRefused(
                data.Refusal(data.Reason.ANSWER_TOO_LARGE, data.Ran.YES, detail)
            )
        parts.append(chunk)
    response_headers = headers.filter_headers(response.raw_headers)
    return EndpointResponse(response.status, response_headers, b"".join(parts))


def _build_refusal(
    reason: data.Reason, ran: data.Ran, error: Exception
) -> errors.CallRefused:
    detail = f"{type(error).__name__} while calling the endpoint"
    return errors.CallRefused(data.Refusal(reason, ran, detail))


def build_session() -> aiohttp.ClientSession:
    """Builds the HTTP client session of a node."""
    session = aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0, keepalive_timeout=30),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
        skip_auto_headers=("User-Agent", "Accept-Encoding"),
    )
    # By default aiohttp sends a request again when a kept-alive connection breaks.
    # That would be a second execution which no retry budget accounts for.
    session._retry_connection = False
    return session
