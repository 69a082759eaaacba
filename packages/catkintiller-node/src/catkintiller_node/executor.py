"""The serving side: admission of calls to the endpoint beside this node."""

import asyncio
import time
from typing import NamedTuple

from catkintiller import admission, data, errors, limits, rank, tree

from . import call_graph, decision_log, endpoint, metrics, running_calls

RETRY_AFTER_MS = 1000
IDLE_FEEDBACK = data.Feedback(rank.LOWEST, rank.LOWEST, 0, 1, 0.0)


class ExecutedCall(NamedTuple):
    """A whole answer and what serving it cost."""

    answer: endpoint.EndpointAnswer
    retries_left: int
    queue_ms: float
    endpoint_ms: float


class CallExecutor:
    """Runs calls at the endpoint, within its limit and in order of rank.

    :param client: client of the endpoint.
    :param running: registry of running calls.
    :param needs: what requests need further down their chain.
    """

    def __init__(
        self,
        client: endpoint.EndpointClient,
        running: running_calls.RunningCallRegistry,
        needs: call_graph.CallGraph,
        log: decision_log.DecisionLog,
        figures: metrics.Metrics,
    ) -> None:
        self._client = client
        self._parents = running
        self._chain = needs
        self._log = log
        self._metrics = figures
        self._info: endpoint.EndpointInfo | None = None
        self._draining = False
        self._tree: tree.Tree | None = None
        self._applied: tuple | None = None
        self._admission = admission.Admission(limits.StaticLimiter(1), 1, 0)
        self._shed_chain = True
        self._serving = 0

    @property
    def info(self) -> endpoint.EndpointInfo | None:
        """The announced endpoint."""
        return self._info

    @property
    def accepting(self) -> bool:
        """Whether new calls are served."""
        return self._info is not None and not self._draining

    @property
    def draining(self) -> bool:
        """Whether the endpoint takes no new calls because it will stop."""
        return self._draining

    @property
    def in_flight(self) -> int:
        """Calls that wait for the endpoint or run there."""
        return self._serving

    @property
    def waiting(self) -> int:
        """Calls that wait for their turn."""
        return self._admission.waiting

    def set_endpoint(self, info: endpoint.EndpointInfo) -> None:
        """Takes what the endpoint announced of itself."""
        self._info = info
        self._configure()

    def set_tree(self, settings: tree.Tree) -> None:
        """Takes changed settings into use."""
        self._tree = settings
        self._configure()

    def start_draining(self) -> None:
        """Refuses new calls from now on; running ones go on."""
        self._draining = True

    def stop_draining(self) -> None:
        """Takes new calls again."""
        self._draining = False

    def tick(self, now: float) -> None:
        """Lets admission expire waiters and lower its level."""
        self._admission.tick(now)

    def get_feedback(self, now: float, kind: str) -> data.Feedback:
        """Gets what this node tells callers of a kind with each answer."""
        return data.Feedback(
            self._admission.level,
            self._get_downstream_level(now, kind),
            self._admission.in_flight + self._admission.waiting,
            self._admission.limit,
            self._admission.latency_s * 1000,
        )

    def raise_if_not_served(self, request: data.CallRequest) -> None:
        """Refuses a call that this node can not serve at all.

        :raises errors.CallRefused: with ``ran`` no.
        """
        if self._info is None or self._info.service != request.service:
            raise self._refuse(request, data.Reason.NO_ENDPOINT)
        if self._draining:
            raise self._refuse(request, data.Reason.LEAVING)

    async def serve(
        self,
        request: data.CallRequest,
        body: bytes,
        patience_s: float = 0.0,
        bound: bool = False,
    ) -> ExecutedCall:
        """Runs a call once.

        :param patience_s: time that the endpoint gets beyond the deadline, for
            work whose outcome must become known.
        :param bound: the call can run at no other endpoint, and so may wait longer;
            so may one that has cost work further up its chain.
        :raises errors.CallRefused: if there is no whole answer.
        """
        self.raise_if_not_served(request)
        arrived = time.monotonic()
        deadline = arrived + request.context.deadline_ms / 1000
        self._serving += 1
        try:
            patient = bound or request.context.depth > 0
            await self._admit(request, deadline, patient)
            started = time.monotonic()
            queue_ms = (started - arrived) * 1000
            expires_at = deadline + patience_s
            running = running_calls.RunningCall(request, expires_at, self._admission)
            self._parents.add(running)
            answer = await self._run(request, body, running, started)
        finally:
            self._serving -= 1
        endpoint_ms = (time.monotonic() - started) * 1000
        self._metrics.record_latency_ms(
            "queue", request.service, request.kind, queue_ms
        )
        self._metrics.record_latency_ms(
            "endpoint", request.service, request.kind, endpoint_ms
        )
        return ExecutedCall(answer, running.budget.left, queue_ms, endpoint_ms)

    async def _run(
        self,
        request: data.CallRequest,
        body: bytes,
        running: running_calls.RunningCall,
        started: float,
    ) -> endpoint.EndpointAnswer:
        failed = True
        reached = True
        self._metrics.increment("runs", request.service, request.kind)
        try:
            max_body = self._tree.get_kind(request.service, request.kind).max_body
            timeout_s = running.expires_at - started
            answer = await self._client.call(
                self._info, request, body, timeout_s, max_body
            )
            failed = answer.status >= 500
            return answer
        except errors.CallRefused as error:
            reached = error.refusal.ran is not data.Ran.NO
            raise
        finally:
            now = time.monotonic()
            self._parents.remove(running, now)
            if reached:
                taken_s = now - started
                work_s = taken_s - running.nested_call_s
                self._admission.finish(now, request.kind, taken_s, work_s, failed)
            else:
                self._admission.release(now)

    async def _admit(
        self, request: data.CallRequest, deadline: float, patient: bool
    ) -> None:
        loop = asyncio.get_running_loop()
        turn: asyncio.Future[data.Reason | None] = loop.create_future()
        granted = False

        def wake(reason: data.Reason | None) -> None:
            nonlocal granted
            granted = reason is None
            if not turn.done():
                turn.set_result(reason)

        call_rank = request.context.rank
        if call_rank < self._get_downstream_level(time.monotonic(), request.kind):
            self._log_verdict(request, admission.Verdict.REFUSE)
            raise self._refuse(request, data.Reason.CHAIN_OVERLOADED)
        verdict = self._admission.offer(
            time.monotonic(), call_rank, deadline, wake, patient
        )
        self._log_verdict(request, verdict)
        if verdict is admission.Verdict.RUN:
            return
        if verdict is admission.Verdict.REFUSE:
            raise self._refuse(request, data.Reason.OVERLOADED)
        try:
            reason = await turn
        except asyncio.CancelledError:
            self._admission.withdraw(wake)
            if granted:
                self._admission.release(time.monotonic())
            raise
        if reason is not None:
            raise self._refuse(request, reason)

    def _get_downstream_level(self, now: float, kind: str) -> int:
        return (
            self._chain.get_downstream_level(now, kind)
            if self._shed_chain
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

    def _refuse(
        self, request: data.CallRequest, reason: data.Reason
    ) -> errors.CallRefused:
        self._metrics.increment("refused", request.service, reason.value)
        return errors.CallRefused(data.Refusal(reason, data.Ran.NO, "", RETRY_AFTER_MS))

    def _configure(self) -> None:
        if self._tree is None or self._info is None:
            return
        found = self._tree.get_endpoint(self._info.service, self._info.name)
        slots = min(found.slots, self._info.slots or found.slots)
        applied = (found, slots)
        if applied == self._applied:
            return
        self._applied = applied
        limiter = limits.make_limiter(found.concurrency, slots, found.favour)
        shed = found.shedding != "off"
        self._shed_chain = found.shedding == "chain"
        if found.concurrency == "off":
            slots = limits.UNLIMITED
        early = found.favour == "recovery"
        queue_s = found.queue_time / 1000
        self._admission.configure(limiter, slots, queue_s, shed, early)
