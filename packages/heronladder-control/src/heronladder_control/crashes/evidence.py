"""Evidence of which requests crash replicas.

A crash counts against every request that was in flight at the replica, although at most one of them
caused it. Further crashes isolate that one: only the request that causes crashes is in flight at
each of them, as the others are answered elsewhere or are not sent again.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from heronladder_schema.v1 import control_pb2

REFUSE_AFTER_CRASHES = 3  # with 2, a caller's retry beside the causing request would be refused
# Number of crashes after which a request is refused although another one was in flight each time.
# It bounds the crashes; two requests that always come together can't be distinguished.
REFUSE_UNISOLATED_AFTER_CRASHES = 5
# Evidence over these limits is dropped, the oldest first. They hold 89 failed machines with 46 runs
# each; at most, the evidence takes about 400 kB of a snapshot.
_MAX_CRASHES = 128
_MAX_RUNS = 4_096


class CrashKey(NamedTuple):
    """Identity of a crash: a replica and the start of its crashed incarnation.

    Attributes:
        replica: Id of the replica.
        start_ms: Start time in milliseconds; 0 if the replica reported none.
    """

    replica: str
    start_ms: int


class CrashEvidence:
    """The newest crashes, and the requests that were in flight at each."""

    def __init__(self) -> None:
        self._crashes: OrderedDict[CrashKey, control_pb2.CrashedReplica] = OrderedDict()
        self._crashes_of: dict[str, set[CrashKey]] = {}  # by fingerprint
        self._runs = 0

    def add(self, report: control_pb2.CrashedReplica) -> list[control_pb2.CrashedRun]:
        """Add a router's report of a crash.

        Args:
            report: The crash and the requests that the router had in flight at the replica.

        Returns:
            The runs that were not yet recorded for this crash; none if it is explained.
        """
        key = CrashKey(report.replica, report.start_ms)
        crash = self._crashes.get(key)
        if crash is None:
            crash = control_pb2.CrashedReplica(replica=key.replica, start_ms=key.start_ms)
            self._crashes[key] = crash
        if crash.explained:
            return []
        new = []
        for run in report.runs:
            known = self._crashes_of.setdefault(run.fingerprint, set())
            if key not in known:
                known.add(key)
                crash.runs.append(run)
                new.append(run)
        self._runs += len(new)
        self._drop_oldest()
        return new

    def _drop_oldest(self) -> None:
        while len(self._crashes) > _MAX_CRASHES or self._runs > _MAX_RUNS:
            key, crash = self._crashes.popitem(last=False)
            self._forget_runs(key, crash)

    def _forget_runs(self, key: CrashKey, crash: control_pb2.CrashedReplica) -> None:
        for run in crash.runs:
            self._crashes_of.get(run.fingerprint, set()).discard(key)
            if not self._crashes_of.get(run.fingerprint):
                self._crashes_of.pop(run.fingerprint, None)
        self._runs -= len(crash.runs)
        del crash.runs[:]

    def count(self, fingerprint: str) -> int:
        """Return the number of crashes that count against a request."""
        return len(self._crashes_of.get(fingerprint, ()))

    def crashes_against(self, fingerprint: str) -> frozenset[CrashKey]:
        """Return the crashes that count against a request."""
        return frozenset(self._crashes_of.get(fingerprint, ()))

    def known_crashes(self) -> Iterable[CrashKey]:
        """Return all crashes, explained or not, the oldest first."""
        return self._crashes.keys()

    def explain(self, fingerprint: str) -> list[str]:
        """Attribute the crashes that count against a request to it alone.

        Returns:
            Sorted fingerprints of the other requests that these crashes counted against.
        """
        others: set[str] = set()
        for key in sorted(self._crashes_of.get(fingerprint, set()).copy()):
            crash = self._crashes[key]
            others.update(run.fingerprint for run in crash.runs)
            self._forget_runs(key, crash)
            crash.explained = True
        return sorted(others - {fingerprint})

    def clear(self, fingerprint: str) -> None:
        """Remove all evidence against a request."""
        for key in self._crashes_of.pop(fingerprint, set()):
            crash = self._crashes[key]
            kept = [run for run in crash.runs if run.fingerprint != fingerprint]
            self._runs -= len(crash.runs) - len(kept)
            del crash.runs[:]
            crash.runs.extend(kept)

    def is_isolated(self, fingerprint: str) -> bool:
        """Whether no other request was in flight at every crash that counts against this one."""
        keys = self._crashes_of.get(fingerprint, set())
        at_each = ({run.fingerprint for run in self._crashes[key].runs} for key in keys)
        common = next(at_each, set())
        for fingerprints in at_each:
            common &= fingerprints
        return common <= {fingerprint}

    def is_sufficient(self, fingerprint: str, *, refused_before: bool) -> bool:
        """Whether the evidence against a request is sufficient to refuse it.

        Args:
            fingerprint: The request.
            refused_before: Whether it was refused before; one more crash is sufficient then.
        """
        crashes = self.count(fingerprint)
        if refused_before:
            return crashes > 0
        if crashes >= REFUSE_UNISOLATED_AFTER_CRASHES:
            return True
        return crashes >= REFUSE_AFTER_CRASHES and self.is_isolated(fingerprint)

    # ---- snapshots --------------------------------------------------------

    def all(self) -> Iterable[control_pb2.CrashedReplica]:
        """Return all crashes, the oldest first."""
        return self._crashes.values()

    def load(self, crashes: Iterable[control_pb2.CrashedReplica]) -> None:
        """Replace all evidence by that of a snapshot."""
        self._crashes.clear()
        self._crashes_of.clear()
        self._runs = 0
        for saved in crashes:
            crash = control_pb2.CrashedReplica()
            crash.CopyFrom(saved)
            key = CrashKey(crash.replica, crash.start_ms)
            self._crashes[key] = crash
            self._runs += len(crash.runs)
            for run in crash.runs:
                self._crashes_of.setdefault(run.fingerprint, set()).add(key)
