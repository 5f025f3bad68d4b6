"""Who may be served and where, as a configuration states it.

Whether keys are checked and whether regions are bound are statements of their own. They do not
follow from what is listed: a list without entries allows nothing. Builds before cluster version 2
store only the lists, and take an empty one for no check.
"""

from collections.abc import Callable

from heronladder_schema.v1 import resources_pb2

# Entries that stand for nothing in a list that an earlier build would take for no check: no key has
# this hash, and no region this name.
_HASH_OF_NO_KEY = "-"
_NO_REGION = ""
_NAME_OF_NO_TENANT = "-"

BoundToRegions = resources_pb2.HostRoute | resources_pb2.PrepaidTenant


def requires_key(
    fleet: resources_pb2.FleetConfiguration, document_requires_key: Callable[[bytes], bool]
) -> bool:
    """Return whether a request needs a key of a tenant, unless its route is anonymous.

    Args:
        fleet: The configuration.
        document_requires_key: Reads it from the document that an operator sent; raises ValueError
            if it cannot. It is asked for configurations without a tenant that were stored below
            cluster version 2.
    """
    if fleet.key_check != resources_pb2.KEY_CHECK_UNSPECIFIED:
        return fleet.key_check == resources_pb2.KEY_CHECK_REQUIRED
    try:
        return bool(fleet.tenants) or document_requires_key(fleet.source)
    except ValueError:
        return True  # nobody is let in by a document that this build cannot read


def allowed_regions(entry: BoundToRegions) -> frozenset[str] | None:
    """Return the regions that may serve a route or tenant; None for any."""
    if not entry.region_bound and not entry.home_regions:
        return None
    return frozenset(entry.home_regions)


def close_for_earlier_builds(fleet: resources_pb2.FleetConfiguration) -> None:
    """Make builds that look at the lists only allow no more than the configuration does.

    A gateway of such a build may still run while the cluster version is below 2.
    """
    has_key = any(tenant.key_sha256 for tenant in fleet.tenants)
    if fleet.key_check == resources_pb2.KEY_CHECK_REQUIRED and not has_key:
        tenant = fleet.tenants[0] if fleet.tenants else fleet.tenants.add(name=_NAME_OF_NO_TENANT)
        tenant.key_sha256.append(_HASH_OF_NO_KEY)
    entries: list[BoundToRegions] = [*fleet.routes, *fleet.tenants]
    for entry in entries:
        if entry.region_bound and not entry.home_regions:
            entry.home_regions.append(_NO_REGION)
