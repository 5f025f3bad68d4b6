"""Declared resources: versions, change ids, references and validation; claims; changes in force."""

import random
import unittest

from heronladder_control.in_force import InForceTracker
from heronladder_runtime.clock import Environment
from heronladder_runtime.manifests import ManifestError, parse_manifests, to_manifest
from heronladder_schema.v1 import control_pb2, ledger_pb2, resources_pb2
from support import run_virtual
from test_ledger import StateDriver


def _policy(name: str, balancer: str = "round_robin") -> resources_pb2.Resource:
    resource = resources_pb2.Resource(routing_policy=resources_pb2.RoutingPolicy(balancer=balancer))
    resource.metadata.name = name
    return resource


class ResourcesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.driver = StateDriver()

    def _put(
        self, resource: resources_pb2.Resource, version: int = 0, change_id: str = ""
    ) -> control_pb2.CommandResult:
        order = control_pb2.PutResource(
            kind=resource.WhichOneof("spec") or "",
            resource=resource,
            expected_version=version,
            change_id=change_id,
        )
        return self.driver.apply(put_resource=order)

    def test_one_of_two_writes_with_same_version_wins(self) -> None:
        self.assertEqual(self._put(_policy("p")).current_version, 1)
        first = self._put(_policy("p", "power_of_two"), 1)
        second = self._put(_policy("p", "least_outstanding"), 1)
        self.assertEqual(first.code, control_pb2.RESULT_CODE_OK)
        self.assertEqual(second.code, control_pb2.RESULT_CODE_VERSION_CONFLICT)
        self.assertEqual(second.current_version, 2)

    def test_repeated_change_returns_first_result(self) -> None:
        first = self._put(_policy("p"), 0, "change-1")
        self._put(_policy("p", "power_of_two"), 1, "change-2")
        again = self._put(_policy("p"), 0, "change-1")
        self.assertEqual(first, again)
        kept = self.driver.state.resources.get("routing_policy", "p")
        assert kept is not None
        self.assertEqual(kept.metadata.version, 2)

    def test_every_invalid_field_is_reported(self) -> None:
        backend = resources_pb2.Resource(
            backend=resources_pb2.Backend(service="none", agent_address="host:1")
        )
        backend.metadata.name = "Bad Name"
        result = self._put(backend)
        self.assertEqual(result.code, control_pb2.RESULT_CODE_INVALID)
        self.assertEqual(
            {error.field for error in result.errors},
            {
                "metadata.name",
                "spec.agentAddress",
                "spec.zone",
                "spec.agent",
                "spec.concurrency",
                "spec.service",
            },
        )

    def test_referenced_resource_cannot_be_deleted(self) -> None:
        self.driver.budget("b", 10)
        tenant = resources_pb2.Resource(tenant=resources_pb2.Tenant(budget="b"))
        tenant.metadata.name = "t"
        self._put(tenant)
        order = control_pb2.DeleteResource(kind="budget", name="b", any_version=True)
        result = self.driver.apply(delete_resource=order)
        self.assertEqual(result.code, control_pb2.RESULT_CODE_REFERENCED)
        self.assertIn("tenant t", result.message)

    def test_manifest_round_trip(self) -> None:
        text = "kind: RoutingPolicy\nmetadata: {name: p}\nspec: {balancer: round_robin}\n"
        resource = parse_manifests(text)[0]
        self.assertEqual(to_manifest(resource)["spec"], {"balancer": "round_robin"})
        with self.assertRaisesRegex(ManifestError, "spec.*blancer"):
            parse_manifests(text.replace("balancer", "blancer"))


class ClaimsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.driver = StateDriver()

    def _take(self, request_id: str, body: str = "x") -> control_pb2.CommandResult:
        claim = ledger_pb2.Claim(
            tenant="t",
            key="k",
            body_sha256=body,
            request_id=request_id,
            agent="a",
            agent_incarnation="a1",
        )
        return self.driver.apply(claim=control_pb2.ClaimRequest(claim=claim))

    def _release(self, request_id: str, attempt: int, lost: bool) -> control_pb2.CommandResult:
        order = control_pb2.ReleaseClaim(
            tenant="t",
            key="k",
            request_id=request_id,
            attempt=attempt,
            agent_incarnation="a1",
            agent_lost=lost,
        )
        return self.driver.apply(release_claim=order)

    def test_key_is_held_by_one_attempt_until_it_is_released(self) -> None:
        self.assertEqual(self._take("r1").code, control_pb2.RESULT_CODE_OK)
        self.assertEqual(self._take("r1").code, control_pb2.RESULT_CODE_OK)  # sent again
        held = self._take("r2")
        self.assertEqual(held.code, control_pb2.RESULT_CODE_CLAIM_HELD)
        self.assertEqual(held.claim.request_id, "r1")
        self.assertEqual(self._take("r3", "other").code, control_pb2.RESULT_CODE_KEY_CONFLICT)
        self.assertEqual(self._release("r1", 1, False).code, control_pb2.RESULT_CODE_OK)
        self.assertEqual(self._take("r2").claim.attempt, 2)
        self.assertEqual(self._release("r1", 1, False).code, control_pb2.RESULT_CODE_STALE)

    def test_non_repeatable_request_is_not_released_for_lost_agent(self) -> None:
        self._take("r1")
        self.assertEqual(self._release("r1", 1, True).code, control_pb2.RESULT_CODE_INVALID)
        self.assertEqual(self._take("r2").code, control_pb2.RESULT_CODE_CLAIM_HELD)


class InForceTest(unittest.TestCase):
    def test_change_waits_for_each_daemon_with_valid_lease(self) -> None:
        async def scenario() -> None:
            import asyncio

            environment = Environment(random.Random(1), virtual=True)
            tracker = InForceTracker(environment, freshness_s=8.0)
            tracker.start_term([], 0.0)
            for name in ("a", "b"):
                tracker.connected(name)
                self.assertTrue(tracker.heartbeat(name, 1, 1, 1))
            self.assertEqual(tracker.reached_revision(5, 1), 1)
            tracker.heartbeat("a", 5, 5, 1)
            self.assertEqual(tracker.reached_revision(5, 1), 1)
            self.assertEqual(tracker.blocking_daemons(5), ["b"])
            await asyncio.sleep(8.9)  # b sends no heartbeat, so its lease expires
            self.assertEqual(tracker.reached_revision(5, 1), 5)
            self.assertFalse(tracker.heartbeat("b", 1, 5, 5))  # stale: the lease is not renewed
            self.assertTrue(tracker.heartbeat("b", 5, 5, 5))

        run_virtual(scenario())

    def test_excluded_daemon_is_reported_with_age_of_last_heartbeat(self) -> None:
        async def scenario() -> None:
            import asyncio

            environment = Environment(random.Random(1), virtual=True)
            tracker = InForceTracker(environment, freshness_s=1.0)
            tracker.start_term([], 0.0)
            for name in ("a", "b"):
                tracker.connected(name)
                tracker.heartbeat(name, 1, 1, 1)
            tracker.reached_revision(5, 1)
            tracker.heartbeat("a", 5, 5, 1)
            tracker.disconnected("b")
            await asyncio.sleep(1.25)
            self.assertEqual(tracker.pending_s, 1.25)
            self.assertEqual([str(daemon) for daemon in tracker.left_out(5)], ["b@1/1.25s/away"])

        run_virtual(scenario())

    def test_new_leader_waits_for_every_daemon(self) -> None:
        async def scenario() -> None:
            import asyncio

            environment = Environment(random.Random(1), virtual=True)
            tracker = InForceTracker(environment, freshness_s=8.0)
            tracker.start_term(["a"], earlier_leader_s=2.0)
            self.assertEqual(tracker.reached_revision(5, 1), 1)
            await asyncio.sleep(10.7)
            self.assertEqual(tracker.reached_revision(5, 1), 1)
            await asyncio.sleep(0.2)
            self.assertEqual(tracker.reached_revision(5, 1), 5)

        run_virtual(scenario())
