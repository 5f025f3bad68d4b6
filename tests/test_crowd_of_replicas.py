"""Tests of thousands of simultaneous registrations, beside gateways and operators."""

import asyncio
import tempfile
import time
import unittest
from pathlib import Path
from unittest import mock

from control_group import ControlGroup
from heronladder_consensus.errors import LeadershipLostError, NotLeaderError
from heronladder_consensus.storage import LogStorage
from heronladder_control.leader_requests import FleetOutcome, RequestStatus
from heronladder_control.member import ControlMember
from heronladder_control.results import success
from heronladder_control.returning_replicas import RETURNS_AFTER_S
from heronladder_control.state import ControlState
from heronladder_runtime.disk import FolderDisk
from heronladder_schema.v1 import consensus_pb2, control_pb2, resources_pb2
from platform_stand_ins import answer, configuration, start_fleet

_FEW = 500
_MANY = 4_000
_MAX_COST_RATIO = 4.0  # limit with 8 times as many replicas; a cost linear in their number gives 8


def _replica(number: int, address: str = "") -> resources_pb2.Replica:
    return resources_pb2.Replica(
        id=f"replica-{number}",
        service="s",
        address=address or f"10.0.{number // 250}.{number % 250}:80",
        zone="z",
        slots=4,
    )


def _register(state: ControlState, number: int, address: str = "") -> None:
    command = control_pb2.Command()
    command.register_replica.replica.CopyFrom(_replica(number, address))
    state.apply(state.applied_index + 1, command.SerializeToString())


def _registrations(page: bytes) -> list[bytes]:
    return [line for line in page.splitlines() if b"registrations_total" in line]


async def _register_all(member: ControlMember, count: int) -> list[FleetOutcome]:
    asked = (member.fleet_service.register(_replica(number)) for number in range(count))
    return await asyncio.gather(*asked)


class CostTest(unittest.TestCase):
    def test_the_cost_of_a_registration_is_independent_of_their_number(self) -> None:
        """A registration must not scan all replicas and events.

        Otherwise 3,000 registrations keep the leader busy for seconds, and also each member that
        reads its log at a start.
        """
        state = ControlState("r")
        took_s = []
        for start, end in ((0, _FEW), (_MANY - _FEW, _MANY)):
            for number in range(state.applied_index, start):
                _register(state, number)
            began_s = time.process_time()
            for number in range(start, end):
                _register(state, number)
            took_s.append(time.process_time() - began_s)
        self.assertLess(took_s[1], _MAX_COST_RATIO * took_s[0])


class SnapshotTest(unittest.TestCase):
    def test_addresses_and_events_are_kept_by_a_snapshot(self) -> None:
        state = ControlState("r")
        for number in range(20):
            _register(state, number)
        again = ControlState("r")
        again.restore(state.snapshot())
        for one in (state, again):
            _register(one, 99, address="10.0.0.7:80")  # address of replica-7
        self.assertEqual(state.snapshot(), again.snapshot())
        self.assertTrue(again.fleet.is_replaced(resources_pb2.Replica(id="replica-7")))
        events = again.resources.events_after(19)
        assert events is not None
        self.assertEqual(
            [event.name for event in events], ["replica-19", "replica-7", "replica-99"]
        )


