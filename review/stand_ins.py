"""Stand-ins of the users' platform for the scripts of the review; standard library only.

They start the project's own programs with the commands of ``deploy/system.toml``, each as a
process of its own on a loopback address of its own, and speak what PROTOCOL.md and DEPLOY.md say.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
DEPS = ROOT / "target" / "deps"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
METRICS_PORT = 9464
#: Bounds of the deployment `vargas-preorden` (SYSTEM.md).
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
ZONES = {"heredia": "valle-central", "cartago": "valle-central", "alajuela": "valle-central"}
CORE_ZONES = ["heredia", "heredia", "cartago", "cartago", "alajuela"]
FRONT_ZONES = ["heredia", "cartago", "alajuela"]
SERVICE, HOST, KEY = "preorden-app", "canteen.example", "key-of-tenant-a"


class CannotRunError(Exception):
    """The case could not be played."""


class Record:
    """Writes what was done, sent and answered, with seconds since the start."""

    def __init__(self, file: Path) -> None:
        self._file = file.open("w", encoding="utf-8")
        self._start_s = time.monotonic()

    def now_s(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._start_s

    def write(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{self.now_s():8.3f} s  {text}\n")
        self._file.flush()


def role_command(role: str) -> list[str]:
    """Return the command of a role in the deploy file."""
    deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
    run = str(deploy["roles"][role]["run"]).split()
    found = shutil.which(run[0])
    if found is None:
        raise CannotRunError(f"there is no {run[0]}")
    return [found, *run[1:]]


def free_net() -> str:
    """Return the first three numbers of a loopback network on which no daemon listens."""
    for _ in range(100):
        net = f"127.{random.randint(20, 220)}.{random.randint(1, 250)}"
        with socket.socket() as probe:
            try:
                probe.bind((f"{net}.1", METRICS_PORT))
            except OSError:
                continue
        return net
    raise CannotRunError("no free loopback network")


def free_ports(net: str) -> dict[str, int]:
    """Return ports that are free on the network's first address: listeners, internal ports."""
    for _ in range(100):
        base = random.randint(20_000, 30_000)
        held = []
        try:
            for offset in range(20):
                probe = socket.socket()
                held.append(probe)
                probe.bind((f"{net}.1", base + offset))
        except OSError:
            continue
        finally:
            for probe in held:
                probe.close()
        return {"internal": base, "front": base + 16, "readiness": base + 17, "control": base + 18}
    raise CannotRunError("no free ports")


class Machine:
    """One machine with one process."""

    def __init__(self, fleet: "Fleet", role: str, name: str, zone: str, address: str) -> None:
        self.fleet = fleet
        self.role = role
        self.name = name
        self.zone = zone
        self.address = address
        self.folder = fleet.folder / name
        self.folder.mkdir()
        self.data = self.folder / "data"
        self.output = self.folder / "output.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.ends: list[str] = []  # ends that nothing here caused
        self._first_start = True
        self._read_to = 0

    def port(self, kind: str) -> str:
        """Return the address of one of its listeners."""
        return f"{self.address}:{self.fleet.ports[kind]}"

    def _settings(self) -> dict[str, Any]:
        core = self.role == "control"
        listen = (
            {"control": self.port("control")}
            if core
            else {"front": self.port("front"), "readiness": self.port("readiness")}
        )
        internal = self.fleet.ports["internal"]
        return {
            "nodeName": self.name,
            "role": self.role,
            "machineClass": "core" if core else "front",
            "serves": ["control"] if core else ["front"],
            "ip": self.address,
            "zone": self.zone,
            "region": ZONES[self.zone],
            "zones": ZONES,
            "listen": listen,
            "internalPorts": [internal, internal + 15],
            "seeds": self.fleet.seeds(),
            "bootstrap": self._first_start,
            "countsAsLoss": core,
            "limits": {
                "cpuShare": 1.0,
                "cores": 1,
                "memoryMb": 300,
                "maxFds": 4096,
                "linkMbps": 1000.0,
                "diskMb": 128 if core else 0,
            },
            "dataDir": str(self.data) if core else None,
            "discovery": "registration",
            "entryMode": "vip",
            "heartbeatMs": 1200,
            "contracts": [
                "base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
            ],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "configMode": "highest",
        }

    def start(self) -> None:
        """Start its process."""
        if self.role == "control":
            self.data.mkdir(exist_ok=True)
        settings = self.folder / "node.json"
        settings.write_text(json.dumps(self._settings()))
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment |= {"HERONLADDER_CONFIG": str(settings), "PYTHONPATH": str(DEPS)}
        with self.output.open("ab") as output:
            self.process = subprocess.Popen(
                role_command(self.role),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
            )
        self.fleet.record.write(
            f"start {self.name} at {self.address}, bootstrap {self._first_start}"
        )
        self._first_start = False

    @property
    def runs(self) -> bool:
        """Whether its process runs."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send its process a signal."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)
            self.fleet.record.write(f"{signal.Signals(number).name} to {self.name}")

    def kill(self) -> None:
        """Kill its process; its disk stays."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()
        self.process = None

    def lose_disk(self) -> None:
        """Kill its process and lose its disk."""
        self.kill()
        shutil.rmtree(self.data)
        self.fleet.record.write(f"{self.name} has lost its disk")

    def look(self) -> None:
        """Note it if the process has ended by itself."""
        if self.process is not None and self.process.poll() is not None:
            self.ends.append(f"{self.name} ended by itself with {self.process.returncode}")
            self.fleet.record.write(self.ends[-1])
            self.process = None

    def new_lines(self) -> list[str]:
        """Return the lines that it wrote since the last call."""
        if not self.output.exists():
            return []
        with self.output.open("rb") as file:
            file.seek(self._read_to)
            data = file.read()
        end = data.rfind(b"\n") + 1
        self._read_to += end
        return data[:end].decode(errors="replace").splitlines()


