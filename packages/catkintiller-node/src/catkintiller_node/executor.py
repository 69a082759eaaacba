"""Executes calls at the endpoint beside this node, after admission control."""

import asyncio
import time
from typing import NamedTuple

from catkintiller import admission, data, errors, limits, rank, tree

from . import call_graph, decision_log, endpoint, metrics, running_calls

RETRY_AFTER_MS = 1000
IDLE_FEEDBACK = data.Feedback(rank.LOWEST, rank.LOWEST, 0, 1, 0.0)


class ExecutedCall(NamedTuple):
    """The complete response to a call and what its execution cost.

    ``retries_left`` is the unspent part of the received share of the retry budget.
    """

    response: endpoint.EndpointResponse
    retries_left: int
    queue_ms: float
    endpoint_ms: float


class CallExecutor:
    """Executes calls at the endpoint, within its limit and in order of rank.

    :param client: client of the endpoint.
    :param registry: registry of running calls.
    :param graph: call graph below this endpoint.
    """

    def __init__(
        self,
        client: endpoint.EndpointClient,
        registry: running_calls.RunningCallRegistry,
        graph: call_graph.CallGraph,
        log: decision_log.DecisionLog,
        node_metrics: metrics.Metrics,
    ) -> None:
        self._client = client
        self._running_calls = registry
        self._graph = graph
        self._log = log
        self._metrics = node_metrics
        self._info: endpoint.EndpointInfo | None = None
        self._draining = False
        self._tree: tree.SettingsTree | None = None
        self._applied_settings: tuple | None = None
        self._admission = admission.AdmissionController(limits.StaticLimiter(1), 1, 0)
        self._sheds_downstream = True
        self._in_flight = 0

    @property
    def info(self) -> endpoint.EndpointInfo | None:
        """The endpoint as last announced, ``None`` before the first announcement."""
        return self._info

    @property
    def accepting(self) -> bool:
        """Whether new calls are accepted."""
        return self._info is not None and not self._draining

    @property
    def draining(self) -> bool:
        """Whether new calls are refused while running ones finish."""
        return self._draining

    @property
    def in_flight(self) -> int:
        """Number of calls that wait for admission or run at the endpoint."""
        return self._in_flight

    @property
    def waiting(self) -> int:
        """Number of calls that wait for admission."""
        return self._admission.waiting

    def set_endpoint(self, info: endpoint.EndpointInfo) -> None:
        """Sets the endpoint and applies the settings for it."""
        self._info = info
        self._configure()

    def set_tree(self, settings: tree.SettingsTree) -> None:
        """Applies changed settings."""
        self._tree = settings
        self._configure()

    def start_draining(self) -> None:
        """Refuses new calls from now on; running ones continue."""
        self._draining = True

    def stop_draining(self) -> None:
        """Accepts new calls again."""
        self._draining = False

    def tick(self, now: float) -> None:
        """Expires waiting calls and adjusts the admission level."""
        self._admission.tick(now)

    def get_feedback(self, now: float, kind: str) -> data.Feedback:
        """Returns the load feedback that goes with each response to a kind of call."""
        return data.Feedback(
            self._admission.level,
            self._get_downstream_level(now, kind),
            self._admission.in_flight + self._admission.waiting,
            self._admission.limit,
            self._admission.latency_s * 1000,
        )

    def raise_if_not_served(self, request: data.CallRequest) -> None:
        """Checks that this node serves the service of a call and is not draining.

        :raises errors.CallRefused: if not; ``ran`` is ``no``.
        """
        if self._info is None or self._info.service != request.service:
            raise self._build_refusal(request, data.Reason.NO_ENDPOINT)
        if self._draining:
            raise self._build_refusal(request, data.Reason.LEAVING)

    async def execute(
        self,
        request: data.CallRequest,
        body: bytes,
        grace_s: float = 0.0,
        pinned: bool = False,
    ) -> ExecutedCall:
        """Executes a call once.

        :param grace_s: seconds that the endpoint gets beyond the deadline, for
            calls whose outcome must become known.
        :param pinned: whether the call can run at no other endpoint. Such a call
            may wait longer for admission, and so may a nested call, since its
            callers have already spent work on it.
        :raises errors.CallRefused: if there is no complete response.
        """
        self.raise_if_not_served(request)
        arrived_at = time.monotonic()
        deadline = arrived_at + request.context.deadline_ms / 1000
        self._in_flight += 1
        try:
            can_wait_longer = pinned or request.context.depth > 0
            await self._admit(request, deadline, can_wait_longer)
            started_at = time.monotonic()
            queue_ms = (started_at - arrived_at) * 1000
            expires_at = deadline + grace_s
            running_call = running_calls.RunningCall(
                request, expires_at, self._admission
            )
            self._running_calls.add(running_call)
            response = await self._call_endpoint(
                request, body, running_call, started_at
            )
        finally:
            self._in_flight -= 1
        endpoint_ms = (time.monotonic() - started_at) * 1000
        self._metrics.record_latency_ms(
            "queue", request.service, request.kind, queue_ms
        )
        self._metrics.record_latency_ms(
            "endpoint", request.service, request.kind, endpoint_ms
        )
        return ExecutedCall(
            response, running_call.budget.remaining, queue_ms, endpoint_ms
        )

    async def _call_endpoint(
        self,
        request: data.CallRequest,
        body: bytes,
        running_call: running_calls.RunningCall,
        started_at: float,
    ) -> endpoint.EndpointResponse:
        failed = True
        may_have_run = True
        self._metrics.increment("runs", request.service, request.kind)
        try:
            max_body = self._tree.get_kind(request.service, request.kind).max_body
            timeout_s = running_call.expires_at - started_at
            response = await self._client.call(
                self._info, request, body, timeout_s, max_body
            )
            failed = response.status >= 500
            return response
        except errors.CallRefused as error:
            may_have_run = error.refusal.ran is not data.Ran.NO
            raise
        finally:
            now = time.monotonic()
            self._running_calls.remove(running_call, now)
            if may_have_run:
                elapsed_s = now - started_at
                work_s = elapsed_s - running_call.nested_call_s
                self._admission.finish(now, request.kind, elapsed_s, work_s, failed)
            else:
                self._admission.release(now)

    async def _admit(
        self, request: data.CallRequest, deadline: float, can_wait_longer: bool
    ) -> None:
        loop = asyncio.get_running_loop()
        decision: asyncio.Future[data.Reason | None] = loop.create_future()
        admitted = False

        def notify(reason: data.Reason | None) -> None:
            nonlocal admitted
            admitted = reason is None
            if not decision.done():
                decision.set_result(reason)

        call_rank = request.context.rank
        if call_rank < self._get_downstream_level(time.monotonic(), request.kind):
            self._log_verdict(request, admission.Verdict.REFUSE)
            raise self._build_refusal(request, data.Reason.CHAIN_OVERLOADED)
        verdict = self._admission.submit(
            time.monotonic(), call_rank, deadline, notify, can_wait_longer
        )
        self._log_verdict(request, verdict)
        if verdict is admission.Verdict.RUN:
            return
        if verdict is admission.Verdict.REFUSE:
            raise self._build_refusal(request, data.Reason.OVERLOADED)
        try:
            reason = await decision
        except asyncio.CancelledError:
            self._admission.cancel(notify)
            if admitted:
                self._admission.release(time.monotonic())
            raise
        if reason is not None:
            raise self._build_refusal(request, reason)

    def _get_downstream_level(self, now: float, kind: str) -> int:
        return (
            self._graph.get_downstream_level(now, kind)
            if self._sheds_downstream
            else rank.LOWEST
        )

    def _log_verdict(
        self, request: data.CallRequest, verdict: admission.Verdict
    ) -> None:
        self._log.write(
            time.monotonic(),
            "admit",
            verdict.value,
            call=request.call_id,
            service=request.service,
            kind=request.kind,
            rank=request.context.rank,
            level=self._admission.level,
            in_flight=self._admission.in_flight,
            waiting=self._admission.waiting,
            limit=self._admission.limit,
        )

    def _build_refusal(
        self, request: data.CallRequest, reason: data.Reason
    ) -> errors.CallRefused:
        self._metrics.increment("refused", request.service, reason.value)
        return errors.CallRefused(data.Refusal(reason, data.Ran.NO, "", RETRY_AFTER_MS))

    def _configure(self) -> None:
        if self._tree is None or self._info is None:
            return
        settings = self._tree.get_endpoint(self._info.service, self._info.name)
        slots = min(settings.slots, self._info.slots or settings.slots)
        applied_settings = (settings, slots)
        if applied_settings == self._applied_settings:
            return
        self._applied_settings = applied_settings
        limiter = limits.build_limiter(settings.concurrency, slots, settings.favour)
        shedding = settings.shedding != "off"
        self._sheds_downstream = settings.shedding == "chain"
        if settings.concurrency == "off":
            slots = limits.UNLIMITED
        shed_early = settings.favour == "recovery"
        queue_s = settings.queue_time / 1000
        self._admission.configure(limiter, slots, queue_s, shedding, shed_early)
