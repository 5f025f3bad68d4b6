"""The configuration that a daemon lacks, in parts for its stream."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from heronladder_runtime.config_packing import PART_BYTES, pack, part, without_source_document
from heronladder_runtime.configuration import (
    CRASHING_REQUEST_KIND,
    EVACUATION_KIND,
    FLEET_KIND,
    REPLICA_KIND,
    ROLLOUT_KIND,
)
from heronladder_schema.v1 import control_pb2, ledger_pb2

from heronladder_control.daemons import ROLE_ROUTER

if TYPE_CHECKING:
    from heronladder_control.daemon_session import DaemonSession
    from heronladder_control.member_context import MemberContext

# Parts that a daemon has not confirmed yet. What else is to be said waits behind so many on
# a thin link: 1.6 s at 5 kB/s: one alone would halve the speed of a link.
_PARTS_UNDER_WAY = 2
# A part that is confirmed so soon is followed by one twice as large, up to the most; after one
# that took long they are small again. 100 kB to each of 300 routers that begin anew were 15,000
# frames. The most is 50 ms of a link of 5 Mbit/s; a part twice as large as a quick one still
# ends within a router's patience of 0.9 s.
_QUICK_S = 0.25
_SLOW_S = 0.5
_MOST_PART_BYTES = 32 * 1024
# Orders and answers to heartbeats wait behind parts: over a thin link two parts of 4 KiB each took
# as long as a stream may be silent.
_LEAST_PART_BYTES = 1024
_UPDATES_KEPT = 8  # packed; a whole one is some 100 kB at 3,000 replicas
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
        CRASHING_REQUEST_KIND,
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

    def __init__(self, member: MemberContext) -> None:
        self._member = member
        # By revisions: already sent, reached. Routers that lag by one or two changes are at
        # different ones: with a single update kept, packing was 16% of a busy leader.
        self._router_updates: OrderedDict[tuple[int, int], control_pb2.ConfigUpdate] = OrderedDict()

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
            session.part_bytes = PART_BYTES  # the link may have become thin since the last one
            session.config_sent = revision
        made = part(session.update, session.update_offset, session.part_bytes)
        session.update_offset += session.part_bytes
        session.parts_sent += 1
        session.part_sent_s[session.parts_sent] = self._member.environment.monotonic()
        if not made.more:
            session.update = None
        return made

    def confirmed(self, session: DaemonSession, parts: int) -> None:
        """Note that a daemon has parts; the next ones are larger if that was quick."""
        now_s = self._member.environment.monotonic()
        parts = min(parts, session.parts_sent)
        for number in range(session.parts_received + 1, parts + 1):
            took_s = now_s - session.part_sent_s.pop(number, now_s)
            if took_s <= _QUICK_S:
                session.part_bytes = min(2 * session.part_bytes, _MOST_PART_BYTES)
            elif took_s > _SLOW_S:
                session.part_bytes = max(
                    _LEAST_PART_BYTES, min(session.part_bytes // 2, PART_BYTES)
                )
        session.parts_received = max(session.parts_received, parts)

    def _update_for(self, session: DaemonSession) -> control_pb2.ConfigUpdate:
        """Return what a daemon lacks; made once for all routers that lack the same."""
        resources = self._member.state.resources
        is_router = session.record.role == ROLE_ROUTER
        key = (session.config_sent, resources.revision)
        if is_router and key in self._router_updates:
            return self._router_updates[key]
        events = resources.events_after(session.config_sent) if session.config_sent else None
        update = control_pb2.ConfigUpdate(snapshot=events is None, revision=resources.revision)
        if events is None:
            events = resources.all_as_events()
        wanted = (event for event in events if wants(session.record, event))
        if not is_router:
            update.events.extend(wanted)
            return update
        update.events.extend(without_source_document(event) for event in wanted)
        packed = self._router_updates[key] = pack(update)
        if len(self._router_updates) > _UPDATES_KEPT:
            self._router_updates.popitem(last=False)
        return packed
