"""A replica that starts again under its id holds and knows nothing of before.

An incarnation was known by its id alone: one late heartbeat of the earlier start took the address
back, and all requests went to where nothing listened; one that had deregistered was never used
again.
"""

import asyncio
import unittest
from typing import Any

from platform_stand_ins import (
    Received,
    StandInReplica,
    answer,
    configuration,
    event,
    route,
    start_fleet,
    stream_head,
)

_ID = "replica-1"
_REQUESTS = 12


async def _serve(replica: StandInReplica, received: Received) -> bytes:
    return answer(received)


class RestartTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        routes = (
            route("/safe/"),
            route("/order/", kind="unsafe", maxAttempts=1),
            route("/stream/", kind="streaming", maxAttempts=1),
        )
        self.fleet = await start_fleet(configuration(1, *routes))
        self.addAsyncCleanup(self.fleet.stop)
        assert self.fleet.gateway.gateway is not None
        self.role = self.fleet.gateway.gateway

    async def _started(self, born: int, script: Any = _serve) -> StandInReplica:
        """Start the replica anew; return once the gateway knows this start."""
        replica = StandInReplica(_ID, script)
        await replica.start()
        self.fleet.replicas.append(replica)
        self.assertEqual(await self._beat(replica, born=born), 200)
        async with asyncio.timeout(5):
            while self._known_start() != born:
                await asyncio.sleep(0.01)
        return replica

    def _known_start(self) -> int:
        known = self.role.replicas._replicas.get(_ID)
        return known.record.start_ms if known is not None else -1

    async def _beat(self, replica: StandInReplica, **told: Any) -> int:
        path = f"/api/Replicas.Heartbeat/{_ID}"
        body = replica.heartbeat(**told)
        return (await self.fleet.call(self.fleet.control_address, "POST", path, body)).status

    async def _statuses(self, path: str = "/safe/") -> set[int]:
        got = [await self.fleet.request(path, Request_Id=f"r-{n}") for n in range(_REQUESTS)]
        return {one.status for one in got}

    async def test_late_heartbeats_of_the_earlier_start_change_nothing(self) -> None:
        first = await self._started(born=1_000)
        await first.stop()
        second = await self._started(born=2_000)
        for sequence, state in ((90, "ready"), (91, "draining")):
            told = {"born": 1_000, "sequence": sequence, "state": state}
            self.assertEqual(await self._beat(first, **told), 200)
        self.assertEqual(await self._statuses(), {200})
        self.assertEqual(len(second.received), _REQUESTS)

    async def test_one_that_deregistered_is_used_when_it_starts_again(self) -> None:
        first = await self._started(born=1_000)
        path = f"/api/Replicas.Deregister/{_ID}"
        left = await self.fleet.call(self.fleet.control_address, "POST", path, {})
        self.assertEqual(left.status, 200)
        self.assertEqual(await self._beat(first, born=1_000, sequence=9), 200)
        self.assertEqual(await self._statuses(), {503})
        await first.stop()
        await self._started(born=2_000)
        self.assertEqual(await self._statuses(), {200})

    async def test_one_that_was_draining_is_used_when_it_starts_again(self) -> None:
        first = await self._started(born=1_000)
        self.assertEqual(await self._beat(first, born=1_000, state="draining", sequence=2), 200)
        self.assertEqual(await self._statuses(), {503})
        await first.stop()
        await self._started(born=2_000)
        self.assertEqual(await self._statuses(), {200})

    async def test_an_order_under_way_is_not_run_by_the_later_start_and_promised_nothing(
        self,
    ) -> None:
        began = asyncio.Event()

        async def never(replica: StandInReplica, received: Received) -> bytes:
            began.set()
            await asyncio.Event().wait()
            return b""

        first = await self._started(1_000, never)
        order = asyncio.create_task(self.fleet.request("/order/", Request_Id="order-1"))
        await began.wait()
        second = await self._started(2_000)
        await first.stop()
        got = await order
        self.assertEqual((got.status, got.headers["Heronladder-Outcome"]), (502, "unknown"))
        self.assertNotIn("Retry-After", got.headers)
        self.assertEqual(second.received, [])
        self.assertEqual(await self._statuses("/order/"), {200})

    async def test_a_stream_under_way_is_cut_and_not_joined_with_the_later_start(self) -> None:
        began = asyncio.Event()

        async def one_event(replica: StandInReplica, received: Received) -> bytes:
            began.set()
            return stream_head(received) + event(1)

        first = await self._started(1_000, one_event)
        stream = asyncio.create_task(self.fleet.request("/stream/", Request_Id="stream-1"))
        await began.wait()
        await asyncio.sleep(0.05)
        second = await self._started(2_000)
        await first.stop()
        with self.assertRaises(Exception) as raised:
            await stream
        self.assertIn("payload", type(raised.exception).__name__.lower())
        self.assertEqual(second.received, [])

    async def test_nothing_is_held_against_a_later_start(self) -> None:
        first = await self._started(1_000)
        known = self.role.replicas._replicas[_ID]
        for _ in range(4):
            self.role.replicas.failed(known, "as made", unreached=True)
        await first.stop()
        await self._started(2_000)
        later = self.role.replicas._replicas[_ID]
        self.assertIsNot(later, known)
        self.assertEqual((later.failures, later.suspect_until_s, later.unreached), (0, 0.0, False))


if __name__ == "__main__":
    unittest.main()
