"""A fleet of several gateways whose replicas crash under certain requests and restart."""

import asyncio
import time
from collections import Counter
from collections.abc import Coroutine, Mapping
from dataclasses import dataclass, field
from random import Random
from typing import Any

import aiohttp
from control_group import ControlGroup
from platform_stand_ins import (
    HOST,
    KEY,
    SERVICE,
    Received,
    StandInReplica,
    StartedGateway,
    answer,
    configuration,
    route,
    start_gateway,
    stream_head,
)
from replica_calls import tell

PROPAGATION_LIMIT_S = 3.0  # until all connected machines know what one of them knows
RESTART_DELAY_S = 1.2  # from the crash of a replica until it starts again
HEARTBEAT_INTERVAL_S = 0.5
CRASH_DELAY_S = 0.04  # from the arrival of a crashing request until the crash
SERVICE_TIME_S = 0.05
CRASHING_BODY = b"crashes whoever runs this"
_REGISTRATION_TIMEOUT_S = 15.0
# Under load from other tests, an election among two members takes up to 12 s.
_ELECTION_TIMEOUT_S = 40.0
_REGISTRATION_DELAY_S = 0.5  # from the start of a replica until gateways use it
_POLL_INTERVAL_S = 0.02


@dataclass
class CrashRecord:
    """Effects of one crashing request; all times are on the event loop's clock.

    Attributes:
        arrival_times_s: When the request reached replicas.
        crash_times_s: When a replica crashed while running it.
        statuses: Times and statuses of its responses; status 0: the connection broke.
        connected_since_s: Since when all gateways have been connected to control.
    """

    arrival_times_s: list[float] = field(default_factory=list)
    crash_times_s: list[float] = field(default_factory=list)
    statuses: list[tuple[float, int]] = field(default_factory=list)
    connected_since_s: float = 0.0

    @property
    def known_since_s(self) -> float:
        """From when all connected machines must know of the request; inf if never."""
        if len(self.crash_times_s) < 3:
            return float("inf")
        return max(self.crash_times_s[2], self.connected_since_s) + PROPAGATION_LIMIT_S

    @property
    def recovered_at_s(self) -> float:
        """From when all replicas that crashed under the request serve again."""
        return (
            max(self.crash_times_s) + RESTART_DELAY_S + _REGISTRATION_DELAY_S
            if self.crash_times_s
            else 0.0
        )

    @property
    def late_arrivals(self) -> int:
        """Number of arrivals at replicas after all machines must know of the request."""
        return sum(1 for time_s in self.arrival_times_s if time_s > self.known_since_s)


@dataclass(frozen=True)
class OrdinaryRequest:
    """A request that crashes nothing, and its response.

    Attributes:
        sent_s: When it was sent.
        status: Status of the response; 0: the connection broke.
        body: Body of the response.
    """

    sent_s: float
    status: int
    body: bytes


class CrashingReplica:
    """A replica that restarts after each crash.

    Args:
        fleet: The fleet that it belongs to.
        number: Its number in the fleet.
        keeps_id: Whether it restarts under the same id.
    """

    def __init__(self, fleet: "CrashingFleet", number: int, *, keeps_id: bool) -> None:
        self._fleet = fleet
        self._number = number
        self._keeps_id = keeps_id
        self._starts = 0
        self._up = False
        self._crashing: list[bytes] = []  # keys of requests in flight that will crash it
        self._runner: StandInReplica | None = None

    async def start(self) -> None:
        """Start, and send heartbeats until the replica stops."""
        self._starts += 1
        start = 0 if self._keeps_id else self._starts
        runner = StandInReplica(f"replica-{self._number}-{start}", self._serve)
        await runner.start()
        self._runner = runner
        self._up = True
        start_ms = int(time.time() * 1000)
        zone = f"z{1 + self._number % 2}"
        self._fleet.start_task(self._send_heartbeats(runner, start_ms, zone))

    async def _send_heartbeats(self, runner: StandInReplica, start_ms: int, zone: str) -> None:
        sequence = 0
        while self._up and self._runner is runner:
            sequence += 1
            heartbeat = runner.heartbeat(born=start_ms, zone=zone, sequence=sequence)
            status = await self._fleet.tell(f"/api/Replicas.Heartbeat/{runner.identity}", heartbeat)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S if status == 200 else _POLL_INTERVAL_S)

    @property
    def is_up(self) -> bool:
        """Whether the replica runs."""
        return self._up

    async def stop(self) -> None:
        """Stop the replica for good."""
        self._up = False
        if self._runner is not None:
            await self._runner.stop()

    def crash(self) -> None:
        """Stop at once and restart after RESTART_DELAY_S."""
        if not self._up:
            return
        self._up = False
        now_s = asyncio.get_running_loop().time()
        for body in set(self._crashing):
            self._fleet.crashes[body].crash_times_s.append(now_s)
        self._fleet.start_task(self._restart())

    async def _restart(self) -> None:
        assert self._runner is not None
        await self._runner.stop()
        await asyncio.sleep(RESTART_DELAY_S)
        await self.start()

    async def _serve(self, replica: StandInReplica, received: Received) -> bytes:
        key = self._fleet.crash_key(received)
        if key is None:
            await asyncio.sleep(SERVICE_TIME_S * self._fleet.source.uniform(0.5, 2.0))
            return answer(received, body=received.body)
        crashes = self._fleet.crashes[key]
        crashes.arrival_times_s.append(asyncio.get_running_loop().time())
        self._crashing.append(key)
        try:
            await asyncio.sleep(CRASH_DELAY_S)
            self.crash()
        finally:
            self._crashing.remove(key)
        return stream_head(received) if b"head" in received.body else b""


