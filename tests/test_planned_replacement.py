"""A control machine is replaced as planned, and then as many disks are lost as are tolerated."""

import asyncio
import json
import logging
import shutil
import tempfile
import unittest
from pathlib import Path
from unittest import mock

import aiohttp
from heronladder_consensus.leaving import LeaveOutcome
from heronladder_consensus.members import LeaveDecision, decide_leave, find_member, voters
from heronladder_consensus.node import ConsensusNode
from heronladder_consensus.service import ConsensusService
from heronladder_consensus.timing import ConsensusTiming
from heronladder_emulator.network import Partition
from heronladder_schema.v1 import consensus_pb2
from process_fleet import ADMIN_PORT, CONTROL, CONTROL_PORT, Machine
from replaced_group import play
from support import Group, run_virtual

_BROKEN_SEEDS = (8, 12, 27, 30, 31)  # without a leave: no leader for good
_RESTARTED_LEADER_SEEDS = (77, 173, 231, 233, 263)  # silence counted anew by each leader: the same
_RESTARTED_FIRST_SEEDS = (11, 16, 26, 31, 59)  # leaves of known leaders only: the same
_LEAVE_WITHIN_S = 4.0
_READ_WITHIN_S = 12.0


def _membership(voting: int, learning: int = 0) -> consensus_pb2.Membership:
    """Return a membership of voters v0, v1, ... and learners l0, l1, ..."""
    names = [(f"v{number}", True) for number in range(voting)]
    names += [(f"l{number}", False) for number in range(learning)]
    return consensus_pb2.Membership(
        members=[consensus_pb2.Member(name=name, voter=voter) for name, voter in names]
    )


async def _start_group(losses: int) -> Group:
    """Return a group of its full size: three initial members and those that join them."""
    group = Group()
    group.timing = ConsensusTiming(0.8, 1000, losses=losses)
    await group.start_all()
    for number in range(group.timing.group_size - len(group.names)):
        await group.start(f"x{number}", joining=True)
    await _wait_for_voters(group, group.timing.group_size)
    return group


async def _wait_for_voters(group: Group, count: int) -> ConsensusNode[int]:
    for _ in range(100):
        leader = await group.leader()
        if len(voters(leader.membership())) == count:
            return leader
        await asyncio.sleep(0.1)
    raise AssertionError(f"not {count} voters within 10 s: {leader.membership()}")


async def _join_with_late_replies(group: Group, leader: ConsensusNode[int], late_s: float) -> None:
    """Have a member join whose first replies to the leader are late; return once it is listed."""
    await group.start("new", joining=True)
    service = group.network.endpoints["new"].servers["consensus"]
    answer = service.AppendEntries
    due_s = float("inf")

    async def answer_late(request: consensus_pb2.AppendRequest, context: object) -> object:
        if asyncio.get_running_loop().time() < due_s:
            raise OSError("not yet")
        return await answer(request, context)

    service.AppendEntries = answer_late
    async with asyncio.timeout(1.0):
        while find_member(leader.membership(), "new") is None:
            await asyncio.sleep(0.01)
    due_s = asyncio.get_running_loop().time() + late_s


class DecisionTest(unittest.TestCase):
    def test_a_member_leaves_only_a_group_that_has_its_replacement(self) -> None:
        cases = [
            (_membership(5), "v0", 5, LeaveDecision.KEEP),
            (_membership(6), "v0", 5, LeaveDecision.REMOVE),
            (_membership(7), "v0", 5, LeaveDecision.REMOVE),
            (_membership(5, 1), "v0", 5, LeaveDecision.WAIT),
            (_membership(4, 1), "v0", 5, LeaveDecision.KEEP),
            (_membership(5, 1), "l0", 5, LeaveDecision.REMOVE),
            (_membership(4, 1), "l0", 5, LeaveDecision.KEEP),
            (_membership(4), "v0", 3, LeaveDecision.REMOVE),
            (_membership(3), "v0", 3, LeaveDecision.KEEP),
            (_membership(6), "v0", 0, LeaveDecision.KEEP),
        ]
        for membership, name, size, decision in cases:
            with self.subTest(membership=str(membership), name=name, size=size):
                self.assertIs(decide_leave(membership, name, size), decision)


