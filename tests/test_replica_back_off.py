"""What gateways send to replicas that turn requests away and ask for back-off.

Two of six replicas turned requests away for nine seconds, each time asking for three seconds of
back-off. Gateways took a refusal for a moment without room and sent again after 0.15 s, first
sends as well as repeats: 107 of 107 logged sends were turned away. One gateway sent five requests
to a replica in the time that it had asked for, where two are allowed, and 21 of 260 callers were
refused beside four idle replicas, since the sends in vain had used up the service's repeats:

    event=replica_signals daemon=front-2 peer=r0 request_id=r25 back_off_s=3
    event=request_sent daemon=front-2 peer=r0 request_id=r31 send=1 suspect=0 reason=sound

The second line was written 0.16 s after the first.
"""

import asyncio
import unittest
from typing import Any
from unittest import mock

from aiohttp import TCPConnector
from platform_stand_ins import StandInReplica
from shaped_link import ShapedLink
from signalling_fleet import SignallingFleet, SignallingFleetCase, SignallingReplica


class BackOffTest(SignallingFleetCase):
    async def test_one_of_four_asks_for_back_off(self) -> None:
        """Three gateways; orders that may run once, repeatable requests, streams."""
        for path in ("/safe/", "/unsafe/", "/stream/"):
            with self.subTest(path=path):
                fleet = await self.start(3, 4)
                await fleet.ask(30.0, 0.5, path)
                fleet.replicas[0].retry_after = "3"
                judged = await fleet.ask(30.0, 3.3, path)
                self.assert_backed_off(fleet)
                self.assertEqual(set(judged.statuses), {200}, "callers beside it are served")

    async def test_some_requests_are_rejected(self) -> None:
        """What it served after the refusal ends nothing of the time that it asked for."""
        fleet = await self.start(3, 4)
        fleet.replicas[0].retry_after = "3"
        fleet.replicas[0].served_of_ten = 7
        judged = await fleet.ask(60.0, 4.0)
        self.assert_backed_off(fleet)
        self.assertEqual(set(judged.statuses), {200}, "callers beside it are served")

    async def test_two_of_four_under_load(self) -> None:
        """Refusals use up none of the repeats that callers beside need."""
        fleet = await self.start(6, 4)
        await fleet.ask(30.0, 0.5)
        for replica in fleet.replicas[:2]:
            replica.retry_after = "3"
        judged = await fleet.ask(180.0, 4.5)
        self.assert_backed_off(fleet)
        served = judged.statuses[200] / judged.statuses.total()
        self.assertGreaterEqual(served, 0.98, "two replicas stand idle")

    async def test_two_of_four_ask_for_nothing(self) -> None:
        """Two replicas turn all away without a time: each refusal in vain is longer remembered."""
        fleet = await self.start(6, 4)
        await fleet.ask(30.0, 0.5)
        for replica in fleet.replicas[:2]:
            replica.retry_after = ""
        judged = await fleet.ask(180.0, 4.5)
        served = judged.statuses[200] / judged.statuses.total()
        self.assertGreaterEqual(served, 0.98, "two replicas stand idle")

    async def test_all_ask_for_back_off(self) -> None:
        """What cannot be served is refused at once, and told when to return."""
        fleet = await self.start(4, 2)
        await fleet.ask(20.0, 0.5)
        for replica in fleet.replicas:
            replica.retry_after = "3"
        judged, held_s = await fleet.ask_beside_unrouted(20.0, 2.0)
        self.assert_backed_off(fleet)
        self.assertEqual(set(judged.statuses), {503})
        self.assertLess(held_s, 0.1, "nothing is held")
        self.assertLess(max(took_s for _, took_s in judged.took_s), 0.35, "nothing is held")
        self.assertEqual(judged.unserved_without_retry, 0)
        later = judged.retry_after[len(judged.retry_after) // 2 :]
        self.assertEqual(fleet.told_too_early(), 0, "not before a replica takes requests again")
        self.assertLess(max(later), 4.6)
        self.assertGreater(len(set(later)), len(later) // 2, "they return one after another")
        await asyncio.sleep(2.0)
        for replica in fleet.replicas:
            replica.retry_after = None
        judged = await fleet.ask(20.0, 1.0)
        self.assertEqual(set(judged.statuses), {200}, "served again once it is over")
        self.assert_backed_off(fleet)

    async def test_with_control_gone(self) -> None:
        fleet = await self.start(3, 4)
        await fleet.ask(30.0, 0.5)
        await fleet.fleet.control.stop()
        fleet.replicas[0].retry_after = "3"
        judged = await fleet.ask(30.0, 3.3)
        self.assert_backed_off(fleet)
        self.assertEqual(set(judged.statuses), {200}, "callers beside it are served")

    async def test_a_connection_that_takes_long(self) -> None:
        """A replica that was chosen before it asked for back-off is not sent to after."""
        fleet = await self.start(1, 2)
        await fleet.ask(20.0, 0.5, "/unsafe/")
        create = TCPConnector._create_connection

        async def create_late(*arguments: Any) -> Any:
            await asyncio.sleep(0.55)
            return await create(*arguments)

        fleet.replicas[0].retry_after = "3"
        with mock.patch.object(TCPConnector, "_create_connection", create_late):
            judged = await fleet.ask(40.0, 3.0, "/unsafe/")
        self.assert_backed_off(fleet)
        self.assertEqual(set(judged.statuses), {200}, "callers beside it are served")
        role = fleet.fleet.gateway.gateway
        assert role is not None
        self.assertGreater(role.metrics.counters["sends_held_back", "backing_off"], 2)

    async def test_over_a_slow_link(self) -> None:
        """0.2 s each way: a refusal is known 0.2 s late, what left before arrives 0.4 s late."""
        fleet = await self.start(3, 0)
        for number in range(4):
            await self._add_behind_link(fleet, f"far{number}")
        await fleet.ask(30.0, 1.0, "/unsafe/")
        fleet.replicas[0].retry_after = "3"
        judged = await fleet.ask(30.0, 4.0, "/unsafe/")
        self.assertGreater(len(fleet.replicas[0].asked), 0)
        self.assert_backed_off(fleet)
        self.assertEqual(set(judged.statuses), {200}, "callers beside it are served")

    async def _add_behind_link(self, fleet: SignallingFleet, name: str) -> None:
        signalling = SignallingReplica(name)
        replica = StandInReplica(name, signalling.script)
        await replica.start()
        self.addAsyncCleanup(replica.stop)
        link = ShapedLink([replica.address])
        link.there.delay_s = link.back.delay_s = 0.2
        await link.start()
        self.addAsyncCleanup(link.stop)
        body = replica.heartbeat(address=link.address_to(replica.address))
        path = f"/api/Replicas.Heartbeat/{name}"
        await fleet.fleet.call(fleet.fleet.control_address, "POST", path, body)
        async with asyncio.timeout(5):
            while not all(gateway.knows(name) for gateway in fleet.fleet.gateways):
                await asyncio.sleep(0.02)
        fleet.replicas.append(signalling)

    async def test_a_new_incarnation_has_no_back_off(self) -> None:
        fleet = await self.start(1, 1)
        fleet.replicas[0].retry_after = "30"
        judged = await fleet.ask(20.0, 0.5)
        self.assertEqual(set(judged.statuses), {503})
        fleet.replicas.append(SignallingReplica("r1"))
        await fleet.fleet.add_replica("r1", fleet.replicas[1].script)
        judged = await fleet.ask(20.0, 0.5)
        self.assertEqual(set(judged.statuses), {200})
        self.assert_backed_off(fleet)


if __name__ == "__main__":
    unittest.main()