class CrashingFleet:
    """Control, gateways, replicas and callers.

    Args:
        gateways: Number of gateways.
        replicas: Number of replicas.
        members: Number of control members.
        keeps_id: Whether replicas restart under the same id.
        seed: Seed of the callers' random choices.

    Attributes:
        crashes: Effects of each crashing request, by body.
        ordinary_requests: All ordinary requests that have ended.
        aborted_requests: Number of requests in flight at gateways when these were crashed.
        stop_requested: Set to make callers stop.
    """

    def __init__(
        self,
        gateways: int = 3,
        replicas: int = 5,
        members: int = 1,
        *,
        keeps_id: bool = False,
        seed: int = 1,
    ) -> None:
        self.source = Random(seed)
        self.group = ControlGroup(members)
        self.gateways: list[StartedGateway] = []
        self.replicas = [
            CrashingReplica(self, number, keeps_id=keeps_id) for number in range(replicas)
        ]
        self.crashes: dict[bytes, CrashRecord] = {}
        self.ordinary_requests: list[OrdinaryRequest] = []
        self.aborted_requests = 0
        self.stop_requested = False
        self._gateway_count = gateways
        self._tasks: set[asyncio.Task[None]] = set()
        self._request_count = 0
        self._session: aiohttp.ClientSession

    async def start(self) -> None:
        """Start everything."""
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        timeout = aiohttp.ClientTimeout(total=8.0)
        self._session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        await self.group.start()
        routes = [route("/safe/"), route("/order/", kind="unsafe", maxAttempts=1)]
        await self._tell_until_accepted("/api/Config.Replace", configuration(1, *routes))
        for number in range(self._gateway_count):
            self.gateways.append(await self._start_gateway(number))
        for replica in self.replicas:
            await replica.start()
        async with asyncio.timeout(_REGISTRATION_TIMEOUT_S):
            while not all(self._serves(gateway) for gateway in self.gateways):
                await asyncio.sleep(_POLL_INTERVAL_S)

    def _serves(self, gateway: StartedGateway) -> bool:
        role = gateway.daemon.gateway
        return role is not None and len(role.replicas.usable(SERVICE)) == len(self.replicas)

    async def _start_gateway(self, number: int) -> StartedGateway:
        addresses = ",".join(self.group.grpc)
        return await start_gateway(f"front-{number}", addresses, self.group.operators[0])

    async def crash_leader(self) -> None:
        """Crash the leading control member; return when another one leads."""
        leader = self.group.leader
        assert leader is not None
        await self.group.end_member(leader, planned=False)
        async with asyncio.timeout(_ELECTION_TIMEOUT_S):
            while self.group.leader is None:
                await asyncio.sleep(_POLL_INTERVAL_S)
        for crashes in self.crashes.values():
            crashes.connected_since_s = asyncio.get_running_loop().time()

    async def crash_gateway(self, number: int) -> None:
        """Crash a gateway; callers use it again when its successor of the same name is ready."""
        crashed = self.gateways.pop(number)
        assert crashed.daemon.gateway is not None
        self.aborted_requests += crashed.daemon.gateway.server.in_flight
        await crashed.daemon.abort()
        started = await self._start_gateway(number)
        while not started.daemon.ready():
            await asyncio.sleep(_POLL_INTERVAL_S)
        self.gateways.insert(number, started)

    async def stop(self) -> None:
        """Stop everything."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self._session.close()
        for replica in self.replicas:
            await replica.stop()
        for gateway in self.gateways:
            await gateway.daemon.abort()
        await self.group.stop()

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background until it ends or the fleet stops."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def crash_key(self, received: Received) -> bytes | None:
        """Return the key in ``crashes`` of a request that crashes replicas; None for any other."""
        return received.body if received.body.startswith(CRASHING_BODY) else None

    # ---- calls ------------------------------------------------------------

    async def tell(self, path: str, body: object) -> int:
        """Call a random control member; return the status, 503 if there is no response."""
        address = self.group.some_operators_address(self.source)
        return await tell(self._session, address, path, body)

    async def _tell_until_accepted(self, path: str, body: object) -> None:
        async with asyncio.timeout(_REGISTRATION_TIMEOUT_S):
            while await self.tell(path, body) != 200:
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def send(
        self,
        path: str,
        body: bytes,
        gateway: int | None = None,
        more_headers: Mapping[str, str] | None = None,
    ) -> tuple[int, bytes]:
        """Send a caller's request; return status and body, status 0 if the connection broke.

        Args:
            path: Path of the request.
            body: Body of the request.
            gateway: Number of the gateway; None: a random one.
            more_headers: Headers beside those that every request has.
        """
        if gateway is None:
            gateway = self.source.randrange(len(self.gateways))
        self._request_count += 1
        headers = {
            "Host": HOST,
            "Request-Id": f"r-{self._request_count}",
            "Authorization": f"Token {KEY}",
            **(more_headers or {}),
        }
        url = f"http://{self.gateways[gateway].address}{path}"
        try:
            async with self._session.post(url, headers=headers, data=body) as response:
                return response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0, b""

    async def send_crashing(self, body: bytes, path: str = "/safe/") -> int:
        """Send a request that crashes replicas; return the status that its caller got."""
        crashes = self.crashes.setdefault(body, CrashRecord())
        status, _ = await self.send(path, body)
        crashes.statuses.append((asyncio.get_running_loop().time(), status))
        return status

    async def _send_ordinary(self, path: str, body: bytes) -> None:
        sent_s = asyncio.get_running_loop().time()
        status, _ = await self.send(path, body)
        self.ordinary_requests.append(OrdinaryRequest(sent_s, status, body))

    def crash_zone(self, zone: int) -> None:
        """Crash all replicas of a zone at once; they restart later."""
        for number, replica in enumerate(self.replicas):
            if number % 2 == zone:
                replica.crash()

    async def send_ordinary_load(
        self, seconds: float, per_s: float, path: str = "/safe/", body: bytes = b""
    ) -> None:
        """Send ordinary requests at a steady rate.

        Args:
            seconds: Duration, unless a stop is requested earlier.
            per_s: Requests per second.
            path: Path of the requests.
            body: Body of all requests; empty: each has a body of its own.
        """
        end_s = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end_s and not self.stop_requested:
            own = f"ordinary {self._request_count}".encode()
            self.start_task(self._send_ordinary(path, body or own))
            await asyncio.sleep(1.0 / per_s)

    async def repeat_crashing(
        self, body: bytes, seconds: float, gap_s: float = 0.4, path: str = "/safe/"
    ) -> None:
        """Send a crashing request repeatedly, each time to a random gateway.

        Args:
            body: Body of the request.
            seconds: Duration, unless a stop is requested earlier.
            gap_s: Mean time between two requests, in seconds.
            path: Path of the request.
        """
        self.crashes.setdefault(body, CrashRecord())
        end_s = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end_s and not self.stop_requested:
            self.start_task(self._send_crashing_once(body, path))
            await asyncio.sleep(gap_s * self.source.uniform(0.5, 1.5))

    async def _send_crashing_once(self, body: bytes, path: str) -> None:
        await self.send_crashing(body, path)

    def describe_state(self) -> str:
        """Return the state of control, gateways and replicas for the message of a failed check."""
        now_s = asyncio.get_running_loop().time()
        parts = [f"now={now_s:.1f} leader={self.group.leader}"]
        for number, daemon in self.group.running.items():
            if daemon.control is not None:
                node = daemon.control.node
                parts.append(f"core-{number}: term={node.term} leader={node.leader!r}")
        for number, gateway in enumerate(self.gateways):
            role = gateway.daemon.gateway
            if role is not None:
                silent_s = now_s - role.link.last_heard_s
                usable = len(role.replicas.usable(SERVICE))
                parts.append(f"front-{number}: control_silent_s={silent_s:.1f} usable={usable}")
        parts.append(f"replicas up={sum(replica.is_up for replica in self.replicas)}")
        return "; ".join(parts)

    def statuses_since(self, since_s: float) -> Counter[int]:
        """Return the statuses of the ordinary requests sent since a given time."""
        return Counter(
            request.status for request in self.ordinary_requests if request.sent_s >= since_s
        )
