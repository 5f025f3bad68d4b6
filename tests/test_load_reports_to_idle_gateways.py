"""A gateway without requests in flight receives the load of the other gateways.

A gateway that has nothing in flight at a heartbeat reports no load. If control sent the load of the
others only to gateways that report some, a gateway's first burst would be sent as if all replicas
were idle: 40 requests that arrive together, after three between two heartbeats, would all go to a
replica with one slot.
"""

import asyncio
import unittest

from platform_stand_ins import configuration, route, start_fleet

_REPORT_TIMEOUT_S = 3.0
_POLL_S = 0.02


class LoadReportTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_gateway_without_requests_receives_the_load_of_others(self) -> None:
        fleet = await start_fleet(configuration(1, route("/once/", kind="unsafe")))
        self.addAsyncCleanup(fleet.stop)
        gateway = fleet.gateway.gateway
        assert gateway is not None
        loads = gateway.replicas.loads
        until_s = asyncio.get_running_loop().time() + _REPORT_TIMEOUT_S
        while loads.age_s == float("inf") and asyncio.get_running_loop().time() < until_s:
            await asyncio.sleep(_POLL_S)
        self.assertLess(loads.age_s, _REPORT_TIMEOUT_S)


if __name__ == "__main__":
    unittest.main()
