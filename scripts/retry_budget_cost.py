"""Measures memory and time of a gateway's retry budget.

Usage: ``python scripts/retry_budget_cost.py REQUESTS_PER_SECOND``; a tenth of the requests asks for
a retry. Prints bytes held after two windows, and microseconds for a request.
"""

import sys
import time
import tracemalloc

from heronladder_router.sliding_retry_budget import SlidingRetryBudget
from heronladder_runtime.clock import Environment
from heronladder_runtime.fleet_membership import FleetMembership
from heronladder_runtime.logs import EventLog

_LOG = EventLog("test", "gateway")
_WINDOW_S = 10.0
_WINDOWS = 2
_REQUESTS_PER_RETRY = 10


class _Clock(Environment):
    now_s = 0.0

    def monotonic(self) -> float:
        return self.now_s


def measure(per_s: int) -> tuple[int, float]:
    """Return the bytes held and the microseconds for a request at a rate of requests."""
    clock = _Clock()
    tracemalloc.start()
    budget = SlidingRetryBudget(clock, 0.2, 50, _WINDOW_S, FleetMembership(clock, _LOG))
    budget.start()
    count = int(per_s * _WINDOW_S * _WINDOWS)
    start_s = time.perf_counter()
    for number in range(count):
        clock.now_s = number / per_s
        budget.request("app")
        if number % _REQUESTS_PER_RETRY == 0:
            budget.try_spend("app")
    took_s = time.perf_counter() - start_s
    held, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return held, took_s / count * 1e6


if __name__ == "__main__":
    bytes_held, request_us = measure(int(sys.argv[1]))
    print(f"{bytes_held} bytes, {request_us:.2f} us a request")
