"""Simulation in virtual time of gateways that take up each other's streams.

The gateways' origin code, control's tracking of what is in force and the gateways' configuration
status are the production code. Replicas of up to three versions come and go; gateways restart, lag,
are cut off from control or from each other, and leaders change. Callers lose their streams and take
them up at any gateway.
"""

import argparse
import asyncio
import logging
from collections import Counter
from collections.abc import Coroutine
from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace
from typing import Any, cast

from heronladder_control.in_force import InForceTracker
from heronladder_router.errors import OriginUnknownError
from heronladder_router.origins.exchange import GatewayIdentity, OriginExchange
from heronladder_router.origins.known_versions import KnownVersions
from heronladder_router.origins.origin import Origin
from heronladder_router.origins.streams import StreamOrigins
from heronladder_router.origins.table import OriginTable
from heronladder_router.tokens.lenders import Lenders
from heronladder_router.tokens.peer_key import PeerKey
from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import REPLICA_KIND, ConfigurationStore
from heronladder_runtime.configuration_status import ConfigurationStatus
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_schema.v1 import control_pb2, resources_pb2
from support import run_virtual

SERVICE = "app"
FRESHNESS_S = 1.0
_HEARTBEAT_S = 0.3
_CONTROL_STEP_S = 0.05
_SECONDS = 14.0
_STREAM_S = (0.2, 4.0)  # duration of a stream until it ends or breaks
_KEEP_S = 15.0


@dataclass
class Results:
    """Outcome of a run.

    Attributes:
        begun: Streams that began.
        mixed: Streams that went on at another version.
        taken_up: Attempts to go on with a stream, by outcome.
        taken_up_after_loss: The same for streams whose gateway was lost.
    """

    begun: int = 0
    mixed: int = 0
    taken_up: Counter[str] = field(default_factory=Counter)
    taken_up_after_loss: Counter[str] = field(default_factory=Counter)


@dataclass(frozen=True)
class Faults:
    """What happens in a run.

    Attributes:
        restarts: Restarts of gateways.
        control_cuts: Times for which a gateway is cut off from control.
        peer_cuts: Times for which a gateway is cut off from other gateways.
        elections: Losses of the leader.
        lag_s: Longest delay of an update of the configuration to a gateway.
    """

    restarts: int = 3
    control_cuts: int = 2
    peer_cuts: int = 2
    elections: int = 2
    lag_s: float = 1.5


class Gateway:
    """One process of a gateway.

    Args:
        fleet: The fleet.
        name: Name of the gateway.
        zone: Its zone.
    """

    def __init__(self, fleet: "OriginFleet", name: str, zone: str) -> None:
        self.fleet = fleet
        self.name = name
        self.alive = True
        self.connected = False
        self.lag_s = 0.0
        log = EventLog("test", name)
        self.configuration = ConfigurationStore(name)
        self.configuration_status = ConfigurationStatus(self.configuration, fleet.environment, log)
        self.fresh_until_s = 0.0
        self.metrics = Metrics()
        self.versions = KnownVersions(self.configuration, fleet.environment)
        self.versions.in_force_revision = lambda: self.configuration_status.in_force_revision
        self.gateways = Lenders(name, zone, lends=True)
        self.exchange = OriginExchange(
            GatewayIdentity(name, "group", zone, {}),
            OriginTable(fleet.environment),
            self.gateways,
            PeerKey(""),
            cast(Any, _Stubs(fleet, self)),
            fleet.environment,
            self.metrics,
            log,
        )
        self.origins = StreamOrigins(
            self.exchange, self.versions, cast(Any, self), fleet.environment, self.metrics, log
        )

    @property
    def knows_newest(self) -> bool:
        """Whether no newer revision than the one held can be in force."""
        fresh = self.fleet.now_s < self.fresh_until_s
        status = self.configuration_status
        return fresh and not (status.must_not_act or status.behind)

    def usable_versions(self) -> list[str]:
        """Return the version of each replica that requests may be sent to."""
        return [record.software for record in self.configuration.replicas() if not record.gone]


