"""What a process uses, read from /proc."""

import os
from dataclasses import dataclass
from pathlib import Path

_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
_KIBIBYTE = 1024
_MEBIBYTE = 1024 * 1024
_USER_TICKS_FIELD = 11  # after the process's name in /proc/PID/stat
_SYSTEM_TICKS_FIELD = 12


@dataclass(frozen=True)
class Usage:
    """What a process used up to now.

    Attributes:
        cpu_s: Processor time in seconds.
        resident_mb: Resident memory in MiB.
    """

    cpu_s: float
    resident_mb: float


def usage(pid: int | None = None) -> Usage:
    """Return what a process used; this one when no id is given.

    Raises:
        OSError: If there is no such process.
    """
    folder = Path("/proc") / (str(pid) if pid else "self")
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[_USER_TICKS_FIELD]) + int(fields[_SYSTEM_TICKS_FIELD])
    resident = 0
    for line in (folder / "status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            resident = int(line.split()[1]) * _KIBIBYTE
    return Usage(ticks / _TICKS_PER_SECOND, resident / _MEBIBYTE)


def loopback_bytes() -> int:
    """Return the bytes that ever went over the loopback interface, headers included."""
    for line in Path("/proc/net/dev").read_text().splitlines():
        name, _, counters = line.partition(":")
        if name.strip() == "lo":
            return int(counters.split()[0])
    return 0


def slope(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return (slope, value at zero) of the straight line closest to the points."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    if not spread:
        return 0.0, mean_y
    rise = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
    return rise, mean_y - rise * mean_x
