"""A machine that was suspended knows that it is late before it acts on anything.

The steady clock stands still meanwhile: on waking, leases, promises and silences seemed as young as
before, and what they allowed was done first.
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

_VOUCHES_WITHIN_S = 5.0


class LoopTest(unittest.TestCase):
    def test_daemons_judge_times_by_a_clock_that_counts_suspension(self) -> None:
        async def times() -> tuple[float, float]:
            return Environment().monotonic(), time.clock_gettime(time.CLOCK_BOOTTIME)

        judged_s, boot_s = suspend_aware_loop.run(times())
        self.assertAlmostEqual(judged_s, boot_s, delta=1.0)
        for module in (daemon_main, platform_daemon):
            self.assertIs(module.suspend_aware_loop.run, suspend_aware_loop.run)

    def test_what_was_due_meanwhile_is_done_on_waking(self) -> None:
        async def wait(machine: Machine) -> float:
            began_s = time.monotonic()
            waiting = asyncio.create_task(asyncio.sleep(SUSPENDED_S - 1))
            await asyncio.sleep(0.01)
            machine.suspended_s = SUSPENDED_S
            await waiting
            return time.monotonic() - began_s

        self.assertLess(run_on_machine(wait), 5.0)

    def test_a_process_was_not_younger_for_having_slept(self) -> None:
        environment = Environment(process_start_s=boot_time_s() - 7.0)
        self.assertGreaterEqual(environment.process_age_s(), 7.0)


class GatewayTest(unittest.TestCase):
    """All daemons share one machine here: control is silent while it is suspended, too."""

    def _after_waking(self, look: Callable[[Fleet], Any]) -> Any:
        async def play(machine: Machine) -> Any:
            async def serve(replica: StandInReplica, received: Received) -> bytes:
                return answer(received)

            fleet = await start_fleet(configuration(1))
            try:
                await fleet.add_replica("r1", serve)
                self.assertEqual((await fleet.request("/safe/")).status, 200)
                await self._vouches(fleet)
                machine.suspended_s += SUSPENDED_S
                return look(fleet)
            finally:
                await fleet.stop()

        return run_on_machine(play)

    async def _vouches(self, fleet: Fleet) -> None:
        """Return once it claims a 404; on a busy machine its lease may be late for a moment."""
        async with asyncio.timeout(_VOUCHES_WITHIN_S):
            while (got := await fleet.request("/nowhere/")).status != 404:
                self.assertEqual(got.status, 503)
                await asyncio.sleep(float(got.headers["Retry-After"]))

    def test_it_vouches_for_nothing_before_control_is_heard_again(self) -> None:
        """It claimed a 404 by a freshness lease that had run out while it was suspended."""

        def vouches(fleet: Fleet) -> tuple[bool, bool]:
            assert fleet.gateway.gateway is not None
            link = fleet.gateway.gateway.link
            return link.fresh, link.knows_newest

        self.assertEqual(self._after_waking(vouches), (False, False))

    def test_what_others_had_under_way_is_old(self) -> None:
        def age_s(fleet: Fleet) -> float:
            assert fleet.gateway.gateway is not None
            return fleet.gateway.gateway.replicas.loads.age_s

        self.assertGreaterEqual(self._after_waking(age_s), SUSPENDED_S)

    def test_the_leader_does_not_count_its_silence_as_contact(self) -> None:
        def last_heard_s(fleet: Fleet) -> float:
            assert fleet.control.control is not None
            member = fleet.control.control
            progress = member.in_force.daemons["front-1"]
            return member.environment.monotonic() - progress.last_contact_s

        self.assertGreaterEqual(self._after_waking(last_heard_s), SUSPENDED_S)


if __name__ == "__main__":
    unittest.main()
