"""Requests to replicas that reject and ask for back-off.

The tests guard against gateways that ignore the requested back-off. Two of six replicas rejected
requests for nine seconds, with three seconds of back-off each time. Gateways treated a rejection as
a short lack of slots and sent again after 0.15 s, so 107 of 107 logged attempts were rejected. One
gateway sent five requests during one back-off, where two are allowed. The rejected attempts used up
the retries of the service, so 21 of 260 callers were refused although four replicas were idle:

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
        """With three gateways, for requests that may be repeated, may run once, and streams."""
        for path in ("/safe/", "/unsafe/", "/stream/"):
            with self.subTest(path=path):
                fleet = await self.start(3, 4)
                await fleet.send_requests(30.0, 0.5, path)
                fleet.replicas[0].retry_after = "3"
                judged = await fleet.send_requests(30.0, 3.3, path)
                self.assert_backed_off(fleet)
                self.assertEqual(set(judged.statuses), {200}, "other replicas serve the callers")

    async def test_some_requests_are_rejected(self) -> None:
        """Requests that the replica serves after a rejection do not end the back-off."""
        fleet = await self.start(3, 4)
        fleet.replicas[0].retry_after = "3"
        fleet.replicas[0].served_of_ten = 7
        judged = await fleet.send_requests(60.0, 4.0)
        self.assert_backed_off(fleet)
        self.assertEqual(set(judged.statuses), {200}, "other replicas serve the callers")

    async def test_two_of_four_under_load(self) -> None:
        """Rejections use up none of the retries that other callers need."""
        fleet = await self.start(6, 4)
        await fleet.send_requests(30.0, 0.5)
        for replica in fleet.replicas[:2]:
            replica.retry_after = "3"
        judged = await fleet.send_requests(180.0, 4.5)
        self.assert_backed_off(fleet)
        served = judged.statuses[200] / judged.statuses.total()
        self.assertGreaterEqual(served, 0.98, "two replicas are idle")

    async def test_two_of_four_ask_for_nothing(self) -> None:
        """Two replicas reject all requests without Retry-After: the suspicion grows each time."""
        fleet = await self.start(6, 4)
        await fleet.send_requests(30.0, 0.5)
        for replica in fleet.replicas[:2]:
            replica.retry_after = ""
        judged = await fleet.send_requests(180.0, 4.5)
        served = judged.statuses[200] / judged.statuses.total()
        self.assertGreaterEqual(served, 0.98, "two replicas are idle")

    async def test_all_ask_for_back_off(self) -> None:
        """Requests that cannot be served are refused at once, with a Retry-After."""
        fleet = await self.start(4, 2)
        await fleet.send_requests(20.0, 0.5)
        for replica in fleet.replicas:
            replica.retry_after = "3"
        judged, held_s = await fleet.measure_added_latency(20.0, 2.0)
        self.assert_backed_off(fleet)
        self.assertEqual(set(judged.statuses), {503})
        self.assertLess(held_s, 0.1, "no request waits")
        self.assertLess(max(took_s for _, took_s in judged.took_s), 0.35, "no request waits")
        self.assertEqual(judged.missing_retry_after, 0)
        later = judged.retry_after[len(judged.retry_after) // 2 :]
        self.assertEqual(fleet.told_too_early(), 0, "no retry before a replica accepts requests")
        self.assertLess(max(later), 4.6)
        self.assertGreater(len(set(later)), len(later) // 2, "callers retry one after another")
        await asyncio.sleep(2.0)
        for replica in fleet.replicas:
            replica.retry_after = None
        judged = await fleet.send_requests(20.0, 1.0)
        self.assertEqual(set(judged.statuses), {200}, "served again after the back-off")
        self.assert_backed_off(fleet)

    async def test_with_control_gone(self) -> None:
        fleet = await self.start(3, 4)
        await fleet.send_requests(30.0, 0.5)
        await fleet.fleet.control.stop()
        fleet.replicas[0].retry_after = "3"
        judged = await fleet.send_requests(30.0, 3.3)
        self.assert_backed_off(fleet)
        self.assertEqual(set(judged.statuses), {200}, "other replicas serve the callers")

    async def test_a_connection_that_takes_long(self) -> None:
        """No request is sent to a replica that asks for back-off while the connection opens."""
        fleet = await self.start(1, 2)
        await fleet.send_requests(20.0, 0.5, "/unsafe/")
        create = TCPConnector._create_connection

        async def create_late(*arguments: Any) -> Any:
            await asyncio.sleep(0.55)
            return await create(*arguments)

        fleet.replicas[0].retry_after = "3"
        with mock.patch.object(TCPConnector, "_create_connection", create_late):
            judged = await fleet.send_requests(40.0, 3.0, "/unsafe/")
        self.assert_backed_off(fleet)
        self.assertEqual(set(judged.statuses), {200}, "other replicas serve the callers")
        role = fleet.fleet.gateway.gateway
        assert role is not None
        self.assertGreater(role.metrics.counters["sends_held_back", "backing_off"], 2)

    async def test_over_a_slow_link(self) -> None:
        """The link delays each direction by 0.2 s.

        A rejection becomes known 0.2 s late, and attempts sent before arrive up to 0.4 s late.
        """
        fleet = await self.start(3, 0)
        for number in range(4):
            await self._add_behind_link(fleet, f"far{number}")
        await fleet.send_requests(30.0, 1.0, "/unsafe/")
        fleet.replicas[0].retry_after = "3"
        judged = await fleet.send_requests(30.0, 4.0, "/unsafe/")
        self.assertGreater(len(fleet.replicas[0].asked), 0)
        self.assert_backed_off(fleet)
        self.assertEqual(set(judged.statuses), {200}, "other replicas serve the callers")

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
        judged = await fleet.send_requests(20.0, 0.5)
        self.assertEqual(set(judged.statuses), {503})
        fleet.replicas.append(SignallingReplica("r1"))
        await fleet.fleet.add_replica("r1", fleet.replicas[1].script)
        judged = await fleet.send_requests(20.0, 0.5)
        self.assertEqual(set(judged.statuses), {200})
        self.assert_backed_off(fleet)


if __name__ == "__main__":
    unittest.main()
