"""Which gateways hold a tenant's tokens ahead of need, and whom to borrow from.

Each tenant has one holder in each of a few zones: the gateway of the zone with the
highest rendezvous hash over (tenant, name). All gateways that know of the same gateways
name the same holders, and a gateway that comes or goes moves few tenants. Two views of
who holds differ in who is asked, and never in what may be spent.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

import xxhash
from heronladder_schema.v1 import control_pb2

from heronladder_router.decisions.region_choice import is_remote

# Holders of a tenant, at most: as many as one request asks. With five, of which three are
# asked, a replayed cut served 0.82 of the tokens asked for, with three 0.91
# (docs/design/token-pools.md).
_HOLDERS = 3
# Of each region, where there are several: one may be down, and more would each draw over the
# link between regions.
_HOLDERS_IN_REGION = 2


@dataclass(frozen=True)
class Lender:
    """A gateway that lends tokens.

    Attributes:
        name: Its name.
        zone: Its zone.
        address: IP:port at which it lends.
    """

    name: str
    zone: str
    address: str


def _weight(tenant: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{tenant}\0{name}".encode())


class Lenders:
    """The gateways that control knows, and the holders among them.

    Args:
        name: This gateway.
        zone: Its zone.
        lends: Whether it takes part; otherwise it holds tokens of every tenant it serves.
        regions: Region of each zone; zones not named are of one region.
    """

    def __init__(
        self, name: str, zone: str, *, lends: bool, regions: Mapping[str, str] | None = None
    ) -> None:
        self._regions = regions or {}
        self._name = name
        self._zone = zone
        self._lends = lends
        self._known: dict[str, Lender] = {}
        self._holders: dict[str, list[Lender]] = {}  # found so far, by tenant
        self.names: frozenset[str] = frozenset()  # of all gateways that control has told of
        self.gateways = 1  # that control counts; told by the link

    def update(self, told: Iterable[control_pb2.Lender]) -> None:
        """Take in what control tells of gateways that came, changed or went."""
        for entry in told:
            if entry.address:
                self._known[entry.name] = Lender(entry.name, entry.zone, entry.address)
            else:
                self._known.pop(entry.name, None)
        self.names = frozenset(self._known)
        self._holders.clear()

    def known(self, name: str) -> Lender | None:
        """Return a gateway by its name, or None."""
        return self._known.get(name)

    @property
    def takes_part(self) -> bool:
        """Whether this gateway lends and borrows: control has told others of it."""
        return self._lends and self._name in self._known

    def holders(self, tenant: str) -> list[Lender]:
        """Return a tenant's holders, in the same order at every gateway."""
        found = self._holders.get(tenant)
        if found is None:
            found = self._holders[tenant] = self._choose(tenant)
        return found

    def _choose(self, tenant: str) -> list[Lender]:
        best: dict[str, Lender] = {}
        for lender in self._known.values():
            held = best.get(lender.zone)
            if held is None or _weight(tenant, lender.name) > _weight(tenant, held.name):
                best[lender.zone] = lender
        ordered = sorted(best.values(), key=lambda lender: -_weight(tenant, lender.zone))
        regions = {self._region(lender) for lender in ordered}
        if len(regions) <= 1:
            return ordered[:_HOLDERS]
        held_in = dict.fromkeys(regions, 0)
        holders = []
        for lender in ordered:
            region = self._region(lender)
            if held_in[region] < _HOLDERS_IN_REGION:
                held_in[region] += 1
                holders.append(lender)
        return holders

    def _region(self, lender: Lender) -> str:
        return self._regions.get(lender.zone, "")

    def is_remote(self, lender: Lender) -> bool:
        """Whether a gateway stands in another region."""
        return is_remote(self._zone, lender.zone, self._regions)

    def to_ask(self, tenant: str) -> list[Lender]:
        """Return the other holders of a tenant: of this zone, this region, then elsewhere."""
        others = [lender for lender in self.holders(tenant) if lender.name != self._name]
        return sorted(
            others, key=lambda lender: (self.is_remote(lender), lender.zone != self._zone)
        )

    def is_holder(self, tenant: str) -> bool:
        """Whether this gateway holds tokens of a tenant ahead of need."""
        if not self.takes_part:
            return True
        return any(lender.name == self._name for lender in self.holders(tenant))

    def holder_count(self, tenant: str) -> int:
        """Return how many gateways hold tokens of a tenant ahead of need; at least 1."""
        if not self.takes_part:
            return max(1, self.gateways)
        return max(1, len(self.holders(tenant)))
