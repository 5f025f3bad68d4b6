"""Commands of the toolbox: check, plan, burn, load, emulate, experiment, soak."""

import asyncio
import json
import random
import time
from pathlib import Path
from typing import Annotated

import aiohttp
import typer
from aiohttp import web
from heronladder_daemon.http_listener import HttpListener
from heronladder_daemon.members import parse_members
from heronladder_emulator.engine import EmulatedEngine, EngineOptions
from heronladder_emulator.execution_records import ExecutionRecords
from heronladder_emulator.http import EngineFront, PlatformFront, ServiceFront
from heronladder_emulator.platform import PlatformList, WeightStore
from heronladder_emulator.service import EmulatedService
from heronladder_runtime.clock import Environment
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.logs import configure_logging

from heronladder_tools.burn import (
    budget_lines,
    burn_html,
    burn_json,
    burn_lines,
    burn_text,
    parse_counts,
)
from heronladder_tools.checker import ManifestChecker, check_members
from heronladder_tools.experiment import balancing_text, compare_balancers, plot_balancing
from heronladder_tools.explain import explain_request, explanation_text
from heronladder_tools.load import LoadOptions, load_text, run_load
from heronladder_tools.losses import LossTable, losses_text, read_losses
from heronladder_tools.operator_client import OperatorClient
from heronladder_tools.operator_commands import DEFAULT_API, Api, Token, read_files, run_command
from heronladder_tools.order_waits import OrderWaits
from heronladder_tools.planner import PlannedLoad, plan_text
from heronladder_tools.pool_replay import (
    pools_text,
    read_token_log,
    replay_cut,
    second_of_day,
)
from heronladder_tools.profiles import PROFILES, Profile
from heronladder_tools.settings_reference import settings_page
from heronladder_tools.simulation.run import SimulationOptions, simulate

_EXIT_FOUND = 1
_WEIGHT_BYTES_PER_SECOND = 100e6
_PLATFORM_LAG_S = 5.0


def profile_of(name: str) -> Profile:
    """Return a profile by name.

    Raises:
        typer.BadParameter: If there is none; names those there are.
    """
    if name not in PROFILES:
        raise typer.BadParameter(f"--profile {name}: choose one of {', '.join(PROFILES)}")
    return PROFILES[name]


ProfileOption = Annotated[str, typer.Option(help="whose fleet: comedores or tidewater")]
Files = Annotated[list[Path], typer.Argument(help="manifests; - for standard input")]


def check(
    files: Files,
    routers: Annotated[int, typer.Option(min=1, help="routers that will serve")] = 3,
    initial_members: Annotated[str, typer.Option(help="the setting, to be checked")] = "",
    member_zones: Annotated[str, typer.Option(help="zones of the members, in order")] = "",
) -> None:
    """Check manifests and settings offline, and warn of what would hurt."""

    async def work() -> int:
        findings = ManifestChecker(read_files(files), routers).check()
        if initial_members:
            members = parse_members(initial_members)
            zones = member_zones.split(",") if member_zones else [""] * len(members)
            if len(zones) != len(members):
                raise HeronladderError(
                    f"--member-zones names {len(zones)} zones for {len(members)} members",
                    step="check",
                )
            places = [(member.name, zone) for member, zone in zip(members, zones, strict=True)]
            findings.extend(check_members(places))
        for finding in findings:
            print(finding.line())
        errors = sum(finding.severity == "error" for finding in findings)
        print(f"{errors} errors, {len(findings) - errors} warnings")
        return errors

    if run_command(work()):
        raise typer.Exit(_EXIT_FOUND)


def plan(
    files: Files,
    load: Annotated[float, typer.Option(min=0.001, help="requests a second, each service")],
    prompt_tokens: float = 300.0,
    completion_tokens: float = 280.0,
    seconds_a_request: float = 6.0,
) -> None:
    """Plan replicas, leases, control members and headroom with a zone lost."""

    async def work() -> str:
        planned = PlannedLoad(load, prompt_tokens, completion_tokens, seconds_a_request)
        return plan_text(read_files(files), planned)

    print(run_command(work()))


