"""Fills the token balances of a holder before the first request for them.

Without this, a holder that has just started draws with its first request. On a site with two
regions a draw takes longer than a request may wait for tokens, so that request is rejected. The
draws made here are the ones that this request would have made.
"""

from heapq import nlargest

from heronladder_runtime.control_link import ControlLink
from heronladder_schema.v1 import resources_pb2

from heronladder_router.tokens.held_tokens import HeldTokens
from heronladder_router.tokens.lenders import Lenders

_MAX_TENANTS = 64  # the tenants with the highest limits; each draw adds an entry to control's log


class InitialDraws:
    """Draws tokens for the tenants of which this gateway is a holder.

    Args:
        held: The tokens that this gateway holds.
        lenders: Determines the tenants of which this gateway is a holder.
        link: The link to control, which delivers the configuration.
    """

    def __init__(self, held: HeldTokens, lenders: Lenders, link: ControlLink) -> None:
        self._held = held
        self._lenders = lenders
        self._link = link
        self._largest: list[resources_pb2.PrepaidTenant] = []
        link.configuration.listen(self._configuration_changed)

    def _configuration_changed(self) -> None:
        fleet = self._link.configuration.fleet()
        if fleet is None:
            return
        limited = (tenant for tenant in fleet.tenants if tenant.limited)
        self._largest = nlargest(_MAX_TENANTS, limited, key=lambda entry: entry.prepaid_tokens)
        self.draw_to_target()

    def draw_to_target(self) -> None:
        """Raise the balance of each tenant that this gateway is a holder of to its target."""
        if not self._lenders.is_participating:
            return
        for tenant in self._largest:
            if self._lenders.is_holder(tenant.name):
                self._held.draw_to_target(tenant)