class Fleet:
    """Five core machines and some front machines, as in `vargas-preorden`."""

    def __init__(self, record: Record, fronts: int = 3) -> None:
        if not DEPS.is_dir():
            raise CannotRunError("target/deps is missing: run the command `build` of the deploy file")
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.net = free_net()
        self.ports = free_ports(self.net)
        self.cores = [
            Machine(self, "control", f"core-{zone}-{number}", zone, f"{self.net}.{10 + number}")
            for number, zone in enumerate(CORE_ZONES)
        ]
        self.fronts = [
            Machine(self, "gateway", f"front-{number + 1}", zone, f"{self.net}.{50 + number}")
            for number, zone in enumerate(FRONT_ZONES[:fronts])
        ]

    @property
    def machines(self) -> list[Machine]:
        """All machines."""
        return [*self.cores, *self.fronts]

    def seeds(self) -> list[str]:
        """Return the control addresses of three machines."""
        return [core.port("control") for core in (self.cores[0], self.cores[2], self.cores[4])]

    def start(self) -> None:
        """Start all machines."""
        for machine in self.machines:
            machine.start()

    def stop(self) -> None:
        """End all processes and remove the folder."""
        for machine in self.machines:
            machine.look()
            if machine.process is not None:
                with contextlib.suppress(ProcessLookupError):
                    machine.process.send_signal(signal.SIGKILL)
                machine.process.wait()
                machine.process = None
        keep = os.environ.get("KEEP_OUTPUT")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


