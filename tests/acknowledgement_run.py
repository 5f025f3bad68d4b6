"""A random run over sockets that checks what acknowledgements promise.

Operators send versions, replicas come and leave, links of gateways are thin or silent,
members of control end and start again. From ``BOUND_S`` after an acknowledgement on no
gateway that is in touch may act by an older state.

Usage: ``python tests/acknowledgement_run.py --seeds 50 --gateways 3 --members 3``.
"""

import argparse
import asyncio
import json
import logging
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from pathlib import Path
from random import Random
from typing import Any

from acknowledgement_book import Figures, FleetState, Leave
from acknowledgement_fleet import SERVICES, ObservedFleet, ObservedGateway
from platform_stand_ins import KEY, StandInReplica, configuration, route

ALWAYS = "/always/"
NEVER, WRONG_KEY = "/never/", "wrong-key"
_MORE_KEYS = ("key-1", "key-2", "key-3")
_FIRST_PATHS = ("/first-1/", "/first-2/", "/first-3/")
_NAME_BYTES = 60  # of each further route's name, at random: packing does not shorten them
_OPERATORS = 2
_VERSION_PAUSE_S = (0.2, 1.5)
_REPLICA_PAUSE_S = (0.3, 1.5)
_REPLICA_LIFE_S = (0.5, 3.0)
_WHOLE_PAUSES_S = ((0.5, 3.0), (6.0, 10.0), (6.0, 10.0))  # gateways are bound in long ones
_TROUBLE_S = (0.5, 6.0)
_THIN_S = (3.0, 8.0)
_THIN_BYTES_PER_S = (5_000.0, 60_000.0)
_DOWN_S = (0.1, 1.0)
_LEADER_PAUSE_S = (2.0, 7.0)
_ONLY_MEMBER_PAUSE_S = (8.0, 16.0)  # nobody is bound while the only member is down, and after
_LEADER_DOWN_S = (0.3, 3.0)
_RESEND_PAUSE_S = 0.2
_POLL_S = 0.04
_READ_PAUSE_S = 0.3
_RECENT = 4  # versions whose changes callers ask for most
_START_S = 15.0
_RESTORED_S = 10.0  # within which all is acknowledged and served once all links are whole
_TROUBLES = ("thin", "thin", "thin", "back", "there", "both", "restart")


@dataclass(frozen=True)
class RunSizes:
    """How large a run is.

    Attributes:
        gateways: How many.
        members: Of control.
        routes: Of the configuration, besides those that callers ask for.
        seconds: For which changes and troubles go on.
    """

    gateways: int = 3
    members: int = 1
    routes: int = 400
    seconds: float = 12.0


