"""A gateway whose own link was full came back to control seconds after all others.

Of 31 gateways that a cut had parted from control, 30 were back within 0.9 s of its end, one after
3.6 s: each try to connect was given up after 0.4 to 0.5 s, and over a link whose queue stays full
the way there and back takes longer («connection attempt timed out before receiving SETTINGS frame»,
again and again). Until then it sent to replicas whose leave had been acknowledged.
"""

import asyncio
import unittest

from platform_stand_ins import Received, StandInReplica, answer, configuration, start_fleet
from shaped_link import ShapedLink

_ONE_WAY_S = 0.45  # of a link whose queue stays full
_CUT_S = 2.0
_BACK_WITHIN_S = 4.0  # the shortest time after which machines are held to be in touch, and 1 s
_LOOK_S = 0.02


class FullLinkTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_gateway_comes_back_over_a_link_that_takes_longer_than_a_try(self) -> None:
        async def serve(replica: StandInReplica, received: Received) -> bytes:
            return answer(received)

        fleet = await start_fleet(configuration(1))
        self.addAsyncCleanup(fleet.stop)
        link = ShapedLink([fleet.control_grpc])
        await link.start()
        self.addAsyncCleanup(link.stop)
        slow = await fleet.add_gateway("front-slow", link)
        await fleet.add_replica("r1", serve)
        assert slow.daemon.gateway is not None
        control = slow.daemon.gateway.link
        ways = (link.there, link.back)
        for way in ways:
            way.stop()
        await asyncio.sleep(_CUT_S)
        for way in ways:
            way.delay_s = _ONE_WAY_S
            way.resume_traffic()
        began_s = asyncio.get_running_loop().time()
        while control.last_heard_s < began_s:
            self.assertLess(asyncio.get_running_loop().time() - began_s, _BACK_WITHIN_S)
            await asyncio.sleep(_LOOK_S)


if __name__ == "__main__":
    unittest.main()
