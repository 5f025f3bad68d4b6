"""Decisions that the leader adds to a command before it is appended to the log.

A rule that is evaluated while a command is applied can't change without a new cluster version,
since members of different builds would derive different states from one log. A rule that is
evaluated here can.
"""

from collections.abc import Iterator
from contextlib import contextmanager

from heronladder_runtime.cluster_versions import since
from heronladder_schema.v1 import control_pb2

from heronladder_control.draw_decisions import DrawDecisions
from heronladder_control.state import ControlState

_DECIDED_SINCE = since(control_pb2.DrawTokens.DESCRIPTOR.fields_by_name["decided"])


class LeaderDecisions:
    """Adds the leader's decisions to commands.

    Args:
        state: Applied state, on which the decisions depend.
    """

    def __init__(self, state: ControlState) -> None:
        self._state = state
        self._draws = DrawDecisions(state.prepaid)
        state.listeners.append(lambda command, _: self._draws.applied(command))

    @contextmanager
    def deciding(self, command: control_pb2.Command) -> Iterator[None]:
        """Add decisions to a command; the context lasts until the command's outcome is known."""
        if self._state.cluster_version < _DECIDED_SINCE:
            yield
            return
        for order in self._registrations(command):
            order.keeps_others = not self._state.fleet.is_declared(order.replica.service)
        draw = command.draw_tokens
        if not command.HasField("draw_tokens") or not self._decide(draw):
            yield
            return
        try:
            yield
        finally:
            self._draws.finish(draw)

    def _decide(self, draw: control_pb2.DrawTokens) -> bool:
        """Decide a draw; return whether it counts as in flight."""
        if not self._state.is_current(draw.holder, draw.incarnation):
            return False
        return self._draws.decide(draw)

    @staticmethod
    def _registrations(command: control_pb2.Command) -> list[control_pb2.RegisterReplica]:
        if command.HasField("register_replica"):
            return [command.register_replica]
        if command.HasField("register_replicas"):
            return list(command.register_replicas.orders)
        return []
