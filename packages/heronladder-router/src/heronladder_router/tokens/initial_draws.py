"""Stocks what a gateway holds for others before the first of them asks.

A holder that has just started drew with its first request, and the caller of that gave it up
meanwhile: on a site with two regions a draw takes longer than a request may wait. What is drawn
here is what that request would have drawn.
"""

from heapq import nlargest

from heronladder_runtime.control_link import ControlLink
from heronladder_schema.v1 import resources_pb2

from heronladder_router.tokens.held_tokens import HeldTokens
from heronladder_router.tokens.lenders import Lenders

_MAX_TENANTS = 64  # tenants, the largest: each costs an entry of control's log


class InitialDraws:
    """Draws for the tenants that this gateway is a holder of.

    Args:
        held: The tokens held here.
        lenders: Tells whose holder this gateway is.
        link: The link to control.
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
        self._largest = nlargest(_MAX_TENANTS, limited, key=lambda one: one.prepaid_tokens)
        self.draw_to_target()

    def draw_to_target(self) -> None:
        """Draw what is missing, where this gateway is a holder."""
        if not self._lenders.is_participating:
            return
        for tenant in self._largest:
            if self._lenders.is_holder(tenant.name):
                self._held.draw_to_target(tenant)
