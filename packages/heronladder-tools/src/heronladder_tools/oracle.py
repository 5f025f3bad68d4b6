"""The judge of a run: heronladder's bills against the stand-ins' own books."""

from collections import Counter, defaultdict
from dataclasses import asdict, dataclass, field
from typing import Any

from heronladder_control.state import ControlState
from heronladder_emulator.execution_records import ExecutionRecords
from heronladder_runtime.invariants import INVARIANT_COUNTERS
from heronladder_schema.v1 import control_pb2, ledger_pb2

from heronladder_tools.callers import CallResult, Refusal, expected_text

_LISTED = 20


@dataclass
class Verdict:
    """What a run came to; every field but the last ones must be zero.

    Attributes:
        overspend_tokens: Tokens served beyond prepaid budgets.
        lost: Calls that nobody ever gave a final word on, and orders that were
            answered and never carried out.
        doubled: Orders carried out more than once.
        billed_twice: Answers with more than one bill.
        unbilled: Whole answers without a bill.
        wrong_answer: Answers that are not whole or not the caller's own.
        untrue_refusals: Requests said not to have run that did.
        invariant_violations: Violations inside the program.
        false_refusals: Refusals although budget and capacity were there.
        unresolved: Calls whose last word was, truly, that their outcome is unknown.
        requests: Calls made.
        answered: Calls answered.
        tokens_billed: Tokens on bills.
        tokens_generated: Tokens that engines generated.
        tokens_served: Prompt and generated tokens of all runs.
        refused_by_code: Refusals by their code.
        false_refusals_by_code: False refusals by their code.
        notes: What was wrong, in words.
    """

    overspend_tokens: int = 0
    lost: int = 0
    doubled: int = 0
    billed_twice: int = 0
    unbilled: int = 0
    wrong_answer: int = 0
    untrue_refusals: int = 0
    invariant_violations: int = 0
    false_refusals: int = 0
    unresolved: int = 0
    requests: int = 0
    answered: int = 0
    tokens_billed: int = 0
    tokens_generated: int = 0
    tokens_served: int = 0
    refused_by_code: dict[str, int] = field(default_factory=dict)
    false_refusals_by_code: dict[str, int] = field(default_factory=dict)
    notes: list[str] = field(default_factory=list)

    def promises_kept(self) -> bool:
        """Whether no promise was broken; false refusals are measured, not promised."""
        return not (
            self.overspend_tokens
            or self.lost
            or self.doubled
            or self.billed_twice
            or self.unbilled
            or self.wrong_answer
            or self.untrue_refusals
            or self.invariant_violations
        )

    def document(self) -> dict[str, Any]:
        """Return the verdict for a JSON report."""
        return asdict(self)


class BillBook:
    """All bills that the control members applied, each reservation once.

    A reservation that two members settle differently is a divergence of the
    replicated state.
    """

    def __init__(self) -> None:
        self.settlements: dict[tuple[str, int, int], ledger_pb2.Settlement] = {}
        self.divergences: list[str] = []
        self.claimed: dict[str, tuple[str, str]] = {}  # tenant and key by request id

    def follow(self, state: ControlState) -> None:
        """Take in the settlements of a member's state."""

        def listener(settlement: ledger_pb2.Settlement, lease: ledger_pb2.Lease) -> None:
            key = (state.region, settlement.lease_id, settlement.sequence)
            known = self.settlements.setdefault(key, settlement)
            if known != settlement:
                self.divergences.append(f"reservation {key} settled in two ways")

        def note_claim(command: control_pb2.Command, result: control_pb2.CommandResult) -> None:
            if command.WhichOneof("body") == "claim":
                claim = command.claim.claim
                self.claimed[claim.request_id] = (claim.tenant, claim.key)

        state.ledger.settled_listeners.append(listener)
        state.listeners.append(note_claim)

    def subject(self, request_id: str) -> str:
        """Return what a bill is for: a claimed request has one over all its sendings."""
        claim = self.claimed.get(request_id)
        return request_id if claim is None else f"{claim[0]}/{claim[1]}"

    def bills(self) -> dict[str, list[ledger_pb2.Settlement]]:
        """Return the bills of each subject."""
        found: dict[str, list[ledger_pb2.Settlement]] = defaultdict(list)
        for settlement in self.settlements.values():
            if settlement.outcome == ledger_pb2.OUTCOME_RAN:
                found[self.subject(settlement.request_id)].append(settlement)
        return found


