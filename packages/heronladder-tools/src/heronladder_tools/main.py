"""Command line of operators, ``heronladder``."""

import asyncio
from pathlib import Path
from typing import Annotated

import typer
from heronladder_runtime.errors import HeronladderError
from heronladder_runtime.logs import configure_logging

from heronladder_tools import demo as demo_module
from heronladder_tools import (
    evacuation_commands,
    operator_commands,
    rollout_commands,
    toolbox_commands,
)
from heronladder_tools.bench import PathTarget, bench_log, bench_path, bench_state
from heronladder_tools.crowd import Crowd, CrowdOptions
from heronladder_tools.crowd_clients import run_gateways, run_replicas
from heronladder_tools.crowd_member import run_member
from heronladder_tools.replay import bill_text, summary_text
from heronladder_tools.replay import replay as replay_folder
from heronladder_tools.scale import ScaleOptions, run_scale, scale_text
from heronladder_tools.scale_members import run_members
from heronladder_tools.simulation.faults import FAULTS
from heronladder_tools.simulation.run import SimulationOptions, SimulationResult
from heronladder_tools.simulation.run import simulate as run_simulation
from heronladder_tools.toolbox_commands import ProfileOption, profile_of
from heronladder_tools.transport_bench import bench_transport

application = typer.Typer(
    no_args_is_help=True, add_completion=False, pretty_exceptions_enable=False, help=__doc__
)


@application.callback()
def _root() -> None:
    """Operate, check, plan, prove and measure heronladder."""


@application.command()
def demo(
    profile: ProfileOption = "comedores",
    seconds: Annotated[float, typer.Option(min=1, max=3600, help="time of the load")] = 20.0,
    rate: Annotated[float, typer.Option(min=0.1, max=1000, help="calls a second")] = 25.0,
    seed: int = 1,
    kill: Annotated[bool, typer.Option(help="kill a router and an agent half way")] = True,
    kill_leader: Annotated[bool, typer.Option(help="kill the control leader half way")] = False,
    report: Annotated[Path | None, typer.Option(help="write the report as JSON")] = None,
    serve: Annotated[bool, typer.Option(help="stay up and print how to use it")] = False,
    log_level: str = "error",
) -> None:
    """Run a whole fleet on this machine under load, with failures, and judge it."""
    configure_logging(log_level)
    chosen = profile_of(profile)
    if serve:
        try:
            asyncio.run(demo_module.serve(chosen))
        except KeyboardInterrupt:
            return
    options = demo_module.DemoOptions(chosen, seconds, rate, seed, kill, kill_leader)
    verdict, timing = asyncio.run(demo_module.run_demo(options))
    print(demo_module.report_text(verdict, timing))
    if report is not None:
        demo_module.write_report(report, verdict, timing)
    if not verdict.promises_kept():
        raise typer.Exit(1)


@application.command()
def simulate(
    seed: int = 1,
    profile: ProfileOption = "comedores",
    seconds: Annotated[float, typer.Option(min=1, max=86400, help="virtual seconds")] = 60.0,
    rate: Annotated[float, typer.Option(min=0.1, max=200, help="calls a second")] = 4.0,
    faults: Annotated[str, typer.Option(help="all, none, or names with commas")] = "all",
    budget: Annotated[int, typer.Option(min=1, help="prepaid tokens of each tenant")] = 60_000,
    report: Annotated[Path | None, typer.Option(help="write the report as JSON")] = None,
    log: Annotated[Path | None, typer.Option(help="write the log of events")] = None,
) -> None:
    """Run the whole fleet in virtual time under failures; the seed decides everything."""
    options = SimulationOptions(
        profile_of(profile), seed, seconds, rate, fault_names(faults), budget, log=log
    )
    result = run_simulation(options)
    print(simulation_text(options, result))
    if report is not None:
        demo_module.write_report(report, result.verdict, result.timing)
    if not result.verdict.promises_kept():
        raise typer.Exit(1)


def fault_names(text: str) -> tuple[str, ...]:
    """Return the faults that an option names.

    Raises:
        typer.BadParameter: If there is no fault of a name; lists those there are.
    """
    if text == "all":
        return tuple(FAULTS)
    names = tuple(filter(None, text.split(","))) if text != "none" else ()
    unknown = [name for name in names if name not in FAULTS]
    if unknown:
        raise typer.BadParameter(f"--faults {unknown[0]}: choose of {', '.join(FAULTS)}")
    return names


def simulation_text(options: SimulationOptions, result: SimulationResult) -> str:
    """Return a simulation's report for people."""
    caused = " ".join(f"{name}={count}" for name, count in result.caused.items())
    head = f"seed {options.seed}  virtual seconds {result.virtual_seconds:.0f}\nfaults {caused}"
    report = demo_module.report_text(result.verdict, result.timing)
    return "\n".join([head, report, *(f"  {event}" for event in result.story)])


