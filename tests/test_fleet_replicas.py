"""Which replica a gateway chooses, and that gateways agree without asking each other."""

import random
import unittest

from heronladder_router.fleet_replicas import FleetReplicas, Wish
from heronladder_router.kept_parts import parse_parts
from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import REPLICA_KIND, ConfigurationStore
from heronladder_runtime.logs import EventLog
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
    replicas = FleetReplicas(zone, configuration, environment, EventLog("test", "gateway"))
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


def _plan(subject: int, request: int, subject_tokens: int = 4_870) -> Wish:
    parts = parse_parts(f"menu:512,{subject:x}:{subject_tokens},own{request}:6000")
    return Wish(_SERVICE, parts, 6_512 + subject_tokens)


def _send(gateway: FleetReplicas, wish: Wish) -> str:
    """Choose a replica and have it finish at once."""
    replica = gateway.choose(wish, ())
    assert replica is not None
    unread = gateway.sent(replica, wish)
    gateway.began(replica, unread)
    gateway.ended(replica)
    return replica.name


class SharedPartsTest(unittest.TestCase):
    def test_gateways_send_a_shared_part_to_one_replica(self) -> None:
        """191 of 258 thousand tokens read again on a quiet day: its head was kept elsewhere too."""
        first, second = _gateway("zone-0", 1), _gateway("zone-1", 2)
        for request in range(200):  # by now each replica keeps the part that all begin with
            _send(first, _plan(1_000 + request, request))
            _send(second, _plan(2_000 + request, request))
        for subject in range(50):
            wish = _plan(subject, subject)
            self.assertEqual(_send(first, wish), _send(second, wish))

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


if __name__ == "__main__":
    unittest.main()
