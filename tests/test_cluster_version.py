"""The cluster version: when it is raised, what it holds back, and what can't go back after it."""

import asyncio
import random
import unittest
from unittest import mock

from control_group import ControlGroup
from google.protobuf.message import DecodeError
from heronladder_consensus.state_machine import StateMachine
from heronladder_control.cluster_version import Holdup, find_holdups
from heronladder_control.daemon_builds import DaemonBuilds
from heronladder_control.daemons import ROLE_ROUTER
from heronladder_control.leader_asks import Standing
from heronladder_control.member import ControlMember
from heronladder_control.state import ControlState
from heronladder_runtime.cluster_versions import LATEST_VERSION, ClusterVersionError
from heronladder_runtime.errors import InvariantViolationError
from heronladder_runtime.invariants import INVARIANT_COUNTERS
from heronladder_schema.v1 import consensus_pb2, control_pb2, resources_pb2

_PATIENCE_S = 10.0


def _versioned(version: int = LATEST_VERSION) -> bytes:
    command = control_pb2.Command()
    command.set_cluster_version.version = version
    return command.SerializeToString()


class StateTest(unittest.TestCase):
    def test_a_build_before_the_version_in_force_ends_with_a_line_that_says_so(self) -> None:
        with self.assertRaisesRegex(ClusterVersionError, "start a newer build"):
            ControlState("r").apply(1, _versioned(LATEST_VERSION + 1))

    def test_a_snapshot_of_a_later_version_is_not_taken_for_one_without(self) -> None:
        state = ControlState("r")
        state.apply(1, _versioned())
        restored = ControlState("r")
        restored.restore(state.snapshot())
        self.assertEqual(restored.cluster_version, LATEST_VERSION)
        self.assertEqual(restored.snapshot(), state.snapshot())
        with self.assertRaises(DecodeError):  # as a build without versions reads it
            control_pb2.StateSnapshot.FromString(state.snapshot())

    def test_the_version_never_falls(self) -> None:
        state = ControlState("r")
        state.apply(1, _versioned())
        state.apply(2, _versioned(0))
        self.assertEqual(state.cluster_version, LATEST_VERSION)

    def test_an_entry_that_cannot_be_read_is_told_by_its_fields(self) -> None:
        self.addCleanup(
            INVARIANT_COUNTERS.clear
        )  # other tests of the process ask whether all invariants held
        unknown = bytes([0xFA, 0x7F, 0])  # field 2047, empty
        state = ControlState("r")
        self.assertEqual(state.describe(unknown), "fields [2047]")
        self.assertIn("unreadable", state.describe(b"\x00\x00"))
        self.assertIsInstance(state, StateMachine)
        with self.assertRaisesRegex(InvariantViolationError, "2047"):
            state.apply(1, unknown)

    def test_a_first_report_of_a_replica_that_is_gone_ends_no_member(self) -> None:
        command = control_pb2.Command()
        command.register_replica.replica.id = "a"
        command.register_replica.replica.service = "s"
        command.register_replica.replica.gone = True
        result = ControlState("r").apply(1, command.SerializeToString())
        self.assertEqual(result.code, control_pb2.RESULT_CODE_OK)


class GroupTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.group = ControlGroup(3)
        await self.group.start()
        self.addAsyncCleanup(self.group.stop)
        member = self.group.running[self.group.leader or 0].control
        assert member is not None
        self.leader: ControlMember = member

    async def test_a_new_group_begins_with_the_latest_version(self) -> None:
        self.assertEqual(self.leader.state.cluster_version, LATEST_VERSION)
        self.assertEqual(find_holdups(self.leader), [])

    async def test_a_new_group_whose_first_leader_is_lost_at_once_waits_for_nothing_more(
        self,
    ) -> None:
        """Its next leader held the version for 5 s, and again after each process that restarted."""
        self.assertEqual(self.leader.node.hard_state.formed_version, LATEST_VERSION)
        self.leader.state._cluster_version = 0
        self.leader.cluster_versions.begin()  # of a later term, with entries applied
        await self.leader.cluster_versions.tend()
        self.assertEqual(self.leader.state.cluster_version, LATEST_VERSION)

    async def test_a_gateway_that_is_cut_off_is_waited_for_until_it_is_gone(self) -> None:
        """It would be refused once it is back, and its callers with it."""
        command = control_pb2.Command()
        command.register_daemon.daemon.name = "front"
        command.register_daemon.daemon.role = ROLE_ROUTER
        command.register_daemon.daemon.incarnation = "one"
        await self.leader.propose(command)
        self.leader.state._cluster_version = 0
        self.assertEqual([str(one) for one in find_holdups(self.leader)], ["daemon front: silent"])
        await self.leader.declare_gone(self.leader.state.daemons.daemons["front"])
        self.assertEqual(find_holdups(self.leader), [])

    async def test_heartbeats_that_tell_a_start_write_nothing_more_below_its_version(self) -> None:
        """Each was news, as the log could not hold the start: an entry a heartbeat and replica."""
        replica = resources_pb2.Replica(
            id="a", service="s", address="10.0.0.1:80", start_ms=5, sequence=1
        )
        self.leader.state._cluster_version = 0
        held_up = [Holdup("member", "other", 0)]
        with mock.patch("heronladder_control.cluster_version.find_holdups", lambda _: held_up):
            await self.leader.fleet_service.register(replica)
            index = self.leader.node.log.last_index
            for sequence in range(2, 12):
                replica.sequence = sequence
                outcome = await self.leader.fleet_service.register(replica)
                self.assertEqual(outcome.standing, Standing.DONE)
        self.assertLessEqual(self.leader.node.log.last_index - index, 1)  # what is in force

    async def test_an_unsupported_command_is_refused_and_nothing_appended(self) -> None:
        index = self.leader.node.log.last_index
        result = await self.leader.propose(control_pb2.Command())
        self.assertEqual(result.code, control_pb2.RESULT_CODE_VERSION_TOO_LOW)
        self.assertEqual(self.leader.node.log.last_index, index)

    async def test_a_machine_of_an_earlier_build_does_not_join(self) -> None:
        newcomer = consensus_pb2.Member(name="old", address="127.0.0.1:1")
        reply = await self.leader.node.joiner.answer(consensus_pb2.JoinRequest(member=newcomer))
        self.assertFalse(reply.accepted)
        listed = {member.name for member in self.leader.node.membership().members}
        self.assertNotIn("old", listed)

    async def test_a_daemon_of_an_earlier_build_is_refused_with_the_reason(self) -> None:
        frame = DaemonBuilds(self.leader).refusal(control_pb2.Hello())
        assert frame is not None
        self.assertIn("start a newer build", frame.rejected)


class HoldupTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_silent_member_keeps_the_version_from_rising(self) -> None:
        group = ControlGroup(3)
        await group.start()
        self.addAsyncCleanup(group.stop)
        leader = group.running[group.leader or 0].control
        assert leader is not None
        lost = random.Random(1).choice([one for one in group.running if one != group.leader])
        name = group.running[lost].settings.common.name
        await group.end_member(lost, planned=False)
        async with asyncio.timeout(_PATIENCE_S):
            while leader.node.replication.reachable(name):
                await leader.node.changed.wait(0.1)
        leader.state._cluster_version = 0
        self.assertEqual([str(one) for one in find_holdups(leader)], [f"member {name}: silent"])


if __name__ == "__main__":
    unittest.main()
