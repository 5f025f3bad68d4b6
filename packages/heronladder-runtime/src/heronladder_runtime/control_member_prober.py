"""Probes which control members can be reached, and how long connecting to them takes.

A connection attempt with a short timeout never succeeds where connecting takes longer. An attempt
with a long timeout notices the end of a partition late, because lost packets are sent again only
after seconds. New probes therefore start while earlier ones are still running: with a one-way
delay of 0.45 s, a gateway is connected 2.7 s after a partition of 2 s (7.4 to 8.3 s with single
attempts of 0.4 s). Without delay both take 0.1 s.
"""

import asyncio

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.clock import Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.rpc import StubFactory
from heronladder_runtime.rpc_errors import RPC_ERRORS
from heronladder_runtime.tasks import TaskGroupOwner

#: A member that took longer to connect to gets channels with longer connection attempts.
LONG_CONNECT_TIME_S = 0.15
_FAILURES_BEFORE_PROBING = 2  # a single failure usually means that the leader was lost
_PROBE_TIMEOUT_S = 3.0  # longest connect time that is supported
_PROBE_INTERVAL_S = 0.4  # longest delay until a probe starts after the end of a partition
_REFUSED_RETRY_DELAY_S = 0.1  # before the next member is probed after a refused connection
_SELECTION_TIMEOUT_S = 1.0  # without a result by then, a stream is opened without one
_RESULT_VALIDITY_S = 1.0  # older results say nothing about the present connection


class ControlMemberProber:
    """Selects a control member by overlapping connection probes.

    Args:
        stubs: Opens the connections.
        tasks: Owner of the probe tasks.
        environment: Source of time.
        log: Log for failed probes.
    """

    def __init__(
        self, stubs: StubFactory, tasks: TaskGroupOwner, environment: Environment, log: EventLog
    ) -> None:
        self._stubs = stubs
        self._tasks = tasks
        self._environment = environment
        self._log = log
        self._probe_results: dict[str, tuple[float, float]] = {}  # time, connect time
        self._result_arrived = ChangeSignal()

    async def choose(self, members: list[str], first: int, failed: int) -> tuple[str, float]:
        """Return the address to connect to, and the connect time in seconds.

        The connect time is 0 if no probe was made or none succeeded in time.

        Args:
            members: Addresses of the members.
            first: Index of the member to probe first, modulo the number of members.
            failed: Number of streams in a row that ended without a frame from a leader.
        """
        first %= len(members)
        addresses = [*members[first:], *members[:first]]
        if failed < _FAILURES_BEFORE_PROBING:
            return addresses[0], 0.0
        until_s = self._environment.monotonic() + _SELECTION_TIMEOUT_S
        while self._environment.monotonic() < until_s:
            for address in addresses:
                found = await self._probe_next(address, addresses)
                if found is not None:
                    return found
        return addresses[0], 0.0

    async def _probe_next(self, address: str, addresses: list[str]) -> tuple[str, float] | None:
        """Start a probe; return the first result of any probe before the next one is due."""
        ended = self._start_probe(address)
        until_s = self._environment.monotonic() + _PROBE_INTERVAL_S
        answered = True
        while answered:
            found = self._take_valid_result(addresses)
            if found is not None:
                return found
            if ended.is_set():
                await asyncio.sleep(_REFUSED_RETRY_DELAY_S)  # refused
                return self._take_valid_result(addresses)
            answered = await self._result_arrived.wait(until_s - self._environment.monotonic())
        return None

    def _take_valid_result(self, addresses: list[str]) -> tuple[str, float] | None:
        for address in addresses:
            answered_s, connect_time_s = self._probe_results.pop(address, (float("-inf"), 0.0))
            if self._environment.monotonic() - answered_s < _RESULT_VALIDITY_S:
                return address, connect_time_s
        return None

    def _start_probe(self, address: str) -> asyncio.Event:
        """Start a probe; return an event that is set when it ends."""
        ended = asyncio.Event()
        self._tasks.start(f"way-{address}", self._probe(address, ended))
        return ended

    async def _probe(self, address: str, ended: asyncio.Event) -> None:
        started_s = self._environment.monotonic()
        try:
            async with asyncio.timeout(_PROBE_TIMEOUT_S):
                await self._stubs.wait_for_greeting(address)
            now_s = self._environment.monotonic()
            self._probe_results[address] = (now_s, now_s - started_s)
        except RPC_ERRORS as error:
            self._log.debug("way_not_open", step="connect", peer=address, error=repr(error))
        finally:
            ended.set()
            self._result_arrived.notify_waiters()
