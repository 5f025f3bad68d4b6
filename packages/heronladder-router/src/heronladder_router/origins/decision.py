"""Decides how the origin of a stream that is taken up becomes known."""

from collections.abc import Collection
from enum import Enum


class OriginSource(Enum):
    """How a gateway learns which software version began a stream. The log uses these names."""

    RECORDED = "recorded"  # this gateway keeps it
    SINGLE_VERSION = "single_version"  # the service has had no other version
    HOLDERS = "holders"  # another gateway keeps it
    UNKNOWN = "unknown"


def choose_source(
    *, is_recorded: bool, is_named: bool, versions: Collection[str], is_certain: bool
) -> OriginSource:
    """Return how the origin of a stream is to be learned.

    Args:
        is_recorded: Whether this gateway keeps the origin.
        is_named: Whether the caller named the attempt that received the first event.
        versions: Software versions that the service is known to have had for as long as a stream
            may last.
        is_certain: Whether no replica of another version can have begun a stream by now: this
            gateway holds the newest configuration in force.

    Returns:
        The source; ``HOLDERS`` means that other gateways are to be asked.
    """
    if is_recorded:
        return OriginSource.RECORDED
    if is_certain and len(versions) == 1:
        return OriginSource.SINGLE_VERSION
    return OriginSource.HOLDERS if is_named else OriginSource.UNKNOWN
