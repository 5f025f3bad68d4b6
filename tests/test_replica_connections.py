"""Distribution of the connections that a gateway may open to a replica."""

import asyncio
import unittest

from heronladder_router.attempt_outcomes import NoConnectionError
from heronladder_router.decisions.connection_share import connection_share
from heronladder_router.replica_connections import ReplicaConnections
from heronladder_runtime.clock import Environment
from heronladder_runtime.metrics import Metrics

_ADDRESS = "127.0.0.1:1"


class ShareTest(unittest.TestCase):
    def test_the_total_stays_within_the_accepted_connections(self) -> None:
        for accepted in range(1, 400):
            for gateways in range(1, accepted + 1):
                share = connection_share(accepted, gateways)
                assert share is not None
                self.assertLessEqual(share * gateways, accepted)
                self.assertGreaterEqual(share, 1)

    def test_most_accepted_connections_are_used(self) -> None:
        for accepted, gateways in ((6, 6), (6, 3), (6, 2), (370, 6), (370, 30), (96, 30)):
            share = connection_share(accepted, gateways)
            assert share is not None
            self.assertGreater(share * gateways, 0.8 * accepted, (accepted, gateways))

    def test_more_gateways_than_connections_have_one_each(self) -> None:
        self.assertEqual(connection_share(6, 30), 1)

    def test_a_service_without_a_connection_limit(self) -> None:
        self.assertIsNone(connection_share(0, 6))


class ConnectionQueueTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.connections = ReplicaConnections(Environment(), Metrics())
        self.used = self.most = 0

    async def _use(self, for_s: float, wait_s: float = 5.0) -> None:
        async with self.connections.use(_ADDRESS, 2, wait_s, keeps=True):
            self.used += 1
            self.most = max(self.most, self.used)
            try:
                await asyncio.sleep(for_s)
            finally:
                self.used -= 1

    async def test_open_connections_stay_within_the_share(self) -> None:
        await asyncio.gather(*(self._use(0.01) for _ in range(30)))
        self.assertEqual((self.most, self.connections.waiting), (2, 0))

    async def test_waiting_requests_are_served_in_order(self) -> None:
        order: list[int] = []

        async def one(number: int) -> None:
            async with self.connections.use(_ADDRESS, 1, 5.0, keeps=True):
                order.append(number)
                await asyncio.sleep(0.002)

        await asyncio.gather(*(one(number) for number in range(10)))
        self.assertEqual(order, list(range(10)))

    async def test_waiting_fails_within_the_time_limit(self) -> None:
        holds = [asyncio.create_task(self._use(0.5)) for _ in range(2)]
        await asyncio.sleep(0)
        began_s = asyncio.get_running_loop().time()
        with self.assertRaises(NoConnectionError):
            await self._use(0.0, wait_s=0.05)
        self.assertLess(asyncio.get_running_loop().time() - began_s, 0.3)
        await asyncio.gather(*holds)
        with self.assertRaises(NoConnectionError):  # the hold times are known by now
            await asyncio.gather(*(self._use(0.3, wait_s=0.2) for _ in range(8)))

    async def test_cancellation_at_any_time_leaks_no_connection(self) -> None:
        for pause_s in (0.0, 0.004, 0.005, 0.0051, 0.006):
            tasks = [asyncio.create_task(self._use(0.005)) for _ in range(20)]
            await asyncio.sleep(pause_s)
            for task in tasks[::2]:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            self.assertEqual(self.connections._addresses[_ADDRESS].used, 0, pause_s)
        self.assertEqual(self.most, 2)

    async def test_a_smaller_share_takes_effect_as_connections_end(self) -> None:
        await asyncio.gather(self._use(0.02), self._use(0.02), self._use_with_smaller_share())
        self.assertEqual(self.connections._addresses[_ADDRESS].used, 0)

    async def _use_with_smaller_share(self) -> None:
        await asyncio.sleep(0.005)
        async with self.connections.use(_ADDRESS, 1, 5.0, keeps=True):
            self.assertEqual(self.used, 0)


if __name__ == "__main__":
    unittest.main()
