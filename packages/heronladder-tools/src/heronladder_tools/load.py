"""Open-loop load on routers, measured from the moment each request was due."""

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

from heronladder_runtime.clock import Environment
from heronladder_runtime.metrics import LatencyHistogram

from heronladder_tools.callers import CallerReply, HttpCallers, RouterUnreachableError, Timing
from heronladder_tools.profiles import CallerCall, Profile, Workload

_BURST_FACTOR = 4.0
_BURST_BEGIN = 0.4  # share of the time
_BURST_END = 0.6
_DRAIN_S = 60.0


@dataclass(frozen=True)
class LoadOptions:
    """What load is made.

    Attributes:
        targets: Addresses of routers.
        profile: Whose requests.
        rate: Requests a second.
        seconds: Time of the load.
        burst: Whether the rate rises fourfold in the middle, as before the bell
            and at the departure hour.
        seed: Seed of the workload.
    """

    targets: list[str]
    profile: Profile
    rate: float
    seconds: float
    burst: bool = False
    seed: int = 1


@dataclass
class LoadResult:
    """What the load came to; all latencies from when a request was due.

    Attributes:
        whole: Time to the end of the answer, by kind of request.
        timing: Latencies of streams, from when a request was sent.
        late: How late requests were sent: the generator's own lag.
        outcomes: Answers, refusals by code, and routers lost.
    """

    whole: dict[str, LatencyHistogram] = field(default_factory=dict)
    timing: Timing = field(default_factory=Timing)
    late: LatencyHistogram = field(default_factory=LatencyHistogram)
    outcomes: Counter[str] = field(default_factory=Counter)


async def run_load(options: LoadOptions) -> LoadResult:
    """Send requests at their moments, whatever becomes of earlier ones."""
    source = random.Random(options.seed)
    environment = Environment(source)
    addresses = {f"router-{n}": address for n, address in enumerate(options.targets)}
    transport = HttpCallers(addresses, environment)
    workload = Workload(options.profile, source)
    result = LoadResult()
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    due_s = started_s
    tasks = []
    while due_s < started_s + options.seconds:
        await asyncio.sleep(max(0.0, due_s - loop.time()))
        call = workload.next_call()
        router = source.choice(sorted(addresses))
        tasks.append(loop.create_task(_send(transport, router, call, due_s, result)))
        due_s += source.expovariate(_rate(options, (due_s - started_s) / options.seconds))
    if tasks:
        await asyncio.wait(tasks, timeout=_DRAIN_S)
    await transport.close()
    return result


def _rate(options: LoadOptions, share: float) -> float:
    in_burst = options.burst and _BURST_BEGIN <= share < _BURST_END
    return options.rate * (_BURST_FACTOR if in_burst else 1.0)


async def _send(
    transport: HttpCallers, router: str, call: CallerCall, due_s: float, result: LoadResult
) -> None:
    loop = asyncio.get_running_loop()
    result.late.record(max(0.0, loop.time() - due_s))
    try:
        reply = await transport.send(router, call, result.timing)
    except RouterUnreachableError:
        result.outcomes["router lost"] += 1
        return
    result.outcomes[_outcome(reply)] += 1
    if reply.whole:
        histogram = result.whole.setdefault(call.kind.name, LatencyHistogram())
        histogram.record(loop.time() - due_s)


def _outcome(reply: CallerReply) -> str:
    return "answered" if reply.whole else reply.code


def load_text(result: LoadResult) -> str:
    """Return the result for people."""
    lines = [f"{name}: {count}" for name, count in sorted(result.outcomes.items())]
    rows = [(f"whole, {name}", histogram) for name, histogram in sorted(result.whole.items())]
    rows += [
        ("first token", result.timing.first_token),
        ("between tokens", result.timing.token_gap),
        ("sent late by", result.late),
    ]
    for name, histogram in rows:
        values = [
            f"p{share:g} {histogram.quantile(share / 100) * 1000:.1f} ms"
            for share in (50, 95, 99, 99.9)
        ]
        lines.append(f"{name:24} {'  '.join(values)}")
    return "\n".join(lines)
