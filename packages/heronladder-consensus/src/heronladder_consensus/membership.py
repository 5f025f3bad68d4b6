"""Membership changes, one at a time: learners, lost data folders and replaced members."""

from heronladder_schema.v1 import consensus_pb2

from heronladder_consensus.errors import MembershipChangeError, NotLeaderError
from heronladder_consensus.member_state import MemberState
from heronladder_consensus.members import (
    LeaveDecision,
    decide_leave,
    find_member,
    voters,
    without_member,
)
from heronladder_consensus.replication import Replication

_REPLACEMENT_SILENCE_S = 2.0  # silence after which a surplus voter is removed
_RETURN_S = 3.0  # a removed member that was only restarted or paused joins again within it
_LEARNER_SILENCE_S = 60.0  # of a learner, which does not count for the quorum


class MembershipManager:
    """Makes membership changes, one at a time, while this member leads.

    Args:
        node: State of this member.
        replication: State of the peers.
    """

    def __init__(self, node: MemberState, replication: Replication) -> None:
        self._node = node
        self._replication = replication
        self._change_index = 0
        self._leading_since_s = 0.0
        self._removed_s: dict[str, float] = {}  # monotonic; before this term: when it began

    def start_leading(self) -> None:
        """Start the member checks; changes wait until the first entry of the term is committed."""
        self._change_index = self._node.log.last_index
        self._leading_since_s = self._node.environment.monotonic()
        # An earlier leader may have removed a member that is being restarted.
        self._removed_s = dict.fromkeys(self._node.log.earlier_members(), self._leading_since_s)
        self._node.keep_running_in_term("membership", self._check_members)

    async def _check_members(self, term: int) -> None:
        node = self._node
        while node.leads(term):
            if node.commit_index >= self._change_index:
                self._repair_one()
            await node.changed.wait(node.timing.heartbeat_s)

    def _repair_one(self) -> None:
        """Make at most one due change: demote a member with a new folder, promote a learner."""
        node = self._node
        for member in node.membership().members:
            incarnation = self._replication.reported_incarnation(member.name)
            if member.name == node.name or not incarnation:
                continue
            if incarnation != member.incarnation:
                self._change_member(member, incarnation=incarnation, voter=False)
                return
            # A learner that is gone would only raise the quorum as a voter.
            is_ready = self._replication.caught_up(member.name) and self._replication.reachable(
                member.name
            )
            if not member.voter and is_ready:
                self._change_member(member, incarnation=incarnation, voter=True)
                return
        self._remove_replaced()

    def _remove_replaced(self) -> None:
        """Remove the member that has been silent the longest, if the group does not need it.

        Otherwise members that never return would accumulate until the remaining ones are no
        quorum. A removed member that was only partitioned sends join requests and is added again.
        The silence that an earlier leader reported counts, but this leader has to find the member
        silent as well.
        """
        node = self._node
        size = node.timing.group_size
        now = node.environment.monotonic()
        if not size or now - self._leading_since_s < node.timing.election_timeout_s:
            return
        surplus = len(voters(node.membership())) - size
        removable = [
            (self._replication.last_contact_s(member.name), member.name)
            for member in node.membership().members
            if member.name != node.name
            and surplus >= (1 if member.voter else 0)
            and not self._replication.reachable(member.name)
            and now - self._replication.last_contact_s(member.name)
            > (_REPLACEMENT_SILENCE_S if member.voter else _LEARNER_SILENCE_S)
        ]
        if removable:
            self._remove(min(removable)[1], "replaced")

    def _change_member(
        self, member: consensus_pb2.Member, *, incarnation: str, voter: bool
    ) -> None:
        changed = consensus_pb2.Membership()
        changed.CopyFrom(self._node.membership())
        entry = find_member(changed, member.name)
        if entry is None:
            return
        entry.incarnation = incarnation
        entry.voter = voter
        self._append(changed)
        self._node.event_log.info(
            "member_changed", step="membership", peer=member.name, voter=voter
        )

    def _append(self, membership: consensus_pb2.Membership) -> None:
        self._change_index = self._node.append_as_leader(membership=membership)
        self._replication.start_peer_tasks()

    async def add(self, member: consensus_pb2.Member) -> None:
        """Add a learner; it votes once it has caught up.

        Raises:
            MembershipChangeError: If another change is in progress, or the name is taken.
            NotLeaderError: If this member is not the leader, or loses leadership meanwhile.
        """
        self._require_no_change("members_add")
        if find_member(self._node.membership(), member.name) is not None:
            raise MembershipChangeError(
                f"member {member.name} already exists", step="members_add", peer=member.name
            )
        changed = consensus_pb2.Membership()
        changed.CopyFrom(self._node.membership())
        added = changed.members.add()
        added.CopyFrom(member)
        added.voter = False
        added.incarnation = ""
        await self._commit(changed)

    async def remove(self, name: str) -> None:
        """Remove a member from the group.

        Raises:
            MembershipChangeError: If another change is in progress, there is no such member, or
                too few of the remaining voters are reachable for a quorum.
            NotLeaderError: If this member is not the leader, or loses leadership meanwhile.
        """
        self._require_no_change("members_remove")
        current = self._node.membership()
        if find_member(current, name) is None:
            raise MembershipChangeError(
                f"there is no member {name}", step="members_remove", peer=name
            )
        changed = without_member(current, name)
        reachable = [
            member
            for member in voters(changed)
            if member.name == self._node.name or self._replication.reachable(member.name)
        ]
        if len(reachable) < len(voters(changed)) // 2 + 1:
            raise MembershipChangeError(
                "too few of the remaining voters are reachable to form a quorum without it",
                step="members_remove",
                peer=name,
            )
        await self._commit(changed)

    async def leave(self, name: str) -> consensus_pb2.LeaveOutcome.ValueType:
        """Remove a member that is about to stop, once a replacement votes in its place.

        Waits while another membership change is in progress, and while another removed member may
        return: of two that stop, the one that is only restarted may have left first. The leader may
        remove itself: it leads until the others have committed the removal, and steps down then.

        Returns:
            Whether a committed membership omits the member, or the group keeps it.

        Raises:
            NotLeaderError: If this member is not the leader, or loses leadership before the removal
                is committed.
        """
        node = self._node
        node.require_leader("members_leave")
        term = node.term
        while node.leads(term):
            if node.commit_index >= self._change_index:
                if find_member(node.membership(), name) is None:
                    return consensus_pb2.LEAVE_OUTCOME_REMOVED
                decision = decide_leave(self._without_lost_learners(), name, node.timing.group_size)
                if decision is LeaveDecision.KEEP and not self._may_another_return(name):
                    return consensus_pb2.LEAVE_OUTCOME_KEPT
                if decision is LeaveDecision.REMOVE:
                    self._remove(name, "leaves")
            await node.changed.wait(node.timing.heartbeat_s)
        committed = node.log.membership(node.commit_index)
        if committed.members and find_member(committed, name) is None:
            return consensus_pb2.LEAVE_OUTCOME_REMOVED
        raise NotLeaderError("leadership ended", step="members_leave", peer=node.leader)

    def _may_another_return(self, name: str) -> bool:
        node = self._node
        oldest_s = node.environment.monotonic() - _RETURN_S
        return any(
            removed_s > oldest_s and find_member(node.membership(), removed) is None
            for removed, removed_s in self._removed_s.items()
            if removed != name
        )

    def _without_lost_learners(self) -> consensus_pb2.Membership:
        """Return the membership without learners that do not reply: none of them will vote soon."""
        return consensus_pb2.Membership(
            members=[
                member
                for member in self._node.membership().members
                if member.voter or not self._replication.is_silent(member.name)
            ]
        )

    def _remove(self, name: str, reason: str) -> None:
        self._removed_s[name] = self._node.environment.monotonic()
        self._append(without_member(self._node.membership(), name))
        self._node.event_log.warning("member_removed", step="membership", peer=name, reason=reason)

    def _require_no_change(self, step: str) -> None:
        self._node.require_leader(step)
        if self._node.commit_index < self._change_index:
            raise MembershipChangeError(
                "another membership change is in progress; try again", step=step
            )

    async def _commit(self, membership: consensus_pb2.Membership) -> None:
        node = self._node
        self._append(membership)
        index = self._change_index
        term = node.term
        while node.commit_index < index:
            if not node.leads(term):
                raise NotLeaderError("leadership ended", step="members", peer=node.leader)
            await node.changed.wait()

    def reconcile(self) -> None:
        """Act on the committed membership: allow voting again, or step down once removed.

        It depends on the state only, so that it does not matter whether the membership came as an
        entry, in a snapshot of the leader or in one of this member's own.
        """
        node = self._node
        committed = node.log.membership(node.applied_index)
        member = find_member(committed, node.name)
        if member is None:
            # A later membership may list this member again.
            if committed.members and node.is_leader and node.own_member() is None:
                node.step_down("removed")
            return
        known = member.incarnation == node.hard_state.incarnation
        if member.voter and known and not node.hard_state.voting_allowed:
            node.hard_state.voting_allowed = True
            node.tasks.start("allow_voting", self._save_voting_allowed())

    async def _save_voting_allowed(self) -> None:
        await self._node.save_hard_state()
        self._node.event_log.info("member_counts_again", step="membership")
