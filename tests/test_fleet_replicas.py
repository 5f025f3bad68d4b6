"""Placement by a gateway, and agreement between gateways without communication."""

import random
import unittest

from heronladder_control.replica_loads import ReplicaLoads
from heronladder_router.cached_prompt_parts import parse_prompt_parts
from heronladder_router.decisions.cold_limit import ColdLimits
from heronladder_router.decisions.sender_selection import KnownGateways
from heronladder_router.fleet_replicas import FleetReplicas
from heronladder_router.placement_settings import PlacementSettings
from heronladder_router.replica_state import RequestProfile
from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import REPLICA_KIND, ConfigurationStore
from heronladder_runtime.logs import EventLog
from heronladder_runtime.replica_load_totals import MAX_REPORTED_REPLICAS
from heronladder_schema.v1 import control_pb2, resources_pb2

_SERVICE = "model"
_MEMORY_TOKENS = 500_000


class _Clock(Environment):
    def monotonic(self) -> float:
        return 100.0


def _gateway(zone: str, seed: int) -> FleetReplicas:
    """Return the state of a gateway in a zone, with nine replicas in three zones."""
    configuration = ConfigurationStore("gateway")
    environment = _Clock(random=random.Random(seed))
    cold = ColdLimits("gateway", 1.5, 5, lambda: KnownGateways({"gateway"}, 1))
    where = PlacementSettings(zone, {})
    replicas = FleetReplicas(where, cold, configuration, environment, EventLog("test", "gateway"))
    update = control_pb2.ConfigUpdate(revision=1, snapshot=True)
    service = resources_pb2.ReplicatedService(name=_SERVICE)
    service.engine.cache_tokens = _MEMORY_TOKENS
    fleet = update.events.add(kind="fleet_configuration", name="current")
    fleet.resource.fleet_configuration.services.append(service)
    for number in range(9):
        event = update.events.add(kind=REPLICA_KIND, name=f"replica-{number}")
        event.resource.replica.id = f"replica-{number}"
        event.resource.replica.service = _SERVICE
        event.resource.replica.zone = f"zone-{number % 3}"
    configuration.apply(update)
    return replicas


def _profile(subject: int, request: int, subject_tokens: int = 4_870) -> RequestProfile:
    parts = parse_prompt_parts(f"menu:512,{subject:x}:{subject_tokens},own{request}:6000")
    return RequestProfile(_SERVICE, parts, 6_512 + subject_tokens)


def _send(gateway: FleetReplicas, profile: RequestProfile) -> str:
    """Send a request to the chosen replica and complete it at once."""
    replica = gateway.place(profile, ()).replica
    assert replica is not None
    unread = gateway.sent(replica, profile)
    gateway.record_prompt_read(replica, unread)
    gateway.ended(replica)
    return replica.name


def _set_start_times(gateway: FleetReplicas, start_ms: int) -> None:
    """Set the start time in the records of all replicas."""
    configuration = gateway._configuration
    update = control_pb2.ConfigUpdate(revision=start_ms)
    for record in configuration.replicas():
        event = update.events.add(kind=REPLICA_KIND, name=record.id, revision=start_ms)
        event.resource.replica.CopyFrom(record)
        event.resource.replica.start_ms = start_ms
    configuration.apply(update)


class StartsTest(unittest.TestCase):
    def test_learning_the_start_time_keeps_cached_parts(self) -> None:
        """After a rise of the cluster version, replicas report start times that were unknown."""
        gateway = _gateway("zone-0", 1)
        profile = _profile(1, 1)
        _send(gateway, profile)
        for start_ms, is_kept in ((5, True), (6, False)):  # a different start time is a restart
            _set_start_times(gateway, start_ms)
            kept = [
                one.parts.cached_prefix_tokens(profile.parts) for one in gateway._replicas.values()
            ]
            self.assertEqual(any(kept), is_kept)


class SharedPartsTest(unittest.TestCase):
    def test_gateways_send_a_shared_part_to_one_replica(self) -> None:
        """Gateways that know only the common first part at many replicas choose the same one.

        Otherwise prompts are processed again: once 191,000 of 258,000 tokens at low load.
        """
        first, second = _gateway("zone-0", 1), _gateway("zone-1", 2)
        for request in range(200):  # afterwards each replica caches the first part
            _send(first, _profile(1_000 + request, request))
            _send(second, _profile(2_000 + request, request))
        for subject in range(50):
            profile = _profile(subject, subject)
            self.assertEqual(_send(first, profile), _send(second, profile))

    def test_a_replica_known_to_cache_a_part_is_preferred(self) -> None:
        gateway = _gateway("zone-0", 1)
        expected = _send(gateway, _profile(7, 1))
        gateway.failed(next(r for r in gateway.usable(_SERVICE) if r.name == expected), "test")
        caching = _send(gateway, _profile(7, 2))
        self.assertNotEqual(caching, expected)
        other = _gateway("zone-0", 2)
        other.failed(next(r for r in other.usable(_SERVICE) if r.name == expected), "test")
        self.assertEqual(
            _send(other, _profile(7, 3)), caching
        )  # all gateways fall back to the same replica

    def test_a_small_part_does_not_outweigh_a_long_wait(self) -> None:
        gateway = _gateway("zone-0", 1)
        small = _profile(7, 1, subject_tokens=80)
        expected = _send(gateway, small)
        busy = next(r for r in gateway.usable(_SERVICE) if r.name == expected)
        busy.unread_tokens = 60_000  # takes more than a second to process
        self.assertNotEqual(_send(gateway, _profile(7, 2, subject_tokens=80)), expected)


