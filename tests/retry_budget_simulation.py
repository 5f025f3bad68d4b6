"""Simulation in virtual time of gateways that share a retry budget, with the production budget.

Gateways restart, join, leave, are disconnected from control and see new leaders while replicas
reject requests. The simulation records when requests and retries reach the replicas, and compares
the retries of each window with those that the settings allow for all gateways together.
"""

import argparse
import random
from dataclasses import dataclass, field
from itertools import accumulate

from heronladder_router.sliding_retry_budget import SlidingRetryBudget
from heronladder_runtime.clock import Environment
from heronladder_runtime.fleet_membership import FleetMembership
from heronladder_runtime.logs import EventLog
from heronladder_schema.v1 import control_pb2

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
    lead_s: float = 16.0
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
        connected: Whether it has a stream to the leader.
        registered: Whether control's log holds it and it is not declared gone.
        connects_s: Time from which it can open a stream.
        last_contact_s: Time of its last heartbeat to a leader.
        next_heartbeat_s: Time of its next heartbeat.
    """

    number: int
    budget: SlidingRetryBudget | None = None
    membership: FleetMembership | None = None
    earlier_process: bool = False
    connected: bool = False
    registered: bool = False
    connects_s: float = 0.0
    last_contact_s: float = 0.0
    next_heartbeat_s: float = 0.0


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
                gateway.connects_s = at_s + self._source.uniform(0.0, 1.0)
            elif not runs and gateway.budget is not None:
                gateway.budget = None
                gateway.earlier_process = True
                gateway.connected = False
                if at_s >= self._scenario.leaves.get(gateway.number, self._scenario.length_s):
                    gateway.registered = False

    def _update_control(self, at_s: float) -> None:
        has_leader = not any(outage.covers(at_s) for outage in self._scenario.leaderless)
        for gateway in self._gateways:
            is_cut = any(cut.covers(at_s) for cut in self._scenario.cut.get(gateway.number, ()))
            if gateway.connected and (is_cut or not has_leader):
                gateway.connected = False
                gateway.connects_s = at_s + self._source.uniform(0.0, 1.0)
            can_connect = has_leader and not is_cut and at_s >= gateway.connects_s
            if gateway.budget is not None and not gateway.connected and can_connect:
                gateway.connected = gateway.registered = True
                gateway.next_heartbeat_s = at_s
            if has_leader and gateway.registered and not gateway.connected:
                gateway.registered = at_s - gateway.last_contact_s < _GONE_AFTER_S
        for gateway in self._gateways:
            if gateway.connected and at_s >= gateway.next_heartbeat_s:
                gateway.next_heartbeat_s = at_s + _HEARTBEAT_S
                gateway.last_contact_s = at_s
                self._answer_heartbeat(gateway)

    def _answer_heartbeat(self, gateway: _Gateway) -> None:
        """Tell a gateway how many gateways there are, as control does."""
        assert gateway.membership is not None
        connected = sum(other.connected for other in self._gateways)
        serving = sum(other.connected or other.registered for other in self._gateways)
        frame = control_pb2.ControlFrame(
            routers=connected, serving_routers=serving, first_of_name=not gateway.earlier_process
        )
        gateway.membership.record_report(frame)
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

    def most_used(self) -> float:
        """Return the largest fraction of the allowed retries that was sent in any window."""
        requests = [0, *accumulate(self.requests)]
        retries = [0, *accumulate(self.retries)]
        return max(
            (retries[first + _STEPS_PER_WINDOW] - retries[first])
            / (
                RATIO * (requests[first + _STEPS_PER_WINDOW] - requests[first])
                + self._scenario.slack
            )
            for first in range(len(self.retries) - _STEPS_PER_WINDOW + 1)
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


def main() -> None:
    """Play random scenarios, and print those in which a window has too many retries."""
    parser = argparse.ArgumentParser(description="Plays random scenarios of the retry budget.")
    parser.add_argument("--seeds", type=int, default=10_000, help="number of scenarios")
    options = parser.parse_args()
    found = 0
    largest = 0.0
    for seed in range(options.seeds):
        start_s, sent, allowed = (
            RetryBudgetSimulation(random_scenario(seed), seed).run().worst_window()
        )
        largest = max(largest, sent / max(1.0, allowed))
        if sent > allowed:
            found += 1
            print(f"seed {seed}: {sent:.0f} of {allowed:.0f} from {start_s:.1f} s", flush=True)
    print(f"{found} of {options.seeds} over the budget, at most {largest:.2f} of it")


if __name__ == "__main__":
    main()
