"""A soak of planned stops: no response may be lost around SIGTERM, SIGHUP and changes.

Gateways are stopped and started again and again, two at once, during their starts, and while
settings are read again and configurations change. Replicas take their time, pause and break off;
callers send and read slowly and keep their connections until the process is gone.
"""

import asyncio
from collections import Counter
from pathlib import Path

from kept_callers import CallPlan, KeptCaller
from platform_stand_ins import Received, StandInReplica, route
from process_fleet import GRACE_S
from process_soak import Fault, ProcessSoak
from scripted_replica import ResponseScript, ScriptedReplica
from soak_replica import SoakReplica

_TIME_LIMIT_S = 15.0
_OBJECTIVE_MS = 800
_GAP_AIM_MS = 500
_PATIENCE_S = max(2.0, 4 * _OBJECTIVE_MS / 1000, 8 * _GAP_AIM_MS / 1000)
_SHORTEST_S, _LONGEST_S = 0.05, 20.0
_CALLERS = 60
_MAX_LISTED = 12


class _PatientReplica(SoakReplica):
    """A replica of the soak that follows the scripts of its requests."""

    def __init__(self, soak: "StopSoak", number: int) -> None:
        super().__init__(soak, number)
        self._stops = soak

    def _make_runner(self, identity: str) -> StandInReplica:
        return ScriptedReplica(identity, self._stops.on_begin, self._stops.book.done)


class StopSoak(ProcessSoak):
    """One run."""

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        super().__init__(seed, seconds, folder)
        self.replicas = [_PatientReplica(self, number) for number in range(len(self.replicas))]
        self._outcomes: Counter[str] = Counter()
        self._ends = False

    def _begin_callers(self) -> None:
        self.begin(self._operate())
        self.begin(self._ask_always())
        for number in range(_CALLERS):
            self.begin(self._call_again_and_again(number))

    def _document(self, version: int) -> dict[str, object]:
        times = {"timeoutMs": int(_TIME_LIMIT_S * 1000), "targetLatencyMs": _OBJECTIVE_MS}
        streams = times | {"kind": "streaming", "gapAimMs": _GAP_AIM_MS}
        document = super()._document(version)
        document["routes"] += [
            route("/plain/", **times),
            route("/resumable/", resumable=True, **streams),
            route("/stream-once/", resumable=False, maxAttempts=1, **streams),
        ]
        return document

    # ---- faults: planned work only ----------------------------------------

    def _faults(self) -> list[tuple[str, Fault]]:
        return [
            *[("stop a gateway", self._stop_gateway)] * 4,
            *[("stop two gateways", self._stop_two)] * 2,
            ("stop a gateway during its start", self._stop_at_start),
            *[("reload a gateway", self._reload_gateway)] * 2,
        ]

    async def _stop_two(self) -> None:
        first, second = self.source.sample(self.gateways, 2)
        await asyncio.gather(self._stop_and_start(first), self._stop_and_start(second))

    async def _stop_at_start(self) -> None:
        machine = self.source.choice(self.gateways)
        await self._stop_and_start(machine)
        await asyncio.sleep(self.source.uniform(0.0, 1.0))
        await self._stop_and_start(machine)

    async def _operate(self) -> None:
        while True:
            await self._replace()
            await asyncio.sleep(self.source.uniform(2.0, 8.0))

    # ---- replicas ---------------------------------------------------------

    def on_begin(self, received: Received) -> None:
        """Note that a request reached a replica."""
        self.runs[received.headers["request-id"]] += 1
        self.book.arrived(received)

    # ---- callers ----------------------------------------------------------

    def _script(self, *, streams: bool) -> ResponseScript:
        source = self.source
        lasts_s = _SHORTEST_S * (_LONGEST_S / _SHORTEST_S) ** (source.random() ** 1.5)
        events = source.randrange(2, 60) if streams else 0
        pauses = source.random() < 0.3
        breaks = source.random()
        return ResponseScript(
            streams=streams,
            events=events,
            lasts_s=lasts_s,
            pause_before=source.randrange(1, events + 1) if streams and pauses else 0,
            pause_s=source.uniform(0.5, 4.5) if pauses else 0.0,
            breaks_at=source.randrange(2, events + 1) if streams and breaks < 0.05 else 0,
            breaks_head=breaks > 0.97,
            body_bytes=source.choice((100, 5_000, 300_000)),
        )

    def _plan(self) -> CallPlan:
        source = self.source
        path = source.choice(("/plain/", "/order/", "/resumable/", "/resumable/", "/stream-once/"))
        script = self._script(streams=path in ("/resumable/", "/stream-once/"))
        plain_patience_s = _TIME_LIMIT_S + 5.0
        return CallPlan(
            path,
            script,
            deadline_s=source.uniform(4.0, 20.0),
            patience_s=_PATIENCE_S if script.streams else plain_patience_s,
            send_s=source.uniform(0.05, 0.6) if source.random() < 0.1 else 0.0,
            read_pause_s=source.uniform(0.01, 0.3) if source.random() < 0.1 else 0.0,
        )

    def _time_limit_s(self, plan: CallPlan) -> float:
        return min(plan.deadline_s, 2.0 if plan.path == "/order/" else _TIME_LIMIT_S)

    async def _call_again_and_again(self, number: int) -> None:
        caller = KeptCaller(lambda: self.source.choice(self.gateways), slow=number % 5 == 0)
        count = 0
        try:
            while not self._ends:
                await asyncio.sleep(self.source.uniform(0.0, 0.5))
                if not await caller.connect():
                    continue
                assert caller.machine is not None
                count += 1
                await self._call_once(caller, caller.machine.name, f"k-{number}-{count}")
        finally:
            caller.close()

    async def _call_once(self, caller: KeptCaller, gateway: str, request_id: str) -> None:
        plan = self._plan()
        if plan.path == "/order/":
            self._orders.add(request_id)
        record = self.book.begin(request_id, gateway, self._time_limit_s(plan))
        response = await caller.call(plan, record)
        outcome = str(response.status) if record.complete else "left" if record.left else "broken"
        self._outcomes[outcome] += 1
        if response.ids != list(range(1, len(response.ids) + 1)):
            self.broken.append(f"ORDER: {request_id} got events {response.ids}")
        is_short = plan.script.streams and len(response.ids) < plan.script.events
        if response.status == 200 and record.complete and is_short:
            self.broken.append(f"ORDER: {request_id} ended as complete after {len(response.ids)}")

    # ---- what has to hold -------------------------------------------------

    async def _be_calm(self) -> None:
        self._ends = True
        await asyncio.sleep(GRACE_S)  # stops that began last
        await super()._be_calm()

    def _check_lost(self) -> None:
        # All work of this soak is planned, so that nothing excuses a cut without a stop either.
        self.broken.extend(self.book.judge(self._machines, all_cuts=True))
        calls = dict(self._outcomes)
        self.told = f" calls={calls} stops={self.book.stops} lost={len(self.book.lost)}"


__all__ = ["StopSoak"]
