"""Replicas of the fault soak: they crash, drain, and come back under their id or another."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from platform_stand_ins import Received, StandInReplica, answer

if TYPE_CHECKING:
    from process_soak import ProcessSoak

STREAM_PATH = "/stream/"
CRASHES = b"crashes whoever runs this"
_BEAT_S = 0.8
_DOWN_S = 1.0


class SoakReplica:
    """A replica that may crash and comes back, under its id or another."""

    def __init__(self, soak: ProcessSoak, number: int) -> None:
        self._soak = soak
        self._number = number
        self._starts = 0
        self._draining = False
        self.up: StandInReplica | None = None
        self._born = 0

    async def start(self) -> None:
        """Start it."""
        if self._soak.source.random() < 0.5 or not self._starts:
            self._starts += 1
        runner = self._make_runner(f"replica-{self._number}-{self._starts}")
        await runner.start()
        self._born = int(time.time() * 1000)
        self._draining = False
        self.up = runner
        self._soak.begin(self._beat(runner))

    def _make_runner(self, identity: str) -> StandInReplica:
        return StandInReplica(identity, self._serve)

    def _heartbeat(self, runner: StandInReplica, sequence: int, state: str) -> dict[str, object]:
        return runner.heartbeat(born=self._born, sequence=sequence, state=state)

    async def _beat(self, runner: StandInReplica) -> None:
        sequence = 0
        while self.up is runner:
            sequence += 1
            state = "draining" if self._draining else "ready"
            told = self._heartbeat(runner, sequence, state)
            await self._soak.tell(f"/api/Replicas.Heartbeat/{runner.identity}", told)
            await asyncio.sleep(_BEAT_S * self._soak.source.uniform(0.5, 1.5))

    async def crash(self, down_s: float = _DOWN_S) -> None:
        """End it at once; it comes back."""
        runner, self.up = self.up, None
        if runner is not None:
            await runner.stop()
            await asyncio.sleep(down_s)
            await self.start()

    async def leave(self) -> None:
        """Drain, end as planned, and come back later."""
        runner = self.up
        if runner is None:
            return
        self._draining = True
        await asyncio.sleep(2.5)
        if self.up is runner:
            await self._soak.tell(f"/api/Replicas.Deregister/{runner.identity}", {})
            await self.crash()

    async def _serve(self, replica: StandInReplica, received: Received) -> bytes:
        soak = self._soak
        if received.body == CRASHES:
            soak.book.disturbed()
            soak.crashing_s.append(asyncio.get_running_loop().time())
            if self.up is replica:
                soak.crashed_s.append(asyncio.get_running_loop().time())
                soak.begin(self.crash())
            return b""
        soak.runs[received.headers["request-id"]] += 1
        soak.book.arrived(received)
        try:
            if received.target.startswith(STREAM_PATH):
                return soak.stream(received)
            await asyncio.sleep(0.02 * soak.source.uniform(0.5, 3.0))
            return answer(received, body=received.body)
        finally:
            soak.book.done(received, self.up is not replica)

    async def stop(self) -> None:
        """End it for good."""
        runner, self.up = self.up, None
        if runner is not None:
            await runner.stop()
