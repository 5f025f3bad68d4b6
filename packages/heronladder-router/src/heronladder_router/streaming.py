"""Relay of event streams to callers, with resumption after a lost connection to the agent."""

import asyncio
from collections.abc import AsyncIterator

from heronladder_runtime.responses import EVENT_STREAM, AgentResponse
from heronladder_runtime.tasks import TaskGroupOwner

from heronladder_router.attempt import Attempt
from heronladder_router.caller_response import CallerResponse
from heronladder_router.errors import BackendLostError, ChannelLostError, ChannelNotSentError
from heronladder_router.forwarding_context import (
    ATTACH_ATTEMPTS,
    ATTACH_RETRY_DELAY_S,
    DONE_EVENT,
    ForwardingContext,
    error_event,
)
from heronladder_router.replicas import Replica
from heronladder_router.requests import CallerRequest


class StreamRelay:
    """Relays event streams from agents to callers and settles their attempts.

    Args:
        parts: Components shared by the modules that forward requests.
        tasks: Runs the reading of streams whose callers have disconnected.
    """

    def __init__(self, parts: ForwardingContext, tasks: TaskGroupOwner) -> None:
        self._parts = parts
        self._tasks = tasks

    def response(
        self, request: CallerRequest, replica: Replica, attempt: Attempt, response: AgentResponse
    ) -> CallerResponse:
        """Return a caller's response that relays the event stream of an agent.

        Args:
            request: The caller's request.
            replica: Replica that runs the attempt.
            attempt: The attempt, which is settled at the end of the stream.
            response: The agent's response, an event stream that has not been read yet.
        """
        caller_response = CallerResponse(request.request_id, response.status, EVENT_STREAM)
        caller_response.chunks = self._relay(request, attempt, response)

        async def finish() -> None:
            self._parts.directory.record_attempt_ended(replica)
            if attempt.settled:
                self._parts.directory.record_success(replica)
            else:
                self._tasks.start("finish_abandoned", self._finish_abandoned(attempt))

        caller_response.on_close.append(finish)
        return caller_response

    async def _relay(
        self, request: CallerRequest, attempt: Attempt, response: AgentResponse
    ) -> AsyncIterator[bytes]:
        """Yield an event stream, and its last event only after waiting for the settlement.

        A resumed stream starts again at its first byte; the bytes that were already yielded
        are skipped.
        """
        yielded_bytes = 0
        while True:
            assert response.chunks is not None
            skip_bytes = yielded_bytes
            try:
                async for chunk in response.chunks:
                    if skip_bytes >= len(chunk):
                        skip_bytes -= len(chunk)
                        continue
                    yielded_bytes += len(chunk) - skip_bytes
                    yield chunk[skip_bytes:] if skip_bytes else chunk
                    skip_bytes = 0
                break
            except ChannelLostError as error:
                resumed = await self._resume(request, attempt)
                if resumed is None:
                    yield self._end_broken_stream(request, attempt, error.message)
                    return
                response = resumed
        end = response.end
        assert end is not None
        await attempt.bill(self._parts.bookkeeper, end)
        if end.error:
            yield error_event(BackendLostError(end.error, step="stream"))
        else:
            yield DONE_EVENT

    async def _resume(self, request: CallerRequest, attempt: Attempt) -> AgentResponse | None:
        """Return the response of an attempt whose stream was interrupted, from its start.

        Returns:
            None if the agent does not keep the response, refuses to attach, or cannot be
            reached within the time budget of the request.
        """
        if not attempt.dispatch.keep_answer:
            return None
        for _ in range(ATTACH_ATTEMPTS):
            if self._parts.remaining_s(request) <= 0:
                return None
            try:
                response = await self._parts.channel.dispatch(
                    attempt.address, attempt.attach_dispatch(), b""
                )
            except (ChannelNotSentError, ChannelLostError):
                await asyncio.sleep(ATTACH_RETRY_DELAY_S)
                continue
            return None if response.refused else response
        return None

    def _end_broken_stream(self, request: CallerRequest, attempt: Attempt, reason: str) -> bytes:
        """Settle the attempt of an interrupted stream and return the event that reports it."""
        if attempt.dispatch.keep_answer:
            self._parts.defer_outcome(attempt)
        else:
            attempt.settle_lost(self._parts.bookkeeper)
        self._parts.metrics.add("streams_broken", request.service)
        return error_event(BackendLostError(reason, step="stream", peer=attempt.agent))

    async def _finish_abandoned(self, attempt: Attempt) -> None:
        """Read a stream to its end after its caller has disconnected, and settle the attempt.

        An agent that does not keep the response is told to cancel the attempt first.
        """
        response = attempt.response
        assert response is not None and response.chunks is not None
        dispatch = attempt.dispatch
        if not dispatch.keep_answer:
            await self._parts.channel.cancel(attempt.address, dispatch.request_id, dispatch.attempt)
        try:
            async for _ in response.chunks:
                pass
        except ChannelLostError:
            pass
        if response.end is not None:
            await attempt.bill(self._parts.bookkeeper, response.end)
        else:
            self._parts.defer_outcome(attempt)