class LostDisksTest(unittest.TestCase):
    def test_disks_lost_right_after_a_planned_replacement_end_no_group(self) -> None:
        """Guards against a stopped voter that counts for the quorum beside its replacement."""

        async def scenario(losses: int, *, replaces_leader: bool) -> None:
            group = await _start_group(losses)
            await group.start("new", joining=True)
            leader = await _wait_for_voters(group, group.timing.group_size + 1)
            others = [name for name in sorted(group.nodes) if name not in (leader.name, "new")]
            old = leader.name if replaces_leader else others[0]
            await group.nodes[old].leaver.run(_LEAVE_WITHIN_S)
            await group.crash(old)
            leader = await group.leader()
            await leader.propose(b"acknowledged")
            lost = [leader.name, *(name for name in sorted(group.nodes) if name != leader.name)]
            for name in lost[:losses]:
                await group.crash(name, wipe=True)
            await asyncio.sleep(1.0)
            for name in lost[:losses]:
                await group.start(name, joining=name not in group.names)
            await (await group.leader()).propose(b"afterwards")
            await asyncio.sleep(3.0)
            for name in group.nodes:
                self.assertEqual(group.machines[name].commands[0], b"acknowledged", name)
            await group.stop()

        for losses in (1, 2):
            for replaces_leader in (False, True):
                with self.subTest(losses=losses, replaces_leader=replaces_leader):
                    run_virtual(scenario(losses, replaces_leader=replaces_leader))

    def test_replaced_members_and_lost_disks_in_series(self) -> None:
        """Guards against the same with restarts, lost leaders and members that come back."""
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        for seed in _BROKEN_SEEDS:
            with self.subTest(seed=seed):
                run = play(seed)
                self.assertEqual(run.broken, [])
                self.assertGreater(run.kinds["planned"] + run.kinds["killed"], 0)

    def test_killed_members_and_restarted_leaders_in_series(self) -> None:
        """Guards against a silence that each new leader counts from its own election."""
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        for seed in _RESTARTED_LEADER_SEEDS:
            with self.subTest(seed=seed):
                run = play(seed)
                self.assertEqual(run.broken, [])
                self.assertGreater(run.kinds["leader restarts after a kill"], 0)

    def test_members_stopped_for_good_just_after_a_restart(self) -> None:
        """Guards against a stop of a process that does not know the leader yet."""
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        for seed in _RESTARTED_FIRST_SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(play(seed, restarts_first=True).broken, [])


class SilenceTest(unittest.TestCase):
    _SILENT_S = 1.6  # under the silence after which a surplus voter is removed
    _FOUND_SILENT_S = 1.2  # an election timeout, and some heartbeats

    def test_a_new_leader_goes_on_counting_the_silence_of_a_lost_member(self) -> None:
        async def scenario(*, restarts: bool) -> None:
            group = await _start_group(losses=2)
            await group.start("new", joining=True)
            leader = await _wait_for_voters(group, 6)
            lost = next(name for name in ("x0", "x1") if name != leader.name)
            await group.crash(lost)
            await asyncio.sleep(self._SILENT_S)
            await group.crash(leader.name)
            if restarts:
                await group.start(leader.name, joining=leader.name not in group.names)
            new_leader = await group.leader()
            await asyncio.sleep(self._FOUND_SILENT_S)
            self.assertIsNone(find_member(new_leader.membership(), lost))
            await group.stop()

        for restarts in (False, True):
            with self.subTest(restarts=restarts):
                run_virtual(scenario(restarts=restarts))

    def test_a_member_that_only_the_leader_before_did_not_hear_stays(self) -> None:
        async def scenario() -> None:
            group = await _start_group(losses=2)
            await group.start("new", joining=True)
            leader = await _wait_for_voters(group, 6)
            cut_off = next(name for name in ("x0", "x1") if name != leader.name)
            inside, outside = frozenset({cut_off}), frozenset({leader.name})
            cuts = [Partition(inside, outside), Partition(outside, inside)]
            for cut in cuts:
                group.network.cut(cut)
            await asyncio.sleep(self._SILENT_S)
            await group.crash(leader.name)
            new_leader = await group.leader()
            await asyncio.sleep(self._FOUND_SILENT_S)
            self.assertIsNotNone(find_member(new_leader.membership(), cut_off))
            await group.stop()

        run_virtual(scenario())

    def test_a_member_that_joins_a_group_led_for_long_is_not_taken_for_silent(self) -> None:
        """Guards against a silence that is counted from before the member was added."""

        async def scenario() -> None:
            group = await _start_group(losses=1)
            leader = await group.leader()
            await asyncio.sleep(100.0)
            with mock.patch.object(leader.event_log, "warning") as warning:
                await _join_with_late_replies(group, leader, 0.5)
                await _wait_for_voters(group, 4)
            self.assertNotIn("member_removed", [call.args[0] for call in warning.call_args_list])
            await group.stop()

        run_virtual(scenario())

    def test_a_learner_that_is_gone_delays_no_stop_and_is_removed(self) -> None:
        async def scenario() -> None:
            group = await _start_group(losses=1)
            leader = await group.leader()
            with mock.patch.object(leader.replication, "caught_up", return_value=False):
                await group.start("new", joining=True)
                await asyncio.sleep(1.0)
                await group.crash("new")
                await asyncio.sleep(2.0)
            await asyncio.sleep(1.0)
            old = next(name for name in group.names if name != leader.name)
            started_s = asyncio.get_running_loop().time()
            outcome = await group.nodes[old].leaver.run(_LEAVE_WITHIN_S)
            self.assertIs(outcome, LeaveOutcome.KEPT)
            self.assertLess(asyncio.get_running_loop().time() - started_s, 0.1)
            self.assertIsNotNone(find_member(leader.membership(), "new"))
            await asyncio.sleep(62.0)
            self.assertIsNone(find_member(leader.membership(), "new"))
            await group.stop()

        run_virtual(scenario())


