"""Forwarding of requests to replicas: admission, reservation, attempts and retries."""

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND
from heronladder_runtime.invariants import invariant
from heronladder_runtime.responses import EVENT_STREAM, AgentResponse
from heronladder_runtime.tasks import TaskGroupOwner
from heronladder_schema.v1 import agent_pb2, ledger_pb2

from heronladder_router.attaching import Attacher
from heronladder_router.attempt import Attempt
from heronladder_router.caller_response import CallerResponse
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
from heronladder_router.forwarding_context import ForwardingContext, ForwardingOptions
from heronladder_router.leases import Reservation
from heronladder_router.replicas import Replica
from heronladder_router.requests import CallerRequest
from heronladder_router.retry_budget import RetryBudget
from heronladder_router.streaming import StreamRelay

_DEFAULT_MAX_ATTEMPTS = 4
_REPLICA_POLL_INTERVAL_S = 0.25
_OVERLOAD_REFUSALS = (agent_pb2.REFUSAL_CODE_BUSY, agent_pb2.REFUSAL_CODE_DEADLINE)


class _TryAgain(Exception):
    """The attempt has failed and another one is allowed.

    Either the attempt is known not to have run, or the request may be repeated and the lost
    attempt is settled. The argument, if there is one, says whether the agent was overloaded.
    """


