"""When this process began, as far as the program can tell. Quick to load."""

import time


def boot_time_s() -> float:
    """Return seconds since the machine's start; they go on while it is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


PROCESS_START_S = boot_time_s()  # at the first import of this module: a little late, never early
