"""Forwarding: from an admitted request to its answer, over as many attempts as allowed."""

import asyncio
import json
from collections.abc import AsyncIterator
from dataclasses import dataclass

from heronladder_runtime.answers import EVENT_STREAM, AgentAnswer
from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.invariants import invariant
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import agent_pb2, ledger_pb2

from heronladder_router.admission import AdmissionQueue
from heronladder_router.agent_channel import AgentChannel
from heronladder_router.attempt import Attempt, Bookkeeper
from heronladder_router.caller_answer import CallerAnswer
from heronladder_router.claims import ClaimClient, ClaimHeldError
from heronladder_router.errors import (
    AlreadyRanError,
    BackendLostError,
    CallerError,
    ChannelLostError,
    ChannelNotSentError,
    NoBackendError,
    OutcomeUnknownError,
    OverloadedError,
    StaleError,
)
from heronladder_router.leases import LeaseManager, Reservation
from heronladder_router.limbo import Limbo, UnresolvedAttempt
from heronladder_router.replicas import Replica, ReplicaDirectory
from heronladder_router.requests import CallerRequest
from heronladder_router.retry_budget import RetryBudget
from heronladder_router.selection import ReplicaSelector
from heronladder_router.settler import Settler

_DEFAULT_ATTEMPTS = 4
_ATTACH_TRIES = 3
_ATTACH_PAUSE_S = 0.5
_REPLICA_POLL_S = 0.25
_DONE_EVENT = b"data: [DONE]\n\n"
_OVERLOAD_REFUSALS = (agent_pb2.REFUSAL_CODE_BUSY, agent_pb2.REFUSAL_CODE_DEADLINE)


@dataclass(frozen=True)
class ForwardingOptions:
    """Settings of forwarding.

    Attributes:
        router: Name of the router.
        admission_wait_s: Longest wait for budget or a free back end, in seconds.
    """

    router: str
    admission_wait_s: float


@dataclass
class ForwardingParts:
    """What forwarding works with."""

    link: ControlLink
    channel: AgentChannel
    directory: ReplicaDirectory
    selector: ReplicaSelector
    admission: AdmissionQueue
    leases: LeaseManager
    settler: Settler
    bookkeeper: Bookkeeper
    claims: ClaimClient
    limbo: Limbo


class _TryAgain(Exception):
    """The attempt is proved not to have run; another may be made."""


