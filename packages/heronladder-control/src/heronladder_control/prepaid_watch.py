"""What the leader knows of routers' spending, and what a lost router is charged.

A router announces the most it may use of a tenant. It keeps to what control has
heard of that for as long as it hears control, and for ``WINDOW_HOLDS_S`` after
the newest frame it received. Each frame carries the leader's clock and each
heartbeat gives back the newest one received, so the leader knows a moment until
which the router kept to it for certain. A router whose successor's process began
before that moment is charged with what it announced; any other with all it held. The first
heartbeat of a stream announces for all tenants, later ones what has risen. What
was announced counts in the leader's own term only: after it, another leader may
have heard of more.
"""

from dataclasses import dataclass, field

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.prepaid_window import WINDOW_HOLDS_S
from heronladder_schema.v1 import control_pb2, ledger_pb2

from heronladder_control.prepaid import PrepaidTable

_CLOCK_RATE_MARGIN_S = 0.1  # two steady clocks may differ by this over the time they hold
HolderKey = tuple[str, str]  # router, incarnation


@dataclass
class _Told:
    """What one incarnation of a router told on its newest stream."""

    term: int
    most: dict[str, int] = field(default_factory=dict)  # that it may use, by tenant
    # Leader's clock on the newest frame it received. Never, until it tells of one: on a machine
    # that has just started, 0 is a moment ago, and the holder was charged nothing.
    heard_control_s: float = float("-inf")
    ended_s: float | None = None  # when its successor was heard of


class PrepaidWatch:
    """Follows what routers tell with their heartbeats.

    Args:
        environment: Time.
    """

    def __init__(self, environment: Environment) -> None:
        self._environment = environment
        self._told: dict[HolderKey, _Told] = {}

    def opened(self, holder: HolderKey, term: int) -> None:
        """Note that a router opened a stream; it will tell all anew."""
        self._told[holder] = _Told(term)

    def heartbeat(self, holder: HolderKey, heartbeat: control_pb2.Heartbeat) -> None:
        """Take in what a router tells."""
        told = self._told.get(holder)
        if told is None:
            return
        told.most.update(heartbeat.prepaid_announced)  # only what changed is told
        if heartbeat.control_time_ms:
            heard_s = heartbeat.control_time_ms / MILLISECONDS_PER_SECOND
            told.heard_control_s = max(told.heard_control_s, heard_s)

    def replaced(self, holder: str, incarnation: str, process_age_s: float = 0.0) -> None:
        """Note that a new incarnation of a router was heard of: the others have ended.

        Args:
            holder: The router.
            incarnation: The new one.
            process_age_s: How long ago its process began, at least, in seconds.
        """
        ended_s = self._environment.monotonic() - process_age_s
        for (name, other), told in self._told.items():
            if name == holder and other != incarnation and told.ended_s is None:
                told.ended_s = ended_s

    def charges(
        self, holder: HolderKey, table: PrepaidTable, term: int
    ) -> control_pb2.ClosePrepaidHolder:
        """Return the command that closes a lost router's accounts."""
        order = control_pb2.ClosePrepaidHolder(holder=holder[0], incarnation=holder[1])
        told = self._told.get(holder)
        if told is None or told.term != term or not self._kept_to_window(told):
            return order
        for account in table.accounts.values():
            if self._holds(account, holder):
                order.charges[account.tenant] = told.most.get(account.tenant, 0)
        return order

    @staticmethod
    def _kept_to_window(told: _Told) -> bool:
        if told.ended_s is None:
            return False
        return told.ended_s < told.heard_control_s + WINDOW_HOLDS_S - _CLOCK_RATE_MARGIN_S

    @staticmethod
    def _holds(account: ledger_pb2.PrepaidAccount, holder: HolderKey) -> bool:
        return any((entry.holder, entry.incarnation) == holder for entry in account.holders)

    def forget(self, holder: HolderKey) -> None:
        """Forget a holder whose accounts are closed."""
        self._told.pop(holder, None)
