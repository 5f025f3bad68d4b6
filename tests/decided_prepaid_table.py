"""Prepaid accounts whose draws are decided as by a leader before they are applied."""

from heronladder_control import grant_rules
from heronladder_control.draw_decisions import DrawDecisions
from heronladder_control.prepaid import PrepaidTable
from heronladder_schema.v1 import control_pb2, ledger_pb2


class DecidedPrepaidTable(PrepaidTable):
    """Accounts of a group with one member, in which each draw is decided and then applied."""

    def __init__(self) -> None:
        super().__init__()
        self._decisions = DrawDecisions(self)

    def draw(self, order: control_pb2.DrawTokens) -> control_pb2.CommandResult:
        """Decide and apply a draw."""
        is_in_flight = self._decisions.decide(order)
        try:
            return super().draw(order)
        finally:
            if is_in_flight:
                self._decisions.finish(order)

    @staticmethod
    def charged(account: ledger_pb2.PrepaidAccount) -> int:
        """Return the number of tokens that are used or that a holder may still use."""
        return grant_rules.charged(account)

    @staticmethod
    def available(account: ledger_pb2.PrepaidAccount) -> int:
        """Return the number of tokens that can be granted."""
        return grant_rules.available(account)
