"""Splits the configuration that a daemon lacks into parts for its stream."""

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

# Parts sent to a daemon that it has not confirmed yet. Other frames wait behind them on a slow
# link: 1.6 s at 5 kB/s. With a single part, the throughput of a link would be halved.
_MAX_UNCONFIRMED_PARTS = 2
# A part that is confirmed quickly is followed by one of twice the size, up to the maximum; after
# a slow confirmation the size is reduced. With small parts only, 100 kB to each of 300 restarted
# routers take 15,000 frames. The maximum takes 50 ms on a link of 5 Mbit/s. A part of twice the
# size of a quick one still ends within a router's time-out of 0.9 s.
_QUICK_CONFIRMATION_S = 0.25
_SLOW_CONFIRMATION_S = 0.5
_MAX_PART_BYTES = 32 * 1024
# Orders and heartbeat acknowledgements wait behind parts: over a slow link two parts of 4 KiB take
# as long as a stream may be silent.
_MIN_PART_BYTES = 1024
_MAX_CACHED_UPDATES = 8  # packed; a complete one has about 100 kB with 3,000 replicas
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


def is_relevant(record: ledger_pb2.DaemonRecord, event: control_pb2.ConfigEvent) -> bool:
    """Return whether a daemon acts on the resource of an event."""
    if record.role == ROLE_ROUTER:
        return event.kind in _ROUTER_KINDS
    if event.kind == "backend":
        return not event.HasField("resource") or event.resource.backend.agent == record.name
    return event.kind == "service"


class ConfigFeed:
    """Creates configuration updates for the streams of daemons.

    Args:
        member: The control member whose state is sent.
    """

    def __init__(self, member: MemberContext) -> None:
        self._member = member
        # Packed updates by their first (already sent) and last revision. Routers that lag by one
        # or two changes need different ones: with a single cached update, packing takes 16% of the
        # processor time of a busy leader.
        self._router_updates: OrderedDict[tuple[int, int], control_pb2.ConfigUpdate] = OrderedDict()

    def next_part(self, session: DaemonSession) -> control_pb2.ConfigUpdate | None:
        """Return the next part of the update that a daemon lacks.

        A newer update waits until the current one is complete. Otherwise frequent changes would
        keep a daemon on a slow link from ever completing one.

        Args:
            session: Stream of the daemon.

        Returns:
            The part, or None if the daemon lacks nothing or has not confirmed earlier parts yet.
        """
        if session.parts_sent - session.parts_received >= _MAX_UNCONFIRMED_PARTS:
            return None
        if session.update is None:
            revision = self._member.state.resources.revision
            if session.config_sent >= revision:
                return None
            session.update = self._update_for(session)
            session.update_offset = 0
            session.part_bytes = PART_BYTES  # the link may have slowed down
            session.config_sent = revision
        next_part = part(session.update, session.update_offset, session.part_bytes)
        session.update_offset += session.part_bytes
        session.parts_sent += 1
        session.part_sent_s[session.parts_sent] = self._member.environment.monotonic()
        if not next_part.more:
            session.update = None
        return next_part

    def confirm_parts(self, session: DaemonSession, parts: int) -> None:
        """Process a daemon's confirmation of parts, and adapt the size of the next ones.

        Args:
            session: Stream of the daemon.
            parts: Number of parts that the daemon has received in all.
        """
        now_s = self._member.environment.monotonic()
        parts = min(parts, session.parts_sent)
        for number in range(session.parts_received + 1, parts + 1):
            took_s = now_s - session.part_sent_s.pop(number, now_s)
            if took_s <= _QUICK_CONFIRMATION_S:
                session.part_bytes = min(2 * session.part_bytes, _MAX_PART_BYTES)
            elif took_s > _SLOW_CONFIRMATION_S:
                session.part_bytes = max(_MIN_PART_BYTES, min(session.part_bytes // 2, PART_BYTES))
        session.parts_received = max(session.parts_received, parts)

    def _update_for(self, session: DaemonSession) -> control_pb2.ConfigUpdate:
        """Return the update that a daemon lacks; it is shared by routers at the same revision."""
        resources = self._member.state.resources
        is_router = session.record.role == ROLE_ROUTER
        key = (session.config_sent, resources.revision)
        if is_router and key in self._router_updates:
            return self._router_updates[key]
        events = resources.events_after(session.config_sent) if session.config_sent else None
        update = control_pb2.ConfigUpdate(snapshot=events is None, revision=resources.revision)
        if events is None:
            events = resources.all_as_events()
        wanted = (event for event in events if is_relevant(session.record, event))
        if not is_router:
            update.events.extend(wanted)
            return update
        update.events.extend(without_source_document(event) for event in wanted)
        packed = self._router_updates[key] = pack(update)
        if len(self._router_updates) > _MAX_CACHED_UPDATES:
            self._router_updates.popitem(last=False)
        return packed
