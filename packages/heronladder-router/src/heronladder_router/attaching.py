"""Attaching: a keyed retry receives the whole answer of the attempt that holds its claim."""

import asyncio
from collections.abc import AsyncIterator

from heronladder_runtime.responses import EVENT_STREAM, AgentResponse
from heronladder_runtime.settlements import make_settlement
from heronladder_schema.v1 import agent_pb2, ledger_pb2

from heronladder_router.caller_answer import CallerAnswer
from heronladder_router.errors import (
    AlreadyRanError,
    BackendLostError,
    ChannelLostError,
    ChannelNotSentError,
    OutcomeUnknownError,
)
from heronladder_router.parts import (
    ATTACH_PAUSE_S,
    ATTACH_TRIES,
    DONE_EVENT,
    ForwardingParts,
    error_event,
)
from heronladder_router.requests import CallerRequest


class Attacher:
    """Attaches requests to earlier attempts.

    Args:
        parts: What it works with.
    """

    def __init__(self, parts: ForwardingParts) -> None:
        self._parts = parts

    async def attach(self, request: CallerRequest, claim: ledger_pb2.Claim) -> CallerAnswer | None:
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
        )
        refusal: agent_pb2.RefusalCode.ValueType = agent_pb2.REFUSAL_CODE_UNSPECIFIED
        for _ in range(ATTACH_TRIES):
            try:
                answer = await self._parts.channel.dispatch(claim.agent_address, question, b"")
            except (ChannelNotSentError, ChannelLostError):
                await asyncio.sleep(ATTACH_PAUSE_S)
                continue
            if not answer.refused:
                return await self._attached(request, claim, answer)
            refusal = answer.head.refusal
            break
        if await self._free(request, claim, refusal):
            return None
        ran = claim.state == ledger_pb2.CLAIM_STATE_DONE
        if ran or refusal == agent_pb2.REFUSAL_CODE_ANSWER_GONE:
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

    async def _free(
        self,
        request: CallerRequest,
        claim: ledger_pb2.Claim,
        refusal: agent_pb2.RefusalCode.ValueType,
    ) -> bool:
        """Free the claim if the agent's refusal allows it; return whether it did.

        An agent that does not know the attempt has left a tombstone: that is
        proof. A repeatable request may also run again when its agent is lost.
        """
        held = claim.state == ledger_pb2.CLAIM_STATE_HELD
        if refusal == agent_pb2.REFUSAL_CODE_UNKNOWN_REQUEST and held:
            await self._parts.claims.release(claim, agent_lost=False)
            return True
        if request.repeatable:
            await self._parts.claims.release(claim, agent_lost=True)
            return True
        return False

    async def _attached(
        self, request: CallerRequest, claim: ledger_pb2.Claim, answer: AgentResponse
    ) -> CallerAnswer:
        assert answer.chunks is not None
        self._parts.metrics.add("attached")
        if answer.content_type.startswith(EVENT_STREAM):
            caller_answer = CallerAnswer(claim.request_id, answer.status, EVENT_STREAM)
            caller_answer.chunks = self._pass(request, claim, answer)
            return caller_answer
        try:
            body = b"".join([chunk async for chunk in answer.chunks])
        except ChannelLostError as error:
            raise OutcomeUnknownError(error.message, step="attach", peer=claim.agent) from error
        problem = _problem(answer.end)
        if problem:
            raise OutcomeUnknownError(problem, step="attach", peer=claim.agent)
        await self._settle(request, claim, answer)
        return CallerAnswer(claim.request_id, answer.status, answer.content_type, body)

    async def _pass(
        self, request: CallerRequest, claim: ledger_pb2.Claim, answer: AgentResponse
    ) -> AsyncIterator[bytes]:
        """Yield an event stream that another router had begun; then see to its bill."""
        assert answer.chunks is not None
        try:
            async for chunk in answer.chunks:
                yield chunk
        except ChannelLostError as error:
            yield error_event(BackendLostError(error.message, step="attach"))
            return
        problem = _problem(answer.end)
        if problem:
            yield error_event(BackendLostError(problem, step="attach"))
            return
        await self._settle(request, claim, answer)
        yield DONE_EVENT

    async def _settle(
        self, request: CallerRequest, claim: ledger_pb2.Claim, answer: AgentResponse
    ) -> None:
        """Send the bill of an answer that another router had begun.

        That router and the agent may both be lost before they could send it; a
        copy falls on the ledger's watermark.
        """
        assert answer.end is not None
        dispatch = agent_pb2.Dispatch(
            request_id=claim.request_id,
            lease_id=claim.lease_id,
            sequence=claim.sequence,
            reserved_prompt=claim.reserved,
            reserved_completion=claim.reserved,
            tenant=claim.tenant,
            service=request.service,
        )
        settlement = make_settlement(dispatch, answer.end, already_billed=claim.already_billed)
        await self._parts.bookkeeper.settle_durably(settlement, claim.agent)


def _problem(end: agent_pb2.AnswerEnd | None) -> str:
    """Return why an answer is not whole, or "" if it is."""
    if end is None:
        return "the answer has no end"
    return end.error
