"""Three control members, gateways behind links of their own, replicas of two versions, callers."""

import asyncio
import json
from collections import Counter
from collections.abc import Callable
from contextlib import AsyncExitStack
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
    start_gateway,
)
from shaped_link import ShapedLink

OLD, NEW = "v1", "v2"
_CALL_PATIENCE_S = 6.0
_WORK_S = 0.02
_LOOK_S = 0.02
Badness = Callable[[Random, Received], tuple[bool, float]]  # whether it fails, seconds it takes


def sound(source: Random, received: Received) -> tuple[bool, float]:
    """Answer as the old version does."""
    return False, _WORK_S * source.uniform(0.8, 1.4)


def failing(share: float) -> Badness:
    """Return a version that fails a share of its answers."""
    return lambda source, received: (source.random() < share, _WORK_S)


def slow(times: float) -> Badness:
    """Return a version that is so many times slower."""
    return lambda source, received: (False, _WORK_S * times * source.uniform(0.8, 1.4))


class RolloutFleet:
    """A fleet under load in which a version is rolled out.

    Args:
        gateways: How many.
        seed: Draws what replicas and callers do.

    Attributes:
        arrived: Requests at each version since the order.
        arrived_s: When each request came to the new version, by gateway.
        at_old: Requests under way at old replicas.
        statuses: What callers got.
        calm: Whether callers are to stop.
        old_work_s: Time that the old version takes for an answer.
    """

    def __init__(self, gateways: int, seed: int = 1) -> None:
        self.group = ControlGroup(3, has_rollouts=True)
        self.gateways: list[StartedGateway] = []
        self.links: list[ShapedLink] = []
        self.replicas: list[StandInReplica] = []
        self.arrived: Counter[str] = Counter()
        self.arrived_s: list[tuple[float, str]] = []
        self.at_old = 0
        self.at_old_when_completed = -1
        self.statuses: Counter[int] = Counter()
        self.badness: Badness = sound
        self.calm = False
        self.old_work_s = _WORK_S
        self._source = Random(seed)
        self._gateway_count = gateways
        self._ends = AsyncExitStack()
        self._asked = 0
        self.session: aiohttp.ClientSession

    # ---- life -------------------------------------------------------------

    async def start(self) -> None:
        """Start everything; the old version is in use."""
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        timeout = aiohttp.ClientTimeout(total=_CALL_PATIENCE_S)
        self.session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        self._ends.push_async_callback(self.session.close)
        self._ends.push_async_callback(self.group.stop)
        await self.group.start()
        await self.told("/api/Config.Replace", configuration(1))
        for number in range(self._gateway_count):
            link = ShapedLink(self.group.grpc)
            await link.start()
            self._ends.push_async_callback(link.stop)
            self.links.append(link)
            addresses = ",".join(self.group.grpc)
            gateway = await start_gateway(
                f"front-{number}", addresses, self.group.operators[0], link
            )
            self._ends.push_async_callback(gateway.daemon.abort)
            self.gateways.append(gateway)
        for number in range(4):
            await self.add_replica(f"old-{number}", OLD)

    async def stop(self) -> None:
        """Stop everything."""
        self.calm = True  # else gateways wait for callers
        await asyncio.sleep(_LOOK_S)
        await self._ends.aclose()

    async def add_replica(self, identity: str, version: str) -> None:
        """Start a replica, and wait until all gateways know it."""

        async def script(replica: StandInReplica, received: Received) -> bytes:
            return await self._serve(version, received)

        replica = StandInReplica(identity, script)
        await replica.start()
        self._ends.push_async_callback(replica.stop)
        self.replicas.append(replica)
        await self.told(f"/api/Replicas.Heartbeat/{identity}", replica.heartbeat(version=version))
        async with asyncio.timeout(15):
            while not all(gateway.knows(identity) for gateway in self.gateways):
                await asyncio.sleep(_LOOK_S)

    async def _serve(self, version: str, received: Received) -> bytes:
        self.arrived[version] += 1
        if version == OLD:
            self.at_old += 1
            try:
                await asyncio.sleep(self.old_work_s * self._source.uniform(0.8, 1.4))
            finally:
                self.at_old -= 1
            return answer(received)
        name = received.headers["request-id"].partition("/")[0]
        self.arrived_s.append((asyncio.get_running_loop().time(), name))
        fails, took_s = self.badness(self._source, received)
        await asyncio.sleep(took_s)
        return answer(received, "500 Internal Server Error") if fails else answer(received)

    # ---- calls ------------------------------------------------------------

    async def told(self, path: str, body: Any) -> None:
        """Make a call until it is answered 200."""
        async with asyncio.timeout(15):
            while await self.tell(path, body) != 200:
                await asyncio.sleep(_LOOK_S)

    async def tell(self, path: str, body: Any, member: int | None = None) -> int:
        """Make a call at a member; return its status, 503 if there is no answer."""
        address = self.group.some_operators_address(self._source)
        if member is not None:
            address = self.group.operators[member]
        data = json.dumps(body).encode()
        try:
            async with self.session.post(f"http://{address}{path}", data=data) as got:
                return got.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 503

    async def order(self, within_s: float, target: str = NEW, member: int | None = None) -> int:
        """Order the move to a version."""
        body = {"service": SERVICE, "targetVersion": target, "durationS": within_s}
        return await self.tell("/api/Rollouts.Start", body, member)

    async def state(self) -> str:
        """Return the state that operators are told, or the status if there is none."""
        address = self.group.some_operators_address(self._source)
        url = f"http://{address}/api/Rollouts.Describe/{SERVICE}"
        try:
            async with self.session.get(url) as got:
                if got.status != 200:
                    return str(got.status)
                document: dict[str, str] = json.loads(await got.read())
                return document["state"]
        except (aiohttp.ClientError, TimeoutError, OSError):
            return "503"

    async def ended(self, within_s: float) -> str:
        """Wait until the roll-out has ended; note what ran at old replicas at that moment."""
        async with asyncio.timeout(within_s):
            while (state := await self.state()) not in ("completed", "rolled_back"):
                await asyncio.sleep(_LOOK_S)
        self.at_old_when_completed = self.at_old
        return state

    async def load(self, per_s: float, seconds: float, gateways: list[int] | None = None) -> None:
        """Have callers ask evenly, until the time is over or ``calm`` is set."""
        chosen = gateways if gateways is not None else list(range(len(self.gateways)))
        calls: set[asyncio.Task[None]] = set()
        end_s = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end_s and not self.calm:
            call = asyncio.create_task(self._ask(self._source.choice(chosen)))
            calls.add(call)
            call.add_done_callback(calls.discard)
            await asyncio.sleep(1.0 / per_s)
        await asyncio.gather(*calls)

    async def _ask(self, number: int) -> None:
        self._asked += 1
        gateway = self.gateways[number]
        headers = {
            "Host": HOST,
            "Request-Id": f"front-{number}/{self._asked}",
            "Authorization": f"Token {KEY}",
        }
        url = f"http://{gateway.address}/safe/"
        try:
            async with self.session.post(url, headers=headers, data=b"") as got:
                await got.read()
                self.statuses[got.status] += 1
        except (aiohttp.ClientError, TimeoutError, OSError):
            self.statuses[0] += 1

    @property
    def exposed(self) -> int:
        """Requests that the new version got."""
        return self.arrived[NEW]

    @property
    def bound(self) -> float:
        """Requests that a bad version may have got by now."""
        return 0.1 * sum(self.statuses.values()) + 50
