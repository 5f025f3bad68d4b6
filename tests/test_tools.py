"""The toolbox: checks, plans, burn, the oracle's own eyes."""

import unittest

from heronladder_emulator.execution_records import ExecutionRecords
from heronladder_runtime.manifests import parse_manifests
from heronladder_runtime.metrics import Metrics
from heronladder_schema.v1 import ledger_pb2
from heronladder_tools.burn import burn_html, burn_lines, burn_text, parse_counts
from heronladder_tools.callers import CallerReply, CallResult, Refusal, expected_text
from heronladder_tools.checker import ManifestChecker, check_members
from heronladder_tools.oracle import BillBook, Evidence, judge
from heronladder_tools.planner import PlannedLoad, plan_service, plan_text
from heronladder_tools.profiles import PROFILES, Workload

MANIFESTS = """
{kind: Budget, metadata: {name: small}, spec: {tokens: 100, period: 1}}
---
kind: Service
metadata: {name: s}
spec: {kind: SERVICE_KIND_MODEL, models: [m], defaultMaxTokens: 64, tokenGapObjectiveMs: 2}
---
{kind: Tenant, metadata: {name: a}, spec: {budget: small, keySha256: [KEY]}}
---
{kind: Tenant, metadata: {name: b}, spec: {budget: none, keySha256: [KEY]}}
---
kind: Backend
metadata: {name: x}
spec: {service: s, agentAddress: "10.0.0.1:1", agent: x-agent, zone: z, concurrency: 4}
""".replace("KEY", "a" * 64)


class CheckerTest(unittest.TestCase):
    def test_errors_and_what_would_hurt_are_found(self) -> None:
        findings = ManifestChecker(parse_manifests(MANIFESTS), routers=3).check()
        lines = [finding.line() for finding in findings]
        expected = [
            "error: Tenant/b: spec.budget: there is no Budget 'none'",
            "error: Tenant/b: spec.keySha256[0]: tenant a has the same key",
            "warning: Budget/small: spec.tokens: 100 tokens are less than one lease",
            "warning: Service/s: backends: all are in zone z",
            "warning: Service/s: spec.tokenGapObjectiveMs: tighter than one crossing",
        ]
        self.assertEqual(len(lines), len(expected), lines)
        for start in expected:
            self.assertTrue(any(line.startswith(start) for line in lines), start)

    def test_members_in_one_zone_are_warned_of(self) -> None:
        places = [("a", "z1"), ("b", "z1"), ("c", "z2")]
        (finding,) = check_members(places)
        self.assertIn("losing zone z1 loses the quorum", finding.message)
        self.assertEqual(check_members([("a", "z1"), ("b", "z2"), ("c", "z3")]), [])


class PlannerTest(unittest.TestCase):
    def test_replicas_for_a_lost_zone(self) -> None:
        resources = parse_manifests(MANIFESTS)
        backend = next(r.backend for r in resources if r.WhichOneof("spec") == "backend")
        backends = []
        for zone in ("z1", "z2", "z3"):
            copy = type(backend)()
            copy.CopyFrom(backend)
            copy.zone = zone
            backends += [copy, copy]
        plan = plan_service("s", backends, PlannedLoad(10, 300, 300, 1.0))
        self.assertEqual((plan.replicas, plan.needed, plan.needed_without_zone), (6, 4, 6))
        self.assertAlmostEqual(plan.load_percent, 100 * 10 / 24)
        self.assertAlmostEqual(plan.load_without_zone_percent, 100 * 10 / 16)
        self.assertIn("routers: 2", plan_text(resources, PlannedLoad(10, 300, 300, 1.0)))


class BurnTest(unittest.TestCase):
    def _page(self, events: int, met: int) -> str:
        metrics = Metrics()
        metrics.add("objective_events", "t/s/first_token", events)
        metrics.add("objective_met", "t/s/first_token", met)
        return metrics.page().decode()

    def test_burn_is_misses_over_those_allowed(self) -> None:
        before = parse_counts([self._page(100, 100), self._page(100, 100)])
        after = parse_counts([self._page(200, 190), self._page(200, 190)])
        (line,) = burn_lines(before, after, period_hours=100.0)
        self.assertEqual((line.tenant, line.service, line.events), ("t", "s", 400))
        self.assertAlmostEqual(line.burn_short, 2.0)
        self.assertAlmostEqual(line.burn_long, 1.0)
        self.assertAlmostEqual(line.error_budget_left_percent, 0.0, places=6)
        self.assertIn("95.00%", burn_text([line], []))
        self.assertIn("<table>", burn_html([line], []))

    def test_a_restarted_router_does_not_make_a_negative_window(self) -> None:
        before = parse_counts([self._page(100, 100)])
        after = parse_counts([self._page(10, 9)])
        (line,) = burn_lines(before, after)
        self.assertAlmostEqual(line.burn_short, 2.0)


class OracleTest(unittest.TestCase):
    """The judge must see each broken promise."""

    def _evidence(self) -> Evidence:
        import random

        workload = Workload(PROFILES["comedores"], random.Random(1))
        calls = [workload.next_call() for _ in range(30)]
        call = next(call for call in calls if call.kind.name == "allergens")
        books = ExecutionRecords()
        run = books.start_run("r1", "e", 20)
        run.generated = 30
        bills = BillBook()
        bill = ledger_pb2.Settlement(
            lease_id=1,
            sequence=1,
            prompt_tokens=20,
            completion_tokens=30,
            outcome=ledger_pb2.OUTCOME_RAN,
            request_id="r1",
            tenant=call.tenant,
        )
        bills.settlements["region", 1, 1] = bill
        reply = CallerReply(200, "ran", "r1", whole=True, text=expected_text(call))
        result = CallResult(call, reply, sendings=1, answered_ids=["r1"])
        return Evidence(books, bills, [result], [], {call.tenant: "b"}, {"b": 1000})

    def test_a_good_run_is_good(self) -> None:
        self.assertTrue(judge(self._evidence()).promises_kept())

    def test_each_breach_is_seen(self) -> None:
        evidence = self._evidence()
        evidence.budget_tokens["b"] = 49
        self.assertEqual(judge(evidence).overspend_tokens, 1)
        evidence = self._evidence()
        evidence.bills.settlements["region", 1, 2] = evidence.bills.settlements["region", 1, 1]
        self.assertEqual(judge(evidence).billed_twice, 1)
        evidence = self._evidence()
        evidence.bills.settlements.clear()
        self.assertEqual(judge(evidence).unbilled, 1)
        evidence = self._evidence()
        assert evidence.results[0].answer is not None
        evidence.results[0].answer.text = "another"
        self.assertEqual(judge(evidence).wrong_answer, 1)
        evidence = self._evidence()
        evidence.results[0].answer = None
        self.assertEqual(judge(evidence).lost, 1)
        evidence = self._evidence()
        evidence.books.executions["o"] = 2
        self.assertEqual(judge(evidence).doubled, 1)
        evidence = self._evidence()
        reply = CallerReply(503, "not-run", "r1", "overloaded")
        evidence.refusals.append(Refusal(evidence.results[0].call, reply, 0.0))
        self.assertEqual(judge(evidence).untrue_refusals, 1)