class BatchTest(unittest.IsolatedAsyncioTestCase):
    async def test_simultaneous_registrations_share_few_log_entries(self) -> None:
        """With an entry for each, 3,000 registrations and 300 gateways cause 900,000 frames."""
        group = ControlGroup(1)
        await group.start()
        self.addAsyncCleanup(group.stop)
        member = group.running[0].control
        assert member is not None
        before = member.node.log.last_index
        outcomes = await _register_all(member, 400)
        self.assertEqual({outcome.request_status for outcome in outcomes}, {RequestStatus.DONE})
        self.assertEqual(len(member.state.resources.resources["replica"]), 400)
        self.assertLess(member.node.log.last_index - before, 20)

    async def test_a_registration_that_is_known_when_admitted_writes_nothing(self) -> None:
        """After a start replicas register before the log is read; the log holds them already."""
        group = ControlGroup(1)
        await group.start()
        self.addAsyncCleanup(group.stop)
        member = group.running[0].control
        assert member is not None
        await _register_all(member, 3)
        written = member.state.resources.resources["replica"]["replica-1"].metadata.revision
        request = control_pb2.CarryRequest()
        request.command.register_replica.replica.CopyFrom(_replica(1))
        request.command.register_replica.replica.sequence = 9
        before = member.metrics.page()
        reply = await member.fleet_service.carry(request)
        self.assertEqual(reply.result.code, control_pb2.RESULT_CODE_OK)
        self.assertEqual(_registrations(member.metrics.page()), _registrations(before))
        record = member.state.resources.resources["replica"]["replica-1"]
        self.assertEqual(record.metadata.revision, written)

    async def test_an_acknowledged_leave_among_many_registrations_holds_at_the_gateways(
        self,
    ) -> None:
        fleet = await start_fleet(configuration(1))
        self.addAsyncCleanup(fleet.stop)

        async def script(_replica: object, received: object) -> bytes:
            return answer(received)  # type: ignore[arg-type]

        await fleet.add_replica("leaves", script)
        asyncio.get_running_loop().set_debug(False)
        member = fleet.control.control
        assert member is not None
        callers = asyncio.create_task(_register_all(member, 400))
        await asyncio.sleep(0)
        began_s = time.monotonic()
        reply = await fleet.call(fleet.control_address, "POST", "/api/Replicas.Deregister/leaves")
        self.assertEqual(reply.status, 200)
        self.assertLess(time.monotonic() - began_s, 1.0)
        gateway = fleet.gateway.gateway
        assert gateway is not None
        known = {one.id: one.gone for one in gateway.link.configuration.replicas()}
        self.assertTrue(known["leaves"])
        self.assertEqual(
            {outcome.request_status for outcome in await callers}, {RequestStatus.DONE}
        )

    async def test_a_truncated_entry_of_many_registrations_is_complete_or_missing(self) -> None:
        command = control_pb2.Command()
        for number in range(12):
            command.register_replicas.orders.add().replica.CopyFrom(_replica(number))
        entry = consensus_pb2.LogEntry(index=1, term=1, command=command.SerializeToString())
        with tempfile.TemporaryDirectory() as folder:
            storage = LogStorage(FolderDisk(Path(folder)))
            await storage.append([entry])
            storage.close()
            file = next(Path(folder).iterdir())
            complete = file.read_bytes()
            for size in range(len(complete) + 1):
                file.write_bytes(complete[:size])
                kept = LogStorage(FolderDisk(Path(folder))).load().entries
                state = ControlState("r")
                for one in kept:
                    state.apply(one.index, one.command)
                known = len(state.resources.resources["replica"])
                self.assertEqual(known, 12 if size == len(complete) else 0, f"{size} bytes")


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """Many registrations at a member that is not the leader."""

    async def asyncSetUp(self) -> None:
        self.group = ControlGroup(3)
        await self.group.start()
        self.addAsyncCleanup(self.group.stop)
        asyncio.get_running_loop().set_debug(False)
        leader = self.group.leader
        assert leader is not None
        self.leader = self._member(leader)
        self.follower = self._member((leader + 1) % 3)

    def _member(self, number: int) -> ControlMember:
        member = self.group.running[number].control
        assert member is not None
        return member

    async def test_many_registrations_are_forwarded_in_few_calls_with_own_results(self) -> None:
        """With a call for each, 1,000 registrations take the leader a second of processor time."""
        calls = 0
        carry = self.leader.fleet_service.carry

        async def counted(request: control_pb2.CarryRequest) -> control_pb2.CarryReply:
            nonlocal calls
            calls += 1
            return await carry(request)

        with mock.patch.object(self.leader.fleet_service, "carry", counted):
            outcomes = await _register_all(self.follower, 300)
        self.assertEqual({outcome.request_status for outcome in outcomes}, {RequestStatus.DONE})
        self.assertLess(calls, 30)
        revisions = [outcome.result.revision for outcome in outcomes]
        self.assertTrue(all(revisions))

    async def test_a_failed_order_does_not_fail_others_of_its_batch(self) -> None:
        """The result of one refused order must not be returned for the up to 511 others."""
        batches = self.leader.fleet_service._batches
        propose = batches.propose

        async def refuse_some(order: control_pb2.RegisterReplica) -> control_pb2.CommandResult:
            if order.replica.id == "replica-7":
                raise LeadershipLostError("too many wait", step="register_replica")
            if order.replica.id == "replica-8":
                raise NotLeaderError("not the leader", step="register_replica")
            return await propose(order)

        with mock.patch.object(batches, "propose", refuse_some):
            outcomes = await _register_all(self.follower, 40)
        unclear = [
            number
            for number, outcome in enumerate(outcomes)
            if outcome.request_status is RequestStatus.UNCLEAR
        ]
        self.assertEqual(unclear, [7, 8])
        done = [outcome for outcome in outcomes if outcome.request_status is RequestStatus.DONE]
        self.assertEqual(len(done), 38)

    async def test_a_reply_that_lacks_results_acknowledges_no_registration(self) -> None:
        """Such a reply must not be returned for each registration."""

        async def truncated(_request: control_pb2.CarryRequest) -> control_pb2.CarryReply:
            reply = control_pb2.CarryReply(result=success())
            reply.result.each.extend([success()] * 3)
            return reply

        with mock.patch.object(self.leader.fleet_service, "carry", truncated):
            outcomes = await _register_all(self.follower, 40)
        statuses = {outcome.request_status for outcome in outcomes}
        self.assertEqual(statuses, {RequestStatus.UNCLEAR})

    async def test_an_unresponsive_leader_is_logged_once_and_counted(self) -> None:
        async def breaks(_request: control_pb2.CarryRequest) -> control_pb2.CarryReply:
            raise ConnectionError("broken")

        with (
            mock.patch.object(self.leader.fleet_service, "carry", breaks),
            self.assertLogs("heronladder", "WARNING") as logs,
        ):
            outcomes = await _register_all(self.follower, 5)
        self.assertEqual({outcome.request_status for outcome in outcomes}, {RequestStatus.UNCLEAR})
        lines = [line for line in logs.output if "event=registrations_not_passed_on" in line]
        self.assertEqual(len(lines), 1, lines)
        self.assertIn(b"registration_calls_failed", self.follower.metrics.page())

    async def test_a_replica_presumed_replaced_returns_through_a_follower(
        self,
    ) -> None:
        """Only the leader decides on late heartbeats, also on those that members forward."""
        service = self.follower.fleet_service
        alive, ghost = _replica(1), _replica(2, address=_replica(1).address)
        await service.register(alive)
        await service.register(ghost)
        async with asyncio.timeout(RETURNS_AFTER_S + 6.0):
            while self.leader.state.fleet.is_replaced(alive) or not alive.sequence:
                alive.sequence += 1
                await service.register(alive)
                await asyncio.sleep(0.3)
        self.assertTrue(self.leader.state.fleet.is_replaced(ghost))


