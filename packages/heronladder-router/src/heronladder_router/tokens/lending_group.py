"""What gateways that lend to each other call their group."""

from collections.abc import Callable
from dataclasses import dataclass

from heronladder_runtime.cluster_versions import since
from heronladder_schema.v1 import control_pb2

_GROUP_NAME_VERSION = since(control_pb2.Command.DESCRIPTOR.fields_by_name["name_group"])


@dataclass(frozen=True)
class LendingGroup:
    """Names of the group that granted what is lent.

    Attributes:
        group: The control group's name, known to all builds once the log may name it.
        region: The gateway's region, by which earlier builds name the group.
        cluster_version: Returns the cluster version in force.
    """

    group: str
    region: str
    cluster_version: Callable[[], int]

    def name_for(self, *, is_remote: bool) -> str:
        """Return the name by which a lender knows the group.

        Args:
            far: Whether it stands in another region, where earlier builds lend nothing to this one.
        """
        is_named = is_remote or self.cluster_version() >= _GROUP_NAME_VERSION
        return self.group if is_named else self.region

    def is_own(self, name: str) -> bool:
        """Whether a message names this group, by either name: the version may rise meanwhile."""
        return name in (self.group, self.region)
