"""Retries that replicas receive over real sockets while gateways restart."""

import asyncio
import random
import unittest
from collections import Counter

import aiohttp
from platform_stand_ins import (
    Fleet,
    Received,
    StandInReplica,
    answer,
    configuration,
    route,
    start_fleet,
    start_gateway,
)

_GATEWAYS = 6
_REPLICAS = 4
_PER_S = 30.0
_SECONDS = 9.0  # shorter than the window of the budget
_RESTARTS = 12
_RESTART_INTERVAL_S = 0.6
_REJECTED_FRACTION = 0.9
_RATIO, _SLACK = 0.2, 50  # as in the settings of the stand-ins


class RestartedGatewaysTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.source = random.Random(68)
        self.fleet: Fleet = await start_fleet(configuration(1, route("/safe/", maxAttempts=4)))
        self.addAsyncCleanup(self.fleet.stop)
        for number in range(1, _GATEWAYS):
            await self.fleet.add_gateway(f"front-{number + 1}")
        self.replicas = [
            await self.fleet.add_replica(f"r{number}", self._serve) for number in range(_REPLICAS)
        ]
        self.serving = self.fleet.gateways
        self.asked = 0

    async def _serve(self, replica: StandInReplica, received: Received) -> bytes:
        if self.source.random() < _REJECTED_FRACTION:
            return answer(received, "503 Service Unavailable", Not_Executed="1")
        return answer(received)

    async def _call(self, number: int) -> None:
        address = self.source.choice(self.serving).address
        try:
            await self.fleet.request_at(
                address, "/safe/", Request_Id=f"q{number}", Deadline_Ms="2000"
            )
        except (OSError, aiohttp.ClientError):
            pass  # the gateway was lost with the connection

    async def _call_evenly(self) -> None:
        calls = []
        for number in range(int(_PER_S * _SECONDS)):
            calls.append(asyncio.create_task(self._call(number)))
            self.asked += 1
            await asyncio.sleep(1 / _PER_S)
        await asyncio.gather(*calls)

    async def _restart_in_turn(self) -> None:
        for number in range(_RESTARTS):
            await asyncio.sleep(_RESTART_INTERVAL_S)
            position = number % _GATEWAYS
            await self.serving[position].daemon.abort()
            started = await start_gateway(
                f"front-{position + 1}", self.fleet.control_grpc, self.fleet.control_address
            )
            self.addAsyncCleanup(started.daemon.abort)
            self.serving[position] = started

    async def test_restarted_gateways_send_the_retries_of_their_predecessors_again(self) -> None:
        # Each process took its whole share of the slack, within one window.
        await asyncio.gather(self._call_evenly(), self._restart_in_turn())
        received = Counter(
            one.headers["request-id"] for replica in self.replicas for one in replica.received
        )
        repeated = sum(count - 1 for count in received.values())
        self.assertLessEqual(repeated, _RATIO * self.asked + _SLACK)