def burn(
    routers: Annotated[str, typer.Option(help="IP:port of routers' admin listeners")],
    api: Api = DEFAULT_API,
    token: Token = "",
    window: Annotated[float, typer.Option(min=0.1, help="short window, seconds")] = 10.0,
    period_hours: Annotated[float, typer.Option(help="the contract's period")] = 720.0,
    output: Annotated[str, typer.Option("--output", "-o", help="table, json or html")] = "table",
    file: Annotated[Path | None, typer.Option(help="write to this file")] = None,
) -> None:
    """Report objectives, error budgets and prepaid budgets, and how fast they are used."""
    if output not in ("table", "json", "html"):
        raise typer.BadParameter(f"--output {output}: choose table, json or html")

    async def work() -> str:
        client = OperatorClient(api.split(","), token)
        before = await _read_routers(routers)
        accounts_before = (await client.call("GET", "/v1/accounts"))["items"]
        await asyncio.sleep(window)
        after = await _read_routers(routers)
        accounts_after = (await client.call("GET", "/v1/accounts"))["items"]
        lines = burn_lines(parse_counts(before), parse_counts(after), period_hours)
        budgets = budget_lines(accounts_before, accounts_after, window)
        make = {"table": burn_text, "json": burn_json, "html": burn_html}[output]
        return make(lines, budgets)

    text = run_command(work())
    if file is not None:
        file.write_text(text)
    else:
        print(text)


async def _read_routers(addresses: str) -> list[str]:
    async with aiohttp.ClientSession() as session:
        pages = []
        for address in addresses.split(","):
            try:
                async with session.get(f"http://{address}/metrics") as answer:
                    pages.append(await answer.text())
            except (aiohttp.ClientError, OSError) as error:
                raise HeronladderError(repr(error), step="read_metrics", peer=address) from error
        return pages


def load(
    target: Annotated[str, typer.Option(help="IP:port of routers, on this machine")],
    profile: ProfileOption = "comedores",
    rate: Annotated[float, typer.Option(min=0.1, max=5000, help="requests a second")] = 10.0,
    seconds: Annotated[float, typer.Option(min=1, max=3600)] = 10.0,
    burst: Annotated[bool, typer.Option(help="four times the rate in the middle")] = False,
    seed: int = 1,
) -> None:
    """Send the users' request mix at its moments, and measure from those."""
    targets = target.split(",")
    for address in targets:
        if not address.startswith("127."):
            raise typer.BadParameter(f"--target {address}: only loopback may be loaded")
    options = LoadOptions(targets, profile_of(profile), rate, seconds, burst, seed)
    print(load_text(asyncio.run(run_load(options))))


def emulate(
    what: Annotated[str, typer.Argument(help="engine, service or platform")],
    listen: str = "127.0.0.1:8000",
    name: str = "stand-in",
    seconds: Annotated[float, typer.Option(min=1, max=86400, help="time to run")] = 3600.0,
    checks_fences: bool = False,
    cache_blocks: int = 4_096,
) -> None:
    """Run a stand-in for an engine, a plain service or the platform."""
    environment = Environment()

    async def run() -> None:
        front: web.Application
        if what == "engine":
            options = EngineOptions(name, checks_fences=checks_fences, cache_blocks=cache_blocks)
            engine = EmulatedEngine(options, ExecutionRecords(), environment)
            engine.start()
            front = EngineFront(engine).application()
        elif what == "service":
            service = EmulatedService(name, ExecutionRecords(), checks_fences=checks_fences)
            front = ServiceFront(service).application()
        elif what == "platform":
            machines = PlatformList(environment, _PLATFORM_LAG_S)
            front = PlatformFront(machines, WeightStore(_WEIGHT_BYTES_PER_SECOND)).application()
        else:
            raise typer.BadParameter(f"{what}: choose engine, service or platform")
        listener = HttpListener(front, listen)
        await listener.start()
        print(f"{what} listens on {listener.address}", flush=True)
        await asyncio.sleep(seconds)
        await listener.stop()

    run_command(run())


def settings_reference() -> None:
    """Print the settings page of the documents."""
    print(settings_page(), end="")


experiment_application = typer.Typer(no_args_is_help=True, help="Comparisons on the emulator.")


@experiment_application.callback()
def _experiments() -> None:
    """Comparisons on the emulator."""


