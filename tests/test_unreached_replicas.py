"""Replicas that accept no connections are excluded, and used again once they do."""

import asyncio
import unittest

from fleet_case import FleetCase
from platform_stand_ins import (
    SERVICE,
    Received,
    StandInReplica,
    answer,
    configuration,
    start_fleet,
)

_REPLICAS = 7
_SURVIVORS = 1


async def _serve(replica: StandInReplica, received: Received) -> bytes:
    return answer(received)


class UnreachedReplicasTest(FleetCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = await start_fleet(configuration(1))
        self.addAsyncCleanup(self.fleet.stop)
        self.replicas = [
            await self.fleet.add_replica(f"r{number}", _serve) for number in range(_REPLICAS)
        ]
        assert self.fleet.gateway.gateway is not None
        self.role = self.fleet.gateway.gateway

    async def _request_evenly(self, seconds: float) -> list[int]:
        """Send requests at an even rate; return the statuses."""
        statuses = []
        end_s = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end_s:
            got = await self.fleet.request("/safe/", body=str(len(statuses)).encode())
            statuses.append(got.status)
            await asyncio.sleep(0.02)
        return statuses

    async def test_known_dead_replicas_do_not_affect_requests(self) -> None:
        """Dead replicas look idle and would attract requests whenever their suspicion expires.

        With six of seven dead, a request met four of them in a row and was refused with "no replica
        took the request", although one replica was idle.
        """
        for replica in self.replicas[_SURVIVORS:]:
            await replica.stop()
        await self._request_evenly(1.5)
        failed = self.role.metrics.counters["sends_failed", "NotReachedError"]
        statuses = await self._request_evenly(6.0)
        self.assertEqual(set(statuses), {200})
        self.assertEqual(self.role.metrics.counters["sends_failed", "NotReachedError"], failed)

    async def test_an_unreachable_replica_uses_no_retry(self) -> None:
        """Attempts at crashed replicas do not count as retries.

        Otherwise they use up the retry allowance, and a request is refused with "no replica took
        the request" after one refused connection although other replicas are idle.
        """
        retry_budget = self.role.server._dispatcher._context.retry_budget
        while retry_budget.try_spend(SERVICE).allowed:
            pass
        dead, live = self.replicas[:3], self.replicas[3:]
        for replica in dead:
            await replica.stop()
        for replica in live[1:]:
            known = self.role.replicas._replicas[replica.identity]
            self.role.replicas.availability.misdirected(known)
        # Sent concurrently, so that they spread over all remaining replicas.
        asked = (self.fleet.request("/safe/", body=str(number).encode()) for number in range(12))
        statuses = [got.status for got in await asyncio.gather(*asked)]
        failed = self.role.metrics.counters["sends_failed", "NotReachedError"]
        self.assertGreater(failed, 0, "some requests meet a dead replica")
        self.assertEqual(set(statuses), {200})

    async def test_one_that_accepts_connections_again_is_used(self) -> None:
        replica = self.replicas[-1]
        host, port = replica.address.split(":")
        await replica.stop()
        await self._request_evenly(1.0)
        self.assertEqual(self.role.unreached.count, 1)
        refusing = [
            one.name for one in self.role.replicas.usable(SERVICE) if one.refuses_connections
        ]
        self.assertEqual(refusing, [replica.identity])
        again = StandInReplica(replica.identity, _serve)
        again._server = await asyncio.start_server(again._serve, host, int(port))
        self.addAsyncCleanup(again.stop)
        async with asyncio.timeout(8):
            while not again.received:
                await self._request_evenly(0.1)
        self.assertEqual(self.role.unreached.count, 0)


if __name__ == "__main__":
    unittest.main()
