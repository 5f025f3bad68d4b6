"""The real programs as processes of their own, each on a loopback address of its own."""

import asyncio
import json
import os
import resource
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import aiohttp

CONTROL, GATEWAY = "control", "gateway"
FRONT_PORT, READY_PORT, CONTROL_PORT = 18080, 18081, 18082
_INTERNAL_PORTS = (17420, 17435)
GRPC_PORT, ADMIN_PORT = _INTERNAL_PORTS[0], 9464
GRACE_S = 6.0
_ENDS_WITHIN_S = 12.0
_LOOK_S = 0.05


class Machine:
    """One machine with one process, as the platform would run it.

    Args:
        role: ``control`` or ``gateway``.
        address: Its loopback address.
        name: Its name.
        folder: Where its settings, data and output lie.
        seeds: Addresses of the control machines.

    Attributes:
        zone: Where it stands.
        zones: Region of each zone of the deployment.
        contracts: Parts of the rules in force, as settings name them.
        module_path: Where its build's packages lie, as PYTHONPATH; empty: this build's.
        variables: Environment variables of its process besides those of the test's.
        limits: Limits of the machine, as settings name them; the process gets no more descriptors.
        seeds: Addresses of the control machines that its settings name.
        bootstraps: Whether its first start is one of the first of the whole system.
        is_removed: Whether the machine is gone for good.
        is_stopping: Whether its process has got SIGTERM and has not ended yet.
        faults: How its process ended though nothing ended it.
        disturbed_s: When its process was started, ended, paused or let go on, on the steady clock.
        unplanned_s: Those of them at which it was killed, paused or let go on.
        ended_s: When its process ended after SIGTERM, on the same clock.
    """

    def __init__(self, role: str, address: str, name: str, folder: Path, seeds: list[str]) -> None:
        self.role = role
        self.address = address
        self.name = name
        self.zone = "z1"
        self.zones = {"z1": "r1", "z2": "r1"}
        self.contracts: list[str] = []
        self.module_path = ""
        self.variables: dict[str, str] = {}
        self.limits: dict[str, Any] = {}
        self.faults: list[str] = []
        self.disturbed_s: list[float] = []
        self.unplanned_s: list[float] = []
        self.ended_s: list[float] = []
        self.seeds = seeds
        self._folder = folder / name
        self._folder.mkdir(parents=True)
        self._process: subprocess.Popen[bytes] | None = None
        self.bootstraps = True
        self.is_removed = False
        self.is_stopping = False
        self._is_paused = False
        self._was_started = False

    def _listen(self) -> dict[str, str]:
        if self.role == CONTROL:
            return {"control": f"{self.address}:{CONTROL_PORT}"}
        return {
            "front": f"{self.address}:{FRONT_PORT}",
            "readiness": f"{self.address}:{READY_PORT}",
        }

    def write_settings(self) -> Path:
        """Write the settings for its next start or reload."""
        self.data.mkdir(exist_ok=True)
        document: dict[str, Any] = {
            "nodeName": self.name,
            "ip": self.address,
            "zone": self.zone,
            "region": self.zones[self.zone],
            "zones": self.zones,
            "contracts": self.contracts,
            "listen": self._listen(),
            "internalPorts": list(_INTERNAL_PORTS),
            "seeds": [f"{seed}:{CONTROL_PORT}" for seed in self.seeds],
            "bootstrap": self.bootstraps and not self._was_started,
            "dataDir": str(self.data) if self.role == CONTROL else None,
            "faultTolerance": {"machines": 1},
            "limits": self.limits,
            "bounds": {
                "retryBudgetRatio": 0.2,
                "budgetSlack": 50,
                "budgetWindowS": 10,
                "graceS": GRACE_S,
                "exposeShare": 0.1,
                "exposeSlack": 50,
            },
        }
        file = self._folder / "settings.json"
        written = file.with_suffix(".new")
        written.write_text(json.dumps(document))
        written.replace(file)  # a process that reads it meanwhile gets it whole
        return file

    @property
    def data(self) -> Path:
        """Its data folder: what is lost with its disk."""
        return self._folder / "data"

    @property
    def is_up(self) -> bool:
        """Whether its process runs and is not paused."""
        return self.is_running and not self._is_paused

    @property
    def pid(self) -> int:
        """Its process; 0 if there is none."""
        return 0 if self._process is None else self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether there is a process."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process, anew if it ran before; a removed machine starts nothing."""
        if self.is_removed:
            return
        self._disturb()
        self.look()
        settings = str(self.write_settings())
        environment = os.environ | self.variables | {"HERONLADDER_CONFIG": settings}
        if self.module_path:
            environment["PYTHONPATH"] = self.module_path
        self._was_started = True
        with (self._folder / "output.log").open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "heronladder_platform", self.role],
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                preexec_fn=self._limit_descriptors if "maxFds" in self.limits else None,
            )

    def _limit_descriptors(self) -> None:
        descriptors = self.limits["maxFds"]
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    def look(self) -> None:
        """Note it if the process has ended by itself."""
        if self._process is not None and self._process.poll() is not None:
            self.faults.append(f"{self.name} ended by itself with {self._process.returncode}")
            self._process = None

    def _disturb(self) -> None:
        self.disturbed_s.append(time.monotonic())

    def _disturb_unplanned(self) -> None:
        self._disturb()
        self.unplanned_s.append(time.monotonic())

    def was_disturbed(self, from_s: float, until_s: float) -> bool:
        """Whether anything was done to its process in a span of time."""
        return any(from_s <= moment_s <= until_s for moment_s in self.disturbed_s)

    def kill(self) -> None:
        """End the process at once."""
        self._disturb_unplanned()
        process, self._process = self._process, None
        if process is not None and process.poll() is None:
            process.kill()
            process.wait()
        self._is_paused = False

    def pause(self) -> None:
        """Let the process stand still."""
        self._disturb_unplanned()
        if self.is_running and self._process is not None:
            self._is_paused = True
            self._process.send_signal(signal.SIGSTOP)

    def go_on(self) -> None:
        """Let it go on."""
        self._disturb()
        if self.is_running and self._process is not None and self._is_paused:
            self.unplanned_s.append(time.monotonic())
            self._process.send_signal(signal.SIGCONT)
        self._is_paused = False

    def handles_sigterm(self) -> bool:
        """Whether its program handles SIGTERM yet; until then the interpreter is being loaded."""
        if self._process is None:
            return False
        try:
            status = Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return False
        caught = next(line for line in status.splitlines() if line.startswith("SigCgt:"))
        return bool(int(caught.split()[1], 16) >> (signal.SIGTERM - 1) & 1)

    def reload(self) -> None:
        """Have it read its settings again."""
        if self.is_up and self._process is not None:
            self._process.send_signal(signal.SIGHUP)

    async def stop(self) -> None:
        """Stop it as planned; a stop that takes too long, or ends badly, is a fault."""
        self._disturb()
        has_begun = self.handles_sigterm()
        process, self._process = self._process, None
        if process is None:
            return
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGCONT)
        self._is_paused = False
        self.is_stopping = True
        try:
            async with asyncio.timeout(_ENDS_WITHIN_S):
                while process.poll() is None:
                    await asyncio.sleep(_LOOK_S)
                self.ended_s.append(time.monotonic())
        except TimeoutError:
            self.faults.append(f"{self.name} did not stop within {_ENDS_WITHIN_S} s")
            process.kill()
            process.wait()
            return
        finally:
            self.is_stopping = False
        if process.returncode == -signal.SIGTERM and not has_begun:
            return  # nothing of the program ran yet
        if process.returncode != 0:
            self.faults.append(f"{self.name} stopped with {process.returncode}")

    async def is_ready(self, session: aiohttp.ClientSession) -> bool:
        """Whether the platform's balancer would send it callers."""
        if not self.is_up:
            return False
        url = f"http://{self.address}:{READY_PORT}/api/readyz"
        try:
            async with session.get(url, timeout=aiohttp.ClientTimeout(total=0.5)) as got:
                return got.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    def output(self) -> str:
        """Return all it wrote."""
        file = self._folder / "output.log"
        return file.read_text(errors="replace") if file.exists() else ""
