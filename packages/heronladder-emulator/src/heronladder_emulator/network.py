"""A network in memory between simulated processes, with faults.

Processes are named; each has a place. Links may be cut one way or both, slow,
lossy, and deliver calls twice or out of order. Streams are ordered as TCP's
are: a cut holds their parts back, and breaks them when it lasts.
"""

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeVar

from heronladder_runtime.pulse import Pulse

from heronladder_emulator.network_errors import NetworkError, RefusedError
from heronladder_emulator.pipe import KEEPALIVE_INTERVAL_S, KEEPALIVE_TIMEOUT_S, Pipe

Result = TypeVar("Result")

_RESEND_S = 0.2
_CONNECT_S = 1.0
_OPEN_SHARE = 0.5
_LOCAL_DELAY_S = 0.0001
_LEAST_WAIT_S = 1e-6  # a shorter one is no wait on a virtual clock
_TURN_S = 0.005  # in which a process whose loop is late reads what has arrived


@dataclass
class Location:
    """Where a process stands.

    Attributes:
        zone: Its zone.
        region: Its region.
    """

    zone: str
    region: str


@dataclass
class Partition:
    """A cut of the links from some processes to others.

    Attributes:
        sources: Names of the processes whose messages are lost.
        targets: Names of the processes they are lost on the way to.
    """

    sources: frozenset[str]
    targets: frozenset[str]


@dataclass
class NetworkConditions:
    """How the network behaves where it is not cut.

    Attributes:
        zone_delay_s: One-way delay between zones.
        region_delay_s: One-way delay between regions.
        extra_delay_s: Largest further delay of a message, drawn evenly.
        loss: Share of calls that are lost on the way.
        duplicates: Share of calls that are delivered twice.
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
        name: Its name.
        place: Where it stands.
        start: Counts its starts; messages to an earlier one are lost.
        alive: Whether it runs.
        servers: What it serves, by kind.
        tasks: Work it does for others.
        reads_from_s: When its event loop comes to what has arrived.
    """

    name: str
    place: Location
    start: int = 0
    alive: bool = False
    servers: dict[str, Any] = field(default_factory=dict)
    tasks: dict[asyncio.Task[Any], None] = field(default_factory=dict)
    reads_from_s: float = 0.0


