"""The demo: a fleet under load, with failures, judged at its end."""

import asyncio
import json
import random
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

from heronladder_router.role import RouterRole
from heronladder_runtime.clock import Environment
from heronladder_runtime.invariants import INVARIANT_COUNTERS

from heronladder_tools.callers import Callers, HttpCallers, Refusal, Timing
from heronladder_tools.demo_fleet import OPERATOR_TOKEN, DemoFleet
from heronladder_tools.oracle import Evidence, Verdict, judge
from heronladder_tools.profiles import Profile, Workload, tenant_key, tenant_name

_SETTLE_TIMEOUT_S = 40.0
_DRAIN_TIMEOUT_S = 60.0
_PROGRESS_S = 2.0
_AGENT_RESTART_S = 2.0
_BUDGET_TOKENS = 2_000_000
_MILLISECONDS = 1_000


@dataclass(frozen=True)
class DemoOptions:
    """What the demo does.

    Attributes:
        profile: Whose fleet.
        seconds: Time of the load.
        rate: Calls a second.
        seed: Seed of the workload.
        kill: Whether a router and an agent are killed half way.
        kill_leader: Whether the control leader is killed half way.
        budget_tokens: Prepaid tokens of each tenant.
    """

    profile: Profile
    seconds: float = 20.0
    rate: float = 25.0
    seed: int = 1
    kill: bool = True
    kill_leader: bool = False
    budget_tokens: int = _BUDGET_TOKENS


async def run_demo(options: DemoOptions) -> tuple[Verdict, Timing]:
    """Run the fleet under load and return the verdict and what callers measured."""
    INVARIANT_COUNTERS.clear()
    with tempfile.TemporaryDirectory() as folder:
        fleet = DemoFleet(options.profile, Path(folder), options.budget_tokens)
        try:
            await fleet.start()
            return await _run_load(fleet, options)
        finally:
            await fleet.stop()


async def _run_load(fleet: DemoFleet, options: DemoOptions) -> tuple[Verdict, Timing]:
    environment = Environment(random.Random(options.seed))
    transport = HttpCallers(fleet.router_addresses, environment)
    callers = Callers(transport, environment, lambda refusal: _refusal_was_false(refusal, fleet))
    workload = Workload(options.profile, environment.random)
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    failures = loop.create_task(_cause_failures(fleet, options))
    progress = loop.create_task(_show_progress(callers, started_s))
    tasks = []
    next_s = started_s
    while next_s < started_s + options.seconds:
        await asyncio.sleep(max(0.0, next_s - loop.time()))
        tasks.append(loop.create_task(callers.run(workload.next_call())))
        next_s += environment.random.expovariate(options.rate)
    await asyncio.wait(tasks, timeout=_DRAIN_TIMEOUT_S)
    await failures
    await _wait_settled(fleet)
    progress.cancel()
    await transport.close()
    return judge(_evidence(fleet, callers, options)), callers.timing


async def _cause_failures(fleet: DemoFleet, options: DemoOptions) -> None:
    await asyncio.sleep(options.seconds / 2)
    if options.kill_leader:
        _say(f"killing the control leader {await fleet.kill_leader()}")
    if not options.kill:
        return
    router = sorted(fleet.routers)[0]
    agent = sorted(fleet.engines)[0]
    _say(f"killing {router} and the agent of {agent}")
    await fleet.kill_router(router)
    await fleet.kill_agent(agent)
    await asyncio.sleep(_AGENT_RESTART_S)
    await fleet.start_agent(agent)
    _say(f"the agent of {agent} is back")


async def _show_progress(callers: Callers, started_s: float) -> None:
    while True:
        await asyncio.sleep(_PROGRESS_S)
        elapsed_s = asyncio.get_running_loop().time() - started_s
        answered = sum(1 for result in callers.results if result.answer is not None)
        _say(
            f"{elapsed_s:5.1f} s: {len(callers.results)} calls, {answered} answered, "
            f"{len(callers.refusals)} refusals"
        )


def _say(text: str) -> None:
    print(text, file=sys.stderr, flush=True)


async def _wait_settled(fleet: DemoFleet) -> None:
    """Wait until no router or agent holds a bill that is not durable."""
    deadline_s = asyncio.get_running_loop().time() + _SETTLE_TIMEOUT_S
    while asyncio.get_running_loop().time() < deadline_s:
        routers = [d.router for d in fleet.routers.values() if d.router is not None]
        agents = [d.agent for d in fleet.agents.values() if d.agent is not None]
        unsettled = sum(router.outcome_queries.unresolved for router in routers)
        if not unsettled and not any(len(agent.held_bills) for agent in agents):
            return
        await asyncio.sleep(0.1)