class Forwarder:
    """Forwards requests to replicas.

    Args:
        options: Settings.
        parts: Components shared by the modules that forward requests.

    Attributes:
        in_flight: Number of admitted requests whose responses are not closed yet.
    """

    def __init__(self, options: ForwardingOptions, parts: ForwardingContext) -> None:
        self._options = options
        self._parts = parts
        self._environment = parts.environment
        self._metrics = parts.metrics
        self._log = parts.log
        self._tasks = TaskGroupOwner(parts.log)
        self._retry_budget = RetryBudget()
        self._stream_relay = StreamRelay(parts, self._tasks)
        self._attacher = Attacher(parts)
        self.in_flight = 0

    async def stop(self) -> None:
        """Cancel all background tasks."""
        await self._tasks.stop()

    # ---- one request ------------------------------------------------------

    async def forward(self, request: CallerRequest) -> CallerResponse:
        """Return the response to a request.

        The response must be closed; this ends the admission of the request.

        Raises:
            CallerError: If there is no response. Its outcome says whether the request ran.
        """
        if not self._parts.link.fresh:
            raise StaleError("this router's configuration is stale", step="forward")
        await self._admit(request)
        started_s = self._environment.monotonic()
        self.in_flight += 1
        try:
            response = await self._forward_admitted(request)
        except BaseException:
            self._end_admission(request, started_s)
            raise

        async def leave() -> None:
            self._end_admission(request, started_s)

        response.on_close.append(leave)
        return response

    async def _admit(self, request: CallerRequest) -> None:
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
            wait_s=min(self._options.admission_wait_s, self._parts.remaining_s(request)),
        )

    def _end_admission(self, request: CallerRequest, started_s: float) -> None:
        self.in_flight -= 1
        held_s = self._environment.monotonic() - started_s
        self._parts.admission.leave(request.service, held_s)

    async def _reserve(self, request: CallerRequest) -> Reservation:
        wait_s = min(self._options.admission_wait_s, self._parts.remaining_s(request))
        return await self._parts.leases.reserve(request.tenant_spec.budget, request.tokens, wait_s)

    async def _forward_admitted(self, request: CallerRequest) -> CallerResponse:
        policy = self._parts.selector.policy(request.service_spec)
        self._retry_budget.request(policy.retry_budget_percent)
        reservation = await self._reserve(request)
        tried: set[str] = set()
        attempt: Attempt | None = None
        overloaded = False
        lost = False
        try:
            for number in range(1, (policy.attempts or _DEFAULT_MAX_ATTEMPTS) + 1):
                if attempt is not None and attempt.settled:
                    reservation = await self._reserve(request)
                replica = await self._find_replica(request, tried)
                attempt = self._prepare_attempt(request, reservation, replica, number)
                tried.add(replica.name)
                try:
                    return await self._run_attempt(request, replica, attempt)
                except ClaimHeldError as held:
                    attempt.settle_not_run(self._parts.bookkeeper)
                    attached_response = await self._attacher.attach(request, held.claim)
                    if attached_response is not None:
                        return attached_response
                    tried.clear()
                except _TryAgain as failure:
                    overloaded = overloaded or bool(failure.args and failure.args[0])
                    lost = lost or attempt.settled
                    self._metrics.add("retries", request.service)
        except CallerError as error:
            self._settle_unused_reservation(request, reservation, attempt)
            if lost and error.outcome == ledger_pb2.OUTCOME_NOT_RUN:
                # An earlier attempt may have run, so the outcome "not-run" could be wrong.
                raise BackendLostError(error.message, step=error.step, peer=error.peer) from error
            raise
        self._settle_unused_reservation(request, reservation, attempt)
        if lost:
            raise BackendLostError("backends were lost during the attempts", step="forward")
        if overloaded:
            raise OverloadedError("all backends are busy", step="forward", peer=request.service)
        raise NoBackendError(
            "no backend accepted the request", step="forward", peer=request.service
        )

    def _settle_unused_reservation(
        self, request: CallerRequest, reservation: Reservation, attempt: Attempt | None
    ) -> None:
        """Settle the last reservation of a failed request, unless its attempt is settled.

        Nothing has run under it. ``attempt`` may belong to an earlier reservation.
        """
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
        """Return a replica for the next attempt; wait while none is usable.

        Raises:
            NoBackendError: If no replica becomes usable within the admission wait.
        """
        wait_s = min(self._options.admission_wait_s, self._parts.remaining_s(request))
        deadline_s = self._environment.monotonic() + wait_s
        while True:
            replica = self._parts.selector.choose(request, tried)
            if replica is None and tried:
                # Every usable replica was tried; the reason of a refusal may be gone by now.
                replica = self._parts.selector.choose(request, set())
            if replica is not None:
                return replica
            remaining_s = deadline_s - self._environment.monotonic()
            if remaining_s <= 0:
                raise NoBackendError(
                    "no backend of the service is available",
                    step="find_replica",
                    peer=request.service,
                )
            await self._parts.directory.changed.wait(min(remaining_s, _REPLICA_POLL_INTERVAL_S))

    def _prepare_attempt(
        self, request: CallerRequest, reservation: Reservation, replica: Replica, number: int
    ) -> Attempt:
        dispatch = agent_pb2.Dispatch(
            request_id=request.request_id,
            lease_id=reservation.lease_id,
            sequence=reservation.sequence,
            reserved_prompt=request.prompt_token_limit,
            reserved_completion=request.completion_token_limit,
            tenant=request.tenant,
            service=request.service,
            backend=replica.name,
            agent_incarnation=replica.incarnation,
            attempt=number,
            priority=request.tenant_spec.priority,
            deadline_ms=int(self._parts.remaining_s(request) * MILLISECONDS_PER_SECOND),
            stream=request.stream,
            include_usage=request.include_usage,
            keep_answer=request.needs_claim,
            method=request.method,
            path=request.path,
            content_type=request.content_type,
            repeatable=request.repeatable,
            router=self._options.router,
            router_incarnation=self._parts.link.record.incarnation,
        )
        dispatch.settled.extend(self._parts.settler.take_acknowledged(replica.spec.agent))
        attempt = Attempt(dispatch, reservation, replica.spec.agent_address, replica.spec.agent)
        attempt.earlier_attempt_billed = request.already_billed
        return attempt

    # ---- one attempt ------------------------------------------------------

    async def _run_attempt(
        self, request: CallerRequest, replica: Replica, attempt: Attempt
    ) -> CallerResponse:
        """Make one attempt: claim the request if needed, dispatch it, read the response.

        Raises:
            _TryAgain: If the attempt failed and another one is allowed.
            ClaimHeldError: If another attempt of the request holds the claim.
            CallerError: If the request ends without a response.
        """
        if request.needs_claim:
            claim = await self._parts.claims.take(request, attempt.dispatch, replica)
            attempt.claim = claim
            attempt.dispatch.attempt = claim.attempt
            attempt.dispatch.claim_revision = claim.revision
        directory = self._parts.directory
        directory.record_attempt_sent(replica)
        self._parts.bookkeeper.attempts.open(
            attempt.reservation, attempt.agent, attempt.dispatch.agent_incarnation
        )
        try:
            response = await self._parts.channel.dispatch(
                attempt.address, attempt.dispatch, request.body
            )
            directory.record_response_head(replica, response.head)
            if response.refused:
                await self._handle_refusal(attempt, response)
            attempt.response = response
            return await self._receive_response(request, replica, attempt)
        except ChannelNotSentError as error:
            directory.record_attempt_ended(replica)
            directory.record_failure(replica, certain=True)
            await self._release_claim(attempt)
            raise _TryAgain from error
        except ChannelLostError as error:
            directory.record_attempt_ended(replica)
            directory.record_failure(replica)
            await self._handle_lost_agent(request, attempt, error)
            raise _TryAgain from error
        except BaseException:
            directory.record_attempt_ended(replica)
            raise

    async def _handle_refusal(self, attempt: Attempt, response: AgentResponse) -> None:
        """Handle a refusal, which proves that the attempt never runs.

        After the refusal of a duplicate, however, an earlier copy of the dispatch may have run.

        Raises:
            _TryAgain: If the attempt did not run.
            ChannelLostError: If an earlier copy of the attempt may have run.
        """
        refusal = response.head.refusal
        invariant(
            refusal != agent_pb2.REFUSAL_CODE_UNSPECIFIED,
            "refusals_have_a_code",
            step="refused",
            peer=attempt.agent,
        )
        if refusal == agent_pb2.REFUSAL_CODE_DUPLICATE:
            await self._require_not_run(attempt)
        await self._release_claim(attempt)
        raise _TryAgain(refusal in _OVERLOAD_REFUSALS)

    async def _require_not_run(self, attempt: Attempt) -> None:
        """Check with the agent that an attempt it has seen before did not run.

        Raises:
            ChannelLostError: If the attempt may have run.
            ChannelNotSentError: If the agent cannot be connected to.
        """
        response = await self._parts.channel.dispatch(
            attempt.address, attempt.attach_dispatch(), b""
        )
        if response.head.refusal != agent_pb2.REFUSAL_CODE_UNKNOWN_REQUEST:
            if response.chunks is not None:
                await response.chunks.aclose()  # type: ignore[attr-defined]
            raise ChannelLostError(
                "an earlier copy of the attempt may have run", step="refused", peer=attempt.agent
            )

    async def _release_claim_of_lost_agent(self, attempt: Attempt) -> None:
        assert attempt.claim is not None
        try:
            await self._parts.claims.release(attempt.claim, agent_lost=True)
        except ControlUnavailableError as error:
            # The attempt may have run, and only its agent knows the outcome.
            self._parts.defer_outcome(attempt)
            raise BackendLostError(error.message, step=error.step, peer=attempt.agent) from error

    async def _release_claim(self, attempt: Attempt) -> None:
        if attempt.claim is not None:
            await self._parts.claims.release(attempt.claim, agent_lost=False)

    async def _handle_lost_agent(
        self, request: CallerRequest, attempt: Attempt, error: ChannelLostError
    ) -> None:
        """Handle the loss of an agent while the outcome of the attempt is unknown.

        Returns normally if another attempt is allowed.

        Raises:
            BackendLostError: If the retry budget or the time budget is used up, if control did
                not release the claim, or if it is unknown whether the agent has billed the
                attempt.
            OutcomeUnknownError: If the request must not be repeated.
        """
        self._log.info(
            "agent_lost", step=error.step, peer=attempt.agent, request_id=request.request_id
        )
        if not request.repeatable:
            self._parts.defer_outcome(attempt)
            raise OutcomeUnknownError(
                "the backend was lost; query the outcome by idempotency key or request id",
                step=error.step,
                peer=attempt.agent,
            ) from error
        if attempt.claim is not None:
            await self._release_claim_of_lost_agent(attempt)
        durable = attempt.settle_lost(self._parts.bookkeeper)
        if self._parts.remaining_s(request) > 0 and self._retry_budget.try_spend():
            # The next attempt is not billed if the agent has already billed this one.
            billed_before = await self._parts.bookkeeper.billed_before(durable)
            if billed_before is not None:
                request.already_billed = request.already_billed or billed_before
                return
        raise BackendLostError(error.message, step=error.step, peer=attempt.agent) from error

    # ---- responses --------------------------------------------------------

    async def _receive_response(
        self, request: CallerRequest, replica: Replica, attempt: Attempt
    ) -> CallerResponse:
        response = attempt.response
        assert response is not None
        invariant(
            response.head.request_id == request.request_id,
            "answers_are_their_callers_own",
            step="take_answer",
            peer=attempt.agent,
            detail=f"{response.head.request_id} for {request.request_id}",
        )
        if response.content_type.startswith(EVENT_STREAM):
            return self._stream_relay.response(request, replica, attempt, response)
        return await self._read_complete_response(request, replica, attempt, response)

    async def _read_complete_response(
        self, request: CallerRequest, replica: Replica, attempt: Attempt, response: AgentResponse
    ) -> CallerResponse:
        """Read a response that is not a stream, and settle the attempt."""
        assert response.chunks is not None
        body = b"".join([chunk async for chunk in response.chunks])
        end = response.end
        if end is None or end.error:
            reason = end.error if end is not None else "the response has no end message"
            raise ChannelLostError(reason, step="read_answer", peer=attempt.agent)
        await attempt.bill(self._parts.bookkeeper, end)
        self._parts.directory.record_success(replica)
        self._parts.directory.record_attempt_ended(replica)
        return CallerResponse(request.request_id, response.status, response.content_type, body)
