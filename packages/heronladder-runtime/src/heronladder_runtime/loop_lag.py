"""Measurement of the event loop's lag, which is deducted from timeouts for peers.

A process whose event loop is overloaded, or that gets no processor, reads messages of its peers
late. A timeout that expires in the meantime says nothing about the peer. The principle is known
as local health awareness: a member extends its timeouts by its own measured lag.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics

_MS_PER_S = 1000
_SAMPLE_INTERVAL_S = 0.1
_MIN_LAG_S = 0.01  # timers of an idle process also fire slightly late
_REPORT_THRESHOLD_S = 0.5
_REPORT_INTERVAL_S = 5.0


class LoopLagMonitor:
    """Accumulates the time by which the event loop runs due timers late."""

    def __init__(self) -> None:
        self._loop: asyncio.AbstractEventLoop | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._due_s = 0.0
        self._total_lag_s = 0.0
        self._next_report_s = float("-inf")
        self._log: EventLog | None = None
        self._metrics: Metrics | None = None

    def start(self, log: EventLog, metrics: Metrics) -> None:
        """Start measuring the running loop.

        Args:
            log: Log for long lags, at most one line each five seconds.
            metrics: Histogram that records each lag.
        """
        self._log, self._metrics = log, metrics
        self._loop = asyncio.get_running_loop()
        self._schedule()

    def stop(self) -> None:
        """Stop measuring; the total is kept."""
        if self._timer is not None:
            self._timer.cancel()
        self._loop = self._timer = None

    def total_s(self) -> float:
        """Return the total lag of the loop since the start, in seconds.

        The lag of a timer that is overdue now is included, because callers in the same iteration
        of the loop run before the timer does.
        """
        if self._loop is None:
            return self._total_lag_s
        return self._total_lag_s + _significant_lag(self._loop.time() - self._due_s)

    def _schedule(self) -> None:
        assert self._loop is not None
        self._due_s = self._loop.time() + _SAMPLE_INTERVAL_S
        # A callback and not a task, so that it runs before timers that became due after it.
        self._timer = self._loop.call_at(self._due_s, self._tick)

    def _tick(self) -> None:
        assert self._loop is not None
        now_s = self._loop.time()
        loop_lag_s = _significant_lag(now_s - self._due_s)
        self._total_lag_s += loop_lag_s
        if loop_lag_s and self._metrics is not None:
            self._metrics.observe("loop_late", loop_lag_s)
        if (
            loop_lag_s >= _REPORT_THRESHOLD_S
            and now_s >= self._next_report_s
            and self._log is not None
        ):
            self._next_report_s = now_s + _REPORT_INTERVAL_S
            self._log.warning("loop_late", step="loop", late_ms=int(loop_lag_s * _MS_PER_S))
        self._schedule()


def _significant_lag(loop_lag_s: float) -> float:
    return loop_lag_s if loop_lag_s > _MIN_LAG_S else 0.0


@dataclass(frozen=True)
class Silence:
    """Time since the last message of a peer.

    Attributes:
        silent_s: Time without a message, in seconds.
        loop_lag_s: Lag of this process within that time, in seconds.
    """

    silent_s: float
    loop_lag_s: float = 0.0

    @property
    def late_ms(self) -> int:
        """The lag in milliseconds, for log lines."""
        return int(self.loop_lag_s * _MS_PER_S)

    def remaining_s(self, timeout_s: float) -> float:
        """Return the remaining time to wait for the peer, in seconds; 0 or less if it is over.

        The lag of this process is added to the timeout, but at most once the timeout: a process
        with permanent lag must also reach a decision.
        """
        return timeout_s + min(self.loop_lag_s, timeout_s) - self.silent_s

    def exceeds(self, timeout_s: float) -> bool:
        """Return whether the peer was silent for longer than the timeout."""
        return self.remaining_s(timeout_s) <= 0.0
