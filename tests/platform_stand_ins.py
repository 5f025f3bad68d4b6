"""Stand-ins of the users' platform over loopback: a fleet of our daemons, replicas, callers."""

import asyncio
import json
import socket
import struct
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from io import BytesIO
from typing import Any

import aiohttp
from heronladder_daemon.daemon import Daemon
from heronladder_platform import names as platform_names
from heronladder_platform import settings as platform_settings
from heronladder_platform.control_api import ControlApi
from heronladder_platform.readiness import ready_application
from heronladder_runtime.rpc import GrpcStubs
from heronladder_tools.demo_fleet import free_addresses
from multidict import CIMultiDict
from shaped_link import ShapedLink, ShapedLinkStubs
from silent_link import SilentLink

HOST = "canteen.example"
KEY = "key-of-tenant-a"
SERVICE = "app"
_PATIENCE_S = 15.0
_BEFORE_RESET_S = 0.05  # what was written arrives before the reset
Script = Callable[["StandInReplica", "Received"], Awaitable[bytes]]


@dataclass
class Received:
    """One request as a replica read it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


def answer(received: Received, status: str = "200 OK", body: bytes = b"done", **more: str) -> bytes:
    """Return a sound answer of a replica."""
    lines = [
        f"HTTP/1.1 {status}",
        f"Request-Id: {received.headers['request-id']}",
        "Server-Stamp: stamp-1",
        f"Content-Length: {len(body)}",
    ]
    return _head(lines, more) + body


def _head(lines: list[str], more: dict[str, str]) -> bytes:
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in more.items()]
    return "\r\n".join([*lines, "", ""]).encode()


def stream_head(received: Received, **more: str) -> bytes:
    """Return the head of an event stream without a length."""
    lines = [
        "HTTP/1.1 200 OK",
        "Content-Type: text/event-stream",
        f"Request-Id: {received.headers['request-id']}",
        "Server-Stamp: stamp-1",
        "Transfer-Encoding: chunked",
    ]
    return _head(lines, more)


def event(number: int) -> bytes:
    """Return one event as a chunk."""
    text = f"id: {number}\ndata: part {number}\n\n".encode()
    return f"{len(text):x}\r\n".encode() + text + b"\r\n"


END_OF_CHUNKS = b"0\r\n\r\n"


class StandInReplica:
    """A replica whose every byte a test decides.

    Args:
        identity: Its id.
        script: Returns the bytes to answer with; empty closes the connection.
    """

    def __init__(self, identity: str, script: Script) -> None:
        self.identity = identity
        self.script = script
        self.received: list[Received] = []
        self.connections = 0  # accepted so far
        self.reset = False  # whether to reset, not close, after an answer
        self.close_after = False
        self.address = ""
        self._server: asyncio.Server | None = None
        self._serving: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Listen on loopback."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def stop(self) -> None:
        """Stop listening, and drop all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._serving):
            task.cancel()
        await asyncio.gather(*self._serving, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._serving.add(task)
        self.connections += 1
        try:
            while True:
                received = await self._read(reader)
                self.received.append(received)
                data = await self.script(self, received)
                writer.write(data)
                await writer.drain()
                if self.reset or self.close_after or not data:
                    break
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._serving.discard(task)
            if self.reset:
                await asyncio.sleep(_BEFORE_RESET_S)
                linger = struct.pack("ii", 1, 0)  # closing sends a reset
                raw = writer.get_extra_info("socket")
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.close()

    @staticmethod
    async def _read(reader: asyncio.StreamReader) -> Received:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = head.strip().split("\r\n")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        method, target, _ = first.split(" ")
        return Received(method, target, headers, body)

    def heartbeat(self, **changes: Any) -> dict[str, Any]:
        """Return the body of its heartbeat."""
        told = {
            "service": SERVICE,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
        }
        return {**told, **changes}


# Objective of routes whose test is not about time: tokens are waited for as a share of it, and on
# a busy machine a draw takes longer than that of 400 ms leaves.
UNHURRIED_MS = 2_000


def route(prefix: str, **changes: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    declared = {
        "name": prefix.strip("/"),
        "host": HOST,
        "pathPrefix": prefix,
        "kind": "safe",
        "timeoutMs": 2000,
        "targetLatencyMs": 400,
        "priority": 1,
        "service": SERVICE,
        "maxAttempts": 2,
        "allowAnonymous": False,
    }
    return {**declared, **changes}


def configuration(version: int, *routes: dict[str, Any], **changes: Any) -> dict[str, Any]:
    """Return a whole configuration."""
    declared = {
        "version": version,
        "routes": list(routes) or [route("/safe/")],
        "services": [{"name": SERVICE, "healthPath": "/healthz", "maxConnections": 100}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1000, "idleTimeoutMs": 15000},
        "tenants": [{"name": "tenant-a", "apiKeys": [KEY], "priority": 1}],
    }
    return {**declared, **changes}


@dataclass
class Answer:
    """What a caller got."""

    status: int
    headers: dict[str, str]
    body: bytes


@dataclass
class StartedGateway:
    """A gateway that runs, and where callers reach it."""

    daemon: Daemon
    address: str
    ready_address: str

    def knows(self, replica: str) -> bool:
        """Whether it has heard of a replica."""
        assert self.daemon.gateway is not None
        return replica in self.daemon.gateway.replicas._replicas


@dataclass
class Fleet:
    """One control member and one gateway or more, as the platform would start them."""

    control: Daemon
    gateway: Daemon
    control_address: str
    control_grpc: str
    gateway_address: str
    ready_address: str
    session: aiohttp.ClientSession
    folder: "tempfile.TemporaryDirectory[str]"
    replicas: list[StandInReplica] = field(default_factory=list)
    more_gateways: list[StartedGateway] = field(default_factory=list)

    @property
    def gateways(self) -> list[StartedGateway]:
        """All gateways, the first one first."""
        first = StartedGateway(self.gateway, self.gateway_address, self.ready_address)
        return [first, *self.more_gateways]

    async def add_gateway(
        self, name: str, link: ShapedLink | SilentLink | None = None
    ) -> StartedGateway:
        """Start one more gateway, which reaches control over ``link`` if one is given."""
        added = await start_gateway(name, self.control_grpc, self.control_address, link)
        self.more_gateways.append(added)
        return added

    async def call(self, address: str, method: str, path: str, body: Any = None) -> Answer:
        """Make a call of the operator or of a replica."""
        # As a file: over a megabyte aiohttp warns of plain bytes.
        data = body if isinstance(body, bytes | None) else BytesIO(json.dumps(body).encode())
        async with self.session.request(method, f"http://{address}{path}", data=data) as got:
            return Answer(got.status, dict(got.headers), await got.read())

    async def replace(self, document: Any) -> Answer:
        """Send a configuration."""
        return await self.call(self.control_address, "POST", "/api/Config.Replace", document)

    async def request(
        self, path: str, *, method: str = "POST", body: bytes = b"", **headers: str
    ) -> Answer:
        """Make a caller's request at the first gateway."""
        return await self.request_at(self.gateway_address, path, method, body, **headers)

    async def request_at(
        self, address: str, path: str, method: str = "POST", body: bytes = b"", **headers: str
    ) -> Answer:
        """Make a caller's request at a gateway."""
        named = {
            "Host": HOST,
            "Request-Id": f"r-{len(headers)}-{path.strip('/')}",
            "Authorization": f"Token {KEY}",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        url = f"http://{address}{path}"
        async with self.session.request(method, url, headers=named, data=body) as got:
            return Answer(got.status, dict(got.headers), await got.read())

    async def request_with(self, path: str, headers: list[tuple[str, str]]) -> Answer:
        """Make a caller's request with further headers, which may be repeated."""
        own = [("Host", HOST), ("Request-Id", f"w-{path}"), ("Authorization", f"Token {KEY}")]
        url = f"http://{self.gateway_address}{path}"
        sent = CIMultiDict([*own, *headers])
        async with self.session.request("POST", url, headers=sent, data=b"") as got:
            return Answer(got.status, dict(got.headers), await got.read())

    async def add_replica(self, identity: str, script: Script, **changes: Any) -> StandInReplica:
        """Start a replica and register it; return once all gateways know it."""
        replica = StandInReplica(identity, script)
        await replica.start()
        self.replicas.append(replica)
        told = await self.call(
            self.control_address,
            "POST",
            f"/api/Replicas.Heartbeat/{identity}",
            replica.heartbeat(**changes),
        )
        if told.status != 200:
            raise AssertionError(told)
        async with asyncio.timeout(_PATIENCE_S):
            while not all(gateway.knows(identity) for gateway in self.gateways):
                await asyncio.sleep(0.01)
        return replica

    async def stop(self) -> None:
        """Stop everything."""
        await self.session.close()
        for replica in self.replicas:
            await replica.stop()
        for gateway in self.gateways:
            await gateway.daemon.abort()
        await self.control.stop()
        self.folder.cleanup()


def settings_document(role: str, data_folder: str | None, port: int, listen: dict[str, str]) -> Any:
    """Return the settings file of a machine."""
    return {
        "nodeName": f"{role}-1",
        "ip": "127.0.0.1",
        "zone": "z1",
        "region": "r1",
        "zones": {"z1": "r1", "z2": "r2"},
        "listen": listen,
        "internalPorts": [port, port + 15],
        "seeds": [],
        "bootstrap": True,
        "dataDir": data_folder,
        "faultTolerance": {"machines": 0},
        "bounds": {"retryBudgetRatio": 0.2, "budgetSlack": 50, "budgetWindowS": 10, "graceS": 8},
    }


async def start_gateway(
    name: str, control_grpc: str, control: str, link: ShapedLink | SilentLink | None = None
) -> StartedGateway:
    """Start a gateway; ``control_grpc`` may name several members, which ``link`` leads to."""
    front, ready, admin, lending = free_addresses(4)
    document = settings_document("front", None, 1, {"front": front, "readiness": ready})
    named = document | {"nodeName": name, "seeds": [control]}
    settings = platform_settings.translate(named, platform_settings.GATEWAY)
    settings.common.control_addresses = control_grpc
    settings.common.admin_listen = admin
    settings.gateway.lending_listen = lending
    daemon = Daemon(settings, gateway_names=platform_names.GATEWAY_NAMES)
    if link is not None:
        daemon._stubs = ShapedLinkStubs(GrpcStubs(), link)  # type: ignore[assignment]
    await daemon.start()
    await daemon.listen(ready_application(daemon.ready), ready)
    return StartedGateway(daemon, front, ready)


def with_rollouts(document: Any) -> Any:
    """Return a settings file with roll-outs on."""
    bounds = document["bounds"] | {"exposeShare": 0.1, "exposeSlack": 50, "rollbackMs": 5000}
    return document | {"contracts": ["base", "rollout"], "bounds": bounds}


async def start_fleet(first: dict[str, Any] | None = None, *, has_rollouts: bool = False) -> Fleet:
    """Start a control member and a gateway; apply a configuration if one is given."""
    folder = tempfile.TemporaryDirectory()
    grpc, api, admin, control = free_addresses(4)
    seeds = [control]
    control_document = settings_document("core", folder.name, 1, {"control": control}) | {
        "seeds": seeds
    }
    if has_rollouts:
        control_document = with_rollouts(control_document)
    control_settings = platform_settings.translate(control_document, platform_settings.CONTROL)
    control_settings.control.control_listen = grpc
    control_settings.control.api_listen = api
    control_settings.control.initial_members = f"127.0.0.1={grpc}/{control}"
    control_settings.control.join_contacts = grpc
    control_settings.common.admin_listen = admin
    member = Daemon(control_settings)
    await member.start()
    assert member.control is not None
    async with asyncio.timeout(_PATIENCE_S):
        while not member.control.node.is_leader:  # until then it has no clear answer
            await asyncio.sleep(0.02)
    await member.listen(ControlApi(member.control.fleet_service).application(), control)
    gateway = await start_gateway("front-1", grpc, control)
    session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))
    fleet = Fleet(
        member,
        gateway.daemon,
        control,
        grpc,
        gateway.address,
        gateway.ready_address,
        session,
        folder,
    )
    if first is not None:
        got = await fleet.replace(first)
        if got.status != 200:
            raise AssertionError(got)
    return fleet


__all__ = [
    "END_OF_CHUNKS",
    "Answer",
    "Fleet",
    "Received",
    "StandInReplica",
    "StartedGateway",
    "answer",
    "configuration",
    "event",
    "route",
    "settings_document",
    "start_fleet",
    "start_gateway",
    "stream_head",
    "with_rollouts",
]
