"""Simulation in virtual time of gateways and control that judge parts of prompts.

The gateways' knowledge of crashing requests, the choice of what a crash counts against, control's
evidence and the leader's decisions are the production code. Replicas crash under some parts, or for
other reasons: alone, by turns, with their zone, all at once. Gateways restart and leaders change.
"""

import argparse
import heapq
import itertools
import logging
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from types import SimpleNamespace
from typing import Any, cast

from heronladder_control.crashes.refusals import Refusals
from heronladder_control.crashes.table import CrashTable
from heronladder_control.resources import ResourceTable
from heronladder_router.cached_prompt_parts import PromptPart
from heronladder_router.crash_reports import CrashReports
from heronladder_router.crashing_requests import CrashingRequests
from heronladder_router.decisions.cache_owner import rendezvous_weight
from heronladder_router.gateway_request import GatewayRequest
from heronladder_router.replica_state import RequestProfile
from heronladder_runtime.clock import Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_schema.v1 import control_pb2, resources_pb2

CONTACT_S = 3.0
ENOUGH_CRASHES = 5
_SERVICE = "app"
_SECONDS = 12.0
_EVENT_INTERVAL_S = 0.04
_LOG = EventLog("test", "crashes")


class _Clock(Environment):
    now_s = 1000.0

    def monotonic(self) -> float:
        return self.now_s


class _Configuration:
    """Entries that control publishes, as one gateway knows them."""

    def __init__(self) -> None:
        self.revision = 0
        self.entries: dict[str, resources_pb2.CrashingRequest] = {}
        self.listeners: list[Callable[[], None]] = []

    def listen(self, listener: Callable[[], None]) -> None:
        self.listeners.append(listener)

    def crashing_requests(self) -> dict[str, resources_pb2.CrashingRequest]:
        return self.entries


@dataclass
class _Run:
    """A request at a replica."""

    request: GatewayRequest
    gateway: "_Gateway"
    replica: "_Replica"
    first_s: float
    is_bad: bool
    attempt: int
    events: int = 0
    ended: bool = False


@dataclass(eq=False)
class _Replica:
    """A replica; each start has another name."""

    number: int
    zone: str
    starts: int = 0
    up: bool = True
    runs: list[_Run] = field(default_factory=list)

    @property
    def name(self) -> str:
        return f"r{self.number}-{self.starts}"


class _Gateway:
    """One process of a gateway."""

    def __init__(self, fleet: "CrashFleet") -> None:
        self.configuration = _Configuration()
        self.crashing = CrashingRequests(cast(Any, self.configuration), fleet.clock, _LOG)
        self.reports = CrashReports(
            cast(Any, SimpleNamespace(configuration=_Configuration())),
            self.crashing,
            fleet.clock,
            Metrics(),
            _LOG,
        )
        self.crashing.on_cleared = fleet.clear
        self.ready = True  # it serves nothing before its first configuration


@dataclass
class CrashResults:
    """Outcome of a run.

    Attributes:
        sent: Sound requests.
        sound_refused: Sound requests that were refused.
        crashes: Crashes under each bad part.
        late: Requests with a bad part that reached replicas later than ``CONTACT_S`` after the
            fifth crash under it.
    """

    sent: int = 0
    sound_refused: int = 0
    crashes: Counter[str] = field(default_factory=Counter)
    late: int = 0


