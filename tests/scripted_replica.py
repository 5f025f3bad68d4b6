"""Replicas that respond as each request says: slowly, with pauses, or not to the end.

The headers of a request name its script, so that one seed decides what all replicas do.
"""

import asyncio
import json
from collections.abc import Callable
from dataclasses import asdict, dataclass
from typing import Any

from platform_stand_ins import END_OF_CHUNKS, Received, StandInReplica, answer, event, stream_head

SCRIPT_HEADER = "X-Script"


@dataclass(frozen=True)
class ResponseScript:
    """How a replica responds to one request.

    Attributes:
        streams: Whether the response is a stream of events.
        events: Number of its events.
        lasts_s: Time from the request to the end of the response, without pauses.
        pause_before: Event (or, for a plain response, 1) before which the replica is silent; 0 for
            none.
        pause_s: Length of the silence.
        breaks_at: Event before which the replica breaks off; 0 for none.
        breaks_head: Whether the first replica closes in the middle of its head.
        body_bytes: Length of a plain response; 0: it repeats the body of the request.
    """

    streams: bool = False
    events: int = 0
    lasts_s: float = 0.05
    pause_before: int = 0
    pause_s: float = 0.0
    breaks_at: int = 0
    breaks_head: bool = False
    body_bytes: int = 0

    def header(self) -> str:
        """Return the value of the header that carries it."""
        return json.dumps(asdict(self))

    @staticmethod
    def of(received: Received) -> "ResponseScript":
        """Return the script of a request; a prompt response if it names none."""
        text = received.headers.get(SCRIPT_HEADER.lower())
        return ResponseScript(**json.loads(text)) if text else ResponseScript()


class _BrokeOffError(Exception):
    """The script tells the replica to break off."""


class ScriptedReplica(StandInReplica):
    """A replica that follows the scripts of its requests and drops those of closed connections.

    Args:
        identity: Its id.
        on_begin: Called with each request that it reads.
        on_end: Called when it stops working on a request; the flag says whether it broke off.
    """

    def __init__(
        self,
        identity: str,
        on_begin: Callable[[Received], None],
        on_end: Callable[[Received, bool], None],
    ) -> None:
        super().__init__(identity, _unused)
        self._on_begin = on_begin
        self._on_end = on_end
        self._stopping = False

    async def stop(self) -> None:
        """Stop listening, and break off all responses."""
        self._stopping = True
        await super().stop()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task: asyncio.Task[Any] | None = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        try:
            while await self._respond(await self._read(reader), reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._serving.discard(task)
            writer.close()

    async def _respond(
        self, received: Received, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Respond to a request; return whether the connection is kept."""
        self._on_begin(received)
        work = asyncio.ensure_future(self._play(ResponseScript.of(received), received, writer))
        closed = asyncio.ensure_future(reader.read(1))
        broke = False
        try:
            await asyncio.wait([work, closed], return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                return False  # the caller has closed the connection
            broke = isinstance(work.exception(), _BrokeOffError)
            return work.exception() is None
        except asyncio.CancelledError:
            broke = self._stopping
            raise
        finally:
            self._on_end(received, broke)
            work.cancel()
            closed.cancel()
            await asyncio.gather(work, closed, return_exceptions=True)

    async def _play(
        self, script: ResponseScript, received: Received, writer: asyncio.StreamWriter
    ) -> None:
        if script.breaks_head:
            head = stream_head(received) if script.streams else answer(received)
            writer.write(head[: len(head) // 2])
            await writer.drain()
            raise _BrokeOffError
        if not script.streams:
            await asyncio.sleep(script.lasts_s + script.pause_s)
            body = b"x" * script.body_bytes or received.body
            writer.write(answer(received, body=body))
            await writer.drain()
            return
        first = int(received.headers.get("last-event-id", 0)) + 1
        head = stream_head(received)
        for number in range(first, script.events + 1):
            await asyncio.sleep(script.lasts_s / script.events)
            if number == script.pause_before:
                await asyncio.sleep(script.pause_s)
            if number == script.breaks_at and first < number:
                raise _BrokeOffError
            writer.write(head + event(number))
            head = b""
            await writer.drain()
        writer.write(head + END_OF_CHUNKS)
        await writer.drain()


async def _unused(_replica: StandInReplica, _received: Received) -> bytes:
    return b""


__all__ = ["SCRIPT_HEADER", "ResponseScript", "ScriptedReplica"]
