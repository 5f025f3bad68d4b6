"""The simulated fleet: processes that start, crash and come back."""

import asyncio
import random
from collections.abc import Coroutine
from dataclasses import dataclass
from typing import Any

from heronladder_agent.role import AgentOptions, AgentRole
from heronladder_consensus.timing import ConsensusTiming
from heronladder_control.member import ControlMember
from heronladder_control.options import ControlOptions
from heronladder_emulator.engine import EmulatedEngine, EngineOptions
from heronladder_emulator.execution_records import ExecutionRecords
from heronladder_emulator.memory_disk import MemoryDisk
from heronladder_emulator.memory_stubs import MemoryStubs
from heronladder_emulator.network import Location, MemoryNetwork, NetworkConditions
from heronladder_emulator.service import EmulatedService
from heronladder_router.role import RouterOptions, RouterRole
from heronladder_runtime.clock import Environment
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.invariants import invariant
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_schema.v1 import consensus_pb2

from heronladder_tools.oracle import BillBook
from heronladder_tools.profiles import BackendPlace, Profile, backend_names
from heronladder_tools.simulation.channels import (
    MemoryAgentChannel,
    MemoryEngineAdapter,
    MemoryServiceAdapter,
)

CONTROL_MEMBERS = 3
ROUTERS = 3
_SNAPSHOT_ENTRIES = 400
_DRAIN_GRACE_S = 130.0  # over a request's whole time
_HEALTH_CHECK_S = 1.0
_HEALTH_CHECKS = 2
_BALANCER_LAG_S = 4.0
CALLERS = "callers"
OUTSIDE = "outside"
_ENGINE_STEP_S = 0.02


@dataclass
class RouterView:
    """What the platform's balancer knows of a router.

    Attributes:
        shown: Whether it sends callers there.
        differing: Health checks in a row that say otherwise.
    """

    shown: bool = False
    differing: int = 0


def _assert_nothing_cut(name: str, metrics: Metrics, alive: bool) -> None:
    """A planned stop cuts nothing, unless the process crashed while it drained."""
    cut = metrics.counters["planned_stop_cuts", ""]
    invariant(
        not alive or cut == 0,
        "planned_stops_cut_nothing",
        step="planned_stop",
        peer=name,
        detail=f"{cut} cut",
    )