class AcknowledgementRun:
    """One run.

    Args:
        seed: Decides what happens; sockets decide the rest.
        sizes: How large it is.
    """

    def __init__(self, seed: int, sizes: RunSizes) -> None:
        self.figures = Figures()
        self._seed = seed
        self._sizes = sizes
        self._fleet = ObservedFleet(
            sizes.members, sizes.gateways, self.figures, self._random("calls")
        )
        self._book = self._fleet.book
        filler = self._random("routes")
        self._filler = [
            route(f"/{number:x}/", name=filler.randbytes(_NAME_BYTES).hex())
            for number in range(sizes.routes)
        ]
        self._ends_s = 0.0
        self._sending: set[asyncio.Task[Any]] = set()  # until it is acknowledged
        self._asking: set[asyncio.Task[Any]] = set()

    def _random(self, name: object) -> Random:
        return Random(f"{self._seed}/{name}")

    async def run(self) -> Figures:
        """Run, and return what was done and checked."""
        try:
            await self._start()
            watching = [asyncio.create_task(work) for work in self._watchers()]
            try:
                await self._change_and_trouble()
                await self._check_restored()
            finally:
                await _cancel({*watching, *self._sending, *self._asking})
        finally:
            await self._fleet.stop()
        return self.figures

    async def _start(self) -> None:
        await self._fleet.start()
        for service in SERVICES:
            await self._come(f"stays-{service}", service)
        routes = dict.fromkeys((ALWAYS, *_FIRST_PATHS), SERVICES[0])
        await self._send(FleetState(1, routes, (KEY, *_MORE_KEYS)))
        await self._fleet.start_gateways()
        async with asyncio.timeout(_START_S):
            while await self._behind():
                await asyncio.sleep(_POLL_S)

    async def _change_and_trouble(self) -> None:
        self._ends_s = _now_s() + self._sizes.seconds
        async with asyncio.TaskGroup() as actors:
            for number in range(_OPERATORS):
                actors.create_task(self._operate(self._random(f"operator {number}")))
            actors.create_task(self._move_replicas(self._random("replicas")))
            actors.create_task(self._trouble_leader(self._random("leader")))
            for gateway in self._fleet.gateways:
                actors.create_task(self._trouble(gateway, self._random(gateway.name)))

    def _watchers(self) -> list[Any]:
        callers = [
            self._call(gateway, self._random(f"calls {gateway.name}"))
            for gateway in self._fleet.gateways
        ]
        return [*callers, self._read()]

    async def _pause(self, source: Random, between_s: tuple[float, float]) -> bool:
        """Wait; return whether the run still goes on."""
        wait_s = source.uniform(*between_s)
        await asyncio.sleep(max(0.0, min(wait_s, self._ends_s - _now_s())))
        return _now_s() < self._ends_s

    # ---- operators --------------------------------------------------------

    async def _operate(self, source: Random) -> None:
        while await self._pause(source, _VERSION_PAUSE_S):
            newest = self._book.newest
            state = changed(newest, self._random(f"version {newest.version + 1}"))
            task = self._keep(self._sending, self._send(state))
            if source.random() < 0.5:  # else the next one does not wait for it
                await asyncio.wait([task], timeout=max(0.0, self._ends_s - _now_s()))

    async def _send(self, state: FleetState) -> None:
        self._book.sending(state, _now_s())
        body = json.dumps(self._document(state)).encode()
        await self._until_acknowledged(
            f"version {state.version}", lambda: self._fleet.tell("/api/Config.Replace", body)
        )
        self._book.acknowledged(state.version, _now_s())
        self.figures.counted["changes"] += 1

    def _document(self, state: FleetState) -> dict[str, Any]:
        routes = [route(path, service=service) for path, service in state.routes.items()]
        services = [
            {"name": name, "healthPath": "/healthz", "maxConnections": 100} for name in SERVICES
        ]
        tenants = [{"name": "tenant-a", "apiKeys": list(state.keys), "priority": 1}]
        return configuration(
            state.version, *routes, *self._filler, services=services, tenants=tenants
        )

    async def _until_acknowledged(self, what: str, ask: Callable[[], Awaitable[int]]) -> None:
        began_s = _now_s()
        while (status := await ask()) != 200:
            if status != 503:
                self.figures.violated(f"{what}: refused with {status}")
            self.figures.counted["unclear"] += 1
            await asyncio.sleep(_RESEND_PAUSE_S)
        waited_s = _now_s() - began_s
        self.figures.longest_wait_s = max(self.figures.longest_wait_s, waited_s)

    async def _read(self) -> None:
        while True:
            asked_s = _now_s()
            document = await self._fleet.read()
            if document is not None:
                self._book.judge_read(document["version"], asked_s, _now_s())
            await asyncio.sleep(_READ_PAUSE_S)

    # ---- replicas ---------------------------------------------------------

    async def _move_replicas(self, source: Random) -> None:
        number = 0
        while await self._pause(source, _REPLICA_PAUSE_S):
            number += 1
            identity = f"replica-{number}"
            self._keep(self._sending, self._come_and_leave(identity, self._random(identity)))

    async def _come(self, identity: str, service: str) -> StandInReplica:
        replica = await self._fleet.add_replica(identity, service)
        await self._heartbeat(replica, service=service)
        return replica

    async def _heartbeat(self, replica: StandInReplica, **told: Any) -> None:
        body = json.dumps(replica.heartbeat(**told)).encode()
        path = f"/api/Replicas.Heartbeat/{replica.identity}"
        await self._until_acknowledged(path, lambda: self._fleet.tell(path, body))

    async def _come_and_leave(self, identity: str, source: Random) -> None:
        service = source.choice(SERVICES)
        replica = await self._come(identity, service)
        await self._pause(source, _REPLICA_LIFE_S)
        leave = Leave(source.choice(("drain", "deregistration")))
        self._book.leaves[identity] = leave
        if leave.kind == "drain":
            await self._heartbeat(replica, service=service, state="draining", sequence=2)
        else:
            path = f"/api/Replicas.Deregister/{identity}"
            await self._until_acknowledged(path, lambda: self._fleet.tell(path, b""))
        leave.acknowledged_s = _now_s()
        self.figures.counted["leaves"] += 1

    # ---- troubles ---------------------------------------------------------

    async def _trouble(self, gateway: ObservedGateway, source: Random) -> None:
        while await self._pause(source, source.choice(_WHOLE_PAUSES_S)):
            kind = source.choice(_TROUBLES)
            self.figures.counted[f"trouble {kind}"] += 1
            if kind == "restart":
                await gateway.abort()
                await self._pause(source, _DOWN_S)
                await gateway.start(self._fleet.group)
                continue
            if kind == "thin":
                low, high = _THIN_BYTES_PER_S
                gateway.make_thin(low * (high / low) ** source.random())
            else:
                gateway.silence(there=kind in ("there", "both"), back=kind in ("back", "both"))
            await self._pause(source, _THIN_S if kind == "thin" else _TROUBLE_S)
            gateway.make_whole()

    async def _trouble_leader(self, source: Random) -> None:
        group = self._fleet.group
        between_s = _LEADER_PAUSE_S if group.size > 1 else _ONLY_MEMBER_PAUSE_S
        while await self._pause(source, between_s):
            number = group.leader
            if number is None:
                continue
            self.figures.counted["leaders ended"] += 1
            await group.end_member(number, planned=source.random() < 0.5)
            self._fleet.note_quorum()
            await self._pause(source, _LEADER_DOWN_S)
            await group.start_member(number)
            self._fleet.note_quorum()

    # ---- callers ----------------------------------------------------------

    async def _call(self, gateway: ObservedGateway, source: Random) -> None:
        while True:
            if gateway.address:
                self._keep(self._asking, self._fleet.ask(gateway, *self._wanted(source)))
            await asyncio.sleep(_POLL_S)

    def _wanted(self, source: Random) -> tuple[str, str]:
        """Return a path and a key, most often such as changed lately."""
        states = self._book.states
        kind = source.random()
        if kind < 0.15:
            return ALWAYS, KEY
        if kind < 0.25:
            return source.choice(((NEVER, KEY), (ALWAYS, WRONG_KEY)))
        recent = states[-_RECENT:] if kind < 0.8 else states
        if source.random() < 0.3:
            return ALWAYS, source.choice(sorted({key for state in recent for key in state.keys}))
        return source.choice(sorted({path for state in recent for path in state.routes})), KEY

    def _keep(self, tasks: set[asyncio.Task[Any]], work: Any) -> asyncio.Task[Any]:
        task = asyncio.create_task(work)
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        return task

    # ---- the end ----------------------------------------------------------

    async def _check_restored(self) -> None:
        """Check that all is acknowledged and served soon after all links became whole."""
        until_s = _now_s() + _RESTORED_S
        if self._sending:
            await asyncio.wait(self._sending, timeout=_RESTORED_S)
        if self._sending:
            self.figures.violated(f"{len(self._sending)} not acknowledged on whole links")
        while behind := await self._behind():
            if _now_s() > until_s:
                self.figures.violated(f"the newest version is not served on whole links: {behind}")
                return
            await asyncio.sleep(_POLL_S)
        self.figures.counted["ends"] += 1

    async def _behind(self) -> list[str]:
        """Return what gateways do not answer by the newest version."""
        newest = self._book.newest
        paths = {path for state in self._book.states for path in state.routes}
        keys = {key for state in self._book.states for key in state.keys}
        wanted = [
            *((path, KEY) for path in sorted(paths)),
            *((ALWAYS, key) for key in sorted(keys)),
        ]
        behind = []
        for gateway in self._fleet.gateways:
            for path, key in wanted:
                outcome = await self._fleet.ask(gateway, path, key)
                if outcome != newest.outcome(path, key):
                    behind.append(f"{gateway.name} {path} {key}: {outcome}")
        return behind


