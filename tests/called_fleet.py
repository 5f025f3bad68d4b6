"""Callers of a fleet over loopback, who note what became of their requests."""

import asyncio
import statistics
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from platform_stand_ins import Answer, Fleet

GATEWAY_HEADER = "X-Gateway"  # a caller names its gateway: a replica cannot see it otherwise


@dataclass
class Judged:
    """What became of a span of requests."""

    statuses: Counter[int] = field(default_factory=Counter)
    took_s: list[tuple[int, float]] = field(default_factory=list)
    retry_after: list[float] = field(default_factory=list)
    missing_retry_after: int = 0


def median_response_time_s(judged: Judged) -> float:
    """Return how long half of the answers took at the most."""
    return statistics.median(took_s for _, took_s in judged.took_s)


class CalledFleet:
    """Gateways and their callers.

    Args:
        fleet: The daemons.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.send_times_s: dict[str, float] = {}  # when each request was made

    def on_response(self, gateway: str, got: Answer) -> None:
        """Note what a caller got from a gateway."""

    async def call(self, gateway: str, path: str) -> tuple[Answer, float]:
        """Make one caller's request; return the answer and the time that it took."""
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        identity = f"r{len(self.send_times_s)}"
        self.send_times_s[identity] = began_s
        named = {"Request_Id": identity, "Deadline_Ms": "3000", GATEWAY_HEADER: gateway}
        got = await self.fleet.request_at(gateway, path, **named)
        self.on_response(gateway, got)
        return got, loop.time() - began_s

    async def send_requests(
        self,
        per_s: float,
        for_s: float,
        path: str = "/safe/",
        weights: Callable[[int], int] = lambda number: number,
    ) -> Judged:
        """Have callers ask evenly over time.

        Args:
            per_s: Requests a second.
            for_s: How long.
            path: What for.
            weights: Gives the gateway of a request by its number.
        """
        loop = asyncio.get_running_loop()
        judged = Judged()
        running: list[asyncio.Task[None]] = []
        gateways = [one.address for one in self.fleet.gateways]

        async def one(gateway: str) -> None:
            got, took_s = await self.call(gateway, path)
            judged.statuses[got.status] += 1
            judged.took_s.append((got.status, took_s))
            if got.status == 503:
                after = got.headers.get("Retry-After")
                judged.missing_retry_after += after is None
                judged.retry_after.append(float(after or 0))

        began_s = loop.time()
        for number in range(int(per_s * for_s)):
            await asyncio.sleep(max(0.0, began_s + number / per_s - loop.time()))
            running.append(asyncio.create_task(one(gateways[weights(number) % len(gateways)])))
        await asyncio.gather(*running)
        return judged

    async def measure_added_latency(self, per_s: float, for_s: float) -> tuple[Judged, float]:
        """Have callers ask, as many for what has no route, which is answered without a wait.

        Returns:
            What became of the former, and how much longer they took, in seconds.
        """
        judged, unrouted = await asyncio.gather(
            self.send_requests(per_s, for_s), self.send_requests(per_s, for_s, "/unrouted/")
        )
        return judged, median_response_time_s(judged) - median_response_time_s(unrouted)
