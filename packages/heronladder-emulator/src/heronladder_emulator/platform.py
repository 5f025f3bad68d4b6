"""Emulation of the platform: a delayed list of machines, and a store of model weights."""

import asyncio
from collections import deque
from dataclasses import dataclass

from heronladder_runtime.clock import Environment


@dataclass(frozen=True)
class Machine:
    """An entry in the platform's list of machines.

    Attributes:
        name: Name of the machine.
        address: IP address of the machine.
        leaving: Whether the platform is about to remove the machine.
    """

    name: str
    address: str
    leaving: bool = False


class PlatformList:
    """The platform's list of machines, visible with a delay.

    Args:
        environment: Clock.
        lag_s: Age of the visible list, in seconds.
    """

    def __init__(self, environment: Environment, lag_s: float) -> None:
        self._environment = environment
        self._lag_s = lag_s
        self._current: dict[str, Machine] = {}
        self._history: deque[tuple[float, dict[str, Machine]]] = deque([(0.0, {})])

    def set(self, machine: Machine) -> None:
        """Add or change a machine."""
        self._current = {**self._current, machine.name: machine}
        self._history.append((self._environment.monotonic(), self._current))

    def remove(self, name: str) -> None:
        """Remove a machine."""
        self._current = {key: value for key, value in self._current.items() if key != name}
        self._history.append((self._environment.monotonic(), self._current))

    def shown(self) -> list[Machine]:
        """Return the machines, ordered by name, as they were ``lag_s`` ago."""
        visible_at_s = self._environment.monotonic() - self._lag_s
        while len(self._history) > 1 and self._history[1][0] <= visible_at_s:
            self._history.popleft()
        machines = self._history[0][1]
        return [machines[name] for name in sorted(machines)]


class WeightStore:
    """A store of model weights with limited bandwidth.

    Args:
        bytes_per_second: Bandwidth shared by all readers.
    """

    def __init__(self, bytes_per_second: float) -> None:
        self._bytes_per_second = bytes_per_second
        self._read_lock = asyncio.Lock()
        self.bytes_read = 0

    async def read(self, size: int) -> None:
        """Wait as long as reading ``size`` bytes takes; readers are served one at a time."""
        async with self._read_lock:
            await asyncio.sleep(size / self._bytes_per_second)
            self.bytes_read += size
