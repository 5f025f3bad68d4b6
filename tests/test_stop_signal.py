"""Phases of a planned stop are timed from its signal, also if that came during the start."""

import asyncio
import os
import signal
import time
import unittest
from types import SimpleNamespace
from typing import Any, cast

from fleet_case import FleetCase
from heronladder_daemon.daemon import Daemon
from heronladder_daemon.runner import run_daemon
from platform_stand_ins import Fleet, configuration, start_fleet

_START_S = 0.3


def _stand_still() -> None:
    """Hold the loop up, as loading a role does."""
    time.sleep(_START_S)


class _StartedDaemon:
    """A daemon that gets SIGTERM during its start, before its loop stands."""

    settings = SimpleNamespace(common=SimpleNamespace(name="d"))

    def __init__(self) -> None:
        self.failed: Any = None
        self.signalled_s = 0.0

    async def start(self) -> None:
        self.failed = asyncio.get_running_loop().create_future()
        os.kill(os.getpid(), signal.SIGTERM)
        _stand_still()

    async def stop(self, signalled_s: float) -> None:
        self.signalled_s = signalled_s


class StopSignalTest(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for number in (signal.SIGTERM, signal.SIGINT):
            self.addCleanup(signal.signal, number, signal.getsignal(number))

    async def test_a_signal_while_the_loop_stands_counts_from_when_it_came(self) -> None:
        daemon = _StartedDaemon()
        began_s = asyncio.get_running_loop().time()
        code = await run_daemon(cast(Daemon, daemon), lambda: cast(Any, None))
        self.assertEqual(code, 0)
        self.assertLess(daemon.signalled_s - began_s, _START_S)

    async def test_new_requests_are_rejected_in_time_after_a_signal_that_was_handled_late(
        self,
    ) -> None:
        """Guards against requests that are accepted late and cut at the end of the grace."""
        fleet: Fleet = await start_fleet(configuration(1))
        self.addAsyncCleanup(fleet.stop)
        gateway = fleet.gateway.gateway
        assert gateway is not None
        loop = asyncio.get_running_loop()
        signalled_s = loop.time() - 2.0
        stopping = asyncio.ensure_future(fleet.gateway.stop(signalled_s))
        while not gateway.server.stop.rejects_requests:
            await asyncio.sleep(0.02)
        self.assertLess(loop.time() - signalled_s, 3.0)
        await stopping


if __name__ == "__main__":
    unittest.main()
