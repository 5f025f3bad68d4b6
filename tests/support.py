"""Shared test support: virtual time, and small groups of consensus members."""

import asyncio
import random
from collections.abc import Coroutine
from typing import Any, TypeVar

import async_solipsism
from heronladder_consensus.node import ConsensusNode
from heronladder_consensus.service import ConsensusService
from heronladder_consensus.state_machine import StateMachine
from heronladder_consensus.storage import LogStorage
from heronladder_consensus.timing import ConsensusTiming
from heronladder_emulator.memory_disk import MemoryDisk
from heronladder_emulator.memory_stubs import MemoryStubs
from heronladder_emulator.network import Location, MemoryNetwork, NetworkConditions, Partition
from heronladder_runtime.clock import Environment
from heronladder_runtime.errors import HeronladderError
from heronladder_schema.v1 import consensus_pb2

Result = TypeVar("Result")


def run_virtual(work: Coroutine[Any, Any, Result]) -> Result:
    """Run a coroutine on an event loop with virtual time, and return its result."""
    loop = async_solipsism.EventLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        loop.close()


class AppendingMachine(StateMachine[int]):
    """State machine that keeps all commands; applying one returns their number."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, index: int, command: bytes) -> int:
        self.commands.append(command)
        return len(self.commands)

    def snapshot(self) -> bytes:
        return b"\n".join(self.commands)

    def restore(self, data: bytes) -> None:
        self.commands = data.split(b"\n") if data else []


class Group:
    """Members of a replicated log on an in-memory network.

    Args:
        size: Number of initial members.
        seed: Seed of all random values.
        snapshot_entries: Number of applied entries between two snapshots.
    """

    def __init__(self, size: int = 3, seed: int = 1, snapshot_entries: int = 1000) -> None:
        self.random = random.Random(seed)
        self.environment = Environment(self.random, virtual=True)
        self.network = MemoryNetwork(self.random, NetworkConditions())
        self.names = [f"m{number}" for number in range(size)]
        self.disks = {name: MemoryDisk(self.random) for name in self.names}
        self.nodes: dict[str, ConsensusNode[int]] = {}
        self.machines: dict[str, AppendingMachine] = {}
        self.failures: dict[str, HeronladderError] = {}
        self.timing = ConsensusTiming(1.0, snapshot_entries)
        self.contacts: list[str] = []  # members that joining ones ask; empty: the initial members

    async def start(self, name: str, *, joining: bool = False) -> ConsensusNode[int]:
        disk = self.disks.setdefault(name, MemoryDisk(self.random))
        machine = AppendingMachine()
        members = [
            consensus_pb2.Member(name=member, address=f"{member}:1", voter=True)
            for member in self.names
        ]
        node = ConsensusNode(
            name,
            LogStorage(disk.handle()),
            machine,
            MemoryStubs(self.network, name),
            [] if joining else members,
            self.timing,
            self.environment,
            lambda error: self.failures.__setitem__(name, error),
            consensus_pb2.Member(name=name, address=f"{name}:1") if self.timing.losses else None,
            [f"{member}:1" for member in (self.contacts or self.names)],
        )
        self.network.start(name, Location("z", "r"), {"consensus": ConsensusService(node)})
        self.nodes[name] = node
        self.machines[name] = machine
        await node.start()
        return node

    async def start_all(self) -> ConsensusNode[int]:
        for name in self.names:
            await self.start(name)
        return await self.leader()

    async def leader(self, among: list[str] | None = None) -> ConsensusNode[int]:
        for _ in range(600):
            for name in among or sorted(self.nodes):
                if name in self.nodes and self.nodes[name].is_leader:
                    return self.nodes[name]
            await asyncio.sleep(0.1)
        raise AssertionError("no leader was elected within 60 s")

    async def crash(self, name: str, *, wipe: bool = False) -> None:
        node = self.nodes.pop(name)
        if wipe:
            self.disks[name].wipe()
        else:
            self.disks[name].crash()
        self.network.kill(name)
        await node.stop()

    def isolate(self, names: list[str]) -> list[Partition]:
        inside = frozenset(names)
        outside = frozenset(self.network.endpoints) - inside
        cuts = [Partition(inside, outside), Partition(outside, inside)]
        for cut in cuts:
            self.network.cut(cut)
        return cuts

    def heal(self, cuts: list[Partition]) -> None:
        for cut in cuts:
            self.network.heal(cut)

    async def stop(self) -> None:
        for name in list(self.nodes):
            await self.crash(name)
