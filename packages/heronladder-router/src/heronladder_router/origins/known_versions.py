"""Software versions of each service, from the configuration that a gateway holds."""

from collections.abc import Callable, Iterable

from heronladder_runtime.clock import Environment
from heronladder_runtime.configuration import ConfigurationStore
from heronladder_schema.v1 import resources_pb2

# A version counts for this long after its last record has gone, and a gateway knows the versions of
# replicas that reuse their ids once it has held the configuration for as long. Longer than a stream
# may last.
_RETENTION_S = 600.0


class KnownVersions:
    """Software versions that the replicas of each service have or recently had.

    Control keeps the records of replicas that ended for ten minutes, so that a gateway which has
    just started knows their versions too. A replica that starts again under its id replaces its own
    record; such versions are known to gateways that held the earlier record.

    A version that is new to a service begins no stream before its first record is in force. Every
    gateway that holds the newest configuration in force then knows all versions that can have begun
    one.

    Args:
        configuration: Configuration of the gateway.
        environment: Source of the monotonic time.

    Attributes:
        in_force_revision: Returns the newest revision that control reported as in force.
        on_second_version: Called with a service when it has more than one version.
    """

    def __init__(self, configuration: ConfigurationStore, environment: Environment) -> None:
        self._configuration = configuration
        self._environment = environment
        self._last_known_s: dict[str, dict[str, float]] = {}
        self._first_revisions: dict[tuple[str, str], int] = {}
        self._reuses_ids: set[str] = set()
        self._since_s: float | None = None
        self.in_force_revision: Callable[[], int] = lambda: configuration.revision
        self.on_second_version: Callable[[str], None] = lambda _service: None
        configuration.listen(self._rebuild)

    def _rebuild(self) -> None:
        now_s = self._environment.monotonic()
        if self._since_s is None:
            self._since_s = now_s
        several = {service for service, known in self._last_known_s.items() if len(known) > 1}
        for resource in self._configuration.replica_resources():
            self._add(resource.replica, resource.metadata.revision, now_s)
        self._forget(now_s)
        for service, known in self._last_known_s.items():
            if len(known) > 1 and service not in several:
                self.on_second_version(service)

    def _add(self, record: resources_pb2.Replica, revision: int, now_s: float) -> None:
        self._last_known_s.setdefault(record.service, {})[record.software] = now_s
        key = (record.service, record.software)
        self._first_revisions[key] = min(self._first_revisions.get(key, revision), revision)
        if record.start_ms:
            self._reuses_ids.add(record.service)

    def _forget(self, now_s: float) -> None:
        for service, known in self._last_known_s.items():
            for version, last_s in list(known.items()):
                if now_s - last_s > _RETENTION_S:
                    del known[version]
                    self._first_revisions.pop((service, version), None)

    def versions(self, service: str) -> frozenset[str]:
        """Return the versions that a service has or recently had."""
        return frozenset(self._last_known_s.get(service, ()))

    def has_several(self, service: str) -> bool:
        """Return whether a service has or recently had more than one version."""
        return len(self._last_known_s.get(service, ())) > 1

    def is_complete(self, service: str) -> bool:
        """Return whether the versions include all that a running stream may have begun at.

        This holds for the configuration that this gateway has; whether that is the newest one is
        not considered.
        """
        if service not in self._reuses_ids:
            return True
        return self._since_s is not None and (
            self._environment.monotonic() - self._since_s >= _RETENTION_S
        )

    def not_in_force(self, service: str, versions: Iterable[str]) -> frozenset[str]:
        """Return those of some versions that may not begin a stream yet.

        None of them if the service has one version: it can't be taken for another one.
        """
        if not self.has_several(service):
            return frozenset()
        in_force = self.in_force_revision()
        return frozenset(
            version
            for version in versions
            if self._first_revisions.get((service, version), 0) > in_force
        )
