"""The gate before one back end: checks, queues, runs, meters and keeps answers."""

import asyncio
from dataclasses import dataclass

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
from heronladder_agent.engine_control import EngineKeeper, EngineLoad
from heronladder_agent.errors import BackendError, BackendUnreachableError, RefusalError
from heronladder_agent.metering import StreamMeter, end_of_whole_answer
from heronladder_agent.records import RecordKeeper, RouterKey
from heronladder_agent.runs import AttemptKey, Run, RunState, RunTable, attempt_key
from heronladder_agent.slots import SlotQueue

_WHOLE_ANSWER_LIMIT = 16 * 1024 * 1024
_UNKNOWN_ROUTER_WAIT_S = 1.0
_STOP_POLL_S = 0.05


@dataclass(frozen=True)
class GateOptions:
    """Settings of a gate.

    Attributes:
        agent: Name of the agent.
        backend: Name of the Backend resource behind it.
        incarnation: Identity of this start of the agent.
        concurrency: Runs at once.
        queue_limit: Runs that may wait.
        keep_s: Time a finished answer is kept, in seconds.
        keep_bytes: Memory for kept answers, in bytes.
    """

    agent: str
    backend: str
    incarnation: str
    concurrency: int
    queue_limit: int
    keep_s: float
    keep_bytes: int


