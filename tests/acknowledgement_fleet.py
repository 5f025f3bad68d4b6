"""A fleet whose gateways each have a link to control, watched from outside."""

import asyncio
import json
import math
from contextlib import AsyncExitStack
from io import BytesIO
from random import Random
from typing import Any

import aiohttp
from acknowledgement_book import WHOLE_S, AcknowledgementBook, Asked, Figures
from control_group import ControlGroup
from platform_stand_ins import (
    HOST,
    SERVICE,
    Received,
    StandInReplica,
    StartedGateway,
    answer,
    start_gateway,
)
from shaped_link import ShapedLink

SERVICES = (SERVICE, "other")
FAIR_BYTES_PER_S = 16_000.0  # a gateway behind less than this may be out of touch (chosen)
NO_ANSWER = "0"  # the connection broke, or none came about
_CALL_PATIENCE_S = 6.0
_LOOK_S = 0.05
_STALL_S = 0.4  # by which the whole process was late: no gateway is bound for a while


class ObservedGateway:
    """A gateway behind its own link.

    Args:
        name: The gateway.
        link: Leads to all members of control.

    Attributes:
        fair_since_s: From when on its link has been whole, or slow at most, and it has run.
    """

    def __init__(self, name: str, link: ShapedLink) -> None:
        self.name = name
        self.link = link
        self.fair_since_s = math.inf
        self._started: StartedGateway | None = None

    @property
    def address(self) -> str:
        """Where callers reach it; empty while it does not run."""
        return self._started.address if self._started is not None else ""

    async def start(self, group: ControlGroup) -> None:
        """Start it anew."""
        addresses = ",".join(group.grpc)
        self._started = await start_gateway(self.name, addresses, group.operators[0], self.link)
        self.fair_since_s = _now_s()

    async def abort(self) -> None:
        """End it at once."""
        self.fair_since_s = math.inf
        started, self._started = self._started, None
        if started is not None:
            await started.daemon.abort()

    def make_thin(self, bytes_per_s: float) -> None:
        """Limit what comes from control."""
        if bytes_per_s < FAIR_BYTES_PER_S:
            self.fair_since_s = math.inf
        self.link.back.bytes_per_s = bytes_per_s

    def silence(self, *, there: bool = False, back: bool = False) -> None:
        """Let nothing through one way or both."""
        self.fair_since_s = math.inf
        for stopped, direction in ((there, self.link.there), (back, self.link.back)):
            if stopped:
                direction.stop()

    def make_whole(self) -> None:
        """Let everything through."""
        for direction in (self.link.there, self.link.back):
            direction.bytes_per_s = math.inf
            direction.resume_traffic()
        if math.isinf(self.fair_since_s):
            self.fair_since_s = _now_s()


