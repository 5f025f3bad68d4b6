"""Log events about the replicas that a gateway knows."""

from heronladder_runtime.logs import EventLog
from heronladder_schema.v1 import resources_pb2


def log_replica_known(log: EventLog, record: resources_pb2.Replica, revision: int) -> None:
    """Log the registration of a replica, or a change of it.

    Args:
        log: Log to write to.
        record: The registration.
        revision: Revision of the configuration that contains it.
    """
    log.info(
        "replica_known",
        step="replicas",
        peer=record.id,
        start_ms=record.start_ms,
        address=record.address,
        service=record.service,
        zone=record.zone,
        software=record.software,
        draining=record.draining,
        gone=record.gone,
        revision=revision,
    )
