"""Tests of a control group across two regions: shared name, equal state, remote loans."""

import asyncio
import random
import unittest
from typing import Any

from heronladder_consensus.timing import ConsensusTiming
from heronladder_control.member import ControlMember
from heronladder_control.options import ControlOptions
from heronladder_control.state import ControlState
from heronladder_daemon.compose_control import compose_control
from heronladder_daemon.compose_gateway import compose_gateway
from heronladder_emulator.memory_disk import MemoryDisk
from heronladder_emulator.memory_stubs import MemoryStubs
from heronladder_emulator.network import Location, MemoryNetwork, NetworkConditions
from heronladder_platform import names as platform_names
from heronladder_platform.settings import CONTROL, GATEWAY, translate
from heronladder_router.gateway_role import GatewayRole
from heronladder_runtime.clock import Environment
from heronladder_runtime.errors import HeronladderError, SettingsError
from heronladder_schema.v1 import consensus_pb2, control_pb2, lending_pb2, resources_pb2
from platform_stand_ins import settings_document
from support import run_virtual

ZONES = {"z1": "r1", "z2": "r2"}


def _document(role: str, zone: str) -> dict[str, Any]:
    listen = {"front": "127.0.0.1:1", "readiness": "127.0.0.1:2", "control": "127.0.0.1:3"}
    document: dict[str, Any] = settings_document(role, "/nowhere", 4, listen)
    place: dict[str, Any] = {"zone": zone, "region": ZONES[zone], "nodeName": f"{role}-{zone}"}
    place["seeds"] = ["127.0.0.1:3"]
    return document | place


def _gateway(zone: str) -> GatewayRole:
    settings = translate(_document("front", zone), GATEWAY)
    environment = Environment(random.Random(1))
    stubs: Any = None
    return compose_gateway(settings, stubs, environment, platform_names.GATEWAY_NAMES)


class SharedGroupNameTest(unittest.IsolatedAsyncioTestCase):
    """Guards against processes that use their region as the name of the group."""

    async def test_gateway_handles_loan_request_from_other_region(self) -> None:
        borrower, lender = _gateway("z1"), _gateway("z2")
        request = lending_pb2.LendRequest(
            group=borrower.tokens.borrowed._group.name_for(is_remote=True),
            borrower=borrower.options.name,
            borrower_incarnation="one",
            lender=lender.options.name,
            ask=lending_pb2.LoanAsk(number=1, tenant="t", tokens=5, wait_ms=1),
        )
        reply = await lender.tokens.loan_book.Lend(request, None)
        # The lender has no tokens and no control here, but it accepts the group name.
        self.assertEqual(reply.outcome, lending_pb2.LOAN_OUTCOME_NO_CONTROL)

    async def test_members_in_two_regions_build_equal_state_from_same_log(self) -> None:
        states = []
        for zone in ZONES:
            settings = translate(_document("core", zone), CONTROL)
            stubs: Any = None
            member = compose_control(
                settings, stubs, Environment(random.Random(1)), lambda error: None
            )
            budget = resources_pb2.Resource(budget=resources_pb2.Budget(tokens=9, period=1))
            budget.metadata.name = "b"
            order = control_pb2.PutResource(kind="budget", resource=budget, any_version=True)
            member.state.apply(1, control_pb2.Command(put_resource=order).SerializeToString())
            states.append(member.state.snapshot())
        self.assertEqual(*states)


class GroupNameInLogTest(unittest.TestCase):
    def _run(self, groups: list[str], named: bool) -> tuple[list[str], dict[str, str]]:
        """Run a group whose members are configured with these group names.

        Returns:
            The group name in the state of each running member, and the error message of
            each member that ended, by member name.
        """

        async def work() -> tuple[list[str], dict[str, str]]:
            source = random.Random(1)
            environment = Environment(source, virtual=True)
            network = MemoryNetwork(source, NetworkConditions())
            ended: dict[str, str] = {}
            names = [f"m{number}" for number in range(len(groups))]
            first = [
                consensus_pb2.Member(name=name, address=f"{name}:1", voter=True) for name in names
            ]
            members: dict[str, ControlMember] = {}
            for name, group in zip(names, groups, strict=True):

                def failed(error: HeronladderError, name: str = name) -> None:
                    self.assertIsInstance(error, SettingsError)
                    ended[name] = error.message

                options = ControlOptions(name, group, first, ConsensusTiming(1.0), named=named)
                disk = MemoryDisk(source).handle()
                stubs = MemoryStubs(network, name)
                member = ControlMember(options, disk, stubs, environment, failed)
                servers = {"consensus": member.consensus_service, "control": member.service}
                network.start(name, Location(name, name), servers)
                await member.start()
                members[name] = member
            await asyncio.sleep(10)
            found = [m.state.named_group for name, m in members.items() if name not in ended]
            for member in members.values():
                await member.stop()
            return found, ended

        return run_virtual(work())

    def test_log_holds_one_group_name(self) -> None:
        self.assertEqual(self._run(["fleet"] * 3, named=True), (["fleet"] * 3, {}))

    def test_member_with_other_group_name_ends(self) -> None:
        found, ended = self._run(["fleet", "fleet", "other"], named=True)
        self.assertEqual(len(found) + len(ended), 3)
        self.assertEqual(len(set(found)), 1, (found, ended))
        self.assertTrue(ended)
        for why in ended.values():
            self.assertIn("setting group", why)

    def test_unnamed_group_writes_no_name(self) -> None:
        self.assertEqual(self._run(["r1"] * 3, named=False), ([""] * 3, {}))


class SnapshotGroupNameTest(unittest.IsolatedAsyncioTestCase):
    def _member(self, failures: list[HeronladderError]) -> ControlMember:
        source = random.Random(1)
        stubs: Any = None
        options = ControlOptions("m0", "fleet", [], named=True)
        disk = MemoryDisk(source).handle()
        return ControlMember(options, disk, stubs, Environment(source), failures.append)

    async def test_accepts_snapshot_without_group_name(self) -> None:
        old = ControlState("r1")
        budget = resources_pb2.Resource(budget=resources_pb2.Budget(tokens=9, period=1))
        budget.metadata.name = "b"
        order = control_pb2.PutResource(kind="budget", resource=budget, any_version=True)
        old.apply(1, control_pb2.Command(put_resource=order).SerializeToString())
        failures: list[HeronladderError] = []
        member = self._member(failures)
        member.state.restore(old.snapshot())
        self.assertEqual((failures, member.state.named_group), ([], ""))
        account = member.state.ledger.account("b")
        assert account is not None
        self.assertEqual(account.available, 9)

    async def test_snapshot_of_other_group_ends_member(self) -> None:
        other = ControlState("other")
        name = control_pb2.Command(name_group=control_pb2.NameGroup(name="other"))
        other.apply(1, name.SerializeToString())
        failures: list[HeronladderError] = []
        self._member(failures).state.restore(other.snapshot())
        self.assertEqual(len(failures), 1)
        self.assertIn("setting group", failures[0].message)


if __name__ == "__main__":
    unittest.main()
