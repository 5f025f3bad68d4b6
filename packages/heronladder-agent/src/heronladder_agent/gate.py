"""Gate in front of one backend: admits, queues, runs and meters attempts, keeps responses."""

import asyncio
from dataclasses import dataclass

from heronladder_runtime import responses
from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.invariants import invariant
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.responses import EVENT_STREAM, AgentResponse, BackendCall, BackendResponse
from heronladder_runtime.settlements import make_settlement
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import agent_pb2, ledger_pb2

from heronladder_agent.adapters import BackendAdapter
from heronladder_agent.engine_control import EngineLoad, EngineReconciler
from heronladder_agent.errors import BackendError, BackendUnreachableError, RefusalError
from heronladder_agent.metering import StreamMeter, end_of_complete_response
from heronladder_agent.pending_bills import PendingBills, RouterKey
from heronladder_agent.runs import AttemptKey, Run, RunState, RunTable, attempt_key
from heronladder_agent.slots import SlotQueue

_ROUTER_NOTICE_TIMEOUT_S = 1.0
_DRAIN_POLL_INTERVAL_S = 0.05


@dataclass(frozen=True)
class GateOptions:
    """Settings of a gate.

    Attributes:
        agent: Name of the agent.
        backend: Name of the Backend resource that the agent serves.
        incarnation: Incarnation of the agent.
        concurrency: Maximum number of concurrent runs.
        queue_limit: Maximum number of runs that wait for a slot.
        keep_s: Time for which a finished response is kept, in seconds.
        keep_bytes: Memory limit for kept responses, in bytes.
    """

    agent: str
    backend: str
    incarnation: str
    concurrency: int
    queue_limit: int
    keep_s: float
    keep_bytes: int


