"""Index of the versions of each service's replicas, maintained as replica resources change."""

from collections import Counter

from heronladder_schema.v1 import resources_pb2


class VersionIndex:
    """Counts replicas by service and version.

    A search through all replicas at each registration would take 9,000,000 reads when 3,000
    replicas register at once.
    """

    def __init__(self) -> None:
        self._live: dict[str, Counter[str]] = {}
        self._known: dict[str, Counter[str]] = {}

    def changed(
        self, before: resources_pb2.Resource | None, after: resources_pb2.Resource | None
    ) -> None:
        """Replace a replica's earlier state by its new one.

        Args:
            before: Earlier state; None if the replica is new.
            after: New state; None if the replica was removed.
        """
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
        """Return the versions of all replicas on record, also of those that have left."""
        return set(self._known.get(service, ()))
