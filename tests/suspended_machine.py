"""A machine that a test can suspend: its clock goes on, its work does not."""

import asyncio
from collections.abc import Callable
from typing import Any

from heronladder_runtime.process_start import boot_time_s
from heronladder_runtime.suspend_aware_loop import SuspendAwareLoop

SUSPENDED_S = 30.0


class Machine:
    """The clock of a machine that can be suspended."""

    def __init__(self) -> None:
        self.suspended_s = 0.0

    def now_s(self) -> float:
        """Return its clock, which counts the time asleep."""
        return boot_time_s() + self.suspended_s


def run_on_machine(work: Callable[[Machine], Any]) -> Any:
    """Run work on the event loop of a machine that it can suspend."""
    machine = Machine()
    with asyncio.Runner(loop_factory=lambda: SuspendAwareLoop(machine.now_s)) as runner:
        return runner.run(work(machine))