class Gate:
    """Decides which attempts reach the backend and reports the result of each.

    Args:
        options: Settings.
        adapter: Sends requests to the backend.
        link: Link of the agent to control.
        held_bills: Holds bills until they are durable.
        environment: Source of time and randomness.
        metrics: Receives the metrics of the gate.
    """

    def __init__(
        self,
        options: GateOptions,
        adapter: BackendAdapter,
        link: ControlLink,
        held_bills: PendingBills,
        environment: Environment,
        metrics: Metrics,
    ) -> None:
        self._options = options
        self._adapter = adapter
        self._link = link
        self._held_bills = held_bills
        self._environment = environment
        self._metrics = metrics
        self._log = EventLog("agent.gate", options.agent)
        self._tasks = TaskGroupOwner(self._log)
        self._slots = SlotQueue(options.concurrency, options.queue_limit)
        self._routers: dict[str, str] = {}
        self._routers_changed = ChangeSignal()
        self.runs = RunTable(environment, options.keep_s, options.keep_bytes)
        self.run_ended = ChangeSignal()
        self.draining = False
        self.engine: EngineReconciler | None = None

    # ---- admission of routers ---------------------------------------------

    def admit_router(self, name: str, incarnation: str) -> None:
        """Accept dispatches of this router incarnation only, and no longer of earlier ones."""
        self._routers[name] = incarnation
        self._routers_changed.notify_waiters()

    def block_router(self, name: str, incarnation: str) -> None:
        """Accept no more dispatches of this router incarnation."""
        if self._routers.get(name) == incarnation:
            del self._routers[name]

    def has_active_runs(self, router: RouterKey) -> bool:
        """Return whether a run of this router incarnation is still active."""
        return any(_router_key(run.dispatch) == router for run in self.runs.active())

    # ---- dispatches -------------------------------------------------------

    async def dispatch(self, dispatch: agent_pb2.Dispatch, body: bytes) -> AgentResponse:
        """Run an attempt, or attach to one, and return its answer while it arrives."""
        self._held_bills.discard_durable(list(dispatch.settled))
        try:
            if dispatch.attach:
                return self._attach(dispatch)
            await self._wait_for_router_notice(dispatch)
            run = self._accept(dispatch)
        except RefusalError as error:
            return self._refusal_answer(dispatch, error)
        self._tasks.start(f"run-{dispatch.request_id}", self._execute(run, body))
        await run.wait_for_head()
        if run.refusal is not None:
            return AgentResponse(run.refusal)
        return self._answer(run)

    def _answer(self, run: Run) -> AgentResponse:
        answer = AgentResponse(self._head(run.dispatch), run.status, run.content_type)
        answer.chunks = run.read(answer)
        return answer

    def _head(self, dispatch: agent_pb2.Dispatch) -> agent_pb2.AnswerHead:
        load = self.engine.load if self.engine is not None else EngineLoad()
        return agent_pb2.AnswerHead(
            request_id=dispatch.request_id,
            agent=self._options.agent,
            agent_incarnation=self._options.incarnation,
            running=max(self._slots.running, load.running),
            queued=self._slots.queued + load.waiting,
            leaving=self.draining or self._is_backend_draining(),
        )

    def _refusal_answer(self, dispatch: agent_pb2.Dispatch, error: RefusalError) -> AgentResponse:
        """Return a refusal and ensure that no delayed duplicate of the attempt can run."""
        key = attempt_key(dispatch)
        incarnation_matches = dispatch.agent_incarnation == self._options.incarnation
        if incarnation_matches and not self.runs.is_known(key):
            self.runs.add_tombstone(key)
        self._metrics.add("agent_refusals", agent_pb2.RefusalCode.Name(error.code))
        head = self._head(dispatch)
        head.refusal = error.code
        head.message = error.message
        return AgentResponse(head)

    async def _wait_for_router_notice(self, dispatch: agent_pb2.Dispatch) -> None:
        """Wait for the notice of a new router, which its first dispatch can overtake."""
        deadline_s = self._environment.monotonic() + _ROUTER_NOTICE_TIMEOUT_S
        while dispatch.router not in self._routers:
            remaining_s = deadline_s - self._environment.monotonic()
            if remaining_s <= 0 or not await self._routers_changed.wait(remaining_s):
                return

    def _accept(self, dispatch: agent_pb2.Dispatch) -> Run:
        """Check all conditions and create the run, without an ``await`` in between."""
        peer = dispatch.request_id
        options = self._options
        if dispatch.agent_incarnation != options.incarnation:
            raise RefusalError(
                agent_pb2.REFUSAL_CODE_WRONG_INCARNATION,
                f"the incarnation of this agent is {options.incarnation}",
                peer=peer,
            )
        if dispatch.backend != options.backend:
            raise RefusalError(
                agent_pb2.REFUSAL_CODE_WRONG_BACKEND, f"agent serves {options.backend}", peer=peer
            )
        if self.runs.is_known(attempt_key(dispatch)):
            raise RefusalError(
                agent_pb2.REFUSAL_CODE_DUPLICATE, "attempt was already received", peer=peer
            )
        if self.draining or self._is_backend_draining():
            raise RefusalError(agent_pb2.REFUSAL_CODE_DRAINING, "not accepting new runs", peer=peer)
        if not self._link.fresh:
            raise RefusalError(
                agent_pb2.REFUSAL_CODE_STALE, "the agent's configuration is stale", peer=peer
            )
        if self._routers.get(dispatch.router) != dispatch.router_incarnation:
            raise RefusalError(
                agent_pb2.REFUSAL_CODE_FENCED, "the router's leases are fenced", peer=peer
            )
        return self.runs.accept(dispatch)

    def _is_backend_draining(self) -> bool:
        """Return whether the backend is draining or not configured."""
        resource = self._link.configuration.backends().get(self._options.backend)
        return resource is None or resource.backend.draining

    def _attach(self, dispatch: agent_pb2.Dispatch) -> AgentResponse:
        """Return the complete response of an attempt that runs or has run here."""
        peer = dispatch.request_id
        if dispatch.agent_incarnation != self._options.incarnation:
            raise RefusalError(
                agent_pb2.REFUSAL_CODE_WRONG_INCARNATION,
                f"the incarnation of this agent is {self._options.incarnation}",
                peer=peer,
            )
        key = attempt_key(dispatch)
        run = self.runs.get(key)
        if run is not None and run.state is not RunState.REFUSED:
            if not run.dispatch.keep_answer:
                raise RefusalError(
                    agent_pb2.REFUSAL_CODE_DUPLICATE, "another reader has the response", peer=peer
                )
            if run.end is not None and run.end.error:
                raise RefusalError(agent_pb2.REFUSAL_CODE_ANSWER_BROKEN, run.end.error, peer=peer)
            if run.dispatch.tenant != dispatch.tenant:
                raise RefusalError(
                    agent_pb2.REFUSAL_CODE_UNKNOWN_REQUEST, "request of another tenant", peer=peer
                )
            return self._answer(run)
        if self.runs.has_run(key):
            raise RefusalError(
                agent_pb2.REFUSAL_CODE_ANSWER_GONE, "the response is no longer kept", peer=peer
            )
        raise RefusalError(
            agent_pb2.REFUSAL_CODE_UNKNOWN_REQUEST, "has not run here and will not run", peer=peer
        )

    def cancel(self, key: AttemptKey) -> None:
        """Stop a run that its caller has cancelled, unless its response is kept."""
        run = self.runs.get(key)
        if run is not None and not run.dispatch.keep_answer:
            run.cancelled = True
            run.abandoned = True
            run.changed.notify_waiters()

    def hold(self, settlement: ledger_pb2.Settlement, router: RouterKey) -> bool:
        """Hold a copy of a bill that its router cannot make durable at present.

        Returns:
            False if this router incarnation is not known here; its leases may then be
            collected without waiting for this agent.
        """
        known = self._routers.get(router[0]) == router[1]
        if known:
            self._held_bills.hold(settlement, router)
        return known

    # ---- runs -------------------------------------------------------------

    async def _execute(self, run: Run, body: bytes) -> None:
        """Execute an accepted attempt: wait for a slot, call the backend and create the bill."""
        dispatch = run.dispatch
        try:
            await self._acquire_slot(run)
        except RefusalError as error:
            self._refuse_run(run, error)
            return
        started_s = self._environment.monotonic()
        try:
            run.state = RunState.RUNNING
            response = await self._adapter.open(BackendCall(dispatch, body))
            run.end = await self._read_response(run, response)
        except BackendUnreachableError as error:
            refusal = RefusalError(
                agent_pb2.REFUSAL_CODE_BACKEND_DOWN, error.message, peer=dispatch.request_id
            )
            self._refuse_run(run, refusal)
            return
        except BackendError as error:
            run.end = self._broken_end(dispatch, error.message)
        except asyncio.CancelledError:
            run.end = self._broken_end(dispatch, "the agent was stopped during the run")
            raise
        finally:
            self._slots.release()
            self._metrics.observe("agent_run", self._environment.monotonic() - started_s)
            if run.end is not None:
                self._finish(run)

    async def _acquire_slot(self, run: Run) -> None:
        dispatch = run.dispatch
        timeout_s = dispatch.deadline_ms / MILLISECONDS_PER_SECOND
        await self._slots.acquire(dispatch.priority, timeout_s, dispatch.request_id)
        if run.abandoned or self._routers.get(dispatch.router) != dispatch.router_incarnation:
            self._slots.release()
            raise RefusalError(
                agent_pb2.REFUSAL_CODE_FENCED,
                "the router or the caller left while the attempt waited for a slot",
                peer=dispatch.request_id,
            )

    def _refuse_run(self, run: Run, error: RefusalError) -> None:
        dispatch = run.dispatch
        run.refusal = self._head(dispatch)
        run.refusal.refusal = error.code
        run.refusal.message = error.message
        run.state = RunState.REFUSED
        self.runs.add_tombstone(attempt_key(dispatch))
        self._metrics.add("agent_refusals", agent_pb2.RefusalCode.Name(error.code))
        run.changed.notify_waiters()
        self.run_ended.notify_waiters()

    async def _read_response(self, run: Run, response: BackendResponse) -> agent_pb2.AnswerEnd:
        if response.content_type.startswith(EVENT_STREAM):
            return await self._read_event_stream(run, response)
        return await self._read_full_response(run, response)

    async def _read_event_stream(self, run: Run, response: BackendResponse) -> agent_pb2.AnswerEnd:
        dispatch = run.dispatch
        run.content_type = response.content_type
        run.status = response.status
        run.changed.notify_waiters()
        meter = StreamMeter(dispatch.include_usage)
        chunks = aiter(response.chunks)
        exceeded = ""
        try:
            async for chunk in chunks:
                forwarded = meter.feed(chunk)
                if forwarded:
                    run.add(forwarded)
                exceeded = run.exceeded_bound(meter.pending_bytes)
                if exceeded:
                    break
                if meter.done or meter.completion_tokens > dispatch.reserved_completion:
                    break
                await run.wait_for_buffer_space()
                if run.abandoned:
                    break
        except BackendError:
            pass  # The result of the meter reports the incomplete stream.
        finally:
            await chunks.aclose()  # type: ignore[attr-defined]
        end = meter.end(dispatch)
        end.cancelled = run.cancelled and not meter.done
        end.error = exceeded or end.error
        if meter.completion_tokens > dispatch.reserved_completion:
            end.error = "the engine exceeded the token reservation and was stopped"
            self._log.error(
                "reservation_passed", step="meter", peer=dispatch.request_id, end=end.error
            )
        return end

    async def _read_full_response(self, run: Run, response: BackendResponse) -> agent_pb2.AnswerEnd:
        body = await responses.read_bounded(response.chunks)
        if body is None:
            problem = f"response over {responses.MAX_RESPONSE_BYTES} bytes"
            raise BackendError(problem, step="read_answer", peer=run.dispatch.request_id)
        run.content_type = response.content_type
        run.add(body)
        end = end_of_complete_response(run.dispatch, response.status, body)
        run.status = response.status
        return end

    @staticmethod
    def _broken_end(dispatch: agent_pb2.Dispatch, reason: str) -> agent_pb2.AnswerEnd:
        return agent_pb2.AnswerEnd(
            request_id=dispatch.request_id, outcome=ledger_pb2.OUTCOME_UNKNOWN, error=reason
        )

    def _finish(self, run: Run) -> None:
        invariant(run.end is not None, "ended_runs_have_an_end", step="finish")
        if run.end is None:
            return
        run.end.running = self._slots.running
        run.end.queued = self._slots.queued
        dispatch = run.dispatch
        self._held_bills.hold(make_settlement(dispatch, run.end), _router_key(dispatch))
        run.state = RunState.FINISHED
        if not run.status:
            run.status = 502
        self.runs.finish(run)
        self._metrics.add("agent_tokens", "completion", run.end.completion_tokens)
        run.changed.notify_waiters()
        self.run_ended.notify_waiters()

    # ---- shutdown ---------------------------------------------------------

    async def drain(self, grace_s: float) -> None:
        """Refuse new dispatches at once, then wait for the runs in flight.

        Args:
            grace_s: Longest time to wait, in seconds.
        """
        self.draining = True
        deadline_s = self._environment.monotonic() + grace_s
        while self.runs.active() and self._environment.monotonic() < deadline_s:
            await asyncio.sleep(_DRAIN_POLL_INTERVAL_S)
        unfinished = len(self.runs.active())
        if unfinished:
            self._metrics.add("planned_stop_cuts", amount=unfinished)
            self._log.error(
                "planned_stop_cuts_runs", step="drain", runs=unfinished, grace_s=grace_s
            )

    async def stop(self) -> None:
        """Cancel all runs and close the connections to the backend."""
        await self._tasks.stop()
        await self._adapter.close()


def _router_key(dispatch: agent_pb2.Dispatch) -> RouterKey:
    return (dispatch.router, dispatch.router_incarnation)
