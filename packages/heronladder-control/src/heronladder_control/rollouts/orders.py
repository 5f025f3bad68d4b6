"""Classification of rollout orders that reach the leader: retries, late copies and new orders."""

from __future__ import annotations

from heronladder_schema.v1 import control_pb2

from heronladder_control.evacuations import OvertakenOrders
from heronladder_control.member_context import MemberContext
from heronladder_control.rollouts.table import RUNNING, phase_name

# Operators' tools retry an order for at most 5 s. The same order is a new one if it comes this long
# after the earlier one ended.
_RETRY_WINDOW_S = 10.0


class RolloutOrders:
    """Classifies rollout orders at the leader.

    Args:
        member: Context of this control member.
    """

    def __init__(self, member: MemberContext) -> None:
        self._member = member
        self._late = OvertakenOrders(member.environment)
        self._ended_s: dict[str, float] = {}  # by service, in this term; monotonic clock
        self._began_s = 0.0

    def start_term(self) -> None:
        """Start a term as the leader; any order may have ended immediately before."""
        self._late.start_term(self._member.node.term)
        self._ended_s.clear()
        self._began_s = self._member.environment.monotonic()

    def is_superseded(self, order: control_pb2.StartRollout, age_s: float) -> bool:
        """Whether another order for the service was accepted after this one was received.

        Sets ``anew`` in the order if it is not a retry.

        Args:
            order: The order.
            age_s: Time since a control member received it, in seconds.
        """
        held = self._member.state.rollouts.get(order.service)
        now_s = self._member.environment.monotonic()
        order.anew = now_s - self._ended_s.get(order.service, self._began_s) >= _RETRY_WINDOW_S
        same = held is not None and held.target == order.target
        late = not same and self._late.is_superseded(order.service, age_s, self._member.node.term)
        self._member.log.info(
            "rollout_ordered",
            step="rollout",
            peer=order.service,
            target=order.target,
            duration_ms=order.duration_ms,
            age_s=age_s,
            anew=order.anew,
            overtaken=late,
            phase=phase_name(held.phase) if held is not None else "none",
            held=held.target if held is not None else "",
        )
        return late

    def applied(self, command: control_pb2.Command, result: control_pb2.CommandResult) -> None:
        """Record and log an order or a phase change that was just applied."""
        if result.code != control_pb2.RESULT_CODE_OK:
            return
        is_order = command.WhichOneof("body") == "start_rollout"
        body = command.start_rollout if is_order else command.advance_rollout
        if result.resource.metadata.revision != self._member.state.applied_index:
            return  # the command changed nothing
        if is_order:
            self._late.note_change(body.service)
        record = result.resource.rollout
        if record.phase not in RUNNING:
            self._ended_s[body.service] = self._member.environment.monotonic()
        if self._member.node.is_leader:
            self._member.metrics.add("rollout_phases", phase_name(record.phase))
            self._member.log.info(
                "rollout_phase",
                step="rollout",
                peer=body.service,
                target=record.target,
                newcomer=record.newcomer,
                phase=phase_name(record.phase),
                admitted=",".join(record.admitted),
                refused=",".join(record.refused),
                revision=result.resource.metadata.revision,
                reason=record.reason,
            )
