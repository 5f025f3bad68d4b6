"""Tests that daemons notice a suspension of their machine before they act on anything.

The monotonic clock stops during suspension. Timed by it, leases, promises and periods of silence
would seem as recent after resumption as before, and daemons would act on them.
"""

import asyncio
import time
import unittest
from collections.abc import Callable
from typing import Any

from heronladder_daemon import main as daemon_main
from heronladder_platform import daemon as platform_daemon
from heronladder_runtime import suspend_aware_loop
from heronladder_runtime.clock import Environment
from heronladder_runtime.process_start import boot_time_s
from platform_stand_ins import Fleet, Received, StandInReplica, answer, configuration, start_fleet
from suspended_machine import SUSPENDED_S, Machine, run_on_machine

_FRESH_WITHIN_S = 5.0


class LoopTest(unittest.TestCase):
    def test_daemons_use_a_clock_that_includes_suspension(self) -> None:
        async def times() -> tuple[float, float]:
            return Environment().monotonic(), time.clock_gettime(time.CLOCK_BOOTTIME)

        judged_s, boot_s = suspend_aware_loop.run(times())
        self.assertAlmostEqual(judged_s, boot_s, delta=1.0)
        for module in (daemon_main, platform_daemon):
            self.assertIs(module.suspend_aware_loop.run, suspend_aware_loop.run)

    def test_timers_due_during_suspension_run_on_resumption(self) -> None:
        async def wait(machine: Machine) -> float:
            started_s = time.monotonic()
            waiting = asyncio.create_task(asyncio.sleep(SUSPENDED_S - 1))
            await asyncio.sleep(0.01)
            machine.suspended_s = SUSPENDED_S
            await waiting
            return time.monotonic() - started_s

        self.assertLess(run_on_machine(wait), 5.0)

    def test_process_age_includes_suspension(self) -> None:
        environment = Environment(process_start_s=boot_time_s() - 7.0)
        self.assertGreaterEqual(environment.process_age_s(), 7.0)


class GatewayTest(unittest.TestCase):
    """All daemons run on one machine here, so control is silent during the suspension too."""

    def _after_resumption(self, look: Callable[[Fleet], Any]) -> Any:
        async def scenario(machine: Machine) -> Any:
            async def serve(replica: StandInReplica, received: Received) -> bytes:
                return answer(received)

            fleet = await start_fleet(configuration(1))
            try:
                await fleet.add_replica("r1", serve)
                self.assertEqual((await fleet.request("/safe/")).status, 200)
                await self._wait_for_fresh_configuration(fleet)
                machine.suspended_s += SUSPENDED_S
                return look(fleet)
            finally:
                await fleet.stop()

        return run_on_machine(scenario)

    async def _wait_for_fresh_configuration(self, fleet: Fleet) -> None:
        """Wait for a 404 response; on a busy machine the lease may arrive slightly late."""
        async with asyncio.timeout(_FRESH_WITHIN_S):
            while (got := await fleet.request("/nowhere/")).status != 404:
                self.assertEqual(got.status, 503)
                await asyncio.sleep(float(got.headers["Retry-After"]))

    def test_configuration_is_not_fresh_before_contact_with_control(self) -> None:
        """A gateway would answer 404 by a freshness lease that expired during the suspension."""

        def freshness(fleet: Fleet) -> tuple[bool, bool]:
            assert fleet.gateway.gateway is not None
            link = fleet.gateway.gateway.link
            return link.fresh, link.knows_newest

        self.assertEqual(self._after_resumption(freshness), (False, False))

    def test_load_reports_are_old_after_resumption(self) -> None:
        def age_s(fleet: Fleet) -> float:
            assert fleet.gateway.gateway is not None
            return fleet.gateway.gateway.replicas.loads.age_s

        self.assertGreaterEqual(self._after_resumption(age_s), SUSPENDED_S)

    def test_leader_does_not_count_suspension_as_contact(self) -> None:
        def last_heard_s(fleet: Fleet) -> float:
            assert fleet.control.control is not None
            member = fleet.control.control
            progress = member.in_force.daemons["front-1"]
            return member.environment.monotonic() - progress.last_contact_s

        self.assertGreaterEqual(self._after_resumption(last_heard_s), SUSPENDED_S)


if __name__ == "__main__":
    unittest.main()
