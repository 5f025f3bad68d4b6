"""Status document of a control group and its daemons, as shown to operators."""

from typing import Any

from heronladder_control.cluster_version import find_blockers
from heronladder_control.member_context import MemberContext


def status_document(member: MemberContext) -> dict[str, Any]:
    """Return the status of the group as this member knows it; the leader's is complete."""
    node = member.node
    state = member.state
    committed = state.resources.revision
    return {
        "group": member.options.group,
        "region": member.options.region or member.options.group,
        "leader": node.leader,
        "term": node.term,
        "commitIndex": node.commit_index,
        "committedRevision": committed,
        "inForceRevision": state.in_force_revision,
        "clusterVersion": state.cluster_version,
        "versionHeldUpBy": [str(holdup) for holdup in find_blockers(member)],
        "heldUpBy": member.in_force.blocking_daemons(committed),
        "members": [
            {
                "name": entry.name,
                "address": entry.address,
                "zone": entry.zone,
                "voter": entry.voter,
                "lag": node.log.last_index - _match_index(member, entry.name),
                "highestVersion": highest_version(member, entry.name),
                "reachable": entry.name == node.name or node.replication.reachable(entry.name),
            }
            for entry in node.membership().members
        ],
        "daemons": _daemons(member),
        "collections": [
            {
                "router": collection.router,
                "incarnation": collection.router_incarnation,
                "awaitedAgents": list(collection.awaited_agents),
            }
            for collection in state.daemons.collections.values()
        ],
    }


def highest_version(member: MemberContext, name: str) -> int | None:
    """Return the highest cluster version that a member supports; None if it is not known."""
    node = member.node
    return node.highest_version if name == node.name else node.replication.highest_version(name)


def _match_index(member: MemberContext, name: str) -> int:
    node = member.node
    return node.log.last_index if name == node.name else node.replication.match_index(name)


def _daemons(member: MemberContext) -> list[dict[str, Any]]:
    now = member.environment.monotonic()
    committed = member.state.resources.revision
    documents = []
    for name, record in sorted(member.state.daemons.daemons.items()):
        progress = member.in_force.daemons.get(name)
        documents.append(
            {
                "name": name,
                "role": record.role,
                "zone": record.zone,
                "incarnation": record.incarnation,
                "gone": record.gone,
                "connected": progress is not None and progress.connected,
                "fresh": progress is not None and progress.fresh_until_s > now,
                "appliedRevision": progress.applied_revision if progress is not None else 0,
                "behind": progress is None or progress.applied_revision < committed,
            }
        )
    return documents
