"""Faults of the simulation, each caused and undone by itself, overlapping at will."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace

from heronladder_consensus.members import voters
from heronladder_emulator.engine import EngineFaults
from heronladder_emulator.network import Partition
from heronladder_emulator.service import ServiceFaults
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.invariants import invariant

from heronladder_tools.simulation.fleet import CALLERS, CONTROL_MEMBERS, SimulatedFleet
from heronladder_tools.simulation.operators import Operators

_RESTART_S = 4.0
_LEAVING_S = 3.0
_IN_FORCE_TRIES = 60
_REPAIR_TIMEOUT_S = 60.0


@dataclass(frozen=True)
class FaultKind:
    """A kind of fault.

    Attributes:
        name: Its name.
        every_s: Mean time between two of them, in seconds.
        cause: Causes and undoes one.
    """

    name: str
    every_s: float
    cause: Callable[["FaultInjector"], Awaitable[None]]


class FaultInjector:
    """Causes faults at random until it is told to stop.

    Args:
        fleet: The fleet.
        operators: Its operators.
    """

    def __init__(self, fleet: SimulatedFleet, operators: Operators) -> None:
        self.fleet = fleet
        self.operators = operators
        self.caused: dict[str, int] = {}
        self.stopping = False
        self.under_way: dict[str, bool] = {}
        self._repairing = asyncio.Lock()

    @property
    def _random(self):  # type: ignore[no-untyped-def]
        return self.fleet.environment.random

    async def run(self, kind: FaultKind) -> None:
        """Cause faults of one kind, one after the other."""
        while not self.stopping:
            await asyncio.sleep(self._random.expovariate(1 / kind.every_s))
            if self.stopping:
                return
            self.caused[kind.name] = self.caused.get(kind.name, 0) + 1
            self.fleet.log.info("fault", step=kind.name, number=self.caused[kind.name])
            self.under_way[kind.name] = True
            try:
                await kind.cause(self)
            except HeronladderError as error:
                self.fleet.log.info("fault_ended", step=kind.name, why=error.message)
            finally:
                self.under_way[kind.name] = False

    async def _cut(self, cuts: list[Partition], seconds: float) -> None:
        for cut in cuts:
            self.fleet.network.cut(cut)
        await asyncio.sleep(seconds)
        for cut in cuts:
            self.fleet.network.heal(cut)

    def _others(self, names: frozenset[str]) -> frozenset[str]:
        return frozenset(self.fleet.network.endpoints) - names - {CALLERS}

    # ---- the network ------------------------------------------------------

    async def zone_cut(self) -> None:
        """Cut a zone off from the others, both ways."""
        inside = self.fleet.processes_in(self._random.choice(self.fleet.profile.zones))
        outside = self._others(inside)
        cuts = [Partition(inside, outside), Partition(outside, inside)]
        await self._cut(cuts, self._random.uniform(3, 60))

    async def one_way_cut(self) -> None:
        """Lose what a zone sends, while it still hears."""
        inside = self.fleet.processes_in(self._random.choice(self.fleet.profile.zones))
        await self._cut([Partition(inside, self._others(inside))], self._random.uniform(3, 40))

    async def router_cut(self) -> None:
        """Cut a router off from control for long; callers and agents reach it."""
        router = frozenset({self._random.choice(self.fleet.router_names())})
        control = frozenset(self.fleet.control_names())
        await self._cut(
            [Partition(router, control), Partition(control, router)], self._random.uniform(5, 50)
        )

    async def silent_leader(self) -> None:
        """Cut the leader off from the other members in silence; daemons reach it."""
        leader = self.fleet.leader()
        if leader is None:
            return
        name = frozenset({leader.options.name})
        others = frozenset(self.fleet.control_names()) - name
        await self._cut(
            [Partition(name, others), Partition(others, name)], self._random.uniform(5, 40)
        )

    async def bad_weather(self) -> None:
        """Slow, lossy links that deliver twice and out of order."""
        conditions = self.fleet.network.conditions
        self.fleet.network.conditions = replace(
            conditions, extra_delay_s=0.2, loss=0.05, duplicates=0.05
        )
        await asyncio.sleep(self._random.uniform(5, 30))
        self.fleet.network.conditions = conditions

    # ---- processes --------------------------------------------------------

    async def router_crash(self) -> None:
        """Crash a router with streams open; it comes back later."""
        name = self._random.choice(self.fleet.router_names())
        if name not in self.fleet.routers:
            return
        await self.fleet.crash_router(name)
        await asyncio.sleep(self._random.uniform(1, 30))
        if name not in self.fleet.routers:
            await self.fleet.start_router(name)

    async def agent_crash(self) -> None:
        """Crash an agent; its back end goes on; it comes back later."""
        name = self._random.choice(sorted(self.fleet.places))
        if name not in self.fleet.agents:
            return
        await self.fleet.crash_agent(name)
        await asyncio.sleep(self._random.uniform(1, 20))
        if name not in self.fleet.agents:
            await self.fleet.start_agent(name)

    async def engine_fault(self) -> None:
        """Crash, stall or slow an engine, or let it drop streams."""
        engine = self.fleet.engines[self._random.choice(sorted(self.fleet.engines))]
        fault = self._random.choice(
            [
                EngineFaults(crashed=True),
                EngineFaults(stalled=True),
                EngineFaults(slow_factor=10.0),
                EngineFaults(drop_after_tokens=5),
            ]
        )
        engine.set_faults(fault)
        await asyncio.sleep(self._random.uniform(2, 15))
        engine.set_faults(EngineFaults())

    async def service_fault(self) -> None:
        """Crash or stall a plain service, or lose its answers after execution."""
        service = self.fleet.services[self._random.choice(sorted(self.fleet.services))]
        service.faults = self._random.choice(
            [
                ServiceFaults(crashed=True),
                ServiceFaults(stalled=True),
                ServiceFaults(break_after_execution=True),
            ]
        )
        await asyncio.sleep(self._random.uniform(2, 10))
        service.faults = ServiceFaults()

    async def planned_stop(self) -> None:
        """Stop a daemon as planned, and start it again."""
        if self._random.random() < 0.5:
            name = self._random.choice(self.fleet.router_names())
            if name in self.fleet.routers:
                await self.fleet.stop_router(name)
                await asyncio.sleep(_RESTART_S)
                if name not in self.fleet.routers:
                    await self.fleet.start_router(name)
            return
        name = self._random.choice(sorted(self.fleet.places))
        if name in self.fleet.agents:
            await self.fleet.stop_agent(name)
            await asyncio.sleep(_RESTART_S)
            if name not in self.fleet.agents:
                await self.fleet.start_agent(name)

    async def operator_drain(self) -> None:
        """An operator lets a back end leave: once in force it gets no new work."""
        name = self._random.choice(sorted(self.fleet.engines))
        revision = await self.operators.set_draining(name, True)
        if not revision:
            return
        for _ in range(_IN_FORCE_TRIES):
            leader = self.fleet.leader()
            if leader is not None and leader.state.in_force_revision >= revision:
                await asyncio.sleep(_LEAVING_S)
                before = self._started_at(name)
                await asyncio.sleep(_LEAVING_S)
                started = self._started_at(name) - before
                invariant(
                    started == 0,
                    "leaving_back_ends_get_no_new_work",
                    step="operator_drain",
                    peer=name,
                    detail=f"{started} runs started",
                )
                break
            await asyncio.sleep(1.0)
        while not await self.operators.set_draining(name, False):
            await asyncio.sleep(1.0)

    def _started_at(self, engine: str) -> int:
        runs = self.fleet.books.engine_runs.values()
        return sum(run.engine == engine for group in runs for run in group)

    # ---- control ----------------------------------------------------------

    async def leader_crash(self) -> None:
        """Crash the leader in the middle of changes; unsynced bytes are lost."""
        leader = self.fleet.leader()
        if leader is None or self._repairing.locked():
            return
        async with self._repairing:
            change = asyncio.get_running_loop().create_task(self.operators.race())
            await asyncio.sleep(self._random.random() * 0.01)
            name = leader.options.name
            await self.fleet.crash_control(name)
            await asyncio.sleep(self._random.uniform(1, 15))
            if name not in self.fleet.controls:
                await self.fleet.start_control(name)
            await change

    async def lost_after_repair(self) -> None:
        """Replace a member's disk, wait until it counts again, then lose a second one."""
        if self._repairing.locked():
            return
        async with self._repairing:
            first, second = self._random.sample(self.fleet.control_names(), 2)
            # Two of three disks lost before a repair are more than a quorum of
            # three can bear, so each loss waits until all members count.
            for name in (first, second):
                if not self._all_count():
                    return
                await self._replace_disk(name)

    def _all_count(self) -> bool:
        leader = self.fleet.leader()
        if leader is None or len(voters(leader.node.membership())) < CONTROL_MEMBERS:
            return False
        return all(
            name in self.fleet.controls and self.fleet.controls[name].node.may_vote()
            for name in self.fleet.control_names()
        )

    async def _replace_disk(self, name: str) -> None:
        await self.fleet.crash_control(name, wipe=True)
        await asyncio.sleep(self._random.uniform(0.5, 5))
        if name not in self.fleet.controls:
            await self.fleet.start_control(name)
        for _ in range(int(_REPAIR_TIMEOUT_S)):
            member = self.fleet.controls.get(name)
            if member is not None and member.node.may_vote():
                return
            await asyncio.sleep(1.0)

    async def power_loss(self) -> None:
        """Crash all control members at once; unsynced bytes are lost."""
        if self._repairing.locked():
            return
        async with self._repairing:
            for name in self.fleet.control_names():
                await self.fleet.crash_control(name)
            await asyncio.sleep(self._random.uniform(0.5, 3))
            for name in self.fleet.control_names():
                if name not in self.fleet.controls:
                    await self.fleet.start_control(name)

    async def failed_sync(self) -> None:
        """Let a member's disk fail a sync: the member must stop."""
        if self._repairing.locked():
            return
        async with self._repairing:
            name = self._random.choice(self.fleet.control_names())
            self.fleet.disks[name].fail_syncs = True
            await asyncio.sleep(self._random.uniform(2, 6))
            self.fleet.disks[name].fail_syncs = False
            await self.fleet.crash_control(name)
            await self.fleet.start_control(name)

    async def operators_race(self) -> None:
        """Two operators change one resource under equal versions."""
        await self.operators.race()

    async def long_absence(self) -> None:
        """Restart a router after hundreds of changes have gone by without it."""
        name = self._random.choice(self.fleet.router_names())
        if name not in self.fleet.routers:
            return
        await self.fleet.crash_router(name)
        await self.operators.change_many(150)
        if name not in self.fleet.routers:
            await self.fleet.start_router(name)


