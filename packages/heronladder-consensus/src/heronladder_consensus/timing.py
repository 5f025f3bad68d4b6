"""Timeouts, intervals and sizes of a consensus member."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ConsensusTiming:
    """Timing parameters of a member; other times derive from the election timeout.

    Attributes:
        election_timeout_s: Silence of the leader after which members start elections, in seconds.
        snapshot_entries: Number of applied entries between two snapshots.
        losses: Number of members that may be lost at once together with their disks. An entry is
            committed once at least ``losses + 1`` copies are synced, and the group is kept at
            ``2 * losses + 1`` voters.
    """

    election_timeout_s: float = 1.0
    snapshot_entries: int = 20_000
    losses: int = 0

    @property
    def group_size(self) -> int:
        """Number of voters needed to tolerate the losses; 0 if ``losses`` is not set."""
        return 2 * self.losses + 1 if self.losses else 0

    @property
    def quorum_timeout_s(self) -> float:
        """Time without replies from a quorum after which a leader steps down, in seconds."""
        return self.election_timeout_s * 3 / 2

    @property
    def max_quorum_timeout_s(self) -> float:
        """Upper bound of the quorum timeout for a leader whose event loop stalled, in seconds.

        It ends less than two election timeouts after another leader may be elected: for that
        long, a new leader assumes that an earlier one may still act.
        """
        return self.election_timeout_s * 9 / 4

    @property
    def heartbeat_s(self) -> float:
        """Interval between a leader's messages to each peer without new entries, in seconds."""
        return self.election_timeout_s / 5

    @property
    def call_timeout_s(self) -> float:
        """Shortest timeout of a call in seconds; one lost call must not end the leadership."""
        return self.election_timeout_s * 2 / 5

    @property
    def vote_timeout_s(self) -> float:
        """Shortest timeout of a vote request, in seconds.

        After a refusal by a peer, a candidate waits for other votes only ``call_timeout_s``.
        """
        return self.election_timeout_s * 3 / 2

    @property
    def max_call_timeout_s(self) -> float:
        """Longest timeout of a call to a slow peer, in seconds."""
        return self.election_timeout_s * 2

    @property
    def snapshot_retry_s(self) -> float:
        """Wait before the next snapshot after a disk refused one, here or at a peer, in seconds."""
        return self.election_timeout_s * 2

    @property
    def trailing_entries(self) -> int:
        """Number of entries kept in memory before a snapshot, for members that lag a little."""
        return self.snapshot_entries // 4
