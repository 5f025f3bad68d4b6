"""Streams to callers: passed through, resumed where possible, billed at their end."""

import asyncio
from collections.abc import AsyncIterator

from heronladder_runtime.responses import EVENT_STREAM, AgentResponse
from heronladder_runtime.tasks import TaskGroupOwner

from heronladder_router.attempt import Attempt
from heronladder_router.caller_answer import CallerAnswer
from heronladder_router.errors import BackendLostError, ChannelLostError, ChannelNotSentError
from heronladder_router.parts import (
    ATTACH_PAUSE_S,
    ATTACH_TRIES,
    DONE_EVENT,
    ForwardingParts,
    error_event,
)
from heronladder_router.replicas import Replica
from heronladder_router.requests import CallerRequest


class StreamPasser:
    """Passes event streams from agents to callers.

    Args:
        parts: What it works with.
        tasks: Runs what goes on after a caller went away.
    """

    def __init__(self, parts: ForwardingParts, tasks: TaskGroupOwner) -> None:
        self._parts = parts
        self._tasks = tasks

    def answer(
        self, request: CallerRequest, replica: Replica, attempt: Attempt, answer: AgentResponse
    ) -> CallerAnswer:
        """Return a caller's answer that streams what the agent sends."""
        caller_answer = CallerAnswer(request.request_id, answer.status, EVENT_STREAM)
        caller_answer.chunks = self._pass(request, attempt, answer)

        async def finish() -> None:
            self._parts.directory.ended(replica)
            if attempt.settled:
                self._parts.directory.succeeded(replica)
            else:
                self._tasks.start("finish_abandoned", self._finish_abandoned(attempt))

        caller_answer.on_close.append(finish)
        return caller_answer

    async def _pass(
        self, request: CallerRequest, attempt: Attempt, answer: AgentResponse
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
                    yield self._broken(request, attempt, error.message)
                    return
                answer = resumed
        end = answer.end
        assert end is not None
        await attempt.bill(self._parts.bookkeeper, end)
        if end.error:
            yield error_event(BackendLostError(end.error, step="stream"))
        else:
            yield DONE_EVENT

    async def _resume(self, request: CallerRequest, attempt: Attempt) -> AgentResponse | None:
        """Return the kept answer of a run whose stream was cut, from its start."""
        if not attempt.dispatch.keep_answer:
            return None
        for _ in range(ATTACH_TRIES):
            if self._parts.left_s(request) <= 0:
                return None
            try:
                answer = await self._parts.channel.dispatch(
                    attempt.address, attempt.question(), b""
                )
            except (ChannelNotSentError, ChannelLostError):
                await asyncio.sleep(ATTACH_PAUSE_S)
                continue
            return None if answer.refused else answer
        return None

    def _broken(self, request: CallerRequest, attempt: Attempt, why: str) -> bytes:
        if attempt.dispatch.keep_answer:
            self._parts.await_outcome(attempt)
        else:
            attempt.settle_lost(self._parts.bookkeeper)
        self._parts.metrics.add("streams_broken", request.service)
        return error_event(BackendLostError(why, step="stream", peer=attempt.agent))

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
            await attempt.bill(self._parts.bookkeeper, answer.end)
        else:
            self._parts.await_outcome(attempt)