class Gate:
    """Decides what reaches the back end, and says what became of it.

    Args:
        options: Settings.
        adapter: Calls the back end.
        link: The agent's link to control.
        records: Holds bills until they are durable.
        environment: Time and randomness.
        metrics: Where it counts.
    """

    def __init__(
        self,
        options: GateOptions,
        adapter: BackendAdapter,
        link: ControlLink,
        records: RecordKeeper,
        environment: Environment,
        metrics: Metrics,
    ) -> None:
        self._options = options
        self._adapter = adapter
        self._link = link
        self._records = records
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
        self.engine: EngineKeeper | None = None

    # ---- who may send -----------------------------------------------------

    def admit_router(self, name: str, incarnation: str) -> None:
        """Take dispatches of a router's incarnation, and of no earlier one."""
        self._routers[name] = incarnation
        self._routers_changed.notify_waiters()

    def bar_router(self, name: str, incarnation: str) -> None:
        """Take no more dispatches of a router's incarnation."""
        if self._routers.get(name) == incarnation:
            del self._routers[name]

    def runs_any_of(self, router: RouterKey) -> bool:
        """Whether a run of a router's incarnation is still going on."""
        return any(_router_of(run.dispatch) == router for run in self.runs.active())

    # ---- dispatches -------------------------------------------------------

    async def dispatch(self, dispatch: agent_pb2.Dispatch, body: bytes) -> AgentResponse:
        """Run an attempt, or attach to one, and return its answer as it comes."""
        self._records.forget(list(dispatch.settled))
        try:
            if dispatch.attach:
                return self._attach(dispatch)
            await self._know_router(dispatch)
            run = self._accept(dispatch)
        except RefusalError as error:
            return self._refused(dispatch, error)
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
            leaving=self.draining or self._backend_drains(),
        )

    def _refused(self, dispatch: agent_pb2.Dispatch, error: RefusalError) -> AgentResponse:
        """Refuse an attempt, and make sure that no late copy of it can run."""
        key = attempt_key(dispatch)
        incarnation_matches = dispatch.agent_incarnation == self._options.incarnation
        if incarnation_matches and not self.runs.seen(key):
            self.runs.bury(key)
        self._metrics.add("agent_refusals", agent_pb2.RefusalCode.Name(error.code))
        head = self._head(dispatch)
        head.refusal = error.code
        head.message = error.message
        return AgentResponse(head)

    async def _know_router(self, dispatch: agent_pb2.Dispatch) -> None:
        """Wait a little for the notice of a router that has just started."""
        deadline_s = self._environment.monotonic() + _UNKNOWN_ROUTER_WAIT_S
        while dispatch.router not in self._routers:
            left_s = deadline_s - self._environment.monotonic()
            if left_s <= 0 or not await self._routers_changed.wait(left_s):
                return

    def _accept(self, dispatch: agent_pb2.Dispatch) -> Run:
        """Check everything that could forbid the run; all in one step, without waiting."""
        name = dispatch.request_id
        options = self._options
        if dispatch.agent_incarnation != options.incarnation:
            raise RefusalError(
                agent_pb2.REFUSAL_CODE_WRONG_INCARNATION,
                f"this is incarnation {options.incarnation}",
                peer=name,
            )
        if dispatch.backend != options.backend:
            raise RefusalError(
                agent_pb2.REFUSAL_CODE_WRONG_BACKEND, f"this is {options.backend}", peer=name
            )
        if self.runs.seen(attempt_key(dispatch)):
            raise RefusalError(
                agent_pb2.REFUSAL_CODE_DUPLICATE, "this attempt was here before", peer=name
            )
        if self.draining or self._backend_drains():
            raise RefusalError(agent_pb2.REFUSAL_CODE_DRAINING, "leaving", peer=name)
        if not self._link.fresh:
            raise RefusalError(
                agent_pb2.REFUSAL_CODE_STALE, "the agent's configuration is stale", peer=name
            )
        if self._routers.get(dispatch.router) != dispatch.router_incarnation:
            raise RefusalError(
                agent_pb2.REFUSAL_CODE_FENCED, "the router's leases are fenced", peer=name
            )
        return self.runs.accept(dispatch)

    def _backend_drains(self) -> bool:
        resource = self._link.configuration.backends().get(self._options.backend)
        return resource is None or resource.backend.draining

    def _attach(self, dispatch: agent_pb2.Dispatch) -> AgentResponse:
        """Return the whole answer of an attempt that runs, or ran, here."""
        name = dispatch.request_id
        if dispatch.agent_incarnation != self._options.incarnation:
            raise RefusalError(
                agent_pb2.REFUSAL_CODE_WRONG_INCARNATION,
                f"this is incarnation {self._options.incarnation}",
                peer=name,
            )
        key = attempt_key(dispatch)
        run = self.runs.get(key)
        if run is not None and run.state is not RunState.REFUSED:
            if not run.dispatch.keep_answer:
                raise RefusalError(
                    agent_pb2.REFUSAL_CODE_DUPLICATE, "it runs for another reader", peer=name
                )
            if run.end is not None and run.end.error:
                raise RefusalError(agent_pb2.REFUSAL_CODE_ANSWER_BROKEN, run.end.error, peer=name)
            if run.dispatch.tenant != dispatch.tenant:
                raise RefusalError(
                    agent_pb2.REFUSAL_CODE_UNKNOWN_REQUEST, "not this tenant's", peer=name
                )
            return self._answer(run)
        if self.runs.ran(key):
            raise RefusalError(
                agent_pb2.REFUSAL_CODE_ANSWER_GONE, "the answer is not kept", peer=name
            )
        raise RefusalError(
            agent_pb2.REFUSAL_CODE_UNKNOWN_REQUEST, "it did not and will not run", peer=name
        )

    def cancel(self, key: AttemptKey) -> None:
        """Stop a run that its caller gave up, unless its answer is kept."""
        run = self.runs.get(key)
        if run is not None and not run.dispatch.keep_answer:
            run.cancelled = True
            run.abandoned = True
            run.changed.notify_waiters()

    def hold(self, settlement: ledger_pb2.Settlement, router: RouterKey) -> bool:
        """Hold a copy of a bill that its router cannot make durable now.

        Returns:
            False when the router is not known here, so that its leases may be
            collected without waiting for this agent.
        """
        known = self._routers.get(router[0]) == router[1]
        if known:
            self._records.hold(settlement, router)
        return known

    # ---- runs -------------------------------------------------------------

    async def _execute(self, run: Run, body: bytes) -> None:
        """Run an accepted attempt from its queue to its bill."""
        dispatch = run.dispatch
        try:
            await self._take_slot(run)
        except RefusalError as error:
            self._refuse_run(run, error)
            return
        started_s = self._environment.monotonic()
        try:
            run.state = RunState.RUNNING
            answer = await self._adapter.open(BackendCall(dispatch, body))
            run.end = await self._take_answer(run, answer)
        except BackendUnreachableError as error:
            refusal = RefusalError(
                agent_pb2.REFUSAL_CODE_BACKEND_DOWN, error.message, peer=dispatch.request_id
            )
            self._refuse_run(run, refusal)
            return
        except BackendError as error:
            run.end = self._broken_end(dispatch, error.message)
        except asyncio.CancelledError:
            run.end = self._broken_end(dispatch, "the agent was stopped")
            raise
        finally:
            self._slots.release()
            self._metrics.observe("agent_run", self._environment.monotonic() - started_s)
            if run.end is not None:
                self._finish(run)

    async def _take_slot(self, run: Run) -> None:
        dispatch = run.dispatch
        timeout_s = dispatch.deadline_ms / MILLISECONDS_PER_SECOND
        await self._slots.acquire(dispatch.priority, timeout_s, dispatch.request_id)
        if run.abandoned or self._routers.get(dispatch.router) != dispatch.router_incarnation:
            self._slots.release()
            raise RefusalError(
                agent_pb2.REFUSAL_CODE_FENCED,
                "its router went away while it waited",
                peer=dispatch.request_id,
            )

    def _refuse_run(self, run: Run, error: RefusalError) -> None:
        dispatch = run.dispatch
        run.refusal = self._head(dispatch)
        run.refusal.refusal = error.code
        run.refusal.message = error.message
        run.state = RunState.REFUSED
        self.runs.bury(attempt_key(dispatch))
        self._metrics.add("agent_refusals", agent_pb2.RefusalCode.Name(error.code))
        run.changed.notify_waiters()
        self.run_ended.notify_waiters()

    async def _take_answer(self, run: Run, answer: BackendResponse) -> agent_pb2.AnswerEnd:
        if answer.content_type.startswith(EVENT_STREAM):
            return await self._take_stream(run, answer)
        return await self._take_whole(run, answer)

    async def _take_stream(self, run: Run, answer: BackendResponse) -> agent_pb2.AnswerEnd:
        dispatch = run.dispatch
        run.content_type = answer.content_type
        run.status = answer.status
        run.changed.notify_waiters()
        meter = StreamMeter(dispatch.include_usage)
        chunks = aiter(answer.chunks)
        try:
            async for chunk in chunks:
                passed = meter.feed(chunk)
                if passed:
                    run.add(passed)
                if meter.done or meter.completion_tokens > dispatch.reserved_completion:
                    break
                await run.wait_for_room()
                if run.abandoned:
                    break
        except BackendError:
            pass  # the meter says that the stream is not whole
        finally:
            await chunks.aclose()  # type: ignore[attr-defined]
        end = meter.end(dispatch)
        end.cancelled = run.cancelled and not meter.done
        if meter.completion_tokens > dispatch.reserved_completion:
            end.error = "the engine went past the reservation and was stopped"
            self._log.error(
                "reservation_passed", step="meter", peer=dispatch.request_id, end=end.error
            )
        return end

    async def _take_whole(self, run: Run, answer: BackendResponse) -> agent_pb2.AnswerEnd:
        parts = []
        size = 0
        async for chunk in answer.chunks:
            parts.append(chunk)
            size += len(chunk)
            if size > _WHOLE_ANSWER_LIMIT:
                raise BackendError(f"answer over {_WHOLE_ANSWER_LIMIT} bytes", step="read_answer")
        body = b"".join(parts)
        run.content_type = answer.content_type
        run.add(body)
        end = end_of_whole_answer(run.dispatch, answer.status, body)
        run.status = answer.status
        return end

    @staticmethod
    def _broken_end(dispatch: agent_pb2.Dispatch, why: str) -> agent_pb2.AnswerEnd:
        return agent_pb2.AnswerEnd(
            request_id=dispatch.request_id, outcome=ledger_pb2.OUTCOME_UNKNOWN, error=why
        )

    def _finish(self, run: Run) -> None:
        invariant(run.end is not None, "ended_runs_have_an_end", step="finish")
        if run.end is None:
            return
        run.end.running = self._slots.running
        run.end.queued = self._slots.queued
        dispatch = run.dispatch
        self._records.hold(make_settlement(dispatch, run.end), _router_of(dispatch))
        run.state = RunState.FINISHED
        if not run.status:
            run.status = 502
        self.runs.finish(run)
        self._metrics.add("agent_tokens", "completion", run.end.completion_tokens)
        run.changed.notify_waiters()
        self.run_ended.notify_waiters()

    # ---- leaving ----------------------------------------------------------

    async def drain(self, grace_s: float) -> None:
        """Refuse new work at once, then wait for the runs in flight.

        Args:
            grace_s: Longest time to wait, in seconds.
        """
        self.draining = True
        deadline_s = self._environment.monotonic() + grace_s
        while self.runs.active() and self._environment.monotonic() < deadline_s:
            await asyncio.sleep(_STOP_POLL_S)
        cut = len(self.runs.active())
        if cut:
            self._metrics.add("planned_stop_cuts", amount=cut)
            self._log.error("planned_stop_cuts_runs", step="drain", runs=cut, grace_s=grace_s)

    async def stop(self) -> None:
        """End all runs."""
        await self._tasks.stop()
        await self._adapter.close()


def _router_of(dispatch: agent_pb2.Dispatch) -> RouterKey:
    return (dispatch.router, dispatch.router_incarnation)
