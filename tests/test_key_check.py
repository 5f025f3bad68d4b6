"""Requests without a valid key are not run, whatever the configuration lists or leaves out."""

import asyncio
import json
import unittest
from collections.abc import Callable
from functools import partial
from typing import Any

from fleet_case import FleetCase
from heronladder_control.command_packing import encode_command
from heronladder_control.state import ControlState
from heronladder_platform.configuration import document_requires_key, read_configuration
from heronladder_router.errors import InvalidKeyError
from heronladder_router.host_routes import HostRouteTable
from heronladder_runtime.access_rules import requires_key
from heronladder_runtime.cluster_versions import LATEST_VERSION, reduce_to_version
from heronladder_runtime.configuration import FLEET_KIND, FLEET_NAME, ConfigurationStore
from heronladder_schema.v1 import control_pb2, resources_pb2
from platform_stand_ins import (
    KEY,
    Received,
    StandInReplica,
    answer,
    configuration,
    route,
    start_fleet,
)

_HOST, _SCHEME = "shop.example", "Token "
_ABSENT = object()
_OTHER_KEY, _NEVER_HELD = "other-key", "never-held-key"
# The value of `tenants`, and whether requests need a key then.
_STATEMENTS: tuple[tuple[str, Any, bool], ...] = (
    ("absent", _ABSENT, False),
    ("null", None, False),
    ("no tenant", [], True),
    ("a tenant without keys", [{"name": "a", "apiKeys": []}], True),
    ("two without keys", [{"name": "a", "apiKeys": []}, {"name": "b", "apiKeys": []}], True),
    ("a key", [{"name": "a", "apiKeys": [_OTHER_KEY]}], True),
    (
        "one of two without keys",
        [{"name": "a", "apiKeys": []}, {"name": "b", "apiKeys": [_OTHER_KEY]}],
        True,
    ),
)


def _document(tenants: Any, version: int = 1, **of_route: Any) -> bytes:
    document = configuration(version, route("/safe/", host=_HOST, **of_route))
    del document["tenants"]
    if tenants is not _ABSENT:
        document["tenants"] = tenants
    return json.dumps(document).encode()


def _reduced(
    fleet: resources_pb2.FleetConfiguration, version: int
) -> resources_pb2.FleetConfiguration:
    """Return a configuration as the log may hold it at a cluster version."""
    command = control_pb2.Command()
    command.apply_configuration.configuration.CopyFrom(fleet)
    reduced = reduce_to_version(command, version).apply_configuration.configuration
    return resources_pb2.FleetConfiguration.FromString(reduced.SerializeToString())


def _read_and_reduced(source: bytes, version: int) -> resources_pb2.FleetConfiguration:
    return _reduced(read_configuration(source), version)


def _as_stored_by_an_earlier_build(source: bytes) -> resources_pb2.FleetConfiguration:
    """Return a configuration as a build without the field has stored it."""
    fleet = read_configuration(source)
    fleet.ClearField("key_check")
    return fleet


def _is_open_to_an_earlier_gateway(fleet: resources_pb2.FleetConfiguration) -> bool:
    """Whether a gateway of an earlier build asks for no key: it looks at what keys there are."""
    return not {key for tenant in fleet.tenants for key in tenant.key_sha256}


class RouteTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.store = ConfigurationStore("gateway")
        self.table = HostRouteTable(self.store, _SCHEME, document_requires_key)
        self.revision = 0

    def _apply(self, fleet: resources_pb2.FleetConfiguration) -> None:
        self.revision += 1
        fleet.version = self.revision
        update = control_pb2.ConfigUpdate(revision=self.revision)
        event = update.events.add(kind=FLEET_KIND, name=FLEET_NAME)
        event.resource.fleet_configuration.CopyFrom(fleet)
        self.store.apply(update)

    def _is_let_in(self, authorization: str) -> bool:
        try:
            self.table.find(_HOST, "/safe/x", authorization)
        except InvalidKeyError:
            return False
        return True

    def _check_all(self, held: Callable[[bytes], resources_pb2.FleetConfiguration]) -> None:
        for name, tenants, needs_key in _STATEMENTS:
            with self.subTest(tenants=name):
                self._apply(held(_document(tenants)))
                self.assertEqual(self._is_let_in(""), not needs_key)
                self.assertEqual(self._is_let_in(f"{_SCHEME}{_NEVER_HELD}"), not needs_key)
                has_key = _OTHER_KEY in json.dumps(tenants if tenants is not _ABSENT else None)
                self.assertEqual(self._is_let_in(_SCHEME + _OTHER_KEY), has_key or not needs_key)

    def test_an_empty_list_of_tenants_or_keys_lets_nobody_in(self) -> None:
        """Guards against a check of keys that is off as soon as there is no key."""
        self._check_all(read_configuration)

    def test_what_an_earlier_build_stored_means_the_same(self) -> None:
        self._check_all(_as_stored_by_an_earlier_build)

    def test_below_the_version_in_force_it_means_the_same(self) -> None:
        for version in range(LATEST_VERSION):
            with self.subTest(version=version):
                self._check_all(partial(_read_and_reduced, version=version))

    def test_the_last_key_goes_and_a_key_comes_back(self) -> None:
        with_key = [{"name": "a", "apiKeys": [_OTHER_KEY]}]
        without_key = [{"name": "a", "apiKeys": []}]
        for tenants, is_held in (
            (with_key, True),
            (without_key, False),
            ([], False),
            (with_key, True),
            (without_key, False),
        ):
            self._apply(read_configuration(_document(tenants)))
            self.assertEqual(self._is_let_in(_SCHEME + _OTHER_KEY), is_held)
            self.assertFalse(self._is_let_in(""))

    def test_an_anonymous_route_stays_open(self) -> None:
        self._apply(read_configuration(_document([], allowAnonymous=True)))
        self.assertTrue(self._is_let_in(""))


class RestartedControlTest(unittest.TestCase):
    def test_a_control_member_that_starts_from_its_snapshot_still_asks_for_keys(self) -> None:
        for name, tenants, needs_key in _STATEMENTS:
            for version in range(LATEST_VERSION + 1):
                state = ControlState("r")
                raised, applied = control_pb2.Command(), control_pb2.Command()
                raised.set_cluster_version.version = version
                fleet = _reduced(read_configuration(_document(tenants)), version)
                applied.apply_configuration.configuration.CopyFrom(fleet)
                state.apply(1, raised.SerializeToString())
                state.apply(2, encode_command(applied))
                restarted = ControlState("r")
                restarted.restore(state.snapshot())
                held = restarted.fleet.configuration()
                assert held is not None
                with self.subTest(tenants=name, version=version):
                    self.assertEqual(requires_key(held, document_requires_key), needs_key)


class EarlierGatewayTest(unittest.TestCase):
    def test_an_earlier_gateway_beside_this_control_lets_nobody_in(self) -> None:
        """It never asks the field, so what the log holds below the version must not be empty."""
        for version in range(LATEST_VERSION):
            for name, tenants, needs_key in _STATEMENTS:
                with self.subTest(tenants=name, version=version):
                    fleet = _reduced(read_configuration(_document(tenants)), version)
                    self.assertEqual(_is_open_to_an_earlier_gateway(fleet), not needs_key)

    def test_nothing_is_added_where_there_is_a_key_or_the_version_is_in_force(self) -> None:
        for name, tenants, _ in _STATEMENTS:
            fleet = read_configuration(_document(tenants))
            with self.subTest(tenants=name):
                self.assertEqual(_reduced(fleet, LATEST_VERSION), fleet)
                if not _is_open_to_an_earlier_gateway(fleet):
                    self.assertEqual(_reduced(fleet, 0).tenants, fleet.tenants)


