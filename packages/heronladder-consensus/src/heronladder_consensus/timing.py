"""Times and sizes that steer a member."""

from dataclasses import dataclass


@dataclass(frozen=True)
class ConsensusTiming:
    """Times in seconds, sizes in entries.

    Attributes:
        election_timeout_s: Silence after which a member stands for election.
        snapshot_entries: Applied entries between two snapshots.
        losses: Members with their disks that may be lost at once. An entry is
            committed once one copy more than that is synced, and the group is
            kept at twice as many members and one.
    """

    election_timeout_s: float = 1.0
    snapshot_entries: int = 20_000
    losses: int = 0

    @property
    def group_size(self) -> int:
        """Voters that bear the losses; 0 when no number of losses is set."""
        return 2 * self.losses + 1 if self.losses else 0

    @property
    def quorum_timeout_s(self) -> float:
        """Time without answers from a quorum after which a leader steps down."""
        return self.election_timeout_s * 3 / 2

    @property
    def max_quorum_timeout_s(self) -> float:
        """The same for a leader that was late itself.

        Short of two election timeouts after another may be elected: for so long a new leader
        takes an earlier one to go on.
        """
        return self.election_timeout_s * 9 / 4

    @property
    def heartbeat_s(self) -> float:
        """Time between a leader's messages to each peer when nothing happens."""
        return self.election_timeout_s / 5

    @property
    def call_timeout_s(self) -> float:
        """Least time a peer has for an answer: one lost call must not cost leadership."""
        return self.election_timeout_s * 2 / 5

    @property
    def vote_timeout_s(self) -> float:
        """Time a peer has for its vote, while no other peer has refused one."""
        return self.election_timeout_s * 3 / 2

    @property
    def max_call_timeout_s(self) -> float:
        """Most time a peer has for an answer, however late its answers come."""
        return self.election_timeout_s * 2

    @property
    def snapshot_retry_s(self) -> float:
        """Time after a snapshot that a disk refused, here or at a peer, before the next."""
        return self.election_timeout_s * 2

    @property
    def trailing_entries(self) -> int:
        """Entries kept behind a snapshot for members that lag a little."""
        return self.snapshot_entries // 4
