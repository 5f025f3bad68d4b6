"""Which control members can be reached, and how long the way there takes.

A connection that is tried for a fixed time never comes about where the way takes longer. One that
is tried for long does not notice in time that a cut has ended: what was lost in it is sent again
only after seconds. So new tries are begun while earlier ones still go on (over 0.45 s one way a
gateway was back 2.7 s after a cut of 2 s, 7.4 to 8.3 s with tries of 0.4 s; 0.1 s both over none).
"""

import asyncio

from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.clock import Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.rpc import StubFactory
from heronladder_runtime.rpc_errors import RPC_ERRORS
from heronladder_runtime.tasks import TaskGroupOwner

#: A way that took longer gets longer tries to connect.
LONG_CONNECT_TIME_S = 0.15
_FAILED_BEFORE_TRIES = 2  # a first failure is mostly a leader that is lost
_TRY_S = 3.0  # the longest way that is waited for
_NEXT_TRY_S = 0.4  # after a cut has ended nobody waits longer for the next try
_REFUSED_PAUSE_S = 0.1  # before the next member's turn, where one refuses
_CHOICE_S = 1.0  # after so long without an answer a stream is opened all the same
_ANSWER_HOLDS_S = 1.0  # an answer older than that tells nothing of the way now


class ControlMemberProber:
    """Tries ways to control members.

    Args:
        stubs: Reaches them.
        tasks: Owns the tries.
        environment: Time.
        log: Where tries that came to nothing are reported.
    """

    def __init__(
        self, stubs: StubFactory, tasks: TaskGroupOwner, environment: Environment, log: EventLog
    ) -> None:
        self._stubs = stubs
        self._tasks = tasks
        self._environment = environment
        self._log = log
        self._answered: dict[str, tuple[float, float]] = {}  # when, and how long the way took
        self._came = ChangeSignal()

    async def choose(self, members: list[str], first: int, failed: int) -> tuple[str, float]:
        """Return where to connect, and how long the way there took, in seconds.

        The way is 0 where it was not tried, or none answered in time.

        Args:
            members: Addresses of members.
            first: Whose turn it is, counted on beyond the last of them.
            failed: Streams in a row that ended without a word.
        """
        first %= len(members)
        addresses = [*members[first:], *members[:first]]
        if failed < _FAILED_BEFORE_TRIES:
            return addresses[0], 0.0
        until_s = self._environment.monotonic() + _CHOICE_S
        while self._environment.monotonic() < until_s:
            for address in addresses:
                found = await self._try_one(address, addresses)
                if found is not None:
                    return found
        return addresses[0], 0.0

    async def _try_one(self, address: str, addresses: list[str]) -> tuple[str, float] | None:
        """Begin a try at one address; return the first of all that answers before the next try."""
        ended = self._begin(address)
        until_s = self._environment.monotonic() + _NEXT_TRY_S
        answered = True
        while answered:
            found = self._open(addresses)
            if found is not None:
                return found
            if ended.is_set():
                await asyncio.sleep(_REFUSED_PAUSE_S)  # nobody listens there: the next one's turn
                return self._open(addresses)
            answered = await self._came.wait(until_s - self._environment.monotonic())
        return None

    def _open(self, addresses: list[str]) -> tuple[str, float] | None:
        for address in addresses:
            came_s, connect_time_s = self._answered.pop(address, (float("-inf"), 0.0))
            if self._environment.monotonic() - came_s < _ANSWER_HOLDS_S:
                return address, connect_time_s
        return None

    def _begin(self, address: str) -> asyncio.Event:
        """Begin a try; return what is set once it has ended."""
        ended = asyncio.Event()
        self._tasks.start(f"way-{address}", self._try(address, ended))
        return ended

    async def _try(self, address: str, ended: asyncio.Event) -> None:
        began_s = self._environment.monotonic()
        try:
            async with asyncio.timeout(_TRY_S):
                await self._stubs.wait_for_greeting(address)
            now_s = self._environment.monotonic()
            self._answered[address] = (now_s, now_s - began_s)
        except RPC_ERRORS as error:
            self._log.debug("way_not_open", step="connect", peer=address, error=repr(error))
        finally:
            ended.set()
            self._came.notify_waiters()
