"""Names and origins of streams."""

from dataclasses import dataclass


@dataclass(frozen=True)
class StreamName:
    """Identity of a stream over all attempts of its caller.

    Request ids are chosen by callers, so that two tenants may use the same one.

    Attributes:
        tenant: Name of the tenant; empty for an anonymous caller.
        request_id: Id of the attempt that received the first event.
    """

    tenant: str
    request_id: str


@dataclass(frozen=True)
class Origin:
    """Service and software version of the replica that sent the first event of a stream."""

    service: str
    software: str
