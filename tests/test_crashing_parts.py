"""A part of prompts that crashes replicas must stop reaching them, and only that part."""

import asyncio
import unittest

from crashing_part_fleet import CrashingPartFleet
from fleet_case import FleetCase

_MAX_LATE_ARRIVALS = 3
_MIN_SERVED_FRACTION = 0.95  # of sound requests, from when the refusal must be known
_PART, _OTHER_PART = "e4402b7d", "0badbeef"
_SECONDS = 11.0
_REFUSED = 501


class CrashingPartTest(FleetCase):
    async def start(self, fleet: CrashingPartFleet) -> CrashingPartFleet:
        """Start a fleet; it is stopped when the test ends."""
        self.addAsyncCleanup(fleet.stop)
        await fleet.start()
        return fleet

    def check(self, fleet: CrashingPartFleet, *parts: str) -> None:
        """Check that some parts stopped reaching replicas and that sound requests are served."""
        for part in parts:
            crashes = fleet.crashes[part.encode()]
            seen = f"{len(crashes.crash_times_s)} replicas crashed"
            self.assertGreaterEqual(len(crashes.crash_times_s), 3, seen)
            self.assertLessEqual(crashes.late_arrivals, _MAX_LATE_ARRIVALS, seen)
            self.assertIn(_REFUSED, fleet.statuses_of(part), seen)
        recovered_s = max(fleet.crashes[part.encode()].recovered_at_s for part in parts)
        later = [sent_s for sent_s, _ in fleet.sound.sent if sent_s >= recovered_s]
        self.assertGreater(len(later), 20, f"of {len(fleet.sound.sent)}")
        self.assertGreaterEqual(fleet.sound.served_fraction(recovered_s), _MIN_SERVED_FRACTION)
        self.assertNotIn(_REFUSED, [status for _, status in fleet.sound.sent])

    async def test_the_first_part(self) -> None:
        fleet = await self.start(CrashingPartFleet(replicas=8))
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(fleet.send_sound(_SECONDS, 30))
            tasks.create_task(fleet.send_crashing_part(_PART, _SECONDS, 2, is_first=True))
        self.check(fleet, _PART)

    async def test_a_part_in_the_middle(self) -> None:
        fleet = await self.start(CrashingPartFleet(replicas=8))
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(fleet.send_sound(_SECONDS, 30))
            tasks.create_task(fleet.send_crashing_part(_PART, _SECONDS, 2))
        self.check(fleet, _PART)

    async def test_many_requests_at_six_gateways(self) -> None:
        fleet = await self.start(CrashingPartFleet(gateways=6, replicas=8))
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(fleet.send_sound(_SECONDS, 30))
            tasks.create_task(fleet.send_crashing_part(_PART, _SECONDS, 8))
        self.check(fleet, _PART)

    async def test_two_parts_at_the_same_time(self) -> None:
        fleet = await self.start(CrashingPartFleet(replicas=10))
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(fleet.send_sound(_SECONDS + 3, 30))
            tasks.create_task(fleet.send_crashing_part(_PART, _SECONDS + 3, 2))
            tasks.create_task(fleet.send_crashing_part(_OTHER_PART, _SECONDS + 3, 2))
        self.check(fleet, _PART, _OTHER_PART)

    async def test_while_the_leader_is_lost(self) -> None:
        fleet = await self.start(CrashingPartFleet(members=3, replicas=8))
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(fleet.send_sound(60.0, 30))
            tasks.create_task(fleet.send_crashing_part(_PART, 60.0, 2))
            await asyncio.sleep(0.8)
            await fleet.crash_leader()
            await asyncio.sleep(9.0)
            fleet.stop_requested = True
        self.check(fleet, _PART)

    async def test_a_new_part_that_is_lost_with_a_zone_is_not_refused(self) -> None:
        fleet = await self.start(CrashingPartFleet(replicas=8))
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(fleet.send_sound(8.0, 30))
            for number in range(4):
                await asyncio.sleep(0.5)
                tasks.create_task(fleet.send_sound(0.3, 60, f"{number:08x}"))
                await asyncio.sleep(0.2)
                fleet.crash_zone(number % 2)
                await asyncio.sleep(1.2)
        self.assertEqual(fleet.refused(), set())
        self.assertNotIn(_REFUSED, [status for _, status in fleet.sound.sent])


if __name__ == "__main__":
    unittest.main()
