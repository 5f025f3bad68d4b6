"""Callers of a fleet over loopback sockets that record the outcome of their requests."""

import asyncio
import statistics
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from platform_stand_ins import Answer, Fleet

# Names the gateway that a caller used, because a replica cannot see it otherwise.
GATEWAY_HEADER = "X-Gateway"


@dataclass
class RequestOutcomes:
    """Outcomes of the requests that were sent in a period.

    Attributes:
        statuses: Number of responses by status.
        took_s: Status and time of each response.
        retry_after: Retry-After of each 503 response; 0 if it has none.
        missing_retry_after: Number of 503 responses without Retry-After.
    """

    statuses: Counter[int] = field(default_factory=Counter)
    took_s: list[tuple[int, float]] = field(default_factory=list)
    retry_after: list[float] = field(default_factory=list)
    missing_retry_after: int = 0


def median_response_time_s(result: RequestOutcomes) -> float:
    """Return the median response time, in seconds."""
    return statistics.median(took_s for _, took_s in result.took_s)


class CalledFleet:
    """A fleet and its callers.

    Args:
        fleet: The daemons.

    Attributes:
        send_times_s: When each request was sent, by request id.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.send_times_s: dict[str, float] = {}

    def on_response(self, gateway: str, response: Answer) -> None:
        """Handle a gateway's response to a caller; subclasses override it."""

    async def call(self, gateway: str, path: str) -> tuple[Answer, float]:
        """Send one request; return the response and the time that it took, in seconds."""
        loop = asyncio.get_running_loop()
        start_s = loop.time()
        request_id = f"r{len(self.send_times_s)}"
        self.send_times_s[request_id] = start_s
        headers = {"Request_Id": request_id, "Deadline_Ms": "3000", GATEWAY_HEADER: gateway}
        response = await self.fleet.request_at(gateway, path, **headers)
        self.on_response(gateway, response)
        return response, loop.time() - start_s

    async def send_requests(
        self,
        per_s: float,
        for_s: float,
        path: str = "/safe/",
        weights: Callable[[int], int] = lambda number: number,
    ) -> RequestOutcomes:
        """Send requests at a steady rate.

        Args:
            per_s: Requests per second.
            for_s: Duration, in seconds.
            path: Path of the requests.
            weights: Maps the number of a request to the number of its gateway, modulo the number
                of gateways.

        Returns:
            Outcomes of all requests.
        """
        loop = asyncio.get_running_loop()
        result = RequestOutcomes()
        running: list[asyncio.Task[None]] = []
        gateways = [started.address for started in self.fleet.gateways]

        async def send_one(gateway: str) -> None:
            response, took_s = await self.call(gateway, path)
            result.statuses[response.status] += 1
            result.took_s.append((response.status, took_s))
            if response.status == 503:
                after = response.headers.get("Retry-After")
                result.missing_retry_after += after is None
                result.retry_after.append(float(after or 0))

        start_s = loop.time()
        for number in range(int(per_s * for_s)):
            await asyncio.sleep(max(0.0, start_s + number / per_s - loop.time()))
            running.append(asyncio.create_task(send_one(gateways[weights(number) % len(gateways)])))
        await asyncio.gather(*running)
        return result

    async def measure_added_latency(
        self, per_s: float, for_s: float
    ) -> tuple[RequestOutcomes, float]:
        """Send requests and, at the same rate, others without a route, which are never queued.

        Returns:
            Outcomes of the former, and by how much their median response time exceeds that of the
            others, in seconds.
        """
        result, unrouted = await asyncio.gather(
            self.send_requests(per_s, for_s), self.send_requests(per_s, for_s, "/unrouted/")
        )
        return result, median_response_time_s(result) - median_response_time_s(unrouted)
