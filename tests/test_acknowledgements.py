"""What control acknowledges holds at every gateway that is in touch, over thin links too."""

import asyncio
import json
import logging
import math
import random
import unittest
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from fleet_case import FleetCase
from heronladder_platform.configuration import read_configuration
from heronladder_runtime.config_packing import pack, without_source_document
from heronladder_runtime.configuration import FLEET_KIND, FLEET_NAME
from heronladder_schema.v1 import control_pb2
from platform_stand_ins import (
    SERVICE,
    Answer,
    Fleet,
    Received,
    StandInReplica,
    StartedGateway,
    answer,
    configuration,
    route,
    start_fleet,
)
from shaped_link import LinkDirection, ShapedLink

_ROUTES = 2_400
_NAME_BYTES = 60  # of each route's name, at random: packing does not shorten them
_UPDATE_S = 5.0  # that a whole configuration takes on the thin link
_LONG_UPDATE_S = 20.0
_ACKNOWLEDGED_S = 4.0  # the shortest time in which the users want an acknowledgement
_GRACE_S = 2.5  # after an acknowledgement, until which a gateway may serve by older state
_WATCH_S = 2.0  # watched beyond that
_POLL_S = 0.05
_OPERATOR_PATIENCE_S = 12.0
_OPERATOR_PAUSE_S = 0.2
_RESTORED_S = 5.0  # within which all is in use once the link is whole again
_UNDER_WAY_S = 0.4  # by then the update is on its way, and not through
_FIRST_CAME_S = 2.0  # reading the update stops all daemons of the process for 0.3 s and more
_SILENCE_S = 3.0
_KNOWN, _ADDED = "/known/", "/added/"
_SLOW = "front-slow"
_STAYS, _DRAINED = "stays", "drained"


@dataclass(frozen=True)
class _Seen:
    """How one request of the watch fared."""

    gateway: str
    sent_s: float
    status: int
    retry_after: str

    @property
    def by_newest_state(self) -> bool:
        """Whether it was served, or refused in a way that a caller can make good."""
        return self.status == 200 or (self.status == 503 and self.retry_after != "")


class _Watch:
    """Asks each gateway for a route again and again, without waiting for answers.

    Args:
        fleet: Whose gateways.
        path: What is asked for.
    """

    def __init__(self, fleet: Fleet, path: str) -> None:
        self.seen: list[_Seen] = []
        self._fleet = fleet
        self._path = path
        self._asking: set[asyncio.Task[None]] = set()
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        number = 0
        while True:
            for gateway in self._fleet.gateways:
                number += 1
                task = asyncio.create_task(self._ask(gateway, number))
                self._asking.add(task)
                task.add_done_callback(self._asking.discard)
            await asyncio.sleep(_POLL_S)

    async def _ask(self, gateway: StartedGateway, number: int) -> None:
        sent_s = _now_s()
        name = gateway.daemon.settings.common.name
        request_id = f"{name}/{number}"
        got = await self._fleet.request_at(gateway.address, self._path, Request_Id=request_id)
        self.seen.append(_Seen(name, sent_s, got.status, got.headers.get("Retry-After", "")))

    async def stop(self) -> None:
        """Ask no more; requests under way end first."""
        self._task.cancel()
        await asyncio.gather(self._task, *self._asking, return_exceptions=True)

    def by_older_state(self, since_s: float) -> list[_Seen]:
        """Return the requests sent since then that were neither served nor put off."""
        return [seen for seen in self.seen if seen.sent_s >= since_s and not seen.by_newest_state]

    def told(self, acknowledged_s: float) -> str:
        """Return the statuses by gateway, and when each was last seen."""
        found = Counter((seen.gateway, seen.status) for seen in self.seen)
        last = {(seen.gateway, seen.status): seen.sent_s - acknowledged_s for seen in self.seen}
        return "; ".join(
            f"{name}: {count} x {status}, last {last[name, status]:.2f} s after it"
            for (name, status), count in sorted(found.items())
        )


