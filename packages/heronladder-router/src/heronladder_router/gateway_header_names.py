"""Names of the HTTP headers that a gateway exchanges with callers and replicas.

They are configurable: a deployment whose callers use other names supplies its own set. The rest of
the gateway refers to headers only through this class.
"""

from dataclasses import dataclass


@dataclass(frozen=True)
class GatewayHeaderNames:
    """Header names and the meaning of their values.

    Attributes:
        request_id: Identifier of one attempt of a caller; replicas echo it.
        deadline_ms: Time that the caller, or the sending gateway, will wait, in ms.
        expect_replica: Identity of the replica that a request is meant for.
        tenant: Name of the tenant, set by the gateway.
        priority: Priority of the request at the replica, 0 (highest) to 9.
        token_bounds: Prompt tokens and most output tokens: "PROMPT,OUT".
        prompt_parts: Parts of the prompt in order: "ID:TOKENS,ID:TOKENS".
        last_event_id: Id of the last event of a stream that the reader has received.
        resumes: Identifier of the caller's attempt that brought the first event of a stream that
            is taken up.
        not_run: Set by a replica that did not run the request.
        signature: Set by a replica in each response that it generated itself.
        replica_limit: Requests per second that a replica accepts from all gateways together.
        leaving: Set by a replica that accepts no new requests until it ends.
        key_scheme: Scheme in front of the key in Authorization, with its trailing space.
        engine_control_headers: Headers that tell a replica how to run a request (memory to pin,
            to copy or to continue from, a slot to reserve). Only the system may set them, so
            those of a caller are dropped.
    """

    request_id: str = "Heronladder-Request-Id"
    deadline_ms: str = "Heronladder-Timeout-Ms"
    expect_replica: str = "Heronladder-Expect-Replica"
    tenant: str = "Heronladder-Tenant"
    priority: str = "Heronladder-Priority"
    token_bounds: str = "Heronladder-Token-Bounds"
    prompt_parts: str = "Heronladder-Prompt-Parts"
    last_event_id: str = "Last-Event-ID"
    resumes: str = "Heronladder-Resumes"
    not_run: str = "Heronladder-Not-Run"
    signature: str = "Heronladder-Replica"
    replica_limit: str = "Heronladder-Replica-Limit"
    leaving: str = "Heronladder-Leaving"
    key_scheme: str = "Bearer "
    engine_control_headers: tuple[str, ...] = ()
