"""What a soak notes of its calls and of what was done to its machines, to judge lost responses."""

import asyncio
import math
import time
from collections.abc import Iterable

from lost_rule import CallRecord, LostBounds, WorkRecord, find_cut, find_lost
from platform_stand_ins import Received
from process_fleet import GRACE_S, Machine

_MAX_LISTED = 12


def _now() -> float:
    return asyncio.get_running_loop().time()


class CallBook:
    """Notes calls of callers, their arrivals at replicas, and work on machines.

    Attributes:
        calls: All noted calls, by the id of their request.
        work: What was done to the machines.
        lost: Lost responses, once judged.
    """

    def __init__(self) -> None:
        self.calls: dict[str, CallRecord] = {}
        self.work = WorkRecord()
        self.lost: list[CallRecord] = []

    # ---- callers and replicas ---------------------------------------------

    def begin(self, request_id: str, gateway: str, limit_s: float) -> CallRecord:
        """Note a request that is about to be sent.

        Args:
            request_id: Its id.
            gateway: Name of the machine that takes it.
            limit_s: The shorter of the caller's deadline and the route's time limit.
        """
        record = CallRecord(request_id, gateway, math.inf, _now() + limit_s)
        self.calls[request_id] = record
        return record

    def arrived(self, received: Received) -> None:
        """Note that a request reached a replica."""
        call = self.calls.get(received.headers["request-id"])
        if call is not None:
            call.reached_s = min(call.reached_s, _now())
            call.replica_done_s, call.replica_broke = math.inf, False

    def done(self, received: Received, broke: bool) -> None:
        """Note that a replica stopped working on a request."""
        call = self.calls.get(received.headers["request-id"])
        if call is not None:
            call.replica_done_s, call.replica_broke = _now(), broke

    # ---- work on machines -------------------------------------------------

    def sigterm(self, machine: Machine) -> None:
        """Note that a machine is about to get SIGTERM."""
        self.work.sigterms.setdefault(machine.name, []).append(_now())

    def sighup(self, machine: Machine) -> None:
        """Note that a machine is about to get SIGHUP."""
        self.work.sighups.setdefault(machine.name, []).append(_now())

    def changed(self, sent_s: float) -> None:
        """Note that a change of the configuration was acknowledged."""
        self.work.changes.append((sent_s, _now()))

    def disturbed(self) -> None:
        """Note an unplanned disruption that is none of a machine's process."""
        self.work.unplanned.append(_now())

    @property
    def stops(self) -> int:
        """Number of SIGTERMs."""
        return sum(len(times) for times in self.work.sigterms.values())

    # ---- judgement --------------------------------------------------------

    def judge(self, machines: Iterable[Machine], *, all_cuts: bool = False) -> list[str]:
        """Return what was lost.

        Args:
            machines: All machines; what was done to them unplanned excuses.
            all_cuts: Whether responses that were cut without planned work count as well.
        """
        offset_s = _now() - time.monotonic()
        ends: dict[str, list[float]] = {}
        for machine in machines:
            self.work.unplanned += [moment_s + offset_s for moment_s in machine.unplanned_s]
            ends[machine.name] = [moment_s + offset_s for moment_s in machine.ended_s]
        for call in self.calls.values():
            if not call.complete and math.isfinite(call.ended_s):
                # A caller that reads slowly sees the end of its connection later than it came.
                after = [at_s for at_s in ends.get(call.gateway, ()) if at_s >= call.sent_s]
                call.ended_s = min([call.ended_s, *after])
        calls, bounds = self.calls.values(), LostBounds(GRACE_S)
        self.lost = find_lost(calls, self.work, bounds)
        told = [f"LOST: {self._describe(call)}" for call in self.lost[:_MAX_LISTED]]
        if all_cuts:
            others = [call for call in find_cut(calls, self.work, bounds) if call not in self.lost]
            told += [f"CUT: {self._describe(call)}" for call in others[:_MAX_LISTED]]
        return told

    def _describe(self, call: CallRecord) -> str:
        stops = [at_s for at_s in self.work.sigterms.get(call.gateway, []) if at_s <= call.ended_s]
        zero_s = stops[-1] if stops else call.sent_s
        times = ", ".join(
            f"{name} {at_s - zero_s:.2f} s"
            for name, at_s in (
                ("sent", call.sent_s),
                ("at a replica", call.reached_s),
                ("replica done", call.replica_done_s),
                ("cut", call.ended_s),
            )
        )
        after = "SIGTERM" if stops else "it was sent"
        return f"{call.request_id} at {call.gateway}, after {after}: {times}: {call.why}"


__all__ = ["CallBook"]
