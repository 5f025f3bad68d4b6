"""Name of the group of gateways that lend to each other, as it appears in loan messages."""

from collections.abc import Callable
from dataclasses import dataclass

from heronladder_runtime.cluster_versions import since
from heronladder_schema.v1 import control_pb2

_GROUP_NAME_VERSION = since(control_pb2.Command.DESCRIPTOR.fields_by_name["name_group"])


@dataclass(frozen=True)
class LendingGroup:
    """Names of the control group that granted the tokens on loan.

    Attributes:
        group: Name of the control group. All builds know it once the cluster version lets the
            log contain it.
        region: Region of this gateway, which earlier builds use as the name of the group.
        cluster_version: Returns the cluster version in force.
    """

    group: str
    region: str
    cluster_version: Callable[[], int]

    def name_for(self, *, is_remote: bool) -> str:
        """Return the name by which a lender knows the group.

        Args:
            is_remote: Whether the lender is in another region. Earlier builds lend nothing across
                regions, so that every lender there knows the group's own name.
        """
        is_named = is_remote or self.cluster_version() >= _GROUP_NAME_VERSION
        return self.group if is_named else self.region

    def is_own(self, name: str) -> bool:
        """Return whether a name denotes this group.

        Both names are accepted, since the cluster version may rise while a message is in flight.
        """
        return name in (self.group, self.region)
