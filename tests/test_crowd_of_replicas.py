"""Thousands of replicas that register at once, and gateways and operators among them."""

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
_MAX_COST_RATIO = 4.0  # dearer, a registration among eight times as many; it was eight times


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
        """Each read all replicas and all kept events: a crowd of 3,000 kept its leader busy
        for seconds, and each member that read its log at a start as well."""
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
            _register(one, 99, address="10.0.0.7:80")  # replica-7 was there
        self.assertEqual(state.snapshot(), again.snapshot())
        self.assertTrue(again.fleet.is_replaced(resources_pb2.Replica(id="replica-7")))
        events = again.resources.events_after(19)
        assert events is not None
        self.assertEqual(
            [event.name for event in events], ["replica-19", "replica-7", "replica-99"]
        )


class BatchTest(unittest.IsolatedAsyncioTestCase):
    async def test_simultaneous_registrations_share_few_log_entries(self) -> None:
        """Each was one, told to each gateway: 3,000 before 300 gateways are 900,000 frames."""
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
        """After a start all replicas asked before the log was read, and were written again."""
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
        crowd = asyncio.create_task(_register_all(member, 400))
        await asyncio.sleep(0)
        began_s = time.monotonic()
        told = await fleet.call(fleet.control_address, "POST", "/api/Replicas.Deregister/leaves")
        self.assertEqual(told.status, 200)
        self.assertLess(time.monotonic() - began_s, 1.0)
        gateway = fleet.gateway.gateway
        assert gateway is not None
        known = {one.id: one.gone for one in gateway.link.configuration.replicas()}
        self.assertTrue(known["leaves"])
        self.assertEqual({outcome.request_status for outcome in await crowd}, {RequestStatus.DONE})

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
            whole = file.read_bytes()
            for size in range(len(whole) + 1):
                file.write_bytes(whole[:size])
                kept = LogStorage(FolderDisk(Path(folder))).load().entries
                state = ControlState("r")
                for one in kept:
                    state.apply(one.index, one.command)
                known = len(state.resources.resources["replica"])
                self.assertEqual(known, 12 if size == len(whole) else 0, f"{size} bytes")


class RelayTest(unittest.IsolatedAsyncioTestCase):
    """A crowd at a member that does not lead."""

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
        """Each was a call of its own: 1,000 took the leader a second of processor time."""
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
        """One refused order was the answer of up to 511 others as well."""
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
        """It was taken for the answer of each."""

        async def cut_short(_request: control_pb2.CarryRequest) -> control_pb2.CarryReply:
            reply = control_pb2.CarryReply(result=success())
            reply.result.each.extend([success()] * 3)
            return reply

        with mock.patch.object(self.leader.fleet_service, "carry", cut_short):
            outcomes = await _register_all(self.follower, 40)
        standings = {outcome.request_status for outcome in outcomes}
        self.assertEqual(standings, {RequestStatus.UNCLEAR})

    async def test_an_unresponsive_leader_is_logged_once_and_counted(self) -> None:
        async def breaks(_request: control_pb2.CarryRequest) -> control_pb2.CarryReply:
            raise ConnectionError("broken")

        with (
            mock.patch.object(self.leader.fleet_service, "carry", breaks),
            self.assertLogs("heronladder", "WARNING") as logs,
        ):
            outcomes = await _register_all(self.follower, 5)
        self.assertEqual({outcome.request_status for outcome in outcomes}, {RequestStatus.UNCLEAR})
        told = [line for line in logs.output if "event=registrations_not_passed_on" in line]
        self.assertEqual(len(told), 1, told)
        self.assertIn(b"registration_calls_failed", self.follower.metrics.page())

    async def test_a_replica_presumed_replaced_returns_through_a_follower(
        self,
    ) -> None:
        """The leader alone judges late heartbeats, also those that another member passes on."""
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
    """A crowd at a member that knows no leader."""

    async def asyncSetUp(self) -> None:
        self.group = ControlGroup(3)
        await self.group.start_member(0)
        self.addAsyncCleanup(self.group.stop)
        member = self.group.running[0].control
        assert member is not None
        self.member = member

    async def test_many_callers_that_wait_for_a_leader_do_not_block_the_event_loop(self) -> None:
        """Each looked by itself, 20 times a second: votes came too late, and there was no
        leader for longer."""
        asyncio.get_running_loop().set_debug(False)
        crowd = asyncio.create_task(_register_all(self.member, 3_000))
        began_s = time.monotonic()
        while not crowd.done():
            await asyncio.sleep(0.01)
        outcomes = await crowd
        self.assertEqual({outcome.request_status for outcome in outcomes}, {RequestStatus.UNCLEAR})
        self.assertLess(time.monotonic() - began_s, 2.5)  # 5.2 s, with 0.9 s of patience each

    async def test_an_operator_precedes_many_replicas_and_no_replica_starves(self) -> None:
        asyncio.get_running_loop().set_debug(False)
        crowd = asyncio.create_task(_register_all(self.member, 600))
        await asyncio.sleep(0.05)
        wanted = resources_pb2.FleetConfiguration(version=1, source=b"{}")
        operator = asyncio.create_task(self.member.fleet_service.apply(wanted))
        for number in (1, 2):
            await self.group.start_member(number)
        self.assertEqual((await operator).request_status, RequestStatus.DONE)
        for _ in range(20):  # as replicas do, which ask again
            outcomes = await crowd
            if {outcome.request_status for outcome in outcomes} == {RequestStatus.DONE}:
                break
            crowd = asyncio.create_task(_register_all(self.member, 600))
        self.assertEqual({outcome.request_status for outcome in outcomes}, {RequestStatus.DONE})


if __name__ == "__main__":
    unittest.main()
