"""Time and randomness, so that the same code runs under virtual time."""

import asyncio
import time
from collections.abc import Awaitable
from dataclasses import dataclass, field
from random import Random
from typing import TypeVar

from heronladder_runtime.loop_lag import LoopLagMonitor, Silence
from heronladder_runtime.process_start import boot_time_s

MILLISECONDS_PER_SECOND = 1000
_LEAST_TIMER_S = 0.001  # less may not move a clock at all: the timer would be due again at once
_Result = TypeVar("_Result")


def seconds(milliseconds: float) -> float:
    """Return a duration in seconds."""
    return milliseconds / MILLISECONDS_PER_SECOND


def _system_wall_ms() -> int:
    return int(time.time() * MILLISECONDS_PER_SECOND)


@dataclass
class Environment:
    """What a daemon takes from its surroundings.

    Attributes:
        random: Source of every random choice; seeded in simulations.
        virtual: Whether time is the event loop's own (simulations).
        process_began_s: When the process began, on the clock of ``process_start``; None
            where several daemons share a process.
        lateness: How late the process runs; 0 where it is not measured.
    """

    random: Random = field(default_factory=Random)
    virtual: bool = False
    process_start_s: float | None = None
    loop_lag: LoopLagMonitor = field(default_factory=LoopLagMonitor)

    def process_age_s(self) -> float:
        """Return how long ago the process began, at least; 0 where that is not known."""
        if self.process_start_s is None:
            return 0.0
        return max(0.0, boot_time_s() - self.process_start_s)

    def monotonic(self) -> float:
        """Return seconds on the event loop's clock, which never goes back.

        In daemons it goes on while the machine is suspended: whatever a promise, a lease or a
        silence rests on is judged by it.
        """
        return asyncio.get_running_loop().time()

    def wall_ms(self) -> int:
        """Return milliseconds of wall time; in simulations, of virtual time."""
        if self.virtual:
            return int(self.monotonic() * MILLISECONDS_PER_SECOND)
        return _system_wall_ms()

    def new_id(self, prefix: str) -> str:
        """Return a new identifier of 64 random bits after ``prefix``."""
        return f"{prefix}-{self.random.getrandbits(64):016x}"

    def jitter(self, seconds: float) -> float:
        """Return a duration between half and one and a half of ``seconds``."""
        return seconds * (0.5 + self.random.random())


class SilenceWatch:
    """Follows when a peer was heard last.

    Args:
        environment: Time, and how late this process runs.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self.record_activity()

    def record_activity(self) -> None:
        """Note that the peer is heard now."""
        self._heard_s = self._environment.monotonic()
        self._late_before_s = self._environment.loop_lag.total_s()

    def silence(self) -> Silence:
        """Return how long it has not been heard."""
        return Silence(
            self._environment.monotonic() - self._heard_s,
            self._environment.loop_lag.total_s() - self._late_before_s,
        )


async def wait_excluding_loop_lag(
    environment: Environment, timeout_s: float, work: Awaitable[_Result]
) -> _Result:
    """Return the result of what is awaited; time for which this process was late is not counted.

    Args:
        environment: Time, and how late this process runs.
        timeout_s: Longest time, in seconds; twice as much where the process is late throughout.
        work: What is awaited, and cancelled when the time is over.

    Raises:
        TimeoutError: The time was over.
    """
    loop = asyncio.get_running_loop()
    watch = SilenceWatch(environment)
    timer: asyncio.TimerHandle | None = None
    async with asyncio.timeout(None) as limit:

        def check() -> None:
            nonlocal timer
            remaining_s = watch.silence().remaining_s(timeout_s)
            if remaining_s > 0:
                timer = loop.call_later(max(remaining_s, _LEAST_TIMER_S), check)
            else:
                limit.reschedule(loop.time())

        timer = loop.call_later(timeout_s, check)
        try:
            return await work
        finally:
            timer.cancel()
