"""Names that a gateway's callers and replicas use in HTTP headers.

A deployment whose callers speak of the same matters under other names gives its
own set; nothing else in the gateway knows a header by its text.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class GatewayHeaderNames:
    """Header names, and what stands in them.

    Attributes:
        request_id: Identifier of one attempt of a caller; replicas give it back.
        deadline_ms: Milliseconds the caller, or the sender, will wait.
        expect_replica: Identity of the replica a request is meant for.
        tenant: Name of the tenant, set by the gateway.
        priority: Rank of the request at the replica, 0 (first) to 9.
        token_bounds: Tokens of the prompt and most tokens out: "PROMPT,OUT".
        prompt_parts: Parts of the prompt in order: "ID:TOKENS,ID:TOKENS".
        last_event_id: Last event of a stream that the reader has.
        not_run: Set by a replica that did not run the request.
        signature: Set by a replica in each answer of its own.
        replica_limit: Requests a second that a replica takes from all gateways together.
        leaving: Set by a replica that takes no new requests for the rest of its life.
        key_scheme: Word before the key in Authorization, with its blank.
        engine_orders: Headers by which a replica is told how to run a request (memory
            to pin, to copy or to continue from, a slot set aside). Only the system may
            set them, so a caller's are dropped.
    """

    request_id: str = "Heronladder-Request-Id"
    deadline_ms: str = "Heronladder-Timeout-Ms"
    expect_replica: str = "Heronladder-Expect-Replica"
    tenant: str = "Heronladder-Tenant"
    priority: str = "Heronladder-Priority"
    token_bounds: str = "Heronladder-Token-Bounds"
    prompt_parts: str = "Heronladder-Prompt-Parts"
    last_event_id: str = "Last-Event-ID"
    not_run: str = "Heronladder-Not-Run"
    signature: str = "Heronladder-Replica"
    replica_limit: str = "Heronladder-Replica-Limit"
    leaving: str = "Heronladder-Leaving"
    key_scheme: str = "Bearer "
    engine_control_headers: tuple[str, ...] = ()
