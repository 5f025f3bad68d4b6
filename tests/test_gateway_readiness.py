"""A gateway that is not ready while its link or its loop is behind."""

import asyncio
import unittest
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any, cast

from heronladder_router.decisions.cold_limit import ColdLimits
from heronladder_router.decisions.few_senders import GatewaysKnown
from heronladder_router.decisions.readiness import ReadinessView, Standing, judge_readiness
from heronladder_router.fleet_replicas import FleetReplicas
from heronladder_router.gateway_readiness import GatewayReadiness
from heronladder_router.replica_state import RequestProfile
from heronladder_router.surroundings import Surroundings
from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import REPLICA_KIND, ConfigurationStore
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics
from heronladder_runtime.replica_load_totals import MAX_REPORTED_REPLICAS
from heronladder_schema.v1 import control_pb2, resources_pb2
from platform_stand_ins import (
    Fleet,
    Received,
    StandInReplica,
    StartedGateway,
    answer,
    configuration,
    route,
    start_fleet,
)
from shaped_link import ShapedLink

_LIMIT_MS = 300.0
_BEAT_S = 0.3
_LINK_BYTES_PER_S = 5_000_000 / 8
_REQUEST_BYTES = 5_000  # over the link each way: prompt, answer, heads (of one played day)
_ANSWER_S = 0.3


@dataclass
class _Link:
    """A gateway's link in virtual time: what waits on it, and what it has under way."""

    waiting_bytes: float = 0.0
    behind_since_s: float | None = None
    told_behind_at_s: float = -1.0
    longest_ms: float = 0.0

    @property
    def wait_s(self) -> float:
        return self.waiting_bytes / _LINK_BYTES_PER_S


class HotTenantTest(unittest.TestCase):
    """One tenant sends four times its usual; the platform sends it to one ready gateway."""

    def _play(self, limit_ms: float, gateways: int = 12) -> list[_Link]:
        links = [_Link() for _ in range(gateways)]
        step_s = 0.05
        kept = 0  # the gateway that the tenant's callers keep to
        for step in range(int(12.0 / step_s)):
            now_s = step * step_s
            hot_per_s = 160.0 if 2.0 <= now_s < 8.0 else 40.0
            # Callers hear of a gateway that is behind after two questions of a balancer.
            if 0 <= links[kept].told_behind_at_s < now_s - 0.6:
                free = [n for n, link in enumerate(links) if link.told_behind_at_s < 0]
                kept = min(free, key=lambda n: (n - kept) % gateways) if free else kept
            for number, link in enumerate(links):
                per_s = 12.0 + (hot_per_s if number == kept else 0.0)
                link.waiting_bytes += per_s * step_s * _REQUEST_BYTES
                link.waiting_bytes = max(0.0, link.waiting_bytes - _LINK_BYTES_PER_S * step_s)
                link.longest_ms = max(link.longest_ms, link.wait_s * 1000)
            if step % int(_BEAT_S / step_s) == 0:
                self._beat(links, now_s, kept, hot_per_s, limit_ms)
        return links

    @staticmethod
    def _beat(
        links: list[_Link], now_s: float, kept: int, hot_per_s: float, limit_ms: float
    ) -> None:
        under_way = [
            int((12.0 + (hot_per_s if n == kept else 0.0)) * (_ANSWER_S + 2 * link.wait_s))
            for n, link in enumerate(links)
        ]
        for number, link in enumerate(links):
            since_s = link.behind_since_s
            decided = judge_readiness(
                ReadinessView(
                    limit_ms,
                    2 * link.wait_s * 1000,
                    0.0,
                    under_way[number],
                    sum(under_way) - under_way[number],
                    len(links),
                    None if since_s is None else now_s - since_s,
                )
            )
            if decided.ready:
                link.behind_since_s, link.told_behind_at_s = None, -1.0
            elif since_s is None:
                link.behind_since_s = link.told_behind_at_s = now_s

    def test_no_link_is_as_full_as_where_a_gateway_is_always_ready(self) -> None:
        """Always ready, the one gateway's link holds seconds of what came."""
        always = max(link.longest_ms for link in self._play(0.0))
        decided = max(link.longest_ms for link in self._play(_LIMIT_MS))
        self.assertGreater(always, 1_500)
        self.assertLess(decided, 700)


def _view(
    *,
    limit_ms: float = _LIMIT_MS,
    link_ms: float = 0.0,
    loop_ms: float = 0.0,
    own: int = 100,
    others: int | None = 100,
    gateways: int = 20,
    behind_s: float | None = None,
    heard_s: float = 60.0,
) -> ReadinessView:
    return ReadinessView(
        limit_ms, link_ms, loop_ms, own, others, gateways, behind_s, heard_s=heard_s
    )


