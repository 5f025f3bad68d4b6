"""Simulation in virtual time of gateways that share a retry budget, with the production budget.

Gateways restart, join, leave, are disconnected from control and see new leaders while replicas
reject requests. The simulation records when requests and retries reach the replicas, and compares
the retries of each window with those that the settings allow for all gateways together.
"""

import argparse
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from itertools import accumulate
from types import SimpleNamespace
from typing import cast

from heronladder_control.daemon_session import DaemonSession
from heronladder_control.member_context import MemberContext
from heronladder_control.router_counts import RouterCounts
from heronladder_router.sliding_retry_budget import SlidingRetryBudget
from heronladder_runtime.clock import Environment
from heronladder_runtime.fleet_membership import FleetMembership
from heronladder_runtime.logs import EventLog
from heronladder_schema.v1 import control_pb2, ledger_pb2

RATIO = 0.2
WINDOW_S = 10.0
_LOG = EventLog("test", "gateway")
_SERVICE = "app"
_STEP_S = 0.1
_STEPS_PER_WINDOW = round(WINDOW_S / _STEP_S)
_MAX_RETRIES = 3  # of one request
_MAX_ARRIVAL_DELAY_S = 0.6  # a retry may wait for a connection before it is sent
_HEARTBEAT_S = 0.3
_GONE_AFTER_S = 15.0
_LEAD_S = 16.0


class _Clock(Environment):
    now_s = 1000.0

    def monotonic(self) -> float:
        return self.now_s


@dataclass(frozen=True)
class Outage:
    """An interval, in seconds from the start, in which something is not available."""

    start_s: float
    end_s: float

    def covers(self, at_s: float) -> bool:
        """Return whether a time lies in the interval."""
        return self.start_s <= at_s < self.end_s


@dataclass
class Scenario:
    """Course of one simulation; times are in seconds from its start.

    Attributes:
        gateways: Number of gateways at the start.
        slack: Retries in a window that all gateways may send beyond the ratio.
        per_s: Requests of all callers per second.
        length_s: Duration; traffic starts after ``lead_s``.
        lead_s: Time for which the gateways run before traffic starts.
        rejecting: Interval in which replicas reject requests.
        rejected_fraction: Fraction of the attempts that they reject in it.
        down: Intervals in which the processes of gateways do not run, by number of the gateway.
        cut: Intervals in which gateways are disconnected from control.
        leaderless: Intervals without a leader.
        joins: Start times of additional gateways.
        leaves: Times at which gateways leave for good.
        burst: Interval with ``burst_factor`` times the requests.
    """

    gateways: int
    slack: float
    per_s: float
    length_s: float = 40.0
    lead_s: float = _LEAD_S
    rejecting: Outage = Outage(20.0, 40.0)
    rejected_fraction: float = 0.9
    down: dict[int, list[Outage]] = field(default_factory=dict)
    cut: dict[int, list[Outage]] = field(default_factory=dict)
    leaderless: list[Outage] = field(default_factory=list)
    joins: list[float] = field(default_factory=list)
    leaves: dict[int, float] = field(default_factory=dict)
    burst: Outage = Outage(0.0, 0.0)
    burst_factor: float = 1.0


@dataclass
class _Gateway:
    """A gateway and what control knows of it.

    Attributes:
        budget: Retry budget of the running process; None while it does not run.
        membership: Membership view of that process.
        earlier_process: Whether a process of this name ran before.
        session: Its stream to the leader; None while it is disconnected.
        started_s: Start of that process.
        connects_s: Time from which it can open a stream.
        last_contact_s: Time of its last heartbeat to a leader.
        next_heartbeat_s: Time of its next heartbeat.
    """

    number: int
    budget: SlidingRetryBudget | None = None
    membership: FleetMembership | None = None
    earlier_process: bool = False
    session: DaemonSession | None = None
    started_s: float = 0.0
    connects_s: float = 0.0
    last_contact_s: float = 0.0
    next_heartbeat_s: float = 0.0

    @property
    def name(self) -> str:
        """Its name at control."""
        return f"g{self.number}"


