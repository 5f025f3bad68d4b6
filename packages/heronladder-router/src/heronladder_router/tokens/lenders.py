"""Selection of the gateways that hold a tenant's tokens ahead of need, and lend them.

Each tenant has one holder in each of a few zones: the gateway of the zone with the highest
rendezvous hash of (tenant, name). All gateways with the same set of known gateways select the
same holders, and a gateway that joins or leaves moves few tenants. Gateways with different sets
may ask different lenders, which has no effect on the tokens that may be spent.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

import xxhash
from heronladder_schema.v1 import control_pb2

from heronladder_router.decisions.region_choice import is_remote

# Holders of a tenant in a single region: as many as one request asks. With five holders, of which
# a request asks three, 0.82 of the tokens requested during a partition are granted; with three it
# is 0.91 (docs/design/token-pools.md).
_MAX_HOLDERS = 3
# Holders in each region if there are several regions. A second one serves while the first is down;
# each additional one would draw over the link between regions.
_MAX_HOLDERS_PER_REGION = 2


@dataclass(frozen=True)
class Lender:
    """A gateway that lends tokens.

    Attributes:
        name: Name of the gateway.
        zone: Its zone.
        address: IP:port of its lending server.
    """

    name: str
    zone: str
    address: str


def _hash_weight(tenant: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{tenant}\0{name}".encode())


class Lenders:
    """The gateways known to control, and the holders of each tenant among them.

    Args:
        name: Name of this gateway.
        zone: Zone of this gateway.
        lends: Whether this gateway lends and borrows. Otherwise it holds tokens of every tenant
            that it serves.
        regions: Region of each zone; zones without an entry belong to one common region.

    Attributes:
        names: Names of all gateways that control has reported.
        gateway_count: Number of gateways according to control; set from the link to control.
    """

    def __init__(
        self, name: str, zone: str, *, lends: bool, regions: Mapping[str, str] | None = None
    ) -> None:
        self._regions = regions or {}
        self._name = name
        self._zone = zone
        self._lends = lends
        self._known: dict[str, Lender] = {}
        self._holders: dict[str, list[Lender]] = {}  # cache by tenant
        self.names: frozenset[str] = frozenset()
        self.gateway_count = 1

    def update(self, changes: Iterable[control_pb2.Lender]) -> None:
        """Apply an update from control.

        Args:
            changes: Gateways that were added, changed or removed (empty address).
        """
        for entry in changes:
            if entry.address:
                self._known[entry.name] = Lender(entry.name, entry.zone, entry.address)
            else:
                self._known.pop(entry.name, None)
        self.names = frozenset(self._known)
        self._holders.clear()

    def find(self, name: str) -> Lender | None:
        """Return the gateway of that name, or None if it is not known."""
        return self._known.get(name)

    def known(self) -> Collection[Lender]:
        """Return all gateways that control has announced."""
        return self._known.values()

    @property
    def is_participating(self) -> bool:
        """Whether this gateway lends and borrows, which requires that control has announced it."""
        return self._lends and self._name in self._known

    def holders(self, tenant: str) -> list[Lender]:
        """Return the holders of a tenant, in the same order at every gateway."""
        holders = self._holders.get(tenant)
        if holders is None:
            holders = self._holders[tenant] = self._select_holders(tenant)
        return holders

    def _select_holders(self, tenant: str) -> list[Lender]:
        best: dict[str, Lender] = {}
        for lender in self._known.values():
            top = best.get(lender.zone)
            if top is None or _hash_weight(tenant, lender.name) > _hash_weight(tenant, top.name):
                best[lender.zone] = lender
        ordered = sorted(best.values(), key=lambda lender: -_hash_weight(tenant, lender.zone))
        regions = {self._region(lender) for lender in ordered}
        if len(regions) <= 1:
            return ordered[:_MAX_HOLDERS]
        selected_in = dict.fromkeys(regions, 0)
        holders = []
        for lender in ordered:
            region = self._region(lender)
            if selected_in[region] < _MAX_HOLDERS_PER_REGION:
                selected_in[region] += 1
                holders.append(lender)
        return holders

    def _region(self, lender: Lender) -> str:
        return self._regions.get(lender.zone, "")

    def is_remote(self, lender: Lender) -> bool:
        """Return whether a gateway is in another region than this one."""
        return is_remote(self._zone, lender.zone, self._regions)

    def lender_candidates(self, tenant: str) -> list[Lender]:
        """Return the other holders of a tenant: this zone first, then this region, then others."""
        others = [lender for lender in self.holders(tenant) if lender.name != self._name]
        return sorted(
            others, key=lambda lender: (self.is_remote(lender), lender.zone != self._zone)
        )

    def is_holder(self, tenant: str) -> bool:
        """Return whether this gateway holds tokens of a tenant ahead of need."""
        if not self.is_participating:
            return True
        return any(lender.name == self._name for lender in self.holders(tenant))

    def holder_count(self, tenant: str) -> int:
        """Return the number of gateways that hold tokens of a tenant ahead of need, at least 1."""
        if not self.is_participating:
            return max(1, self.gateway_count)
        return max(1, len(self.holders(tenant)))
