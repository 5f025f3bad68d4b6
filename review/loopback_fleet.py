"""A small deployment over loopback: the project's programs, and sound stand-ins around them.

The programs run as processes of their own, with the commands of the deploy file. Replicas, clients
and the operator are stand-ins that do what the users' pages say. All of them are asyncio code on
the standard library, so that nothing has to be built for them.
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
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOST = "canteen.example"
FRONT, READY, CONTROL = 18227, 18220, 18229
INTERNAL = [17340, 17355]
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250,
    "maxStretchMs": 5000, "strictRevoke": False, "revokeMs": 5000, "retryBudgetRatio": 0.2,
    "budgetWindowS": 10, "budgetSlack": 52, "recoverS": 12, "passMs": 120, "retryAfterS": 10,
    "settle_ms": 1500,
}  # fmt: skip


class CannotRun(Exception):
    """The case could not be run: nothing was shown, neither that a rule holds nor that it broke."""


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self._file = (Path(folder) / "record.txt").open("w")
        self._began = time.monotonic()

    def __call__(self, *words):
        line = f"{time.monotonic() - self._began:8.3f} " + " ".join(str(word) for word in words)
        self._file.write(line + "\n")
        self._file.flush()


class Machine:
    """One machine with one process of the system."""

    def __init__(self, fleet, role, name, address, zone):
        self.fleet, self.role, self.name, self.address, self.zone = fleet, role, name, address, zone
        self.folder = fleet.folder / name
        self.folder.mkdir()
        self.data = self.folder / "data"
        self.process = None
        self.first = True

    def settings(self):
        core = self.role == "control"
        listen = (
            {"control": f"{self.address}:{CONTROL}"}
            if core
            else {"front": f"{self.address}:{FRONT}", "readiness": f"{self.address}:{READY}"}
        )
        return {
            "nodeName": self.name,
            "role": self.role,
            "machineClass": "core" if core else "front",
            "serves": ["control" if core else "front"],
            "ip": self.address,
            "zone": self.zone,
            "region": "r1",
            "zones": {"z1": "r1", "z2": "r1", "z3": "r1"},
            "listen": listen,
            "internalPorts": INTERNAL,
            "seeds": [f"{seed}:{CONTROL}" for seed in self.fleet.seeds],
            "bootstrap": self.first,
            "countsAsLoss": core,
            "limits": {"cpuShare": 1.29, "cores": 1, "memoryMb": 300, "maxFds": 4096,
                       "linkMbps": 1000.0, "diskMb": 128 if core else 0},
            "dataDir": str(self.data) if core else None,
            "discovery": "registration",
            "entryMode": "vip",
            "heartbeatMs": 1200,
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine",
                          "stream", "tenants"],
            "faultTolerance": {"machines": self.fleet.losses, "zones": 0, "regions": 0},
            "bounds": BOUNDS,
            "configMode": "highest",
        }  # fmt: skip

    def start(self):
        if self.role == "control":
            self.data.mkdir(exist_ok=True)
        file = self.folder / "node.json"
        file.write_text(json.dumps(self.settings()))
        is_first, self.first = self.first, False
        env = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        env |= {"HERONLADDER_CONFIG": str(file), "PYTHONPATH": str(ROOT / "target" / "deps")}
        with (self.folder / "output.log").open("ab") as output:
            self.process = subprocess.Popen(
                self.fleet.commands[self.role], cwd=ROOT, env=env, stdin=subprocess.DEVNULL,
                stdout=output, stderr=subprocess.STDOUT,
            )  # fmt: skip
        self.fleet.record("platform: start", self.name, "with bootstrap" if is_first else "")

    def signal(self, number):
        self.fleet.record("platform:", signal.Signals(number).name, self.name)
        if self.process is not None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()
        self.process = None

    def lose_disk(self):
        """End the process at once; its disk is lost."""
        self.kill()
        shutil.rmtree(self.data, ignore_errors=True)
        self.fleet.record("platform: disk lost", self.name)

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Fleet:
    """The machines of one run, and the calls of the operator, of clients and of the platform."""

    def __init__(self, folder, cores=3, fronts=1, losses=1):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.losses = losses
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.commands = {
            role: deploy["roles"][role]["run"].split() for role in ("gateway", "control")
        }
        if not (ROOT / "target" / "deps" / "heronladder_platform").is_dir():
            raise CannotRun("the build of the deploy file is missing")
        self.net = free_net()
        self.seeds = [f"{self.net}.{10 + number}" for number in range(min(3, cores))]
        zones = ("z1", "z2", "z3")
        self.cores = [
            Machine(self, "control", f"core-{n + 1}", f"{self.net}.{10 + n}", zones[n % 3])
            for n in range(cores)
        ]
        self.fronts = [
            Machine(self, "gateway", f"front-{n + 1}", f"{self.net}.{50 + n}", zones[n % 3])
            for n in range(fronts)
        ]
        self.replicas = []
        self.versions = 0

    def start(self):
        for machine in [*self.cores, *self.fronts]:
            machine.start()

    async def stop(self):
        for replica in self.replicas:
            await replica.stop()
        for machine in [*self.cores, *self.fronts]:
            machine.end()
        shutil.rmtree(self.folder, ignore_errors=True)

    # ---- the operator -----------------------------------------------------

    async def replace(self, document, within_s=30.0):
        """Send a configuration until it is acknowledged, to one daemon after the other.

        Returns:
            The daemon that acknowledged it; None if none did.
        """
        body = json.dumps(document).encode()
        began = time.monotonic()
        turn = 0
        while time.monotonic() - began < within_s:
            core = self.cores[turn % len(self.cores)]
            turn += 1
            got = await call(core.address, CONTROL, "POST", "/api/Config.Replace", body, 1.0)
            status = got.status if got else None
            self.record("operator: replace version", document["version"], core.name, status,
                        got.body[:200] if got and got.status != 200 else "")  # fmt: skip
            if status == 200:
                return core
            if status in (400, 409, 412, 413, 422):
                return None
            await asyncio.sleep(0.1)
        return None

    async def read_back(self, within_s):
        """Read the configuration back from all daemons in turn; return its version, None if none."""
        began = time.monotonic()
        while time.monotonic() - began < within_s:
            for core in self.cores:
                got = await call(core.address, CONTROL, "GET", "/api/Config.Describe", b"", 1.0)
                status = got.status if got else None
                version = json.loads(got.body)["version"] if status == 200 else None
                self.record("operator: read back", core.name, status, version or "")
                if version is not None:
                    return version
            await asyncio.sleep(0.5)
        return None

    # ---- the platform and clients -----------------------------------------

    async def until_ready(self, front, within_s=20.0):
        began = time.monotonic()
        while time.monotonic() - began < within_s:
            got = await call(front.address, READY, "GET", "/api/readyz", b"", 1.0)
            if got is not None and got.status == 200:
                self.record("platform: ready", front.name)
                return
            await asyncio.sleep(0.2)
        raise CannotRun(f"{front.name} did not become ready")

    async def request(self, front, path, key="", *, method="POST", body=b"", headers=(), wait_s=5.0):
        """Send one client attempt on a connection of its own; return the answer, None if none."""
        identity = f"{random.getrandbits(64):016x}"
        lines = [("Host", HOST), ("Request-Id", identity), ("Deadline-Ms", str(int(wait_s * 1000)))]
        if key:
            lines.append(("Authorization", f"Token {key}"))
        lines.extend(headers)
        got = await call(front.address, FRONT, method, path, body, wait_s, lines)
        status = got.status if got else None
        self.record("client:", identity, method, path, f"key={key or '-'}", "->", status)
        return identity, got

    async def until_served(self, front, path, key, within_s=20.0):
        """Wait until a request is served: the system is up."""
        began = time.monotonic()
        while time.monotonic() - began < within_s:
            _, got = await self.request(front, path, key)
            if got is not None and got.status == 200:
                return
            await asyncio.sleep(0.3)
        raise CannotRun("no request was served at the start")


class Got:
    """An answer."""

    def __init__(self, status, headers, body):
        self.status, self.headers, self.body = status, headers, body


async def call(address, port, method, path, body, within_s, headers=None):
    """Make one HTTP call on a connection of its own; None if there was no whole answer."""
    writer = None
    try:
        async with asyncio.timeout(within_s):
            reader, writer = await asyncio.open_connection(address, port)
            lines = [f"{method} {path} HTTP/1.1"]
            given = headers if headers is not None else [("Host", f"{address}:{port}")]
            lines += [f"{name}: {value}" for name, value in given]
            if headers is None:
                lines.append("Content-Type: application/json")
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode() + body)
            await writer.drain()
            status, got_headers = await read_head(reader)
            return Got(status, got_headers, await read_body(reader, got_headers))
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


async def read_head(reader):
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *rest = text.strip().split("\r\n")
    headers = {}
    for line in rest:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return int(first.split(" ")[1]), headers


async def read_body(reader, headers):
    if headers.get("transfer-encoding", "").lower() == "chunked":
        data = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            data += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return data
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read()


class Replica:
    """A sound replica: registers, serves, and says when it leaves."""

    def __init__(self, fleet, identity, service="app", address=None, zone="z1", slots=8):
        self.fleet, self.identity, self.service, self.zone = fleet, identity, service, zone
        self.address = address or f"{fleet.net}.{100 + len(fleet.replicas)}"
        self.port = 0
        self.slots = slots
        self.state = "ready"
        self.sequence = 0
        self.ran = []  # (time, request id, tenant)
        self.work_s = 0.02
        self._server = None
        self._beats = None
        self._connections = set()
        fleet.replicas.append(self)

    async def start(self, beats=True):
        self._server = await asyncio.start_server(self._serve, self.address, self.port)
        self.port = self._server.sockets[0].getsockname()[1]
        self.fleet.record("replica: start", self.identity, f"{self.address}:{self.port}")
        if beats:
            self._beats = asyncio.create_task(self._beat_on())

    async def stop(self):
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
            self._server = None
        for task in list(self._connections):
            task.cancel()
        await asyncio.gather(*self._connections, return_exceptions=True)

    def told(self):
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service, "address": f"{self.address}:{self.port}",
                "zone": self.zone, "version": "v1", "slots": self.slots, "state": self.state,
                "coldRemainingMs": 0, "sequence": self.sequence,
            }
        ).encode()  # fmt: skip

    async def beat(self):
        """Send one heartbeat, to the next daemon if one does not acknowledge it in a second."""
        cores = random.sample(self.fleet.cores, len(self.fleet.cores))
        body = self.told()
        for core in cores:
            path = f"/api/Replicas.Heartbeat/{self.identity}"
            got = await call(core.address, CONTROL, "POST", path, body, 1.0)
            self.fleet.record("replica: heartbeat", self.identity, self.state, core.name,
                              got.status if got else None)  # fmt: skip
            if got is not None and 200 <= got.status < 300:
                return True
        return False

    async def _beat_on(self):
        while True:
            await self.beat()
            await asyncio.sleep(1.2)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._connections.add(task)
        try:
            while True:
                text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                first, *rest = text.strip().split("\r\n")
                method, target, _ = first.split(" ")
                headers = {}
                for line in rest:
                    name, _, value = line.partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = await read_body(reader, {"content-length": "0"} | headers)
                writer.write(await self.answer(method, target, headers, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._connections.discard(task)
            writer.close()

    async def answer(self, method, target, headers, body):
        if target == "/healthz":
            return reply(200, b"", [("Instance-Id", self.identity)])
        identity = headers.get("request-id", "")
        if headers.get("expect-instance", self.identity) != self.identity:
            return reply(421, b"", [("Request-Id", identity), ("Not-Executed", "1")])
        self.ran.append((time.monotonic(), identity, headers.get("tenant-id", "")))
        self.fleet.record("replica: runs", self.identity, identity, method, target,
                          f"tenant={headers.get('tenant-id', '-')}")  # fmt: skip
        await asyncio.sleep(self.work_s)
        return reply(200, b"done", [("Request-Id", identity), ("Server-Stamp", f"s-{identity}")])


def reply(status, body, headers):
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode() + body


def free_net():
    """Return three numbers of a loopback network in which the ports of a run are free."""
    for _ in range(50):
        net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        try:
            for host in (10, 50, 100):
                for port in (CONTROL, FRONT, READY, *INTERNAL, 9464):
                    with socket.socket() as probe:
                        probe.bind((f"{net}.{host}", port))
            return net
        except OSError:
            continue
    raise CannotRun("no loopback network with free ports")


def route(prefix, **changes):
    declared = {
        "name": prefix.strip("/"), "host": HOST, "pathPrefix": prefix, "kind": "safe",
        "timeoutMs": 4000, "targetLatencyMs": 400, "priority": 1, "service": "app",
        "maxAttempts": 2, "allowAnonymous": False, "sticky": False, "resumable": False,
    }  # fmt: skip
    return declared | changes


def configuration(version, tenants, routes=None, services=None):
    return {
        "version": version,
        "routes": routes or [route("/orders/")],
        "services": services
        or [{"name": "app", "healthPath": "/healthz", "maxConnections": 96, "protocol": "h1",
             "tls": False}],
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000,
                   "idleTimeoutMs": 15000},
        "tenants": tenants,
    }  # fmt: skip


def run(case, folder):
    """Run a case; exit with 1 if a rule was broken, 0 if it held, 2 if it could not be run."""

    async def main():
        fleet = Fleet(folder, **getattr(case, "machines", {}))
        try:
            async with asyncio.timeout(115):
                broken = await case(fleet)
        except (CannotRun, TimeoutError) as error:
            fleet.record("could not run:", repr(error))
            return 2
        finally:
            await fleet.stop()
        for line in broken:
            fleet.record("BROKEN:", line)
        fleet.record("result:", "broken" if broken else "held")
        return 1 if broken else 0

    sys.exit(asyncio.run(main()))