class Forwarder:
    """Forwards requests.

    Args:
        options: Settings.
        parts: What it works with.
        environment: Time and randomness.
        metrics: Where it counts.
        log: Where events are reported.
    """

    def __init__(
        self,
        options: ForwardingOptions,
        parts: ForwardingParts,
        environment: Environment,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self._options = options
        self._parts = parts
        self._environment = environment
        self._metrics = metrics
        self._log = log
        self._tasks = TaskGroupOwner(log)
        self._retries = RetryBudget()
        self.in_flight = 0

    async def stop(self) -> None:
        """End all background work."""
        await self._tasks.stop()

    # ---- one request ------------------------------------------------------

    async def forward(self, request: CallerRequest) -> CallerAnswer:
        """Return the answer to a request.

        Raises:
            CallerError: If there is none; says whether the request ran.
        """
        if not self._parts.link.fresh:
            raise StaleError("this router's configuration is stale", step="forward")
        await self._enter(request)
        started_s = self._environment.monotonic()
        self.in_flight += 1
        try:
            answer = await self._forward_admitted(request)
        except BaseException:
            self._leave(request, started_s)
            raise

        async def leave() -> None:
            self._leave(request, started_s)

        answer.on_close.append(leave)
        return answer

    async def _enter(self, request: CallerRequest) -> None:
        limit = sum(
            replica.spec.concurrency for replica in self._parts.directory.usable(request.service)
        )
        spec = request.tenant_spec
        await self._parts.admission.enter(
            request.service,
            request.tenant,
            weight=spec.weight,
            priority=spec.priority,
            tokens=request.tokens,
            limit=max(1, limit),
            wait_s=min(self._options.admission_wait_s, self._left_s(request)),
        )

    def _leave(self, request: CallerRequest, started_s: float) -> None:
        self.in_flight -= 1
        held_s = self._environment.monotonic() - started_s
        self._parts.admission.leave(request.service, held_s)

    def _left_s(self, request: CallerRequest) -> float:
        return max(0.0, request.deadline_s - self._environment.monotonic())

    async def _reserve(self, request: CallerRequest) -> Reservation:
        wait_s = min(self._options.admission_wait_s, self._left_s(request))
        return await self._parts.leases.reserve(request.tenant_spec.budget, request.tokens, wait_s)

    async def _forward_admitted(self, request: CallerRequest) -> CallerAnswer:
        policy = self._parts.selector.policy(request.service_spec)
        self._retries.request(policy.retry_budget_percent)
        reservation = await self._reserve(request)
        tried: set[str] = set()
        attempt: Attempt | None = None
        overloaded = False
        try:
            for number in range(1, (policy.attempts or _DEFAULT_ATTEMPTS) + 1):
                if attempt is not None and attempt.settled:
                    reservation = await self._reserve(request)
                replica = await self._find_replica(request, tried)
                attempt = self._prepare(request, reservation, replica, number)
                tried.add(replica.name)
                try:
                    return await self._try(request, replica, attempt)
                except ClaimHeldError as held:
                    attempt.settle_not_run(self._parts.bookkeeper)
                    attached = await self._attach(request, held.claim)
                    if attached is not None:
                        return attached
                    tried.clear()
                except _TryAgain as again:
                    overloaded = overloaded or bool(again.args and again.args[0])
                    self._metrics.add("retries", request.service)
        except CallerError:
            self._close_unused(request, reservation, attempt)
            raise
        self._close_unused(request, reservation, attempt)
        if overloaded:
            raise OverloadedError("all back ends are busy", step="forward", peer=request.service)
        raise NoBackendError("no back end took it", step="forward", peer=request.service)

    def _close_unused(
        self, request: CallerRequest, reservation: Reservation, attempt: Attempt | None
    ) -> None:
        """Settle a reservation under which nothing ran."""
        if attempt is not None and attempt.reservation is reservation:
            if not attempt.settled:
                attempt.settle_not_run(self._parts.bookkeeper)
            return
        dispatch = agent_pb2.Dispatch(
            request_id=request.request_id,
            lease_id=reservation.lease_id,
            sequence=reservation.sequence,
        )
        Attempt(dispatch, reservation, "", "").settle_not_run(self._parts.bookkeeper)

    async def _find_replica(self, request: CallerRequest, tried: set[str]) -> Replica:
        """Return a replica to try, waiting a while when none is usable."""
        wait_s = min(self._options.admission_wait_s, self._left_s(request))
        deadline_s = self._environment.monotonic() + wait_s
        while True:
            replica = self._parts.selector.choose(request, tried)
            if replica is None and tried:
                # All were tried; a refusal may have been of the moment only.
                replica = self._parts.selector.choose(request, set())
            if replica is not None:
                return replica
            left_s = deadline_s - self._environment.monotonic()
            if left_s <= 0:
                raise NoBackendError(
                    "no back end of the service can be reached",
                    step="find_replica",
                    peer=request.service,
                )
            await self._parts.directory.changed.wait(min(left_s, _REPLICA_POLL_S))

    def _prepare(
        self, request: CallerRequest, reservation: Reservation, replica: Replica, number: int
    ) -> Attempt:
        dispatch = agent_pb2.Dispatch(
            request_id=request.request_id,
            lease_id=reservation.lease_id,
            sequence=reservation.sequence,
            reserved_prompt=request.prompt_bound,
            reserved_completion=request.completion_bound,
            tenant=request.tenant,
            service=request.service,
            backend=replica.name,
            agent_incarnation=replica.incarnation,
            attempt=number,
            priority=request.tenant_spec.priority,
            deadline_ms=int(self._left_s(request) * MILLISECONDS_PER_SECOND),
            stream=request.stream,
            include_usage=request.include_usage,
            keep_answer=request.claimed,
            method=request.method,
            path=request.path,
            content_type=request.content_type,
            repeatable=request.repeatable,
            router=self._options.router,
            router_incarnation=self._parts.link.record.incarnation,
        )
        dispatch.settled.extend(self._parts.settler.acknowledged(replica.spec.agent))
        return Attempt(dispatch, reservation, replica.spec.agent_address, replica.spec.agent)

    # ---- one attempt ------------------------------------------------------

    async def _try(
        self, request: CallerRequest, replica: Replica, attempt: Attempt
    ) -> CallerAnswer:
        """Make one attempt.

        Raises:
            _TryAgain: If another may be made.
            ClaimHeldError: If another attempt of the request holds the claim.
            CallerError: If the request ends without an answer.
        """
        if request.claimed:
            claim = await self._parts.claims.take(request, attempt.dispatch, replica)
            attempt.claim = claim
            attempt.dispatch.attempt = claim.attempt
            attempt.dispatch.claim_revision = claim.revision
        directory = self._parts.directory
        directory.sent(replica)
        try:
            answer = await self._parts.channel.dispatch(
                attempt.address, attempt.dispatch, request.body
            )
            directory.answered(replica, answer.head)
            if answer.refused:
                await self._refused(attempt, answer)
            attempt.answer = answer
            return await self._take_answer(request, replica, attempt)
        except ChannelNotSentError as error:
            directory.ended(replica)
            directory.failed(replica, certain=True)
            await self._free_claim(attempt)
            raise _TryAgain from error
        except ChannelLostError as error:
            directory.ended(replica)
            directory.failed(replica)
            await self._lost(request, attempt, error)
            raise _TryAgain from error
        except BaseException:
            directory.ended(replica)
            raise

    async def _refused(self, attempt: Attempt, answer: AgentAnswer) -> None:
        """Go on after a refusal, which proves that the attempt never runs."""
        refusal = answer.head.refusal
        invariant(
            refusal != agent_pb2.REFUSAL_CODE_UNSPECIFIED,
            "refusals_have_a_code",
            step="refused",
            peer=attempt.agent,
        )
        if refusal == agent_pb2.REFUSAL_CODE_DUPLICATE:
            await self._prove_not_run(attempt)
        await self._free_claim(attempt)
        raise _TryAgain(refusal in _OVERLOAD_REFUSALS)

    async def _prove_not_run(self, attempt: Attempt) -> None:
        """Find out what became of an attempt whose id was at the agent before.

        Raises:
            ChannelLostError: If it may have run.
        """
        question = agent_pb2.Dispatch()
        question.CopyFrom(attempt.dispatch)
        question.attach = True
        answer = await self._parts.channel.dispatch(attempt.address, question, b"")
        if answer.head.refusal != agent_pb2.REFUSAL_CODE_UNKNOWN_REQUEST:
            if answer.chunks is not None:
                await answer.chunks.aclose()  # type: ignore[attr-defined]
            raise ChannelLostError(
                "an earlier copy of the attempt ran", step="refused", peer=attempt.agent
            )

    async def _free_claim(self, attempt: Attempt) -> None:
        if attempt.claim is not None:
            await self._parts.claims.release(attempt.claim, agent_lost=False)

    async def _lost(
        self, request: CallerRequest, attempt: Attempt, error: ChannelLostError
    ) -> None:
        """Go on after an agent was lost with the attempt's outcome unknown.

        Returns normally if another attempt may be made.

        Raises:
            BackendLostError: If the retry budget or the time is used up.
            OutcomeUnknownError: If the request may not be repeated.
        """
        self._log.info(
            "agent_lost", step=error.step, peer=attempt.agent, request_id=request.request_id
        )
        if not request.repeatable:
            self._await_outcome(attempt)
            raise OutcomeUnknownError(
                "the back end was lost; ask for the outcome with the request's key",
                step=error.step,
                peer=attempt.agent,
            ) from error
        if attempt.claim is not None:
            await self._parts.claims.release(attempt.claim, agent_lost=True)
        attempt.settle_lost(self._parts.bookkeeper)
        if self._left_s(request) <= 0 or not self._retries.spend():
            raise BackendLostError(error.message, step=error.step, peer=attempt.agent) from error

    def _await_outcome(self, attempt: Attempt) -> None:
        attempt.settled = True  # by limbo, once the outcome is known
        self._parts.limbo.add(
            UnresolvedAttempt(
                attempt.dispatch,
                attempt.reservation,
                attempt.address,
                attempt.agent,
                attempt.already_billed,
            )
        )

    # ---- the answer -------------------------------------------------------

    async def _take_answer(
        self, request: CallerRequest, replica: Replica, attempt: Attempt
    ) -> CallerAnswer:
        answer = attempt.answer
        assert answer is not None
        invariant(
            answer.head.request_id == request.request_id,
            "answers_are_their_callers_own",
            step="take_answer",
            peer=attempt.agent,
            detail=f"{answer.head.request_id} for {request.request_id}",
        )
        if answer.content_type.startswith(EVENT_STREAM):
            return self._streamed(request, replica, attempt, answer)
        return await self._whole(request, replica, attempt, answer)

    async def _whole(
        self, request: CallerRequest, replica: Replica, attempt: Attempt, answer: AgentAnswer
    ) -> CallerAnswer:
        """Read an answer that comes in one piece, and bill it."""
        assert answer.chunks is not None
        body = b"".join([chunk async for chunk in answer.chunks])
        end = answer.end
        if end is None or end.error:
            why = end.error if end is not None else "the answer has no end"
            raise ChannelLostError(why, step="read_answer", peer=attempt.agent)
        durable = attempt.settle_end(self._parts.bookkeeper, end)
        await self._parts.bookkeeper.wait_durable(durable)
        self._parts.directory.succeeded(replica)
        self._parts.directory.ended(replica)
        return CallerAnswer(request.request_id, answer.status, answer.content_type, body)

    def _streamed(
        self, request: CallerRequest, replica: Replica, attempt: Attempt, answer: AgentAnswer
    ) -> CallerAnswer:
        caller_answer = CallerAnswer(request.request_id, answer.status, EVENT_STREAM)
        caller_answer.chunks = self._pass_stream(request, attempt, answer)

        async def finish() -> None:
            self._parts.directory.ended(replica)
            if attempt.settled:
                self._parts.directory.succeeded(replica)
            else:
                self._tasks.start("finish_abandoned", self._finish_abandoned(attempt))

        caller_answer.on_close.append(finish)
        return caller_answer

    async def _pass_stream(
        self, request: CallerRequest, attempt: Attempt, answer: AgentAnswer
    ) -> AsyncIterator[bytes]:
        """Yield an event stream; its end only once the bill is durable."""
        passed = 0
        while True:
            assert answer.chunks is not None
            skip = passed
            try:
                async for chunk in answer.chunks:
                    if skip >= len(chunk):
                        skip -= len(chunk)
                        continue
                    passed += len(chunk) - skip
                    yield chunk[skip:] if skip else chunk
                    skip = 0
                break
            except ChannelLostError as error:
                resumed = await self._resume(request, attempt)
                if resumed is None:
                    yield self._broken_stream(request, attempt, error.message)
                    return
                answer = resumed
        end = answer.end
        assert end is not None
        durable = attempt.settle_end(self._parts.bookkeeper, end)
        await self._parts.bookkeeper.wait_durable(durable)
        if end.error:
            yield self._error_event(BackendLostError(end.error, step="stream"))
        else:
            yield _DONE_EVENT

    async def _resume(self, request: CallerRequest, attempt: Attempt) -> AgentAnswer | None:
        """Return the kept answer of a run whose stream was cut, from its start."""
        if not attempt.dispatch.keep_answer:
            return None
        question = agent_pb2.Dispatch()
        question.CopyFrom(attempt.dispatch)
        question.attach = True
        for _ in range(_ATTACH_TRIES):
            if self._left_s(request) <= 0:
                return None
            try:
                answer = await self._parts.channel.dispatch(attempt.address, question, b"")
            except (ChannelNotSentError, ChannelLostError):
                await asyncio.sleep(_ATTACH_PAUSE_S)
                continue
            return None if answer.refused else answer
        return None

    def _broken_stream(self, request: CallerRequest, attempt: Attempt, why: str) -> bytes:
        if attempt.dispatch.keep_answer:
            self._await_outcome(attempt)
        else:
            attempt.settle_lost(self._parts.bookkeeper)
        self._metrics.add("streams_broken", request.service)
        return self._error_event(BackendLostError(why, step="stream", peer=attempt.agent))

    @staticmethod
    def _error_event(error: CallerError) -> bytes:
        document = {"error": {"message": error.message, "type": error.code, "code": error.code}}
        return b"data: " + json.dumps(document).encode() + b"\n\n"

    async def _finish_abandoned(self, attempt: Attempt) -> None:
        """Read an answer to its end after its caller went away, and bill it."""
        answer = attempt.answer
        assert answer is not None and answer.chunks is not None
        dispatch = attempt.dispatch
        if not dispatch.keep_answer:
            await self._parts.channel.cancel(attempt.address, dispatch.request_id, dispatch.attempt)
        try:
            async for _ in answer.chunks:
                pass
        except ChannelLostError:
            pass
        if answer.end is not None:
            attempt.settle_end(self._parts.bookkeeper, answer.end)
        else:
            self._await_outcome(attempt)

    # ---- attaching to an earlier attempt ----------------------------------

    async def _attach(self, request: CallerRequest, claim: ledger_pb2.Claim) -> CallerAnswer | None:
        """Return the answer of the attempt that holds a request's claim.

        Returns:
            None once the claim is free: the request may be claimed anew.

        Raises:
            CallerError: If the answer cannot be had.
        """
        question = agent_pb2.Dispatch(
            request_id=claim.request_id,
            attempt=claim.attempt,
            tenant=request.tenant,
            backend=claim.backend,
            agent_incarnation=claim.agent_incarnation,
            attach=True,
            router=self._options.router,
            router_incarnation=self._parts.link.record.incarnation,
        )
        refusal = agent_pb2.REFUSAL_CODE_UNSPECIFIED
        for _ in range(_ATTACH_TRIES):
            try:
                answer = await self._parts.channel.dispatch(claim.agent_address, question, b"")
            except (ChannelNotSentError, ChannelLostError):
                await asyncio.sleep(_ATTACH_PAUSE_S)
                continue
            if not answer.refused:
                return await self._attached(claim, answer)
            refusal = answer.head.refusal
            break
        return await self._attach_refused(request, claim, refusal)

    async def _attach_refused(
        self,
        request: CallerRequest,
        claim: ledger_pb2.Claim,
        refusal: agent_pb2.RefusalCode.ValueType,
    ) -> None:
        if refusal == agent_pb2.REFUSAL_CODE_UNKNOWN_REQUEST:
            if claim.state == ledger_pb2.CLAIM_STATE_HELD:
                await self._parts.claims.release(claim, agent_lost=False)
                return
        elif request.repeatable:
            await self._parts.claims.release(claim, agent_lost=True)
            return
        if (
            refusal == agent_pb2.REFUSAL_CODE_ANSWER_GONE
            or claim.state == ledger_pb2.CLAIM_STATE_DONE
        ):
            raise AlreadyRanError(
                "the request ran before; its answer is not kept any more",
                step="attach",
                peer=claim.agent,
            )
        raise OutcomeUnknownError(
            "an earlier attempt's back end is lost; whether it ran is not known",
            step="attach",
            peer=claim.agent,
        )

    async def _attached(self, claim: ledger_pb2.Claim, answer: AgentAnswer) -> CallerAnswer:
        assert answer.chunks is not None
        self._metrics.add("attached")
        if answer.content_type.startswith(EVENT_STREAM):
            caller_answer = CallerAnswer(claim.request_id, answer.status, EVENT_STREAM)
            caller_answer.chunks = self._pass_attached(answer)
            return caller_answer
        try:
            body = b"".join([chunk async for chunk in answer.chunks])
        except ChannelLostError as error:
            raise OutcomeUnknownError(error.message, step="attach", peer=claim.agent) from error
        if answer.end is not None and answer.end.error:
            raise OutcomeUnknownError(answer.end.error, step="attach", peer=claim.agent)
        return CallerAnswer(claim.request_id, answer.status, answer.content_type, body)

    async def _pass_attached(self, answer: AgentAnswer) -> AsyncIterator[bytes]:
        """Yield an event stream that another attempt's router settles."""
        assert answer.chunks is not None
        try:
            async for chunk in answer.chunks:
                yield chunk
        except ChannelLostError as error:
            yield self._error_event(BackendLostError(error.message, step="attach"))
            return
        if answer.end is not None and answer.end.error:
            yield self._error_event(BackendLostError(answer.end.error, step="attach"))
        else:
            yield _DONE_EVENT