class _Losses(logging.Handler):
    """Notes when a daemon gave its stream to control up."""

    def __init__(self, daemon: str) -> None:
        super().__init__(logging.INFO)
        self.lost_s: list[float] = []
        self._mark = f"event=control_lost daemon={daemon} "

    def emit(self, record: logging.LogRecord) -> None:
        if record.getMessage().startswith(self._mark):
            self.lost_s.append(_now_s())


def _now_s() -> float:
    return asyncio.get_running_loop().time()


def _large_configuration(version: int, *routes: dict[str, Any]) -> dict[str, Any]:
    """Return a configuration of many routes besides."""
    source = random.Random(1)
    many = [
        route(f"/{number:x}/", name=source.randbytes(_NAME_BYTES).hex())
        for number in range(_ROUTES)
    ]
    return configuration(version, *routes, *many)


def _update_bytes(document: dict[str, Any]) -> int:
    """Return the size of a configuration on its way to a gateway."""
    event = control_pb2.ConfigEvent(kind=FLEET_KIND, name=FLEET_NAME)
    read = read_configuration(json.dumps(document).encode())
    event.resource.fleet_configuration.CopyFrom(read)
    return pack(control_pb2.ConfigUpdate(events=[without_source_document(event)])).ByteSize()


async def _acknowledged(ask: Callable[[], Any]) -> float | None:
    """Ask until it is acknowledged; return when it was, or None when patience ends."""
    until_s = _now_s() + _OPERATOR_PATIENCE_S
    while _now_s() < until_s:
        got: Answer = await ask()
        if got.status == 200:
            return _now_s()
        if got.status != 503:
            raise AssertionError(got)
        await asyncio.sleep(_OPERATOR_PAUSE_S)
    return None


class _ShapedFleet(FleetCase):
    """Three gateways; one reaches control over a link that a test shapes."""

    def setUp(self) -> None:
        self.first = configuration(1, route(_KNOWN))
        self.second = configuration(2, route(_KNOWN), route(_ADDED))

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.fleet = await start_fleet(self.first)
        self.addAsyncCleanup(self.fleet.stop)
        self.link = ShapedLink([self.fleet.control_grpc])
        await self.link.start()
        self.addAsyncCleanup(self.link.stop)
        await self.fleet.add_gateway("front-2")
        self.slow = await self.fleet.add_gateway(_SLOW, self.link)
        self.came: list[tuple[str, str, float]] = []  # replica, gateway, and when it came
        for identity in (_STAYS, _DRAINED):
            await self.fleet.add_replica(identity, self._answer)
        await self._settled()
        self.link.back.passed_bytes = 0
        self.losses = self._watch_losses()

    async def _settled(self) -> None:
        """Wait until all that was set up is in force."""
        assert self.fleet.control.control is not None
        state = self.fleet.control.control.state
        async with asyncio.timeout(_RESTORED_S):
            while state.in_force_revision < state.resources.revision:
                await asyncio.sleep(_POLL_S)

    def _watch_losses(self) -> _Losses:
        logger = logging.getLogger("heronladder.control_link")
        losses, level = _Losses(_SLOW), logger.level
        logger.addHandler(losses)
        logger.setLevel(logging.INFO)
        self.addCleanup(logger.setLevel, level)
        self.addCleanup(logger.removeHandler, losses)
        return losses

    async def _answer(self, replica: StandInReplica, received: Received) -> bytes:
        gateway = received.headers["request-id"].partition("/")[0]
        self.came.append((replica.identity, gateway, _now_s()))
        return answer(received)

    def _watch(self, path: str) -> _Watch:
        watch = _Watch(self.fleet, path)
        self.addAsyncCleanup(watch.stop)
        return watch

    async def _replace(self) -> Answer:
        return await self.fleet.replace(self.second)

    async def _served(self, path: str) -> bool:
        """Whether the slow gateway serves a path before patience with a whole link ends."""
        until_s = _now_s() + _RESTORED_S
        while _now_s() < until_s:
            if (await self.fleet.request_at(self.slow.address, path)).status == 200:
                return True
            await asyncio.sleep(_POLL_S)
        return False

    def _told(self, watch: _Watch, began_s: float, acknowledged_s: float) -> str:
        lost = [f"{lost_s - began_s:.2f}" for lost_s in self.losses.lost_s]
        return (
            f"acknowledged {acknowledged_s - began_s:.2f} s after the start; "
            f"{watch.told(acknowledged_s)}; stream given up at {lost} s after the start; "
            f"{self.link.back.passed_bytes} bytes passed at {self.link.back.bytes_per_s:.0f} a s"
        )

    async def _drain(self) -> Answer:
        drained = next(replica for replica in self.fleet.replicas if replica.identity == _DRAINED)
        told = drained.heartbeat(state="draining", sequence=2)
        path = f"/api/Replicas.Heartbeat/{_DRAINED}"
        return await self.fleet.call(self.fleet.control_address, "POST", path, told)

    def _came_to_drained(self, since_s: float) -> list[tuple[str, float]]:
        """Return who sent requests to the drained replica from a time on, and when they came."""
        return [
            (gateway, came_s)
            for identity, gateway, came_s in self.came
            if identity == _DRAINED and came_s >= since_s
        ]

    def _told_drained(self, acknowledged_s: float | None) -> str:
        since_s = acknowledged_s or _now_s()
        came = self._came_to_drained(since_s)
        senders = Counter(gateway for gateway, _ in came)
        last = f", the last {came[-1][1] - since_s:.2f} s after it" if came else ""
        return f"sent to the drained replica after its acknowledgement: {dict(senders)}{last}"

    async def _drain_known(self) -> bool:
        """Whether the slow gateway leaves the drained replica out, before patience ends."""
        assert self.slow.daemon.gateway is not None
        replicas = self.slow.daemon.gateway.replicas
        until_s = _now_s() + _RESTORED_S
        while _now_s() < until_s:
            if [replica.name for replica in replicas.usable(SERVICE)] == [_STAYS]:
                return True
            await asyncio.sleep(_POLL_S)
        return False


