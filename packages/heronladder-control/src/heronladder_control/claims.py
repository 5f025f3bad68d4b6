"""Claims: the right to run a keyed or non-repeatable request.

A claim names an agent and its incarnation before the request is dispatched. It
moves to another agent only once it is certain that this incarnation never runs the
request. A repeatable request may also move when its agent is lost.
"""

from heronladder_schema.v1 import control_pb2, ledger_pb2

from heronladder_control.ledger import Ledger
from heronladder_control.results import failure

ClaimKey = tuple[str, str]  # tenant, key


def _result(
    code: control_pb2.ResultCode.ValueType, claim: ledger_pb2.Claim
) -> control_pb2.CommandResult:
    result = control_pb2.CommandResult(code=code)
    result.claim.CopyFrom(claim)
    return result


class ClaimTable:
    """All claims of a region.

    Args:
        ledger: Ledger that settles the reservation of an attempt whose agent is lost.
    """

    def __init__(self, ledger: Ledger) -> None:
        self._ledger = ledger
        self.claims: dict[ClaimKey, ledger_pb2.Claim] = {}
        self._by_request: dict[str, ledger_pb2.Claim] = {}

    def get(self, tenant: str, key: str) -> ledger_pb2.Claim | None:
        """Return the claim of a tenant's key."""
        return self.claims.get((tenant, key))

    def read(self, order: control_pb2.ReadClaim) -> control_pb2.CommandResult:
        """Return the current state of a claim."""
        claim = self.get(order.tenant, order.key)
        if claim is None:
            return failure(
                control_pb2.RESULT_CODE_NOT_FOUND, f"there is no claim for key {order.key}"
            )
        return _result(control_pb2.RESULT_CODE_OK, claim)

    def take(self, index: int, wanted: ledger_pb2.Claim) -> control_pb2.CommandResult:
        """Claim a request for one attempt, or return the claim that holds it."""
        held = self.claims.get((wanted.tenant, wanted.key))
        if held is not None:
            if held.body_sha256 != wanted.body_sha256:
                return failure(
                    control_pb2.RESULT_CODE_KEY_CONFLICT,
                    f"key {wanted.key} was already used with a different body",
                )
            same = held.request_id == wanted.request_id
            if held.state != ledger_pb2.CLAIM_STATE_RELEASED:
                holds = same and held.sequence == wanted.sequence
                code = control_pb2.RESULT_CODE_OK if holds else control_pb2.RESULT_CODE_CLAIM_HELD
                return _result(code, held)
        claim = ledger_pb2.Claim()
        claim.CopyFrom(wanted)
        claim.attempt = held.attempt + 1 if held is not None else 1
        claim.already_billed = held.already_billed if held is not None else False
        claim.state = ledger_pb2.CLAIM_STATE_HELD
        claim.revision = index
        if held is not None:
            claim.created_at_ms = held.created_at_ms
            self._by_request.pop(held.request_id, None)
        self._put(claim)
        return _result(control_pb2.RESULT_CODE_OK, claim)

    def _put(self, claim: ledger_pb2.Claim) -> None:
        self.claims[claim.tenant, claim.key] = claim
        self._by_request[claim.request_id] = claim

    def release(self, index: int, order: control_pb2.ReleaseClaim) -> control_pb2.CommandResult:
        """Release a claim whose attempt certainly never runs, or whose agent is lost."""
        claim = self.claims.get((order.tenant, order.key))
        if claim is None:
            return failure(
                control_pb2.RESULT_CODE_NOT_FOUND, f"there is no claim for key {order.key}"
            )
        named = (claim.request_id, claim.attempt, claim.agent_incarnation)
        if named != (order.request_id, order.attempt, order.agent_incarnation):
            return _result(control_pb2.RESULT_CODE_STALE, claim)
        if claim.state == ledger_pb2.CLAIM_STATE_RELEASED:
            return _result(control_pb2.RESULT_CODE_OK, claim)
        if order.agent_lost:
            if not claim.repeatable:
                return failure(
                    control_pb2.RESULT_CODE_INVALID,
                    "a non-repeatable request is released only on proof that it never ran",
                )
            self._withhold(claim)
        elif claim.state == ledger_pb2.CLAIM_STATE_DONE:
            return failure(control_pb2.RESULT_CODE_STALE, "the request has already run")
        claim.state = ledger_pb2.CLAIM_STATE_RELEASED
        claim.revision = index
        return _result(control_pb2.RESULT_CODE_OK, claim)

    def _withhold(self, claim: ledger_pb2.Claim) -> None:
        """Charge a lost attempt without billing it, and record whether it was already billed."""
        settled_now = self._ledger.settle(
            ledger_pb2.Settlement(
                lease_id=claim.lease_id,
                sequence=claim.sequence,
                withheld_tokens=claim.reserved,
                outcome=ledger_pb2.OUTCOME_UNKNOWN,
                request_id=claim.request_id,
            )
        )
        if not settled_now and claim.state == ledger_pb2.CLAIM_STATE_DONE:
            claim.already_billed = True

    def mark_done_if_ran(self, settlement: ledger_pb2.Settlement) -> None:
        """Mark a claimed request as done if its settlement says that it ran."""
        if settlement.outcome != ledger_pb2.OUTCOME_RAN:
            return
        claim = self._by_request.get(settlement.request_id)
        if claim is None or claim.state != ledger_pb2.CLAIM_STATE_HELD:
            return
        if (claim.lease_id, claim.sequence) == (settlement.lease_id, settlement.sequence):
            claim.state = ledger_pb2.CLAIM_STATE_DONE

    def drop(self, older_than_ms: int) -> None:
        """Delete claims that were first taken before a wall-clock time in milliseconds."""
        old = [key for key, claim in self.claims.items() if claim.created_at_ms < older_than_ms]
        for key in old:
            claim = self.claims.pop(key)
            self._by_request.pop(claim.request_id, None)

    def save(self, snapshot: control_pb2.StateSnapshot) -> None:
        """Write all claims into a snapshot."""
        snapshot.claims.extend(self.claims[key] for key in sorted(self.claims))

    def load(self, snapshot: control_pb2.StateSnapshot) -> None:
        """Replace all claims with those of a snapshot."""
        self.claims.clear()
        self._by_request.clear()
        for claim in snapshot.claims:
            self._put(claim)
