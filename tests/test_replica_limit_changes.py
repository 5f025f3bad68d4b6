"""Rates at limited replicas while leaders, gateways and limits change."""

import asyncio
import unittest

from limited_fleet import LimitedFleetCase, allowed


class ChangesTest(LimitedFleetCase):
    async def test_without_a_leader(self) -> None:
        """Control stops while one of three replicas has a limit of 1.7 requests per second."""
        limited = await self.start(6, 3)
        await limited.send_requests(30.0, 0.5)
        bounded = limited.replicas[0]
        bounded.limit = "1.7"
        await limited.send_requests(30.0, 2.0)
        await limited.fleet.control.stop()
        judged = await limited.send_requests(30.0, 7.0)
        self.assert_within(limited)
        self.assertEqual(set(judged.statuses), {200}, "other replicas serve the callers")

    async def test_a_limit_that_ends_and_returns(self) -> None:
        limited = await self.start(3, 2)
        bounded = limited.replicas[0]
        bounded.limit = "1.7"
        await limited.send_requests(20.0, 3.0)
        bounded.limit = None
        await limited.send_requests(20.0, 3.0)
        ended_s = asyncio.get_running_loop().time()
        await limited.send_requests(20.0, 2.0)
        self.assertGreater(limited.sent_since(bounded, ended_s), 10, "used like the other replica")
        bounded.limit = "1.7"
        bounded.first_named_s = None
        bounded.arrivals.clear()
        await limited.send_requests(20.0, 6.0)
        self.assertLessEqual(limited.most_of_all(bounded), allowed(1.7))

    async def test_a_gateway_that_starts_meanwhile(self) -> None:
        limited = await self.start(3, 2)
        bounded = limited.replicas[0]
        bounded.limit = "1.7"
        await limited.send_requests(20.0, 2.0)
        added = await limited.fleet.add_gateway("front-late")
        async with asyncio.timeout(5):
            while not added.knows("r1"):
                await asyncio.sleep(0.02)
        judged = await limited.send_requests(20.0, 6.0, weights=lambda number: -1)
        self.assert_within(limited)
        self.assertEqual(set(judged.statuses), {200}, "other replicas serve the callers")

    async def test_a_malformed_value_is_not_a_limit(self) -> None:
        limited = await self.start(1, 2)
        bounded = limited.replicas[0]
        for text in ("nan", "inf", "-1", "soon", "1,7"):
            bounded.limit = text
            await limited.send_requests(20.0, 0.5)
        role = limited.fleet.gateway.gateway
        assert role is not None
        self.assertEqual(role.replicas.limits.count, 0)
        self.assertGreater(role.metrics.counters["replica_limits_malformed", ""], 5)


if __name__ == "__main__":
    unittest.main()
