"""A request that crashes replicas must stop reaching them, at any gateway.

Without shared knowledge of such requests, each gateway blames the replica alone and sends the
caller's next attempt to the best replica that is left. One request ended twelve replicas that way,
and callers of all others were refused or lost their responses. In the logs, ``send_failed
step=read_answer`` (response payload not completed) is followed by an attempt of the same request
from the next gateway with ``suspect=0 reason=sound``.
"""

import asyncio
import unittest

from crashing_fleet import CRASHING_BODY, CrashingFleet
from fleet_case import FleetCase

_MAX_LATE_ARRIVALS = 3  # at replicas, after all gateways must know the request
_MIN_SERVED_FRACTION = 0.97  # of ordinary requests, once all gateways know the crashing request


class CrashingRequestTest(FleetCase):
    async def start(self, fleet: CrashingFleet) -> CrashingFleet:
        """Start a fleet; it is stopped when the test ends."""
        self.addAsyncCleanup(fleet.stop)
        await fleet.start()
        return fleet

    def check(self, fleet: CrashingFleet, body: bytes) -> None:
        """Check that a request stopped crashing replicas and that ordinary requests are served."""
        crashes = fleet.crashes[body]
        self.assertGreaterEqual(
            len(crashes.crash_times_s), 3, "the request must crash replicas at first"
        )
        self.assertLessEqual(
            crashes.late_arrivals,
            _MAX_LATE_ARRIVALS,
            f"{len(crashes.crash_times_s)} replicas crashed",
        )
        # The late arrivals that are allowed crash replicas too. Ordinary requests count only after
        # the last of these replicas has recovered.
        recovered_at_s = max(
            crashes.known_since_s, *(one.recovered_at_s for one in fleet.crashes.values())
        )
        statuses = fleet.statuses_since(recovered_at_s)
        state = f"{statuses} from {recovered_at_s}: {fleet.describe_state()}"
        self.assertGreater(statuses.total(), 20, state)
        served = (statuses[200] + fleet.aborted_requests) / statuses.total()
        self.assertGreaterEqual(served, _MIN_SERVED_FRACTION, state)

    async def test_request_repeated_at_any_gateway_stops_reaching_replicas(self) -> None:
        fleet = await self.start(CrashingFleet())
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(fleet.send_ordinary_load(9.0, per_s=30))
            tasks.create_task(fleet.repeat_crashing(CRASHING_BODY, 9.0))
        self.check(fleet, CRASHING_BODY)

    async def test_unsafe_request_at_replicas_that_restart_under_the_same_id(self) -> None:
        fleet = await self.start(CrashingFleet(keeps_id=True))
        body = CRASHING_BODY + b", after the head of its answer"
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(fleet.send_ordinary_load(9.0, per_s=30, path="/order/"))
            tasks.create_task(fleet.repeat_crashing(body, 9.0, path="/order/"))
        self.check(fleet, body)

    async def test_two_at_once_while_the_leader_and_a_gateway_are_lost(self) -> None:
        fleet = await self.start(CrashingFleet(members=3, replicas=8))
        bodies = (CRASHING_BODY + b" 1", CRASHING_BODY + b" 2")
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(fleet.send_ordinary_load(60.0, per_s=30))
            for body in bodies:
                tasks.create_task(fleet.repeat_crashing(body, 60.0))
            await asyncio.sleep(0.6)
            await fleet.crash_leader()
            await asyncio.sleep(4.0)
            await fleet.crash_gateway(0)
            await asyncio.sleep(5.0)
            fleet.stop_requested = True
        for body in bodies:
            self.check(fleet, body)

    async def test_ordinary_requests_are_served_while_a_zone_is_lost(self) -> None:
        fleet = await self.start(CrashingFleet(replicas=6))
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(fleet.send_ordinary_load(10.0, per_s=30))
            tasks.create_task(fleet.repeat_crashing(CRASHING_BODY, 10.0))
            await asyncio.sleep(0.6)
            fleet.crash_zone(0)
            await asyncio.sleep(7.0)
            fleet.crash_zone(1)
        self.check(fleet, CRASHING_BODY)
        self.assertNotIn(501, fleet.statuses_since(0.0))

    async def test_popular_request_is_never_refused(self) -> None:
        """A popular request is running at every replica, also when these crash for other causes."""
        fleet = await self.start(CrashingFleet(replicas=6))
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(fleet.send_ordinary_load(9.0, per_s=80, body=b"the page"))
            for number in range(4):
                await asyncio.sleep(2.0)  # the other zone has restarted by then
                fleet.crash_zone(number % 2)
        statuses = fleet.statuses_since(0.0)
        self.assertNotIn(501, statuses)
        self.assertGreater(statuses[200], 0.8 * statuses.total(), statuses)


if __name__ == "__main__":
    unittest.main()
