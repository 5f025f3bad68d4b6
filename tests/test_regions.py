"""Tests of two control groups: allotments, and a long partition between regions."""

import asyncio
import random
import unittest

from heronladder_consensus.timing import ConsensusTiming
from heronladder_control.member import ControlMember
from heronladder_control.options import ControlOptions
from heronladder_emulator.memory_disk import MemoryDisk
from heronladder_emulator.memory_stubs import MemoryStubs
from heronladder_emulator.network import Location, MemoryNetwork, NetworkConditions, Partition
from heronladder_router.errors import BudgetExhaustedError, BudgetUnavailableError
from heronladder_router.leases import LeaseManager
from heronladder_runtime.clock import Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.link_handlers import ControlLinkHandlers
from heronladder_runtime.logs import EventLog
from heronladder_schema.v1 import consensus_pb2, control_pb2, ledger_pb2, resources_pb2
from support import run_virtual

BUDGET_TOKENS = 20_000
REGIONS = ("valley", "coast")


class TwoRegions:
    """A control group and a router in each of two regions."""

    def __init__(self, seed: int) -> None:
        source = random.Random(seed)
        self.environment = Environment(source, virtual=True)
        self.network = MemoryNetwork(source, NetworkConditions())
        self.random = source
        self.members: dict[str, list[ControlMember]] = {}
        self.links: dict[str, ControlLink] = {}
        self.leases: dict[str, LeaseManager] = {}

    def _names(self, region: str) -> list[str]:
        return [f"{region}-control-{number}" for number in range(3)]

    def _addresses(self, region: str) -> list[str]:
        return [f"{name}:1" for name in self._names(region)]

    async def start(self) -> None:
        for region in REGIONS:
            self.members[region] = [await self._member(region, n) for n in self._names(region)]
        for region in REGIONS:
            await self._router(region)
        resource = resources_pb2.Resource(
            budget=resources_pb2.Budget(tokens=BUDGET_TOKENS, period=1)
        )
        resource.metadata.name = "b"
        order = control_pb2.PutResource(kind="budget", resource=resource, any_version=True)
        await self.links["valley"].call(control_pb2.Command(put_resource=order))

    async def _member(self, region: str, name: str) -> ControlMember:
        options = ControlOptions(
            name,
            region,
            [
                consensus_pb2.Member(name=member, address=f"{member}:1", voter=True)
                for member in self._names(region)
            ],
            ConsensusTiming(1.0, 100),
            region_addresses={
                other: self._addresses(other) for other in REGIONS if other != region
            },
        )
        stubs = MemoryStubs(self.network, name)
        disk = MemoryDisk(self.random).handle()
        member = ControlMember(options, disk, stubs, self.environment, lambda error: None)
        servers = {"consensus": member.consensus_service, "control": member.service}
        self.network.start(name, Location(region, region), servers)
        await member.start()
        return member

    async def _router(self, region: str) -> None:
        name = f"{region}-router"
        self.network.start(name, Location(region, region), {})
        record = ledger_pb2.DaemonRecord(
            name=name, role="router", incarnation=f"{name}-1", region=region
        )
        stubs = MemoryStubs(self.network, name)
        handlers = ControlLinkHandlers()
        link = ControlLink(record, self._addresses(region), stubs, 2.0, handlers, self.environment)
        manager = LeaseManager(link, self.environment, 10.0, EventLog("test", name))
        handlers.recall = manager.recall
        link.start()
        await link.wait_fresh()
        self.links[region] = link
        self.leases[region] = manager

    async def spend(self, region: str, tokens: int, requests: int) -> int:
        """Spend tokens in a region; return the number of tokens that were granted."""
        spent = 0
        for _ in range(requests):
            try:
                reservation = await self.leases[region].reserve("b", tokens, 5.0)
            except (BudgetExhaustedError, BudgetUnavailableError):
                await asyncio.sleep(0.5)
                continue
            self.leases[region].settle(reservation, tokens)
            spent += tokens
            await asyncio.sleep(0.05)
        return spent

    def cut(self) -> list[Partition]:
        sides = [
            frozenset(name for name in self.network.endpoints if name.startswith(region))
            for region in REGIONS
        ]
        cuts = [Partition(sides[0], sides[1]), Partition(sides[1], sides[0])]
        for cut in cuts:
            self.network.cut(cut)
        return cuts

    def heal(self, cuts: list[Partition]) -> None:
        for cut in cuts:
            self.network.heal(cut)

    def accounts(self) -> list[ledger_pb2.Account]:
        found = []
        for members in self.members.values():
            for member in members:
                if member.node.is_leader:
                    account = member.state.ledger.account("b")
                    if account is not None:
                        member.state.ledger.check_all()
                        found.append(account)
        return found

    async def stop(self) -> None:
        for region in REGIONS:
            await self.leases[region].stop()
            await self.links[region].abort()
        for region in REGIONS:
            for member in self.members[region]:
                self.network.kill(member.options.name)
                await member.stop()
        await asyncio.sleep(1)


class RegionsTest(unittest.TestCase):
    def test_a_region_without_an_account_gets_an_allotment(self) -> None:
        async def scenario() -> None:
            regions = TwoRegions(1)
            await regions.start()
            self.assertEqual(await regions.spend("coast", 100, 10), 1_000)
            valley, coast = regions.accounts()
            self.assertEqual(valley.moved_out, coast.allotted)
            self.assertGreater(coast.allotted, 0)
            await regions.stop()

        run_virtual(scenario())

    def test_both_regions_serve_in_a_long_partition_and_the_budget_is_not_exceeded(self) -> None:
        async def scenario(seed: int) -> None:
            regions = TwoRegions(seed)
            await regions.start()
            spent = await regions.spend("coast", 100, 20) + await regions.spend("valley", 100, 20)
            cuts = regions.cut()
            while_partitioned = await asyncio.gather(
                regions.spend("coast", 100, 150), regions.spend("valley", 100, 150)
            )
            self.assertTrue(all(tokens > 0 for tokens in while_partitioned), while_partitioned)
            await asyncio.sleep(600)
            regions.heal(cuts)
            after = await asyncio.gather(
                regions.spend("coast", 100, 200), regions.spend("valley", 100, 200)
            )
            total = spent + sum(while_partitioned) + sum(after)
            self.assertLessEqual(total, BUDGET_TOKENS)
            self.assertGreater(total, 0.9 * BUDGET_TOKENS)
            allotted = sum(account.allotted - account.moved_out for account in regions.accounts())
            self.assertEqual(allotted, BUDGET_TOKENS)
            await regions.stop()

        for seed in (1, 2):
            run_virtual(scenario(seed))