async def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
) -> tuple[int, dict[str, str], bytes]:
    """Make one HTTP call on a new connection.

    Raises:
        OSError, TimeoutError: There was no complete answer in time.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            sent = {"Host": address, "Connection": "close", "Content-Length": str(len(body))}
            sent |= headers or {}
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in sent.items()]
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            first, *rest = head.strip().split("\r\n")
            got = {}
            for line in rest:
                name, _, value = line.partition(":")
                got[name.strip().lower()] = value.strip()
            if "content-length" in got:
                data = await reader.readexactly(int(got["content-length"]))
            else:
                data = await reader.read()
            return int(first.split(" ")[1]), got, data
        except asyncio.IncompleteReadError as error:
            raise ConnectionError("the answer was cut short") from error
        finally:
            writer.close()


class Operator:
    """Sends configurations and reads them back, as PROTOCOL.md describes.

    It tries the daemons that serve control in turn; after a failure, a 5xx or a second without a
    response it goes on to the next one, with a pause that grows.
    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.newest_acknowledged = 0
        self.sent: dict[int, bytes] = {}
        self._turn = 0

    def _next(self) -> str:
        self._turn += 1
        return self.fleet.cores[self._turn % len(self.fleet.cores)].port("control")

    async def replace(self, document: dict[str, Any], give_up_s: float) -> float | None:
        """Send a configuration until it is acknowledged.

        Returns:
            The seconds until the acknowledgement; None if there was none in time.

        Raises:
            AssertionError: A valid configuration was refused.
        """
        version = document["version"]
        body = json.dumps(document).encode()
        self.sent[version] = body
        began_s = time.monotonic()
        pause_s = 0.05
        attempts: list[str] = []
        while time.monotonic() - began_s < give_up_s:
            address = self._next()
            try:
                status, _, data = await call(address, "POST", "/api/Config.Replace", body)
            except (OSError, TimeoutError) as error:
                attempts.append(f"{address}: {type(error).__name__}")
            else:
                attempts.append(f"{address}: {status}")
                if status == 200:
                    took_s = time.monotonic() - began_s
                    self.newest_acknowledged = max(self.newest_acknowledged, version)
                    self.fleet.record.write(
                        f"version {version} acknowledged after {took_s:.3f} s ({attempts[-1]},"
                        f" {len(attempts)} attempts)"
                    )
                    return took_s
                if 400 <= status < 500 and status not in (408, 429):
                    raise AssertionError(f"version {version} refused: {status} {data!r}")
            await asyncio.sleep(pause_s)
            pause_s = min(0.5, pause_s * 1.5)
        self.fleet.record.write(
            f"version {version} NOT acknowledged in {give_up_s} s: {'; '.join(attempts)}"
        )
        return None

    async def read(self, address: str) -> tuple[int, int]:
        """Read the configuration back from one daemon; return status (0: none) and version."""
        try:
            status, _, data = await call(address, "GET", "/api/Config.Describe", timeout_s=2.0)
        except (OSError, TimeoutError):
            return 0, 0
        version = json.loads(data)["version"] if status == 200 else 0
        if status == 200 and data != self.sent.get(version):
            raise AssertionError(f"version {version} is not what was sent under its number")
        return status, version


class EngineReplica:
    """A model replica: answers each request with a whole event stream, and sends heartbeats."""

    def __init__(self, fleet: Fleet, number: int, zone: str, service: str) -> None:
        self.fleet = fleet
        self.identity = f"i-{number:08x}"
        self.zone = zone
        self.service = service
        self.address = ""
        self.runs: dict[str, int] = {}
        self.events = 10
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Listen, and begin to send heartbeats."""
        host = f"{self.fleet.net}.{90 + int(self.identity[2:], 16)}"
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        self._beats = asyncio.create_task(self._send_heartbeats())

    async def stop(self) -> None:
        """Stop."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()

    async def _send_heartbeats(self) -> None:
        sequence = 0
        while True:
            sequence += 1
            told = {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": 64,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": sequence,
                "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
            }
            for core in random.sample(self.fleet.cores, len(self.fleet.cores)):
                try:
                    status, _, _ = await call(
                        core.port("control"),
                        "POST",
                        f"/api/Replicas.Heartbeat/{self.identity}",
                        json.dumps(told).encode(),
                        {"Content-Type": "application/json"},
                    )
                except (OSError, TimeoutError):
                    continue
                if status == 200:
                    break
            await asyncio.sleep(1.2)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *lines = head.strip().split("\r\n")
                headers = {}
                for line in lines:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                await reader.readexactly(int(headers.get("content-length", 0)))
                writer.write(self._answer(first, headers))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def _answer(self, first: str, headers: dict[str, str]) -> bytes:
        if first.startswith("GET /healthz"):
            return f"HTTP/1.1 200 OK\r\nInstance-Id: {self.identity}\r\nContent-Length: 0\r\n\r\n".encode()
        request = headers.get("request-id", "")
        if headers.get("expect-instance", self.identity) != self.identity:
            return (
                f"HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {request}\r\n"
                "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            ).encode()
        self.runs[request] = self.runs.get(request, 0) + 1
        self.fleet.record.write(f"replica {self.identity} runs {request}")
        lines = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            f"Request-Id: {request}",
            f"Server-Stamp: {self.identity}.{self.runs[request]}",
            "Weight-Versions: 1",
            "Transfer-Encoding: chunked",
        ]
        body = b""
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: part {number}\n\n".encode()
            body += f"{len(event):x}\r\n".encode() + event + b"\r\n"
        return "\r\n".join([*lines, "", ""]).encode() + body + b"0\r\n\r\n"


