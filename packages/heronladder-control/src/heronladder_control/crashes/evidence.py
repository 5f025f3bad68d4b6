"""What ran at which replica when it crashed, and whom that tells against.

A crash is held against every request that ran at the replica at that moment, though one at most
is to blame. What tells them apart is what follows: only the one to blame is there each time, as
others are answered elsewhere or do not come again.
"""

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from heronladder_schema.v1 import control_pb2

REFUSE_AFTER_CRASHES = 3  # crashes; with two, a caller's repeat beside the one to blame is refused
# Crashes after which it no longer matters that another request was there each time: what may
# still crash replicas is bounded, and two that always come together are alike.
REFUSE_UNISOLATED_AFTER_CRASHES = 5
# The oldest evidence goes first. A day of 89 failed machines fits, with 46 runs at each; all of it
# is some 400 kB of a snapshot.
_MAX_CRASHES = 128
_MAX_RUNS = 4_096


class CrashKey(NamedTuple):
    """One start of a replica, which crashed."""

    replica: str
    start_ms: int


class CrashEvidence:
    """Crashes and what ran at them, the newest ones."""

    def __init__(self) -> None:
        self._crashes: OrderedDict[CrashKey, control_pb2.CrashedReplica] = OrderedDict()
        self._crashes_of: dict[str, set[CrashKey]] = {}  # by fingerprint
        self._runs = 0

    def add(self, told: control_pb2.CrashedReplica) -> list[control_pb2.CrashedRun]:
        """Take what a router tells of a crash.

        Returns:
            The runs that were not known of this crash; none if it is explained.
        """
        key = CrashKey(told.replica, told.start_ms)
        crash = self._crashes.get(key)
        if crash is None:
            crash = control_pb2.CrashedReplica(replica=key.replica, start_ms=key.start_ms)
            self._crashes[key] = crash
        if crash.explained:
            return []
        new = []
        for run in told.runs:
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
        """Return how many crashes are held against a request."""
        return len(self._crashes_of.get(fingerprint, ()))

    def explain(self, fingerprint: str) -> list[str]:
        """Hold the crashes under a request against that one alone.

        Returns:
            Fingerprints of the others that they were held against.
        """
        freed: set[str] = set()
        for key in sorted(self._crashes_of.get(fingerprint, set()).copy()):
            crash = self._crashes[key]
            freed.update(run.fingerprint for run in crash.runs)
            self._forget_runs(key, crash)
            crash.explained = True
        return sorted(freed - {fingerprint})

    def clear(self, fingerprint: str) -> None:
        """Hold nothing against a request any more."""
        for key in self._crashes_of.pop(fingerprint, set()):
            crash = self._crashes[key]
            kept = [run for run in crash.runs if run.fingerprint != fingerprint]
            self._runs -= len(crash.runs) - len(kept)
            del crash.runs[:]
            crash.runs.extend(kept)

    def is_isolated(self, fingerprint: str) -> bool:
        """Whether no other request was there at all crashes that are held against this one."""
        keys = self._crashes_of.get(fingerprint, set())
        at_each = ({run.fingerprint for run in self._crashes[key].runs} for key in keys)
        common = next(at_each, set())
        for there in at_each:
            common &= there
        return common <= {fingerprint}

    def is_sufficient(self, fingerprint: str, *, refused_before: bool) -> bool:
        """Whether the evidence against a request is enough to refuse it."""
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
        """Replace everything by what a snapshot holds."""
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