class CrashFleet:
    """Control, gateways, replicas and callers.

    Args:
        seed: Seed of all choices.
        bad_parts: Number of parts that crash replicas; None: drawn.
    """

    def __init__(self, seed: int, bad_parts: int | None = None) -> None:
        self.source = source = Random(seed)
        self.clock = _Clock()
        self.results = CrashResults()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = itertools.count()
        self._table = CrashTable(ResourceTable("r1"))
        self._refusals = Refusals(self._table, self.clock, Metrics(), _LOG)
        self._refusals.zone_of = lambda name: self._zones.get(name, "")
        self._index = 0
        zones = source.randint(2, 4)
        self._replicas = [
            _Replica(number, f"z{number % zones}") for number in range(source.randint(4, 14))
        ]
        self._zones = {replica.name: replica.zone for replica in self._replicas}
        self._gateways = [_Gateway(self) for _ in range(source.randint(2, 6))]
        count = source.choice((0, 0, 1, 2)) if bad_parts is None else bad_parts
        self._bad = [f"bad{number}" for number in range(count)]
        self._bad_per_s = source.choice((0.5, 1.0, 2.0, 5.0, 20.0))
        self._crash_times: dict[str, list[float]] = {part: [] for part in self._bad}
        self._down_s = source.uniform(1.0, 4.0)
        self._published = ""
        self._elected_s = 0.0  # gateways are not in touch for a while after it

    def _at(self, delay_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (self.clock.now_s + delay_s, next(self._numbers), action))

    def run(self) -> CrashResults:
        """Run everything; return what happened."""
        self._at(0.0, self._lead)
        self._at(0.0, self._send_sound)
        for part in self._bad:
            self._at(self.source.uniform(0.5, 3.0), lambda part=part: self._send_bad(part))
        for _ in range(self.source.randint(0, 6)):
            fault = self.source.choice(
                (self._lose_zone, self._lose_one, self._flap, self._lose_all, self._elect)
            )
            self._at(self.source.uniform(0.5, _SECONDS), fault)
        for _ in range(self.source.randint(0, 2)):
            self._at(self.source.uniform(0.5, _SECONDS), self._restart_gateway)
        end_s = self.clock.now_s + _SECONDS
        while self._queue and self._queue[0][0] < end_s:
            self.clock.now_s, _, action = heapq.heappop(self._queue)
            action()
        return self.results

    # ---- control ----------------------------------------------------------

    def _apply(self, command: control_pb2.Command) -> None:
        self._index += 1
        if command.WhichOneof("body") == "report_crashes":
            self._table.report(self._index, command.report_crashes)
        else:
            self._table.refuse(self._index, command.refuse_request)
        self._refusals.applied(command, is_leader=True)
        self._publish()

    def _publish(self) -> None:
        entries = dict(self._table._entries())
        state = repr(sorted((name, entry.refused) for name, entry in entries.items()))
        if state == self._published:
            return
        self._published = state
        for gateway in self._gateways:
            self._at(
                self.source.uniform(0.01, 0.4),
                lambda gateway=gateway: self._tell(gateway, dict(self._table._entries())),
            )

    @staticmethod
    def _tell(gateway: _Gateway, entries: dict[str, resources_pb2.CrashingRequest]) -> None:
        gateway.ready = True
        gateway.configuration.entries = entries
        for listener in gateway.configuration.listeners:
            listener()

    def _lead(self) -> None:
        for command in self._refusals.due():
            self._apply(command)
        self._at(0.1, self._lead)

    def clear(self, fingerprint: str) -> None:
        """Report that a suspect was served."""
        command = control_pb2.Command()
        command.report_crashes.served.append(fingerprint)
        self._at(self.source.uniform(0.05, 0.15), lambda: self._apply(command))

    def _elect(self) -> None:
        self._refusals.start_term()
        self._elected_s = self.clock.now_s

    # ---- requests ---------------------------------------------------------

    def _request(self, parts: tuple[str, ...]) -> GatewayRequest:
        number = next(self._numbers)
        names = [*parts, f"own{number}"]
        profile = RequestProfile(_SERVICE, [PromptPart(f"/{name}", 10) for name in names])
        request = GatewayRequest(
            f"q{number}",
            "POST",
            "/a/",
            [],
            str(number).encode(),
            cast(Any, SimpleNamespace(tenant=None)),
            profile,
            None,
            self.clock.now_s,
            self.clock.now_s + 10.0,
        )
        return request

    def _send_sound(self) -> None:
        source = self.source
        parts = [f"system{source.randint(0, 2)}"]
        if source.random() < 0.5:  # a document that few requests share, for a while
            parts.append(f"document{int(self.clock.now_s * source.choice((2, 2, 0.5)))}")
        if source.random() < 0.1:
            parts.append(f"rare{source.randint(0, 500)}")
        self.results.sent += 1
        self._send(self._request(tuple(parts)), is_bad=False, attempt=0)
        self._at(source.expovariate(25.0), self._send_sound)

    def _send_bad(self, part: str) -> None:
        request = self._request((f"system{self.source.randint(0, 2)}", part))
        self._send(request, is_bad=True, attempt=0)
        self._at(self.source.expovariate(self._bad_per_s), lambda: self._send_bad(part))

    def _send(self, request: GatewayRequest, *, is_bad: bool, attempt: int) -> None:
        ready = [gateway for gateway in self._gateways if gateway.ready]
        if not ready:
            return
        gateway = self.source.choice(ready)
        if gateway.crashing.refused_attribute(request):
            self.results.sound_refused += not is_bad
            return
        up = [replica for replica in self._replicas if replica.up]
        if not up:
            return
        suspect = gateway.crashing.suspect_attribute(request)
        replica = (
            max(up, key=lambda one: rendezvous_weight(suspect.encode(), one.name))
            if suspect
            else self.source.choice(up)
        )
        wait_s = self.source.uniform(0.03, 0.5)
        run = _Run(request, gateway, replica, self.clock.now_s + wait_s, is_bad, attempt)
        replica.runs.append(run)
        if is_bad:
            self._count_late(request)
            self._at(wait_s, lambda: self._crash_under(run))
            return
        length_s = self.source.choice((0.02, 0.3, 2.0))
        if length_s > _EVENT_INTERVAL_S:
            self._at(wait_s + _EVENT_INTERVAL_S, lambda: self._record_parts(run))
        self._at(wait_s + length_s, lambda: self._complete(run))

    def _count_late(self, request: GatewayRequest) -> None:
        for part in request.profile.shared_parts:
            times = self._crash_times.get(part, [])
            if len(times) >= ENOUGH_CRASHES:
                known_s = max(times[ENOUGH_CRASHES - 1], self._elected_s) + CONTACT_S
                self.results.late += self.clock.now_s > known_s

    def _record_parts(self, run: _Run) -> None:
        if not run.ended:
            run.gateway.crashing.record_parts_served(run.request)

    def _complete(self, run: _Run) -> None:
        if run.ended:
            return
        run.ended = True
        run.replica.runs.remove(run)
        run.gateway.crashing.record_served(run.request.fingerprint)
        run.gateway.crashing.record_parts_served(run.request)

    # ---- crashes ----------------------------------------------------------

    def _crash_under(self, run: _Run) -> None:
        if run.ended:
            return
        for part in run.request.profile.shared_parts:
            if part in self._crash_times:
                self._crash_times[part].append(self.clock.now_s)
                self.results.crashes[part] += 1
        self._crash(run.replica)

    def _crash(self, replica: _Replica) -> None:
        if not replica.up:
            return
        replica.up = False
        lost, replica.runs = replica.runs, []
        name = replica.name
        by_gateway: dict[int, list[_Run]] = {}
        for run in lost:
            run.ended = True
            if self.clock.now_s >= run.first_s and not run.is_bad:
                run.events = 1 + int((self.clock.now_s - run.first_s) / _EVENT_INTERVAL_S)
            by_gateway.setdefault(id(run.gateway), []).append(run)
            if not run.is_bad and run.attempt == 0 and self.clock.now_s < run.first_s:
                self._at(
                    self.source.uniform(0.02, 0.3),
                    lambda run=run: self._send(run.request, is_bad=False, attempt=1),
                )
        for runs in by_gateway.values():
            self._at(
                self.source.choice((0.05, 0.05, 0.25, 0.75)) + self.source.uniform(0.05, 0.1),
                lambda runs=runs: self._report(name, runs),
            )
        self._at(self._down_s, lambda: self._start(replica))

    def _report(self, name: str, runs: list[_Run]) -> None:
        command = control_pb2.Command()
        crash = command.report_crashes.replicas.add(replica=name)
        seen: dict[str, control_pb2.CrashedRun] = {}
        for run in runs:
            for one in run.gateway.reports._runs(run.request, run.events):
                seen[one.fingerprint] = one
        crash.runs.extend(seen.values())
        if seen:
            self._apply(command)

    def _start(self, replica: _Replica) -> None:
        replica.starts += 1
        replica.up = True
        self._zones[replica.name] = replica.zone

    def _lose_zone(self) -> None:
        zone = self.source.choice(self._replicas).zone
        for replica in self._replicas:
            if replica.zone == zone:
                self._crash(replica)

    def _lose_one(self) -> None:
        self._crash(self.source.choice(self._replicas))

    def _lose_all(self) -> None:
        for replica in self._replicas:
            self._crash(replica)

    def _flap(self) -> None:
        replica = self.source.choice(self._replicas)
        for number in range(4):
            self._at(number * (self._down_s + 0.7), lambda: self._crash(replica))

    def _restart_gateway(self) -> None:
        position = self.source.randrange(len(self._gateways))
        gateway = self._gateways[position] = _Gateway(self)
        gateway.ready = False
        self._at(0.3, lambda: self._tell(gateway, dict(self._table._entries())))


def main() -> None:
    """Run a range of seeds and print their sums."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=100)
    parser.add_argument("--first", type=int, default=0)
    options = parser.parse_args()
    logging.disable(logging.ERROR)
    sent = refused = late = bad = 0
    crashes: list[int] = []
    for seed in range(options.first, options.first + options.seeds):
        results = CrashFleet(seed).run()
        sent += results.sent
        refused += results.sound_refused
        late += results.late
        bad += len(results.crashes)
        crashes += results.crashes.values()
        if results.sound_refused or results.late > 3:
            print(f"seed {seed}: {results}")
    crashes.sort()
    print(
        f"seeds {options.seeds}, sound requests {sent}, refused {refused}; bad parts {bad}, late"
        f" {late}, crashes a part: median {crashes[len(crashes) // 2] if crashes else 0}, most"
        f" {crashes[-1] if crashes else 0}"
    )


if __name__ == "__main__":
    main()