class _Stubs:
    """Stubs of other gateways; a message takes a while and is lost in a cut."""

    def __init__(self, fleet: "OriginFleet", source: Gateway) -> None:
        self._fleet = fleet
        self._source = source
        self._target = ""

    def origins(self, address: str) -> "_Stubs":
        """Return a stub for one gateway."""
        stub = _Stubs(self._fleet, self._source)
        stub._target = address
        return stub

    async def Record(self, request: Any, timeout: float) -> Any:
        """Call Record there."""
        return await self._call("Record", request, timeout)

    async def Find(self, request: Any, timeout: float) -> Any:
        """Call Find there."""
        return await self._call("Find", request, timeout)

    async def _call(self, method: str, request: Any, timeout: float) -> Any:
        async with asyncio.timeout(timeout):
            await self._fleet.pass_between(self._source, self._target)
            target = self._fleet.gateways[self._target]
            reply = await getattr(target.exchange, method)(request, None)
            await self._fleet.pass_between(target, self._source.name)
            return reply


class OriginFleet:
    """Control, gateways, replicas and callers.

    Args:
        source: Source of randomness.
        gateways: Number of gateways.
        versions: Number of software versions that come.
        faults: What happens.
    """

    def __init__(self, source: Random, gateways: int, versions: int, faults: Faults) -> None:
        self.source = source
        self.environment = Environment(source, virtual=True)
        self.results = Results()
        self._faults = faults
        self._version_count = versions
        self._names = [f"g{number}" for number in range(gateways)]
        self.gateways: dict[str, Gateway] = {}
        self._cut_from_control: set[str] = set()
        self._cut_from_peers: set[str] = set()
        self._log: list[resources_pb2.Replica] = []  # event of revision n at n - 1
        self._in_force = 0
        self._tracker = InForceTracker(self.environment, FRESHNESS_S)
        self._leading = True
        self._tasks: set[asyncio.Task[Any]] = set()
        self._stream_count = 0

    @property
    def now_s(self) -> float:
        """Current time in seconds."""
        return self.environment.monotonic()

    def start_task(self, work: Coroutine[Any, Any, Any]) -> None:
        """Run a coroutine in the background."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def run(self) -> Results:
        """Run everything; return what the callers saw."""
        for number in range(4):
            self._register(f"r{number}", "v0")
        self._tracker.start_term([], 0.0)
        for name in self._names:
            self._start_gateway(name)
        self.start_task(self._lead())
        for work in (self._change_replicas(), self._inject_faults()):
            self.start_task(work)
        await asyncio.sleep(1.5)
        end_s = self.now_s + _SECONDS
        while self.now_s < end_s:
            await asyncio.sleep(self.source.expovariate(8.0))
            self.start_task(self._read_stream())
        await asyncio.sleep(4.0)
        while self._tasks:
            for task in list(self._tasks):
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)
        for gateway in self.gateways.values():
            await gateway.exchange.stop()
        return self.results

    # ---- gateways ---------------------------------------------------------

    def _start_gateway(self, name: str) -> None:
        zone = f"z{self._names.index(name) % 3}"
        gateway = self.gateways[name] = Gateway(self, name, zone)
        gateway.lag_s = self.source.choice((0.0, 0.02, self._faults.lag_s))
        self.start_task(self._run_link(gateway))

    async def _run_link(self, gateway: Gateway) -> None:
        """Keep the gateway's stream to the leader."""
        while gateway.alive:
            await asyncio.sleep(self.source.uniform(0.05, 0.6))
            if not self._reaches_control(gateway):
                continue
            gateway.connected = True
            self._tracker.connected(
                gateway.name, gateway.configuration.revision, acts_past_lease=True
            )
            gateway.gateways.update(
                control_pb2.Lender(name=name, zone=one.gateways._zone, address=name)
                for name, one in self.gateways.items()
                if one.alive
            )
            feed = asyncio.ensure_future(self._feed(gateway))
            try:
                while self._reaches_control(gateway) and gateway.connected:
                    await self._beat(gateway)
                    await asyncio.sleep(_HEARTBEAT_S)
            finally:
                feed.cancel()
                gateway.connected = False
                self._tracker.disconnected(gateway.name)

    def _reaches_control(self, gateway: Gateway) -> bool:
        return self._leading and gateway.alive and gateway.name not in self._cut_from_control

    async def _feed(self, gateway: Gateway) -> None:
        """Send each update, in order; it arrives after the gateway's lag."""
        while True:
            held = gateway.configuration.revision
            if held < len(self._log):
                update = control_pb2.ConfigUpdate(revision=len(self._log))
                for record in self._log[held:]:
                    event = update.events.add(kind=REPLICA_KIND, name=record.id)
                    event.resource.replica.CopyFrom(record)
                    event.resource.metadata.revision = held + len(update.events)
                await asyncio.sleep(self.source.uniform(0.001, 0.01) + gateway.lag_s)
                gateway.configuration.apply(update)
                await self._beat(gateway)
            await asyncio.sleep(0.02)

    async def _beat(self, gateway: Gateway) -> None:
        """Send a heartbeat; its answer renews the lease and names what is in force."""
        sent_s, revision = self.now_s, gateway.configuration.revision
        await asyncio.sleep(self.source.uniform(0.001, 0.03))
        if not self._reaches_control(gateway):
            return
        status = gateway.configuration_status
        renewed = self._tracker.heartbeat(
            gateway.name, revision, len(self._log), self._in_force, status.hold_below, self.now_s
        )
        in_force = self._in_force
        await asyncio.sleep(self.source.uniform(0.001, 0.03))
        if not self._reaches_control(gateway):
            return
        status.record_leader_contact()
        status.record_in_force(in_force, 0)
        if renewed:
            gateway.fresh_until_s = max(gateway.fresh_until_s, sent_s + FRESHNESS_S)

    async def pass_between(self, source: Gateway, target: str) -> None:
        """Wait for a message between gateways to arrive.

        Raises:
            OSError: If the target does not run.
            TimeoutError: If it can't be reached.
        """
        await asyncio.sleep(self.source.uniform(0.0005, 0.01))
        if self._cut_from_peers & {source.name, target} or self.source.random() < 0.01:
            await asyncio.sleep(60.0)
        if not (source.alive and self.gateways[target].alive):
            raise OSError("connection refused")

    # ---- control ----------------------------------------------------------

    async def _lead(self) -> None:
        while True:
            await asyncio.sleep(_CONTROL_STEP_S)
            if self._leading:
                reached = self._tracker.reached_revision(len(self._log), self._in_force)
                self._in_force = max(self._in_force, reached)

    def _register(self, identity: str, version: str, *, gone: bool = False) -> None:
        record = resources_pb2.Replica(id=identity, service=SERVICE, software=version, gone=gone)
        self._log.append(record)

    async def _change_replicas(self) -> None:
        known = [(f"r{number}", "v0") for number in range(4)]
        count = len(known)
        newest = 0
        while True:
            await asyncio.sleep(self.source.uniform(0.2, 1.5))
            if not self._leading:
                continue
            if newest + 1 < self._version_count and self.source.random() < 0.4:
                newest += 1
            if len(known) > 2 and self.source.random() < 0.45:
                self._register(*known.pop(self.source.randrange(len(known))), gone=True)
                continue
            version = f"v{self.source.choice((newest, self.source.randint(0, newest)))}"
            known.append((f"r{count}", version))
            self._register(*known[-1])
            count += 1

    async def _inject_faults(self) -> None:
        faults = self._faults
        work = [
            *[self._restart] * faults.restarts,
            *[self._cut_control] * faults.control_cuts,
            *[self._cut_peers] * faults.peer_cuts,
            *[self._elect] * faults.elections,
        ]
        self.source.shuffle(work)
        for fault in work:
            await asyncio.sleep(self.source.uniform(0.3, 2.0))
            self.start_task(fault())

    async def _restart(self) -> None:
        name = self.source.choice(self._names)
        gateway = self.gateways[name]
        if not gateway.alive:
            return
        gateway.alive = False
        await gateway.exchange.stop()
        await asyncio.sleep(self.source.uniform(0.1, 1.5))
        self._start_gateway(name)

    async def _cut(self, cut: set[str]) -> None:
        name = self.source.choice(self._names)
        cut.add(name)
        await asyncio.sleep(self.source.uniform(0.5, 5.0))
        cut.discard(name)

    async def _cut_control(self) -> None:
        await self._cut(self._cut_from_control)

    async def _cut_peers(self) -> None:
        await self._cut(self._cut_from_peers)

    async def _elect(self) -> None:
        self._leading = False
        await asyncio.sleep(self.source.uniform(0.3, 2.0))
        self._tracker = InForceTracker(self.environment, FRESHNESS_S)
        self._tracker.start_term(self._names, FRESHNESS_S)
        for gateway in self.gateways.values():
            gateway.connected = False
        self._leading = True

    # ---- callers ----------------------------------------------------------

    def _request(self, request_id: str, resumes: str, last_event_id: str) -> Any:
        targets = [SimpleNamespace(service=SERVICE)]
        return SimpleNamespace(
            request_id=request_id,
            resumes=resumes,
            last_event_id=last_event_id,
            profile=SimpleNamespace(service=SERVICE),
            deadline_s=self.now_s + _KEEP_S,
            matched=SimpleNamespace(
                tenant=None,
                streams=True,
                may_run_twice=True,
                route=SimpleNamespace(targets=targets),
            ),
        )

    def _some_gateway(self) -> Gateway | None:
        ready = [one for one in self.gateways.values() if one.alive and one.configuration.revision]
        return self.source.choice(ready) if ready else None

    async def _read_stream(self) -> None:
        gateway = self._some_gateway()
        usable = gateway.usable_versions() if gateway is not None else []
        if gateway is None or not usable or gateway.configuration_status.must_not_act:
            return
        waiting = gateway.versions.not_in_force(SERVICE, usable)
        allowed = [one for one in usable if one not in waiting]
        if not allowed:
            return
        version = self.source.choice(allowed)
        self._stream_count += 1
        name = f"s{self._stream_count}"
        await asyncio.sleep(self.source.uniform(0.01, 0.3))  # until its first event
        if not gateway.alive:
            return
        self.results.begun += 1
        request = self._request(name, "", "")
        gateway.origins.began(request, Origin(SERVICE, version))
        for attempt in range(2):
            if not await self._is_broken(gateway):
                gateway.origins.ended(request, finished=True)
                return
            taken_up = await self._take_up(gateway, name, version, attempt)
            if taken_up is None:
                return
            gateway, request = taken_up

    async def _is_broken(self, gateway: Gateway) -> bool:
        end_s = self.now_s + self.source.uniform(*_STREAM_S)
        while self.now_s < end_s:
            await asyncio.sleep(0.05)
            if not gateway.alive:
                return True
        return self.source.random() < 0.5

    def _count_taken_up(self, earlier: Gateway, outcome: str) -> None:
        self.results.taken_up[outcome] += 1
        if not earlier.alive:
            self.results.taken_up_after_loss[outcome] += 1

    async def _take_up(
        self, earlier: Gateway, name: str, version: str, attempt: int
    ) -> tuple[Gateway, Any] | None:
        """Take a stream up at some gateways; return the one at which it goes on."""
        for again in range(2):
            await asyncio.sleep(self.source.uniform(0.005, 0.05))
            gateway = self._some_gateway()
            if gateway is None:
                continue
            request = self._request(f"{name}-{attempt}-{again}", name, "3")
            try:
                origin = await gateway.origins.resolve(request)
            except OriginUnknownError:
                self._count_taken_up(earlier, "unknown")
                continue
            assert origin is not None
            running = {record.id: record for record in self._log}.values()
            serving = {record.software for record in running if not record.gone}
            if origin.software not in serving.intersection(gateway.usable_versions()):
                self._count_taken_up(earlier, "no_replica")
                continue
            self._count_taken_up(earlier, "went_on")
            self.results.mixed += origin.software != version
            gateway.origins.began(request, origin)
            return gateway, request
        return None


def run_seed(seed: int, faults: Faults | None = None) -> Results:
    """Run one seed; without faults given, they are drawn."""
    source = Random(seed)
    drawn = Faults(
        restarts=source.randint(0, 5),
        control_cuts=source.randint(0, 4),
        peer_cuts=source.randint(0, 4),
        elections=source.randint(0, 3),
        lag_s=source.choice((0.1, 1.5, 3.0)),
    )
    fleet = OriginFleet(source, source.randint(3, 12), source.randint(1, 3), faults or drawn)
    return run_virtual(fleet.run())


def main() -> None:
    """Run a range of seeds and print their sums."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--first", type=int, default=0)
    options = parser.parse_args()
    logging.disable(logging.ERROR)
    begun = mixed = 0
    taken_up: Counter[str] = Counter()
    for seed in range(options.first, options.first + options.seeds):
        results = run_seed(seed)
        begun += results.begun
        mixed += results.mixed
        taken_up += results.taken_up
        if results.mixed:
            print(f"seed {seed}: {results.mixed} mixed of {results.begun}")
    print(f"seeds {options.seeds}, streams {begun}, mixed {mixed}, taken up {dict(taken_up)}")


if __name__ == "__main__":
    main()
