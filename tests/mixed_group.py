"""A control group in virtual time whose members are replaced by ones of a later cluster version."""

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
from heronladder_runtime.cluster_versions import FIRST_VERSION, LATEST_VERSION, required_version
from heronladder_runtime.errors import HeronladderError
from heronladder_schema.v1 import consensus_pb2, control_pb2, resources_pb2

_HOLD_S = 1.0
_ASK_EACH_S = 0.25
_DOWN_S = (0.1, 1.5)
_GAP_S = (0.3, 2.0)
_SETTLES_S = 8.0


class MixedGroup:
    """One run: members of version 0, each replaced once, while members are lost and found.

    Args:
        seed: Draws the order and the losses.
        size: How many members.

    Attributes:
        failures: Why members ended by themselves.
        in_old_logs: Kinds of commands that a member of version 0 had to apply and does not know.
        registered: Registrations that were acknowledged.
    """

    def __init__(self, seed: int, size: int) -> None:
        self.source = Random(seed)
        self.failures: list[str] = []
        self.in_old_logs: list[str] = []
        self.registered = 0
        self._network = MemoryNetwork(self.source, NetworkConditions())
        self._environment = Environment(self.source, virtual=True)
        self._names = [f"m{number}" for number in range(size)]
        self._disks = {name: MemoryDisk(self.source) for name in self._names}
        self._is_old = dict.fromkeys(self._names, True)
        self.running: dict[str, ControlMember] = {}

    # ---- members ----------------------------------------------------------

    async def _start(self, name: str) -> None:
        first = [
            consensus_pb2.Member(name=one, address=f"{one}:1", voter=True) for one in self._names
        ]
        is_old = self._is_old[name]
        options = ControlOptions(
            name,
            "fleet",
            first,
            ConsensusTiming(1.0),
            named=True,
            earlier_group="r1",
            most_cluster_version=FIRST_VERSION if is_old else LATEST_VERSION,
            cluster_version_hold_s=_HOLD_S,
        )

        def failed(error: HeronladderError) -> None:
            self.failures.append(f"{name}: {error}")

        stubs = MemoryStubs(self._network, name)
        disk = self._disks[name].handle()
        member = ControlMember(options, disk, stubs, self._environment, failed)
        if is_old:
            self._make_old(member)
        servers = {"consensus": member.consensus_service, "control": member.service}
        self._network.start(name, Location(name, name), servers)
        await member.start()
        self.running[name] = member

    def _make_old(self, member: ControlMember) -> None:
        """Have a member support version 0 only, and note what it could not read."""
        member.state.highest_version = FIRST_VERSION

        def note(command: control_pb2.Command, result: control_pb2.CommandResult) -> None:
            if required_version(command) != FIRST_VERSION:
                self.in_old_logs.append(command.WhichOneof("body") or "")

        member.state.listeners.append(note)

    async def _lose(self, name: str) -> None:
        member = self.running.pop(name)
        self._disks[name].crash()
        self._network.kill(name)
        await member.stop()

    # ---- the run ----------------------------------------------------------

    async def run(self) -> None:
        """Replace all members, in a drawn order, beside drawn losses."""
        for name in self._names:
            await self._start(name)
        await asyncio.sleep(3.0)
        asking = asyncio.create_task(self._ask_always())
        for name in self.source.sample(self._names, len(self._names)):
            if self.source.random() < 0.4:
                await self._replace(self.source.choice(self._names))
            self._is_old[name] = False
            await self._replace(name)
        await asyncio.sleep(_SETTLES_S)
        asking.cancel()
        await asyncio.sleep(1.0)

    async def _replace(self, name: str) -> None:
        await self._lose(name)
        await asyncio.sleep(self.source.uniform(*_DOWN_S))
        await self._start(name)
        await asyncio.sleep(self.source.uniform(*_GAP_S))

    async def stop(self) -> None:
        """End all members."""
        for name in list(self.running):
            await self._lose(name)

    async def _ask_always(self) -> None:
        number = 0
        while True:
            number += 1
            if self.running:
                member = self.source.choice(list(self.running.values()))
                asyncio.ensure_future(self._register(member, number))
            await asyncio.sleep(_ASK_EACH_S)

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
