"""The leader's decisions on the size of draws, made before the draws are appended to the log.

If each member decided while it applies a draw, members of builds with different rules would grant
different numbers of tokens, and the next leader could grant tokens a second time.
"""

from dataclasses import dataclass

from heronladder_runtime.errors import RefusedByInvariantError
from heronladder_schema.v1 import control_pb2, ledger_pb2

from heronladder_control import grant_rules
from heronladder_control.prepaid import PrepaidTable, apply_report, find_or_add_holder

_CHANGES_ACCOUNTS = frozenset({"close_prepaid_holder", "apply_configuration", "put_resource"})


@dataclass
class _Projection:
    """An account as it will be once the draws in flight are applied.

    Attributes:
        account: Projected account.
        in_flight: Number of decided draws that are not applied yet.
    """

    account: ledger_pb2.PrepaidAccount
    in_flight: int = 0


class DrawDecisions:
    """Decides draws in the order in which they are appended to the log.

    Args:
        table: Accounts as currently applied.
    """

    def __init__(self, table: PrepaidTable) -> None:
        self._table = table
        self._projections: dict[str, _Projection] = {}

    def decide(self, order: control_pb2.DrawTokens) -> bool:
        """Set the number of tokens that a draw gets.

        The draw must be appended to the log before the next one is decided.

        Args:
            order: The draw, whose ``decided`` is set.

        Returns:
            Whether the draw counts as in flight until ``finish`` is called for it.
        """
        order.decided = 0
        projection = self._projection(order.tenant)
        if projection is None:
            return False
        projection.in_flight += 1
        order.decided = self._grant(projection.account, order)
        return True

    @staticmethod
    def _grant(account: ledger_pb2.PrepaidAccount, order: control_pb2.DrawTokens) -> int:
        """Apply a draw to a projected account, and return the number of tokens granted."""
        holder = find_or_add_holder(account, order.holder, order.incarnation)
        if order.number <= holder.last_number:
            return 0
        holder.last_number = order.number
        try:
            apply_report(holder, order)
        except RefusedByInvariantError:
            return 0  # refused and reported again when it is applied
        size = grant_rules.grant_size(account, order)
        holder.granted += size
        return size

    def _projection(self, tenant: str) -> _Projection | None:
        known = self._projections.get(tenant)
        if known is not None:
            return known
        account = self._table.accounts.get(tenant)
        if account is None:
            return None
        copy = ledger_pb2.PrepaidAccount()
        copy.CopyFrom(account)
        return self._projections.setdefault(tenant, _Projection(copy))

    def finish(self, order: control_pb2.DrawTokens) -> None:
        """Record that a draw was applied, or that its outcome is unknown."""
        projection = self._projections.get(order.tenant)
        if projection is None:
            return
        projection.in_flight -= 1
        if projection.in_flight <= 0:
            del self._projections[order.tenant]

    def applied(self, command: control_pb2.Command) -> None:
        """Discard the projections after a command that changes accounts in another way."""
        if command.WhichOneof("body") in _CHANGES_ACCOUNTS:
            self._projections.clear()
