"""Settings and components shared by the modules that forward requests to agents."""

import json
from dataclasses import dataclass

from heronladder_runtime.clock import Environment
from heronladder_runtime.control_link import ControlLink
from heronladder_runtime.logs import EventLog
from heronladder_runtime.metrics import Metrics

from heronladder_router.admission import AdmissionQueue
from heronladder_router.agent_channel import AgentChannel
from heronladder_router.attempt import Attempt
from heronladder_router.bookkeeping import Bookkeeper
from heronladder_router.claims import ClaimClient
from heronladder_router.errors import CallerError
from heronladder_router.leases import LeaseManager
from heronladder_router.outcome_queries import OutcomeQueries, UnresolvedAttempt
from heronladder_router.replicas import ReplicaDirectory
from heronladder_router.requests import CallerRequest
from heronladder_router.selection import ReplicaSelector
from heronladder_router.settlement_sender import SettlementSender

ATTACH_ATTEMPTS = 3
ATTACH_RETRY_DELAY_S = 0.5
DONE_EVENT = b"data: [DONE]\n\n"


@dataclass(frozen=True)
class ForwardingOptions:
    """Settings for forwarding requests.

    Attributes:
        router: Name of the router.
        admission_wait_s: Maximum wait for budget tokens or a free backend, in seconds.
    """

    router: str
    admission_wait_s: float


@dataclass
class ForwardingContext:
    """Components that forwarding uses.

    Attributes:
        link: Link of the router to control.
        channel: Connection to the agents.
        directory: Directory of all replicas.
        selector: Chooses the replica for an attempt.
        admission: Queue of requests that wait for a free backend.
        leases: Leases of the router.
        settler: Sends settlements to control.
        bookkeeper: Settles attempts.
        claims: Claims requests at control.
        outcome_queries: Resolves attempts whose outcome is unknown.
        environment: Clock and random numbers.
        metrics: Receives counters and histograms.
        log: Receives log events.
    """

    link: ControlLink
    channel: AgentChannel
    directory: ReplicaDirectory
    selector: ReplicaSelector
    admission: AdmissionQueue
    leases: LeaseManager
    settler: SettlementSender
    bookkeeper: Bookkeeper
    claims: ClaimClient
    outcome_queries: OutcomeQueries
    environment: Environment
    metrics: Metrics
    log: EventLog

    def remaining_s(self, request: CallerRequest) -> float:
        """Return the time left until the request's deadline, in seconds; at least 0."""
        return max(0.0, request.deadline_s - self.environment.monotonic())

    def defer_outcome(self, attempt: Attempt) -> None:
        """Hand an attempt with unknown outcome over to ``outcome_queries``, which settles it."""
        attempt.settled = True
        self.outcome_queries.add(
            UnresolvedAttempt(
                attempt.dispatch,
                attempt.reservation,
                attempt.address,
                attempt.agent,
                attempt.already_billed,
            )
        )


def error_event(error: CallerError) -> bytes:
    """Return the server-sent event that reports an error to the reader of a stream."""
    document = {"error": {"message": error.message, "type": error.code, "code": error.code}}
    return b"data: " + json.dumps(document).encode() + b"\n\n"
