"""Roll-outs over loopback: orders, what each version gets, and how they end."""

import asyncio
import unittest
from typing import Any

import aiohttp
from fleet_case import FleetCase
from heronladder_platform import settings as platform_settings
from platform_stand_ins import (
    SERVICE,
    Fleet,
    Received,
    answer,
    configuration,
    settings_document,
    start_fleet,
    with_rollouts,
)


class RolloutTest(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet: Fleet = await start_fleet(configuration(1), has_rollouts=True)
        self.addAsyncCleanup(self.fleet.stop)
        self.served: list[str] = []
        self.bad = False
        for number in range(2):
            await self.fleet.add_replica(f"old-{number}", self._script)

    async def _script(self, replica: Any, received: Received) -> bytes:
        self.served.append(replica.identity)
        if self.bad and replica.identity.startswith("new"):
            return answer(received, "500 Internal Server Error")
        await asyncio.sleep(0.02)
        return answer(received)

    async def _order(self, target: str = "v2", within_s: float = 4, **more: Any) -> int:
        body = {"service": SERVICE, "targetVersion": target, "durationS": within_s, **more}
        address = self.fleet.control_address
        return (await self.fleet.call(address, "POST", "/api/Rollouts.Start", body)).status

    async def _state(self, service: str = SERVICE) -> tuple[int, bytes]:
        address = self.fleet.control_address
        got = await self.fleet.call(address, "GET", f"/api/Rollouts.Describe/{service}")
        return got.status, got.body

    async def _load(self, seconds: float) -> list[int]:
        statuses: list[int] = []
        loop = asyncio.get_running_loop()
        end_s = loop.time() + seconds

        async def caller() -> None:
            while loop.time() < end_s:
                statuses.append((await self.fleet.request("/safe/")).status)

        await asyncio.gather(*(caller() for _ in range(4)))
        return statuses

    async def test_an_order_is_acknowledged_and_described(self) -> None:
        """It was answered 404."""
        self.assertEqual((await self._state())[0], 404)
        began_s = asyncio.get_running_loop().time()
        self.assertEqual(await self._order(), 200)
        self.assertLess(asyncio.get_running_loop().time() - began_s, 1.0)
        self.assertEqual(await self._state(), (200, b'{"state": "running", "targetVersion": "v2"}'))
        self.assertEqual(await self._order(), 200)  # sent again
        self.assertEqual(await self._order("v3"), 409)

    async def test_a_wrong_order_is_refused_clearly(self) -> None:
        self.assertEqual(await self._order(service="nowhere"), 404)
        self.assertEqual(await self._order(""), 400)
        self.assertEqual(await self._order(within_s=0), 400)

    async def test_a_time_out_of_range_is_refused_clearly(self) -> None:
        """Some were answered 500, which operators repeat."""
        address = self.fleet.control_address
        for written in ("-1", "NaN", "Infinity", "-Infinity", "1e30", "1e400", "1" * 400, "-0.1"):
            with self.subTest(written=written[:20]):
                body = f'{{"service":"{SERVICE}","targetVersion":"v2","durationS":{written}}}'
                url = f"http://{address}/api/Rollouts.Start"
                async with (
                    aiohttp.ClientSession() as session,
                    session.post(url, data=body.encode()) as got,
                ):
                    self.assertEqual(got.status, 400)

    async def test_a_good_version_is_completed(self) -> None:
        self.assertEqual(await self._order(), 200)
        await self.fleet.add_replica("new-0", self._script, version="v2")
        statuses = await self._load(5.0)
        self.assertEqual(set(statuses), {200})
        self.assertEqual(
            await self._state(), (200, b'{"state": "completed", "targetVersion": "v2"}')
        )
        self.served.clear()
        await self._load(0.2)
        self.assertEqual(set(self.served), {"new-0"})

    async def test_a_bad_version_is_sent_back_and_gets_nothing_after(self) -> None:
        self.bad = True
        self.assertEqual(await self._order(), 200)
        await self.fleet.add_replica("new-0", self._script, version="v2")
        statuses = await self._load(2.0)
        exposed = self.served.count("new-0")
        self.assertLessEqual(exposed, 0.1 * len(statuses) + 50)
        self.assertGreater(exposed, 0)
        self.assertEqual(set(statuses), {200})  # the repeats went to the old version
        self.assertIn(b"rolled_back", (await self._state())[1])
        self.served.clear()
        await self._load(0.3)
        self.assertEqual({name[:3] for name in self.served}, {"old"})
        self.assertEqual(await self._order(), 200)  # sent again after its end
        self.assertIn(b"rolled_back", (await self._state())[1])


class SettingsTest(unittest.IsolatedAsyncioTestCase):
    async def test_without_the_contract_there_are_no_roll_outs(self) -> None:
        fleet = await start_fleet(configuration(1))
        self.addAsyncCleanup(fleet.stop)
        body = {"service": SERVICE, "targetVersion": "v2", "durationS": 4}
        got = await fleet.call(fleet.control_address, "POST", "/api/Rollouts.Start", body)
        self.assertEqual(got.status, 400)

    def test_the_bounds_are_taken_as_they_are(self) -> None:
        """A share of 0.29 is 28.999 in a hundred to a computer."""
        listen = {"control": "127.0.0.1:1"}
        document = settings_document("core", "folder", 1, listen) | {"seeds": ["127.0.0.1:1"]}
        limits = with_rollouts(document)
        limits["bounds"] |= {"exposeShare": 0.29, "exposeSlack": 7}
        settings = platform_settings.translate(limits, platform_settings.CONTROL).control
        self.assertEqual((settings.rollout_share_percent, settings.rollout_slack), (29, 7))
        settings = platform_settings.translate(document, platform_settings.CONTROL).control
        self.assertEqual((settings.rollout_share_percent, settings.rollout_slack), (0, 0))


if __name__ == "__main__":
    unittest.main()
