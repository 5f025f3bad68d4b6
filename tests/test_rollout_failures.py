"""What must hold of a roll-out while members, gateways and links are lost."""

import asyncio
import unittest

from fleet_case import FleetCase
from rollout_fleet import NEW, OLD, RolloutFleet, failing, slow

_PER_S = 60.0
_WITHIN_S = 5.0
_LONG_S = 60.0  # a loaded machine takes several times as long as a free one


class FailureTest(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = RolloutFleet(2)
        self.addAsyncCleanup(self.fleet.stop)
        await self.fleet.start()

    def _load(self, gateways: list[int] | None = None) -> asyncio.Task[None]:
        return asyncio.create_task(self.fleet.load(_PER_S, _LONG_S, gateways))

    async def _calm(self, load: asyncio.Task[None], after_s: float = 1.0) -> None:
        """Go on for a while, then have callers stop."""
        await asyncio.sleep(after_s)
        self.fleet.calm = True
        await load
        self.fleet.calm = False

    async def _kill_leader(self) -> int:
        leader = self.fleet.group.leader
        assert leader is not None
        await self.fleet.group.end_member(leader, planned=False)
        return leader

    async def _begin(self, within_s: float = _WITHIN_S) -> None:
        self.assertEqual(await self.fleet.order(within_s), 200)
        await self.fleet.add_replica("new-0", NEW)

    async def _phase(self, phase: str, within_s: float) -> None:
        """Wait until a gateway knows of a phase."""
        gateway = self.fleet.gateways[0].daemon.gateway
        assert gateway is not None
        gates = gateway.replicas.versions
        async with asyncio.timeout(within_s):
            while not gates.phase("app").endswith(phase):
                self.assertNotIn("ROLLED_BACK", gates.phase("app"))
                await asyncio.sleep(0.02)

    async def test_a_good_version_is_completed_with_nothing_at_the_old(self) -> None:
        await self._begin()
        load = self._load()
        self.assertEqual(await self.fleet.ended(_LONG_S), "completed")
        self.assertEqual(self.fleet.at_old_when_completed, 0)
        before = self.fleet.arrived[OLD]
        await self._calm(load)
        self.assertEqual(self.fleet.arrived[OLD], before)
        self.assertEqual(set(self.fleet.statuses), {200})

    async def test_one_gateways_own_verdict_does_not_end_it_for_all(self) -> None:
        """Of 30 that judge few answers each, some find a good version bad by chance."""
        load = self._load()
        await self._begin()
        await self._phase("MOVING", _LONG_S)
        gateway = self.fleet.gateways[0].daemon.gateway
        assert gateway is not None
        gateway.replicas.versions._gates["app"].stopped = "bad by chance"
        self.assertEqual(await self.fleet.ended(_LONG_S), "completed")
        await self._calm(load)
        self.assertEqual(set(self.fleet.statuses), {200})

    async def test_the_leader_is_lost_in_the_trial_of_a_bad_version(self) -> None:
        self.fleet.badness = failing(0.5)
        load = self._load()
        await self._begin()
        await asyncio.sleep(0.1)
        await self._kill_leader()
        self.assertEqual(await self.fleet.ended(_LONG_S), "rolled_back")
        await self._calm(load)
        self.assertLessEqual(self.fleet.exposed, self.fleet.bound)

    async def test_the_leader_is_lost_in_the_move(self) -> None:
        self.fleet.old_work_s = 0.3
        load = self._load()
        await self._begin()
        await self._phase("MOVING", _LONG_S)
        await self._kill_leader()
        self.assertEqual(await self.fleet.ended(_LONG_S), "completed")
        self.assertEqual(self.fleet.at_old_when_completed, 0)
        await self._calm(load)

    async def test_a_gateway_that_is_cut_off_stops_by_itself(self) -> None:
        load = self._load()
        await self._begin(20.0)
        await asyncio.sleep(0.5)
        for direction in (self.fleet.links[0].there, self.fleet.links[0].back):
            direction.stop()
        cut_s = asyncio.get_running_loop().time()
        await self._calm(load, 3.5)
        late = [at_s for at_s, name in self.fleet.arrived_s if name == "front-0"]
        self.assertLess(max(late, default=0.0) - cut_s, 1.5)
        others = [at_s for at_s, name in self.fleet.arrived_s if name == "front-1"]
        self.assertGreater(max(others) - cut_s, 1.5)
        self.assertEqual(set(self.fleet.statuses), {200})

    async def test_a_bad_version_in_the_move_is_left_with_a_gateway_cut_off(self) -> None:
        """It had said that it had nothing elsewhere, and kept sending to the bad version."""
        self.fleet.old_work_s = 0.8  # the move lasts
        load = self._load()
        await self._begin()
        await self._phase("MOVING", _LONG_S)
        for direction in (self.fleet.links[0].there, self.fleet.links[0].back):
            direction.stop()
        turned_s = asyncio.get_running_loop().time()
        self.fleet.badness = failing(0.6)
        self.assertEqual(await self.fleet.ended(_LONG_S), "rolled_back")
        await self._calm(load)
        self.assertLess(max(at_s for at_s, _ in self.fleet.arrived_s) - turned_s, 3.0)

    async def test_all_members_are_lost_after_the_acknowledgement(self) -> None:
        self.assertEqual(await self.fleet.order(30.0), 200)
        for number in list(self.fleet.group.running):
            await self.fleet.group.end_member(number, planned=False)
        for number in range(3):
            await self.fleet.group.start_member(number)
        async with asyncio.timeout(15):
            while await self.fleet.state() != "running":
                await asyncio.sleep(0.05)
        self.assertEqual(await self.fleet.order(30.0), 200)

    async def test_an_end_survives_the_loss_of_all_members(self) -> None:
        self.fleet.badness = failing(0.8)
        load = self._load()
        await self._begin()
        self.assertEqual(await self.fleet.ended(_LONG_S), "rolled_back")
        await self._calm(load)
        for number in list(self.fleet.group.running):
            await self.fleet.group.end_member(number, planned=False)
        for number in range(3):
            await self.fleet.group.start_member(number)
        async with asyncio.timeout(15):
            while await self.fleet.state() != "rolled_back":
                await asyncio.sleep(0.05)
        before = self.fleet.exposed
        await self.fleet.load(_PER_S, 1.0)
        self.assertEqual(self.fleet.exposed, before)

    async def test_an_order_is_sent_again_elsewhere_after_a_lost_acknowledgement(self) -> None:
        self.assertEqual(await self.fleet.order(20.0, member=0), 200)
        await self.fleet.add_replica("new-0", NEW)
        revisions = [self._ordered_revision(number) for number in range(3)]
        for number in range(3):
            self.assertEqual(await self.fleet.order(20.0, member=number), 200)
        self.assertEqual([self._ordered_revision(number) for number in range(3)], revisions)

    def _ordered_revision(self, number: int) -> int:
        control = self.fleet.group.running[number].control
        assert control is not None
        record = control.state.rollouts.get("app")
        return record.ordered_revision if record is not None else 0

    async def test_of_two_orders_that_race_one_is_taken(self) -> None:
        statuses = await asyncio.gather(
            self.fleet.order(20.0, NEW, 0), self.fleet.order(20.0, "v3", 1)
        )
        self.assertEqual(sorted(statuses), [200, 409])
        self.assertEqual(await self.fleet.state(), "running")

    async def test_a_slow_version_is_left_though_one_gateway_only_sees_it(self) -> None:
        self.fleet.badness = slow(6.0)
        load = self._load(gateways=[1])
        await self._begin()
        self.assertEqual(await self.fleet.ended(_LONG_S), "rolled_back")
        await self._calm(load)
        self.assertLessEqual(self.fleet.exposed, self.fleet.bound)

    async def test_a_version_that_nobody_ordered_gets_a_trials_share(self) -> None:
        load = self._load()
        await self.fleet.add_replica("new-0", NEW)
        await self._calm(load, 2.0)
        self.assertLessEqual(self.fleet.exposed, 0.5 * self.fleet.bound)
        self.assertEqual(set(self.fleet.statuses), {200})
        self.assertEqual(await self.fleet.state(), "404")


if __name__ == "__main__":
    unittest.main()