class RegionsTest(unittest.TestCase):
    def _regions(self, fleet: resources_pb2.FleetConfiguration) -> frozenset[str] | None:
        store = ConfigurationStore("gateway")
        table = HostRouteTable(store, _SCHEME, document_requires_key)
        update = control_pb2.ConfigUpdate(revision=1)
        event = update.events.add(kind=FLEET_KIND, name=FLEET_NAME)
        event.resource.fleet_configuration.CopyFrom(fleet)
        store.apply(update)
        return table.find(_HOST, "/safe/x", _SCHEME + _OTHER_KEY).regions

    def test_an_empty_list_of_regions_names_none(self) -> None:
        """Guards against a route or tenant that any region may serve since none is listed."""
        cases: tuple[tuple[dict[str, Any], dict[str, Any], frozenset[str] | None], ...] = (
            ({}, {}, None),
            ({"allowedRegions": []}, {}, frozenset()),
            ({}, {"allowedRegions": []}, frozenset()),
            ({"allowedRegions": ["r1"]}, {"allowedRegions": []}, frozenset()),
            ({"allowedRegions": ["r1", "r2"]}, {"allowedRegions": ["r2"]}, frozenset({"r2"})),
            ({"allowedRegions": None}, {}, None),
        )
        for of_route, of_tenant, expected in cases:
            tenants = [{"name": "a", "apiKeys": [_OTHER_KEY], **of_tenant}]
            fleet = read_configuration(_document(tenants, **of_route))
            with self.subTest(route=of_route, tenant=of_tenant):
                self.assertEqual(self._regions(fleet), expected)
                for version in range(LATEST_VERSION):
                    found = self._regions(_reduced(fleet, version))
                    named = None if found is None else found - {""}
                    self.assertEqual(named, expected)


class RunningFleetTest(FleetCase):
    """Over a control member and gateways, with a replica that counts what it runs."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.runs: list[str] = []
        self.fleet = await start_fleet(configuration(1))
        self.addAsyncCleanup(self.fleet.stop)

        async def serve(replica: StandInReplica, received: Received) -> bytes:
            self.runs.append(received.target)
            return answer(received)

        await self.fleet.add_replica("r1", serve)

    async def _status(self, path: str, authorization: str) -> int:
        return (await self.fleet.request(path, Authorization=authorization)).status

    async def test_no_request_runs_once_the_last_key_is_gone(self) -> None:
        """Guards against requests that run with any key once no tenant holds one."""
        self.assertEqual(await self._status("/safe/before", f"Token {KEY}"), 200)
        changes: list[Any] = [[{"name": "tenant-a", "apiKeys": []}], []]
        for version, tenants in enumerate(changes, start=2):
            await self.fleet.replace(configuration(version, tenants=tenants))
            for sent in (f"Token {KEY}", f"Token {_NEVER_HELD}", ""):
                self.assertEqual(await self._status("/safe/x", sent), 401, (tenants, sent))
        self.assertEqual(self.runs, ["/safe/before"])
        self.assertEqual(self._gauge("keys_required"), 1.0)
        started = await self.fleet.add_gateway("g2")
        async with asyncio.timeout(10):
            while not started.knows("r1"):
                await asyncio.sleep(0.01)
        for sent in (f"Token {KEY}", f"Token {_NEVER_HELD}", ""):
            got = await self.fleet.request_at(started.address, "/safe/x", Authorization=sent)
            self.assertEqual(got.status, 401, ("a gateway that was started now", sent))
        self.assertEqual(self.runs, ["/safe/before"])
        await self.fleet.replace(configuration(4))
        self.assertEqual(await self._status("/safe/after", f"Token {KEY}"), 200)

    def _gauge(self, name: str) -> float:
        assert self.fleet.gateway.gateway is not None
        text = self.fleet.gateway.gateway.metrics.page().decode()
        line = next(line for line in text.splitlines() if line.startswith(f"heronladder_{name} "))
        return float(line.split()[1])


if __name__ == "__main__":
    unittest.main()
