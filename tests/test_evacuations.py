"""Evacuations of zones: acknowledged, in force at the gateways, and never lost or undone."""

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

    def test_the_same_order_again_changes_nothing(self) -> None:
        first = self.table.apply(5, _order("a"))
        again = self.table.apply(6, _order("a"))
        self.assertEqual((first.revision, again.revision), (5, 5))
        self.assertTrue(self.table.is_evacuated("a"))
        ended = self.table.apply(7, _order("a", ended=True))
        self.assertEqual(ended.revision, 7)
        self.assertEqual(self.table.apply(8, _order("a", ended=True)).revision, 7)
        self.assertFalse(self.table.is_evacuated("a"))

    def test_taking_back_what_never_was_is_done_at_once(self) -> None:
        result = self.table.apply(5, _order("a", ended=True))
        self.assertEqual((result.code, result.revision), (control_pb2.RESULT_CODE_OK, 0))
        self.assertEqual(self.resources.revision, 0)

    def test_a_snapshot_carries_evacuations(self) -> None:
        state = ControlState("r")
        command = control_pb2.Command()
        command.set_evacuation.zone = "a"
        state.apply(1, command.SerializeToString())
        restored = ControlState("r")
        restored.restore(state.snapshot())
        self.assertTrue(restored.evacuations.is_evacuated("a"))


class LateOrderTest(unittest.TestCase):
    """A copy of an order waited at a member that had no way to the leader."""

    def setUp(self) -> None:
        self.clock = _Clock()
        self.orders = OvertakenOrders(self.clock)
        self.orders.start_term(1)
        self.clock.now_s += 60

    def test_one_that_its_opposite_has_overtaken_is_late(self) -> None:
        self.orders.note_change("a")
        self.clock.now_s += 1.0
        self.assertTrue(self.orders.is_overtaken("a", 1.5, 1))
        self.assertFalse(self.orders.is_overtaken("a", 0.5, 1))
        self.assertFalse(self.orders.is_overtaken("b", 1.5, 1))

    def test_a_new_leader_takes_no_order_from_before_its_term(self) -> None:
        self.orders.start_term(2)
        self.clock.now_s += 1.0
        self.assertTrue(self.orders.is_overtaken("a", 1.5, 2))
        self.assertFalse(self.orders.is_overtaken("a", 0.5, 2))
        self.assertTrue(self.orders.is_overtaken("a", 0.5, 3))  # a term that has yet to begin


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

    async def test_nothing_goes_to_the_zone_until_it_is_taken_back(self) -> None:
        """An evacuation was answered 404, and its replicas went on being sent to."""
        self.assertIn("in-z1", await self._serve())
        self.assertEqual(await self._operator("Start", "z1"), 200)
        self.assertEqual(await self._serve(), {"in-z2"})
        self.assertEqual(await self._operator("Start", "z1"), 200)  # sent again
        self.assertEqual(await self._operator("Stop", "z1"), 200)
        self.assertIn("in-z1", await self._serve())

    async def test_it_is_acknowledged_within_a_second(self) -> None:
        began_s = asyncio.get_running_loop().time()
        self.assertEqual(await self._operator("Start", "z1"), 200)
        self.assertLess(asyncio.get_running_loop().time() - began_s, 1.0)

    async def test_a_service_without_another_zone_is_refused_at_once(self) -> None:
        for zone in ("z1", "z2"):
            self.assertEqual(await self._operator("Start", zone), 200)
        began_s = asyncio.get_running_loop().time()
        got = await self.fleet.request("/safe/")
        self.assertLess(asyncio.get_running_loop().time() - began_s, 0.15)
        self.assertEqual((got.status, got.headers["Heronladder-Outcome"]), (503, "not-run"))
        self.assertIn("Retry-After", got.headers)
        self.assertIn(b"service_evacuated", got.body)

    async def test_a_repeat_does_not_go_there_either(self) -> None:
        self.assertEqual(await self._operator("Start", "z1"), 200)

        async def failing(replica: Any, received: Received) -> bytes:
            self.served.append(replica.identity)
            return answer(received, "500 Internal Server Error")

        self.fleet.replicas[1].script = failing
        self.assertEqual((await self.fleet.request("/safe/")).status, 500)
        self.assertEqual(self.served, ["in-z2"])

    async def test_a_gateway_that_starts_does_not_send_there(self) -> None:
        self.assertEqual(await self._operator("Start", "z1"), 200)
        added = await self.fleet.add_gateway("front-2")
        self.served.clear()
        async with asyncio.timeout(10):
            while (await self.fleet.request_at(added.address, "/safe/")).status != 200:
                await asyncio.sleep(0.02)
        self.assertEqual(set(self.served), {"in-z2"})

    async def test_a_zone_that_is_not_there_is_named(self) -> None:
        address = self.fleet.control_address
        got = await self.fleet.call(address, "POST", "/api/Evacuations.Start/z9")
        self.assertEqual(got.status, 404)
        self.assertIn(b"z1, z2", got.body)


if __name__ == "__main__":
    unittest.main()
