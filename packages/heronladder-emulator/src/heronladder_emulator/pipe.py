"""One-way message streams between simulated processes, ordered like TCP streams."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, Any

from heronladder_runtime.change_signal import ChangeSignal

from heronladder_emulator.network_errors import NetworkError

if TYPE_CHECKING:
    from heronladder_emulator.network import MemoryNetwork

KEEPALIVE_TIMEOUT_S = 5.0  # A connection without a keep-alive response for this long breaks.
KEEPALIVE_INTERVAL_S = 1.0
_MAX_BUFFERED_MESSAGES = 64


class Pipe:
    """An ordered message stream in one direction.

    Args:
        network: Network that carries the stream.
        source: Name of the sending process.
        target: Name of the receiving process.
    """

    def __init__(self, network: MemoryNetwork, source: str, target: str) -> None:
        self.source = source
        self.target = target
        self._network = network
        self._arrived: deque[Any] = deque()
        self._held_back: deque[Any] = deque()
        self._in_flight: deque[Any] = deque()
        self._last_arrival_s = 0.0
        self._changed = ChangeSignal()
        self._break_timer: asyncio.TimerHandle | None = None
        self._ended = False
        self.broken = False

    @property
    def closed(self) -> bool:
        """Whether the stream has ended or is broken."""
        return self.broken or self._ended

    def send(self, message: Any) -> None:
        """Send a message; a partition delays it.

        Raises:
            NetworkError: If the stream is broken.
        """
        if self.broken:
            raise NetworkError(f"stream {self.source} to {self.target} is broken")
        if self._held_back or not self._network.open(self.source, self.target):
            self._hold(message)
            return
        loop = asyncio.get_running_loop()
        arrival_s = loop.time() + self._network.delay(self.source, self.target)
        self._last_arrival_s = max(self._last_arrival_s, arrival_s)
        self._in_flight.append(message)
        loop.call_at(self._last_arrival_s, self._arrive)

    def _hold(self, message: Any) -> None:
        self._held_back.append(message)
        if self._break_timer is None:
            loop = asyncio.get_running_loop()
            self._break_timer = loop.call_later(KEEPALIVE_TIMEOUT_S, self._break)

    def flush(self) -> None:
        """Send the messages held back by a partition that has ended."""
        if self.broken or not self._network.open(self.source, self.target):
            return
        if self._break_timer is not None:
            self._break_timer.cancel()
            self._break_timer = None
        held, self._held_back = self._held_back, deque()
        for message in held:
            self.send(message)

    def _arrive(self) -> None:
        # Timers due at the same time may fire in any order, so each takes the oldest message.
        if self.broken:
            return
        self._arrived.append(self._in_flight.popleft())
        self._changed.notify_waiters()

    async def writable(self) -> None:
        """Wait until the number of unread messages is within the buffer limit."""
        while (
            len(self._arrived) + len(self._held_back) > _MAX_BUFFERED_MESSAGES and not self.broken
        ):
            await self._changed.wait()

    async def receive(self) -> Any:
        """Return the next message.

        Raises:
            NetworkError: If the stream is broken and no message is left.
        """
        silent_s = 0.0
        while not self._arrived:
            if self.broken:
                raise NetworkError(f"stream {self.source} to {self.target} broke")
            if await self._changed.wait(KEEPALIVE_INTERVAL_S):
                continue
            connected = self._network.open(self.source, self.target) and self._network.open(
                self.target, self.source
            )
            silent_s = 0.0 if connected else silent_s + KEEPALIVE_INTERVAL_S
            if silent_s >= KEEPALIVE_TIMEOUT_S:
                self._break()
        message = self._arrived.popleft()
        self._changed.notify_waiters()
        return message

    def break_off(self) -> None:
        """Break the stream.

        The receiver notices after the network delay, or after the keep-alive timeout while
        the link is partitioned.
        """
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
        self._network.remove_pipe(self)
        self._changed.notify_waiters()

    def close(self) -> None:
        """End the stream at once and remove it from the network."""
        self._ended = True
        self._break()
