"""Ordered streams of parts between simulated processes, as TCP's are."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any

from heronladder_runtime.pulse import Pulse

from heronladder_emulator.network_errors import NetworkError

if TYPE_CHECKING:
    from heronladder_emulator.network import MemoryNetwork

KEEPALIVE_TIMEOUT_S = 5.0  # keep-alive probes give a silent peer up
KEEPALIVE_INTERVAL_S = 1.0
_HELD_PARTS = 64


class Pipe:
    """An ordered stream of parts in one direction.

    Args:
        network: The network.
        source: Name of the sending process.
        target: Name of the receiving process.
    """

    def __init__(self, network: MemoryNetwork, source: str, target: str) -> None:
        self.source = source
        self.target = target
        self._network = network
        self._arrived: deque[Any] = deque()
        self._held: deque[Any] = deque()
        self._in_flight: deque[Any] = deque()
        self._last_arrival_s = 0.0
        self._changed = Pulse()
        self._break_timer: asyncio.TimerHandle | None = None
        self._ended = False
        self.broken = False

    @property
    def closed(self) -> bool:
        """Whether nothing more can be sent."""
        return self.broken or self._ended

    def send(self, part: Any) -> None:
        """Send a part.

        Raises:
            NetworkError: If the stream is broken.
        """
        if self.broken:
            raise NetworkError(f"stream {self.source} to {self.target} is broken")
        if self._held or not self._network.open(self.source, self.target):
            self._hold(part)
            return
        loop = asyncio.get_running_loop()
        arrival_s = loop.time() + self._network.delay(self.source, self.target)
        self._last_arrival_s = max(self._last_arrival_s, arrival_s)
        self._in_flight.append(part)
        loop.call_at(self._last_arrival_s, self._arrive)

    def _hold(self, part: Any) -> None:
        self._held.append(part)
        if self._break_timer is None:
            loop = asyncio.get_running_loop()
            self._break_timer = loop.call_later(KEEPALIVE_TIMEOUT_S, self._break)

    def flush(self) -> None:
        """Send what was held back by a cut that is over."""
        if self.broken or not self._network.open(self.source, self.target):
            return
        if self._break_timer is not None:
            self._break_timer.cancel()
            self._break_timer = None
        held, self._held = self._held, deque()
        for part in held:
            self.send(part)

    def _arrive(self) -> None:
        # Timers of one moment fire in any order; parts keep theirs.
        if self.broken:
            return
        self._arrived.append(self._in_flight.popleft())
        self._changed.give()

    async def writable(self) -> None:
        """Wait while the receiver lags behind."""
        while len(self._arrived) + len(self._held) > _HELD_PARTS and not self.broken:
            await self._changed.wait()

    async def receive(self) -> Any:
        """Return the next part.

        Raises:
            NetworkError: If the stream broke.
        """
        silent_s = 0.0
        while not self._arrived:
            if self.broken:
                raise NetworkError(f"stream {self.source} to {self.target} broke")
            if await self._changed.wait(KEEPALIVE_INTERVAL_S):
                continue
            both = self._network.open(self.source, self.target) and self._network.open(
                self.target, self.source
            )
            silent_s = 0.0 if both else silent_s + KEEPALIVE_INTERVAL_S
            if silent_s >= KEEPALIVE_TIMEOUT_S:
                self._break()
        part = self._arrived.popleft()
        self._changed.give()
        return part

    def break_off(self) -> None:
        """Break the stream; the other side notices when the network lets it."""
        loop = asyncio.get_running_loop()
        if self._network.open(self.source, self.target) and self._network.open(
            self.target, self.source
        ):
            delay_s = self._network.delay(self.source, self.target)
            loop.call_at(max(loop.time() + delay_s, self._last_arrival_s), self._break)
        elif self._break_timer is None:
            self._break_timer = loop.call_later(KEEPALIVE_TIMEOUT_S, self._break)

    def _break(self) -> None:
        self.broken = True
        self._network.forget(self)
        self._changed.give()

    def close(self) -> None:
        """Forget the stream."""
        self._ended = True
        self._break()
