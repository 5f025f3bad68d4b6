"""Attempts that replicas received, compared with the retries that a gateway counted."""

import asyncio
import unittest
from collections import Counter

from platform_stand_ins import (
    SERVICE,
    Received,
    Script,
    StandInReplica,
    answer,
    configuration,
    route,
    start_fleet,
)

_REQUESTS = 12
_LATE_S = 3.0  # longer than a gateway waits for the head of a response


async def _serve(replica: StandInReplica, received: Received) -> bytes:
    return answer(received)


async def _reject(replica: StandInReplica, received: Received) -> bytes:
    return answer(received, "503 Service Unavailable", Not_Executed="1")


async def _misdirect(replica: StandInReplica, received: Received) -> bytes:
    return answer(received, "421 Misdirected Request", Not_Executed="1")


async def _fail(replica: StandInReplica, received: Received) -> bytes:
    return answer(received, "500 Internal Server Error")


async def _close(replica: StandInReplica, received: Received) -> bytes:
    return b""


async def _reset(replica: StandInReplica, received: Received) -> bytes:
    replica.reset = True
    return b""


async def _break_off(replica: StandInReplica, received: Received) -> bytes:
    replica.reset = True
    return answer(received, body=b"x" * 100)[:-50]


async def _stay_silent(replica: StandInReplica, received: Received) -> bytes:
    await asyncio.sleep(_LATE_S)
    return b""


async def _ask_for_back_off(replica: StandInReplica, received: Received) -> bytes:
    return answer(received, "503 Service Unavailable", Not_Executed="1", Retry_After="2")


class RetryAccountingTest(unittest.IsolatedAsyncioTestCase):
    async def _compare(self, script: Script, *, listening: bool = True) -> int:
        """Send requests while three of four replicas follow a script.

        Returns:
            The number of counted retries; checked to cover all that replicas received.
        """
        fleet = await start_fleet(configuration(1, route("/safe/", maxAttempts=4)))
        self.addAsyncCleanup(fleet.stop)
        replicas = [await fleet.add_replica(f"r{number}", script) for number in range(3)]
        replicas.append(await fleet.add_replica("sound", _serve))
        if not listening:
            for replica in replicas[:3]:
                await replica.stop()
        asked = (
            fleet.request("/safe/", body=str(number).encode(), Request_Id=f"q{number}")
            for number in range(_REQUESTS)
        )
        await asyncio.gather(*asked)
        gateway = fleet.gateway.gateway
        assert gateway is not None
        received = Counter(
            one.headers["request-id"] for replica in replicas for one in replica.received
        )
        repeated = sum(count - 1 for count in received.values())
        counted = gateway.metrics.counters["retries_sent", SERVICE]
        self.assertLessEqual(repeated, counted)
        return counted

    async def test_rejected(self) -> None:
        self.assertGreater(await self._compare(_reject), 0)

    async def test_misdirected(self) -> None:
        self.assertGreater(await self._compare(_misdirect), 0)

    async def test_failed(self) -> None:
        self.assertGreater(await self._compare(_fail), 0)

    async def test_closed_without_a_response(self) -> None:
        self.assertGreater(await self._compare(_close), 0)

    async def test_reset_without_a_response(self) -> None:
        self.assertGreater(await self._compare(_reset), 0)

    async def test_reset_in_the_middle_of_a_response(self) -> None:
        self.assertGreater(await self._compare(_break_off), 0)

    async def test_no_response_in_time(self) -> None:
        self.assertGreater(await self._compare(_stay_silent), 0)

    async def test_rejected_with_back_off(self) -> None:
        await self._compare(_ask_for_back_off)

    async def test_refused_connections_are_no_retries(self) -> None:
        self.assertEqual(await self._compare(_serve, listening=False), 0)
