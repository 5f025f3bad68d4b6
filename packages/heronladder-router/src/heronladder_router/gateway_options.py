"""Settings of a gateway."""

from collections.abc import Callable
from dataclasses import dataclass, field

from heronladder_router.gateway_header_names import GatewayHeaderNames


def requires_no_key(document: bytes) -> bool:
    """Return False: without an adapter, configurations have no document."""
    return False


@dataclass(frozen=True)
class GatewayOptions:
    """Settings of a gateway.

    Attributes:
        name: Name of the daemon.
        region: Region of the gateway.
        zone: Zone of the gateway.
        control_addresses: gRPC addresses of the control members.
        heartbeat_s: Time between heartbeats, in seconds.
        retry_ratio: Retries allowed per request of a service.
        retry_slack: Retries that all gateways together may send in addition.
        retry_window_s: Window over which requests and retries are counted, in seconds.
        stale_limit_s: Time without control after which the gateway is not ready, in seconds.
        names: Header names.
        lending_address: IP:port at which other gateways borrow tokens; empty if they cannot.
        lending_key_file: File with the keys that authenticate loan messages; empty if none.
        zone_regions: Region of each zone.
        cold_over: Rate that all gateways together may send to a cold replica, as a multiple of
            its capacity.
        cold_slack: Requests per second that they may send to it in addition.
        group: Control group; empty if it is named like the region.
        remote_cost_ms: Cost added to an attempt in a remote region, in ms: network latency and
            transfer of the body.
        far_sends_per_s: Most requests per second that may go to remote regions while the local
            region has replicas.
        wait_for_places: Whether plain requests wait for a replica slot, and are rejected if they
            cannot be served in time.
        behind_after_ms: Link round trip or loop lag, in ms, above which the gateway is not ready;
            0 disables the check.
        measured_speed: Whether replicas are compared by measured speed instead of constants.
        measured_patience: Whether the attempt timeout of a stream follows from measured times to
            the first event.
        document_requires_key: Reads from an operator's document whether requests need a key.
    """

    name: str
    region: str
    zone: str
    control_addresses: list[str]
    heartbeat_s: float = 0.3
    retry_ratio: float = 0.2
    retry_slack: int = 50
    retry_window_s: float = 10.0
    stale_limit_s: float = 120.0
    names: GatewayHeaderNames = field(default_factory=GatewayHeaderNames)
    lending_address: str = ""
    lending_key_file: str = ""
    zone_regions: dict[str, str] = field(default_factory=dict)
    cold_over: float = 1.5
    cold_slack: int = 5
    group: str = ""
    remote_cost_ms: float = 150.0
    far_sends_per_s: int = 5
    wait_for_places: bool = False
    behind_after_ms: float = 0.0
    measured_speed: bool = False
    measured_patience: bool = False
    document_requires_key: Callable[[bytes], bool] = requires_no_key
