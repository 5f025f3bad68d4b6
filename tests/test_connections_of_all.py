"""What all gateways together open to a replica that accepts few connections.

A service says how many connections a replica of it accepts from all callers together; the replica
resets those beyond. The gateways read the number and went by nothing: each opened as many as it had
requests, idle ones that some kept shut the others out, and callers got 502 for what was never sent:
652 of 996 in six seconds, beside 658 connections that were reset.
"""

import asyncio
import unittest

from fleet_case import FleetCase
from platform_stand_ins import (
    SERVICE,
    Fleet,
    Received,
    StandInReplica,
    answer,
    configuration,
    route,
    start_fleet,
)

_GATEWAYS = 6
_CONNECTIONS = 6
_CALLERS = 18
_WORK_S = 0.1
_SECONDS = 6.0


class _FewConnections(StandInReplica):
    """Resets each connection beyond those that it accepts."""

    def __init__(self) -> None:
        super().__init__("r0", self._work)
        self.open = self.resets = 0

    async def _work(self, _replica: StandInReplica, received: Received) -> bytes:
        await asyncio.sleep(_WORK_S)
        return answer(received)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.open >= _CONNECTIONS:
            self.resets += 1
            writer.transport.abort()
            return
        self.open += 1
        try:
            await super()._serve(reader, writer)
        finally:
            self.open -= 1


class ConnectionsOfAllTest(FleetCase):
    async def test_six_gateways_share_six_connections(self) -> None:
        statuses, replica = await self._played("/safe/", _GATEWAYS)
        self._assert_within(statuses, replica)
        served = statuses.count(200) / _SECONDS
        self.assertGreater(served, 0.9 * _CONNECTIONS / _WORK_S, "what it bears is used")

    async def test_orders_that_may_run_once(self) -> None:
        """Each has a connection of its own, which the replica may hold open for a moment longer."""
        statuses, replica = await self._played("/unsafe/", _GATEWAYS)
        self._assert_within(statuses, replica)
        served = statuses.count(200) / _SECONDS
        self.assertGreater(served, 0.7 * _CONNECTIONS / _WORK_S)

    async def test_orders_beside_repeatable_requests(self) -> None:
        """Connections that are kept for the one leave none to the other unless they are closed."""
        statuses, replica = await self._played("/safe/", _GATEWAYS, "/unsafe/")
        self._assert_within(statuses, replica)
        served = statuses.count(200) / _SECONDS
        self.assertGreater(served, 0.5 * _CONNECTIONS / _WORK_S)

    async def test_three_gateways(self) -> None:
        statuses, replica = await self._played("/safe/", 3)
        self._assert_within(statuses, replica)
        self.assertGreater(statuses.count(200) / _SECONDS, 0.9 * _CONNECTIONS / _WORK_S)

    def _assert_within(self, statuses: list[int], replica: "_FewConnections") -> None:
        offered = replica.connections + replica.resets
        self.assertLess(replica.resets, offered / 20, "under one in twenty is reset")
        self.assertNotIn(502, statuses, "what was not sent is told so")

    async def _played(
        self, path: str, gateways: int, other_path: str = ""
    ) -> tuple[list[int], "_FewConnections"]:
        """Return what callers got, and the replica that they shared."""
        declared = configuration(1, route("/safe/"), route("/unsafe/", kind="unsafe"))
        declared["services"][0]["maxConnections"] = _CONNECTIONS
        fleet = await start_fleet(declared)
        self.addAsyncCleanup(fleet.stop)
        for number in range(1, gateways):
            await fleet.add_gateway(f"front-{number + 1}")
        replica = _FewConnections()
        await replica.start()
        self.addAsyncCleanup(replica.stop)
        await self._register(fleet, replica)
        return await self._ask(fleet, [path, other_path or path]), replica

    async def _register(self, fleet: Fleet, replica: StandInReplica) -> None:
        path = f"/api/Replicas.Heartbeat/{replica.identity}"
        body = replica.heartbeat(service=SERVICE, slots=_CONNECTIONS)
        told = await fleet.call(fleet.control_address, "POST", path, body)
        self.assertEqual(told.status, 200)
        async with asyncio.timeout(5):
            while not all(gateway.knows(replica.identity) for gateway in fleet.gateways):
                await asyncio.sleep(0.02)

    async def _ask(self, fleet: Fleet, paths: list[str]) -> list[int]:
        """Have callers ask one after the other; return the statuses."""
        statuses: list[int] = []
        loop = asyncio.get_running_loop()
        end_s = loop.time() + _SECONDS

        async def caller(number: int) -> None:
            gateway = fleet.gateways[number % len(fleet.gateways)].address
            while loop.time() < end_s:
                named = {"Request_Id": f"c{number}-{len(statuses)}"}
                got = await fleet.request_at(gateway, paths[len(statuses) % 2], **named)
                statuses.append(got.status)
                if got.status != 200:
                    await asyncio.sleep(float(got.headers.get("Retry-After", _WORK_S)))

        await asyncio.gather(*(caller(number) for number in range(_CALLERS)))
        return statuses


if __name__ == "__main__":
    unittest.main()
