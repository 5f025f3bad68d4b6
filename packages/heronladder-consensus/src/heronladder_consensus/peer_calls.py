"""Calls to other members, each with a time-out that follows the peer's answers.

With a fixed time-out, calls to a peer that answers a little later than that are all given up: no
candidate gets its votes and no leader its quorum for as long as the peer is busy.
"""

from typing import Any

from heronladder_runtime.clock import MILLISECONDS_PER_SECOND, Environment
from heronladder_runtime.logs import EventLog
from heronladder_runtime.rpc import StubFactory
from heronladder_runtime.rpc_errors import RPC_ERRORS
from heronladder_schema.v1 import consensus_pb2

from heronladder_consensus.timing import ConsensusTiming

_MARGIN = 2.0  # of the expected time of an answer
_KEPT = 0.9  # of an expectation that the newest answer was under
_MOST_DOUBLINGS = 8  # the longest time-out ends them much sooner


class AdaptiveTimeout:
    """How long answers of one peer take, and so how long to wait for the next.

    As TCP's retransmission time-out: longer than answers take, and twice as long after each that
    did not come.

    Args:
        least_s: Shortest time-out, in seconds.
        most_s: Longest time-out, in seconds.
    """

    def __init__(self, least_s: float, most_s: float) -> None:
        self._least_s = least_s
        self._most_s = most_s
        self._expected_s = 0.0
        self._expired = 0  # in a row

    @property
    def timeout_s(self) -> float:
        """How long to wait for the next answer, in seconds."""
        patience_s = max(self._least_s, _MARGIN * self._expected_s)
        return min(self._most_s, patience_s * 2.0**self._expired)

    def answered(self, took_s: float) -> None:
        """Note an answer; one that took longer than expected counts at once."""
        self._expired = 0
        fading_s = _KEPT * self._expected_s + (1.0 - _KEPT) * took_s
        self._expected_s = max(took_s, fading_s)

    def expired(self) -> None:
        """Note that no answer came in time."""
        self._expired = min(self._expired + 1, _MOST_DOUBLINGS)


class PeerCalls:
    """Calls of one member to the others.

    Args:
        stubs: Makes stubs to them.
        timing: Shortest and longest time-outs.
        environment: Time, and how late this process runs.
        log: Where calls without an answer in time are reported.
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
        """Ask a peer for its vote.

        Raises:
            RpcError, OSError, TimeoutError: No answer came.
        """
        least_s = self._timing.vote_timeout_s
        reply: consensus_pb2.VoteReply = await self._call(peer, "RequestVote", request, least_s)
        return reply

    async def append_entries(
        self, peer: consensus_pb2.Member, request: consensus_pb2.AppendRequest
    ) -> consensus_pb2.AppendReply:
        """Send a peer entries, or that this member leads.

        Raises:
            RpcError, OSError, TimeoutError: No answer came.
        """
        least_s = self._timing.call_timeout_s
        reply: consensus_pb2.AppendReply = await self._call(peer, "AppendEntries", request, least_s)
        return reply

    async def _call(
        self, peer: consensus_pb2.Member, method: str, request: object, least_s: float
    ) -> Any:
        adaptive = self._timeouts.setdefault(
            peer.address,
            AdaptiveTimeout(self._timing.call_timeout_s, self._timing.longest_call_s),
        )
        timeout_s = max(least_s, adaptive.timeout_s)
        began_s = self._environment.monotonic()
        late_before_s = self._environment.loop_lag.total_s()
        stub = self._stubs.consensus(peer.address)
        try:
            reply = await getattr(stub, method)(request, timeout=timeout_s)
        except RPC_ERRORS:
            if self._environment.monotonic() - began_s >= timeout_s:
                adaptive.expired()
                late_s = self._environment.loop_lag.total_s() - late_before_s
                self._report(peer.name, method, timeout_s, late_s)
            raise
        adaptive.answered(self._environment.monotonic() - began_s)
        return reply

    def _report(self, peer: str, method: str, timeout_s: float, late_s: float) -> None:
        self._log.info(
            "peer_call_expired",
            step=method,
            peer=peer,
            timeout_ms=int(timeout_s * MILLISECONDS_PER_SECOND),
            late_ms=int(late_s * MILLISECONDS_PER_SECOND),
        )