class ObservedFleet:
    """Control, gateways, replicas, and calls to all of them.

    Args:
        members: Of control.
        gateways: How many.
        figures: Where it counts.
        source: Chooses the members that are asked.
    """

    def __init__(self, members: int, gateways: int, figures: Figures, source: Random) -> None:
        self.group = ControlGroup(members)
        self.gateways: list[ObservedGateway] = []
        self.book = AcknowledgementBook(figures)
        self._figures = figures
        self._source = source
        self._gateway_count = gateways
        self._quorum_since_s = math.inf
        self._calm_since_s = -math.inf
        self._asked = 0
        self._ends = AsyncExitStack()
        self._session: aiohttp.ClientSession

    # ---- life -------------------------------------------------------------

    async def start(self) -> None:
        """Start control, and prepare the links."""
        timeout = aiohttp.ClientTimeout(total=_CALL_PATIENCE_S)
        connector = aiohttp.TCPConnector(force_close=True, limit=0)
        self._session = aiohttp.ClientSession(connector=connector, timeout=timeout)
        self._ends.push_async_callback(self._session.close)
        self._ends.push_async_callback(self.group.stop)
        await self.group.start()
        self.note_quorum()
        for number in range(self._gateway_count):
            link = ShapedLink(self.group.grpc)
            await link.start()
            self._ends.push_async_callback(link.stop)
            self.gateways.append(ObservedGateway(f"front-{number}", link))
        stalls = asyncio.create_task(self._watch_stalls())
        self._ends.callback(stalls.cancel)

    async def start_gateways(self) -> None:
        """Start all gateways."""
        for gateway in self.gateways:
            self._ends.push_async_callback(gateway.abort)
            await gateway.start(self.group)

    async def stop(self) -> None:
        """Stop everything."""
        await self._ends.aclose()

    async def add_replica(self, identity: str, service: str) -> StandInReplica:
        """Start a replica, which is not registered yet."""

        async def script(replica: StandInReplica, received: Received) -> bytes:
            self._arrived(identity, received)
            return answer(received, body=service.encode())

        replica = StandInReplica(identity, script)
        await replica.start()
        self._ends.push_async_callback(replica.stop)
        return replica

    # ---- who is bound -----------------------------------------------------

    def note_quorum(self) -> None:
        """Note that a member was started or ended."""
        if not self.group.has_quorum:
            self._quorum_since_s = math.inf
        elif math.isinf(self._quorum_since_s):
            self._quorum_since_s = _now_s()

    def is_bound(self, gateway: ObservedGateway, from_s: float) -> bool:
        """Whether acknowledgements have bound a gateway since then, and do."""
        since_s = max(gateway.fair_since_s, self._quorum_since_s)
        if from_s - since_s < WHOLE_S:
            return False
        if from_s - self._calm_since_s < WHOLE_S:
            self._figures.counted["excused"] += 1
            return False
        return True

    async def _watch_stalls(self) -> None:
        while True:
            began_s = _now_s()
            await asyncio.sleep(_LOOK_S)
            if _now_s() - began_s > _LOOK_S + _STALL_S:
                self._calm_since_s = _now_s()
                self._figures.counted["stalls"] += 1

    def _arrived(self, replica: str, received: Received) -> None:
        name = received.headers["request-id"].partition("/")[0]
        gateway = next(gateway for gateway in self.gateways if gateway.name == name)
        now_s = _now_s()
        if self.is_bound(gateway, now_s):
            self.book.judge_arrival(replica, name, now_s)

    # ---- calls ------------------------------------------------------------

    async def ask(self, gateway: ObservedGateway, path: str, key: str) -> str:
        """Make a caller's request, and judge its outcome."""
        self._asked += 1
        sent_s = _now_s()
        headers = {
            "Host": HOST,
            "Request-Id": f"{gateway.name}/{self._asked}",
            "Authorization": f"Token {key}",
        }
        outcome = await self._outcome(f"http://{gateway.address}{path}", headers)
        asked = Asked(gateway.name, path, key, sent_s, _now_s(), outcome)
        self._figures.counted["requests"] += 1
        self._figures.counted[f"outcome {outcome}"] += 1
        if self.is_bound(gateway, sent_s):
            self.book.judge(asked)
        self.book.judge_unbound(asked)
        return outcome

    async def _outcome(self, url: str, headers: dict[str, str]) -> str:
        try:
            async with self._session.post(url, headers=headers, data=b"") as got:
                body = (await got.read()).decode()
                return body if got.status == 200 else str(got.status)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return NO_ANSWER

    async def tell(self, path: str, body: bytes) -> int:
        """Make a call of an operator or of a replica; return the status, or 503 if unclear."""
        address = self.group.some_operators_address(self._source)
        try:
            # As a file: over a megabyte aiohttp warns of plain bytes.
            async with self._session.post(f"http://{address}{path}", data=BytesIO(body)) as got:
                await got.read()
                return got.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 503

    async def read(self) -> dict[str, Any] | None:
        """Return the configuration as an operator reads it; None if that fails."""
        address = self.group.some_operators_address(self._source)
        try:
            async with self._session.get(f"http://{address}/api/Config.Describe") as got:
                document = await got.read()
                return json.loads(document) if got.status == 200 else None
        except (aiohttp.ClientError, TimeoutError, OSError):
            return None


def _now_s() -> float:
    return asyncio.get_running_loop().time()
