"""Sources of time and randomness, so that the same code runs under virtual time."""

import asyncio
import time
from collections.abc import Awaitable
from dataclasses import dataclass, field
from random import Random
from typing import TypeVar

from heronladder_runtime.loop_lag import LoopLagMonitor, Silence
from heronladder_runtime.process_start import boot_time_s

MILLISECONDS_PER_SECOND = 1000
MAX_DURATION_MS = 2**32 - 1  # longest duration that a 32-bit field of a message holds: 49.7 days
_MIN_TIMER_S = 0.001  # a shorter timer may be due again at once
_Result = TypeVar("_Result")


def seconds(milliseconds: float) -> float:
    """Return a duration in seconds."""
    return milliseconds / MILLISECONDS_PER_SECOND


def duration_ms(duration_s: float) -> int:
    """Return a duration for a 32-bit field of a message, in milliseconds.

    Machines and processes run for longer than such a field holds; a longer duration counts as the
    longest one, and a negative one as none.

    Args:
        duration_s: The duration, in seconds; may be infinite.
    """
    return int(min(max(0.0, duration_s) * MILLISECONDS_PER_SECOND, MAX_DURATION_MS))


def _system_wall_ms() -> int:
    return int(time.time() * MILLISECONDS_PER_SECOND)


@dataclass
class Environment:
    """Sources of time and randomness of a daemon.

    Attributes:
        random: Source of every random choice; seeded in simulations.
        virtual: Whether wall time is the event loop's time (simulations).
        process_start_s: Start of the process on the clock of ``process_start``; None if several
            daemons share a process.
        loop_lag: Lag of the event loop; 0 if it is not measured.
    """

    random: Random = field(default_factory=Random)
    virtual: bool = False
    process_start_s: float | None = None
    loop_lag: LoopLagMonitor = field(default_factory=LoopLagMonitor)

    def process_age_s(self) -> float:
        """Return a lower bound of the process's age in seconds; 0 if it is not known."""
        if self.process_start_s is None:
            return 0.0
        return max(0.0, boot_time_s() - self.process_start_s)

    def monotonic(self) -> float:
        """Return the seconds on the event loop's clock, which never goes back.

        In daemons it advances while the machine is suspended, so that leases, promises and
        periods of silence are timed by it.
        """
        return asyncio.get_running_loop().time()

    def wall_ms(self) -> int:
        """Return the wall time in milliseconds; in simulations, virtual time."""
        if self.virtual:
            return int(self.monotonic() * MILLISECONDS_PER_SECOND)
        return _system_wall_ms()

    def new_id(self, prefix: str) -> str:
        """Return a new identifier of 64 random bits after ``prefix``."""
        return f"{prefix}-{self.random.getrandbits(64):016x}"

    def jitter(self, seconds: float) -> float:
        """Return a random duration between 0.5 and 1.5 times ``seconds``."""
        return seconds * (0.5 + self.random.random())


class SilenceWatch:
    """Tracks the time since the last message of a peer.

    Args:
        environment: Source of time and of the loop lag.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self.record_activity()

    def record_activity(self) -> None:
        """Record a message of the peer."""
        self._last_heard_s = self._environment.monotonic()
        self._lag_before_s = self._environment.loop_lag.total_s()

    def silence(self) -> Silence:
        """Return the time since the last message."""
        return Silence(
            self._environment.monotonic() - self._last_heard_s,
            self._environment.loop_lag.total_s() - self._lag_before_s,
        )


async def wait_excluding_loop_lag(
    environment: Environment, timeout_s: float, work: Awaitable[_Result]
) -> _Result:
    """Await with a timeout that does not count the loop lag of this process.

    Args:
        environment: Source of time and of the loop lag.
        timeout_s: Timeout in seconds; at most doubled if the loop lags all the time.
        work: Awaitable; it is cancelled at the timeout.

    Returns:
        Result of the awaitable.

    Raises:
        TimeoutError: If the timeout expired.
    """
    loop = asyncio.get_running_loop()
    watch = SilenceWatch(environment)
    timer: asyncio.TimerHandle | None = None
    async with asyncio.timeout(None) as limit:

        def check() -> None:
            nonlocal timer
            remaining_s = watch.silence().remaining_s(timeout_s)
            if remaining_s > 0:
                timer = loop.call_later(max(remaining_s, _MIN_TIMER_S), check)
            else:
                limit.reschedule(loop.time())

        timer = loop.call_later(timeout_s, check)
        try:
            return await work
        finally:
            timer.cancel()
