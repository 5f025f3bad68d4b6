"""Two disks are lost just after a core machine was replaced as planned: control never returns."""

import asyncio
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from fleet_2 import BOUNDS, CouldNotRunError, Fleet, Machine, Record, has_trouble, play

LOSSES = 2  # faultTolerance.machines
CATCH_UP_S = BOUNDS["catchUpS"] + 0.2
BACK_AFTER_S = 1.0
READ_S = 25.0

CONFIGURATION = {
    "version": 1,
    "routes": [
        {
            "name": "r-hvz3pfi",
            "host": "ficu95.example",
            "pathPrefix": "/puxa403/",
            "kind": "unsafe",
            "timeoutMs": 4000,
            "targetLatencyMs": 400,
            "priority": 2,
            "service": "preorden-app",
            "maxAttempts": 1,
            "allowAnonymous": False,
        }
    ],
    "services": [{"name": "preorden-app", "healthPath": "/healthz", "maxConnections": 96}],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "hule930", "apiKeys": ["n2ctnfzs989anu6wsjnb"], "priority": 1}],
}


async def acknowledged(fleet: Fleet, version: int) -> Machine:
    """Send a version until it is acknowledged; return the machine that did."""
    machine = await fleet.offer(CONFIGURATION | {"version": version}, 30.0)
    if machine is None:
        raise CouldNotRunError(f"version {version} was not acknowledged")
    return machine


async def play_case(fleet: Fleet, record: Record) -> bool:
    """Return whether what was acknowledged can be read back."""
    await fleet.start()
    await acknowledged(fleet, 1)
    await asyncio.sleep(3.0)

    # A planned replacement: the new machine first, then SIGTERM for the old one.
    old = fleet.controls[-1]
    new = Machine(fleet, "control", "core-6", f"{fleet.net}.60", old.zone)
    await new.start()
    await asyncio.sleep(CATCH_UP_S)
    old.signal(signal.SIGTERM)
    assert old.process is not None
    while old.is_running:
        await asyncio.sleep(0.01)
    fleet.controls[-1] = new
    fleet.removed.append(old)
    record.write(f"{old.name} has ended and does not come back")

    # Right after an acknowledgement as many disks are lost as may be lost at once.
    giver = await acknowledged(fleet, 2)
    if has_trouble():
        others = [machine for machine in fleet.controls if machine not in (giver, new)]
        lost = [giver, *others][:LOSSES]
        await asyncio.gather(*(machine.lose_disk() for machine in lost))
        await asyncio.sleep(BACK_AFTER_S)
        await asyncio.gather(*(machine.start() for machine in lost))
    await asyncio.sleep(BOUNDS["recoverS"])

    version = await fleet.read_back(READ_S)
    running = sum(machine.is_running for machine in fleet.controls)
    record.write(f"version read back: {version}, 2 was acknowledged; {running} of 5 machines run")
    return version == 2


play(str(HERE), play_case, controls=5, fronts=0, losses=LOSSES)
