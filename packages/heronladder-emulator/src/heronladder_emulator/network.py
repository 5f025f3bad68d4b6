"""An in-memory network with fault injection between simulated processes.

Processes have a name and a location. Links can be partitioned in one or both
directions, slow or lossy, and can deliver calls twice or out of order. Streams
are ordered like TCP streams: a partition delays their messages, and breaks them
when it lasts longer than the keep-alive timeout.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeVar

from heronladder_runtime.change_signal import ChangeSignal

from heronladder_emulator.network_errors import NetworkError, RefusedError
from heronladder_emulator.pipe import KEEPALIVE_INTERVAL_S, KEEPALIVE_TIMEOUT_S, Pipe

Result = TypeVar("Result")

_RETRANSMIT_INTERVAL_S = 0.2
_CONNECT_TIMEOUT_S = 1.0
_OPEN_CONNECTION_PROBABILITY = 0.5
_LOCAL_DELAY_S = 0.0001
_MIN_WAIT_S = 1e-6  # A shorter sleep may not advance a virtual clock.
_READ_WINDOW_S = 0.005  # Time in which a lagging process reads what has arrived.


@dataclass
class Location:
    """Location of a process.

    Attributes:
        zone: Name of the zone.
        region: Name of the region.
    """

    zone: str
    region: str


@dataclass
class Partition:
    """A one-way partition between two groups of processes.

    Attributes:
        sources: Names of the processes whose messages are lost.
        targets: Names of the processes that don't receive these messages.
    """

    sources: frozenset[str]
    targets: frozenset[str]


@dataclass
class NetworkConditions:
    """Delays and message faults of links that are not partitioned.

    Attributes:
        zone_delay_s: One-way delay between zones of a region, in seconds.
        region_delay_s: One-way delay between regions, in seconds.
        extra_delay_s: Upper bound of the additional, uniformly distributed delay of a
            message, in seconds.
        loss: Probability that a transmission is lost and has to be repeated.
        duplicates: Probability that a call is delivered twice.
    """

    zone_delay_s: float = 0.0009
    region_delay_s: float = 0.03
    extra_delay_s: float = 0.0002
    loss: float = 0.0
    duplicates: float = 0.0


@dataclass
class Endpoint:
    """A process on the network.

    Attributes:
        name: Name of the process.
        place: Location of the process.
        start: Number of times the process was started.
        alive: Whether the process runs.
        servers: Service implementations by kind.
        tasks: Tasks of the process; they are cancelled when it is killed.
        next_read_s: Loop time from which its event loop reads what has arrived.
    """

    name: str
    place: Location
    start: int = 0
    alive: bool = False
    servers: dict[str, Any] = field(default_factory=dict)
    tasks: dict[asyncio.Task[Any], None] = field(default_factory=dict)
    next_read_s: float = 0.0


class MemoryNetwork:
    """All processes and the links between them.

    Args:
        source: Random generator for delays and faults.
        conditions: Delays and message faults of links that are not partitioned.
    """

    def __init__(self, source: random.Random, conditions: NetworkConditions) -> None:
        self.random = source
        self.conditions = conditions
        self.endpoints: dict[str, Endpoint] = {}
        self.names: dict[str, str] = {}  # Process names by IP address.
        self._partitions: list[Partition] = []
        self.changed = ChangeSignal()
        self._pipes: dict[Pipe, None] = {}

    # ---- processes --------------------------------------------------------

    def start(self, name: str, place: Location, servers: dict[str, Any]) -> Endpoint:
        """Connect a process to the network, or start it again."""
        endpoint = self.endpoints.setdefault(name, Endpoint(name, place))
        endpoint.start += 1
        endpoint.alive = True
        endpoint.servers = servers
        return endpoint

    def kill(self, name: str) -> None:
        """Disconnect a process: cancel its tasks and break its streams."""
        endpoint = self.endpoints[name]
        endpoint.alive = False
        endpoint.servers = {}
        for task in list(endpoint.tasks):
            task.cancel()
        for pipe in list(self._pipes):
            if name in (pipe.source, pipe.target):
                pipe.break_off()

    def run_at(self, name: str, work: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
        """Run a coroutine as a task of a process, cancelled when the process is killed."""
        endpoint = self.endpoints[name]
        task = asyncio.get_running_loop().create_task(work)
        endpoint.tasks[task] = None
        task.add_done_callback(lambda done: endpoint.tasks.pop(done, None))
        return task

    def alive(self, name: str) -> bool:
        """Return whether a process runs."""
        return name in self.endpoints and self.endpoints[name].alive

    def resolve(self, address: str) -> str:
        """Return the name of the process at an address (IP address or name, and port)."""
        host = address.split(":")[0]
        return self.names.get(host, host)

    async def stall(self, name: str, each_s: float, for_s: float) -> None:
        """Stall the event loop of a process repeatedly.

        Its timers still fire on time, so decisions made on timers are made before the
        process has read what its peers sent.

        Args:
            name: Name of the process.
            each_s: Duration of each stall, in seconds.
            for_s: Total duration of the fault, in seconds.
        """
        endpoint = self.endpoints[name]
        loop = asyncio.get_running_loop()
        until_s = loop.time() + for_s
        await asyncio.sleep(self.random.random() * each_s)  # Avoids stalling all processes at once.
        while loop.time() < until_s:
            endpoint.next_read_s = loop.time() + each_s
            await asyncio.sleep(each_s + _READ_WINDOW_S)

    async def _wait_until_read(self, name: str) -> None:
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return
        loop = asyncio.get_running_loop()
        while (remaining_s := endpoint.next_read_s - loop.time()) > 0:
            await asyncio.sleep(max(remaining_s, _MIN_WAIT_S))

    # ---- links ------------------------------------------------------------

    def cut(self, partition: Partition) -> None:
        """Start a partition."""
        self._partitions.append(partition)

    def heal(self, partition: Partition) -> None:
        """End a partition and deliver the stream messages that it held back."""
        self._partitions.remove(partition)
        for pipe in list(self._pipes):
            pipe.flush()
        self.changed.notify_waiters()

    def open(self, source: str, target: str) -> bool:
        """Return whether no partition stops messages from one process to another."""
        return not any(
            source in partition.sources and target in partition.targets
            for partition in self._partitions
        )

    def delay(self, source: str, target: str) -> float:
        """Return the one-way delay of one message, in seconds, with random jitter."""
        source_location = self.endpoints[source].place
        target_location = self.endpoints[target].place
        if source_location.region != target_location.region:
            base = self.conditions.region_delay_s
        elif source_location.zone != target_location.zone:
            base = self.conditions.zone_delay_s
        else:
            base = _LOCAL_DELAY_S
        return base + self.random.random() * self.conditions.extra_delay_s

    async def transmit(self, source: str, target: str) -> None:
        """Wait as long as one message takes on a connection, with its retransmissions.

        Raises:
            NetworkError: If a partition outlasts the keep-alive timeout.
        """
        await asyncio.sleep(self.delay(source, target))
        while self.random.random() < self.conditions.loss:
            await asyncio.sleep(_RETRANSMIT_INTERVAL_S)
        silent_s = 0.0
        while not self.open(source, target):
            await asyncio.sleep(_RETRANSMIT_INTERVAL_S)
            silent_s += _RETRANSMIT_INTERVAL_S
            if silent_s >= KEEPALIVE_TIMEOUT_S:
                raise NetworkError(f"{source} to {target}: connection timed out")
        await self._wait_until_read(target)

    async def connect(self, source: str, target: str) -> None:
        """Wait for a connection; half of all calls reuse an open one.

        Raises:
            RefusedError: If no connection could be opened, so that nothing was sent.
        """
        if target not in self.endpoints:
            raise RefusedError(f"there is no process named {target}")
        if self.random.random() < _OPEN_CONNECTION_PROBABILITY:
            return
        waited_s = 0.0
        while not (self.open(source, target) and self.open(target, source)):
            await asyncio.sleep(_RETRANSMIT_INTERVAL_S)
            waited_s += _RETRANSMIT_INTERVAL_S
            if waited_s >= _CONNECT_TIMEOUT_S:
                raise RefusedError(
                    f"{source} to {target}: no connection within {_CONNECT_TIMEOUT_S} s"
                )

    async def call(
        self,
        source: str,
        target: str,
        handle: Callable[[Endpoint], Coroutine[Any, Any, Result]],
        timeout_s: float,
        *,
        may_duplicate: bool = True,
    ) -> Result:
        """Make one call; the handler runs twice if the network duplicates the call.

        Args:
            source: Name of the calling process.
            target: Name of the called process.
            handle: Function that takes the target's endpoint and returns the handler's
                coroutine.
            timeout_s: Timeout of the whole call, in seconds.
            may_duplicate: Whether the network may deliver the call twice.

        Raises:
            NetworkError: If no response arrived.
        """
        try:
            async with asyncio.timeout(timeout_s):
                return await self._call(source, target, handle, may_duplicate)
        except TimeoutError as error:
            raise NetworkError(f"{source} to {target}: deadline exceeded") from error

    async def _call(
        self,
        source: str,
        target: str,
        handle: Callable[[Endpoint], Coroutine[Any, Any, Result]],
        may_duplicate: bool,
    ) -> Result:
        if source in self.endpoints and not self.alive(source):
            raise NetworkError(f"{source} is not running and can't send")
        await self.connect(source, target)
        await self.transmit(source, target)
        if not self.alive(target):
            await self.transmit(target, source)
            raise RefusedError(f"{source} to {target}: connection refused")
        endpoint = self.endpoints[target]
        if may_duplicate and self.random.random() < self.conditions.duplicates:
            self.run_at(target, self._run_copy(endpoint, handle))
        work = self.run_at(target, handle(endpoint))
        try:
            result = await self._await_result(source, target, work)
        except asyncio.CancelledError:
            if work.cancelled():
                await self.transmit(target, source)
                raise NetworkError(f"{source} to {target}: connection reset") from None
            raise
        except NetworkError:
            raise
        except Exception as error:
            await self.transmit(target, source)
            raise NetworkError(f"{source} to {target}: {error!r}") from error
        await self.transmit(target, source)
        return result

    async def _await_result(self, source: str, target: str, work: asyncio.Task[Result]) -> Result:
        """Wait for a handler's result as long as keep-alive probes get through."""
        silent_s = 0.0
        while not work.done():
            await asyncio.wait([work], timeout=KEEPALIVE_INTERVAL_S)
            connected = self.open(source, target) and self.open(target, source)
            silent_s = 0.0 if connected else silent_s + KEEPALIVE_INTERVAL_S
            if silent_s >= KEEPALIVE_TIMEOUT_S and not work.done():
                raise NetworkError(
                    f"{source} to {target}: no keep-alive response within {KEEPALIVE_TIMEOUT_S} s"
                )
        return await work

    async def _run_copy(
        self, endpoint: Endpoint, handle: Callable[[Endpoint], Coroutine[Any, Any, Result]]
    ) -> None:
        await asyncio.sleep(self.random.random() * 0.5)
        try:
            await handle(endpoint)
        except Exception:
            return  # The caller only sees the outcome of the other delivery.

    # ---- streams ----------------------------------------------------------

    def pipe(self, source: str, target: str) -> Pipe:
        """Return a new ordered message stream from one process to another."""
        pipe = Pipe(self, source, target)
        self._pipes[pipe] = None
        return pipe

    def remove_pipe(self, pipe: Pipe) -> None:
        """Remove a closed or broken stream."""
        self._pipes.pop(pipe, None)
