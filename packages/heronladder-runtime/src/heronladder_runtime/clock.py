"""Time and randomness, so that the same code runs under virtual time."""

import asyncio
import time
from dataclasses import dataclass, field
from random import Random

from heronladder_runtime.process_start import boot_time_s

MILLISECONDS_PER_SECOND = 1000


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
    """

    random: Random = field(default_factory=Random)
    virtual: bool = False
    process_began_s: float | None = None

    def process_age_s(self) -> float:
        """Return how long ago the process began, at least; 0 where that is not known."""
        if self.process_began_s is None:
            return 0.0
        return max(0.0, boot_time_s() - self.process_began_s)

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
