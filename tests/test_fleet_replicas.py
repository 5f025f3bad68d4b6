"""Which replica a gateway chooses, and that gateways agree without asking each other."""

import random
import unittest

from heronladder_control.replica_loads import ReplicaLoads
from heronladder_router.decisions.cold_limit import ColdLimits
from heronladder_router.decisions.few_senders import GatewaysKnown
from heronladder_router.fleet_replicas import FleetReplicas
from heronladder_router.kept_parts import parse_parts
from heronladder_router.replica_state import RequestProfile
from heronladder_router.surroundings import Surroundings
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
    """Return what a gateway of a zone knows: nine replicas over three zones."""
    configuration = ConfigurationStore("gateway")
    environment = _Clock(random=random.Random(seed))
    cold = ColdLimits("gateway", 1.5, 5, lambda: GatewaysKnown({"gateway"}, 1))
    where = Surroundings(zone, {})
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


def _plan(subject: int, request: int, subject_tokens: int = 4_870) -> RequestProfile:
    parts = parse_parts(f"menu:512,{subject:x}:{subject_tokens},own{request}:6000")
    return RequestProfile(_SERVICE, parts, 6_512 + subject_tokens)


def _send(gateway: FleetReplicas, profile: RequestProfile) -> str:
    """Choose a replica and have it finish at once."""
    replica = gateway.place(profile, ()).replica
    assert replica is not None
    unread = gateway.sent(replica, profile)
    gateway.began(replica, unread)
    gateway.ended(replica)
    return replica.name


def _learn_starts(gateway: FleetReplicas, start_ms: int) -> None:
    """Have all replicas' records tell when they started."""
    configuration = gateway._configuration
    update = control_pb2.ConfigUpdate(revision=start_ms)
    for record in configuration.replicas():
        event = update.events.add(kind=REPLICA_KIND, name=record.id, revision=start_ms)
        event.resource.replica.CopyFrom(record)
        event.resource.replica.start_ms = start_ms
    configuration.apply(update)


class StartsTest(unittest.TestCase):
    def test_a_replica_whose_start_becomes_known_keeps_what_it_holds(self) -> None:
        """A release raises the cluster version: all replicas tell starts that were not known."""
        gateway = _gateway("zone-0", 1)
        profile = _plan(1, 1)
        _send(gateway, profile)
        for start_ms, is_kept in ((5, True), (6, False)):  # with 6 all have started again
            _learn_starts(gateway, start_ms)
            kept = [one.parts.kept_tokens(profile.parts) for one in gateway._replicas.values()]
            self.assertEqual(any(kept), is_kept)


class SharedPartsTest(unittest.TestCase):
    def test_gateways_send_a_shared_part_to_one_replica(self) -> None:
        """191 of 258 thousand tokens read again on a quiet day: its head was kept elsewhere too."""
        first, second = _gateway("zone-0", 1), _gateway("zone-1", 2)
        for request in range(200):  # by now each replica keeps the part that all begin with
            _send(first, _plan(1_000 + request, request))
            _send(second, _plan(2_000 + request, request))
        for subject in range(50):
            profile = _plan(subject, subject)
            self.assertEqual(_send(first, profile), _send(second, profile))

    def test_a_replica_that_is_known_to_keep_it_goes_before_the_expected_one(self) -> None:
        gateway = _gateway("zone-0", 1)
        expected = _send(gateway, _plan(7, 1))
        gateway.failed(next(r for r in gateway.usable(_SERVICE) if r.name == expected), "test")
        keeper = _send(gateway, _plan(7, 2))
        self.assertNotEqual(keeper, expected)
        other = _gateway("zone-0", 2)
        other.failed(next(r for r in other.usable(_SERVICE) if r.name == expected), "test")
        self.assertEqual(_send(other, _plan(7, 3)), keeper)  # all fall back on the same one

    def test_a_small_part_does_not_outweigh_a_long_wait(self) -> None:
        gateway = _gateway("zone-0", 1)
        small = _plan(7, 1, subject_tokens=80)
        expected = _send(gateway, small)
        busy = next(r for r in gateway.usable(_SERVICE) if r.name == expected)
        busy.unread_tokens = 60_000  # more than a second of reading
        self.assertNotEqual(_send(gateway, _plan(7, 2, subject_tokens=80)), expected)


