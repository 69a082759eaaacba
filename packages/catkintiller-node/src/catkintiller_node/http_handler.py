"""HTTP in: calls of callers and of the local endpoint.

The first part of the path names the service, the rest goes to its endpoint.
Paths below ``/-/`` are the node's own.
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
    """Answers HTTP requests. One for each node.

    :param call_router: routes calls.
    :param running: calls that run at the local endpoint.
    :param needs: what requests need further down their chain.
    :param control: answers the paths below ``/-/``.
    """

    def __init__(
        self,
        call_router: router.Router,
        running: running_calls.RunningCallRegistry,
        needs: call_graph.CallGraph,
        control: ControlHandler,
        figures: metrics.Metrics,
    ) -> None:
        self._router = call_router
        self._parents = running
        self._chain = needs
        self._control = control
        self._metrics = figures
        self._tree: tree.Tree | None = None
        self._closing = False
        self._in_flight = 0
        self._joined = asyncio.Event()

    @property
    def in_flight(self) -> int:
        """Calls that arrived and are not answered."""
        return self._in_flight

    def set_tree(self, settings: tree.Tree) -> None:
        """Takes changed settings into use."""
        self._tree = settings

    def mark_joined(self) -> None:
        """Notes that this node knows the others; calls that wait go on."""
        self._joined.set()

    def start_closing_connections(self) -> None:
        """Asks callers, with each answer, to come back to another node."""
        self._closing = True

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one HTTP request."""
        if request.path.startswith(CONTROL_PREFIX):
            return await self._control(request)
        self._in_flight += 1
        try:
            response = await self._answer(request)
        except errors.CallRefused as error:
            response = problems.build_problem_response(error.refusal)
        finally:
            self._in_flight -= 1
        if self._closing:
            response.force_close()
        return response

    async def _answer(self, request: web.BaseRequest) -> web.Response:
        started = time.monotonic()
        if not self._joined.is_set():
            await self._wait_joined()
        if self._tree is None:
            keyed = headers.IDEMPOTENCY_KEY in request.headers
            ran = data.Ran.UNKNOWN if keyed else data.Ran.NO
            raise errors.CallRefused(data.Refusal(data.Reason.NO_SETTINGS, ran))
        settings = self._tree
        call, parent = await self._resolve(request, settings, started)
        held = self._hold_budget(call, parent)
        lent = held.left
        if parent:
            parent.begin_nested_call(started)
            kind = parent.request.kind
            self._chain.record_call(started, kind, call.kind.service, call.kind.kind)
        try:
            result = await self._router.execute(call, settings, held)
        finally:
            if parent:
                parent.budget.take_back(lent, held.left)
                parent.end_nested_call(time.monotonic())
        self._record(call, result, started)
        return _make_response(result)

    async def _wait_joined(self) -> None:
        """Lets a call wait while this node, just started, learns of the others."""
        try:
            async with asyncio.timeout(JOIN_TIMEOUT_S):
                await self._joined.wait()
        except TimeoutError:
            self._joined.set()

    async def _resolve(
        self, request: web.BaseRequest, settings: tree.Tree, now: float
    ) -> tuple[router.IncomingCall, running_calls.RunningCall | None]:
        """Resolves the settings and the context of a call."""
        service, path = _split_target(request.rel_url.raw_path_qs)
        kind_name = settings.find_kind(service, request.method, path)
        kind = settings.get_kind(service, kind_name)
        body = await _read_body(request, kind.max_body)
        parent = self._find_parent(request)
        allowed_ms = headers.get_deadline_ms(request.headers)
        expires = now + min(allowed_ms or kind.deadline, kind.deadline) / 1000
        if parent:
            expires = min(expires, parent.expires_at)
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
            _get_key(request, kind, parent is None),
            context,
            expires,
        )
        return call, parent

    def _find_parent(
        self, request: web.BaseRequest
    ) -> running_calls.RunningCall | None:
        """Finds the running call that a request is made for."""
        call_id = headers.get_parent_call_id(request.headers)
        if not call_id:
            return None
        parent = self._parents.get(call_id)
        if parent is None:
            raise _refuse(data.Reason.PARENT_GONE, "the calling request has ended")
        return parent

    @staticmethod
    def _hold_budget(
        call: router.IncomingCall, parent: running_calls.RunningCall | None
    ) -> budget.ChainBudget:
        if parent is None:
            return budget.ChainBudget(call.context.retries)
        return budget.ChainBudget(parent.budget.lend_share())

    def _record(
        self, call: router.IncomingCall, result: attempts.AttemptResult, started: float
    ) -> None:
        total_ms = (time.monotonic() - started) * 1000
        answer = result.answer
        added_ms = total_ms - answer.endpoint_ms - answer.queue_ms
        service, kind = call.kind.service, call.kind.kind
        self._metrics.record_latency_ms("added", service, kind, added_ms)
        self._metrics.increment("answered", service, kind)


def build_nested_context(parent: data.CallContext) -> data.CallContext:
    """Makes the context of a call that a running call makes."""
    priority = rank.get_priority(parent.rank)
    depth = parent.depth + 1
    child_rank = rank.compute_rank(priority, depth, parent.trace_id)
    return parent._replace(rank=child_rank, depth=depth)


def _split_target(raw: str) -> tuple[str, str]:
    service, slash, rest = raw[1:].partition("/")
    return service, slash + rest if slash else "/"


async def _read_body(request: web.BaseRequest, limit: int) -> bytes:
    if not request.can_read_body:
        return b""
    parts = []
    size = 0
    async for chunk in request.content.iter_any():
        size += len(chunk)
        if size > limit:
            raise _refuse(data.Reason.BODY_TOO_LARGE, f"more than {limit} bytes")
        parts.append(chunk)
    return b"".join(parts)


def _get_key(request: web.BaseRequest, kind: tree.KindSettings, is_root: bool) -> str:
    """Gets the idempotency key of a call that must not run twice.

    A child call without a key is sent once and never repeated.
    """
    if kind.repeatable:
        return ""
    key = request.headers.get(headers.IDEMPOTENCY_KEY, "").strip('"')
    if not key and is_root:
        detail = f"a {kind.kind or kind.service} request needs an Idempotency-Key"
        raise _refuse(data.Reason.KEY_MISSING, detail)
    if key and not keys.is_valid_key(key):
        raise _refuse(data.Reason.KEY_INVALID, f"at most {keys.MAX_KEY_LENGTH} ASCII")
    return key


def _refuse(reason: data.Reason, detail: str) -> errors.CallRefused:
    return errors.CallRefused(data.Refusal(reason, data.Ran.NO, detail))


def _make_response(result: attempts.AttemptResult) -> web.Response:
    response = web.Response(status=result.answer.status, body=result.body)
    # aiohttp sets a content type of its own, the endpoint's replaces it.
    response.headers.popall("Content-Type", None)
    for name, value in result.answer.headers:
        response.headers.add(name, value)
    return response
