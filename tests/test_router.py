"""Tests of the router's components: leases, admission, balancers, replicas and requests."""

import asyncio
import json
import random
import unittest

from heronladder_router.admission import AdmissionQueue
from heronladder_router.balancers import (
    BalancingContext,
    PrefixAffinity,
    affinity_prefix,
    make_balancer,
)
from heronladder_router.errors import (
    BudgetExhaustedError,
    InvalidRequestError,
    OverloadedError,
)
from heronladder_router.leases import LeaseManager
from heronladder_router.replicas import Replica, ReplicaDirectory
from heronladder_router.requests import parse_model_call
from heronladder_router.retry_budget import RetryBudget
from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import ConfigurationStore
from heronladder_runtime.logs import EventLog
from heronladder_schema.v1 import agent_pb2, control_pb2, ledger_pb2, resources_pb2
from support import run_virtual
from test_ledger import BUDGET_TOKENS, StateDriver


class LedgerLink:
    """A fake link to control that applies commands to a ledger state in the same process.

    Attributes:
        recall_from: Lease managers whose leases are recalled when the budget is exhausted.
    """

    def __init__(self, driver: StateDriver, name: str) -> None:
        self.record = ledger_pb2.DaemonRecord(name=name, incarnation=f"{name}1", role="router")
        self.driver = driver
        self.calls = 0
        self.recall_from: list[LeaseManager] = []
        driver.register(name, "router", f"{name}1")

    async def call(
        self, command: control_pb2.Command, timeout_s: float | None = None
    ) -> control_pb2.CommandResult:
        self.calls += 1
        await asyncio.sleep(0.01)
        self.driver.index += 1
        result = self.driver.state.apply(self.driver.index, command.SerializeToString())
        if result.code == control_pb2.RESULT_CODE_EXHAUSTED:
            for manager in self.recall_from:  # control recalls leases of all holders
                for lease_id in list(self.driver.state.ledger.leases):
                    manager.recall(lease_id, 0)
        return result


class LeasesTest(unittest.TestCase):
    def _managers(self, names: str) -> list[LeaseManager]:
        self.driver = StateDriver()
        self.driver.budget("b", BUDGET_TOKENS)
        self.environment = Environment(random.Random(1), virtual=True)
        log = EventLog("test", "router")
        self.links = [LedgerLink(self.driver, name) for name in names]
        return [LeaseManager(link, self.environment, 10.0, log) for link in self.links]

    def test_routers_spend_a_shared_budget_fully_and_never_exceed_it(self) -> None:
        async def scenario() -> None:
            managers = self._managers("xyz")
            for link in self.links:
                link.recall_from = managers
            spent = 0
            for request_number in range(400):
                manager = managers[request_number % 3]
                try:
                    reservation = await manager.reserve("b", 100, 5.0)
                except BudgetExhaustedError:
                    continue
                manager.settle(reservation, 60)
                spent += 60
                lease = self.driver.state.ledger.leases[reservation.lease_id]
                self.driver.settle(lease.lease_id, reservation.sequence, 60)
            self.assertLessEqual(spent, BUDGET_TOKENS)
            self.assertGreater(spent, BUDGET_TOKENS - 200)
            self.driver.state.ledger.check_all()
            for manager in managers:
                await manager.stop()

        run_virtual(scenario())

    def test_request_above_the_remaining_budget_is_rejected_immediately(self) -> None:
        async def scenario() -> None:
            (manager,) = self._managers("x")
            started_s = self.environment.monotonic()
            with self.assertRaises(BudgetExhaustedError):
                await manager.reserve("b", BUDGET_TOKENS + 1, 30.0)
            self.assertLess(self.environment.monotonic() - started_s, 0.1)
            await manager.stop()

        run_virtual(scenario())

    def test_router_does_not_call_control_for_each_request(self) -> None:
        async def scenario() -> None:
            (manager,) = self._managers("x")
            for _ in range(60):
                reservation = await manager.reserve("b", 100, 5.0)
                manager.settle(reservation, 10)
                await asyncio.sleep(0.02)
            self.assertLess(self.links[0].calls, 20)
            await manager.stop()

        run_virtual(scenario())

    def test_planned_stop_returns_all_unspent_tokens(self) -> None:
        async def scenario() -> None:
            (manager,) = self._managers("x")
            reservation = await manager.reserve("b", 100, 5.0)
            manager.settle(reservation, 40)
            self.driver.settle(reservation.lease_id, reservation.sequence, 40)
            await asyncio.sleep(1)
            await manager.return_all()
            self.assertEqual(self.driver.account().available, BUDGET_TOKENS - 40)
            await manager.stop()

        run_virtual(scenario())