FAULTS = {
    kind.name: kind
    for kind in (
        FaultKind("zone-cut", 90, FaultInjector.zone_cut),
        FaultKind("one-way-cut", 120, FaultInjector.one_way_cut),
        FaultKind("router-cut", 100, FaultInjector.router_cut),
        FaultKind("silent-leader", 110, FaultInjector.silent_leader),
        FaultKind("bad-weather", 80, FaultInjector.bad_weather),
        FaultKind("router-crash", 60, FaultInjector.router_crash),
        FaultKind("agent-crash", 45, FaultInjector.agent_crash),
        FaultKind("engine-fault", 40, FaultInjector.engine_fault),
        FaultKind("service-fault", 50, FaultInjector.service_fault),
        FaultKind("planned-stop", 60, FaultInjector.planned_stop),
        FaultKind("operator-drain", 60, FaultInjector.operator_drain),
        FaultKind("leader-crash", 90, FaultInjector.leader_crash),
        FaultKind("lost-after-repair", 200, FaultInjector.lost_after_repair),
        FaultKind("power-loss", 300, FaultInjector.power_loss),
        FaultKind("failed-sync", 200, FaultInjector.failed_sync),
        FaultKind("operators-race", 30, FaultInjector.operators_race),
        FaultKind("long-absence", 250, FaultInjector.long_absence),
    )
}
