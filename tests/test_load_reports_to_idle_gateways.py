"""A gateway's first burst was sent as if all replicas were idle.

Control told the load of other gateways only to those that had told some of their own, and a gateway
that has nothing under way at a heartbeat tells none. 40 requests that came together, the first ones
after three that fell between heartbeats, all went to a replica with one place: «0 not greater than
10» refused.
"""

import asyncio
import unittest

from platform_stand_ins import configuration, route, start_fleet

_REPORT_TIMEOUT_S = 3.0
_POLL_S = 0.02


class LoadsToldTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_gateway_that_sent_nothing_yet_knows_what_others_have_under_way(self) -> None:
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
