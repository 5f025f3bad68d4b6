"""Selects the gateways that keep the origin of a stream.

All gateways that know the same gateways rank them alike, and a gateway that joins or leaves moves
few ranks. The writer records at the first ones that answer, the reader asks more than that, so that
both need not know the same gateways.
"""

from collections.abc import Iterable, Mapping

import xxhash

from heronladder_router.origins.origin import StreamName
from heronladder_router.tokens.lenders import Lender

RECORDED_AT = 2  # holders beside the gateway that serves the stream
ASKED = 8  # gateways that are asked for the origin of a stream, at once


def rank(
    name: StreamName, gateways: Iterable[Lender], own: str, zone: str, regions: Mapping[str, str]
) -> list[Lender]:
    """Return the other gateways in the order in which they keep the origin of a stream.

    The best of each zone come before the second best of any, so that the loss of a zone leaves a
    holder. Gateways of this region come first: a caller takes its stream up there if it can.

    Args:
        name: Name of the stream.
        gateways: All gateways.
        own: Name of this gateway, which is left out.
        zone: Zone of this gateway.
        regions: Region of each zone; zones without an entry belong to one common region.
    """
    weights = {gateway.name: _weight(name, gateway.name) for gateway in gateways}
    ordered = sorted(gateways, key=lambda gateway: -weights[gateway.name])
    seen: dict[str, int] = {}
    ranks: list[tuple[bool, int, int, Lender]] = []
    for position, gateway in enumerate(ordered):
        ahead_in_zone = seen.get(gateway.zone, 0)
        seen[gateway.zone] = ahead_in_zone + 1
        is_remote = regions.get(gateway.zone, "") != regions.get(zone, "")
        ranks.append((is_remote, ahead_in_zone, position, gateway))
    ranks.sort(key=lambda entry: entry[:3])
    return [gateway for *_, gateway in ranks if gateway.name != own]


def _weight(name: StreamName, gateway: str) -> int:
    return xxhash.xxh64_intdigest(f"{name.tenant}\0{name.request_id}\0{gateway}".encode())
