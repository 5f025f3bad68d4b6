"""Test support: a control group in virtual time that is upgraded member by member."""

import asyncio
from random import Random

from heronladder_consensus.timing import ConsensusTiming
from heronladder_control.member import ControlMember
from heronladder_control.options import ControlOptions
from heronladder_control.results import failure
from heronladder_emulator.memory_disk import MemoryDisk
from heronladder_emulator.memory_stubs import MemoryStubs
from heronladder_emulator.network import Location, MemoryNetwork, NetworkConditions
from heronladder_runtime.clock import Environment
from heronladder_runtime.cluster_versions import INITIAL_VERSION, LATEST_VERSION, required_version
from heronladder_runtime.errors import HeronladderError
from heronladder_schema.v1 import consensus_pb2, control_pb2, resources_pb2

_VERSION_HOLD_S = 1.0
_REGISTER_INTERVAL_S = 0.25
_DOWNTIME_RANGE_S = (0.1, 1.5)
_GAP_RANGE_S = (0.3, 2.0)
_SETTLE_TIME_S = 8.0


class MixedGroup:
    """A group that starts with cluster version 0 and is upgraded while members crash and restart.

    Args:
        seed: Seed for the order of upgrades and for the crashes.
        size: Number of members.

    Attributes:
        failures: Errors with which members ended by themselves.
        unsupported_commands: Kinds of commands that a member of version 0 had to apply but does
            not know.
        registered: Number of acknowledged registrations.
        running: Running members, by name.
    """

    def __init__(self, seed: int, size: int) -> None:
        self.source = Random(seed)
        self.failures: list[str] = []
        self.unsupported_commands: list[str] = []
        self.registered = 0
        self._network = MemoryNetwork(self.source, NetworkConditions())
        self._environment = Environment(self.source, virtual=True)
        self._names = [f"m{number}" for number in range(size)]
        self._disks = {name: MemoryDisk(self.source) for name in self._names}
        self._is_old = dict.fromkeys(self._names, True)
        self.running: dict[str, ControlMember] = {}

    # ---- members ----------------------------------------------------------

    async def _start(self, name: str) -> None:
        initial_members = [
            consensus_pb2.Member(name=one, address=f"{one}:1", voter=True) for one in self._names
        ]
        is_old = self._is_old[name]
        options = ControlOptions(
            name,
            "fleet",
            initial_members,
            ConsensusTiming(1.0),
            named=True,
            earlier_group="r1",
            most_cluster_version=INITIAL_VERSION if is_old else LATEST_VERSION,
            cluster_version_hold_s=_VERSION_HOLD_S,
        )

        def on_failure(error: HeronladderError) -> None:
            self.failures.append(f"{name}: {error}")

        stubs = MemoryStubs(self._network, name)
        disk = self._disks[name].handle()
        member = ControlMember(options, disk, stubs, self._environment, on_failure)
        if is_old:
            self._limit_to_first_version(member)
        servers = {"consensus": member.consensus_service, "control": member.service}
        self._network.start(name, Location(name, name), servers)
        await member.start()
        self.running[name] = member

    def _limit_to_first_version(self, member: ControlMember) -> None:
        """Limit a member to version 0, and record the commands that it does not know."""
        member.state.highest_version = INITIAL_VERSION

        def record(command: control_pb2.Command, result: control_pb2.CommandResult) -> None:
            if required_version(command) != INITIAL_VERSION:
                self.unsupported_commands.append(command.WhichOneof("body") or "")

        member.state.listeners.append(record)

    async def _crash(self, name: str) -> None:
        member = self.running.pop(name)
        self._disks[name].crash()
        self._network.kill(name)
        await member.stop()

    # ---- the run ----------------------------------------------------------

    async def run(self) -> None:
        """Upgrade all members in random order, with additional random restarts."""
        for name in self._names:
            await self._start(name)
        await asyncio.sleep(3.0)
        registering = asyncio.create_task(self._register_repeatedly())
        for name in self.source.sample(self._names, len(self._names)):
            if self.source.random() < 0.4:
                await self._replace(self.source.choice(self._names))
            self._is_old[name] = False
            await self._replace(name)
        await asyncio.sleep(_SETTLE_TIME_S)
        registering.cancel()
        await asyncio.sleep(1.0)

    async def _replace(self, name: str) -> None:
        await self._crash(name)
        await asyncio.sleep(self.source.uniform(*_DOWNTIME_RANGE_S))
        await self._start(name)
        await asyncio.sleep(self.source.uniform(*_GAP_RANGE_S))

    async def stop(self) -> None:
        """Stop all members."""
        for name in list(self.running):
            await self._crash(name)

    async def _register_repeatedly(self) -> None:
        number = 0
        while True:
            number += 1
            if self.running:
                member = self.source.choice(list(self.running.values()))
                asyncio.ensure_future(self._register(member, number))
            await asyncio.sleep(_REGISTER_INTERVAL_S)

    async def _register(self, member: ControlMember, number: int) -> None:
        replica = resources_pb2.Replica(
            id=f"r{number % 40}",
            service="s",
            address=f"10.0.0.{number % 30}:80",
            start_ms=1_000 + number,
            sequence=number,
        )
        outcome = await member.fleet_service.register(replica)
        self.registered += outcome.result != failure(control_pb2.RESULT_CODE_UNCLEAR, "")
