"""The configuration that a daemon lacks, in parts for its stream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from heronladder_runtime.config_packing import PART_BYTES, pack, part, without_document
from heronladder_runtime.configuration import (
    EVACUATION_KIND,
    FLEET_KIND,
    REPLICA_KIND,
    ROLLOUT_KIND,
)
from heronladder_schema.v1 import control_pb2, ledger_pb2

from heronladder_control.daemons import ROLE_ROUTER

if TYPE_CHECKING:
    from heronladder_control.daemon_session import DaemonSession
    from heronladder_control.member import ControlMember

# Parts that a daemon has not confirmed yet. What else is to be said waits behind so many on
# a thin link: 1.6 s at 5 kB/s (chosen: one alone would halve the speed of a link).
_PARTS_UNDER_WAY = 2
_ROUTER_KINDS = frozenset(
    {
        "tenant",
        "service",
        "backend",
        "routing_policy",
        FLEET_KIND,
        REPLICA_KIND,
        EVACUATION_KIND,
        ROLLOUT_KIND,
    }
)


def wants(record: ledger_pb2.DaemonRecord, event: control_pb2.ConfigEvent) -> bool:
    """Whether a daemon acts on this kind of resource."""
    if record.role == ROLE_ROUTER:
        return event.kind in _ROUTER_KINDS
    if event.kind == "backend":
        return not event.HasField("resource") or event.resource.backend.agent == record.name
    return event.kind == "service"


class ConfigFeed:
    """Makes updates for the streams of daemons.

    Args:
        member: The control member whose state is told.
    """

    def __init__(self, member: ControlMember) -> None:
        self._member = member
        self._router_update_key = (-1, -1)  # revisions: already sent, reached
        self._router_update = control_pb2.ConfigUpdate()

    def next_part(self, session: DaemonSession) -> control_pb2.ConfigUpdate | None:
        """Return the next part of what a daemon lacks.

        A newer update waits until the one under way is whole: else quick changes
        would keep a daemon on a thin link from ever getting one.

        Returns:
            None if the daemon lacks nothing, or has not confirmed earlier parts yet.
        """
        if session.parts_sent - session.parts_received >= _PARTS_UNDER_WAY:
            return None
        if session.update is None:
            revision = self._member.state.resources.revision
            if session.config_sent >= revision:
                return None
            session.update = self._update_for(session)
            session.update_offset = 0
            session.config_sent = revision
        made = part(session.update, session.update_offset)
        session.update_offset += PART_BYTES
        session.parts_sent += 1
        if not made.more:
            session.update = None
        return made

    def _update_for(self, session: DaemonSession) -> control_pb2.ConfigUpdate:
        """Return what a daemon lacks; made once for all routers that lack the same."""
        resources = self._member.state.resources
        is_router = session.record.role == ROLE_ROUTER
        key = (session.config_sent, resources.revision)
        if is_router and key == self._router_update_key:
            return self._router_update
        events = resources.events_after(session.config_sent) if session.config_sent else None
        update = control_pb2.ConfigUpdate(snapshot=events is None, revision=resources.revision)
        if events is None:
            events = resources.all_as_events()
        wanted = (event for event in events if wants(session.record, event))
        if not is_router:
            update.events.extend(wanted)
            return update
        update.events.extend(without_document(event) for event in wanted)
        self._router_update_key = key
        self._router_update = pack(update)
        return self._router_update
