"""Forwarding: from an admitted request to its answer, over as many attempts as allowed."""

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND
from heronladder_runtime.invariants import invariant
from heronladder_runtime.responses import EVENT_STREAM, AgentResponse
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import agent_pb2, ledger_pb2

from heronladder_router.attaching import Attacher
from heronladder_router.attempt import Attempt
from heronladder_router.caller_answer import CallerAnswer
from heronladder_router.claims import ClaimHeldError
from heronladder_router.errors import (
    BackendLostError,
    CallerError,
    ChannelLostError,
    ChannelNotSentError,
    ControlUnavailableError,
    NoBackendError,
    OutcomeUnknownError,
    OverloadedError,
    StaleError,
)
from heronladder_router.leases import Reservation
from heronladder_router.parts import ForwardingOptions, ForwardingParts
from heronladder_router.replicas import Replica
from heronladder_router.requests import CallerRequest
from heronladder_router.retry_budget import RetryBudget
from heronladder_router.streaming import StreamPasser

_DEFAULT_ATTEMPTS = 4
_REPLICA_POLL_S = 0.25
_OVERLOAD_REFUSALS = (agent_pb2.REFUSAL_CODE_BUSY, agent_pb2.REFUSAL_CODE_DEADLINE)


class _TryAgain(Exception):
    """The attempt is proved not to have run; another may be made."""


class Forwarder:
    """Forwards requests.

    Args:
        options: Settings.
        parts: What it works with.
    """

    def __init__(self, options: ForwardingOptions, parts: ForwardingParts) -> None:
        self._options = options
        self._parts = parts
        self._environment = parts.environment
        self._metrics = parts.metrics
        self._log = parts.log
        self._tasks = TaskGroupOwner(parts.log)
        self._retries = RetryBudget()
        self._streams = StreamPasser(parts, self._tasks)
        self._attacher = Attacher(parts)
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
            wait_s=min(self._options.admission_wait_s, self._parts.left_s(request)),
        )

    def _leave(self, request: CallerRequest, started_s: float) -> None:
        self.in_flight -= 1
        held_s = self._environment.monotonic() - started_s
        self._parts.admission.leave(request.service, held_s)

    async def _reserve(self, request: CallerRequest) -> Reservation:
        wait_s = min(self._options.admission_wait_s, self._parts.left_s(request))
        return await self._parts.leases.reserve(request.tenant_spec.budget, request.tokens, wait_s)

    async def _forward_admitted(self, request: CallerRequest) -> CallerAnswer:
        policy = self._parts.selector.policy(request.service_spec)
        self._retries.request(policy.retry_budget_percent)
        reservation = await self._reserve(request)
        tried: set[str] = set()
        attempt: Attempt | None = None
        overloaded = False
        lost = False
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
                    attached = await self._attacher.attach(request, held.claim)
                    if attached is not None:
                        return attached
                    tried.clear()
                except _TryAgain as again:
                    overloaded = overloaded or bool(again.args and again.args[0])
                    lost = lost or attempt.settled
                    self._metrics.add("retries", request.service)
        except CallerError as error:
            self._close_unused(request, reservation, attempt)
            if lost and error.outcome == ledger_pb2.OUTCOME_NOT_RUN:
                # An earlier attempt may have run, so "not-run" would be untrue.
                raise BackendLostError(error.message, step=error.step, peer=error.peer) from error
            raise
        self._close_unused(request, reservation, attempt)
        if lost:
            raise BackendLostError("the back ends tried were lost", step="forward")
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
        wait_s = min(self._options.admission_wait_s, self._parts.left_s(request))
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
            deadline_ms=int(self._parts.left_s(request) * MILLISECONDS_PER_SECOND),
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
        attempt = Attempt(dispatch, reservation, replica.spec.agent_address, replica.spec.agent)
        attempt.earlier_billed = request.already_billed
        return attempt

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
        self._parts.bookkeeper.attempts.open(
            attempt.reservation, attempt.agent, attempt.dispatch.agent_incarnation
        )
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

    async def _refused(self, attempt: Attempt, answer: AgentResponse) -> None:
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
        answer = await self._parts.channel.dispatch(attempt.address, attempt.question(), b"")
        if answer.head.refusal != agent_pb2.REFUSAL_CODE_UNKNOWN_REQUEST:
            if answer.chunks is not None:
                await answer.chunks.aclose()  # type: ignore[attr-defined]
            raise ChannelLostError(
                "an earlier copy of the attempt ran", step="refused", peer=attempt.agent
            )

    async def _release_lost(self, attempt: Attempt) -> None:
        assert attempt.claim is not None
        try:
            await self._parts.claims.release(attempt.claim, agent_lost=True)
        except ControlUnavailableError as error:
            # The attempt may have run: only its agent can tell.
            self._parts.await_outcome(attempt)
            raise BackendLostError(error.message, step=error.step, peer=attempt.agent) from error

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
            self._parts.await_outcome(attempt)
            raise OutcomeUnknownError(
                "the back end was lost; ask for the outcome with the request's key",
                step=error.step,
                peer=attempt.agent,
            ) from error
        if attempt.claim is not None:
            await self._release_lost(attempt)
        durable = attempt.settle_lost(self._parts.bookkeeper)
        if self._parts.left_s(request) > 0 and self._retries.spend():
            # The agent may have billed the attempt already; then the next one is not.
            billed_before = await self._parts.bookkeeper.billed_before(durable)
            if billed_before is not None:
                request.already_billed = request.already_billed or billed_before
                return
        raise BackendLostError(error.message, step=error.step, peer=attempt.agent) from error

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
            return self._streams.answer(request, replica, attempt, answer)
        return await self._whole(request, replica, attempt, answer)

    async def _whole(
        self, request: CallerRequest, replica: Replica, attempt: Attempt, answer: AgentResponse
    ) -> CallerAnswer:
        """Read an answer that comes in one piece, and bill it."""
        assert answer.chunks is not None
        body = b"".join([chunk async for chunk in answer.chunks])
        end = answer.end
        if end is None or end.error:
            why = end.error if end is not None else "the answer has no end"
            raise ChannelLostError(why, step="read_answer", peer=attempt.agent)
        await attempt.bill(self._parts.bookkeeper, end)
        self._parts.directory.succeeded(replica)
        self._parts.directory.ended(replica)
        return CallerAnswer(request.request_id, answer.status, answer.content_type, body)
