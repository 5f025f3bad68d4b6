"""Settlement of an attempt from its end; router and agent must compute the same result."""

from heronladder_schema.v1 import agent_pb2, ledger_pb2


def reserved_tokens(dispatch: agent_pb2.Dispatch) -> int:
    """Return the largest number of tokens that an attempt may use."""
    return dispatch.reserved_prompt + dispatch.reserved_completion


def make_settlement(
    dispatch: agent_pb2.Dispatch, end: agent_pb2.AnswerEnd, *, already_billed: bool = False
) -> ledger_pb2.Settlement:
    """Return the settlement of an attempt.

    A response that is complete, or that its reader cancelled, is billed by the tokens it used. A
    broken response is not billed. Its use is not known for certain, so the whole reservation stays
    charged.

    Args:
        dispatch: The attempt.
        end: End of its response.
        already_billed: Whether an earlier attempt of the same request was billed.
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
    """Return the settlement of an attempt whose agent was lost: it is charged, but not billed."""
    end = agent_pb2.AnswerEnd(outcome=ledger_pb2.OUTCOME_UNKNOWN)
    return make_settlement(dispatch, end)


def not_run_settlement(dispatch: agent_pb2.Dispatch) -> ledger_pb2.Settlement:
    """Return the settlement of an attempt that is known not to have run."""
    end = agent_pb2.AnswerEnd(outcome=ledger_pb2.OUTCOME_NOT_RUN)
    return make_settlement(dispatch, end)