class TakeTest(unittest.TestCase):
    def test_fewer_than_half_can_be_behind_whatever_they_have(self) -> None:
        for loads in ([50] * 20, [0] * 19 + [900], [10, 90] * 10, list(range(0, 200, 10))):
            behind = [
                own
                for own in loads
                if not judge_readiness(_view(link_ms=9_000, own=own, others=sum(loads) - own)).ready
            ]
            self.assertLess(len(behind), len(loads) / 2)

    def test_fewer_than_half_can_be_behind_while_a_new_leader_has_parts_of_the_sums(self) -> None:
        """All 20 were: each of them heard of few others at a leader that had just begun."""
        partial = [
            judge_readiness(_view(link_ms=9_000, own=50, others=0, heard_s=0.9)) for _ in range(20)
        ]
        self.assertEqual({one.standing for one in partial}, {Standing.UNKNOWN})
        self.assertTrue(all(one.ready for one in partial))
        self.assertFalse(judge_readiness(_view(link_ms=9_000, own=50, others=0, heard_s=1.0)).ready)

    def test_a_late_loop_counts_as_a_full_link_does(self) -> None:
        self.assertFalse(judge_readiness(_view(loop_ms=400)).ready)
        self.assertFalse(judge_readiness(_view(link_ms=400)).ready)
        self.assertTrue(judge_readiness(_view(link_ms=300)).ready)

    def test_it_is_ready_where_it_cannot_compare_itself(self) -> None:
        self.assertEqual(
            judge_readiness(_view(link_ms=900, others=None)).standing, Standing.UNKNOWN
        )
        self.assertEqual(
            judge_readiness(_view(link_ms=900, others=0, gateways=1)).standing, Standing.UNKNOWN
        )
        self.assertEqual(
            judge_readiness(_view(link_ms=900, own=7, others=0)).standing, Standing.SHARED
        )

    def test_it_comes_back_with_a_margin_or_after_a_while(self) -> None:
        self.assertFalse(judge_readiness(_view(link_ms=200, behind_s=1.0)).ready)
        self.assertTrue(judge_readiness(_view(link_ms=149, behind_s=1.0)).ready)
        self.assertEqual(
            judge_readiness(_view(link_ms=900, behind_s=4.1)).standing, Standing.LONG_ENOUGH
        )

    def test_it_is_ready_for_half_of_the_time_whatever_its_times_say(self) -> None:
        """An eighth of all time unready is a duty missed; it was behind again after 0.3 s."""
        ready_beats, ready_since_s = 0, -100.0
        behind_since_s: float | None = None
        for beat in range(200):
            now_s = beat * _BEAT_S
            behind_s = None if behind_since_s is None else now_s - behind_since_s
            decided = judge_readiness(
                ReadinessView(_LIMIT_MS, 900, 0.0, 100, 100, 20, behind_s, now_s - ready_since_s)
            )
            ready_beats += decided.ready
            if decided.ready and behind_since_s is not None:
                behind_since_s, ready_since_s = None, now_s
            elif not decided.ready and behind_since_s is None:
                behind_since_s = now_s
        self.assertGreater(ready_beats, 90)

    def test_it_can_be_turned_off(self) -> None:
        self.assertEqual(judge_readiness(_view(limit_ms=0.0, link_ms=9_000)).standing, Standing.OFF)


class _Clock(Environment):
    now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


class LoadsHeardTest(unittest.TestCase):
    """What a gateway takes for the load of all others."""

    def _gateway(self, names: list[str]) -> FleetReplicas:
        store = ConfigurationStore("g")
        replicas = FleetReplicas(
            Surroundings("z", {}),
            ColdLimits("g", 1.5, 5, lambda: GatewaysKnown({"g"}, 1)),
            store,
            _Clock(),
            EventLog("test", "g"),
        )
        update = control_pb2.ConfigUpdate(revision=1, snapshot=True)
        for name in names:
            event = update.events.add(kind=REPLICA_KIND, name=name)
            event.resource.replica.CopyFrom(resources_pb2.Replica(id=name, service="s", zone="z"))
        store.apply(update)
        return replicas

    def test_sums_that_may_be_cut_are_not_compared_with(self) -> None:
        """Only the busiest are told, but a gateway counts all of its own."""
        names = [f"r{number}" for number in range(MAX_REPORTED_REPLICAS + 40)]
        busy = {name: control_pb2.ReplicaLoad(in_flight=9) for name in names}
        for told, own, known in (
            (MAX_REPORTED_REPLICAS, 0, False),
            (MAX_REPORTED_REPLICAS - 1, 0, True),
            (
                MAX_REPORTED_REPLICAS - 4,
                4,
                False,
            ),  # control does not tell a gateway of its own alone
            (0, MAX_REPORTED_REPLICAS, False),
            (0, MAX_REPORTED_REPLICAS - 1, True),
        ):
            with self.subTest(told=told, own=own):
                gateway = self._gateway(names)
                for name in names[told : told + own]:
                    replica = next(one for one in gateway.usable("s") if one.name == name)
                    gateway.sent(replica, RequestProfile("s"))
                gateway.loads.update_others({name: busy[name] for name in names[:told]})
                self.assertEqual(gateway.loads.under_way(), (own, 9 * told if known else None))


