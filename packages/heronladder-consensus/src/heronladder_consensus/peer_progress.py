"""Replication progress of one peer."""

from dataclasses import dataclass


@dataclass
class PeerProgress:
    """Replication progress of one peer in the leader's term.

    Attributes:
        next_index: Index of the next entry to send.
        listed_since_s: Monotonic time from which this leader has sent to the peer, in seconds.
        listed: Whether the membership lists the peer; its task may end later.
        match_index: Index of the last entry known to be synced by the peer.
        confirmed_read_round: Newest read round in which the peer acknowledged a message.
        last_reply_s: Monotonic time of the newest reply, in seconds.
        incarnation: Identity of the peer's data folder, from its newest reply.
        highest_version: Highest cluster version that the peer's build supports, from its newest
            reply to entries.
        next_snapshot_s: Monotonic time before which no snapshot is sent, after the peer's disk
            refused one, in seconds.
    """

    next_index: int
    listed_since_s: float
    listed: bool = True
    match_index: int = 0
    confirmed_read_round: int = 0
    last_reply_s: float = float("-inf")
    incarnation: str = ""
    highest_version: int = 0
    next_snapshot_s: float = float("-inf")
