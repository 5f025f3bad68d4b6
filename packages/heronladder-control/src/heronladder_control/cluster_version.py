"""Raising of the cluster version once all members and connected daemons support it.

Two builds run side by side during a release. Until the version is raised, the log contains nothing
that the earlier build can't read or would apply by other rules, so the release can be reverted.
"""

from __future__ import annotations

from dataclasses import dataclass

from heronladder_runtime.cluster_versions import LATEST_VERSION
from heronladder_schema.v1 import control_pb2

from heronladder_control.command_packing import encode_command
from heronladder_control.daemons import ROLE_ROUTER
from heronladder_control.member_context import MemberContext

_NEW_GROUP_CHECK_INTERVAL_S = 0.02
_MAX_LOGGED_BLOCKERS = 8  # limits the length of the log line


@dataclass(frozen=True)
class Blocker:
    """A reason why the cluster version can't be raised.

    Attributes:
        kind: ``member``, ``daemon`` or ``setting``.
        name: Name of the member, daemon or setting.
        highest_version: Highest version that it supports or allows; None if it does not answer.
    """

    kind: str
    name: str
    highest_version: int | None

    def __str__(self) -> str:
        known = "silent" if self.highest_version is None else str(self.highest_version)
        return f"{self.kind} {self.name}: {known}"


def target_version(member: MemberContext) -> int:
    """Return the version to raise to: the latest of this build, limited by the setting."""
    return min(LATEST_VERSION, member.options.most_cluster_version)


def find_blockers(member: MemberContext) -> list[Blocker]:
    """Return the reasons why the leader can't raise the version to the latest of its build."""
    if member.state.cluster_version >= LATEST_VERSION:
        return []
    found = []
    if target_version(member) < LATEST_VERSION:
        found.append(Blocker("setting", "most_cluster_version", target_version(member)))
    node = member.node
    for entry in node.membership().members:
        version = node.replication.highest_version(entry.name)
        if entry.name != node.name and (version is None or version < LATEST_VERSION):
            found.append(Blocker("member", entry.name, version))
    return found + _find_blocking_daemons(member)


def _find_blocking_daemons(member: MemberContext) -> list[Blocker]:
    """Return the daemons whose builds do not support the latest version, or may not.

    A disconnected router may run an earlier build, so it blocks the version until it is declared
    gone.
    """
    found = []
    for name, record in sorted(member.state.daemons.daemons.items()):
        session = member.sessions.get(name)
        version = session.hello.highest_version if session is not None else None
        is_lost = version is None and (record.gone or record.role != ROLE_ROUTER)
        if not is_lost and (version is None or version < LATEST_VERSION):
            found.append(Blocker("daemon", name, version))
    return found


class ClusterVersionManager:
    """Raises the cluster version while this member leads.

    Args:
        member: Context of this control member.
    """

    def __init__(self, member: MemberContext) -> None:
        self._member = member
        self._ready_since_s: float | None = None
        self._reported: tuple[str, ...] = ()

    def start_term(self) -> None:
        """Start a term as the leader."""
        self._ready_since_s = None
        self._reported = ()

    @property
    def _is_formed_at_target(self) -> bool:
        """Whether the group's first members all supported the version to raise to."""
        formed_version = self._member.node.hard_state.formed_version
        return formed_version >= target_version(self._member)

    @property
    def check_interval_s(self) -> float:
        """Time until the next check while a new group awaits its version, in seconds, else 0."""
        is_below = self._member.state.cluster_version < target_version(self._member)
        return _NEW_GROUP_CHECK_INTERVAL_S if self._is_formed_at_target and is_below else 0.0

    async def run_check(self) -> None:
        """Raise the version if nothing has blocked it for the configured time."""
        version = self._member.state.cluster_version
        if version >= target_version(self._member):
            return
        blockers = [blocker for blocker in find_blockers(self._member) if blocker.kind != "setting"]
        self._report(version, blockers)
        now_s = self._member.environment.monotonic()
        if blockers:
            self._ready_since_s = None
            return
        if self._ready_since_s is None:
            self._ready_since_s = now_s
        # A group that was formed by builds of this version has no earlier build to revert to.
        is_held = not self._is_formed_at_target
        hold_s = self._member.options.cluster_version_hold_s if is_held else 0.0
        if now_s - self._ready_since_s >= hold_s:
            await self._raise(version)

    async def _raise(self, version: int) -> None:
        target = target_version(self._member)
        command = control_pb2.Command()
        command.set_cluster_version.version = target
        # Bypasses the member's version check, which rejects commands until this one is applied.
        await self._member.node.propose(encode_command(command))
        self._member.log.info(
            "cluster_version_raised", step="cluster_version", before=version, version=target
        )

    def _report(self, version: int, blockers: list[Blocker]) -> None:
        """Log the blockers each time they change."""
        names = tuple(str(blocker) for blocker in blockers)
        if names == self._reported:
            return
        self._reported = names
        self._member.log.info(
            "cluster_version_held_up",
            step="cluster_version",
            version=version,
            target=target_version(self._member),
            held_up_by="; ".join(names[:_MAX_LOGGED_BLOCKERS]),
            count=len(names),
        )
