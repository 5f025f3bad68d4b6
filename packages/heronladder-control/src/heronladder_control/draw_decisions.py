"""The leader decides what draws get before they go into the log.

Members of two builds with other rules would grant other tokens for one draw, and the next leader
would grant again what it does not know of.
"""

from dataclasses import dataclass

from heronladder_runtime.errors import RefusedByInvariantError
from heronladder_schema.v1 import control_pb2, ledger_pb2

from heronladder_control import grant_rules
from heronladder_control.prepaid import PrepaidTable, apply_report, find_or_add_holder

_CHANGES_ACCOUNTS = frozenset({"close_prepaid_holder", "apply_configuration", "put_resource"})


@dataclass
class _Projection:
    """An account as it will be once the draws under way are applied."""

    account: ledger_pb2.PrepaidAccount
    in_flight: int = 0


class DrawDecisions:
    """Decides draws in the order in which they go into the log.

    Args:
        table: The accounts as they are.
    """

    def __init__(self, table: PrepaidTable) -> None:
        self._table = table
        self._projections: dict[str, _Projection] = {}

    def decide(self, order: control_pb2.DrawTokens) -> bool:
        """Add to a draw what it gets; it has to go into the log before the next one is decided.

        Returns:
            Whether it counts as under way until ``ended``.
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
        """Carry a draw out in a projection; return what it gets."""
        holder = find_or_add_holder(account, order.holder, order.incarnation)
        if order.number <= holder.last_number:
            return 0
        holder.last_number = order.number
        try:
            apply_report(holder, order)
        except RefusedByInvariantError:
            return 0  # refused again where it is applied, and reported there
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

    def ended(self, order: control_pb2.DrawTokens) -> None:
        """Note that a draw was applied, or that it is not known whether it will be."""
        projection = self._projections.get(order.tenant)
        if projection is None:
            return
        projection.in_flight -= 1
        if projection.in_flight <= 0:
            del self._projections[order.tenant]

    def applied(self, command: control_pb2.Command) -> None:
        """Begin with the accounts as they are once something else changed them."""
        if command.WhichOneof("body") in _CHANGES_ACCOUNTS:
            self._projections.clear()
