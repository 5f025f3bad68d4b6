"""Evacuations of zones: acknowledged, in force at the gateways, never lost or overwritten."""

import asyncio
import unittest
from typing import Any

from heronladder_control.evacuations import EvacuationTable, OvertakenOrders
from heronladder_control.resources import ResourceTable
from heronladder_control.state import ControlState
from heronladder_runtime.clock import Environment
from heronladder_schema.v1 import control_pb2
from platform_stand_ins import Fleet, Received, answer, configuration, start_fleet

_REQUESTS = 12


class _Clock(Environment):
    now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


def _order(zone: str, *, ended: bool = False) -> control_pb2.SetEvacuation:
    return control_pb2.SetEvacuation(zone=zone, ended=ended)


class TableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.resources = ResourceTable("r")
        self.table = EvacuationTable(self.resources)

    def test_repeated_order_changes_nothing(self) -> None:
        first = self.table.apply(5, _order("a"))
        again = self.table.apply(6, _order("a"))
        self.assertEqual((first.revision, again.revision), (5, 5))
        self.assertTrue(self.table.is_evacuated("a"))
        ended = self.table.apply(7, _order("a", ended=True))
        self.assertEqual(ended.revision, 7)
        self.assertEqual(self.table.apply(8, _order("a", ended=True)).revision, 7)
        self.assertFalse(self.table.is_evacuated("a"))

    def test_ending_unknown_evacuation_succeeds_without_change(self) -> None:
        result = self.table.apply(5, _order("a", ended=True))
        self.assertEqual((result.code, result.revision), (control_pb2.RESULT_CODE_OK, 0))
        self.assertEqual(self.resources.revision, 0)

    def test_snapshot_contains_evacuations(self) -> None:
        state = ControlState("r")
        command = control_pb2.Command()
        command.set_evacuation.zone = "a"
        state.apply(1, command.SerializeToString())
        restored = ControlState("r")
        restored.restore(state.snapshot())
        self.assertTrue(restored.evacuations.is_evacuated("a"))


class OvertakenOrderTest(unittest.TestCase):
    """A copy of an order waits at a member that can't reach the leader."""

    def setUp(self) -> None:
        self.clock = _Clock()
        self.orders = OvertakenOrders(self.clock)
        self.orders.start_term(1)
        self.clock.now_s += 60

    def test_order_older_than_newest_change_of_its_zone_is_overtaken(self) -> None:
        self.orders.note_change("a")
        self.clock.now_s += 1.0
        self.assertTrue(self.orders.is_superseded("a", 1.5, 1))
        self.assertFalse(self.orders.is_superseded("a", 0.5, 1))
        self.assertFalse(self.orders.is_superseded("b", 1.5, 1))

    def test_new_leader_rejects_orders_from_before_its_term(self) -> None:
        self.orders.start_term(2)
        self.clock.now_s += 1.0
        self.assertTrue(self.orders.is_superseded("a", 1.5, 2))
        self.assertFalse(self.orders.is_superseded("a", 0.5, 2))
        self.assertTrue(self.orders.is_superseded("a", 0.5, 3))  # a term that has not started yet


class EvacuationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.fleet: Fleet = await start_fleet(configuration(1))
        self.addAsyncCleanup(self.fleet.stop)
        self.served: list[str] = []
        for zone in ("z1", "z2"):
            await self.fleet.add_replica(f"in-{zone}", self._script, zone=zone)

    async def _script(self, replica: Any, received: Received) -> bytes:
        self.served.append(replica.identity)
        return answer(received)

    async def _operator(self, call: str, zone: str) -> int:
        address = self.fleet.control_address
        return (await self.fleet.call(address, "POST", f"/api/Evacuations.{call}/{zone}")).status

    async def _serve(self) -> set[str]:
        self.served.clear()
        statuses = [(await self.fleet.request("/safe/")).status for _ in range(_REQUESTS)]
        self.assertEqual(set(statuses), {200})
        return set(self.served)

    async def test_evacuated_zone_gets_no_requests_until_evacuation_ends(self) -> None:
        """Guards against an evacuation that is answered with 404 and leaves the zone in use."""
        self.assertIn("in-z1", await self._serve())
        self.assertEqual(await self._operator("Start", "z1"), 200)
        self.assertEqual(await self._serve(), {"in-z2"})
        self.assertEqual(await self._operator("Start", "z1"), 200)  # sent again
        self.assertEqual(await self._operator("Stop", "z1"), 200)
        self.assertIn("in-z1", await self._serve())

    async def test_evacuation_is_acknowledged_within_one_second(self) -> None:
        began_s = asyncio.get_running_loop().time()
        self.assertEqual(await self._operator("Start", "z1"), 200)
        self.assertLess(asyncio.get_running_loop().time() - began_s, 1.0)

    async def test_request_for_fully_evacuated_service_is_rejected_at_once(self) -> None:
        for zone in ("z1", "z2"):
            self.assertEqual(await self._operator("Start", zone), 200)
        began_s = asyncio.get_running_loop().time()
        got = await self.fleet.request("/safe/")
        self.assertLess(asyncio.get_running_loop().time() - began_s, 0.15)
        self.assertEqual((got.status, got.headers["Heronladder-Outcome"]), (503, "not-run"))
        self.assertIn("Retry-After", got.headers)
        self.assertIn(b"service_evacuated", got.body)

    async def test_retry_does_not_go_to_evacuated_zone(self) -> None:
        self.assertEqual(await self._operator("Start", "z1"), 200)

        async def failing(replica: Any, received: Received) -> bytes:
            self.served.append(replica.identity)
            return answer(received, "500 Internal Server Error")

        self.fleet.replicas[1].script = failing
        self.assertEqual((await self.fleet.request("/safe/")).status, 500)
        self.assertEqual(self.served, ["in-z2"])

    async def test_new_gateway_does_not_send_to_evacuated_zone(self) -> None:
        self.assertEqual(await self._operator("Start", "z1"), 200)
        added = await self.fleet.add_gateway("front-2")
        self.served.clear()
        async with asyncio.timeout(10):
            while (await self.fleet.request_at(added.address, "/safe/")).status != 200:
                await asyncio.sleep(0.02)
        self.assertEqual(set(self.served), {"in-z2"})

    async def test_unknown_zone_is_rejected_with_list_of_zones(self) -> None:
        address = self.fleet.control_address
        got = await self.fleet.call(address, "POST", "/api/Evacuations.Start/z9")
        self.assertEqual(got.status, 404)
        self.assertIn(b"z1, z2", got.body)


if __name__ == "__main__":
    unittest.main()
