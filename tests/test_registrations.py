"""Tests that an acknowledged leave of a replica is in force at the gateways."""

import asyncio
import unittest

from platform_stand_ins import Answer, Fleet, answer, configuration, start_fleet

_REPLICA = "leaves"
_TIMEOUT_S = 10.0


class LeaveTest(unittest.IsolatedAsyncioTestCase):
    """A replica leaves while a gateway does not answer."""

    async def asyncSetUp(self) -> None:
        self.fleet: Fleet = await start_fleet(configuration(1))
        self.addAsyncCleanup(self.fleet.stop)

        async def script(_replica: object, received: object) -> bytes:
            return answer(received)  # type: ignore[arg-type]

        await self.fleet.add_replica(_REPLICA, script)
        await self.fleet.gateway.abort()

    async def test_a_retried_deregistration_is_acknowledged_only_once_in_force(self) -> None:
        """A retried deregistration must not succeed while gateways still send to the replica.

        The first call times out before the leave is in force and gets no clear answer. The retry
        finds the leave in the state already, and must wait for the gateways like the first call.
        """
        first = await self._deregister()
        self.assertEqual(first.status, 503, "the silent gateway must be awaited")
        async with asyncio.timeout(_TIMEOUT_S):
            while (await self._deregister()).status != 200:
                pass
        assert self.fleet.control.control is not None
        state = self.fleet.control.control.state
        left = state.resources.get("replica", _REPLICA)
        assert left is not None
        self.assertGreaterEqual(state.in_force_revision, left.metadata.revision)

    async def _deregister(self) -> Answer:
        path = f"/api/Replicas.Deregister/{_REPLICA}"
        return await self.fleet.call(self.fleet.control_address, "POST", path)


if __name__ == "__main__":
    unittest.main()
