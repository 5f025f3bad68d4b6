"""An event loop whose clock goes on while the machine is suspended.

The steady clock stands still then. A lease, a promise or a silence that is measured by it seems
young to a machine that wakes, which would act on it first of all.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, TypeVar

from heronladder_runtime.process_start import boot_time_s

Result = TypeVar("Result")


class SuspendAwareLoop(asyncio.SelectorEventLoop):
    """Judges all times by the time since the machine's start; timers wait on it too.

    What was due while the machine was suspended is done as it wakes, at the latest after the rest
    of the pause that was under way.

    Args:
        clock: Gives seconds, never going back.
    """

    def __init__(self, clock: Callable[[], float] = boot_time_s) -> None:
        super().__init__()
        self._clock = clock

    def time(self) -> float:
        """Return seconds since the machine's start, its suspensions too."""
        return self._clock()


def run(work: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine in a loop of its own, as ``asyncio.run`` does."""
    with asyncio.Runner(loop_factory=SuspendAwareLoop) as runner:
        return runner.run(work)