def _evidence(fleet: DemoFleet, callers: Callers, options: DemoOptions) -> Evidence:
    budgets = {tenant_name(n): f"budget-{n}" for n in range(options.profile.tenants)}
    return Evidence(
        books=fleet.books,
        bills=fleet.bills,
        results=callers.results,
        refusals=callers.refusals,
        budget_of_tenant=budgets,
        budget_tokens=dict.fromkeys(budgets.values(), options.budget_tokens),
    )


def _refusal_was_false(refusal: Refusal, fleet: DemoFleet) -> bool:
    """Whether budget was left for a refused call; capacity always is in the demo."""
    if refusal.reply.code != "budget_exhausted":
        return True
    leader = fleet.leader()
    if leader is None or leader.control is None:
        return True
    budget = f"budget-{refusal.call.tenant.removeprefix('tenant-')}"
    account = leader.control.state.ledger.account(budget)
    needed = len(refusal.call.body) + refusal.call.kind.max_tokens
    return account is not None and account.allotted - account.billed >= needed


def report_text(verdict: Verdict, timing: Timing) -> str:
    """Return the demo's report for people."""
    lines = [
        f"requests            {verdict.requests}  answered {verdict.answered}",
        f"refused by code     {verdict.refused_by_code or 'none'}",
        f"outcome unknown     {verdict.unresolved}",
        f"false refusals      {verdict.false_refusals} {verdict.false_refusals_by_code or ''}",
        f"tokens billed       {verdict.tokens_billed}  served {verdict.tokens_served}"
        f"  generated {verdict.tokens_generated}",
    ]
    for name, histogram in (
        ("first token", timing.first_token),
        ("between tokens", timing.token_gap),
        ("whole answer", timing.whole),
    ):
        values = [histogram.quantile(share) * _MILLISECONDS for share in (0.5, 0.95, 0.99)]
        lines.append(
            f"{name:19} p50 {values[0]:.1f} ms  p95 {values[1]:.1f} ms  p99 {values[2]:.1f} ms"
        )
    for name in (
        "overspend_tokens",
        "lost",
        "doubled",
        "billed_twice",
        "unbilled",
        "wrong_answer",
        "untrue_refusals",
        "invariant_violations",
    ):
        lines.append(f"{name:19} {getattr(verdict, name)}")
    lines.extend(f"  ! {note}" for note in verdict.notes)
    lines.append("promises kept" if verdict.promises_kept() else "A PROMISE WAS BROKEN")
    return "\n".join(lines)


def write_report(path: Path, verdict: Verdict, timing: Timing) -> None:
    """Write the demo's report as JSON."""
    document = verdict.document()
    for name, histogram in (("first_token", timing.first_token), ("token_gap", timing.token_gap)):
        document[f"{name}_ms"] = {
            f"p{share}": histogram.quantile(share / 100) * _MILLISECONDS for share in (50, 95, 99)
        }
    path.write_text(json.dumps(document, indent=2) + "\n")


async def serve(profile: Profile) -> None:
    """Keep a fleet up until interrupted, and say how to use it."""
    with tempfile.TemporaryDirectory() as folder:
        fleet = DemoFleet(profile, Path(folder), _BUDGET_TOKENS)
        try:
            await fleet.start()
            address = next(iter(fleet.router_addresses.values()))
            key = tenant_key(profile, 0)
            print(f"routers       {' '.join(fleet.router_addresses.values())}")
            admins = ",".join(daemon.admin_address for daemon in fleet.routers.values())
            print(f"metrics       {admins}")
            print(f"resource API  {' '.join(fleet.api_addresses)}  token {OPERATOR_TOKEN}")
            print(f"tenant key    {key}")
            print(
                f"curl -N http://{address}/v1/chat/completions -H 'Authorization: Bearer {key}' "
                "-H 'Content-Type: application/json' -d '"
                + json.dumps(
                    {
                        "model": profile.model,
                        "stream": True,
                        "max_tokens": 16,
                        "messages": [{"role": "user", "content": "What is for lunch?"}],
                    }
                )
                + "'",
                flush=True,
            )
            await asyncio.Event().wait()
        finally:
            await fleet.stop()


def router_role(fleet: DemoFleet, name: str) -> RouterRole:
    """Return a router of a fleet by name."""
    role = fleet.routers[name].router
    assert role is not None
    return role