class SharedLoadTest(unittest.TestCase):
    """A gateway takes the load of other gateways into account.

    If each of 23 gateways knows only its own requests, 14 of 100 streams are late at normal load.
    """

    def setUp(self) -> None:
        self.gateway = _gateway("zone-0", 1)

    def _update_loads(self, **loads: int) -> None:
        reported = {
            name.replace("_", "-"): control_pb2.ReplicaLoad(in_flight=1, unread_tokens=tokens)
            for name, tokens in loads.items()
        }
        self.gateway.loads.update_others(reported)

    def test_a_replica_loaded_by_other_gateways_is_avoided(self) -> None:
        profile = RequestProfile(_SERVICE, parse_prompt_parts("own1:600"), 600)
        busy = {f"replica_{number}": 40_000 for number in range(8)}
        self._update_loads(**busy)
        chosen = [_send(self.gateway, profile) for _ in range(200)]
        # Four of nine replicas are sampled, so the idle one is a candidate in 4 of 9 cases.
        self.assertGreater(chosen.count("replica-8"), 60)
        self.assertLess(chosen.count("replica-8"), 130)  # not every request goes there

    def test_a_loaded_replica_with_cached_parts_is_avoided_if_waiting_costs_more(self) -> None:
        owner = _send(self.gateway, _profile(7, 1))
        self.assertEqual(_send(self.gateway, _profile(7, 2)), owner)
        self._update_loads(**{owner.replace("-", "_"): 60_000})
        self.assertNotEqual(_send(self.gateway, _profile(7, 3)), owner)

    def test_stale_totals_are_not_used(self) -> None:
        owner = _send(self.gateway, _profile(7, 1))
        self._update_loads(**{owner.replace("-", "_"): 60_000})
        self.gateway.loads.updated_s -= 5
        self.assertEqual(_send(self.gateway, _profile(7, 2)), owner)

    def test_a_heartbeat_reports_the_load_of_its_gateway(self) -> None:
        replica = self.gateway.place(
            RequestProfile(_SERVICE, parse_prompt_parts("own1:600"), 600), ()
        ).replica
        assert replica is not None
        self.gateway.sent(replica, RequestProfile(_SERVICE, parse_prompt_parts("own1:600"), 600))
        heartbeat = control_pb2.Heartbeat()
        self.gateway.fill_heartbeat(heartbeat)
        self.assertEqual(list(heartbeat.replica_loads), [replica.name])
        load = heartbeat.replica_loads[replica.name]
        self.assertEqual((load.in_flight, load.unread_tokens), (1, 600))


class LoadTotalsTest(unittest.TestCase):
    def test_each_router_receives_the_total_of_the_others(self) -> None:
        source = random.Random(3)
        totals = ReplicaLoads()
        newest: dict[str, dict[str, tuple[int, int]]] = {}
        for _ in range(300):
            router = source.choice("abcd")
            if source.random() < 0.1:
                totals.forget(router)
                newest.pop(router, None)
                continue
            reported = {
                name: (source.randrange(1, 9), source.randrange(9_000))
                for name in source.sample(["r1", "r2", "r3"], source.randrange(4))
            }
            newest[router] = reported
            totals.observe(
                router,
                {
                    name: control_pb2.ReplicaLoad(in_flight=count, unread_tokens=tokens)
                    for name, (count, tokens) in reported.items()
                },
            )
            frame = control_pb2.ControlFrame()
            totals.fill("a", frame)
            for name in ("r1", "r2", "r3"):
                others = [
                    reported[name]
                    for who, reported in newest.items()
                    if who != "a" and name in reported
                ]
                load = frame.replica_loads.get(name, control_pb2.ReplicaLoad())
                self.assertEqual(load.in_flight, sum(count for count, _ in others))
                self.assertEqual(load.unread_tokens, sum(tokens for _, tokens in others))

    def test_a_report_by_one_of_many_routers_is_forwarded_at_once(self) -> None:
        """Waiting for reports of a quarter of the routers sends requests to loaded replicas."""
        totals = ReplicaLoads()
        for router in range(40):
            totals.observe(f"g{router}", {"r0": control_pb2.ReplicaLoad(in_flight=1)})
        totals.fill("g0", control_pb2.ControlFrame())
        totals.observe("g1", {"r1": control_pb2.ReplicaLoad(in_flight=7)})
        frame = control_pb2.ControlFrame()
        totals.fill("g0", frame)
        self.assertEqual(frame.replica_loads["r1"].in_flight, 7)

    def test_only_the_busiest_replicas_are_included(self) -> None:
        totals = ReplicaLoads()
        reported = {
            f"r{n}": control_pb2.ReplicaLoad(in_flight=n + 1)
            for n in range(MAX_REPORTED_REPLICAS + 9)
        }
        totals.observe("a", reported)
        frame = control_pb2.ControlFrame()
        totals.fill("b", frame)
        self.assertEqual(len(frame.replica_loads), MAX_REPORTED_REPLICAS)
        self.assertNotIn("r0", frame.replica_loads)


if __name__ == "__main__":
    unittest.main()
