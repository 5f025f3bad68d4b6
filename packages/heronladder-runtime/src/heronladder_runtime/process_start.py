"""Start time of this process, as far as the program can tell; quick to import."""

import time


def boot_time_s() -> float:
    """Return the seconds since the machine started, including the time it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


PROCESS_START_S = boot_time_s()  # first import of this module: slightly late, never early
