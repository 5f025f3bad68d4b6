"""Replicated state of requests that crash replicas, published to routers as resources.

A request that was in flight at two crashes is a suspect. Routers are told about it, so that they
report any complete answer to it, and send it with precautions. A refused request is sent to no
replica.
"""

from collections.abc import Iterable

from heronladder_runtime.configuration import CRASHING_REQUEST_KIND
from heronladder_schema.v1 import control_pb2, resources_pb2

from heronladder_control.crashes.evidence import CrashEvidence, CrashKey
from heronladder_control.resources import ResourceTable
from heronladder_control.results import success

_SUSPECT_AFTER_CRASHES = 2  # with 1, all requests in flight at any crash would be suspects
_MAX_ENTRIES = 256  # suspects and refused requests; each router keeps all of them


class CrashTable:
    """Applies the routers' crash reports and the leader's refusals.

    Args:
        resources: Resources, through which suspects and refusals are published to routers.
    """

    def __init__(self, resources: ResourceTable) -> None:
        self._resources = resources
        self._evidence = CrashEvidence()

    def entry(self, fingerprint: str) -> resources_pb2.CrashingRequest | None:
        """Return the published entry of a request, or None."""
        resource = self._resources.get(CRASHING_REQUEST_KIND, fingerprint)
        return resource.crashing_request if resource is not None else None

    def _entries(self) -> list[tuple[str, resources_pb2.CrashingRequest]]:
        entries = self._resources.resources[CRASHING_REQUEST_KIND]
        return [(name, entries[name].crashing_request) for name in sorted(entries)]

    def refused(self) -> dict[str, int]:
        """Return the number of refusals of each request that is refused now, by fingerprint."""
        return {name: entry.refusals for name, entry in self._entries() if entry.refused}

    def to_refuse(self) -> list[str]:
        """Return the suspects against which the evidence is sufficient."""
        return [
            name
            for name, entry in self._entries()
            if not entry.refused
            and self._evidence.is_sufficient(name, refused_before=entry.refusals > 0)
        ]

    def crashes_against(self, fingerprint: str) -> frozenset[CrashKey]:
        """Return the crashes that count against a request or another attribute."""
        return self._evidence.crashes_against(fingerprint)

    def known_crashes(self) -> Iterable[CrashKey]:
        """Return all crashes on record, the oldest first."""
        return self._evidence.known_crashes()

    # ---- commands ---------------------------------------------------------

    def report(self, index: int, order: control_pb2.ReportCrashes) -> control_pb2.CommandResult:
        """Apply a router's report; a duplicate changes nothing."""
        for fingerprint in order.served:
            self._clear(index, fingerprint)
        for crash in order.replicas:
            new = self._evidence.add(crash)
            refused = [run for run in new if self._is_refused(run.fingerprint)]
            if refused:
                for run in refused:
                    self._evidence.explain(run.fingerprint)
                continue
            for run in new:
                self._record_suspect(index, run)
        result = success()
        result.revision = self._resources.revision
        return result

    def refuse(self, index: int, order: control_pb2.RefuseRequest) -> control_pb2.CommandResult:
        """Refuse a suspect, or end its refusal.

        The command has no effect if the request is in that state already or is no longer a suspect.
        """
        entry = self.entry(order.fingerprint)
        if entry is not None and entry.refused == order.ended:
            state = resources_pb2.CrashingRequest()
            state.CopyFrom(entry)
            state.refused = not order.ended
            state.refusals += not order.ended
            self._write(index, order.fingerprint, state)
            if state.refused:
                for other in self._evidence.explain(order.fingerprint):
                    self._reduce_suspicion(index, other)
        result = success()
        result.revision = self._resources.revision
        return result

    def _is_refused(self, fingerprint: str) -> bool:
        entry = self.entry(fingerprint)
        return entry is not None and entry.refused

    def _record_suspect(self, index: int, run: control_pb2.CrashedRun) -> None:
        known = self.entry(run.fingerprint)
        crashes = self._evidence.count(run.fingerprint)
        if known is None and crashes < _SUSPECT_AFTER_CRASHES:
            return
        state = resources_pb2.CrashingRequest(
            tenant=run.tenant, service=run.service, target=run.target, crashes=crashes
        )
        if known is not None:
            state.CopyFrom(known)
            state.crashes += 1
        self._write(index, run.fingerprint, state)
        self._drop_oldest(index)

    def _reduce_suspicion(self, index: int, fingerprint: str) -> None:
        """Lower the crash count of a suspect after crashes were attributed to another request."""
        known = self.entry(fingerprint)
        if known is None or known.refusals:
            return
        crashes = self._evidence.count(fingerprint)
        if crashes < _SUSPECT_AFTER_CRASHES:
            self._resources.erase(index, CRASHING_REQUEST_KIND, fingerprint)
            return
        state = resources_pb2.CrashingRequest()
        state.CopyFrom(known)
        state.crashes = crashes
        self._write(index, fingerprint, state)

    def _clear(self, index: int, fingerprint: str) -> None:
        """Clear a request that a replica has run to the end, unless it is refused."""
        if not self._is_refused(fingerprint):
            self._evidence.clear(fingerprint)
            self._resources.erase(index, CRASHING_REQUEST_KIND, fingerprint)

    def _write(self, index: int, fingerprint: str, state: resources_pb2.CrashingRequest) -> None:
        resource = resources_pb2.Resource()
        resource.crashing_request.CopyFrom(state)
        self._resources.write(index, CRASHING_REQUEST_KIND, fingerprint, resource)

    def _drop_oldest(self, index: int) -> None:
        """Limit the number of published entries, dropping suspects before refused requests."""
        entries = self._resources.resources[CRASHING_REQUEST_KIND]
        while len(entries) > _MAX_ENTRIES:
            oldest = min(
                entries.values(),
                key=lambda entry: (entry.crashing_request.refused, entry.metadata.revision),
            )
            self._resources.erase(index, CRASHING_REQUEST_KIND, oldest.metadata.name)

    # ---- snapshots --------------------------------------------------------

    def save(self, snapshot: control_pb2.StateSnapshot) -> None:
        """Write the evidence into a snapshot; the published entries are saved as resources."""
        snapshot.crashes.extend(self._evidence.all())

    def load(self, snapshot: control_pb2.StateSnapshot) -> None:
        """Replace the evidence by that of a snapshot."""
        self._evidence.load(snapshot.crashes)