class AdmissionTest(unittest.TestCase):
    def test_admission_order_is_by_priority_then_tenant_weight(self) -> None:
        async def scenario() -> None:
            queue = AdmissionQueue(Environment(random.Random(1), virtual=True))
            order: list[str] = []

            async def request(tenant: str, weight: int, priority: int = 1) -> None:
                await queue.enter(
                    "s",
                    tenant,
                    weight=weight,
                    priority=priority,
                    tokens=100,
                    limit=1,
                    wait_s=100,
                )
                order.append(tenant)
                await asyncio.sleep(0.1)
                queue.leave("s", 0.1)

            tasks = [asyncio.ensure_future(request("first", 1))]
            await asyncio.sleep(0)
            for _ in range(12):
                tasks.append(asyncio.ensure_future(request("light", 1)))
                tasks.append(asyncio.ensure_future(request("heavy", 3)))
            await asyncio.sleep(0)
            tasks.append(asyncio.ensure_future(request("urgent", 1, priority=5)))
            await asyncio.gather(*tasks)
            self.assertEqual(order[:2], ["first", "urgent"])
            head = order[2:14]
            self.assertEqual(head.count("heavy"), 9)
            self.assertEqual(head.count("light"), 3)

        run_virtual(scenario())

    def test_too_long_an_expected_wait_is_rejected_immediately(self) -> None:
        async def scenario() -> None:
            environment = Environment(random.Random(1), virtual=True)
            queue = AdmissionQueue(environment)
            arguments = {"weight": 1, "priority": 1, "tokens": 1, "limit": 1}
            await queue.enter("s", "t", wait_s=1, **arguments)
            waiting = asyncio.ensure_future(queue.enter("s", "t", wait_s=1, **arguments))
            await asyncio.sleep(0)
            with self.assertRaises(OverloadedError):
                await queue.enter("s", "t", wait_s=0.9, **arguments)
            self.assertEqual(environment.monotonic(), 0)
            queue.leave("s", 0.1)
            await waiting

        run_virtual(scenario())


def _replicas(count: int) -> list[Replica]:
    spec = resources_pb2.Backend(concurrency=10, zone="z")
    return [Replica(f"replica-{number}", spec, incarnation="i") for number in range(count)]


class BalancersTest(unittest.TestCase):
    def test_equal_prefixes_share_a_replica_and_few_move_when_one_is_removed(self) -> None:
        balancer = PrefixAffinity(150)
        replicas = _replicas(10)
        prompts = [f"prompt {number}".encode() for number in range(500)]
        before = {p: balancer.choose(BalancingContext(replicas, p, 0.0)).name for p in prompts}
        self.assertEqual(
            before, {p: balancer.choose(BalancingContext(replicas, p, 0.0)).name for p in prompts}
        )
        after = {p: balancer.choose(BalancingContext(replicas[1:], p, 0.0)).name for p in prompts}
        moved = [p for p in prompts if before[p] != after[p]]
        self.assertTrue(all(before[p] == "replica-0" for p in moved))

    def test_affinity_skips_a_loaded_replica(self) -> None:
        balancer = PrefixAffinity(125)
        replicas = _replicas(4)
        first = balancer.choose(BalancingContext(replicas, b"p", 0.0))
        first.outstanding = 10
        self.assertNotEqual(balancer.choose(BalancingContext(replicas, b"p", 0.0)).name, first.name)

    def test_each_balancer_spreads_over_all_replicas(self) -> None:
        for name in ("round_robin", "least_outstanding", "power_of_two", "prefix_affinity"):
            balancer = make_balancer(name, 150, random.Random(1))
            replicas = _replicas(5)
            for number in range(200):
                prefix = affinity_prefix("t", str(number).encode(), 64)
                balancer.choose(BalancingContext(replicas, prefix, 0.0)).outstanding += 1
            self.assertTrue(all(replica.outstanding > 15 for replica in replicas), name)