@dataclass
class Evidence:
    """What a run left behind.

    Attributes:
        books: Books of the stand-ins.
        bills: Bills of the control members.
        results: What callers got.
        refusals: Sendings that were refused.
        budget_of_tenant: Budget by tenant.
        budget_tokens: Prepaid tokens by budget, over all regions.
    """

    books: ExecutionRecords
    bills: BillBook
    results: list[CallResult]
    refusals: list[Refusal]
    budget_of_tenant: dict[str, str]
    budget_tokens: dict[str, int]


def judge(evidence: Evidence) -> Verdict:
    """Return the verdict on a run."""
    verdict = Verdict()
    bills = evidence.bills.bills()
    verdict.requests = len(evidence.results)
    verdict.tokens_generated = evidence.books.tokens_generated()
    verdict.tokens_served = evidence.books.tokens_served()
    verdict.tokens_billed = sum(
        bill.prompt_tokens + bill.completion_tokens for group in bills.values() for bill in group
    )
    verdict.invariant_violations = sum(INVARIANT_COUNTERS.violations.values()) + len(
        evidence.bills.divergences
    )
    verdict.notes.extend([*INVARIANT_COUNTERS.messages, *evidence.bills.divergences])
    for result in evidence.results:
        _judge_call(verdict, evidence, bills, result)
    _judge_bills(verdict, bills)
    _judge_refusals(verdict, evidence)
    _judge_spend(verdict, evidence)
    for order, times in sorted(evidence.books.executions.items()):
        if times > 1:
            verdict.doubled += 1
            verdict.notes.append(f"{order} was carried out {times} times")
    del verdict.notes[_LISTED:]
    return verdict


def _judge_call(
    verdict: Verdict,
    evidence: Evidence,
    bills: dict[str, list[ledger_pb2.Settlement]],
    result: CallResult,
) -> None:
    call = result.call
    label = f"call {call.number} ({call.kind.name})"
    if result.answer is None:
        if result.told_unknown:
            verdict.unresolved += 1
        elif not result.refused:
            verdict.lost += 1
            verdict.notes.append(f"{label} was neither answered nor refused")
        return
    verdict.answered += 1
    if call.kind.order:
        if evidence.books.executions[call.order_id] == 0:
            verdict.lost += 1
            verdict.notes.append(f"{label} was answered and never carried out")
        if call.order_id not in result.answer.text:
            verdict.wrong_answer += 1
            verdict.notes.append(f"{label} got {result.answer.text[:60]}")
    elif result.answer.text != expected_text(call):
        verdict.wrong_answer += 1
        verdict.notes.append(f"{label} got another answer than its own")
    if not bills.get(evidence.bills.subject(result.answer.request_id)):
        verdict.unbilled += 1
        verdict.notes.append(f"{label} has no bill ({result.answer.request_id})")


def _judge_bills(verdict: Verdict, bills: dict[str, list[ledger_pb2.Settlement]]) -> None:
    for subject, group in bills.items():
        if len(group) > 1:
            verdict.billed_twice += 1
            verdict.notes.append(f"{subject} has {len(group)} bills")


def _judge_refusals(verdict: Verdict, evidence: Evidence) -> None:
    codes: Counter[str] = Counter()
    false_codes: Counter[str] = Counter()
    for refusal in evidence.refusals:
        reply = refusal.reply
        codes[reply.code] += 1
        if reply.outcome != "not-run":
            continue
        if reply.request_id and evidence.books.ran(reply.request_id):
            verdict.untrue_refusals += 1
            verdict.notes.append(f"{reply.request_id} was said not to have run")
        elif refusal.false:
            false_codes[reply.code] += 1
    verdict.false_refusals = sum(false_codes.values())
    verdict.refused_by_code = dict(sorted(codes.items()))
    verdict.false_refusals_by_code = dict(sorted(false_codes.items()))


def _judge_spend(verdict: Verdict, evidence: Evidence) -> None:
    """Add up what engines served for each budget, whoever was billed for it."""
    tenant_of_request = {
        settlement.request_id: settlement.tenant
        for settlement in evidence.bills.settlements.values()
        if settlement.tenant
    }
    for result in evidence.results:
        for request_id in result.answered_ids:
            tenant_of_request.setdefault(request_id, result.call.tenant)
    spent: Counter[str] = Counter()
    for request_id, runs in evidence.books.engine_runs.items():
        budget = evidence.budget_of_tenant.get(tenant_of_request.get(request_id, ""), "")
        spent[budget] += sum(run.prompt_tokens + run.generated for run in runs)
    for budget, tokens in evidence.budget_tokens.items():
        over = spent[budget] - tokens
        if over > 0:
            verdict.overspend_tokens += over
            verdict.notes.append(f"{budget} was overspent by {over} tokens")
