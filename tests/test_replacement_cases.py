"""Each way to replace a control machine, in groups of three and five, and then lost disks."""

import asyncio
import unittest

from heronladder_consensus.leaving import LeaveOutcome
from heronladder_consensus.members import voters
from heronladder_consensus.timing import ConsensusTiming
from replaced_group import CATCH_UP_S
from support import Group, run_virtual

_LEAVE_WITHIN_S = 4.0


async def _start_group(losses: int) -> Group:
    group = Group()
    group.timing = ConsensusTiming(0.8, 1000, losses=losses)
    await group.start_all()
    for number in range(group.timing.group_size - len(group.names)):
        await _join(group, f"x{number}")
    await asyncio.sleep(CATCH_UP_S)
    return group


async def _join(group: Group, name: str) -> None:
    group.contacts = sorted({*group.nodes, name})
    await group.start(name, joining=name not in group.names)


async def _choose(group: Group, *, leader: bool) -> str:
    led_by = (await group.leader()).name
    return led_by if leader else next(name for name in sorted(group.nodes) if name != led_by)


class ReplacementCasesTest(unittest.TestCase):
    async def _lose_disks_and_check(self, group: Group, losses: int) -> None:
        leader = await group.leader()
        await leader.propose(b"acknowledged")
        lost = [leader.name, *(name for name in sorted(group.nodes) if name != leader.name)]
        for name in lost[:losses]:
            await group.crash(name, wipe=True)
        await asyncio.sleep(1.0)
        for name in lost[:losses]:
            await _join(group, name)
        async with asyncio.timeout(12.0):
            await (await group.leader()).propose(b"afterwards")
        await asyncio.sleep(CATCH_UP_S)
        for name in group.nodes:
            self.assertIn(b"acknowledged", group.machines[name].commands, name)
        listed = {member.name for member in voters((await group.leader()).membership())}
        self.assertEqual(listed, set(group.nodes))
        await group.stop()

    def test_killed_for_good(self) -> None:
        async def scenario(losses: int, *, leader: bool) -> None:
            group = await _start_group(losses)
            await group.crash(await _choose(group, leader=leader))
            await asyncio.sleep(1.0)
            await _join(group, "new")
            await asyncio.sleep(CATCH_UP_S)
            await self._lose_disks_and_check(group, losses)

        for losses in (1, 2):
            for leader in (False, True):
                with self.subTest(losses=losses, leader=leader):
                    run_virtual(scenario(losses, leader=leader))

    def test_two_planned_in_a_row(self) -> None:
        async def scenario(losses: int, *, leader: bool) -> None:
            group = await _start_group(losses)
            for new in ("new0", "new1"):
                await _join(group, new)
                await asyncio.sleep(CATCH_UP_S)
                old = await _choose(group, leader=leader)
                outcome = await group.nodes[old].leaver.run(_LEAVE_WITHIN_S)
                self.assertIs(outcome, LeaveOutcome.REMOVED)
                await group.crash(old)
            await self._lose_disks_and_check(group, losses)

        for losses in (1, 2):
            for leader in (False, True):
                with self.subTest(losses=losses, leader=leader):
                    run_virtual(scenario(losses, leader=leader))


if __name__ == "__main__":
    unittest.main()
