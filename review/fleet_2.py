"""Stand-ins for the scripts of this review: machines, the operator, replicas and clients.

They use nothing but Python's standard library. The programs of the project are started with the
commands of the deploy file, each as a process of its own on a loopback address of its own.
"""

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

REPOSITORY = Path(__file__).resolve().parent.parent
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
# As at vargas-preorden: what the settings file of a machine there holds.
BOUNDS = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 8,
    "lossSlackMs": 200,
    "configMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "strictRevoke": False,
    "revokeMs": 5000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetSlack": 52,
    "recoverS": 12,
    "passMs": 120,
    "retryAfterS": 10,
    "settle_ms": 1500,
}
CONTRACTS = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants"]
ZONES = {"heredia": "valle-central", "cartago": "valle-central", "alajuela": "valle-central"}
HEARTBEAT_S = 1.2
PROMISED = (408, 421, 429, 503)  # these statuses say: has not run and never will


class CouldNotRunError(Exception):
    """The case could not be played: nothing follows from it."""


class Record:
    """Writes what was sent, answered and run to record.txt, with the time since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start, in seconds."""
        return time.monotonic() - self._began_s

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now_s():8.3f} {text}\n")
        self._file.flush()

    def close(self) -> None:
        """Close the file."""
        self._file.close()


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


# ---- HTTP ---------------------------------------------------------------------------------------


