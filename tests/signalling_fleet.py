"""A fleet over loopback whose replicas ask for back-off or leave, and a book that judges it."""

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

MOST_WHILE_BACKED_OFF = 2
DRAIN_S = 2.0
_UNDER_WAY_S = 0.5  # from a refusal on, sends that were under way do not count
_LEAVING_HEADER = "Server-Leaving"
_REPLICA_HEADER = "X-Replica"


@dataclass(frozen=True)
class Arrival:
    """A request as it reached a replica."""

    at_s: float
    gateway: str
    request_id: str


@dataclass(frozen=True)
class BackOffAsked:
    """A refusal that asked a gateway for back-off."""

    at_s: float
    gateway: str
    for_s: float


@dataclass
class SignallingReplica:
    """A replica that turns requests away and asks for back-off, or says that it leaves.

    Attributes:
        identity: Its id.
        retry_after: What its refusals ask for; "": they ask for nothing; None: it refuses
            nothing.
        served_of_ten: How many of ten requests it serves all the same.
        leaving: Whether its answers say that it leaves.
        work_s: Time that it takes for an answer.
    """

    identity: str
    retry_after: str | None = None
    served_of_ten: int = 0
    leaving: bool = False
    work_s: float = 0.02
    arrivals: list[Arrival] = field(default_factory=list)
    asked: list[BackOffAsked] = field(default_factory=list)

    async def script(self, _replica: StandInReplica, received: Received) -> bytes:
        """Answer one request."""
        loop = asyncio.get_running_loop()
        gateway = received.headers[GATEWAY_HEADER.lower()]
        self.arrivals.append(Arrival(loop.time(), gateway, received.headers["request-id"]))
        await asyncio.sleep(self.work_s)
        named = {_REPLICA_HEADER: self.identity}
        if self.leaving:
            named[_LEAVING_HEADER] = "1"
        if self.retry_after is not None and len(self.arrivals) % 10 >= self.served_of_ten:
            named["Not_Executed"] = "1"
            if self.retry_after:
                self.asked.append(BackOffAsked(loop.time(), gateway, float(self.retry_after)))
                named["Retry_After"] = self.retry_after
            return answer(received, "503 Service Unavailable", **named)
        if received.target.startswith("/stream/"):
            return stream_head(received, **named) + event(1) + END_OF_CHUNKS
        return answer(received, **named)

    def most_while_backed_off(self) -> int:
        """Return the most requests that a gateway sent in one of the times it was asked for."""
        return max((self._sent_in(asked) for asked in self.asked), default=0)

    def _sent_in(self, asked: BackOffAsked) -> int:
        from_s, until_s = asked.at_s + _UNDER_WAY_S, asked.at_s + asked.for_s
        return sum(
            1
            for arrival in self.arrivals
            if arrival.gateway == asked.gateway and from_s < arrival.at_s < until_s
        )


class SignallingFleet(CalledFleet):
    """Gateways, replicas of one service, and callers.

    Args:
        fleet: The daemons.
        replicas: The replicas.
    """

    def __init__(self, fleet: Fleet, replicas: list[SignallingReplica]) -> None:
        super().__init__(fleet)
        self.replicas = replicas
        self.leaving_s: dict[tuple[str, str], float] = {}  # gateway, replica: first passed on
        self.returns_s: list[tuple[str, float, float]] = []  # gateway, told when, to return when

    def on_response(self, gateway: str, got: Answer) -> None:
        """Note when a gateway passed on that a replica leaves, and when callers are to return."""
        now_s = asyncio.get_running_loop().time()
        if "Retry-After" in got.headers:
            self.returns_s.append((gateway, now_s, now_s + float(got.headers["Retry-After"])))
        if _LEAVING_HEADER in got.headers:
            self.leaving_s.setdefault((gateway, got.headers[_REPLICA_HEADER]), now_s)

    def sent_to_leaving(self, replica: SignallingReplica) -> int:
        """Return the requests sent to a replica that were made too late for that."""
        return sum(
            1
            for arrival in replica.arrivals
            if self.send_times_s[arrival.request_id]
            > self.leaving_s.get((arrival.gateway, replica.identity), float("inf")) + DRAIN_S
        )

    def told_too_early(self) -> int:
        """Return how many callers were told to return before a replica takes requests again."""
        return sum(
            1
            for gateway, told_s, return_s in self.returns_s
            if return_s < min(self._end_s(replica, gateway, told_s) for replica in self.replicas)
        )

    @staticmethod
    def _end_s(replica: SignallingReplica, gateway: str, by_s: float) -> float:
        """Return the end of what a replica had asked a gateway for by then."""
        return max(
            (
                asked.at_s + asked.for_s
                for asked in replica.asked
                if asked.gateway == gateway and asked.at_s < by_s
            ),
            default=float("-inf"),
        )

    def sent_to_left(self, replica: SignallingReplica) -> int:
        """Return the requests made too late after any gateway passed on that a replica leaves."""
        first_s = min(
            at_s for (_, name), at_s in self.leaving_s.items() if name == replica.identity
        )
        made_s = (self.send_times_s[arrival.request_id] for arrival in replica.arrivals)
        return sum(1 for at_s in made_s if at_s > first_s + DRAIN_S)


async def start_signalling(
    gateways: int, replicas: int, cleanup: Callable[[Callable[[], Awaitable[None]]], None]
) -> SignallingFleet:
    """Start gateways, and replicas that signal nothing yet.

    Args:
        gateways: How many.
        replicas: How many.
        cleanup: Registers what ends them.
    """
    routes = [
        route("/safe/"),
        route("/unsafe/", kind="unsafe"),
        route("/stream/", kind="streaming", resumable=True, gapAimMs=400),
    ]
    fleet = await start_fleet(configuration(1, *routes))
    cleanup(fleet.stop)
    for number in range(1, gateways):
        await fleet.add_gateway(f"front-{number + 1}")
    signalling = [SignallingReplica(f"r{number}") for number in range(replicas)]
    for replica in signalling:
        await fleet.add_replica(replica.identity, replica.script)
    return SignallingFleet(fleet, signalling)


class SignallingFleetCase(FleetCase):
    """A test of such a fleet."""

    async def start(self, gateways: int, replicas: int) -> SignallingFleet:
        return await start_signalling(gateways, replicas, self.addAsyncCleanup)

    def assert_backed_off(self, fleet: SignallingFleet) -> None:
        for replica in fleet.replicas:
            most = replica.most_while_backed_off()
            self.assertLessEqual(most, MOST_WHILE_BACKED_OFF, replica.identity)