class MemoryNetwork:
    """All links.

    Args:
        source: Source of random choices.
        weather: How it behaves where it is not cut.
    """

    def __init__(self, source: random.Random, conditions: NetworkConditions) -> None:
        self.random = source
        self.conditions = conditions
        self.endpoints: dict[str, Endpoint] = {}
        self.names: dict[str, str] = {}  # process by IP number
        self._cuts: list[Partition] = []
        self.changed = Pulse()
        self._pipes: dict[Pipe, None] = {}

    # ---- processes --------------------------------------------------------

    def start(self, name: str, place: Location, servers: dict[str, Any]) -> Endpoint:
        """Put a process on the network, or a new start of one."""
        endpoint = self.endpoints.setdefault(name, Endpoint(name, place))
        endpoint.start += 1
        endpoint.alive = True
        endpoint.servers = servers
        return endpoint

    def kill(self, name: str) -> None:
        """Take a process off the network: its work ends, its streams break."""
        endpoint = self.endpoints[name]
        endpoint.alive = False
        endpoint.servers = {}
        for task in list(endpoint.tasks):
            task.cancel()
        for pipe in list(self._pipes):
            if name in (pipe.source, pipe.target):
                pipe.break_off()

    def run_at(self, name: str, work: Coroutine[Any, Any, Result]) -> asyncio.Task[Result]:
        """Run work of a process that ends when the process is killed."""
        endpoint = self.endpoints[name]
        task = asyncio.get_running_loop().create_task(work)
        endpoint.tasks[task] = None
        task.add_done_callback(lambda done: endpoint.tasks.pop(done, None))
        return task

    def alive(self, name: str) -> bool:
        """Whether a process runs."""
        return name in self.endpoints and self.endpoints[name].alive

    def resolve(self, address: str) -> str:
        """Return the name of the process at an address (IP or name, then port)."""
        host = address.split(":")[0]
        return self.names.get(host, host)

    async def stall(self, name: str, each_s: float, for_s: float) -> None:
        """Have a process's event loop run late, again and again.

        Its timers fire in time: what it decides by them, it decides before it has read what
        its peers sent.

        Args:
            name: The process.
            each_s: How long each of its turns takes, in seconds.
            for_s: For how long this goes on, in seconds.
        """
        endpoint = self.endpoints[name]
        loop = asyncio.get_running_loop()
        until_s = loop.time() + for_s
        await asyncio.sleep(self.random.random() * each_s)  # not all processes at once
        while loop.time() < until_s:
            endpoint.reads_from_s = loop.time() + each_s
            await asyncio.sleep(each_s + _TURN_S)

    async def _wait_until_read(self, name: str) -> None:
        endpoint = self.endpoints.get(name)
        if endpoint is None:
            return
        loop = asyncio.get_running_loop()
        while (left_s := endpoint.reads_from_s - loop.time()) > 0:
            await asyncio.sleep(max(left_s, _LEAST_WAIT_S))

    # ---- links ------------------------------------------------------------

    def cut(self, cut: Partition) -> None:
        """Cut links."""
        self._cuts.append(cut)

    def heal(self, cut: Partition) -> None:
        """End a cut."""
        self._cuts.remove(cut)
        for pipe in list(self._pipes):
            pipe.flush()
        self.changed.give()

    def open(self, source: str, target: str) -> bool:
        """Whether messages get from one process to another."""
        return not any(source in cut.sources and target in cut.targets for cut in self._cuts)

    def delay(self, source: str, target: str) -> float:
        """Return the delay of one message, in seconds."""
        from_place = self.endpoints[source].place
        to_place = self.endpoints[target].place
        if from_place.region != to_place.region:
            base = self.conditions.region_delay_s
        elif from_place.zone != to_place.zone:
            base = self.conditions.zone_delay_s
        else:
            base = _LOCAL_DELAY_S
        return base + self.random.random() * self.conditions.extra_delay_s

    async def transmit(self, source: str, target: str) -> None:
        """Take the time of one message on a connection, which sends lost ones again.

        Raises:
            NetworkError: If the link stays cut for so long that the connection breaks.
        """
        await asyncio.sleep(self.delay(source, target))
        while self.random.random() < self.conditions.loss:
            await asyncio.sleep(_RESEND_S)
        silent_s = 0.0
        while not self.open(source, target):
            await asyncio.sleep(_RESEND_S)
            silent_s += _RESEND_S
            if silent_s >= KEEPALIVE_TIMEOUT_S:
                raise NetworkError(f"{source} to {target}: connection timed out")
        await self._wait_until_read(target)

    async def connect(self, source: str, target: str) -> None:
        """Take the time of opening a connection; half of all calls find one open.

        Raises:
            RefusedError: If none could be opened, so that nothing was sent.
        """
        if target not in self.endpoints:
            raise RefusedError(f"there is no {target}")
        if self.random.random() < _OPEN_SHARE:
            return
        waited_s = 0.0
        while not (self.open(source, target) and self.open(target, source)):
            await asyncio.sleep(_RESEND_S)
            waited_s += _RESEND_S
            if waited_s >= _CONNECT_S:
                raise RefusedError(f"{source} to {target}: no connection")

    async def call(
        self,
        source: str,
        target: str,
        handle: Callable[[Endpoint], Coroutine[Any, Any, Result]],
        timeout_s: float,
        *,
        may_duplicate: bool = True,
    ) -> Result:
        """Make one call; the target's handler runs once, or twice if duplicated.

        Args:
            source: Name of the calling process.
            target: Name of the process that is called.
            handle: Given the target, returns the handler's coroutine.
            timeout_s: Time for the whole call, in seconds.
            may_duplicate: Whether the network may deliver it twice.

        Raises:
            NetworkError: If no answer came.
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
            raise NetworkError(f"{source} is dead and sends nothing")
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
        """Wait for a handler, while the connection's keep-alive probes get through."""
        silent_s = 0.0
        while not work.done():
            await asyncio.wait([work], timeout=KEEPALIVE_INTERVAL_S)
            both = self.open(source, target) and self.open(target, source)
            silent_s = 0.0 if both else silent_s + KEEPALIVE_INTERVAL_S
            if silent_s >= KEEPALIVE_TIMEOUT_S and not work.done():
                raise NetworkError(f"{source} to {target}: no keep-alive")
        return await work

    async def _run_copy(
        self, endpoint: Endpoint, handle: Callable[[Endpoint], Coroutine[Any, Any, Result]]
    ) -> None:
        await asyncio.sleep(self.random.random() * 0.5)
        try:
            await handle(endpoint)
        except Exception:
            return  # nobody hears of it

    # ---- streams ----------------------------------------------------------

    def pipe(self, source: str, target: str) -> Pipe:
        """Return a new ordered stream of parts from one process to another."""
        pipe = Pipe(self, source, target)
        self._pipes[pipe] = None
        return pipe

    def forget(self, pipe: Pipe) -> None:
        """Forget a stream that is over."""
        self._pipes.pop(pipe, None)
