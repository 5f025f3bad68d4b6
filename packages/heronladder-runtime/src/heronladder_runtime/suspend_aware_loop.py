"""Event loop whose clock advances while the machine is suspended.

The monotonic clock stops during suspension. Leases, promises and periods of silence that are timed
by it would seem recent when the machine resumes, and the daemon would act on them.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from heronladder_runtime.process_start import boot_time_s

Result = TypeVar("Result")


class SuspendAwareLoop(asyncio.SelectorEventLoop):
    """Uses the time since the machine's start for all times and timers.

    Timers that were due during suspension run on resumption, at the latest after the remainder of
    the selector's current wait.

    Args:
        clock: Returns seconds; never goes back.
    """

    def __init__(self, clock: Callable[[], float] = boot_time_s) -> None:
        super().__init__()
        self._clock = clock

    def time(self) -> float:
        """Return the seconds since the machine's start, including suspension."""
        return self._clock()


def run(work: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine in a new ``SuspendAwareLoop``, like ``asyncio.run``."""
    with asyncio.Runner(loop_factory=SuspendAwareLoop) as runner:
        return runner.run(work)