class LeaveTest(unittest.TestCase):
    def test_a_restart_in_a_group_of_its_size_stays_listed(self) -> None:
        async def scenario() -> None:
            group = await _start_group(losses=2)
            for name in sorted(group.nodes):
                started_s = asyncio.get_running_loop().time()
                outcome = await group.nodes[name].leaver.run(_LEAVE_WITHIN_S)
                self.assertIs(outcome, LeaveOutcome.KEPT)
                self.assertLess(asyncio.get_running_loop().time() - started_s, 0.1)
            self.assertEqual(len(voters((await group.leader()).membership())), 5)
            await group.stop()

        run_virtual(scenario())

    def test_two_that_stop_at_once_leave_a_whole_group(self) -> None:
        async def scenario() -> None:
            group = await _start_group(losses=2)
            await group.start("new", joining=True)
            await _wait_for_voters(group, 6)
            stopping = (group.nodes["x0"], group.nodes["x1"])
            outcomes = await asyncio.gather(
                *(node.leaver.run(_LEAVE_WITHIN_S) for node in stopping)
            )
            self.assertEqual(set(outcomes), {LeaveOutcome.REMOVED, LeaveOutcome.KEPT})
            self.assertEqual(len(voters((await group.leader()).membership())), 5)
            await group.stop()

        run_virtual(scenario())

    def test_of_two_that_stop_at_once_the_one_that_stays_away_is_removed(self) -> None:
        """Guards against a restart that leaves in place of the member that is replaced."""

        async def scenario() -> None:
            group = await _start_group(losses=1)
            await group.start("new", joining=True)
            leader = await _wait_for_voters(group, 4)
            restarted, replaced = (name for name in group.names if name != leader.name)
            outcome = await group.nodes[restarted].leaver.run(_LEAVE_WITHIN_S)
            self.assertIs(outcome, LeaveOutcome.REMOVED)
            await group.crash(restarted)
            leaving = asyncio.ensure_future(group.nodes[replaced].leaver.run(_LEAVE_WITHIN_S))
            await asyncio.sleep(0.4)
            await group.start(restarted)
            self.assertIs(await leaving, LeaveOutcome.REMOVED)
            await group.crash(replaced)
            await group.crash("new", wipe=True)
            await (await group.leader([leader.name, restarted])).propose(b"afterwards")
            await group.stop()

        run_virtual(scenario())

    def test_the_same_if_the_leader_is_lost_between_the_two(self) -> None:
        """Guards against a new leader that does not know of the leave before its term."""

        async def scenario() -> None:
            group = await _start_group(losses=1)
            await group.start("new", joining=True)
            leader = await _wait_for_voters(group, 4)
            restarted, replaced = (name for name in group.names if name != leader.name)
            await group.nodes[restarted].leaver.run(_LEAVE_WITHIN_S)
            await group.crash(restarted)
            await group.crash(leader.name)
            leaving = asyncio.ensure_future(group.nodes[replaced].leaver.run(_LEAVE_WITHIN_S))
            await asyncio.sleep(1.8)
            await group.start(restarted)
            self.assertIs(await leaving, LeaveOutcome.REMOVED)
            await group.stop()

        run_virtual(scenario())

    def test_the_same_if_the_other_was_removed_for_its_silence(self) -> None:
        """Guards against a paused member that is taken for the one that was replaced."""

        async def scenario() -> None:
            group = await _start_group(losses=1)
            await group.start("new", joining=True)
            leader = await _wait_for_voters(group, 4)
            paused, replaced = (name for name in group.names if name != leader.name)
            cuts = group.isolate([paused])
            await _wait_for_voters(group, 3)
            self.assertIsNone(find_member(leader.membership(), paused))
            leaving = asyncio.ensure_future(group.nodes[replaced].leaver.run(_LEAVE_WITHIN_S))
            await asyncio.sleep(0.4)
            group.heal(cuts)
            self.assertIs(await leaving, LeaveOutcome.REMOVED)
            await group.stop()

        run_virtual(scenario())

    def test_a_leave_waits_for_a_learner_that_was_added_just_now(self) -> None:
        """Guards against a learner that is taken for lost before it could reply."""

        async def scenario() -> None:
            group = await _start_group(losses=1)
            leader = await group.leader()
            old = next(name for name in group.names if name != leader.name)
            await asyncio.sleep(10.0)
            await _join_with_late_replies(group, leader, 0.5)
            outcome = await group.nodes[old].leaver.run(_LEAVE_WITHIN_S)
            self.assertIs(outcome, LeaveOutcome.REMOVED)
            await group.stop()

        run_virtual(scenario())

    def test_a_leave_waits_until_the_replacement_votes(self) -> None:
        async def scenario() -> None:
            group = await _start_group(losses=1)
            leader = await group.leader()
            old = next(name for name in group.names if name != leader.name)
            with mock.patch.object(leader.replication, "caught_up", return_value=False):
                await group.start("new", joining=True)
                await asyncio.sleep(1.0)
                leaving = asyncio.ensure_future(group.nodes[old].leaver.run(_LEAVE_WITHIN_S))
                await asyncio.sleep(1.0)
                self.assertFalse(leaving.done())
            self.assertIs(await leaving, LeaveOutcome.REMOVED)
            listed = {member.name for member in voters(leader.membership())}
            self.assertEqual(listed, {*group.names, "new"} - {old})
            await group.stop()

        run_virtual(scenario())

    def test_a_member_that_left_does_not_join_again_before_it_ends(self) -> None:
        async def scenario() -> None:
            group = await _start_group(losses=1)
            await group.start("new", joining=True)
            leader = await _wait_for_voters(group, 4)
            old = next(name for name in group.names if name != leader.name)
            await group.nodes[old].leaver.run(_LEAVE_WITHIN_S)
            await asyncio.sleep(10.0)
            self.assertIsNone(find_member((await group.leader()).membership(), old))
            await group.crash(old)
            await group.start(old)  # it starts again at its address, on its folder
            await _wait_for_voters(group, 4)
            await group.stop()

        run_virtual(scenario())

    def test_a_stop_without_a_quorum_is_bounded(self) -> None:
        async def scenario() -> None:
            group = await _start_group(losses=1)
            await group.start("new", joining=True)
            await _wait_for_voters(group, 4)
            for name in ("m1", "m2"):
                await group.crash(name)
            started_s = asyncio.get_running_loop().time()
            self.assertIs(await group.nodes["m0"].leaver.run(2.0), LeaveOutcome.UNKNOWN)
            self.assertLess(asyncio.get_running_loop().time() - started_s, 2.5)
            await group.stop()

        run_virtual(scenario())

    def test_a_leader_that_does_not_know_the_call_delays_no_stop(self) -> None:
        """Builds before the call remove silent members only."""

        async def scenario() -> None:
            group = await _start_group(losses=1)
            await group.start("new", joining=True)
            leader = await _wait_for_voters(group, 4)
            old = next(name for name in group.names if name != leader.name)
            started_s = asyncio.get_running_loop().time()
            with (
                mock.patch.object(ConsensusService, "Leave", side_effect=OSError("unimplemented")),
                mock.patch("heronladder_consensus.leaving.is_unimplemented", return_value=True),
            ):
                outcome = await group.nodes[old].leaver.run(_LEAVE_WITHIN_S)
            self.assertIs(outcome, LeaveOutcome.KEPT)
            self.assertLess(asyncio.get_running_loop().time() - started_s, 0.1)
            await group.crash(old)
            await _wait_for_voters(group, 3)  # after its silence
            await group.stop()

        run_virtual(scenario())


