"""Tests that state a gateway holds while its machine is suspended has expired when it wakes.

Each test checks the state in the event loop iteration in which the machine wakes: before control
is heard and before anything is sent.
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

_TIMEOUT_S = 10.0
_PATH = "/safe/"


async def _serve(replica: StandInReplica, received: Received) -> bytes:
    return answer(received)


def _document() -> dict[str, Any]:
    tenant = {"name": "tenant-a", "apiKeys": [KEY], "prepaid": 100_000}
    return configuration(1, route(_PATH), tenants=[tenant])


async def _wait_until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.02)


class HeldStateTest(unittest.TestCase):
    def _before_and_after(
        self, prepare: Callable[[Fleet], Any], observe: Callable[[GatewayRole], Any]
    ) -> tuple[Any, Any]:
        """Return what ``observe`` yields before and after the machine is suspended."""

        async def run(machine: Machine) -> tuple[Any, Any]:
            fleet = await start_fleet(_document(), has_rollouts=True)
            try:
                await fleet.add_replica("old", _serve)
                await prepare(fleet)
                gateway = fleet.gateway.gateway
                assert gateway is not None
                before = observe(gateway)
                machine.suspended_s += SUSPENDED_S
                return before, observe(gateway)
            finally:
                await fleet.stop()

        observed: tuple[Any, Any] = run_on_machine(run)
        return observed

    def test_token_promises_are_disconnected(self) -> None:
        async def connect(fleet: Fleet) -> None:
            gateway = fleet.gateway.gateway
            assert gateway is not None
            await _wait_until(lambda: not gateway.tokens.held.window.is_disconnected)

        def is_disconnected(gateway: GatewayRole) -> bool:
            return gateway.tokens.held.window.is_disconnected

        self.assertEqual(self._before_and_after(connect, is_disconnected), (False, True))

    def test_rollout_grants_expire(self) -> None:
        async def start_rollout(fleet: Fleet) -> None:
            await fleet.add_replica("new", _serve, version="v2")
            body = {"service": SERVICE, "targetVersion": "v2", "durationS": 60}
            path = "/api/Rollouts.Start"
            response = await fleet.call(fleet.control_address, "POST", path, body)
            self.assertEqual(response.status, 200)
            gateway = fleet.gateway.gateway
            assert gateway is not None
            await _wait_until(lambda: self._may_use_target(gateway))

        self.assertEqual(self._before_and_after(start_rollout, self._may_use_target), (True, False))

    @staticmethod
    def _may_use_target(gateway: GatewayRole) -> bool:
        """Return whether the next request may go to the target version of the rollout."""
        replicas = gateway.replicas
        permits = replicas.versions.candidate_filters(SERVICE, _PATH, (), replicas.usable(SERVICE))
        return len(permits) > 1

    def test_suspicion_of_a_replica_expires(self) -> None:
        async def suspect(fleet: Fleet) -> None:
            gateway = fleet.gateway.gateway
            assert gateway is not None
            (replica,) = gateway.replicas.usable(SERVICE)
            gateway.replicas.failed(replica, "simulated failure")

        def is_suspect(gateway: GatewayRole) -> bool:
            (replica,) = gateway.replicas.usable(SERVICE)
            return replica.suspect_until_s > asyncio.get_running_loop().time()

        self.assertEqual(self._before_and_after(suspect, is_suspect), (True, False))

    def test_earlier_retries_leave_the_window(self) -> None:
        async def exhaust_budget(fleet: Fleet) -> None:
            gateway = fleet.gateway.gateway
            assert gateway is not None
            retry_budget = gateway.server._dispatcher._context.retry_budget
            while retry_budget.try_spend(SERVICE).allowed:
                pass

        def may_retry(gateway: GatewayRole) -> bool:
            return gateway.server._dispatcher._context.retry_budget.try_spend(SERVICE).allowed

        self.assertEqual(self._before_and_after(exhaust_budget, may_retry), (False, True))


if __name__ == "__main__":
    unittest.main()
