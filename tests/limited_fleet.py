"""A fleet over loopback with rate-limited replicas, and a book that judges what they got in sum."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from called_fleet import GATEWAY_HEADER, CalledFleet
from fleet_case import FleetCase
from platform_stand_ins import (
    END_OF_CHUNKS,
    Answer,
    Fleet,
    Received,
    StandInReplica,
    answer,
    configuration,
    event,
    route,
    start_fleet,
    stream_head,
)

WINDOW_S = 4.0
CONTACT_S = 3.0  # from when a replica first names its limit until the sum is judged
_TOLD_S = 0.5  # from when a gateway passed such an answer on until its sends count
_OVER, _SLACK = 1.5, 5
_SHARED_S = 1.0  # from when a replica first names its limit until all gateways are bound
_LIMIT_HEADER = "Server-Limit"
_REPLICA_HEADER = "X-Replica"


def allowed(limit_per_s: float) -> float:
    """Return what a replica may get in any four seconds."""
    return _OVER * limit_per_s * WINDOW_S + _SLACK


def _most(moments_s: list[float], from_s: float) -> int:
    """Return the most moments in any four seconds that end after ``from_s``."""
    return max(
        (
            sum(1 for at_s in moments_s if end_s - WINDOW_S < at_s <= end_s)
            for end_s in moments_s
            if end_s >= from_s
        ),
        default=0,
    )


@dataclass
class RateLimitedReplica:
    """A replica that names a limit, and when it got what from whom."""

    identity: str
    limit: str | None = None  # as it stands in its answers
    refuses: bool = False  # whether it turns all away unrun
    work_s: float = 0.02
    first_named_s: float | None = None
    arrivals: list[tuple[float, str]] = field(default_factory=list)

    async def script(self, _replica: StandInReplica, received: Received) -> bytes:
        """Answer one request."""
        now_s = asyncio.get_running_loop().time()
        self.arrivals.append((now_s, received.headers[GATEWAY_HEADER.lower()]))
        await asyncio.sleep(self.work_s)
        named = {_REPLICA_HEADER: self.identity}
        if self.limit is not None:
            named[_LIMIT_HEADER] = self.limit
            self.first_named_s = self.first_named_s or asyncio.get_running_loop().time()
        if self.refuses:
            return answer(received, "503 Service Unavailable", Not_Executed="1", **named)
        if received.target.startswith("/stream/"):
            return stream_head(received, **named) + event(1) + END_OF_CHUNKS
        return answer(received, **named)


class LimitedFleet(CalledFleet):
    """Gateways, replicas of one service, and callers.

    Args:
        fleet: The daemons.
        replicas: The replicas, rate-limited or not.
    """

    def __init__(self, fleet: Fleet, replicas: list[RateLimitedReplica]) -> None:
        super().__init__(fleet)
        self.replicas = replicas
        self.reported_s: dict[tuple[str, str], float] = {}  # gateway, replica: first passed on

    def on_response(self, gateway: str, got: Answer) -> None:
        """Note when a gateway first passed a limit on."""
        if _LIMIT_HEADER in got.headers:
            now_s = asyncio.get_running_loop().time()
            self.reported_s.setdefault((gateway, got.headers[_REPLICA_HEADER]), now_s)

    def most_of_told(self, replica: RateLimitedReplica) -> int:
        """Return the most in four seconds that gateways sent that had passed its report on."""
        assert replica.first_named_s is not None, "it never named a limit"
        told = {
            gateway: reported_s + _TOLD_S
            for (gateway, name), reported_s in self.reported_s.items()
            if name == replica.identity
        }
        counted = [at_s for at_s, by in replica.arrivals if at_s >= told.get(by, float("inf"))]
        return _most(counted, replica.first_named_s + CONTACT_S)

    def most_of_all(self, replica: RateLimitedReplica) -> int:
        """Return the most in four seconds that all sent once its report could have come round."""
        assert replica.first_named_s is not None, "it never named a limit"
        from_s = replica.first_named_s + _SHARED_S
        return _most([at_s for at_s, _ in replica.arrivals if at_s >= from_s], from_s)

    def sent_since(self, replica: RateLimitedReplica, since_s: float) -> int:
        """Return what a replica got since a moment, from all gateways."""
        return sum(1 for at_s, _ in replica.arrivals if at_s >= since_s)


async def start_limited(
    gateways: int, replicas: int, cleanup: Callable[[Callable[[], Awaitable[None]]], None]
) -> LimitedFleet:
    """Start gateways, and replicas that are not rate-limited yet.

    Args:
        gateways: How many.
        replicas: How many.
        cleanup: Registers what ends them.
    """
    routes = [route("/safe/"), route("/stream/", kind="streaming", resumable=True, gapAimMs=400)]
    fleet = await start_fleet(configuration(1, *routes))
    cleanup(fleet.stop)
    for number in range(1, gateways):
        await fleet.add_gateway(f"front-{number + 1}")
    bounded = [RateLimitedReplica(f"r{number}") for number in range(replicas)]
    for replica in bounded:
        await fleet.add_replica(replica.identity, replica.script)
    return LimitedFleet(fleet, bounded)


class LimitedFleetCase(FleetCase):
    """A test of such a fleet."""

    async def start(self, gateways: int, replicas: int) -> LimitedFleet:
        return await start_limited(gateways, replicas, self.addAsyncCleanup)

    def assert_within(self, limited: LimitedFleet) -> None:
        for replica in limited.replicas:
            if replica.limit is not None:
                most_allowed = allowed(float(replica.limit))
                self.assertLessEqual(limited.most_of_told(replica), most_allowed, replica.identity)
                self.assertLessEqual(limited.most_of_all(replica), most_allowed, replica.identity)
