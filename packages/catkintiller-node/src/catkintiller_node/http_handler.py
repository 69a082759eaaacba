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
JOIN_PATIENCE_S = 3.0

Control = Callable[[web.BaseRequest], Awaitable[web.Response]]


class Front:
    """Answers HTTP requests. One for each node.

    :param call_router: routes calls.
    :param running: calls that run at the local endpoint.
    :param needs: what requests need further down their chain.
    :param control: answers the paths below ``/-/``.
    """

    def __init__(
        self,
        call_router: router.Router,
        running: running_calls.Parents,
        needs: call_graph.Chain,
        control: Control,
        figures: metrics.Metrics,
    ) -> None:
        self._router = call_router
        self._parents = running
        self._chain = needs
        self._control = control
        self._metrics = figures
        self._tree: tree.SettingsTree | None = None
        self._closing = False
        self._in_flight = 0
        self._joined = asyncio.Event()

    @property
    def in_flight(self) -> int:
        """Calls that arrived and are not answered."""
        return self._in_flight

    def set_tree(self, settings: tree.SettingsTree) -> None:
        """Takes changed settings into use."""
        self._tree = settings

    def note_joined(self) -> None:
        """Notes that this node knows the others; calls that wait go on."""
        self._joined.set()

    def close_connections(self) -> None:
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
            response = problems.make_problem(error.refusal)
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
        arrival, parent = await self._resolve(request, settings, started)
        held = self._hold_budget(arrival, parent)
        lent = held.remaining
        if parent:
            parent.begin_child(started)
            kind = parent.request.kind
            self._chain.learn(started, kind, arrival.kind.service, arrival.kind.kind)
        try:
            result = await self._router.call(arrival, settings, held)
        finally:
            if parent:
                parent.budget.refund(lent, held.remaining)
                parent.end_child(time.monotonic())
        self._record(arrival, result, started)
        return _make_response(result)

    async def _wait_joined(self) -> None:
        """Lets a call wait while this node, just started, learns of the others."""
        try:
            async with asyncio.timeout(JOIN_PATIENCE_S):
                await self._joined.wait()
        except TimeoutError:
            self._joined.set()

    async def _resolve(
        self, request: web.BaseRequest, settings: tree.SettingsTree, now: float
    ) -> tuple[router.Arrival, running_calls.Parent | None]:
        """Resolves the settings and the context of a call."""
        service, path = _split_target(request.rel_url.raw_path_qs)
        kind_name = settings.find_kind(service, request.method, path)
        kind = settings.get_kind(service, kind_name)
        body = await _read_body(request, kind.max_body)
        parent = self._find_parent(request)
        allowed_ms = headers.get_deadline_ms(request.headers)
        expires = now + min(allowed_ms or kind.deadline, kind.deadline) / 1000
        if parent:
            expires = min(expires, parent.expires)
            context = make_child_context(parent.request.context)
        else:
            trace_id = headers.get_trace_id(request.headers)
            context = router.make_context(trace_id, kind.priority, 0, 0, kind.retries)
        arrival = router.Arrival(
            kind,
            request.method,
            path,
            headers.filter_headers(request.raw_headers),
            body,
            _get_key(request, kind, parent is None),
            context,
            expires,
        )
        return arrival, parent

    def _find_parent(self, request: web.BaseRequest) -> running_calls.Parent | None:
        """Finds the running call that a request is made for."""
        call_id = headers.get_parent_call(request.headers)
        if not call_id:
            return None
        parent = self._parents.get(call_id)
        if parent is None:
            raise _refuse(data.Reason.PARENT_GONE, "the calling request has ended")
        return parent

    @staticmethod
    def _hold_budget(
        arrival: router.Arrival, parent: running_calls.Parent | None
    ) -> budget.RetryBudget:
        if parent is None:
            return budget.RetryBudget(arrival.context.retries)
        return budget.RetryBudget(parent.budget.reserve_share())

    def _record(
        self, arrival: router.Arrival, result: attempts.Result, started: float
    ) -> None:
        total_ms = (time.monotonic() - started) * 1000
        answer = result.answer
        added_ms = total_ms - answer.endpoint_ms - answer.queue_ms
        service, kind = arrival.kind.service, arrival.kind.kind
        self._metrics.record_ms("added", service, kind, added_ms)
        self._metrics.count("answered", service, kind)


def make_child_context(parent: data.CallContext) -> data.CallContext:
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


def _make_response(result: attempts.Result) -> web.Response:
    response = web.Response(status=result.answer.status, body=result.body)
    # aiohttp sets a content type of its own, the endpoint's replaces it.
    response.headers.popall("Content-Type", None)
    for name, value in result.answer.headers:
        response.headers.add(name, value)
    return response
