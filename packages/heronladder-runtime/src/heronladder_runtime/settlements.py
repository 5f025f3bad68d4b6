"""How an attempt's end becomes a bill; router and agent must reckon alike."""

from heronladder_schema.v1 import agent_pb2, ledger_pb2


def reserved_tokens(dispatch: agent_pb2.Dispatch) -> int:
    """Return the tokens an attempt may use at most."""
    return dispatch.reserved_prompt + dispatch.reserved_completion


def make_settlement(
    dispatch: agent_pb2.Dispatch, end: agent_pb2.AnswerEnd, *, already_billed: bool = False
) -> ledger_pb2.Settlement:
    """Return the settlement of an attempt.

    An answer that is whole, or that its reader gave up, is billed for what it
    used. A broken one is not billed; as its use is not known for certain, all
    that was reserved stays charged.

    Args:
        dispatch: The attempt.
        end: How it ended.
        already_billed: An earlier attempt of the same request was billed.
    """
    settlement = ledger_pb2.Settlement(
        lease_id=dispatch.lease_id,
        sequence=dispatch.sequence,
        outcome=end.outcome,
        request_id=dispatch.request_id,
        tenant=dispatch.tenant,
        service=dispatch.service,
    )
    if end.outcome == ledger_pb2.OUTCOME_NOT_RUN:
        return settlement
    if end.outcome == ledger_pb2.OUTCOME_UNKNOWN or (end.error and not end.cancelled):
        settlement.outcome = ledger_pb2.OUTCOME_UNKNOWN
        settlement.withheld_tokens = reserved_tokens(dispatch)
        return settlement
    prompt = min(end.prompt_tokens, dispatch.reserved_prompt)
    completion = min(end.completion_tokens, dispatch.reserved_completion)
    if already_billed:
        settlement.outcome = ledger_pb2.OUTCOME_UNKNOWN
        settlement.withheld_tokens = prompt + completion
        return settlement
    settlement.prompt_tokens = prompt
    settlement.completion_tokens = completion
    return settlement


def lost_settlement(dispatch: agent_pb2.Dispatch) -> ledger_pb2.Settlement:
    """Return the settlement of an attempt whose agent was lost: charged, not billed."""
    end = agent_pb2.AnswerEnd(outcome=ledger_pb2.OUTCOME_UNKNOWN)
    return make_settlement(dispatch, end)


def not_run_settlement(dispatch: agent_pb2.Dispatch) -> ledger_pb2.Settlement:
    """Return the settlement of an attempt proved not to have run."""
    end = agent_pb2.AnswerEnd(outcome=ledger_pb2.OUTCOME_NOT_RUN)
    return make_settlement(dispatch, end)
