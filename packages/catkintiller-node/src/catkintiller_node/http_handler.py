"""Handles HTTP requests: root requests of clients and calls of the local endpoint.

The first segment of the path names the service; the rest is the path at its
endpoint. Paths below ``/-/`` belong to the node itself.
"""

import asyncio
import logging
import time
from collections.abc import Awaitable, Callable

from aiohttp import web
from catkintiller import budget, data, errors, keys, rank, tree

from . import attempts, call_graph, headers, metrics, problems, router, running_calls

logger = logging.getLogger("catkintiller.front")

CONTROL_PREFIX = "/-/"
JOIN_TIMEOUT_S = 3.0

ControlHandler = Callable[[web.BaseRequest], Awaitable[web.Response]]


class HttpHandler:
    """Handles the HTTP requests of one node.

    :param call_router: routes calls to serving nodes.
    :param registry: calls that run at the local endpoint.
    :param graph: call graph below the local endpoint.
    :param control: handler of the paths below ``/-/``.
    """

    def __init__(
        self,
        call_router: router.Router,
        registry: running_calls.RunningCallRegistry,
        graph: call_graph.CallGraph,
        control: ControlHandler,
        node_metrics: metrics.Metrics,
    ) -> None:
        self._router = call_router
        self._running_calls = registry
        self._graph = graph
        self._control = control
        self._metrics = node_metrics
        self._tree: tree.SettingsTree | None = None
        self._closing = False
        self._in_flight = 0
        self._joined = asyncio.Event()

    @property
    def in_flight(self) -> int:
        """Number of calls that arrived and are not yet answered."""
        return self._in_flight

    def set_tree(self, settings: tree.SettingsTree) -> None:
        """Applies changed settings."""
        self._tree = settings

    def mark_joined(self) -> None:
        """Records that the membership is in sync, and releases the waiting calls."""
        self._joined.set()

    def start_closing_connections(self) -> None:
        """Closes the connection of each caller after its next response.

        Callers then reconnect, and can do so to another node.
        """
        self._closing = True

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles one HTTP request."""
        if request.path.startswith(CONTROL_PREFIX):
            return await self._control(request)
        self._in_flight += 1
        try:
            response = await self._handle_call(request)
        except errors.CallRefused as error:
            response = problems.build_problem_response(error.refusal)
        finally:
            self._in_flight -= 1
        if self._closing:
            response.force_close()
        return response

    async def _handle_call(self, request: web.BaseRequest) -> web.Response:
        started_at = time.monotonic()
        if not self._joined.is_set():
            await self._wait_until_joined()
        if self._tree is None:
            has_key = headers.IDEMPOTENCY_KEY in request.headers
            ran = data.Ran.UNKNOWN if has_key else data.Ran.NO
            raise errors.CallRefused(data.Refusal(data.Reason.NO_SETTINGS, ran))
        settings = self._tree
        call, parent = await self._build_call(request, settings, started_at)
        retry_budget = self._allocate_retry_budget(call, parent)
        allotted_retries = retry_budget.remaining
        if parent:
            parent.begin_nested_call(started_at)
            kind = parent.request.kind
            self._graph.record_call(started_at, kind, call.kind.service, call.kind.kind)
        try:
            result = await self._router.execute(call, settings, retry_budget)
        finally:
            if parent:
                parent.budget.refund(allotted_retries, retry_budget.remaining)
                parent.end_nested_call(time.monotonic())
        self._record_metrics(call, result, started_at)
        return _build_response(result)

    async def _wait_until_joined(self) -> None:
        """Waits until a node that has just started has synced its membership.

        After ``JOIN_TIMEOUT_S`` calls proceed with the members known by then.
        """
        try:
            async with asyncio.timeout(JOIN_TIMEOUT_S):
                await self._joined.wait()
        except TimeoutError:
            self._joined.set()

    async def _build_call(
        self, request: web.BaseRequest, settings: tree.SettingsTree, now: float
    ) -> tuple[router.IncomingCall, running_calls.RunningCall | None]:
        """Builds a call with its settings and context.

        :returns: the call, and the running call that it is nested in, if any.
        """
        service, path = _split_path(request.rel_url.raw_path_qs)
        kind_name = settings.find_kind(service, request.method, path)
        kind = settings.get_kind(service, kind_name)
        body = await _read_body(request, kind.max_body)
        parent = self._get_parent(request)
        requested_ms = headers.get_deadline_ms(request.headers)
        expires_at = now + min(requested_ms or kind.deadline, kind.deadline) / 1000
        if parent:
            expires_at = min(expires_at, parent.expires_at)
            context = build_nested_context(parent.request.context)
        else:
            trace_id = headers.get_trace_id(request.headers)
            context = router.build_context(trace_id, kind.priority, 0, 0, kind.retries)
        call = router.IncomingCall(
            kind,
            request.method,
            path,
            headers.filter_headers(request.raw_headers),
            body,
            _get_idempotency_key(request, kind, parent is None),
            context,
            expires_at,
        )
        return call, parent

    def _get_parent(self, request: web.BaseRequest) -> running_calls.RunningCall | None:
        """Returns the running call that a request is nested in, ``None`` if none.

        :raises errors.CallRefused: if that call has ended.
        """
        call_id = headers.get_parent_call_id(request.headers)
        if not call_id:
            return None
        parent = self._running_calls.get(call_id)
        if parent is None:
            raise _build_refusal(
                data.Reason.PARENT_GONE,
                "the call that this request belongs to has ended",
            )
        return parent

    @staticmethod
    def _allocate_retry_budget(
        call: router.IncomingCall, parent: running_calls.RunningCall | None
    ) -> budget.RetryBudget:
        if parent is None:
            return budget.RetryBudget(call.context.retries)
        return budget.RetryBudget(parent.budget.reserve_share())

    def _record_metrics(
        self,
        call: router.IncomingCall,
        result: attempts.AttemptResult,
        started_at: float,
    ) -> None:
        total_ms = (time.monotonic() - started_at) * 1000
        response = result.response
        added_ms = total_ms - response.endpoint_ms - response.queue_ms
        service, kind = call.kind.service, call.kind.kind
        self._metrics.record_latency_ms("added", service, kind, added_ms)
        self._metrics.increment("answered", service, kind)


def build_nested_context(parent: data.CallContext) -> data.CallContext:
    """Builds the context of a call nested in a running call."""
    priority = rank.get_priority(parent.rank)
    depth = parent.depth + 1
    nested_rank = rank.compute_rank(priority, depth, parent.trace_id)
    return parent._replace(rank=nested_rank, depth=depth)


def _split_path(raw_path: str) -> tuple[str, str]:
    service, slash, rest = raw_path[1:].partition("/")
    return service, slash + rest if slash else "/"


async def _read_body(request: web.BaseRequest, max_bytes: int) -> bytes:
    if not request.can_read_body:
        return b""
    parts = []
    size_bytes = 0
    async for chunk in request.content.iter_any():
        size_bytes += len(chunk)
        if size_bytes > max_bytes:
            raise _build_refusal(
                data.Reason.BODY_TOO_LARGE,
                f"the request body is larger than {max_bytes} bytes",
            )
        parts.append(chunk)
    return b"".join(parts)


def _get_idempotency_key(
    request: web.BaseRequest, kind: tree.KindSettings, is_root: bool
) -> str:
    """Returns the idempotency key of a call whose kind is not repeatable.

    The key is optional for a nested call: without one it is never retried.

    :raises errors.CallRefused: if the key is missing or malformed.
    """
    if kind.repeatable:
        return ""
    key = request.headers.get(headers.IDEMPOTENCY_KEY, "").strip('"')
    if not key and is_root:
        detail = f"a {kind.kind or kind.service} request needs an Idempotency-Key"
        raise _build_refusal(data.Reason.KEY_MISSING, detail)
    if key and not keys.is_valid_key(key):
        raise _build_refusal(
            data.Reason.KEY_INVALID,
            f"Idempotency-Key exceeds {keys.MAX_KEY_LENGTH} characters or is not "
            "printable ASCII",
        )
    return key


def _build_refusal(reason: data.Reason, detail: str) -> errors.CallRefused:
    return errors.CallRefused(data.Refusal(reason, data.Ran.NO, detail))


def _build_response(result: attempts.AttemptResult) -> web.Response:
    response = web.Response(status=result.response.status, body=result.body)
    # aiohttp sets a default content type, which the endpoint's headers replace.
    response.headers.popall("Content-Type", None)
    for name, value in result.response.headers:
        response.headers.add(name, value)
    return response