class NewStreamTest(unittest.TestCase):
    def test_a_gateway_is_not_behind_by_the_first_sums_of_a_new_stream(self) -> None:
        link = SimpleNamespace(round_trip_s=0.9, timer_lag_s=0.0, routers=20, first_frame_s=99.5)
        loads = SimpleNamespace(under_way=lambda: (100, 0))
        clock = _Clock()
        taking = GatewayReadiness(
            _LIMIT_MS,
            cast(Any, link),
            cast(Any, loads),
            clock,
            Metrics(),
            EventLog("test", "gateway"),
        )
        taking.look()
        self.assertFalse(taking.behind)
        clock.now_s += 0.5
        taking.look()
        self.assertTrue(taking.behind)


class SilentControlTest(unittest.TestCase):
    def test_a_gateway_is_not_behind_for_ever_while_control_is_silent(self) -> None:
        """Nothing but the answers of control had it look again."""
        link = SimpleNamespace(round_trip_s=0.9, timer_lag_s=0.0, routers=20, first_frame_s=0.0)
        loads = SimpleNamespace(under_way=lambda: (100, 100))
        clock = _Clock()
        taking = GatewayReadiness(
            _LIMIT_MS,
            cast(Any, link),
            cast(Any, loads),
            clock,
            Metrics(),
            EventLog("test", "gateway"),
        )
        taking.look()
        self.assertTrue(taking.behind)
        loads.under_way = lambda: (100, None)
        clock.now_s += 4.1
        taking.look()
        self.assertFalse(taking.behind)


class SocketsTest(unittest.IsolatedAsyncioTestCase):
    """Three gateways; the link of one turns slow while it has most of the work."""

    async def asyncSetUp(self) -> None:
        self.fleet: Fleet = await start_fleet(
            configuration(1, route("/slow/", kind="unsafe", timeoutMs=20_000))
        )
        self.link = ShapedLink([self.fleet.control_grpc])
        await self.link.start()
        await self.fleet.add_gateway("front-3")
        self.busy: StartedGateway = await self.fleet.add_gateway("front-2", self.link)
        self.go_on = asyncio.Event()

    async def asyncTearDown(self) -> None:
        self.go_on.set()
        await self.fleet.stop()
        await self.link.stop()

    async def _ready(self, gateway: StartedGateway) -> bool:
        got = await self.fleet.call(gateway.ready_address, "GET", "/api/readyz")
        return got.status == 200

    async def _until(self, ready: bool) -> None:
        async with asyncio.timeout(10):
            while await self._ready(self.busy) is not ready:
                await asyncio.sleep(0.05)

    async def test_it_says_so_and_asks_callers_to_connect_anew(self) -> None:
        async def hold(replica: StandInReplica, received: Received) -> bytes:
            await self.go_on.wait()
            return answer(received)

        await self.fleet.add_replica("i-1", hold, slots=64)
        calls = [
            asyncio.ensure_future(
                self.fleet.request_at(self.busy.address, "/slow/", Request_Id=f"s{number}")
            )
            for number in range(12)
        ]
        await self._until(True)
        self.link.there.delay_s = 0.5  # each heartbeat waits so long, as on a full link
        await self._until(False)
        self.assertTrue(await self._ready(self.fleet.gateways[0]))
        self.go_on.set()
        for got in await asyncio.gather(*calls):
            self.assertEqual(got.status, 200)
            self.assertEqual(got.headers.get("Connection"), "close")
        self.link.there.delay_s = 0.0
        await self._until(True)

    async def test_it_is_ready_again_also_where_control_has_gone_silent(self) -> None:
        gateway = self.busy.daemon.gateway
        assert gateway is not None
        await self._until(True)
        self.link.there.stop()  # nothing of control comes any more
        self.link.back.stop()
        heard_s = 0.0
        while heard_s != gateway.link.last_heard_s:  # what was on its way has come
            heard_s = gateway.link.last_heard_s
            await asyncio.sleep(0.2)
        gateway.link.round_trip_s = 0.9
        gateway.readiness._behind_since_s = gateway._environment.monotonic()
        gateway.server.moving = True
        self.assertFalse(await self._ready(self.busy))
        gateway.readiness._behind_since_s -= 4.1
        self.assertTrue(await self._ready(self.busy))


if __name__ == "__main__":
    unittest.main()
