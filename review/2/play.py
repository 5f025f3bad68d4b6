"""A front machine lives on without control, and its successor meets an earlier leader again."""

import asyncio
import os
import random
import signal
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from stand_ins import (  # noqa: E402
    BOUNDS,
    FRONT_ZONES,
    HOST,
    KEY,
    CannotRunError,
    EngineReplica,
    Fleet,
    Machine,
    Operator,
    Record,
    call,
    configuration,
    leader_of,
    main,
    stream,
)

_SERVICE = "cocina-lm"
_PREPAID = 300_000
_PROMPT, _STRIDE, _EVENTS = 1_500, 5, 10
_WARM_S = 4.0
_ALONE_S = 6.0
_RATE_PER_S = 12.0


def _document() -> dict[str, Any]:
    """Return the configuration: one tenant with a prepaid budget, one streaming route."""
    route = {
        "name": "r-plan",
        "host": HOST,
        "pathPrefix": "/plan/",
        "kind": "streaming",
        "timeoutMs": 15000,
        "targetLatencyMs": 800,
        "priority": 0,
        "service": _SERVICE,
        "maxAttempts": 1,
        "allowAnonymous": False,
        "sticky": True,
        "resumable": False,
        "gapAimMs": 400,
    }
    service = {
        "name": _SERVICE,
        "healthPath": "/healthz",
        "maxConnections": 360,
        "protocol": "h1",
        "tls": False,
        "engine": {
            "slots": 64,
            "kvCapacityTokens": 562615,
            "kvTokenBytes": 18432,
            "linkMbps": 370000.0,
            "moves": True,
            "backups": True,
            "stride": _STRIDE,
            "most": 12,
            "pinMs": 4000.0,
            "holdMs": 2000.0,
            "handleS": 5.0,
            "models": [{"name": "m"}],
        },
    }
    tenant = {"name": "tenant-a", "apiKeys": [KEY], "priority": 1, "prepaid": _PREPAID}
    return configuration(1, routes=[route], services=[service], tenants=[tenant])


class Clients:
    """The tenant's clients; they count only streams that arrived whole."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self.received = 0
        self.statuses: dict[str, int] = {}
        self._number = 0
        self._tasks: set[asyncio.Task[str]] = set()

    async def ask(self, front: Machine) -> str:
        """Make one request; return its status."""
        self._number += 1
        headers = {
            "Host": HOST,
            "Request-Id": f"{random.getrandbits(64):016x}",
            "Deadline-Ms": "15000",
            "Authorization": f"Token {KEY}",
            "Model": "m",
            "Token-Usage": f"{_PROMPT},{_STRIDE * _EVENTS}",
            "Prompt-Prefix": f"5c1e07a2:1000,{self._number:08x}:{_PROMPT - 1000}",
        }
        try:
            status, events = await stream(front.port("front"), "/plan/2f", headers)
        except (OSError, TimeoutError) as error:
            outcome = type(error).__name__
        else:
            outcome = str(status)
            if status == 200:
                self.received += _PROMPT + _STRIDE * events
        self.statuses[outcome] = self.statuses.get(outcome, 0) + 1
        self._record.write(
            f"request {headers['Request-Id']} to {front.name}: {outcome}; the tenant has received"
            f" {self.received}"
        )
        return outcome

    async def press(self, front: Machine, for_s: float) -> None:
        """Make requests at a steady rate."""
        until_s = self._record.now_s() + for_s
        while self._record.now_s() < until_s:
            task = asyncio.create_task(self.ask(front))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(1 / _RATE_PER_S)
        if self._tasks:
            await asyncio.wait(self._tasks)


async def play(record: Record, trouble: bool) -> list[str]:
    fleet = Fleet(record)
    replicas = [
        EngineReplica(fleet, number, zone, _SERVICE) for number, zone in enumerate(FRONT_ZONES)
    ]
    try:
        return await _play(fleet, replicas, record, trouble)
    finally:
        for replica in replicas:
            await replica.stop()
        fleet.stop()


async def _wait_ready(front: Machine, record: Record) -> None:
    for _ in range(150):
        try:
            status, _, _ = await call(front.port("readiness"), "GET", "/api/readyz")
        except (OSError, TimeoutError):
            status = 0
        if status == 200:
            record.write(f"{front.name} is ready")
            return
        await asyncio.sleep(0.1)
    raise CannotRunError(f"{front.name} did not become ready")


async def _play(
    fleet: Fleet, replicas: list[EngineReplica], record: Record, trouble: bool
) -> list[str]:
    operator = Operator(fleet)
    clients = Clients(record)
    fleet.start()
    if await operator.replace(_document(), 20.0) is None:
        raise CannotRunError("the first configuration was not acknowledged")
    for replica in replicas:
        await replica.start()
    for front in fleet.fronts:
        await _wait_ready(front, record)
    await asyncio.sleep(4.0)
    front = fleet.fronts[0]
    if trouble:
        await _make_trouble(fleet, clients, record, front)
    else:
        await clients.press(front, _WARM_S + _ALONE_S)
    await asyncio.sleep(BOUNDS["contactMs"] / 1000 + 1.0)
    # The rest is asked for at all machines, until the tenant has nothing left.
    refused = 0
    began_s = record.now_s()
    while refused < 40 and record.now_s() - began_s < 40.0:
        outcomes = await asyncio.gather(*(clients.ask(one) for one in fleet.fronts))
        refused = 0 if "200" in outcomes else refused + 1
        await asyncio.sleep(0.05)
    record.write(f"statuses: {clients.statuses}")
    record.write(f"the tenant has received {clients.received} of {_PREPAID} prepaid tokens")
    broken = []
    if clients.received > _PREPAID:
        broken.append(
            f"BUDGET: the tenant received {clients.received} tokens, its prepaid is {_PREPAID}"
        )
    for machine in fleet.machines:
        machine.look()
        broken += machine.ends
    return broken


async def _make_trouble(
    fleet: Fleet, clients: Clients, record: Record, front: Machine
) -> None:
    first = leader_of(fleet)
    record.write(f"{first.name} leads")
    first.signal(signal.SIGSTOP)
    await asyncio.sleep(2.5)
    first.signal(signal.SIGCONT)
    await asyncio.sleep(BOUNDS["contactMs"] / 1000)
    second = leader_of(fleet)
    record.write(f"{second.name} leads")
    front.kill()
    await asyncio.sleep(0.5)
    front.start()
    await _wait_ready(front, record)
    await clients.press(front, _WARM_S)
    second.signal(signal.SIGSTOP)
    await asyncio.sleep(0.1)  # what it has sent arrives: all others hold the same log
    for core in fleet.cores:
        if core is not second:
            core.signal(signal.SIGSTOP)
    await clients.press(front, _ALONE_S)
    front.kill()
    others = [core for core in fleet.cores if core not in (first, second)]
    first.signal(signal.SIGCONT)
    await asyncio.sleep(0.4)
    for core in others[:2]:
        core.signal(signal.SIGCONT)
    await asyncio.sleep(1.0)
    for core in (others[2], second):
        core.signal(signal.SIGCONT)
    await asyncio.sleep(2.0)
    record.write(f"{leader_of(fleet).name} leads")
    front.start()
    await _wait_ready(front, record)


if __name__ == "__main__":
    # TROUBLE=0 does the same without the disruption.
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record_txt = Path(__file__).resolve().parent / "record.txt"
    raise SystemExit(main(play, record_txt, trouble=with_trouble))