def changed(state: FleetState, source: Random) -> FleetState:
    """Return the next version of the configuration."""
    version = state.version + 1
    routes, keys = dict(state.routes), list(state.keys)
    others = sorted(set(routes) - {ALWAYS})
    kind = source.choice(("add", "add", "remove", "move", "key"))
    if kind == "remove" and others:
        del routes[source.choice(others)]
    elif kind == "move" and others:
        path = source.choice(others)
        routes[path] = next(service for service in SERVICES if service != routes[path])
    elif kind == "key" and len(keys) > 1:
        keys.remove(source.choice(keys[1:]))
    else:
        routes[f"/added-{version}/"] = source.choice(SERVICES)
        keys.append(f"key-of-{version}")
    return replace(state, version=version, routes=routes, keys=tuple(keys))


async def _cancel(tasks: set[asyncio.Task[Any]]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def told(seed: int, figures: Figures) -> str:
    """Return one line on a run."""
    names = ("changes", "leaves", "unclear", "requests", "always there", "bound", "telling")
    kinds = [f"telling {kind}" for kind in ("added", "removed", "moved", "keys")]
    more = (*kinds, "arrivals", "reads", "excused", "leaders ended", "violations")
    parts = [f"{name.replace(' ', '_')}={figures.counted[name]}" for name in (*names, *more)]
    return f"seed={seed} longest_wait_s={figures.longest_wait_s:.2f} {' '.join(parts)}"


def _arguments() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description="Check what acknowledgements promise.")
    parser.add_argument("--first-seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1)
    parser.add_argument("--gateways", type=int, default=RunSizes.gateways)
    parser.add_argument("--members", type=int, default=RunSizes.members)
    parser.add_argument("--routes", type=int, default=RunSizes.routes)
    parser.add_argument("--seconds", type=float, default=RunSizes.seconds)
    parser.add_argument("--log", type=Path, help="file for the events of all daemons")
    return parser.parse_args()


def main() -> int:
    """Run all seeds; return 1 if a promise was broken."""
    given = _arguments()
    level = logging.INFO if given.log else logging.CRITICAL
    logging.basicConfig(filename=given.log, level=level, format="%(asctime)s %(message)s")
    sizes = RunSizes(given.gateways, given.members, given.routes, given.seconds)
    broken = False
    for seed in range(given.first_seed, given.first_seed + given.seeds):
        figures = asyncio.run(AcknowledgementRun(seed, sizes).run())
        print(told(seed, figures), *figures.violations, sep="\n  ", flush=True)
        broken = broken or bool(figures.violations)
    return int(broken)


if __name__ == "__main__":
    sys.exit(main())
