"""Versions of each service's replicas, kept beside the resources they are read from."""

from collections import Counter

from heronladder_schema.v1 import resources_pb2


class VersionIndex:
    """Counts replicas by service and version, as they are written.

    With a search through all replicas at each registration, 3,000 that register at once are
    9,000,000 reads.
    """

    def __init__(self) -> None:
        self._live: dict[str, Counter[str]] = {}
        self._known: dict[str, Counter[str]] = {}

    def changed(
        self, before: resources_pb2.Resource | None, after: resources_pb2.Resource | None
    ) -> None:
        """Take a replica's new state in place of its earlier one."""
        for resource, step in ((before, -1), (after, 1)):
            if resource is None:
                continue
            replica = resource.replica
            self._adjust(self._known, replica, step)
            if not (replica.gone or replica.draining):
                self._adjust(self._live, replica, step)

    @staticmethod
    def _adjust(counts: dict[str, Counter[str]], replica: resources_pb2.Replica, step: int) -> None:
        of_service = counts.setdefault(replica.service, Counter())
        of_service[replica.software] += step
        if of_service[replica.software] <= 0:
            del of_service[replica.software]

    def live(self, service: str) -> set[str]:
        """Return the versions of the replicas that are not leaving."""
        return set(self._live.get(service, ()))

    def known(self, service: str) -> set[str]:
        """Return the versions of all replicas on record, also of those that left."""
        return set(self._known.get(service, ()))