@experiment_application.command("balancing")
def experiment_balancing(
    seeds: Annotated[int, typer.Option(min=1, max=100)] = 3,
    seconds: Annotated[float, typer.Option(min=1, max=3600)] = 60.0,
    rate: Annotated[float, typer.Option(min=0.1, max=200)] = 12.0,
    plot: Annotated[Path | None, typer.Option(help="write a plot (needs matplotlib)")] = None,
) -> None:
    """Run all balancers side by side, with caches large and small, replicas coming and going."""
    configure_logging("error")
    results = compare_balancers(seeds, seconds, rate)
    print(balancing_text(results))
    if plot is not None:
        plot_balancing(results, plot)


def soak(
    minutes: Annotated[float, typer.Option(min=0.1, max=10000)] = 10.0,
    seconds: Annotated[float, typer.Option(help="virtual seconds of each run")] = 300.0,
    first_seed: Annotated[int, typer.Option(help="0: from the clock")] = 0,
    failures: Annotated[Path, typer.Option(help="failing seeds are added here")] = Path(
        "soak-failures.jsonl"
    ),
) -> None:
    """Simulate random seeds for as long as asked, and write down each that fails."""
    configure_logging("critical")
    seeds = random.Random(first_seed or time.time_ns())
    until_s = time.monotonic() + minutes * 60
    runs = failed = 0
    while time.monotonic() < until_s:
        seed = seeds.getrandbits(31)
        profile = PROFILES[sorted(PROFILES)[runs % len(PROFILES)]]
        verdict = simulate(SimulationOptions(profile, seed, seconds)).verdict
        runs += 1
        if not verdict.promises_kept():
            failed += 1
            line = {"profile": profile.name, "seed": seed, "seconds": seconds}
            with failures.open("a") as file:
                file.write(json.dumps({**line, "notes": verdict.notes}) + "\n")
        print(f"{runs} runs, {failed} failed (last: {profile.name} seed {seed})", flush=True)
    if failed:
        raise typer.Exit(_EXIT_FOUND)


def losses(
    logs: Annotated[list[Path], typer.Argument(help="logs of daemons, in any order")],
    interval_s: Annotated[float, typer.Option(help="length of an interval, in seconds")] = 2.0,
    pause_ms: Annotated[int, typer.Option(help="longest pause of a stream, in ms")] = 600,
) -> None:
    """Tell where requests were lost, late or refused, and how long orders waited."""
    if interval_s <= 0:
        raise typer.BadParameter("must be above 0", param_hint="--interval-s")
    table = LossTable(interval_s, pause_ms)
    read_losses(logs, table)
    print(losses_text(table))
    waits = OrderWaits()
    waits.read(logs)
    if waits.orders:
        print(f"\n{waits.text()}")


def pools(
    logs: Annotated[list[Path], typer.Argument(help="logs of gateways, in any order")],
    cut_from: Annotated[str, typer.Option(help="begin of the cut from control, HH:MM:SS")],
    cut_until: Annotated[str, typer.Option(help="its end, HH:MM:SS")],
    held: Annotated[float, typer.Option(min=0, max=1, help="held part of what is left")] = 0.5,
    holders: Annotated[int, typer.Option(min=1, max=100, help="holders of a tenant")] = 3,
) -> None:
    """Replay what a cut from control costs, by how prepaid tokens are held."""
    try:
        from_s, until_s = second_of_day(cut_from), second_of_day(cut_until)
    except ValueError as error:
        raise typer.BadParameter(f"not a time of day, HH:MM:SS: {error}") from error
    if until_s <= from_s:
        raise typer.BadParameter("the cut ends before it begins", param_hint="--cut-until")
    log = read_token_log(logs)
    print(pools_text(log, replay_cut(log, from_s, until_s, held, holders)))


def explain(
    request_id: Annotated[str, typer.Argument(help="identifier of the request")],
    logs: Annotated[list[Path], typer.Argument(help="logs of the daemons, in any order")],
) -> None:
    """Tell the way of one request through the logs of several processes."""
    found = explain_request(request_id, logs)
    print(explanation_text(found))
    if not found.lines:
        raise typer.Exit(_EXIT_FOUND)