class ThinLinkTest(_ShapedFleet):
    """A whole configuration takes five seconds to one gateway; what it says comes at once."""

    def setUp(self) -> None:
        # Made before there is an event loop, which they would hold up.
        self.first = _large_configuration(1, route(_KNOWN))
        self.second = _large_configuration(2, route(_KNOWN), route(_ADDED))
        self.update_bytes = _update_bytes(self.second)

    def _make_thin(self) -> LinkDirection:
        back = self.link.back
        back.bytes_per_s = self.update_bytes / _UPDATE_S
        return back

    async def test_an_acknowledged_route_is_known_behind_a_thin_link(self) -> None:
        """A gateway answers 404 for a route whose version the operator saw acknowledged.

        A version that adds a route goes to three gateways. To one of them a whole
        configuration takes five seconds. Its lease runs out at control, which counts it
        no more and acknowledges, while the gateway goes on serving by what it has.
        """
        back = self._make_thin()
        watch = self._watch(_ADDED)
        began_s = _now_s()
        acknowledged_s = await _acknowledged(self._replace)
        late: list[_Seen] = []
        if acknowledged_s is not None:
            await asyncio.sleep(_GRACE_S + _WATCH_S)
            late = watch.by_older_state(acknowledged_s + _GRACE_S)
        told = self._told(watch, began_s, acknowledged_s or _now_s())
        self.assertLess((acknowledged_s or math.inf) - began_s, _ACKNOWLEDGED_S, told)
        back.bytes_per_s = math.inf
        self.assertTrue(await self._served(_ADDED), f"not served on the whole link: {told}")
        self.assertIsNotNone(await _acknowledged(self._replace), told)
        self.assertEqual(len(late), 0, told)

    async def test_a_thin_link_holds_no_change_up_for_long(self) -> None:
        """One slow gateway kept all changes from being acknowledged.

        A whole configuration takes it 20 s. It is told to hold, but the order waited in
        the queue behind the parts of the update, and came with the last of them.
        """
        document = _large_configuration(2, route(_KNOWN), route(_ADDED))
        back = self.link.back
        back.bytes_per_s = _update_bytes(document) / _LONG_UPDATE_S
        watch = self._watch(_KNOWN)
        began_s = _now_s()
        acknowledged_s = await _acknowledged(lambda: self.fleet.replace(document))
        assert acknowledged_s is not None
        self.assertLess(acknowledged_s - began_s, _ACKNOWLEDGED_S)
        await asyncio.sleep(_POLL_S)
        since_s = _now_s()
        await asyncio.sleep(1.0)
        told = self._told(watch, began_s, acknowledged_s)
        statuses = {seen.status for seen in watch.seen if seen.gateway == _SLOW}
        held = {
            seen.status for seen in watch.seen if seen.gateway == _SLOW and seen.sent_s >= since_s
        }
        self.assertEqual(statuses, {200, 503}, told)
        self.assertEqual(held, {503}, told)
        self.assertEqual(self.losses.lost_s, [], told)
        back.bytes_per_s = math.inf
        self.assertTrue(await self._served(_ADDED), f"not served on the whole link: {told}")

    async def test_a_drained_replica_gets_nothing_behind_a_thin_link(self) -> None:
        """A replica whose drain was acknowledged still gets requests from a gateway.

        A whole configuration is on its way to a gateway, five seconds long; a replica
        says that it drains, and the news waits behind it. The gateway's lease runs out at
        control, which acknowledges, while the gateway goes on sending by what it has.
        """
        back = self._make_thin()
        watch = self._watch(_KNOWN)
        began_s = _now_s()
        version = asyncio.create_task(_acknowledged(self._replace))
        await asyncio.sleep(_UNDER_WAY_S)
        while not self._came_to_drained(began_s) and _now_s() < began_s + _FIRST_CAME_S:
            await asyncio.sleep(_POLL_S)
        self.assertTrue(self._came_to_drained(began_s), "it gets requests before it drains")
        assert self.slow.daemon.gateway is not None
        self.assertEqual(self.slow.daemon.gateway.routes.version, 1, "the update is through")
        acknowledged_s = await _acknowledged(self._drain)
        late: list[tuple[str, float]] = []
        if acknowledged_s is not None:
            await asyncio.sleep(_GRACE_S + _WATCH_S)
            late = self._came_to_drained(acknowledged_s + _GRACE_S)
        told = self._told(watch, began_s, acknowledged_s or _now_s())
        back.bytes_per_s = math.inf
        self.assertIsNotNone(await version, "the version is not acknowledged on the whole link")
        self.assertTrue(await self._served(_ADDED), f"not served on the whole link: {told}")
        self.assertTrue(await self._drain_known(), f"drain not known on the whole link: {told}")
        self.assertIsNotNone(await _acknowledged(self._drain), told)
        self.assertEqual(len(late), 0, f"{told}; {self._told_drained(acknowledged_s)}")


