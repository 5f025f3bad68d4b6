"""One simulated run from its seed to its verdict."""

import asyncio
import logging
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import async_solipsism
from heronladder_runtime.invariants import INVARIANT_COUNTERS

from heronladder_tools.callers import Callers, Refusal, Timing
from heronladder_tools.oracle import Evidence, Verdict, judge
from heronladder_tools.profiles import Profile, Workload, tenant_name
from heronladder_tools.simulation.callers import MemoryCallers
from heronladder_tools.simulation.faults import FAULTS, FaultInjector
from heronladder_tools.simulation.fleet import SimulatedFleet
from heronladder_tools.simulation.operators import Operators

_READY_TIMEOUT_S = 60.0
_CALM_TIMEOUT_S = 300.0
_MILLION = 1_000_000
_EVENTS_KEPT = 20_000
_EVENTS_TOLD = 30


@dataclass(frozen=True)
class SimulationOptions:
    """What a simulation does.

    Attributes:
        profile: Whose fleet.
        seed: Seed of every random choice.
        seconds: Time of the load, in virtual seconds.
        rate: Calls a second.
        faults: Names of the faults that are caused.
        budget_tokens: Prepaid tokens of each tenant.
        patience_s: Time after which callers give up, in virtual seconds.
        balancer: Balancer of the services; empty for the default.
        cache_blocks: Blocks of each engine's prefix cache.
        prompt_scale: How many times as long the shared part of prompts is.
        log: File for the log of events; None for none.
        sabotage: Called with the fleet before the start; breaks something on
            purpose, to show that it is found.
    """

    profile: Profile
    seed: int
    seconds: float = 60.0
    rate: float = 4.0
    faults: tuple[str, ...] = tuple(FAULTS)
    budget_tokens: int = 60_000
    patience_s: float = 600.0
    balancer: str = ""
    cache_blocks: int = 4_096
    prompt_scale: int = 1
    log: Path | None = None
    sabotage: Callable[[SimulatedFleet], None] | None = None


@dataclass
class SimulationResult:
    """What a simulation came to.

    Attributes:
        verdict: The judge's verdict.
        timing: Latencies that callers saw.
        caused: How many faults of each kind were caused.
        virtual_seconds: Virtual time of the whole run.
        cache_hits: Prompt blocks that engines found in their caches.
        cache_lookups: Prompt blocks that engines looked for.
        prefilled_tokens: Prompt tokens that engines read.
        engine_tokens: Tokens that each engine generated.
        story: When a promise broke: the last events of what it concerns.
    """

    verdict: Verdict
    timing: Timing
    caused: dict[str, int] = field(default_factory=dict)
    virtual_seconds: float = 0.0
    cache_hits: int = 0
    cache_lookups: int = 0
    prefilled_tokens: int = 0
    engine_tokens: list[float] = field(default_factory=list)
    story: list[str] = field(default_factory=list)


