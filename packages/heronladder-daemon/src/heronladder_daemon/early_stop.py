"""Stop signals that arrive while the program is being loaded.

A gateway that is being loaded serves nothing yet and ends at once. A control member may be listed
in a group that has a replacement for it, so it finishes its start, leaves the group and ends then.
This module imports nothing that takes long to load.
"""

import signal
import time
from types import FrameType

_signalled_s: float | None = None  # monotonic time of the first signal


def install(*, finishes_start: bool) -> None:
    """Handle SIGTERM until the daemon does.

    Args:
        finishes_start: Whether the process finishes its start before it stops; otherwise it exits
            at once, with exit code 0.
    """
    signal.signal(signal.SIGTERM, _note if finishes_start else _exit_cleanly)


def elapsed_s() -> float | None:
    """Return the time since a signal arrived, in seconds; None if none did."""
    return None if _signalled_s is None else time.monotonic() - _signalled_s


def _note(_number: int, _frame: FrameType | None) -> None:
    global _signalled_s
    if _signalled_s is None:
        _signalled_s = time.monotonic()


def _exit_cleanly(_number: int, _frame: FrameType | None) -> None:
    signal.signal(signal.SIGTERM, signal.SIG_IGN)  # a second one must not interrupt the exit
    raise SystemExit(0)