async def stream(
    address: str, path: str, headers: dict[str, str], timeout_s: float = 3.0
) -> tuple[int, int]:
    """Make one client's request for a stream.

    Returns:
        The status, and the events of a complete stream; 0 events if it is not complete.

    Raises:
        OSError, TimeoutError: There was no complete answer in time.
    """
    host, _, port = address.rpartition(":")
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            body = b"{}"
            sent = headers | {"Content-Length": str(len(body)), "Connection": "close"}
            lines = [f"POST {path} HTTP/1.1", *(f"{name}: {value}" for name, value in sent.items())]
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await writer.drain()
            head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            status = int(head.split(" ", 2)[1])
            if status != 200:
                return status, 0
            if "server-stamp:" not in head.lower() or "chunked" not in head.lower():
                raise ConnectionError("not the replica's answer")
            events = 0
            while True:
                size = int((await reader.readline()).strip() or b"0", 16)
                chunk = await reader.readexactly(size + 2)
                if not size:
                    return status, events
                events += chunk.count(b"\nid: ") + chunk.startswith(b"id: ")
        except (asyncio.IncompleteReadError, ValueError) as error:
            raise ConnectionError("the answer was cut short") from error
        finally:
            writer.close()


def leader_of(fleet: Fleet) -> Machine:
    """Return the core machine that was elected last, by what the processes write."""
    newest, found = "", fleet.cores[0]
    for core in fleet.cores:
        for line in core.output.read_text(errors="replace").splitlines():
            at = re.match(r"time=(\S+) ", line)
            if at and "event=leader_elected" in line and at.group(1) > newest:
                newest, found = at.group(1), core
    return found


def configuration(version: int, **changes: Any) -> dict[str, Any]:
    """Return a whole configuration; the route's time-out changes with the version."""
    declared: dict[str, Any] = {
        "version": version,
        "routes": [
            {
                "name": "r-turno",
                "host": HOST,
                "pathPrefix": "/turno/",
                "kind": "safe",
                "timeoutMs": 2000 + version % 7,
                "targetLatencyMs": 300,
                "priority": 2,
                "service": SERVICE,
                "maxAttempts": 2,
                "allowAnonymous": False,
                "sticky": False,
                "resumable": False,
            },
            {
                "name": "r-alumno",
                "host": HOST,
                "pathPrefix": "/alumno/",
                "kind": "unsafe",
                "timeoutMs": 2000,
                "targetLatencyMs": 300,
                "priority": 2,
                "service": SERVICE,
                "maxAttempts": 1,
                "allowAnonymous": False,
                "sticky": False,
                "resumable": False,
            },
        ],
        "services": [
            {
                "name": SERVICE,
                "healthPath": "/healthz",
                "maxConnections": 96,
                "protocol": "h1",
                "tls": False,
            }
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "tenant-a", "apiKeys": [KEY], "priority": 1, "prepaid": 1_946_415}],
    }
    return {**declared, **changes}


async def _stoppable(work: Any) -> Any:
    """Run a case; SIGTERM and SIGINT end it and the processes that it started."""
    task = asyncio.ensure_future(work)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, task.cancel)
    try:
        return await task
    except asyncio.CancelledError as error:
        raise CannotRunError("it was stopped") from error


def main(play: Any, record_file: Path, *, trouble: bool) -> int:
    """Play a case and write its record; return the exit code that the review asks for."""
    record = Record(record_file)
    record.write(f"trouble: {trouble}")
    try:
        broken: list[str] = asyncio.run(_stoppable(play(record, trouble)))
    except CannotRunError as error:
        record.write(f"the case could not run: {error}")
        print(f"the case could not run: {error}", file=sys.stderr)
        return CANNOT_RUN
    for text in broken:
        record.write(f"BROKEN: {text}")
        print(f"BROKEN: {text}")
    if not broken:
        record.write("the rule held")
        print("the rule held")
    return BROKEN if broken else HELD
