"""What gateways send to replicas whose answers say that they leave.

A replica that leaves says so in its answers, and mostly by its heartbeats too. A heartbeat may be
late or lost, so a gateway that has passed such an answer on is to send nothing more there, also
without control. Gateways went by heartbeats alone: where one of four replicas said so in each
answer while its heartbeats told ready, 6 to 15 requests that callers made over two seconds later
reached it through two or three gateways, chosen as sound 2.6 s after the first such answer:

    event=replica_signals daemon=front-2 peer=r0 request_id=r16 back_off_s=0 leaving=true
    event=request_sent daemon=front-2 peer=r0 request_id=r94 send=1 suspect=0 reason=sound
"""

import asyncio
import unittest

from platform_stand_ins import Received, StandInReplica, StartedGateway, answer
from signalling_fleet import DRAIN_S, SignallingFleet, SignallingFleetCase, SignallingReplica


def _knows_draining(gateway: StartedGateway, replica: str) -> bool:
    assert gateway.daemon.gateway is not None
    known = gateway.daemon.gateway.replicas._replicas.get(replica)
    return known is not None and known.record.draining


class LeavingTest(SignallingFleetCase):
    async def _ask_while_one_leaves(self, fleet: SignallingFleet, path: str) -> None:
        await fleet.send_requests(30.0, 0.5, path)
        fleet.replicas[0].leaving = True
        judged = await fleet.send_requests(30.0, DRAIN_S + 1.5, path)
        self.assertEqual(set(judged.statuses), {200}, "callers beside it are served")
        self.assertEqual(fleet.sent_to_leaving(fleet.replicas[0]), 0)

    async def test_one_of_four_leaves(self) -> None:
        """Three gateways; orders that may run once, repeatable requests, streams."""
        for path in ("/safe/", "/unsafe/", "/stream/"):
            with self.subTest(path=path):
                fleet = await self.start(3, 4)
                await self._ask_while_one_leaves(fleet, path)
                self.assertEqual(fleet.sent_to_left(fleet.replicas[0]), 0, "by any gateway")

    async def test_with_control_gone(self) -> None:
        fleet = await self.start(3, 4)
        await fleet.send_requests(30.0, 0.5)
        await fleet.fleet.control.stop()
        await self._ask_while_one_leaves(fleet, "/unsafe/")
        self.assertEqual(len(fleet.leaving_s), len(fleet.fleet.gateways), "each passed it on")

    async def test_heartbeats_that_still_say_ready_change_nothing(self) -> None:
        fleet = await self.start(2, 3)
        await fleet.send_requests(30.0, 0.5)
        fleet.replicas[0].leaving = True
        asked = asyncio.create_task(fleet.send_requests(30.0, DRAIN_S + 1.5))
        for sequence in range(2, 12):
            body = fleet.fleet.replicas[0].heartbeat(sequence=sequence)
            control = fleet.fleet.control_address
            await fleet.fleet.call(control, "POST", "/api/Replicas.Heartbeat/r0", body)
            await asyncio.sleep(0.3)
        await asked
        self.assertEqual(fleet.sent_to_leaving(fleet.replicas[0]), 0)

    async def test_gateways_that_got_no_such_answer_know_it_too(self) -> None:
        """One gateway passes it on; another one, and one that starts later, send nothing there."""
        fleet = await self.start(2, 3)
        leaving = fleet.replicas[0]
        leaving.leaving = True
        await fleet.send_requests(30.0, 0.5, weights=lambda _number: 0)
        async with asyncio.timeout(3):
            while not all(_knows_draining(gateway, "r0") for gateway in fleet.fleet.gateways):
                await asyncio.sleep(0.02)
        late = await fleet.fleet.add_gateway("front-late")
        async with asyncio.timeout(5):
            while not (late.knows("r2") and _knows_draining(late, "r0")):
                await asyncio.sleep(0.02)
        body = fleet.fleet.replicas[0].heartbeat(sequence=9)
        control = fleet.fleet.control_address
        await fleet.fleet.call(control, "POST", "/api/Replicas.Heartbeat/r0", body)
        arrived = len(leaving.arrivals)
        judged = await fleet.send_requests(30.0, 1.0)
        self.assertEqual(set(judged.statuses), {200}, "callers are served")
        self.assertEqual(len(leaving.arrivals), arrived)

    async def test_all_leave(self) -> None:
        """What comes after is refused at once as not run, until another replica is there."""
        fleet = await self.start(3, 2)
        await fleet.send_requests(20.0, 0.5)
        for replica in fleet.replicas:
            replica.leaving = True
        await fleet.send_requests(20.0, 1.0)
        judged, held_s = await fleet.measure_added_latency(20.0, DRAIN_S)
        for replica in fleet.replicas:
            self.assertEqual(fleet.sent_to_leaving(replica), 0)
        self.assertEqual(set(judged.statuses), {503})
        self.assertEqual(judged.missing_retry_after, 0)
        self.assertLess(held_s, 0.1, "nothing is held")
        self.assertLess(max(took_s for _, took_s in judged.took_s), 0.35, "nothing is held")
        fleet.replicas.append(SignallingReplica("next"))
        await fleet.fleet.add_replica("next", fleet.replicas[-1].script)
        judged = await fleet.send_requests(20.0, 0.5)
        self.assertEqual(set(judged.statuses), {200})

    async def test_what_runs_there_ends_in_peace(self) -> None:
        fleet = await self.start(1, 1)
        leaving = fleet.replicas[0]
        leaving.work_s = 0.8
        running = asyncio.create_task(fleet.send_requests(20.0, 0.2, "/unsafe/"))
        await asyncio.sleep(0.4)
        leaving.leaving = True
        judged = await running
        self.assertEqual(set(judged.statuses), {200})

    async def test_an_extra_answer_tells_of_its_replica(self) -> None:
        """It answers no request that waits, and what it says of the replica holds all the same."""

        async def twice(_replica: StandInReplica, received: Received) -> bytes:
            other = Received("POST", "/", {"request-id": "of-another"}, b"")
            return answer(other, Server_Leaving="1") + answer(received)

        fleet = await self.start(1, 1)
        await fleet.fleet.add_replica("r-extra", twice)
        role = fleet.fleet.gateway.gateway
        assert role is not None
        for _ in range(10):
            await fleet.send_requests(20.0, 0.2)
        self.assertEqual(role.replicas.availability.leaving, 1)


if __name__ == "__main__":
    unittest.main()