class _Control:
    """What the log of control holds of gateways, and the streams at its leader.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Environment) -> None:
        self._clock = clock
        self.records: dict[str, ledger_pb2.DaemonRecord] = {}
        self._sessions: dict[str, DaemonSession] = {}
        self.elect_leader()

    def elect_leader(self) -> None:
        """Replace the leader by one that has just replayed the log."""
        member = SimpleNamespace(
            sessions=self._sessions,
            state=SimpleNamespace(daemons=SimpleNamespace(daemons=self.records)),
            environment=self._clock,
        )
        self._counts = RouterCounts(cast(MemberContext, member))
        self._counts.update()

    def connect(self, gateway: _Gateway) -> None:
        """Register a gateway's process and open its stream."""
        record = ledger_pb2.DaemonRecord(
            name=gateway.name, role="router", incarnation=str(gateway.started_s)
        )
        if gateway.earlier_process:
            record.previous.append("earlier")
        self.records[gateway.name] = record
        age_s = self._clock.monotonic() - gateway.started_s
        hello = control_pb2.Hello(daemon=record, process_age_ms=round(1000 * age_s))
        gateway.session = self._sessions[gateway.name] = DaemonSession(hello, 1)
        self._counts.opened(gateway.session)

    def disconnect(self, gateway: _Gateway) -> None:
        """Close a gateway's stream."""
        if gateway.session is not None:
            gateway.session = None
            del self._sessions[gateway.name]
            self._counts.update()

    def is_registered(self, gateway: _Gateway) -> bool:
        """Return whether the log holds a gateway that is not declared gone."""
        record = self.records.get(gateway.name)
        return record is not None and not record.gone

    def declare_gone(self, gateway: _Gateway) -> None:
        """Declare a gateway gone."""
        self.records[gateway.name].gone = True
        self._counts.update()

    def frame(self, gateway: _Gateway) -> control_pb2.ControlFrame:
        """Return the next frame of a gateway's stream."""
        frame = control_pb2.ControlFrame()
        assert gateway.session is not None
        self._counts.fill(gateway.session, frame)
        return frame


