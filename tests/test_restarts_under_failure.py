"""A replica starts again under its id while leaves wait, heartbeats are held up, members are lost.

A deregistration names no start: the member that is asked added the one that it knew. A member that
lagged added an earlier one, so the leader ended nothing and acknowledged all the same; the replica
had left, as it was told, and was sent requests.
"""

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable

import aiohttp
from control_group import ControlGroup
from heronladder_schema.v1 import resources_pb2
from platform_stand_ins import (
    HOST,
    KEY,
    SERVICE,
    Received,
    StandInReplica,
    StartedGateway,
    answer,
    configuration,
    route,
    start_gateway,
)
from replica_calls import tell
from shaped_link import ShapedLink

_ID = "replica-1"
_EARLIER, _LATER = 1_000, 2_000  # starts
_PATIENCE_S = 15.0
_LOOK_S = 0.02
_REQUESTS = 8  # at each gateway


async def _serve(replica: StandInReplica, received: Received) -> bytes:
    return answer(received)


class _Restarts(unittest.IsolatedAsyncioTestCase):
    """Control members, two gateways, one of them over a link, and one replica."""

    members = 1

    async def asyncSetUp(self) -> None:
        self.source = random.Random(1)
        self.group = ControlGroup(self.members)
        self.addAsyncCleanup(self.group.stop)
        await self.group.start()
        self.session = aiohttp.ClientSession(connector=aiohttp.TCPConnector(force_close=True))
        self.addAsyncCleanup(self.session.close)
        await self._until_told("/api/Config.Replace", configuration(1, route("/safe/")))
        self.link = ShapedLink(self.group.grpc)
        await self.link.start()
        self.addAsyncCleanup(self.link.stop)
        self.gateways = [await self._gateway("front-1"), await self._gateway("front-2", self.link)]
        self.first = await self._listening()
        await self._until_told(*self._beat(self.first, _EARLIER))
        await self._until(lambda: self._usable() == [[_EARLIER], [_EARLIER]])

    async def _gateway(self, name: str, link: ShapedLink | None = None) -> StartedGateway:
        addresses = ",".join(self.group.grpc)
        started = await start_gateway(name, addresses, self.group.operators[0], link)
        self.addAsyncCleanup(started.daemon.abort)
        return started

    async def _listening(self) -> StandInReplica:
        replica = StandInReplica(_ID, _serve)
        await replica.start()
        self.addAsyncCleanup(replica.stop)
        return replica

    @staticmethod
    def _beat(
        replica: StandInReplica, born: int, sequence: int = 1, state: str = "ready"
    ) -> tuple[str, object]:
        told = replica.heartbeat(born=born, sequence=sequence, state=state)
        return f"/api/Replicas.Heartbeat/{_ID}", told

    async def _tell(self, path: str, body: object, member: int | None = None) -> int:
        address = self.group.some_operators_address(self.source)
        if member is not None:
            address = self.group.operators[member]
        return await tell(self.session, address, path, body)

    async def _until_told(self, path: str, body: object) -> None:
        async def told() -> bool:
            return await self._tell(path, body) == 200

        await self._until_async(told)

    async def _until(self, holds: Callable[[], bool]) -> None:
        async def asked() -> bool:
            return holds()

        await self._until_async(asked)

    @staticmethod
    async def _until_async(holds: Callable[[], Awaitable[bool]]) -> None:
        async with asyncio.timeout(_PATIENCE_S):
            while not await holds():
                await asyncio.sleep(_LOOK_S)

    def _usable(self) -> list[list[int]]:
        """Return the starts of the replica that each gateway may send to."""
        roles = [gateway.daemon.gateway for gateway in self.gateways]
        return [
            [replica.record.start_ms for replica in role.replicas.usable(SERVICE)]
            for role in roles
            if role is not None
        ]

    async def _statuses(self) -> set[int]:
        """Ask all gateways some times."""
        statuses = set()
        for number in range(_REQUESTS):
            for gateway in self.gateways:
                headers = {
                    "Host": HOST,
                    "Request-Id": f"r-{number}-{gateway.address}",
                    "Authorization": f"Token {KEY}",
                }
                url = f"http://{gateway.address}/safe/"
                async with self.session.post(url, headers=headers, data=b"") as got:
                    statuses.add(got.status)
        return statuses

    async def _check_later_serves(self, later: StandInReplica) -> None:
        await self._until(lambda: self._usable() == [[_LATER], [_LATER]])
        before = len(later.received)
        self.assertEqual(await self._statuses(), {200})
        self.assertEqual(len(later.received) - before, _REQUESTS * len(self.gateways))


class WaitingLeaveTest(_Restarts):
    """The replica starts again while its leave waits for a gateway that hears nothing."""

    async def _restarted(self, path: str, body: object) -> StandInReplica:
        self.link.back.stop()
        leave = asyncio.create_task(self._tell(path, body))
        await asyncio.sleep(0.2)
        self.assertFalse(leave.done(), f"it waits for the gateway: {leave}")
        await self.first.stop()
        later = await self._listening()
        await self._until_told(*self._beat(later, _LATER))
        self.link.back.resume_traffic()
        self.assertIn(await leave, (200, 503))
        return later

    async def test_a_drain_does_not_end_the_later_start(self) -> None:
        later = await self._restarted(*self._beat(self.first, _EARLIER, 2, "draining"))
        await self._until_told(*self._beat(self.first, _EARLIER, 3, "draining"))
        await self._check_later_serves(later)

    async def test_a_deregistration_does_not_end_the_later_start(self) -> None:
        later = await self._restarted(f"/api/Replicas.Deregister/{_ID}", {})
        await self._check_later_serves(later)


class LostMembersTest(_Restarts):
    members = 3

    async def test_heartbeats_that_a_cut_held_up_come_after_the_leader_is_lost(self) -> None:
        """The replica crashes behind a cut and starts again there; all its words come at once."""
        await self.first.stop()
        later = await self._listening()
        held_up = [self._beat(later, _LATER)]
        held_up += [self._beat(self.first, _EARLIER, sequence) for sequence in range(40, 46)]
        held_up.append(self._beat(self.first, _EARLIER, 99, "draining"))
        leader = self.group.leader
        assert leader is not None
        await self.group.end_member(leader, planned=False)
        self.source.shuffle(held_up)
        await asyncio.gather(*(self._until_told(*beat) for beat in held_up))
        await self._check_later_serves(later)

    async def test_a_leave_told_to_a_member_that_lags_is_not_acknowledged_in_vain(self) -> None:
        later = await self._listening()
        await self.first.stop()
        await self._until_told(*self._beat(later, _LATER))
        await self._check_later_serves(later)
        lagging = next(number for number in self.group.running if number != self.group.leader)
        control = self.group.running[lagging].control
        assert control is not None
        fleet = control.state.fleet
        newest = fleet.replica
        old = resources_pb2.Replica(id=_ID, service=SERVICE, start_ms=_EARLIER)
        fleet.replica = lambda identity: old  # type: ignore[method-assign]
        path = f"/api/Replicas.Deregister/{_ID}"
        self.assertEqual(await self._tell(path, {}, lagging), 503)
        self.assertEqual(self._usable(), [[_LATER], [_LATER]])
        fleet.replica = newest  # type: ignore[method-assign]
        self.assertEqual(await self._tell(path, {}, lagging), 200)
        self.assertEqual(self._usable(), [[], []])


if __name__ == "__main__":
    unittest.main()