class SilentLinkTest(_ShapedFleet):
    """Nothing comes from control to one gateway for a while; what it says comes at once."""

    async def test_what_was_acknowledged_in_a_silence_holds_soon_after_it(self) -> None:
        """A gateway serves by older state long after its link from control came back.

        For three seconds nothing gets through from control to a gateway, while all the
        gateway says gets through. A version and a drain are acknowledged meanwhile. From
        2.5 s after the silence on the gateway must serve by both, or refuse for a moment.
        """
        watch = self._watch(_ADDED)
        began_s = _now_s()
        self.link.back.stop()
        asking = asyncio.gather(_acknowledged(self._replace), _acknowledged(self._drain))
        await asyncio.sleep(_SILENCE_S)
        self.link.back.resume_traffic()
        let_go_s = _now_s()
        acknowledged_s = max(done_s or math.inf for done_s in await asking)
        self.assertLess(acknowledged_s, math.inf, "not acknowledged on the whole link")
        since_s = max(acknowledged_s, let_go_s) + _GRACE_S
        await asyncio.sleep(since_s + _WATCH_S - _now_s())
        told = (
            f"let go {let_go_s - began_s:.2f} s after the start; "
            f"{self._told(watch, began_s, acknowledged_s)}; {self._told_drained(acknowledged_s)}"
        )
        self.assertTrue(await self._served(_ADDED), f"not served on the whole link: {told}")
        self.assertEqual(len(watch.by_older_state(since_s)), 0, told)
        self.assertEqual(len(self._came_to_drained(since_s)), 0, told)


if __name__ == "__main__":
    unittest.main()
