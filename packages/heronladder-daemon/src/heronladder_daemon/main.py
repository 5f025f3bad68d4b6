"""Command line of the daemon, ``heronladderd``."""

import sys

import typer
from heronladder_runtime import suspend_aware_loop
from heronladder_runtime.errors import SettingsError
from heronladder_runtime.logs import configure_daemon_logging
from heronladder_runtime.settings import DaemonSettings, build, resolve, with_setting_options

from heronladder_daemon.daemon import Daemon
from heronladder_daemon.runner import run_daemon

_EXIT_BAD_SETTINGS = 2

application = typer.Typer(no_args_is_help=True, add_completion=False, help=__doc__)


@application.callback()
def _root() -> None:
    """The heronladder daemon."""


def _load(flags: dict[str, str | None]) -> DaemonSettings:
    try:
        return build(resolve(flags))
    except SettingsError as error:
        for problem in error.problems:
            print(problem, file=sys.stderr)
        raise typer.Exit(_EXIT_BAD_SETTINGS) from error


def run(flags: dict[str, str | None]) -> None:
    """Run a daemon with the roles its settings name."""
    settings = _load(flags)
    configure_daemon_logging(settings.common.log_level)
    running = run_daemon(Daemon(settings), lambda: build(resolve(flags)))
    raise typer.Exit(suspend_aware_loop.run(running))


def settings(flags: dict[str, str | None]) -> None:
    """Print all settings: value, source, unit, default and bounds."""
    values = resolve(flags)
    for value in values:
        declaration = value.declaration
        options = declaration.options
        shown = "(secret)" if options.secret and value.text else value.text or '""'
        print(f"{declaration.name} = {shown}")
        print(f"    source {value.source}; flag {declaration.flag}; {declaration.variable}")
        unit = options.unit or "none"
        print(f"    unit {unit}; default {options.default_value or 'none'}; {declaration.bounds}")
        print(f"    {options.help}")
    _load(flags)


application.command("run")(with_setting_options(run))
application.command("settings")(with_setting_options(settings))


def main() -> None:
    """Run the command line."""
    application()