class RetryBudgetSimulation:
    """One run of a scenario.

    Args:
        scenario: What happens.
        seed: Seed of the random numbers.
    """

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self._scenario = scenario
        self._source = random.Random(seed)
        self._clock = _Clock()
        self._start_s = self._clock.now_s
        count = scenario.gateways + len(scenario.joins)
        self._gateways = [_Gateway(number) for number in range(count)]
        self._control = _Control(self._clock)
        self._had_leader = True
        steps = round(scenario.length_s / _STEP_S) + round(_MAX_ARRIVAL_DELAY_S / _STEP_S) + 1
        self.requests = [0] * steps
        self.retries = [0] * steps
        self.refused = 0

    # ---- course -----------------------------------------------------------

    def run(self) -> "RetryBudgetSimulation":
        """Play the scenario."""
        for step in range(round(self._scenario.length_s / _STEP_S)):
            at_s = step * _STEP_S
            self._clock.now_s = self._start_s + at_s
            self._update_processes(at_s)
            self._update_control(at_s)
            if at_s >= self._scenario.lead_s:
                self._send_requests(step, at_s)
        return self

    def _runs(self, gateway: _Gateway, at_s: float) -> bool:
        number = gateway.number
        joined = number - self._scenario.gateways
        if joined >= 0 and at_s < self._scenario.joins[joined]:
            return False
        if at_s >= self._scenario.leaves.get(number, self._scenario.length_s):
            return False
        return not any(outage.covers(at_s) for outage in self._scenario.down.get(number, ()))

    def _update_processes(self, at_s: float) -> None:
        for gateway in self._gateways:
            runs = self._runs(gateway, at_s)
            if runs and gateway.budget is None:
                gateway.membership = FleetMembership(self._clock, _LOG)
                gateway.budget = SlidingRetryBudget(
                    self._clock,
                    RATIO,
                    round(self._scenario.slack),
                    WINDOW_S,
                    gateway.membership,
                )
                gateway.budget.start()
                gateway.started_s = self._clock.now_s
                gateway.connects_s = at_s + self._source.uniform(0.0, 1.0)
            elif not runs and gateway.budget is not None:
                gateway.budget = None
                gateway.earlier_process = True
                self._control.disconnect(gateway)
                leaves_s = self._scenario.leaves.get(gateway.number, self._scenario.length_s)
                if at_s >= leaves_s and self._control.is_registered(gateway):
                    self._control.declare_gone(gateway)

    def _update_control(self, at_s: float) -> None:
        has_leader = not any(outage.covers(at_s) for outage in self._scenario.leaderless)
        if has_leader and not self._had_leader:
            self._control.elect_leader()
        self._had_leader = has_leader
        for gateway in self._gateways:
            is_cut = any(cut.covers(at_s) for cut in self._scenario.cut.get(gateway.number, ()))
            if gateway.session is not None and (is_cut or not has_leader):
                self._control.disconnect(gateway)
                gateway.connects_s = at_s + self._source.uniform(0.0, 1.0)
            can_connect = has_leader and not is_cut and at_s >= gateway.connects_s
            if gateway.budget is not None and gateway.session is None and can_connect:
                self._control.connect(gateway)
                gateway.next_heartbeat_s = at_s
            is_silent = at_s - gateway.last_contact_s >= _GONE_AFTER_S
            is_lost = gateway.session is None and self._control.is_registered(gateway)
            if has_leader and is_lost and is_silent:
                self._control.declare_gone(gateway)
        for gateway in self._gateways:
            if gateway.session is not None and at_s >= gateway.next_heartbeat_s:
                gateway.next_heartbeat_s = at_s + _HEARTBEAT_S
                gateway.last_contact_s = at_s
                assert gateway.membership is not None
                gateway.membership.record_report(self._control.frame(gateway))
                gateway.membership.confirm(self._clock.now_s)

    # ---- requests ---------------------------------------------------------

    def _send_requests(self, step: int, at_s: float) -> None:
        serving = [one for one in self._gateways if one.budget is not None]
        factor = self._scenario.burst_factor if self._scenario.burst.covers(at_s) else 1.0
        rejects = self._scenario.rejecting.covers(at_s)
        count = self._scenario.per_s * factor * _STEP_S
        for _ in range(int(count) + (self._source.random() < count % 1)):
            self.requests[step] += 1
            if not serving:
                continue
            budget = self._source.choice(serving).budget
            assert budget is not None
            budget.request(_SERVICE)
            for _ in range(_MAX_RETRIES):
                if not rejects or self._source.random() >= self._scenario.rejected_fraction:
                    break
                if not budget.try_spend(_SERVICE).allowed:
                    self.refused += 1
                    break
                delay_s = self._source.uniform(0.0, _MAX_ARRIVAL_DELAY_S)
                self.retries[step + int(delay_s / _STEP_S)] += 1

    # ---- verdict ----------------------------------------------------------

    def worst_window(self) -> tuple[float, float, float]:
        """Return start, retries and allowed retries of the window with the smallest margin.

        The requests of a window are those of it, of the window before it, or of the one half a
        window before it, whichever are most.
        """
        requests = [0, *accumulate(self.requests)]
        retries = [0, *accumulate(self.retries)]

        def window(sums: list[int], first: int) -> int:
            return sums[max(0, first + _STEPS_PER_WINDOW)] - sums[max(0, first)]

        worst = (0.0, 0.0, float("inf"))
        for first in range(len(self.retries) - _STEPS_PER_WINDOW + 1):
            counted = max(
                window(requests, first - offset)
                for offset in (0, _STEPS_PER_WINDOW // 2, _STEPS_PER_WINDOW)
            )
            allowed = RATIO * counted + self._scenario.slack
            sent = float(window(retries, first))
            if allowed - sent < worst[2] - worst[1]:
                worst = (first * _STEP_S, sent, allowed)
        return worst

    def most_used(self, until_s: float = math.inf) -> float:
        """Return the largest fraction of the allowed retries that was sent in any window.

        Args:
            until_s: Latest end of a window.
        """
        requests = [0, *accumulate(self.requests)]
        retries = [0, *accumulate(self.retries)]
        steps = min(len(self.retries), until_s / _STEP_S)
        return max(
            (retries[first + _STEPS_PER_WINDOW] - retries[first])
            / (
                RATIO * (requests[first + _STEPS_PER_WINDOW] - requests[first])
                + self._scenario.slack
            )
            for first in range(round(steps) - _STEPS_PER_WINDOW + 1)
        )


def random_scenario(seed: int) -> Scenario:
    """Return a scenario with several random disruptions at once."""
    source = random.Random(seed)
    gateways = source.choice((3, 6, 8, 23, 30))
    scenario = Scenario(
        gateways,
        slack=source.choice((50, 86, 100)),
        per_s=source.choice((10.0, 30.0, 60.0, 150.0)),
        rejecting=Outage(source.uniform(17, 26), source.uniform(27, 40)),
        rejected_fraction=source.choice((0.3, 0.9, 0.9)),
    )
    numbers = range(gateways)
    for _ in range(source.choice((0, 1, 3, 6))):  # restarts in series or together
        start_s, share = source.uniform(16, 38), source.choice((0.1, 0.3, 0.6, 1.0))
        for number in numbers:
            if source.random() < share:
                outages = scenario.down.setdefault(number, [])
                outages.append(Outage(start_s, start_s + source.uniform(0.2, 3.0)))
    for _ in range(source.choice((0, 0, 1, 2))):
        start_s = source.uniform(14, 36)
        scenario.leaderless.append(Outage(start_s, start_s + source.uniform(0.5, 6.0)))
    if source.random() < 0.5:
        share = source.choice((0.1, 0.5, 1.0))
        for number in numbers:
            if source.random() < share:
                start_s = source.uniform(5, 30)
                cut = Outage(start_s, start_s + source.uniform(1.0, 20.0))
                scenario.cut.setdefault(number, []).append(cut)
    if source.random() < 0.3:
        scenario.joins = [source.uniform(10, 35) for _ in range(source.choice((1, 3, gateways)))]
    if source.random() < 0.3:
        scenario.leaves = {
            number: source.uniform(16, 38) for number in numbers if source.random() < 0.3
        }
    if source.random() < 0.4:
        start_s = source.uniform(14, 34)
        scenario.burst = Outage(start_s, start_s + source.uniform(1.0, 8.0))
        scenario.burst_factor = source.choice((2.0, 4.0))
    return scenario


def random_start(seed: int) -> Scenario:
    """Return a random scenario whose disruptions begin as the fleet starts or soon after."""
    source = random.Random(seed)
    scenario = random_scenario(seed)
    shift_s = source.uniform(4.0, _LEAD_S)
    spread_s = source.choice((0.3, 1.0, 5.0))

    def earlier(outages: list[Outage]) -> list[Outage]:
        moved = [Outage(max(0.0, one.start_s - shift_s), one.end_s - shift_s) for one in outages]
        return [outage for outage in moved if outage.end_s > 0.0]

    down = {number: earlier(outages) for number, outages in scenario.down.items()}
    for number in range(scenario.gateways):
        down.setdefault(number, []).append(Outage(0.0, source.uniform(0.0, spread_s)))
    return replace(
        scenario,
        lead_s=_LEAD_S - shift_s,
        rejecting=earlier([scenario.rejecting])[0],
        down=down,
        cut={number: earlier(outages) for number, outages in scenario.cut.items()},
        leaderless=earlier(scenario.leaderless),
        joins=[max(0.0, at_s - shift_s) for at_s in scenario.joins],
        leaves={number: max(0.0, at_s - shift_s) for number, at_s in scenario.leaves.items()},
        burst=Outage(scenario.burst.start_s - shift_s, scenario.burst.end_s - shift_s),
    )


def _play(name: str, scenario: Callable[[int], Scenario], seeds: int) -> None:
    found = 0
    largest = 0.0
    for seed in range(seeds):
        start_s, sent, allowed = RetryBudgetSimulation(scenario(seed), seed).run().worst_window()
        largest = max(largest, sent / max(1.0, allowed))
        if sent > allowed:
            found += 1
            print(f"{name} {seed}: {sent:.0f} of {allowed:.0f} from {start_s:.1f} s", flush=True)
    print(f"{name}: {found} of {seeds} over the budget, at most {largest:.3f} of it", flush=True)


def main() -> None:
    """Play random scenarios, and print those in which a window has too many retries."""
    parser = argparse.ArgumentParser(description="Plays random scenarios of the retry budget.")
    parser.add_argument("--seeds", type=int, default=10_000, help="number of scenarios of a kind")
    options = parser.parse_args()
    _play("disruptions", random_scenario, options.seeds)
    _play("start", random_start, options.seeds)


if __name__ == "__main__":
    main()