class NoLeaderTest(unittest.IsolatedAsyncioTestCase):
    """Many registrations at a member that knows no leader."""

    async def asyncSetUp(self) -> None:
        self.group = ControlGroup(3)
        await self.group.start_member(0)
        self.addAsyncCleanup(self.group.stop)
        member = self.group.running[0].control
        assert member is not None
        self.member = member

    async def test_many_callers_that_wait_for_a_leader_do_not_block_the_event_loop(self) -> None:
        """Waiting callers must not poll for a leader.

        If each polls 20 times per second, votes come too late and the group is without a leader
        for longer.
        """
        asyncio.get_running_loop().set_debug(False)
        callers = asyncio.create_task(_register_all(self.member, 3_000))
        began_s = time.monotonic()
        while not callers.done():
            await asyncio.sleep(0.01)
        outcomes = await callers
        self.assertEqual({outcome.request_status for outcome in outcomes}, {RequestStatus.UNCLEAR})
        self.assertLess(time.monotonic() - began_s, 2.5)  # 5.2 s if each polls; 0.9 s time-out each

    async def test_an_operator_precedes_many_replicas_and_no_replica_starves(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        callers = asyncio.create_task(_register_all(self.member, 600))
        await asyncio.sleep(0.05)
        wanted = resources_pb2.FleetConfiguration(version=1, source=b"{}")
        operator = asyncio.create_task(self.member.fleet_service.apply(wanted))
        for number in (1, 2):
            await self.group.start_member(number)
        self.assertEqual((await operator).request_status, RequestStatus.DONE)
        for _ in range(20):  # replicas retry
            outcomes = await callers
            if {outcome.request_status for outcome in outcomes} == {RequestStatus.DONE}:
                break
            callers = asyncio.create_task(_register_all(self.member, 600))
        self.assertEqual({outcome.request_status for outcome in outcomes}, {RequestStatus.DONE})


if __name__ == "__main__":
    unittest.main()