@application.command()
def replay(
    folder: Annotated[Path, typer.Argument(help="data folder of a control member")],
    until: Annotated[int, typer.Option(min=0, help="last revision to apply; 0: all")] = 0,
    tenant: Annotated[str, typer.Option(help="print this tenant's bill, line by line")] = "",
    request: Annotated[str, typer.Option(help="explain this request id")] = "",
) -> None:
    """Rebuild a control member's state offline, check it, and explain bills."""
    inner = folder / "control"
    try:
        replayed = replay_folder(inner if inner.is_dir() else folder, until, request)
    except HeronladderError as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(1) from error
    if tenant:
        typer.echo(bill_text(replayed, tenant))
    elif request:
        typer.echo("\n".join(replayed.story) or f"nothing of {request} in the log")
    else:
        typer.echo(summary_text(replayed))


@application.command("scale-members")
def scale_members_command(
    folder: Path,
    members: Annotated[int, typer.Option(min=1, max=7)] = 3,
    seconds: Annotated[float, typer.Option(min=1, max=7200)] = 600.0,
) -> None:
    """Run control members for 'heronladder scale', in this process."""
    configure_logging("error")
    asyncio.run(run_members(folder, members, seconds))


@application.command()
def scale(
    folder: Annotated[Path, typer.Argument(help="folder given to scale-members")],
    daemons: Annotated[str, typer.Option(help="numbers of hollow daemons")] = "50,100,200,400",
    rate: Annotated[float, typer.Option(help="requests a second a router; 0: agents")] = 0.0,
    seconds: Annotated[float, typer.Option(min=1, max=600)] = 10.0,
) -> None:
    """Measure the control plane's slopes with hollow daemons in this process."""
    configure_logging("error")
    steps = tuple(int(step) for step in daemons.split(","))
    options = ScaleOptions(folder, steps, rate, seconds)
    print(scale_text(asyncio.run(run_scale(options))))


@application.command()
def crowd(
    folder: Annotated[Path, typer.Argument(help="empty folder for the members' data")],
    gateways: Annotated[int, typer.Option(min=0, max=400)] = 100,
    replicas: Annotated[int, typer.Option(min=0, max=4000)] = 1000,
    members: Annotated[int, typer.Option(min=1, max=5)] = 3,
    seconds: Annotated[float, typer.Option(min=1, max=60, help="time at rest")] = 10.0,
) -> None:
    """Time a control group before a crowd, by stage: new, at rest, and after all were killed."""
    configure_logging("error")
    options = CrowdOptions(folder, gateways, replicas, members, seconds)
    asyncio.run(Crowd(options).run())


@application.command("crowd-member", hidden=True)
def crowd_member(folder: Path, number: int) -> None:
    """Run one member of 'heronladder crowd'."""
    configure_logging("info")
    asyncio.run(run_member(folder, number))


@application.command("crowd-gateways", hidden=True)
def crowd_gateways(folder: Path, first: int, count: int, replicas: int) -> None:
    """Run hollow gateways of 'heronladder crowd'."""
    configure_logging("error")
    asyncio.run(run_gateways(folder, first, count, replicas))


@application.command("crowd-replicas", hidden=True)
def crowd_replicas(folder: Path, first: int, count: int) -> None:
    """Run hollow replicas of 'heronladder crowd'."""
    configure_logging("error")
    asyncio.run(run_replicas(folder, first, count))


@application.command()
def bench(
    what: Annotated[str, typer.Argument(help="log, state, transport or path")] = "log",
    seconds: Annotated[float, typer.Option(min=1, max=600)] = 9.0,
    direct: Annotated[str, typer.Option(help="path: address of the engine")] = "",
    router: Annotated[str, typer.Option(help="path: address of the router")] = "",
    key: Annotated[str, typer.Option(help="path: a tenant's key")] = "",
    streams: Annotated[str, typer.Option(help="path: numbers of streams")] = "1,32,256",
) -> None:
    """Measure throughput and latency on this machine; speeds are no part of the tests."""
    configure_logging("error")
    if what == "log":
        print(asyncio.run(bench_log(seconds)))
    if what == "state":
        print(bench_state(47_000, 960))
    if what == "transport":
        print(asyncio.run(bench_transport(20_000)))
    if what == "path":
        if not (direct and router and key):
            raise typer.BadParameter("give --direct, --router and --key; see scripts/bench-path")
        target = PathTarget(direct, router, key)
        for count in streams.split(","):
            print(asyncio.run(bench_path(target, int(count), seconds)))


application.command()(operator_commands.get)
application.command()(operator_commands.apply)
application.command()(operator_commands.delete)
application.command()(operator_commands.watch)
application.command()(operator_commands.status)
application.command()(evacuation_commands.evacuate)
application.command()(evacuation_commands.restore)
application.add_typer(rollout_commands.rollout_application, name="rollout")
application.add_typer(operator_commands.members_application, name="members")
for _command in (
    toolbox_commands.check,
    toolbox_commands.plan,
    toolbox_commands.burn,
    toolbox_commands.load,
    toolbox_commands.emulate,
    toolbox_commands.explain,
    toolbox_commands.losses,
    toolbox_commands.pools,
    toolbox_commands.soak,
):
    application.command()(_command)
application.command("settings-reference")(toolbox_commands.settings_reference)
application.add_typer(toolbox_commands.experiment_application, name="experiment")


def main() -> None:
    """Run the command line."""
    application()
