"""Runs of an agent: each attempt is accepted once, and answers are kept a while."""

from collections import OrderedDict
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from enum import Enum

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.clock import Environment
from heronladder_runtime.responses import AgentResponse
from heronladder_schema.v1 import agent_pb2

_TOMBSTONE_AGE_S = 3600.0
_UNREAD_BYTES_LIMIT = 262_144

AttemptKey = tuple[str, int]  # request id, attempt


def attempt_key(dispatch: agent_pb2.Dispatch) -> AttemptKey:
    """Return what an attempt is known by."""
    return (dispatch.request_id, dispatch.attempt)


class RunState(Enum):
    """How far a run is."""

    WAITING = "waiting"
    RUNNING = "running"
    FINISHED = "finished"
    REFUSED = "refused"


@dataclass
class Run:
    """One accepted attempt and its answer so far.

    Attributes:
        dispatch: The attempt.
        state: How far it is.
        status: HTTP status of the back end, once known.
        content_type: Content type of the back end's answer.
        chunks: Parts of the answer; parts already read may be dropped from the front.
        dropped: How many parts were dropped.
        end: How it ended.
        refusal: Why it was refused after all.
        changed: Given at each change.
        readers: How many read it now.
        held_bytes: Size of the parts held.
        ended_s: When it ended.
        abandoned: Nobody can read the rest of it.
        cancelled: Its caller gave it up.
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
        """Add a part of the answer."""
        self.chunks.append(chunk)
        self.held_bytes += len(chunk)
        self.changed.notify_waiters()

    async def wait_for_room(self) -> None:
        """Wait while the reader lags far behind: slow readers cost no memory."""
        while (
            self.held_bytes > _UNREAD_BYTES_LIMIT
            and not self.dispatch.keep_answer
            and not self.abandoned
        ):
            await self.changed.wait()

    async def wait_for_head(self) -> None:
        """Wait until the back end began to answer, or the run ended."""
        while self.state is RunState.WAITING or (
            self.state is RunState.RUNNING and not self.status
        ):
            await self.changed.wait()

    async def read(self, answer: AgentResponse) -> AsyncIterator[bytes]:
        """Yield the whole answer from its start, then set ``answer.end``.

        When the only reader goes away early, a run whose answer is not kept is
        abandoned: nobody could ever read the rest.
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
    """All attempts an incarnation has seen.

    Args:
        environment: Time.
        keep_s: Time a finished answer is kept, in seconds.
        keep_bytes: Memory for kept answers, in bytes.
    """

    def __init__(self, environment: Environment, keep_s: float, keep_bytes: int) -> None:
        self._environment = environment
        self._keep_s = keep_s
        self._keep_bytes = keep_bytes
        self._runs: dict[AttemptKey, Run] = {}
        self._kept: OrderedDict[AttemptKey, Run] = OrderedDict()
        self._kept_bytes = 0
        self._tombstones: OrderedDict[AttemptKey, tuple[float, bool]] = OrderedDict()

    def seen(self, key: AttemptKey) -> bool:
        """Whether an attempt was accepted or refused here before."""
        return key in self._runs or key in self._tombstones

    def get(self, key: AttemptKey) -> Run | None:
        """Return a run that is going on, or whose answer is kept."""
        return self._runs.get(key)

    def ran(self, key: AttemptKey) -> bool:
        """Whether an attempt ran here, although its answer is not kept any more."""
        return self._tombstones.get(key, (0.0, False))[1]

    def active(self) -> list[Run]:
        """Return all runs that have not ended."""
        ended = (RunState.FINISHED, RunState.REFUSED)
        return [run for run in self._runs.values() if run.state not in ended]

    def accept(self, dispatch: agent_pb2.Dispatch) -> Run:
        """Begin the run of an attempt not seen before."""
        run = Run(dispatch)
        self._runs[attempt_key(dispatch)] = run
        return run

    def bury(self, key: AttemptKey, *, ran: bool = False) -> None:
        """Remember that an attempt is over, so that a late copy cannot run."""
        self._runs.pop(key, None)
        now = self._environment.monotonic()
        self._tombstones[key] = (now, ran)
        while self._tombstones:
            oldest = next(iter(self._tombstones))
            if now - self._tombstones[oldest][0] < _TOMBSTONE_AGE_S:
                break
            del self._tombstones[oldest]

    def finish(self, run: Run) -> None:
        """Keep a finished answer if it was asked for; else forget all but its id."""
        run.ended_s = self._environment.monotonic()
        key = attempt_key(run.dispatch)
        if not run.dispatch.keep_answer:
            self.bury(key, ran=True)
            return
        self._kept[key] = run
        self._kept_bytes += run.held_bytes
        self.expire()

    def expire(self) -> None:
        """Drop kept answers that are too old, or too many for the memory."""
        oldest_kept_s = self._environment.monotonic() - self._keep_s
        while self._kept:
            key = next(iter(self._kept))
            run = self._kept[key]
            if run.ended_s > oldest_kept_s and self._kept_bytes <= self._keep_bytes:
                return
            del self._kept[key]
            self._kept_bytes -= run.held_bytes
            self.bury(key, ran=True)