class SharedLoadTest(unittest.TestCase):
    """23 gateways saw a 23rd of a replica's load each: 14 in 100 streams were late in calm."""

    def setUp(self) -> None:
        self.gateway = _gateway("zone-0", 1)

    def _told(self, **loads: int) -> None:
        told = {
            name.replace("_", "-"): control_pb2.ReplicaLoad(in_flight=1, unread_tokens=tokens)
            for name, tokens in loads.items()
        }
        self.gateway.loads.update_others(told)

    def test_a_replica_that_others_keep_busy_is_passed_over(self) -> None:
        profile = RequestProfile(_SERVICE, parse_parts("own1:600"), 600)
        busy = {f"replica_{number}": 40_000 for number in range(8)}
        self._told(**busy)
        chosen = [_send(self.gateway, profile) for _ in range(200)]
        # The idle one is among four of nine drawn at random in 4 of 9 cases.
        self.assertGreater(chosen.count("replica-8"), 60)
        self.assertLess(chosen.count("replica-8"), 130)  # and is not taken by all at once

    def test_a_busy_owner_of_shared_parts_is_passed_over_when_waiting_costs_more(self) -> None:
        owner = _send(self.gateway, _plan(7, 1))
        self.assertEqual(_send(self.gateway, _plan(7, 2)), owner)
        self._told(**{owner.replace("-", "_"): 60_000})
        self.assertNotEqual(_send(self.gateway, _plan(7, 3)), owner)

    def test_old_sums_are_not_used(self) -> None:
        owner = _send(self.gateway, _plan(7, 1))
        self._told(**{owner.replace("-", "_"): 60_000})
        self.gateway.loads.updated_s -= 5
        self.assertEqual(_send(self.gateway, _plan(7, 2)), owner)

    def test_a_gateway_tells_what_it_has_under_way(self) -> None:
        replica = self.gateway.place(
            RequestProfile(_SERVICE, parse_parts("own1:600"), 600), ()
        ).replica
        assert replica is not None
        self.gateway.sent(replica, RequestProfile(_SERVICE, parse_parts("own1:600"), 600))
        heartbeat = control_pb2.Heartbeat()
        self.gateway.fill_heartbeat(heartbeat)
        self.assertEqual(list(heartbeat.replica_loads), [replica.name])
        load = heartbeat.replica_loads[replica.name]
        self.assertEqual((load.in_flight, load.unread_tokens), (1, 600))


class LoadSumsTest(unittest.TestCase):
    def test_each_router_hears_the_sum_of_the_others_whatever_came_before(self) -> None:
        source = random.Random(3)
        sums = ReplicaLoads()
        newest: dict[str, dict[str, tuple[int, int]]] = {}
        for _ in range(300):
            router = source.choice("abcd")
            if source.random() < 0.1:
                sums.forget(router)
                newest.pop(router, None)
                continue
            told = {
                name: (source.randrange(1, 9), source.randrange(9_000))
                for name in source.sample(["r1", "r2", "r3"], source.randrange(4))
            }
            newest[router] = told
            sums.observe(
                router,
                {
                    name: control_pb2.ReplicaLoad(in_flight=count, unread_tokens=tokens)
                    for name, (count, tokens) in told.items()
                },
            )
            frame = control_pb2.ControlFrame()
            sums.fill("a", frame)
            for name in ("r1", "r2", "r3"):
                others = [told[name] for who, told in newest.items() if who != "a" and name in told]
                load = frame.replica_loads.get(name, control_pb2.ReplicaLoad())
                self.assertEqual(load.in_flight, sum(count for count, _ in others))
                self.assertEqual(load.unread_tokens, sum(tokens for _, tokens in others))

    def test_a_replica_that_one_of_many_routers_told_of_is_told_at_once(self) -> None:
        """Only after a quarter of the routers had told: a request went where it had to wait."""
        sums = ReplicaLoads()
        for router in range(40):
            sums.observe(f"g{router}", {"r0": control_pb2.ReplicaLoad(in_flight=1)})
        sums.fill("g0", control_pb2.ControlFrame())
        sums.observe("g1", {"r1": control_pb2.ReplicaLoad(in_flight=7)})
        frame = control_pb2.ControlFrame()
        sums.fill("g0", frame)
        self.assertEqual(frame.replica_loads["r1"].in_flight, 7)

    def test_only_the_busiest_replicas_are_told(self) -> None:
        sums = ReplicaLoads()
        told = {
            f"r{n}": control_pb2.ReplicaLoad(in_flight=n + 1)
            for n in range(MAX_REPORTED_REPLICAS + 9)
        }
        sums.observe("a", told)
        frame = control_pb2.ControlFrame()
        sums.fill("b", frame)
        self.assertEqual(len(frame.replica_loads), MAX_REPORTED_REPLICAS)
        self.assertNotIn("r0", frame.replica_loads)


if __name__ == "__main__":
    unittest.main()