@dataclass
class Message:
    """A request or a response as it was read."""

    first: str
    headers: dict[str, str]
    body: bytes = b""
    complete: bool = True

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read a head."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").strip().split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Read a chunk; an empty one is the last."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader: asyncio.StreamReader, message: Message, *, is_request: bool) -> None:
    """Read a body; ``complete`` is false if it was cut short."""
    parts: list[bytes] = []
    try:
        if message.headers.get("transfer-encoding", "").lower() == "chunked":
            while chunk := await read_chunk(reader):
                parts.append(chunk)
        elif "content-length" in message.headers:
            left = int(message.headers["content-length"])
            while left:
                data = await reader.read(min(left, 65536))
                if not data:
                    raise EOFError
                parts.append(data)
                left -= len(data)
        elif not is_request:
            while data := await reader.read(65536):
                parts.append(data)
    except (EOFError, OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
        message.complete = False
    message.body = b"".join(parts)


def head(first: str, headers: dict[str, Any]) -> bytes:
    """Return a head as it is sent."""
    lines = [first, *(f"{name}: {value}" for name, value in headers.items()), "", ""]
    return "\r\n".join(lines).encode("latin-1")


async def call(
    address: str, method: str, path: str, headers: dict[str, Any], body: bytes, timeout_s: float
) -> Message | None:
    """Send a request on a connection of its own; return its response, None if there was none."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            length = {"Content-Length": len(body)} if body or method == "POST" else {}
            writer.write(head(f"{method} {path} HTTP/1.1", headers | length) + body)
            message = await read_head(reader)
            await read_body(reader, message, is_request=False)
            return message
    except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError):
        return None
    finally:
        if writer is not None:
            writer.close()


# ---- machines -----------------------------------------------------------------------------------


class Machine:
    """A machine with one process of the project."""

    def __init__(self, fleet: "Fleet", role: str, name: str, ip: str, zone: str) -> None:
        self.fleet = fleet
        self.role = role
        self.name = name
        self.ip = ip
        self.zone = zone
        self.folder = fleet.folder / name
        self.data = self.folder / "data"
        self.folder.mkdir()
        self.process: subprocess.Popen[bytes] | None = None
        self.was_started = False

    @property
    def listen(self) -> dict[str, str]:
        """Addresses of what its role serves."""
        if self.role == "control":
            return {"control": f"{self.ip}:{self.fleet.control_port}"}
        return {
            "front": f"{self.ip}:{self.fleet.front_port}",
            "readiness": f"{self.ip}:{self.fleet.ready_port}",
        }

    def write_settings(self) -> Path:
        """Write its settings file as the platform would now."""
        is_control = self.role == "control"
        document = {
            "nodeName": self.name,
            "role": self.role,
            "machineClass": "core" if is_control else "front",
            "serves": ["control"] if is_control else ["front"],
            "ip": self.ip,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "zones": ZONES,
            "listen": self.listen,
            "internalPorts": [self.fleet.internal_port, self.fleet.internal_port + 15],
            "seeds": [f"{ip}:{self.fleet.control_port}" for ip in self.fleet.seeds],
            "bootstrap": not self.was_started and not self.fleet.has_started,
            "countsAsLoss": is_control,
            "limits": {"cpuShare": 1.0, "cores": 1, "memoryMb": 300, "maxFds": 4096},
            "dataDir": str(self.data) if is_control else None,
            "discovery": "registration",
            "entryMode": "vip",
            "heartbeatMs": int(HEARTBEAT_S * 1000),
            "contracts": self.fleet.contracts,
            "faultTolerance": {"machines": self.fleet.losses, "zones": 0, "regions": 0},
            "bounds": self.fleet.bounds,
            "configMode": "highest",
        }
        file = self.folder / "node.json"
        file.write_text(json.dumps(document))
        return file

    async def start(self) -> None:
        """Start its process with the command of the deploy file."""
        self.data.mkdir(exist_ok=True)
        settings = self.write_settings()
        self.was_started = True
        environment = {name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ}
        environment["LANG"] = os.environ.get("LANG", "C.UTF-8")
        environment["PYTHONPATH"] = str(REPOSITORY / "target" / "deps")
        environment["HERONLADDER_CONFIG"] = str(settings)
        with (self.folder / "output.log").open("ab") as output:
            self.process = subprocess.Popen(
                self.fleet.commands[self.role],
                cwd=REPOSITORY,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )
        self.fleet.record.write(f"started {self.name} at {self.ip}, process {self.process.pid}")

    @property
    def is_running(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to its process."""
        self.fleet.record.write(f"{number.name} to {self.name}")
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """End its process at once."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    async def lose_disk(self) -> None:
        """End its process at once; its disk is lost."""
        await self.kill()
        shutil.rmtree(self.data, ignore_errors=True)
        self.fleet.record.write(f"{self.name} has lost its disk")

    async def is_ready(self) -> bool:
        """Whether the platform's readiness question gets a 200."""
        got = await call(self.listen["readiness"], "GET", "/api/readyz", {"Host": "x"}, b"", 0.5)
        return got is not None and got.status == 200


def _are_free(ips: list[str], ports: list[int]) -> bool:
    for ip in ips:
        for port in ports:
            with socket.socket() as probe:
                probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    probe.bind((ip, port))
                except OSError:
                    return False
    return True


class Fleet:
    """All machines of a deployment, its operator, replicas and clients.

    Args:
        record: Where all that happens is written.
        controls: Machines that serve control.
        fronts: Machines that serve clients.
        losses: ``machines`` of ``faultTolerance``.
    """

    def __init__(self, record: Record, controls: int = 3, fronts: int = 1, losses: int = 1) -> None:
        self.record = record
        self.losses = losses
        self.bounds: dict[str, Any] = dict(BOUNDS)
        self.contracts = list(CONTRACTS)
        self.has_started = False
        deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        self.commands = {role: deploy["roles"][role]["run"].split() for role in deploy["roles"]}
        self._temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._temporary.name)
        zones = list(ZONES)
        while True:
            net = f"127.{random.randint(1, 250)}.{random.randint(0, 250)}"
            base = random.randrange(20_000, 30_000)
            ips = [f"{net}.{10 + number}" for number in range(controls + fronts)]
            if _are_free(ips, [*range(base, base + 20), 9464]):
                break
        self.net = net
        self.internal_port = base
        self.control_port, self.front_port, self.ready_port = base + 16, base + 17, base + 18
        self.seeds = ips[: min(3, controls)]
        self.controls = [
            Machine(self, "control", f"core-{n + 1}", ips[n], zones[n % len(zones)])
            for n in range(controls)
        ]
        self.fronts = [
            Machine(self, "gateway", f"front-{n + 1}", ips[controls + n], zones[n % len(zones)])
            for n in range(fronts)
        ]
        self.removed: list[Machine] = []
        self.replicas: list[Replica] = []
        self._tasks: set[asyncio.Task[Any]] = set()

    @property
    def machines(self) -> list[Machine]:
        """All machines, also those that were removed."""
        return [*self.controls, *self.fronts, *self.removed]

    async def replace_control(self, number: int) -> Machine:
        """Add an empty machine, at an address of its own, in place of a control machine.

        The settings files of all machines then name the seeds that there are now, and all
        processes get SIGHUP, as the platform does.
        """
        old = self.controls[number]
        new = Machine(self, "control", f"core-new-{number + 1}", f"{self.net}.{60 + number}", old.zone)
        self.controls[number] = new
        self.removed.append(old)
        self.seeds = [new.ip if ip == old.ip else ip for ip in self.seeds]
        await new.start()
        for machine in [*self.controls, *self.fronts]:
            if machine is not new:
                machine.write_settings()
                machine.signal(signal.SIGHUP)
        return new

    def run(self, work: Awaitable[Any]) -> asyncio.Task[Any]:
        """Start a task that ends with the fleet."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)  # kept, so that it is not collected
        task.add_done_callback(self._tasks.discard)
        return task

    async def start(self) -> None:
        """Start all machines."""
        await asyncio.gather(*(machine.start() for machine in self.machines))
        self.has_started = True

    async def wait_ready(self, limit_s: float = 30.0) -> None:
        """Wait until all fronts say that they are ready."""
        until_s = time.monotonic() + limit_s
        while not all([await machine.is_ready() for machine in self.fronts]):
            if time.monotonic() > until_s:
                raise CouldNotRunError("the fronts did not become ready")
            await asyncio.sleep(0.1)

    async def replace(self, document: dict[str, Any], limit_s: float = 30.0) -> float:
        """Send a configuration as the operator does until it is acknowledged.

        Returns:
            When it was acknowledged, in seconds since the start.
        """
        body = json.dumps(document).encode()
        until_s = time.monotonic() + limit_s
        address, pause_s, turn = self.controls[0].listen["control"], 0.1, 0
        while time.monotonic() < until_s:
            headers = {"Host": address, "Content-Type": "application/json"}
            got = await call(address, "POST", "/api/Config.Replace", headers, body, 1.0)
            status = got.status if got is not None else "no answer"
            self.record.write(f"operator: version {document['version']} to {address}: {status}")
            if got is not None and got.status == 200:
                return self.record.now_s()
            if got is not None and got.status in (400, 409, 412, 413, 422):
                raise CouldNotRunError(f"configuration refused: {got.status} {got.body[:200]!r}")
            turn += 1
            address = self.controls[turn % len(self.controls)].listen["control"]
            await asyncio.sleep(pause_s)
            pause_s = min(1.0, pause_s * 1.5)
        raise CouldNotRunError("configuration not acknowledged")

    async def offer(self, document: dict[str, Any], limit_s: float) -> Machine | None:
        """Send a configuration to one daemon after the other.

        Returns:
            The machine that acknowledged it; None if none did in time.
        """
        body = json.dumps(document).encode()
        until_s = time.monotonic() + limit_s
        turn = 0
        while time.monotonic() < until_s:
            machine = self.controls[turn % len(self.controls)]
            address = machine.listen["control"]
            headers = {"Host": address, "Content-Type": "application/json"}
            got = await call(address, "POST", "/api/Config.Replace", headers, body, 1.0)
            status = got.status if got is not None else "no answer"
            self.record.write(f"operator: version {document['version']} to {machine.name}: {status}")
            if got is not None and got.status == 200:
                return machine
            turn += 1
            await asyncio.sleep(0.1)
        return None

    async def read_back(self, limit_s: float) -> int | None:
        """Read the configuration back from one daemon after the other.

        Returns:
            The version that was read first; None if none was in time.
        """
        until_s = time.monotonic() + limit_s
        while time.monotonic() < until_s:
            for machine in self.controls:
                address = machine.listen["control"]
                got = await call(address, "GET", "/api/Config.Describe", {"Host": address}, b"", 1.0)
                status = got.status if got is not None else "no answer"
                self.record.write(f"operator: reads back at {machine.name}: {status}")
                if got is not None and got.status == 200:
                    version = int(json.loads(got.body)["version"])
                    self.record.write(f"operator: read version {version}")
                    return version
            await asyncio.sleep(0.5)
        return None

    async def stop(self) -> list[str]:
        """End everything; return which processes of the project had ended by themselves."""
        ended = [
            one.name for one in [*self.controls, *self.fronts] if one.was_started and not one.is_running
        ]
        for task in list(self._tasks):
            task.cancel()
        for replica in self.replicas:
            replica.close()
        for machine in self.machines:
            if machine.process is not None and machine.is_running:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for machine in self.machines:
                log = machine.folder / "output.log"
                if log.exists():
                    (Path(keep) / f"{machine.name}.log").write_bytes(log.read_bytes())
        self._temporary.cleanup()
        return ended


# ---- replicas -----------------------------------------------------------------------------------


@dataclass
class Run:
    """A request that a replica has run."""

    replica: str
    request_id: str
    at_s: float
    message: Message


Handler = Callable[["Replica", Message, asyncio.StreamWriter], Awaitable[bool]]


@dataclass(eq=False)
class Replica:
    """A replica: it reports itself to control and serves requests.

    Attributes:
        handler: Answers a request; returns whether the connection may be used again.
    """

    fleet: Fleet
    identity: str
    service: str
    ip: str
    zone: str
    handler: Handler
    slots: int = 64
    state: str = "ready"
    version: str = "v1"
    port: int = 0
    more: dict[str, Any] = field(default_factory=dict)
    runs: list[Run] = field(default_factory=list)

    async def start(self, port: int = 0) -> None:
        """Listen, and report to control from now on."""
        self._sequence = 0
        self._turn = random.randrange(len(self.fleet.controls))
        self._writers: set[asyncio.StreamWriter] = set()
        self._readers: dict[asyncio.StreamWriter, asyncio.StreamReader] = {}
        self._address = ""
        self._server = await asyncio.start_server(self._serve, self.ip, port, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]
        self.fleet.replicas.append(self)
        self._beats = self.fleet.run(self._beat())

    @property
    def address(self) -> str:
        """Its IP:port."""
        return f"{self.ip}:{self.port}"

    def close(self) -> None:
        """End it as a crash does: it says nothing more."""
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def tell(self, path: str, document: dict[str, Any] | None) -> bool:
        """Call control until a call is acknowledged, at most one call a daemon."""
        body = json.dumps(document).encode() if document is not None else b""
        addresses = [one.listen["control"] for one in self.fleet.controls]
        order = addresses[self._turn :] + addresses[: self._turn]
        if self._address:
            order.insert(0, self._address)
        for address in order:
            headers = {"Host": address, "Content-Type": "application/json"}
            got = await call(address, "POST", path, headers, body, 1.0)
            if got is not None and 200 <= got.status < 300:
                self._address = json.loads(got.body or b"{}").get("heartbeatAddr", "")
                return True
            self._address = ""
        self._turn = (self._turn + 1) % len(addresses)
        return False

    async def report(self) -> bool:
        """Send a heartbeat."""
        self._sequence += 1
        document = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            **self.more,
        }
        return await self.tell(f"/api/Replicas.Heartbeat/{self.identity}", document)

    async def _beat(self) -> None:
        was_taken = False
        while True:
            taken = await self.report()
            if taken != was_taken:
                self.fleet.record.write(f"{self.identity}: heartbeat acknowledged: {taken}")
            was_taken = taken
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        self._readers[writer] = reader
        try:
            while True:
                message = await read_head(reader)
                await read_body(reader, message, is_request=True)
                if not message.complete:
                    break
                if not await self._answer(message, writer):
                    break
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass  # the caller or this replica has gone, or the case is over
        finally:
            self._writers.discard(writer)
            del self._readers[writer]
            writer.close()

    def is_left(self, writer: asyncio.StreamWriter) -> bool:
        """Whether the caller has closed a connection on which a request is being answered."""
        return self._readers[writer].at_eof() or writer.transport.is_closing()

    async def _answer(self, message: Message, writer: asyncio.StreamWriter) -> bool:
        request_id = message.headers.get("request-id", "")
        expected = message.headers.get("expect-instance", self.identity)
        if message.first.startswith("GET /healthz "):
            writer.write(
                head("HTTP/1.1 200 OK", {"Instance-Id": self.identity, "Content-Length": 0})
            )
            return True
        if expected != self.identity or not request_id:
            status = "421 Misdirected Request" if request_id else "400 Bad Request"
            headers = {"Request-Id": request_id, "Not-Executed": "1", "Content-Length": 0}
            self.fleet.record.write(f"{self.identity}: {request_id} rejected with {status}")
            writer.write(head(f"HTTP/1.1 {status}", headers))
            return True
        return await self.handler(self, message, writer)

    def ran(self, message: Message) -> None:
        """Record that a request runs."""
        request_id = message.headers["request-id"]
        at_s = self.fleet.record.now_s()
        self.runs.append(Run(self.identity, request_id, at_s, message))
        tenant = message.headers.get("tenant-id", "-")
        self.fleet.record.write(f"{self.identity}: runs {request_id} for tenant {tenant}")

    def answer(self, message: Message, body: bytes, status: str = "200 OK") -> bytes:
        """Return a sound answer."""
        headers = {
            "Request-Id": message.headers["request-id"],
            "Server-Stamp": f"{self.identity}.{message.headers['request-id']}",
            "Content-Length": len(body),
        }
        return head(f"HTTP/1.1 {status}", headers) + body


async def serve_plainly(replica: Replica, message: Message, writer: asyncio.StreamWriter) -> bool:
    """Run a request for 50 ms and answer it."""
    replica.ran(message)
    await asyncio.sleep(0.05)
    writer.write(replica.answer(message, f"ran at {replica.identity}".encode()))
    await writer.drain()
    return True


# ---- a case -------------------------------------------------------------------------------------


def play(folder: str, play_case: Callable[[Fleet, Record], Awaitable[bool]], **fleet: Any) -> None:
    """Play a case, and exit with 1 if its rule was broken, 0 if it held, 2 if it could not run.

    Args:
        folder: Folder of the case.
        play_case: Plays it; returns whether the rule held.
        fleet: Size of the fleet.
    """
    record = Record(Path(folder))
    record.write(f"trouble: {has_trouble()}")
    code = COULD_NOT_RUN

    async def whole() -> bool:
        made = Fleet(record, **fleet)
        try:
            async with asyncio.timeout(110):
                return await play_case(made, record)
        finally:
            await made.stop()

    try:
        code = HELD if asyncio.run(whole()) else BROKEN
    except (CouldNotRunError, TimeoutError) as error:
        record.write(f"could not run: {error!r}")
    finally:
        record.write({HELD: "the rule held", BROKEN: "the rule was broken"}.get(code, "no result"))
        record.close()
    sys.exit(code)
