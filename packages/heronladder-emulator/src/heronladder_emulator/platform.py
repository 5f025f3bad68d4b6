"""A stand-in for the platform: its lagging list of machines, and its weight store."""

import asyncio
from collections import deque
from dataclasses import dataclass

from heronladder_runtime.clock import Environment


@dataclass(frozen=True)
class Machine:
    """A machine as the platform lists it.

    Attributes:
        name: Its name.
        address: Its IP number.
        leaving: Whether it is to be taken away.
    """

    name: str
    address: str
    leaving: bool = False


class PlatformList:
    """Live and leaving machines, shown as they were a while ago.

    Args:
        environment: Time.
        lag_s: Age of what is shown, in seconds.
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
        """Take a machine away."""
        self._current = {key: value for key, value in self._current.items() if key != name}
        self._history.append((self._environment.monotonic(), self._current))

    def shown(self) -> list[Machine]:
        """Return the list as it was the lag's time ago."""
        oldest = self._environment.monotonic() - self._lag_s
        while len(self._history) > 1 and self._history[1][0] <= oldest:
            self._history.popleft()
        machines = self._history[0][1]
        return [machines[name] for name in sorted(machines)]


class WeightStore:
    """A store of model weights that gives out a bounded number of bytes a second.

    Args:
        bytes_per_second: Its rate over all readers.
    """

    def __init__(self, bytes_per_second: float) -> None:
        self._bytes_per_second = bytes_per_second
        self._turn = asyncio.Lock()
        self.bytes_read = 0

    async def read(self, size: int) -> None:
        """Take the time that reading ``size`` bytes takes, one reader after the other."""
        async with self._turn:
            await asyncio.sleep(size / self._bytes_per_second)
            self.bytes_read += size
