"""Tests of readiness: a gateway is not ready while its link or its event loop is behind."""

import asyncio
import unittest
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any, cast

from heronladder_router.decisions.cold_limit import ColdLimits
from heronladder_router.decisions.readiness import ReadinessReason, ReadinessView, check_readiness
from heronladder_router.decisions.sender_selection import KnownGateways
from heronladder_router.fleet_replicas import FleetReplicas
from heronladder_router.gateway_readiness import GatewayReadiness
from heronladder_router.placement_settings import PlacementSettings
from heronladder_router.replica_state import RequestProfile
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
_HEARTBEAT_S = 0.3
_LINK_BYTES_PER_S = 5_000_000 / 8
_REQUEST_BYTES = 5_000  # of prompt, response and headers, over the link in each direction
_RESPONSE_S = 0.3


@dataclass
class _SimulatedLink:
    """A gateway's link in virtual time, with the bytes queued on it."""

    queued_bytes: float = 0.0
    behind_since_s: float | None = None
    reported_behind_at_s: float = -1.0
    max_wait_ms: float = 0.0

    @property
    def wait_s(self) -> float:
        return self.queued_bytes / _LINK_BYTES_PER_S


class HotTenantTest(unittest.TestCase):
    """One tenant sends four times its usual rate; all of it goes to one ready gateway."""

    def _simulate(self, limit_ms: float, gateways: int = 12) -> list[_SimulatedLink]:
        links = [_SimulatedLink() for _ in range(gateways)]
        step_s = 0.05
        hot = 0  # the gateway that the tenant's callers use
        for step in range(int(12.0 / step_s)):
            now_s = step * step_s
            hot_per_s = 160.0 if 2.0 <= now_s < 8.0 else 40.0
            # Callers move away from a gateway that is behind after two readiness checks of a load
            # balancer.
            if 0 <= links[hot].reported_behind_at_s < now_s - 0.6:
                ready = [n for n, link in enumerate(links) if link.reported_behind_at_s < 0]
                hot = min(ready, key=lambda n: (n - hot) % gateways) if ready else hot
            for number, link in enumerate(links):
                per_s = 12.0 + (hot_per_s if number == hot else 0.0)
                link.queued_bytes += per_s * step_s * _REQUEST_BYTES
                link.queued_bytes = max(0.0, link.queued_bytes - _LINK_BYTES_PER_S * step_s)
                link.max_wait_ms = max(link.max_wait_ms, link.wait_s * 1000)
            if step % int(_HEARTBEAT_S / step_s) == 0:
                self._heartbeat(links, now_s, hot, hot_per_s, limit_ms)
        return links

    @staticmethod
    def _heartbeat(
        links: list[_SimulatedLink], now_s: float, hot: int, hot_per_s: float, limit_ms: float
    ) -> None:
        in_flight = [
            int((12.0 + (hot_per_s if n == hot else 0.0)) * (_RESPONSE_S + 2 * link.wait_s))
            for n, link in enumerate(links)
        ]
        for number, link in enumerate(links):
            since_s = link.behind_since_s
            decided = check_readiness(
                ReadinessView(
                    limit_ms,
                    2 * link.wait_s * 1000,
                    0.0,
                    in_flight[number],
                    sum(in_flight) - in_flight[number],
                    len(links),
                    None if since_s is None else now_s - since_s,
                )
            )
            if decided.ready:
                link.behind_since_s, link.reported_behind_at_s = None, -1.0
            elif since_s is None:
                link.behind_since_s = link.reported_behind_at_s = now_s

    def test_readiness_limits_the_queue_on_the_busiest_link(self) -> None:
        """Without the readiness check, seconds of traffic queue on one gateway's link."""
        unlimited_ms = max(link.max_wait_ms for link in self._simulate(0.0))
        limited_ms = max(link.max_wait_ms for link in self._simulate(_LIMIT_MS))
        self.assertGreater(unlimited_ms, 1_500)
        self.assertLess(limited_ms, 700)


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