class _RecentEvents(logging.Handler):
    """Keeps the newest events, so that a broken promise can be told with its story.

    Args:
        loop: The loop whose virtual time events get.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(logging.INFO)
        self._loop = loop
        self._events: deque[str] = deque(maxlen=_EVENTS_KEPT)

    def emit(self, record: logging.LogRecord) -> None:
        """Keep one event."""
        self._events.append(f"time={self._loop.time():.6f} {record.getMessage()}")

    def story(self, notes: list[str]) -> list[str]:
        """Return the last events that name a request or daemon of the notes."""
        names = {word.strip("(),") for note in notes for word in note.split() if "-" in word}
        told = [event for event in self._events if any(name in event for name in names)]
        return told[-_EVENTS_TOLD:]


class _VirtualTimeHandler(logging.Handler):
    """Writes each event with its virtual time, so that equal runs give equal bytes."""

    def __init__(self, path: Path, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(logging.INFO)
        self._file = path.open("w")
        self._loop = loop

    def emit(self, record: logging.LogRecord) -> None:
        """Write one event."""
        level = record.levelname.lower()
        self._file.write(f"time={self._loop.time():.6f} level={level} {record.getMessage()}\n")

    def close(self) -> None:
        """Close the file."""
        self._file.close()
        super().close()


def simulate(options: SimulationOptions) -> SimulationResult:
    """Run a simulation; the same options give the same run, byte for byte."""
    INVARIANT_COUNTERS.clear()
    loop = async_solipsism.EventLoop()
    handler = _VirtualTimeHandler(options.log, loop) if options.log is not None else None
    recent = _RecentEvents(loop)
    logger = logging.getLogger("heronladder")
    level, propagate = logger.level, logger.propagate
    logger.addHandler(recent)
    logger.setLevel(logging.INFO)
    logger.propagate = False
    if handler is not None:
        logger.addHandler(handler)
    try:
        result: SimulationResult = loop.run_until_complete(_Simulation(options).run())
        if not result.verdict.promises_kept():
            result.story = recent.story(result.verdict.notes)
        return result
    finally:
        logger.removeHandler(recent)
        logger.setLevel(level)
        logger.propagate = propagate
        if handler is not None:
            logger.removeHandler(handler)
            handler.close()
        loop.close()


class _Simulation:
    def __init__(self, options: SimulationOptions) -> None:
        self._options = options
        source = random.Random(options.seed)
        self._fleet = SimulatedFleet(options.profile, source, options.cache_blocks)
        self._operators = Operators(self._fleet, options.budget_tokens, options.balancer)
        self._callers = Callers(
            MemoryCallers(self._fleet),
            self._fleet.environment,
            self._refusal_was_false,
            options.patience_s,
        )
        self._injector = FaultInjector(self._fleet, self._operators)

    async def run(self) -> SimulationResult:
        """Run load and faults, then calm, then judge."""
        try:
            return await self._run()
        finally:
            await self._fleet.stop()

    async def _run(self) -> SimulationResult:
        options = self._options
        fleet = self._fleet
        loop = asyncio.get_running_loop()
        if options.sabotage is not None:
            options.sabotage(fleet)
        await fleet.start()
        await self._operators.declare_all()
        await self._wait_ready()
        watches = [loop.create_task(self._operators.watch(name)) for name in fleet.control_names()]
        faults = [loop.create_task(self._injector.run(FAULTS[name])) for name in options.faults]
        calls = await self._send_load()
        self._injector.stopping = True
        await self._end_faults(faults)
        await asyncio.wait(calls)
        self._note_crashed([*calls, *faults])
        await self._wait_calm()
        for watch in watches:
            watch.cancel()
        await asyncio.wait(watches)
        self._note_crashed(watches)
        self._check_books()
        verdict = judge(self._evidence())
        caused = dict(sorted(self._injector.caused.items()))
        result = SimulationResult(verdict, self._callers.timing, caused, loop.time())
        self._note_engines(result)
        return result

    def _note_engines(self, result: SimulationResult) -> None:
        generated = dict.fromkeys(self._fleet.engines, 0.0)
        for runs in self._fleet.books.engine_runs.values():
            for run in runs:
                generated[run.engine] += run.generated
        result.engine_tokens = list(generated.values())
        for engine in self._fleet.engines.values():
            result.cache_hits += engine.cache.hits
            result.cache_lookups += engine.cache.lookups
            result.prefilled_tokens += engine.prefilled_tokens

    @staticmethod
    def _note_crashed(tasks: list["asyncio.Task[None]"]) -> None:
        """A caller, fault or watch that fails by itself voids the run."""
        for task in tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                INVARIANT_COUNTERS.messages.append(
                    f"a task of the simulation failed: {task.exception()!r}"
                )
                INVARIANT_COUNTERS.violations["simulation_goes_on"] += 1

    async def _wait_ready(self) -> None:
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while len(self._fleet.shown_routers()) < len(self._fleet.router_names()):
                await asyncio.sleep(0.5)

    async def _send_load(self) -> list["asyncio.Task[None]"]:
        environment = self._fleet.environment
        options = self._options
        source = random.Random(options.seed + _MILLION)
        workload = Workload(options.profile, source, options.prompt_scale)
        loop = asyncio.get_running_loop()
        until_s = loop.time() + self._options.seconds
        calls = []
        while loop.time() < until_s:
            await asyncio.sleep(environment.random.expovariate(self._options.rate))
            calls.append(loop.create_task(self._callers.run(workload.next_call())))
        return calls

    async def _end_faults(self, faults: list["asyncio.Task[None]"]) -> None:
        """Let faults under way end; those that wait for their next turn are dropped."""
        for name, fault in zip(self._options.faults, faults, strict=True):
            if not self._injector.under_way.get(name):
                fault.cancel()
        if not faults:
            return
        _, pending = await asyncio.wait(faults, timeout=_CALM_TIMEOUT_S)
        for fault in pending:
            fault.cancel()

    async def _wait_calm(self) -> None:
        """Wait until all processes run again and every bill is durable."""
        loop = asyncio.get_running_loop()
        until_s = loop.time() + _CALM_TIMEOUT_S
        while loop.time() < until_s:
            await asyncio.sleep(1.0)
            unresolved = sum(
                role.outcome_queries.unresolved for role in self._fleet.routers.values()
            )
            held = sum(len(role.held_bills) for role in self._fleet.agents.values())
            if not unresolved and not held and self._fleet.leader() is not None:
                return

    def _check_books(self) -> None:
        """Check the ledger of every member from the leases themselves."""
        for member in self._fleet.controls.values():
            member.state.ledger.check_all()

    def _budgets(self) -> dict[str, str]:
        tenants = range(self._options.profile.tenants)
        return {tenant_name(number): f"budget-{number}" for number in tenants}

    def _evidence(self) -> Evidence:
        budgets = self._budgets()
        return Evidence(
            books=self._fleet.books,
            bills=self._fleet.bills,
            results=self._callers.results,
            refusals=self._callers.refusals,
            budget_of_tenant=budgets,
            budget_tokens=dict.fromkeys(budgets.values(), self._options.budget_tokens),
        )

    def _refusal_was_false(self, refusal: Refusal) -> bool:
        """Whether budget and capacity were there when a call was refused."""
        budget = self._budgets()[refusal.call.tenant]
        return self._budget_was_there(budget, refusal) and self._capacity_was_there(refusal)

    def _budget_was_there(self, budget: str, refusal: Refusal) -> bool:
        needed = len(refusal.call.body) + refusal.call.kind.max_tokens
        for member in self._fleet.controls.values():
            account = member.state.ledger.account(budget)
            if account is not None:
                return account.allotted - account.billed >= needed
        return True

    def _capacity_was_there(self, refusal: Refusal) -> bool:
        if refusal.call.kind.order:
            return any(
                name in self._fleet.agents and not service.faults.crashed
                for name, service in self._fleet.services.items()
            )
        return any(
            name in self._fleet.agents and not engine.faults.crashed and not engine.faults.stalled
            for name, engine in self._fleet.engines.items()
        )
