"""What a gateway holds while its machine is suspended is old when it wakes.

Each is judged in the same turn of the loop in which the machine wakes: before control is heard, and
before anything is sent.
"""

import asyncio
import unittest
from collections.abc import Callable
from typing import Any

from heronladder_router.gateway_role import GatewayRole
from platform_stand_ins import (
    KEY,
    SERVICE,
    Fleet,
    Received,
    StandInReplica,
    answer,
    configuration,
    route,
    start_fleet,
)
from suspended_machine import SUSPENDED_S, Machine, run_on_machine

_PATIENCE_S = 10.0
_PATH = "/safe/"


async def _serve(replica: StandInReplica, received: Received) -> bytes:
    return answer(received)


def _document() -> dict[str, Any]:
    tenant = {"name": "tenant-a", "apiKeys": [KEY], "prepaid": 100_000}
    return configuration(1, route(_PATH), tenants=[tenant])


async def _until(holds: Callable[[], bool]) -> None:
    async with asyncio.timeout(_PATIENCE_S):
        while not holds():
            await asyncio.sleep(0.02)


class HeldTest(unittest.TestCase):
    def _before_and_after(
        self, prepare: Callable[[Fleet], Any], look: Callable[[GatewayRole], Any]
    ) -> tuple[Any, Any]:
        async def play(machine: Machine) -> tuple[Any, Any]:
            fleet = await start_fleet(_document(), has_rollouts=True)
            try:
                await fleet.add_replica("old", _serve)
                await prepare(fleet)
                gateway = fleet.gateway.gateway
                assert gateway is not None
                before = look(gateway)
                machine.suspended_s += SUSPENDED_S
                return before, look(gateway)
            finally:
                await fleet.stop()

        got: tuple[Any, Any] = run_on_machine(play)
        return got

    def test_promises_of_tokens_are_out_of_touch(self) -> None:
        async def in_touch(fleet: Fleet) -> None:
            gateway = fleet.gateway.gateway
            assert gateway is not None
            await _until(lambda: not gateway.tokens.held.window.out_of_touch)

        def out_of_touch(gateway: GatewayRole) -> bool:
            return gateway.tokens.held.window.out_of_touch

        self.assertEqual(self._before_and_after(in_touch, out_of_touch), (False, True))

    def test_grants_of_a_roll_out_are_spent_by_nobody(self) -> None:
        async def on_trial(fleet: Fleet) -> None:
            await fleet.add_replica("new", _serve, version="v2")
            body = {"service": SERVICE, "targetVersion": "v2", "durationS": 60}
            path = "/api/Rollouts.Start"
            got = await fleet.call(fleet.control_address, "POST", path, body)
            self.assertEqual(got.status, 200)
            gateway = fleet.gateway.gateway
            assert gateway is not None
            await _until(lambda: self._is_due(gateway))

        self.assertEqual(self._before_and_after(on_trial, self._is_due), (True, False))

    @staticmethod
    def _is_due(gateway: GatewayRole) -> bool:
        """Whether the next request would go to the version on trial."""
        replicas = gateway.replicas
        permits = replicas.versions.choices(SERVICE, _PATH, (), replicas.usable(SERVICE))
        return len(permits) > 1

    def test_a_replica_is_suspected_no_longer_than_its_time(self) -> None:
        async def suspect(fleet: Fleet) -> None:
            gateway = fleet.gateway.gateway
            assert gateway is not None
            (replica,) = gateway.replicas.usable(SERVICE)
            gateway.replicas.failed(replica, "as made")

        def suspected(gateway: GatewayRole) -> bool:
            (replica,) = gateway.replicas.usable(SERVICE)
            return replica.suspect_until_s > asyncio.get_running_loop().time()

        self.assertEqual(self._before_and_after(suspect, suspected), (True, False))

    def test_repeats_of_before_are_out_of_the_window(self) -> None:
        async def use_up(fleet: Fleet) -> None:
            gateway = fleet.gateway.gateway
            assert gateway is not None
            retry_budget = gateway.server._dispatcher._context.retry_budget
            while retry_budget.try_spend(SERVICE):
                pass

        def may_repeat(gateway: GatewayRole) -> bool:
            return gateway.server._dispatcher._context.retry_budget.try_spend(SERVICE)

        self.assertEqual(self._before_and_after(use_up, may_repeat), (False, True))


if __name__ == "__main__":
    unittest.main()