class DirectoryTest(unittest.TestCase):
    def _directory(self, environment: Environment) -> ReplicaDirectory:
        configuration = ConfigurationStore("router")
        directory = ReplicaDirectory(configuration, environment)
        update = control_pb2.ConfigUpdate(revision=1)
        for number in range(4):
            spec = resources_pb2.Backend(service="s", agent=f"a{number}", concurrency=4)
            resource = resources_pb2.Resource(backend=spec)
            update.events.add(kind="backend", name=f"b{number}", resource=resource)
        configuration.apply(update)
        for number in range(4):
            directory.notice(control_pb2.DaemonNotice(name=f"a{number}", incarnation="i"))
        return directory

    def test_failures_eject_a_replica_until_time_passes_or_its_agent_restarts(self) -> None:
        async def scenario() -> None:
            directory = self._directory(Environment(random.Random(1), virtual=True))
            replica = directory.get("b0")
            assert replica is not None
            for _ in range(3):
                directory.record_failure(replica)
            self.assertEqual(len(directory.usable("s")), 3)
            await asyncio.sleep(3.1)
            self.assertEqual(len(directory.usable("s")), 4)
            directory.record_failure(replica, certain=True)
            self.assertEqual(len(directory.usable("s")), 3)
            directory.notice(control_pb2.DaemonNotice(name="a0", incarnation="i2"))
            self.assertEqual(len(directory.usable("s")), 4)
            directory.notice(control_pb2.DaemonNotice(name="a0", incarnation="i2", gone=True))
            self.assertEqual(len(directory.usable("s")), 3)

        run_virtual(scenario())

    def test_replica_that_reports_leaving_gets_no_new_requests(self) -> None:
        async def scenario() -> None:
            directory = self._directory(Environment(random.Random(1), virtual=True))
            replica = directory.get("b1")
            assert replica is not None
            directory.record_response_head(replica, agent_pb2.AnswerHead(leaving=True))
            self.assertNotIn(replica, directory.usable("s"))

        run_virtual(scenario())

    def test_subsets_are_even_and_stable(self) -> None:
        async def scenario() -> None:
            directory = self._directory(Environment(random.Random(1), virtual=True))
            replicas = _replicas(40)
            counts = dict.fromkeys((replica.name for replica in replicas), 0)
            for number in range(200):
                for replica in directory.subset(replicas, f"router-{number}", 8):
                    counts[replica.name] += 1
            self.assertLess(max(counts.values()), 2 * min(counts.values()))
            chosen = directory.subset(replicas, "router-0", 8)
            fewer = [replica for replica in replicas if replica is not chosen[0]]
            again = directory.subset(fewer, "router-0", 8)
            self.assertEqual(sum(replica in chosen for replica in again), 7)

        run_virtual(scenario())


class RequestsTest(unittest.TestCase):
    def test_errors_name_the_invalid_field(self) -> None:
        cases = [
            (b"{", "JSON"),
            (b"[]", "object"),
            (b"{}", "model"),
            (b'{"model": "m"}', "messages"),
            (b'{"model": "m", "messages": [{}]}', "messages\\[0\\].role"),
            (b'{"model": "m", "stream": 1}', "stream"),
            (b'{"model": "m", "messages": [{"role": "user"}], "max_tokens": 0}', "max_tokens"),
            (b'{"model": "m", "messages": [{"role": "user"}], "n": 2}', "n"),
        ]
        for body, field in cases:
            with self.assertRaisesRegex(InvalidRequestError, field):
                parse_model_call(body, chat=True)

    def test_engine_body_has_the_completion_bound_and_requests_usage(self) -> None:
        body = {"model": "m", "prompt": "é", "stream": True, "max_completion_tokens": 9}
        call = parse_model_call(json.dumps(body).encode(), chat=False)
        self.assertEqual((call.prompt_bytes, call.completion_token_limit), (2, 9))
        sent = json.loads(call.engine_body(9))
        self.assertEqual(sent["max_tokens"], 9)
        self.assertTrue(sent["stream_options"]["include_usage"])
        self.assertNotIn("max_completion_tokens", sent)

    def test_retry_budget_is_a_percentage_of_requests(self) -> None:
        budget = RetryBudget()
        while budget.try_spend():
            pass
        for _ in range(100):
            budget.request(20)
        allowed = sum(budget.try_spend() for _ in range(100))
        self.assertLessEqual(allowed, 10)
        for _ in range(10):
            budget.request(20)
        self.assertEqual(sum(budget.try_spend() for _ in range(10)), 2)
