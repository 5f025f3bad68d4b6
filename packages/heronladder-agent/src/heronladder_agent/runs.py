"""Table of the attempts that an agent has accepted.

A run is one accepted attempt. The table ensures that each attempt is accepted at most once and
keeps finished responses for a limited time, so that a retry with the same key can read them.
"""

from collections import OrderedDict
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from enum import Enum

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.clock import Environment
from heronladder_runtime.responses import MAX_RESPONSE_BYTES, AgentResponse
from heronladder_schema.v1 import agent_pb2

_TOMBSTONE_AGE_S = 3600.0
_UNREAD_LIMIT_BYTES = 262_144
_MAX_EVENT_BYTES = 256 * 1024

AttemptKey = tuple[str, int]  # (request ID, attempt number)


def attempt_key(dispatch: agent_pb2.Dispatch) -> AttemptKey:
    """Return the key that identifies the attempt of a dispatch."""
    return (dispatch.request_id, dispatch.attempt)


class RunState(Enum):
    """State of a run."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    REFUSED = "refused"


@dataclass
class Run:
    """One accepted attempt and the part of its response received so far.

    Attributes:
        dispatch: Dispatch of the attempt.
        state: Current state.
        status: HTTP status of the backend; 0 until it is known.
        content_type: Content type of the backend's response.
        chunks: Buffered chunks of the response. Chunks that have been read are removed from
            the front unless the response is kept.
        dropped: Number of chunks removed from the front.
        end: Result of the run, once it has ended.
        refusal: Head of the refusal, if the attempt was refused after it had been accepted.
        changed: Pulse given at each change.
        readers: Number of current readers.
        held_bytes: Size of the buffered chunks, in bytes.
        ended_s: Monotonic time at which the run ended, in seconds.
        abandoned: Whether no reader can receive the rest of the response.
        cancelled: Whether the caller cancelled the request.
    """

    dispatch: agent_pb2.Dispatch
    state: RunState = RunState.WAITING
    status: int = 0
    content_type: str = ""
    chunks: list[bytes] = field(default_factory=list)
    dropped: int = 0
    end: agent_pb2.AnswerEnd | None = None
    refusal: agent_pb2.AnswerHead | None = None
    changed: ChangeSignal = field(default_factory=ChangeSignal)
    readers: int = 0
    held_bytes: int = 0
    ended_s: float = 0.0
    abandoned: bool = False
    cancelled: bool = False

    def add(self, chunk: bytes) -> None:
        """Append a chunk of the response."""
        self.chunks.append(chunk)
        self.held_bytes += len(chunk)
        self.changed.notify_waiters()

    async def wait_for_buffer_space(self) -> None:
        """Wait while too many bytes are unread, so that a slow reader cannot exhaust memory.

        Runs whose response is kept or that are abandoned do not wait.
        """
        while (
            self.held_bytes > _UNREAD_LIMIT_BYTES
            and not self.dispatch.keep_answer
            and not self.abandoned
        ):
            await self.changed.wait()

    def exceeded_bound(self, pending_bytes: int) -> str:
        """Return which bound a stream exceeds; empty if none.

        Args:
            pending_bytes: Bytes of an event whose end has not arrived.
        """
        if pending_bytes > _MAX_EVENT_BYTES:
            return f"event over {_MAX_EVENT_BYTES} bytes without its end"
        if self.dispatch.keep_answer and self.held_bytes > MAX_RESPONSE_BYTES:
            return f"response to be kept over {MAX_RESPONSE_BYTES} bytes"
        return ""

    async def wait_for_head(self) -> None:
        """Wait until the status of the backend is known or the run has ended."""
        while self.state is RunState.WAITING or (
            self.state is RunState.RUNNING and not self.status
        ):
            await self.changed.wait()

    async def read(self, answer: AgentResponse) -> AsyncIterator[bytes]:
        """Yield the complete response from its start, then set ``answer.end``.

        If the reader stops early, a run whose response is not kept is abandoned, because no
        other reader can attach to it.

        Args:
            answer: Answer that receives the result of the run.
        """
        self.readers += 1
        position = 0
        try:
            while True:
                while position - self.dropped < len(self.chunks):
                    chunk = self.chunks[position - self.dropped]
                    position += 1
                    self._drop_read()
                    yield chunk
                if self.state is RunState.FINISHED:
                    answer.end = self.end
                    return
                await self.changed.wait()
        finally:
            self.readers -= 1
            if self.state is not RunState.FINISHED and not self.dispatch.keep_answer:
                self.abandoned = True
                self.changed.notify_waiters()

    def _drop_read(self) -> None:
        if self.dispatch.keep_answer:
            return
        self.held_bytes -= len(self.chunks.pop(0))
        self.dropped += 1
        self.changed.notify_waiters()


class RunTable:
    """All attempts that this incarnation of the agent has accepted or refused.

    Args:
        environment: Source of time.
        keep_s: Time for which a finished response is kept, in seconds.
        keep_bytes: Memory limit for kept responses, in bytes.
    """

    def __init__(self, environment: Environment, keep_s: float, keep_bytes: int) -> None:
        self._environment = environment
        self._keep_s = keep_s
        self._keep_bytes = keep_bytes
        self._runs: dict[AttemptKey, Run] = {}
        self._kept: OrderedDict[AttemptKey, Run] = OrderedDict()
        self._kept_bytes = 0
        self._tombstones: OrderedDict[AttemptKey, tuple[float, bool]] = OrderedDict()

    def is_known(self, key: AttemptKey) -> bool:
        """Return whether an attempt has been accepted or refused here."""
        return key in self._runs or key in self._tombstones

    def get(self, key: AttemptKey) -> Run | None:
        """Return the run of an attempt if it is active or its response is kept."""
        return self._runs.get(key)

    def has_run(self, key: AttemptKey) -> bool:
        """Return whether an attempt has run here and its response is no longer kept."""
        return self._tombstones.get(key, (0.0, False))[1]

    def active(self) -> list[Run]:
        """Return all runs that wait or execute."""
        ended = (RunState.FINISHED, RunState.REFUSED)
        return [run for run in self._runs.values() if run.state not in ended]

    def accept(self, dispatch: agent_pb2.Dispatch) -> Run:
        """Create the run of an attempt that is not known yet."""
        run = Run(dispatch)
        self._runs[attempt_key(dispatch)] = run
        return run

    def add_tombstone(self, key: AttemptKey, *, has_run: bool = False) -> None:
        """Record that an attempt is over, so that a delayed duplicate of it cannot run.

        Tombstones are removed after ``_TOMBSTONE_AGE_S``.

        Args:
            key: Key of the attempt.
            has_run: Whether the attempt reached the backend.
        """
        self._runs.pop(key, None)
        now = self._environment.monotonic()
        self._tombstones[key] = (now, has_run)
        while self._tombstones:
            oldest = next(iter(self._tombstones))
            if now - self._tombstones[oldest][0] < _TOMBSTONE_AGE_S:
                break
            del self._tombstones[oldest]

    def finish(self, run: Run) -> None:
        """Keep a finished response if its dispatch requests it; otherwise keep only a tombstone."""
        run.ended_s = self._environment.monotonic()
        key = attempt_key(run.dispatch)
        if not run.dispatch.keep_answer:
            self.add_tombstone(key, has_run=True)
            return
        self._kept[key] = run
        self._kept_bytes += run.held_bytes
        self.expire()

    def expire(self) -> None:
        """Remove the oldest kept responses that exceed the retention time or memory limit."""
        oldest_kept_s = self._environment.monotonic() - self._keep_s
        while self._kept:
            key = next(iter(self._kept))
            run = self._kept[key]
            if run.ended_s > oldest_kept_s and self._kept_bytes <= self._keep_bytes:
                return
            del self._kept[key]
            self._kept_bytes -= run.held_bytes
            self.add_tombstone(key, has_run=True)
