"""Simulated suspension of a machine: its clock advances while its work stands still."""

import asyncio
from collections.abc import Callable
from typing import Any

from heronladder_runtime.process_start import boot_time_s
from heronladder_runtime.suspend_aware_loop import SuspendAwareLoop

SUSPENDED_S = 30.0


class Machine:
    """Clock of a machine that a test can suspend.

    Attributes:
        suspended_s: Total time of suspension, in seconds; a test increases it."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def now_s(self) -> float:
        """Return the clock's time in seconds, including suspension."""
        return boot_time_s() + self.suspended_s


def run_on_machine(work: Callable[[Machine], Any]) -> Any:
    """Run a coroutine function on the event loop of a machine, which it can suspend."""
    machine = Machine()
    with asyncio.Runner(loop_factory=lambda: SuspendAwareLoop(machine.now_s)) as runner:
        return runner.run(work(machine))
