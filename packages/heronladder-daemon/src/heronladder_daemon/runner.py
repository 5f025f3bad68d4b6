"""Runs a daemon until a stop signal; reloads settings on SIGHUP or a change of their file."""

import asyncio
import signal
from collections.abc import Callable
from pathlib import Path

from heronladder_runtime.errors import HeronladderError, SettingsError
from heronladder_runtime.logs import EventLog
from heronladder_runtime.settings import DaemonSettings

from heronladder_daemon import early_stop
from heronladder_daemon.daemon import Daemon

EXIT_FAILED = 1
_FILE_POLL_INTERVAL_S = 2.0

SettingsLoader = Callable[[], DaemonSettings]


class SettingsReloader:
    """Reloads settings on request or when their file has changed.

    Args:
        daemon: The daemon that the settings are for.
        load: Reads and validates the settings.
        file: The settings file to watch; None if there is none.
        log: Log for events.
    """

    def __init__(
        self, daemon: Daemon, load: SettingsLoader, file: Path | None, log: EventLog
    ) -> None:
        self._daemon = daemon
        self._load = load
        self._file = file
        self._log = log
        self._loaded_signature = self._file_signature()

    def _file_signature(self) -> tuple[int, int]:
        if self._file is None:
            return (0, 0)
        try:
            status = self._file.stat()
        except OSError:
            return (0, 0)
        return (status.st_mtime_ns, status.st_size)

    def reload(self) -> None:
        """Apply the current settings; keep the previous ones if the new ones are invalid."""
        self._loaded_signature = self._file_signature()
        try:
            settings = self._load()
            self._daemon.reload(settings)
        except (SettingsError, OSError, ValueError) as error:
            self._log.error("settings_not_reloaded", step="reload", why=str(error))
            return
        self._log.info("settings_reloaded", step="reload")

    async def watch(self) -> None:
        """Poll the settings file and reload it when it has changed without a SIGHUP."""
        while self._file is not None:
            await asyncio.sleep(_FILE_POLL_INTERVAL_S)
            if self._file_signature() != self._loaded_signature:
                self.reload()


async def run_daemon(daemon: Daemon, load: SettingsLoader, file: Path | None = None) -> int:
    """Run a daemon until SIGTERM or SIGINT, or until it fails.

    Args:
        daemon: The daemon, not started yet.
        load: Reads and validates its settings again.
        file: Settings file to watch for changes; None if there is none.

    Returns:
        The exit code of the process.
    """
    log = EventLog("main", daemon.settings.common.name)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    reloader = SettingsReloader(daemon, load, file, log)
    signalled_s: float | None = None

    # Not the loop's own signal handlers: they run when the loop gets to them, and a process that is
    # late, or is still starting, would count its grace period from then.
    def request_stop(_number: int, _frame: object) -> None:
        nonlocal signalled_s
        if signalled_s is None and not stopping.is_set():
            signalled_s = loop.time()
            loop.call_soon_threadsafe(stopping.set)

    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, request_stop)
    early_s = early_stop.elapsed_s()
    if early_s is not None:
        signalled_s = loop.time() - early_s
        stopping.set()
    loop.add_signal_handler(signal.SIGHUP, reloader.reload)
    try:
        await daemon.start()
    except HeronladderError as error:
        log.error("start_failed", step=error.step, peer=error.peer, why=error.message)
        return EXIT_FAILED
    watch_task = asyncio.create_task(reloader.watch())
    assert daemon.failed is not None
    daemon.failed.add_done_callback(lambda _: stopping.set())
    await stopping.wait()
    watch_task.cancel()
    if daemon.failed.done():
        failure = daemon.failed.result()
        log.error("daemon_failed", step=failure.step, peer=failure.peer, why=failure.message)
        await daemon.abort()
        return EXIT_FAILED
    log.info("daemon_stopping", step="stop")
    await daemon.stop(signalled_s)
    return 0
