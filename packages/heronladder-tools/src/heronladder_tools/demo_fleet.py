"""A whole fleet in one process, over loopback sockets."""

import asyncio
import hashlib
import itertools
import os
import socket
from ipaddress import ip_address
from pathlib import Path

import aiohttp
from heronladder_daemon.daemon import Daemon
from heronladder_daemon.http_listener import HttpListener
from heronladder_emulator.engine import EmulatedEngine, EngineOptions
from heronladder_emulator.execution_records import ExecutionRecords
from heronladder_emulator.http import EngineFront, ServiceFront
from heronladder_emulator.service import EmulatedService
from heronladder_runtime.clock import Environment
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.manifests import FIELD_KINDS, kind_of, to_manifest
from heronladder_runtime.settings import load
from heronladder_schema.v1 import resources_pb2

from heronladder_tools.oracle import BillBook
from heronladder_tools.profiles import BackendPlace, Profile, backend_names, resources

OPERATOR_TOKEN = "demo-operator"
_LOOPBACK = "127.0.0.1"
# Outgoing connections leave from 127.0.0.1 and would take a port that is free for a moment, as
# would another process that asks at the same time: listeners that need their port beforehand
# stand on an address of their process, and no port is given out twice.
_LISTENERS_FROM = int(ip_address("127.1.0.0"))
_PORTS = itertools.count(10_000)
_LAST_PORT = 65_535
_CONTROL_MEMBERS = 3
_ROUTERS = 3
_READY_TIMEOUT_S = 30.0
_POLL_S = 0.05
_OK = 200
_TRY_AGAIN = 503  # leadership is changing: nothing is decided yet


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses that are free, and that no other process is given.

    Raises:
        HeronladderError: This process has used up its ports.
    """
    host = str(ip_address(_LISTENERS_FROM + os.getpid()))
    addresses: list[str] = []
    while len(addresses) < count:
        port = next(_PORTS)
        if port > _LAST_PORT:
            raise HeronladderError("no port is left", step="free_addresses", peer=host)
        if _is_free(host, port):
            addresses.append(f"{host}:{port}")
    return addresses


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as holder:
        try:
            holder.bind((host, port))
        except OSError:
            return False
    return True


class DemoFleet:
    """Control members, routers, agents and stand-ins of one profile.

    Args:
        profile: The user whose fleet it is.
        folder: Where control members keep their data folders.
        budget_tokens: Prepaid tokens of each tenant's budget.
        balancer: Balancer of the services; empty for the default.
    """

    def __init__(
        self, profile: Profile, folder: Path, budget_tokens: int, balancer: str = ""
    ) -> None:
        self.profile = profile
        self.books = ExecutionRecords()
        self.bills = BillBook()
        self.controls: dict[str, Daemon] = {}
        self.routers: dict[str, Daemon] = {}
        self.agents: dict[str, Daemon] = {}
        self.engines: dict[str, EmulatedEngine] = {}
        self.services: dict[str, EmulatedService] = {}
        self.router_addresses: dict[str, str] = {}
        self.api_addresses: list[str] = []
        self._folder = folder
        self._budget_tokens = budget_tokens
        self._balancer = balancer
        self._environment = Environment()
        self._fronts: list[HttpListener] = []
        self._control_addresses: list[str] = []
        self._places: dict[str, BackendPlace] = {}
        self._backend_addresses: dict[str, str] = {}
        self._initial_members = ""

    # ---- start ------------------------------------------------------------

    async def start(self) -> None:
        """Start everything and declare the profile's resources.

        Raises:
            HeronladderError: If the fleet does not come up.
        """
        self._control_addresses = free_addresses(_CONTROL_MEMBERS)
        self.api_addresses = free_addresses(_CONTROL_MEMBERS)
        self._initial_members = ",".join(
            f"control-{number}={grpc}/{api}"
            for number, (grpc, api) in enumerate(
                zip(self._control_addresses, self.api_addresses, strict=True)
            )
        )
        for number in range(_CONTROL_MEMBERS):
            await self.start_control(number)
        await self._start_backends()
        for place in self._places.values():
            await self.start_agent(place.name)
        for number in range(_ROUTERS):
            await self.start_router(number)
        await self._declare()
        await self._wait_ready()

    def _common_flags(self, name: str, zone: str, roles: str) -> dict[str, str | None]:
        return {
            "name": name,
            "roles": roles,
            "region": self.profile.name,
            "zone": zone,
            "control_addresses": ",".join(self._control_addresses),
            "admin_listen": f"{_LOOPBACK}:0",
            "heartbeat_interval_ms": "1000",
        }

    def _zone(self, number: int) -> str:
        return self.profile.zones[number % len(self.profile.zones)]

    async def start_control(self, number: int) -> None:
        """Start a control member, on its old data folder if it has one."""
        name = f"control-{number}"
        flags = self._common_flags(name, self._zone(number), "control")
        flags["control_listen"] = self._control_addresses[number]
        flags["api_listen"] = self.api_addresses[number]
        flags["initial_members"] = self._initial_members
        flags["data_folder"] = str(self._folder / name)
        flags["operator_tokens"] = "demo:" + hashlib.sha256(OPERATOR_TOKEN.encode()).hexdigest()
        daemon = Daemon(load(flags, {}))
        await daemon.start()
        assert daemon.control is not None
        self.bills.follow(daemon.control.state)
        self.controls[name] = daemon

    async def _start_backends(self) -> None:
        names = backend_names(self.profile)
        addresses = free_addresses(len(names))
        for (name, service, zone), address in zip(names, addresses, strict=True):
            self._places[name] = BackendPlace(name, service, zone, address)
            if service == self.profile.model_service:
                engine = EmulatedEngine(EngineOptions(name), self.books, self._environment)
                engine.start()
                self.engines[name] = engine
                front = HttpListener(EngineFront(engine).application(), f"{_LOOPBACK}:0")
            else:
                plain = EmulatedService(name, self.books)
                self.services[name] = plain
                front = HttpListener(ServiceFront(plain).application(), f"{_LOOPBACK}:0")
            await front.start()
            self._fronts.append(front)
            self._backend_addresses[name] = front.address

    async def start_agent(self, name: str) -> None:
        """Start the agent beside a back end."""
        place = self._places[name]
        flags = self._common_flags(place.agent, place.zone, "agent")
        flags["agent_listen"] = place.agent_address
        flags["backend_name"] = name
        flags["backend_address"] = self._backend_addresses[name]
        flags["agent_concurrency"] = "32"
        flags["backend_kind"] = "engine" if name in self.engines else "service"
        daemon = Daemon(load(flags, {}))
        await daemon.start()
        self.agents[name] = daemon

    async def start_router(self, number: int) -> None:
        """Start a router."""
        name = f"router-{number}"
        address = self.router_addresses.get(name) or free_addresses(1)[0]
        flags = self._common_flags(name, self._zone(number), "router")
        flags["router_listen"] = address
        flags["balancer_lag_ms"] = "500"
        daemon = Daemon(load(flags, {}))
        await daemon.start()
        self.routers[name] = daemon
        self.router_addresses[name] = address

    async def _declare(self) -> None:
        declared = resources(
            self.profile, list(self._places.values()), self._budget_tokens, self._balancer
        )
        headers = {"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        async with aiohttp.ClientSession(headers=headers) as session:
            for resource in declared:
                await self._put(session, resource)

    async def _put(self, session: aiohttp.ClientSession, resource: resources_pb2.Resource) -> None:
        kind = FIELD_KINDS[kind_of(resource)]
        url = f"http://{self.api_addresses[0]}/v1/{kind}/{resource.metadata.name}"
        deadline_s = self._environment.monotonic() + _READY_TIMEOUT_S
        while True:
            async with session.put(url, json=to_manifest(resource)) as answer:
                if answer.status == _OK:
                    return
                is_over = self._environment.monotonic() > deadline_s
                if answer.status != _TRY_AGAIN or is_over:
                    raise HeronladderError(
                        await answer.text(), step="declare", peer=resource.metadata.name
                    )
            await asyncio.sleep(_POLL_S)

    async def _wait_ready(self) -> None:
        deadline_s = self._environment.monotonic() + _READY_TIMEOUT_S
        while not self._all_ready():
            if self._environment.monotonic() > deadline_s:
                raise HeronladderError("the fleet did not come up in time", step="start")
            await asyncio.sleep(_POLL_S)

    def _all_ready(self) -> bool:
        leader = self.leader()
        if leader is None or leader.control is None:
            return False
        state = leader.control.state
        in_force = state.in_force_revision >= state.resources.revision
        daemons = [*self.routers.values(), *self.agents.values()]
        usable = all(
            len(daemon.router.directory.usable(self.profile.model_service))
            == self.profile.model_replicas
            for daemon in self.routers.values()
            if daemon.router is not None
        )
        return in_force and usable and all(daemon.ready() for daemon in daemons)

    def leader(self) -> Daemon | None:
        """Return the control daemon that leads, if one does."""
        for daemon in self.controls.values():
            if daemon.control is not None and daemon.control.node.is_leader:
                return daemon
        return None

    # ---- failures and stop ------------------------------------------------

    async def kill_router(self, name: str) -> None:
        """End a router at once."""
        await self.routers.pop(name).abort()

    async def kill_agent(self, name: str) -> None:
        """End an agent at once; its back end goes on."""
        await self.agents.pop(name).abort()

    async def kill_leader(self) -> str:
        """End the leading control member at once; return its name."""
        leader = self.leader()
        if leader is None:
            return ""
        name = leader.settings.common.name
        await self.controls.pop(name).abort()
        return name

    async def stop(self) -> None:
        """Stop everything."""
        for daemon in [*self.routers.values(), *self.agents.values()]:
            await daemon.abort()
        for front in self._fronts:
            await front.stop()
        for engine in self.engines.values():
            await engine.stop()
        for daemon in self.controls.values():
            await daemon.abort()