class JudgeReadinessTest(unittest.TestCase):
    def test_fewer_than_half_of_the_gateways_can_be_behind(self) -> None:
        for loads in ([50] * 20, [0] * 19 + [900], [10, 90] * 10, list(range(0, 200, 10))):
            behind = [
                own
                for own in loads
                if not check_readiness(_view(link_ms=9_000, own=own, others=sum(loads) - own)).ready
            ]
            self.assertLess(len(behind), len(loads) / 2)

    def test_no_gateway_is_behind_while_a_new_leader_has_partial_totals(self) -> None:
        """All 20 gateways were behind at once: a new leader had totals of only a few of them."""
        partial = [
            check_readiness(_view(link_ms=9_000, own=50, others=0, heard_s=0.9)) for _ in range(20)
        ]
        self.assertEqual({one.reason for one in partial}, {ReadinessReason.LOAD_UNKNOWN})
        self.assertTrue(all(one.ready for one in partial))
        self.assertFalse(check_readiness(_view(link_ms=9_000, own=50, others=0, heard_s=1.0)).ready)

    def test_loop_lag_counts_like_link_latency(self) -> None:
        self.assertFalse(check_readiness(_view(loop_ms=400)).ready)
        self.assertFalse(check_readiness(_view(link_ms=400)).ready)
        self.assertTrue(check_readiness(_view(link_ms=300)).ready)

    def test_gateway_is_ready_if_it_cannot_compare_its_load(self) -> None:
        self.assertEqual(
            check_readiness(_view(link_ms=900, others=None)).reason, ReadinessReason.LOAD_UNKNOWN
        )
        self.assertEqual(
            check_readiness(_view(link_ms=900, others=0, gateways=1)).reason,
            ReadinessReason.LOAD_UNKNOWN,
        )
        self.assertEqual(
            check_readiness(_view(link_ms=900, own=7, others=0)).reason,
            ReadinessReason.LOAD_IS_SHARED,
        )

    def test_gateway_is_ready_again_below_a_margin_or_after_a_time_limit(self) -> None:
        self.assertFalse(check_readiness(_view(link_ms=200, behind_s=1.0)).ready)
        self.assertTrue(check_readiness(_view(link_ms=149, behind_s=1.0)).ready)
        self.assertEqual(
            check_readiness(_view(link_ms=900, behind_s=4.1)).reason,
            ReadinessReason.UNREADY_TOO_LONG,
        )

    def test_gateway_is_ready_at_least_half_of_the_time(self) -> None:
        """A gateway was behind again 0.3 s after it became ready.

        Being unready for an eighth of the time violates the availability requirement.
        """
        ready_heartbeats, ready_since_s = 0, -100.0
        behind_since_s: float | None = None
        for heartbeat in range(200):
            now_s = heartbeat * _HEARTBEAT_S
            behind_s = None if behind_since_s is None else now_s - behind_since_s
            decided = check_readiness(
                ReadinessView(_LIMIT_MS, 900, 0.0, 100, 100, 20, behind_s, now_s - ready_since_s)
            )
            ready_heartbeats += decided.ready
            if decided.ready and behind_since_s is not None:
                behind_since_s, ready_since_s = None, now_s
            elif not decided.ready and behind_since_s is None:
                behind_since_s = now_s
        self.assertGreater(ready_heartbeats, 90)

    def test_limit_of_zero_disables_the_check(self) -> None:
        self.assertEqual(
            check_readiness(_view(limit_ms=0.0, link_ms=9_000)).reason, ReadinessReason.OFF
        )


class _Clock(Environment):
    now_s = 100.0

    def monotonic(self) -> float:
        return self.now_s


