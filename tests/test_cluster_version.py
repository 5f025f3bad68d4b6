"""The cluster version: when it is raised, what it prevents before, and what it refuses after."""

import asyncio
import random
import unittest
from unittest import mock

from control_group import ControlGroup
from google.protobuf.message import DecodeError
from heronladder_consensus.state_machine import StateMachine
from heronladder_control.cluster_version import Blocker, find_blockers
from heronladder_control.daemon_builds import DaemonBuilds
from heronladder_control.daemons import ROLE_ROUTER
from heronladder_control.leader_requests import RequestStatus
from heronladder_control.member import ControlMember
from heronladder_control.state import ControlState
from heronladder_runtime.cluster_versions import LATEST_VERSION, ClusterVersionError
from heronladder_runtime.errors import InvariantViolationError
from heronladder_runtime.invariants import INVARIANT_COUNTERS
from heronladder_schema.v1 import consensus_pb2, control_pb2, resources_pb2

_TIMEOUT_S = 10.0


def _versioned(version: int = LATEST_VERSION) -> bytes:
    command = control_pb2.Command()
    command.set_cluster_version.version = version
    return command.SerializeToString()


class StateTest(unittest.TestCase):
    def test_an_earlier_build_fails_with_a_clear_error(self) -> None:
        with self.assertRaisesRegex(ClusterVersionError, "start a newer build"):
            ControlState("r").apply(1, _versioned(LATEST_VERSION + 1))

    def test_a_versioned_snapshot_is_not_read_as_an_unversioned_one(self) -> None:
        state = ControlState("r")
        state.apply(1, _versioned())
        restored = ControlState("r")
        restored.restore(state.snapshot())
        self.assertEqual(restored.cluster_version, LATEST_VERSION)
        self.assertEqual(restored.snapshot(), state.snapshot())
        with self.assertRaises(DecodeError):  # as a build without cluster versions reads it
            control_pb2.StateSnapshot.FromString(state.snapshot())

    def test_the_version_never_falls(self) -> None:
        state = ControlState("r")
        state.apply(1, _versioned())
        state.apply(2, _versioned(0))
        self.assertEqual(state.cluster_version, LATEST_VERSION)

    def test_an_unreadable_entry_is_described_by_its_fields(self) -> None:
        self.addCleanup(
            INVARIANT_COUNTERS.clear
        )  # other tests of this process check that all invariants held
        unknown = bytes([0xFA, 0x7F, 0])  # field 2047, empty
        state = ControlState("r")
        self.assertEqual(state.describe(unknown), "fields [2047]")
        self.assertIn("unreadable", state.describe(b"\x00\x00"))
        self.assertIsInstance(state, StateMachine)
        with self.assertRaisesRegex(InvariantViolationError, "2047"):
            state.apply(1, unknown)

    def test_a_first_report_of_a_gone_replica_is_applied(self) -> None:
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

    async def test_a_new_group_starts_with_the_latest_version(self) -> None:
        self.assertEqual(self.leader.state.cluster_version, LATEST_VERSION)
        self.assertEqual(find_blockers(self.leader), [])

    async def test_the_second_leader_of_a_new_group_raises_the_version_at_once(
        self,
    ) -> None:
        """A hold of 5 s must not apply to a new group, or apply again after each restart."""
        self.assertEqual(self.leader.node.hard_state.formed_version, LATEST_VERSION)
        self.leader.state._cluster_version = 0
        self.leader.cluster_versions.start_term()  # a later term, with entries applied
        await self.leader.cluster_versions.run_check()
        self.assertEqual(self.leader.state.cluster_version, LATEST_VERSION)

    async def test_a_disconnected_gateway_blocks_the_version_until_it_is_gone(self) -> None:
        """Otherwise it would be refused when it reconnects, and could not serve its callers."""
        command = control_pb2.Command()
        command.register_daemon.daemon.name = "front"
        command.register_daemon.daemon.role = ROLE_ROUTER
        command.register_daemon.daemon.incarnation = "one"
        await self.leader.propose(command)
        self.leader.state._cluster_version = 0
        self.assertEqual([str(one) for one in find_blockers(self.leader)], ["daemon front: silent"])
        await self.leader.declare_gone(self.leader.state.daemons.daemons["front"])
        self.assertEqual(find_blockers(self.leader), [])

    async def test_repeated_start_times_write_no_entries_below_their_version(self) -> None:
        """Heartbeats with a start time, which an earlier version can't record, are no updates.

        Otherwise each heartbeat of each replica would append an entry.
        """
        replica = resources_pb2.Replica(
            id="a", service="s", address="10.0.0.1:80", start_ms=5, sequence=1
        )
        self.leader.state._cluster_version = 0
        blockers = [Blocker("member", "other", 0)]
        with mock.patch("heronladder_control.cluster_version.find_blockers", lambda _: blockers):
            await self.leader.fleet_service.register(replica)
            index = self.leader.node.log.last_index
            for sequence in range(2, 12):
                replica.sequence = sequence
                outcome = await self.leader.fleet_service.register(replica)
                self.assertEqual(outcome.request_status, RequestStatus.DONE)
        self.assertLessEqual(
            self.leader.node.log.last_index - index, 1
        )  # the entry for the revision in force

    async def test_an_unsupported_command_is_refused_and_not_appended(self) -> None:
        index = self.leader.node.log.last_index
        result = await self.leader.propose(control_pb2.Command())
        self.assertEqual(result.code, control_pb2.RESULT_CODE_VERSION_TOO_LOW)
        self.assertEqual(self.leader.node.log.last_index, index)

    async def test_a_member_of_an_earlier_build_does_not_join(self) -> None:
        newcomer = consensus_pb2.Member(name="old", address="127.0.0.1:1")
        reply = await self.leader.node.joiner.handle(consensus_pb2.JoinRequest(member=newcomer))
        self.assertFalse(reply.accepted)
        listed = {member.name for member in self.leader.node.membership().members}
        self.assertNotIn("old", listed)

    async def test_a_daemon_of_an_earlier_build_is_refused_with_the_reason(self) -> None:
        frame = DaemonBuilds(self.leader).refusal(control_pb2.Hello())
        assert frame is not None
        self.assertIn("start a newer build", frame.rejected)


class BlockerTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_silent_member_blocks_the_version(self) -> None:
        group = ControlGroup(3)
        await group.start()
        self.addAsyncCleanup(group.stop)
        leader = group.running[group.leader or 0].control
        assert leader is not None
        lost = random.Random(1).choice([one for one in group.running if one != group.leader])
        name = group.running[lost].settings.common.name
        await group.end_member(lost, planned=False)
        async with asyncio.timeout(_TIMEOUT_S):
            while leader.node.replication.reachable(name):
                await leader.node.changed.wait(0.1)
        leader.state._cluster_version = 0
        self.assertEqual([str(one) for one in find_blockers(leader)], [f"member {name}: silent"])


if __name__ == "__main__":
    unittest.main()
