"""How late this process runs.

An event loop that has too much to do, or a process that gets no processor, reads late what its
peers have sent. A time-out that expires meanwhile says nothing of the peer. The field's name is
local health awareness: a member widens its time-outs by what it knows of itself.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics

_MS_PER_S = 1000
_TICK_S = 0.1
_LEAST_S = 0.01  # timers of a process at rest fire slightly late
_REPORT_S = 0.5
_REPORT_PAUSE_S = 5.0


class LoopLagMonitor:
    """Sums up for how long the event loop has not come to a timer that was due."""

    def __init__(self) -> None:
        self._loop: asyncio.AbstractEventLoop | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._due_s = 0.0
        self._sum_s = 0.0
        self._next_report_s = float("-inf")
        self._log: EventLog | None = None
        self._metrics: Metrics | None = None

    def start(self, log: EventLog, metrics: Metrics) -> None:
        """Start to measure the running loop.

        Args:
            log: Where a long lateness is reported, at most once each five seconds.
            metrics: Where each one is recorded.
        """
        self._log, self._metrics = log, metrics
        self._loop = asyncio.get_running_loop()
        self._schedule()

    def stop(self) -> None:
        """Measure no more; the sum stays."""
        if self._timer is not None:
            self._timer.cancel()
        self._loop = self._timer = None

    def total_s(self) -> float:
        """Return for how long the loop has been late since the start, in seconds.

        A timer that is overdue now counts already: what is judged in the same turn of the
        loop comes before it.
        """
        if self._loop is None:
            return self._sum_s
        return self._sum_s + _counted(self._loop.time() - self._due_s)

    def _schedule(self) -> None:
        assert self._loop is not None
        self._due_s = self._loop.time() + _TICK_S
        # A callback, not a task: it runs before the timers that became due after it.
        self._timer = self._loop.call_at(self._due_s, self._tick)

    def _tick(self) -> None:
        assert self._loop is not None
        now_s = self._loop.time()
        late_s = _counted(now_s - self._due_s)
        self._sum_s += late_s
        if late_s and self._metrics is not None:
            self._metrics.observe("loop_late", late_s)
        if late_s >= _REPORT_S and now_s >= self._next_report_s and self._log is not None:
            self._next_report_s = now_s + _REPORT_PAUSE_S
            self._log.warning("loop_late", step="loop", late_ms=int(late_s * _MS_PER_S))
        self._schedule()


def _counted(late_s: float) -> float:
    return late_s if late_s > _LEAST_S else 0.0


@dataclass(frozen=True)
class Silence:
    """How long a peer has not been heard.

    Attributes:
        silent_s: For how long, in seconds.
        late_s: For how much of that this process was late.
    """

    silent_s: float
    late_s: float = 0.0

    @property
    def late_ms(self) -> int:
        """The lateness in milliseconds, as log lines give it."""
        return int(self.late_s * _MS_PER_S)

    def remaining_s(self, timeout_s: float) -> float:
        """Return for how much longer the peer is waited for; at or below 0 no more.

        Own lateness is not counted against the peer, up to the patience again: a process that
        is always late must still come to a verdict.
        """
        return timeout_s + min(self.late_s, timeout_s) - self.silent_s

    def exceeds(self, timeout_s: float) -> bool:
        """Return whether the peer was silent for longer than the patience."""
        return self.remaining_s(timeout_s) <= 0.0