class OtherGatewaysLoadTest(unittest.TestCase):
    """How a gateway derives the load of all other gateways from the totals of control."""

    def _gateway(self, names: list[str]) -> FleetReplicas:
        store = ConfigurationStore("g")
        replicas = FleetReplicas(
            PlacementSettings("z", {}),
            ColdLimits("g", 1.5, 5, lambda: KnownGateways({"g"}, 1)),
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

    def test_totals_that_may_be_truncated_are_not_used(self) -> None:
        """Control reports only the busiest replicas, but a gateway counts all of its own load."""
        names = [f"r{number}" for number in range(MAX_REPORTED_REPLICAS + 40)]
        loads = {name: control_pb2.ReplicaLoad(in_flight=9) for name in names}
        for reported, own, known in (
            (MAX_REPORTED_REPLICAS, 0, False),
            (MAX_REPORTED_REPLICAS - 1, 0, True),
            # Control leaves out replicas that only the gateway itself sends to.
            (MAX_REPORTED_REPLICAS - 4, 4, False),
            (0, MAX_REPORTED_REPLICAS, False),
            (0, MAX_REPORTED_REPLICAS - 1, True),
        ):
            with self.subTest(reported=reported, own=own):
                gateway = self._gateway(names)
                for name in names[reported : reported + own]:
                    replica = next(one for one in gateway.usable("s") if one.name == name)
                    gateway.sent(replica, RequestProfile("s"))
                gateway.loads.update_others({name: loads[name] for name in names[:reported]})
                self.assertEqual(
                    gateway.loads.in_flight_totals(), (own, 9 * reported if known else None)
                )


class NewStreamTest(unittest.TestCase):
    def test_first_totals_of_a_new_stream_do_not_put_a_gateway_behind(self) -> None:
        link = SimpleNamespace(
            round_trip_s=0.9,
            timer_lag_s=0.0,
            membership=SimpleNamespace(connected=20),
            first_frame_s=99.5,
        )
        loads = SimpleNamespace(in_flight_totals=lambda: (100, 0))
        clock = _Clock()
        readiness = GatewayReadiness(
            _LIMIT_MS,
            cast(Any, link),
            cast(Any, loads),
            clock,
            Metrics(),
            EventLog("test", "gateway"),
        )
        readiness.update()
        self.assertFalse(readiness.behind)
        clock.now_s += 0.5
        readiness.update()
        self.assertTrue(readiness.behind)


class SilentControlTest(unittest.TestCase):
    def test_gateway_does_not_stay_behind_while_control_is_silent(self) -> None:
        """Readiness was only recomputed when control responded."""
        link = SimpleNamespace(
            round_trip_s=0.9,
            timer_lag_s=0.0,
            membership=SimpleNamespace(connected=20),
            first_frame_s=0.0,
        )
        loads = SimpleNamespace(in_flight_totals=lambda: (100, 100))
        clock = _Clock()
        readiness = GatewayReadiness(
            _LIMIT_MS,
            cast(Any, link),
            cast(Any, loads),
            clock,
            Metrics(),
            EventLog("test", "gateway"),
        )
        readiness.update()
        self.assertTrue(readiness.behind)
        loads.in_flight_totals = lambda: (100, None)
        clock.now_s += 4.1
        readiness.update()
        self.assertFalse(readiness.behind)


class SocketsTest(unittest.IsolatedAsyncioTestCase):
    """Three gateways; the link of one becomes slow while it has most of the load."""

    async def asyncSetUp(self) -> None:
        self.fleet: Fleet = await start_fleet(
            configuration(1, route("/slow/", kind="unsafe", timeoutMs=20_000))
        )
        self.link = ShapedLink([self.fleet.control_grpc])
        await self.link.start()
        await self.fleet.add_gateway("front-3")
        self.slow_gateway: StartedGateway = await self.fleet.add_gateway("front-2", self.link)
        self.finish_requests = asyncio.Event()

    async def asyncTearDown(self) -> None:
        self.finish_requests.set()
        await self.fleet.stop()
        await self.link.stop()

    async def _ready(self, gateway: StartedGateway) -> bool:
        response = await self.fleet.call(gateway.ready_address, "GET", "/api/readyz")
        return response.status == 200

    async def _until(self, ready: bool) -> None:
        async with asyncio.timeout(10):
            while await self._ready(self.slow_gateway) is not ready:
                await asyncio.sleep(0.05)

    async def test_gateway_that_is_behind_is_not_ready_and_asks_callers_to_reconnect(self) -> None:
        async def hold(replica: StandInReplica, received: Received) -> bytes:
            await self.finish_requests.wait()
            return answer(received)

        await self.fleet.add_replica("i-1", hold, slots=64)
        calls = [
            asyncio.ensure_future(
                self.fleet.request_at(self.slow_gateway.address, "/slow/", Request_Id=f"s{number}")
            )
            for number in range(12)
        ]
        await self._until(True)
        self.link.there.delay_s = 0.5  # delays each heartbeat, as a congested link does
        await self._until(False)
        self.assertTrue(await self._ready(self.fleet.gateways[0]))
        self.finish_requests.set()
        for response in await asyncio.gather(*calls):
            self.assertEqual(response.status, 200)
            self.assertEqual(response.headers.get("Connection"), "close")
        self.link.there.delay_s = 0.0
        await self._until(True)

    async def test_gateway_is_ready_again_after_control_has_gone_silent(self) -> None:
        gateway = self.slow_gateway.daemon.gateway
        assert gateway is not None
        await self._until(True)
        self.link.there.stop()  # cuts the connection to control
        self.link.back.stop()
        heard_s = 0.0
        while heard_s != gateway.link.last_heard_s:  # until messages in transit have arrived
            heard_s = gateway.link.last_heard_s
            await asyncio.sleep(0.2)
        gateway.link.round_trip_s = 0.9
        gateway.readiness._behind_since_s = gateway._environment.monotonic()
        gateway.server.shedding_connections = True
        self.assertFalse(await self._ready(self.slow_gateway))
        gateway.readiness._behind_since_s -= 4.1
        self.assertTrue(await self._ready(self.slow_gateway))


if __name__ == "__main__":
    unittest.main()