class RealProgramsTest(unittest.IsolatedAsyncioTestCase):
    """Three machines, one loss tolerated, over the programs and their SIGTERM."""

    _NET = "127.94.7"

    async def asyncSetUp(self) -> None:
        self.folder = Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder, ignore_errors=True)
        self.session = aiohttp.ClientSession()
        self.addAsyncCleanup(self.session.close)
        self.seeds = [f"{self._NET}.{number}" for number in (1, 2, 3)]
        self.machines = [self._machine(address) for address in self.seeds]

    def _machine(self, address: str) -> Machine:
        machine = Machine(CONTROL, address, f"c{address[-1]}", self.folder, self.seeds)
        self.addCleanup(machine.kill)
        return machine

    async def _ask(self, machine: Machine, method: str, path: str, body: object = None) -> int:
        """Return the status of an answer, 0 for none; keep the version that it names."""
        url = f"http://{machine.address}:{CONTROL_PORT}{path}"
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            async with self.session.request(method, url, json=body, timeout=timeout) as got:
                if got.status == 200:
                    self.version = json.loads(await got.read()).get("version")
                return got.status
        except (aiohttp.ClientError, TimeoutError, OSError):
            return 0

    async def _apply(self, version: int) -> Machine:
        document = {"version": version, "routes": [], "services": []}
        for _ in range(100):
            for machine in self.machines:
                if await self._ask(machine, "POST", "/api/Config.Replace", document) == 200:
                    return machine
            await asyncio.sleep(0.1)
        self.fail(f"version {version} was not acknowledged")

    async def _wait_for_metric(self, machine: Machine, line: str) -> None:
        url = f"http://{machine.address}:{ADMIN_PORT}/metrics"
        for _ in range(100):
            try:
                async with self.session.get(url) as got:
                    if line in (await got.text()).splitlines():
                        return
            except (aiohttp.ClientError, OSError):
                pass
            await asyncio.sleep(0.1)
        self.fail(f"{machine.name} does not show {line}")

    async def test_a_machine_stopped_for_good_while_its_program_is_being_loaded(self) -> None:
        """Guards against a process that ends in its start without leaving the group."""
        for machine in self.machines:
            machine.start()
        await self._apply(1)
        new = self._machine(f"{self._NET}.4")
        new.start()
        await self._wait_for_metric(new, "heronladder_may_vote 1.0")
        old = self.machines[-1]
        old.kill()
        old.start()
        while not old.handles_sigterm():
            await asyncio.sleep(0.001)
        await old.stop()
        self.assertIn("outcome=removed", old.output())
        self.assertEqual(old.faults, [])

    async def test_a_disk_lost_right_after_a_planned_replacement(self) -> None:
        """Guards against SIGTERM that leaves a group with one voter too many."""
        for machine in self.machines:
            machine.start()
        await self._apply(1)
        new = self._machine(f"{self._NET}.4")
        new.start()
        await self._wait_for_metric(new, "heronladder_may_vote 1.0")
        old = self.machines[-1]
        await old.stop()
        self.machines[-1] = new
        self.assertIn("outcome=removed", old.output())
        giver = await self._apply(2)
        giver.kill()
        shutil.rmtree(giver.data)
        await asyncio.sleep(0.5)
        giver.start()
        self.version = None
        async with asyncio.timeout(_READ_WITHIN_S):
            while await self._ask(new, "GET", "/api/Config.Describe") != 200:
                await asyncio.sleep(0.1)
        self.assertEqual(self.version, 2)
        self.assertEqual(old.faults, [])


if __name__ == "__main__":
    unittest.main()
