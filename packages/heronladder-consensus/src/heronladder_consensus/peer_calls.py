"""RPC calls to other members, each with a timeout that adapts to the peer's response times.

With a fixed timeout, every call to a peer that responds slightly later than the timeout fails: no
candidate gets its votes and no leader keeps its quorum for as long as the peer is busy.
"""

from typing import Any

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.rpc import StubFactory
from heronladder_runtime.rpc_errors import RPC_ERRORS
from heronladder_schema.v1 import consensus_pb2

from heronladder_consensus.timing import ConsensusTiming

_TIMEOUT_FACTOR = 2.0  # timeout as a multiple of the expected response time
_DECAY_FACTOR = 0.9  # weight of the old expectation when a response was faster than it
_MAX_DOUBLINGS = 8  # bounds the counter; the longest timeout is reached much earlier


class AdaptiveTimeout:
    """Timeout of calls to one peer, derived from the response times of that peer.

    It works like TCP's retransmission timeout: longer than the expected response time, and doubled
    for each consecutive call that timed out.

    Args:
        min_s: Shortest timeout, in seconds.
        max_s: Longest timeout, in seconds.
    """

    def __init__(self, min_s: float, max_s: float) -> None:
        self._min_s = min_s
        self._max_s = max_s
        self._expected_s = 0.0
        self._expired = 0  # consecutive calls that timed out

    @property
    def timeout_s(self) -> float:
        """Timeout of the next call, in seconds."""
        base_s = max(self._min_s, _TIMEOUT_FACTOR * self._expected_s)
        return min(self._max_s, base_s * 2.0**self._expired)

    def record_reply(self, took_s: float) -> None:
        """Record the response time of a call.

        A longer response time than expected takes effect at once, a shorter one gradually.

        Args:
            took_s: Response time, in seconds.
        """
        self._expired = 0
        decayed_s = _DECAY_FACTOR * self._expected_s + (1.0 - _DECAY_FACTOR) * took_s
        self._expected_s = max(took_s, decayed_s)

    def record_timeout(self) -> None:
        """Record that a call timed out."""
        self._expired = min(self._expired + 1, _MAX_DOUBLINGS)


class PeerCalls:
    """RPC client of one member for calls to the other members.

    Args:
        stubs: Creates gRPC stubs by address.
        timing: Shortest and longest timeouts.
        environment: Clock, and the lag of this process's event loop.
        log: Event log for calls that time out.
    """

    def __init__(
        self, stubs: StubFactory, timing: ConsensusTiming, environment: Environment, log: EventLog
    ) -> None:
        self._stubs = stubs
        self._timing = timing
        self._environment = environment
        self._log = log
        self._timeouts: dict[str, AdaptiveTimeout] = {}  # by address

    async def request_vote(
        self, peer: consensus_pb2.Member, request: consensus_pb2.VoteRequest
    ) -> consensus_pb2.VoteReply:
        """Request a vote or pre-vote from a peer.

        Raises:
            RpcError, OSError, TimeoutError: The peer did not respond.
        """
        min_s = self._timing.vote_timeout_s
        reply: consensus_pb2.VoteReply = await self._call(peer, "RequestVote", request, min_s)
        return reply

    async def append_entries(
        self, peer: consensus_pb2.Member, request: consensus_pb2.AppendRequest
    ) -> consensus_pb2.AppendReply:
        """Send log entries to a peer, or a heartbeat if the request holds none.

        Raises:
            RpcError, OSError, TimeoutError: The peer did not respond.
        """
        min_s = self._timing.call_timeout_s
        reply: consensus_pb2.AppendReply = await self._call(peer, "AppendEntries", request, min_s)
        return reply

    async def _call(
        self, peer: consensus_pb2.Member, method: str, request: object, min_s: float
    ) -> Any:
        adaptive = self._timeouts.setdefault(
            peer.address,
            AdaptiveTimeout(self._timing.call_timeout_s, self._timing.max_call_timeout_s),
        )
        timeout_s = max(min_s, adaptive.timeout_s)
        started_s = self._environment.monotonic()
        lag_before_s = self._environment.loop_lag.total_s()
        stub = self._stubs.consensus(peer.address)
        try:
            reply = await getattr(stub, method)(request, timeout=timeout_s)
        except RPC_ERRORS:
            if self._environment.monotonic() - started_s >= timeout_s:
                adaptive.record_timeout()
                lag_s = self._environment.loop_lag.total_s() - lag_before_s
                self._log_timeout(peer.name, method, timeout_s, lag_s)
            raise
        adaptive.record_reply(self._environment.monotonic() - started_s)
        return reply

    def _log_timeout(self, peer: str, method: str, timeout_s: float, lag_s: float) -> None:
        self._log.info(
            "peer_call_expired",
            step=method,
            peer=peer,
            timeout_ms=int(timeout_s * MILLISECONDS_PER_SECOND),
            late_ms=int(lag_s * MILLISECONDS_PER_SECOND),
        )
