"""Attaching of retries to earlier attempts.

A retry with the same idempotency key receives the response of the attempt that holds the claim,
from its start, instead of running the request again.
"""

import asyncio
from collections.abc import AsyncIterator

from heronladder_runtime.responses import EVENT_STREAM, AgentResponse
from heronladder_runtime.settlements import make_settlement
from heronladder_schema.v1 import agent_pb2, ledger_pb2

from heronladder_router.caller_response import CallerResponse
from heronladder_router.errors import (
    AlreadyRanError,
    BackendLostError,
    ChannelLostError,
    ChannelNotSentError,
    OutcomeUnknownError,
)
from heronladder_router.forwarding_context import (
    ATTACH_ATTEMPTS,
    ATTACH_RETRY_DELAY_S,
    DONE_EVENT,
    ForwardingContext,
    error_event,
)
from heronladder_router.requests import CallerRequest


class Attacher:
    """Returns the responses of earlier attempts to retries of the same request.

    Args:
        parts: Components shared by the modules that forward requests.
    """

    def __init__(self, parts: ForwardingContext) -> None:
        self._parts = parts

    async def attach(
        self, request: CallerRequest, claim: ledger_pb2.Claim
    ) -> CallerResponse | None:
        """Return the response of the attempt that holds the claim of a request.

        Args:
            request: The retry.
            claim: The claim on the request, held by another attempt.

        Returns:
            The response, or None if the claim was released and the request can be claimed
            again.

        Raises:
            AlreadyRanError: If the request ran but its response is no longer stored.
            OutcomeUnknownError: If it is unknown whether the request ran.
            ControlUnavailableError: If control did not confirm the release of the claim.
        """
        dispatch = agent_pb2.Dispatch(
            request_id=claim.request_id,
            attempt=claim.attempt,
            tenant=request.tenant,
            backend=claim.backend,
            agent_incarnation=claim.agent_incarnation,
            attach=True,
        )
        refusal: agent_pb2.RefusalCode.ValueType = agent_pb2.REFUSAL_CODE_UNSPECIFIED
        for _ in range(ATTACH_ATTEMPTS):
            try:
                response = await self._parts.channel.dispatch(claim.agent_address, dispatch, b"")
            except (ChannelNotSentError, ChannelLostError):
                await asyncio.sleep(ATTACH_RETRY_DELAY_S)
                continue
            if not response.refused:
                return await self._attached_response(request, claim, response)
            refusal = response.head.refusal
            break
        if await self._release_claim(request, claim, refusal):
            return None
        ran = claim.state == ledger_pb2.CLAIM_STATE_DONE
        if ran or refusal == agent_pb2.REFUSAL_CODE_ANSWER_GONE:
            raise AlreadyRanError(
                "the request has already run and its response is no longer stored",
                step="attach",
                peer=claim.agent,
            )
        raise OutcomeUnknownError(
            "the backend of an earlier attempt was lost; it is unknown whether the request ran",
            step="attach",
            peer=claim.agent,
        )

    async def _release_claim(
        self,
        request: CallerRequest,
        claim: ledger_pb2.Claim,
        refusal: agent_pb2.RefusalCode.ValueType,
    ) -> bool:
        """Release the claim if the agent's refusal permits it.

        An agent that does not know the attempt has recorded a tombstone for it. This proves
        that the attempt has not run and never will. A repeatable request may also run again
        when its agent is lost.

        Args:
            request: The retry.
            claim: The claim on the request.
            refusal: Why the agent refused to attach; unspecified if it was unreachable.

        Returns:
            Whether the claim was released.
        """
        held = claim.state == ledger_pb2.CLAIM_STATE_HELD
        if refusal == agent_pb2.REFUSAL_CODE_UNKNOWN_REQUEST and held:
            await self._parts.claims.release(claim, agent_lost=False)
            return True
        if request.repeatable:
            await self._parts.claims.release(claim, agent_lost=True)
            return True
        return False

    async def _attached_response(
        self, request: CallerRequest, claim: ledger_pb2.Claim, response: AgentResponse
    ) -> CallerResponse:
        assert response.chunks is not None
        self._parts.metrics.add("attached")
        if response.content_type.startswith(EVENT_STREAM):
            caller_response = CallerResponse(claim.request_id, response.status, EVENT_STREAM)
            caller_response.chunks = self._relay_stream(request, claim, response)
            return caller_response
        try:
            body = b"".join([chunk async for chunk in response.chunks])
        except ChannelLostError as error:
            raise OutcomeUnknownError(error.message, step="attach", peer=claim.agent) from error
        reason = _incomplete_reason(response.end)
        if reason:
            raise OutcomeUnknownError(reason, step="attach", peer=claim.agent)
        await self._settle(request, claim, response)
        return CallerResponse(claim.request_id, response.status, response.content_type, body)

    async def _relay_stream(
        self, request: CallerRequest, claim: ledger_pb2.Claim, response: AgentResponse
    ) -> AsyncIterator[bytes]:
        """Yield the event stream of an attempt of another router and settle the attempt."""
        assert response.chunks is not None
        try:
            async for chunk in response.chunks:
                yield chunk
        except ChannelLostError as error:
            yield error_event(BackendLostError(error.message, step="attach"))
            return
        reason = _incomplete_reason(response.end)
        if reason:
            yield error_event(BackendLostError(reason, step="attach"))
            return
        await self._settle(request, claim, response)
        yield DONE_EVENT

    async def _settle(
        self, request: CallerRequest, claim: ledger_pb2.Claim, response: AgentResponse
    ) -> None:
        """Send the settlement of an attempt that another router started.

        That router and the agent may both be lost before they have sent it. If one of them
        does send it, the ledger detects the copy by its watermark and ignores it.
        """
        assert response.end is not None
        dispatch = agent_pb2.Dispatch(
            request_id=claim.request_id,
            lease_id=claim.lease_id,
            sequence=claim.sequence,
            reserved_prompt=claim.reserved,
            reserved_completion=claim.reserved,
            tenant=claim.tenant,
            service=request.service,
        )
        settlement = make_settlement(dispatch, response.end, already_billed=claim.already_billed)
        await self._parts.bookkeeper.settle_durably(settlement, claim.agent)


def _incomplete_reason(end: agent_pb2.AnswerEnd | None) -> str:
    """Return why a response is incomplete, or "" if it is complete."""
    if end is None:
        return "the response has no end message"
    return end.error