class SimulatedFleet:
    """All processes of one profile on the network in memory.

    Args:
        profile: The user whose fleet it is.
        source: Source of all random choices.
        cache_blocks: Blocks of each engine's prefix cache.
    """

    def __init__(self, profile: Profile, source: random.Random, cache_blocks: int = 4_096) -> None:
        self.profile = profile
        self._cache_blocks = cache_blocks
        self.environment = Environment(source, virtual=True)
        self.network = MemoryNetwork(source, NetworkConditions(zone_delay_s=profile.zone_delay_s))
        self.books = ExecutionRecords()
        self.bills = BillBook()
        self.disks: dict[str, MemoryDisk] = {}
        self.controls: dict[str, ControlMember] = {}
        self.routers: dict[str, RouterRole] = {}
        self.agents: dict[str, AgentRole] = {}
        self.engines: dict[str, EmulatedEngine] = {}
        self.services: dict[str, EmulatedService] = {}
        self.places: dict[str, BackendPlace] = {}
        self.views: dict[str, RouterView] = {}
        self.leaving: dict[str, bool] = {}
        self.log = EventLog("simulation", "fleet")
        self._background: dict[asyncio.Task[None], None] = {}

    # ---- names and places -------------------------------------------------

    def control_names(self) -> list[str]:
        """Return the names of all control members."""
        return [f"control-{number}" for number in range(CONTROL_MEMBERS)]

    def router_names(self) -> list[str]:
        """Return the names of all routers."""
        return [f"router-{number}" for number in range(ROUTERS)]

    def zone_of(self, name: str) -> str:
        """Return the zone of a control member or router."""
        number = int(name.rpartition("-")[2])
        return self.profile.zones[number % len(self.profile.zones)]

    def _place(self, zone: str) -> Location:
        return Location(zone, self.profile.name)

    def processes_in(self, zone: str) -> frozenset[str]:
        """Return the names of all processes that stand in a zone."""
        return frozenset(
            name for name, endpoint in self.network.endpoints.items() if endpoint.place.zone == zone
        )

    # ---- starting ---------------------------------------------------------

    async def start(self) -> None:
        """Start all processes."""
        for name in self.control_names():
            await self.start_control(name)
        for number, (name, service, zone) in enumerate(backend_names(self.profile), start=1):
            place = BackendPlace(name, service, zone, f"10.0.0.{number}:7781")
            self.places[name] = place
            self.network.names[f"10.0.0.{number}"] = place.agent
            self._start_backend(place)
            await self.start_agent(name)
        for name in self.router_names():
            await self.start_router(name)
        self.network.start(CALLERS, self._place(OUTSIDE), {})
        self._run(self._check_routers())

    def _start_backend(self, place: BackendPlace) -> None:
        if place.service == self.profile.model_service:
            options = EngineOptions(
                place.name, step_s=_ENGINE_STEP_S, cache_blocks=self._cache_blocks
            )
            engine = EmulatedEngine(options, self.books, self.environment)
            engine.start()
            self.engines[place.name] = engine
        else:
            self.services[place.name] = EmulatedService(place.name, self.books)

    async def start_control(self, name: str) -> None:
        """Start a control member on its disk."""
        disk = self.disks.setdefault(name, MemoryDisk(self.environment.random))
        members = [
            consensus_pb2.Member(name=member, address=f"{member}:1", voter=True)
            for member in self.control_names()
        ]
        options = ControlOptions(
            name=name,
            group=self.profile.name,
            initial_members=members,
            timing=ConsensusTiming(1.0, _SNAPSHOT_ENTRIES),
        )

        def failed(error: HeronladderError) -> None:
            self.log.warning("member_stopped", step=error.step, peer=name, why=error.message)
            self._run(self.crash_control(name))

        stubs = MemoryStubs(self.network, name)
        member = ControlMember(options, disk.handle(), stubs, self.environment, failed)
        self.bills.follow(member.state)
        servers = {"consensus": member.consensus_service, "control": member.service}
        self.network.start(name, self._place(self.zone_of(name)), servers)
        self.controls[name] = member
        await member.start()

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._background[task] = None
        task.add_done_callback(lambda done: self._background.pop(done, None))

    async def start_agent(self, name: str) -> None:
        """Start the agent beside a back end."""
        place = self.places[name]
        options = AgentOptions(
            name=place.agent,
            region=self.profile.name,
            zone=place.zone,
            backend=name,
            control_addresses=[f"{member}:1" for member in self.control_names()],
        )
        adapter = (
            MemoryEngineAdapter(self.engines[name])
            if name in self.engines
            else MemoryServiceAdapter(self.services[name])
        )
        stubs = MemoryStubs(self.network, place.agent)
        role = AgentRole(options, adapter, stubs, self.environment)
        self.network.start(place.agent, self._place(place.zone), {"agent": role})
        self.agents[name] = role
        await role.start()

    async def start_router(self, name: str) -> None:
        """Start a router; the balancer shows it a while later."""
        options = RouterOptions(
            name=name,
            region=self.profile.name,
            zone=self.zone_of(name),
            control_addresses=[f"{member}:1" for member in self.control_names()],
        )
        channel = MemoryAgentChannel(self.network, name)
        stubs = MemoryStubs(self.network, name)
        role = RouterRole(options, channel, stubs, self.environment)
        self.network.start(name, self._place(self.zone_of(name)), {"router": role})
        self.routers[name] = role
        self.views.setdefault(name, RouterView())
        await role.start()

    async def _check_routers(self) -> None:
        """Check the routers' health as the platform's balancer does, with its lag."""
        while True:
            await asyncio.sleep(_HEALTH_CHECK_S)
            for name, view in self.views.items():
                role = self.routers.get(name)
                healthy = role is not None and name not in self.leaving and role.ready()
                view.differing = 0 if healthy == view.shown else view.differing + 1
                if view.differing >= _HEALTH_CHECKS:
                    view.shown = healthy
                    view.differing = 0

    def shown_routers(self) -> list[str]:
        """Return the routers that the balancer sends callers to."""
        return sorted(name for name, view in self.views.items() if view.shown)

    def leader(self) -> ControlMember | None:
        """Return the member that leads in the highest term, if one does."""
        leaders = [member for member in self.controls.values() if member.node.is_leader]
        return max(leaders, key=lambda member: member.node.term, default=None)

    # ---- crashes and planned stops ----------------------------------------

    async def crash_control(self, name: str, *, wipe: bool = False) -> None:
        """End a control member at once; unsynced bytes, or all, are lost."""
        member = self.controls.pop(name, None)
        if member is None:
            return
        disk = self.disks[name]
        if wipe:
            disk.wipe()
        else:
            disk.crash()
        self.network.kill(name)
        await member.stop()

    async def crash_router(self, name: str) -> None:
        """End a router at once; the balancer notices a while later."""
        role = self.routers.pop(name, None)
        if role is None:
            return
        self.network.kill(name)
        await role.abort()

    async def crash_agent(self, name: str) -> None:
        """End an agent at once; its back end goes on."""
        role = self.agents.pop(name, None)
        if role is None:
            return
        self.network.kill(self.places[name].agent)
        await role.abort()

    async def stop_router(self, name: str) -> None:
        """Make a planned stop of a router."""
        role = self.routers[name]
        self.leaving[name] = True
        await asyncio.sleep(_BALANCER_LAG_S)
        await role.drain(_DRAIN_GRACE_S)
        _assert_nothing_cut(name, role.metrics, self.routers.get(name) is role)
        await role.stop()
        del self.leaving[name]
        if self.routers.get(name) is role:
            del self.routers[name]
            self.network.kill(name)

    async def stop_agent(self, name: str) -> None:
        """Make a planned stop of an agent."""
        role = self.agents[name]
        await role.drain(_DRAIN_GRACE_S)
        _assert_nothing_cut(name, role.metrics, self.agents.get(name) is role)
        await role.stop()
        if self.agents.get(name) is role:
            del self.agents[name]
            self.network.kill(self.places[name].agent)

    async def stop(self) -> None:
        """End everything."""
        for task in list(self._background):
            task.cancel()
        for router in self.routers.values():
            await router.abort()
        for agent in self.agents.values():
            await agent.abort()
        for member in self.controls.values():
            await member.stop()
        for engine in self.engines.values():
            await engine.stop()
        for name in list(self.network.endpoints):
            self.network.kill(name)
