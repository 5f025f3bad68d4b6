"""The fault soak with replicas that ask for back-off, and that say in answers that they leave.

A class of its own, so that the seeds of the narrower one keep their faults. Each gateway is judged
by the replicas' clock; what was done to its process meanwhile excuses it.
"""

import asyncio
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from called_fleet import GATEWAY_HEADER
from platform_stand_ins import Received, StandInReplica, answer
from process_fleet import Machine
from process_soak import Fault, ProcessSoak
from soak_replica import CRASHES, SoakReplica

_UNDER_WAY_S = 0.5
_DRAIN_S = 2.0
_MOST_WHILE_BACKED_OFF = 2
_TIMES = ("0.8", "1.5", "3", "soon", "nan")  # the last two ask for nothing
_LEAVES_S = 3.5
_REPLICA_HEADER, _LEAVING_HEADER = "X-Replica", "Server-Leaving"


@dataclass(frozen=True)
class _Arrival:
    """A request as it reached an incarnation."""

    at_s: float
    replica: str
    gateway: str
    request_id: str


@dataclass(frozen=True)
class _Asked:
    """A refusal that asked a gateway for back-off."""

    at_s: float
    replica: str
    gateway: str
    for_s: float


class _SignallingReplica(SoakReplica):
    """A replica of the soak that signals."""

    def __init__(self, soak: "SignalSoak", number: int) -> None:
        super().__init__(soak, number)
        self._signals = soak
        self._retry_after: str | None = None
        self._leaving = False

    async def start(self) -> None:
        """Start it; a new incarnation signals nothing."""
        self._retry_after, self._leaving = None, False
        await super().start()

    async def shed(self, retry_after: str, for_s: float) -> None:
        """Turn most requests away for a while, and ask for back-off each time."""
        runner, self._retry_after = self.up, retry_after
        await asyncio.sleep(for_s)
        if self.up is runner:
            self._retry_after = None

    async def leave_by_answers(self) -> None:
        """Say in answers alone that it leaves, then end."""
        runner, self._leaving = self.up, True
        await asyncio.sleep(_LEAVES_S)
        if runner is not None and self.up is runner:
            await self.crash()

    async def _serve(self, replica: StandInReplica, received: Received) -> bytes:
        if received.body == CRASHES:
            return await super()._serve(replica, received)
        name = f"{replica.identity}@{self._born}"
        gateway = received.headers[GATEWAY_HEADER.lower()]
        now_s = asyncio.get_running_loop().time()
        self._signals.arrivals.append(
            _Arrival(now_s, name, gateway, received.headers["request-id"])
        )
        retry_after = self._retry_after
        if retry_after is not None and self._signals.source.random() < 0.8:
            if retry_after.replace(".", "").isdigit():
                asked = _Asked(now_s, name, gateway, float(retry_after))
                self._signals.back_offs.append(asked)
            return answer(
                received, "503 Service Unavailable", Not_Executed="1", Retry_After=retry_after
            )
        leaves = self._leaving
        data = await super()._serve(replica, received)
        if leaves:
            signals = f"\r\n{_LEAVING_HEADER}: 1\r\n{_REPLICA_HEADER}: {name}\r\nServer-Stamp"
            data = data.replace(b"\r\nServer-Stamp", signals.encode(), 1)
        return data


class SignalSoak(ProcessSoak):
    """One run, as the narrower one.

    Attributes:
        arrivals: Requests that reached replicas.
        back_offs: Refusals that asked for back-off.
    """

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        super().__init__(seed, seconds, folder)
        self.signalling = [_SignallingReplica(self, number) for number in range(len(self.replicas))]
        self.replicas = list(self.signalling)
        self.arrivals: list[_Arrival] = []
        self.back_offs: list[_Asked] = []
        self._asked_s: dict[str, float] = {}
        self._left_s: dict[tuple[str, str], float] = {}  # gateway, replica: passed on last

    def _faults(self) -> list[tuple[str, Fault]]:
        return [
            *super()._faults(),
            *[("ask for back-off", self._shed)] * 4,
            *[("leave by an answer", self._leave_by_answers)] * 3,
        ]

    async def _shed(self) -> None:
        replica = self.source.choice(self.signalling)
        await replica.shed(self.source.choice(_TIMES), self.source.uniform(0.5, 3.5))

    async def _leave_by_answers(self) -> None:
        await self.source.choice(self.signalling).leave_by_answers()

    # ---- what callers see -------------------------------------------------

    def asked(self, request_id: str) -> None:
        """Note when a caller makes a request."""
        self._asked_s[request_id] = asyncio.get_running_loop().time()

    def answered(self, machine: Machine, headers: Mapping[str, str]) -> None:
        """Note when a gateway first passed on that a replica leaves."""
        if _LEAVING_HEADER in headers:
            now_s = asyncio.get_running_loop().time()
            self._left_s.setdefault((machine.name, headers[_REPLICA_HEADER]), now_s)

    # ---- what has to hold -------------------------------------------------

    async def _check(self) -> None:
        await super()._check()
        machines = {machine.name: machine for machine in self.gateways}
        judged = [asked for asked in self.back_offs if not self._is_excused(machines, asked)]
        for asked in judged:
            sent = self._sent_in(asked)
            if sent > _MOST_WHILE_BACKED_OFF:
                self.broken.append(f"BACK-OFF: {sent} requests in {asked}")
        left = self._sent_to_leaving(machines)
        self.broken.extend(f"LEAVING: {arrival}" for arrival in left)
        self.told = f" back_offs={len(judged)} of {len(self.back_offs)} leaves={len(self._left_s)}"

    @staticmethod
    def _is_excused(machines: dict[str, Machine], asked: _Asked) -> bool:
        return machines[asked.gateway].was_disturbed(asked.at_s, asked.at_s + asked.for_s)

    def _sent_in(self, asked: _Asked) -> int:
        from_s, until_s = asked.at_s + _UNDER_WAY_S, asked.at_s + asked.for_s
        return sum(
            1
            for arrival in self.arrivals
            if (arrival.replica, arrival.gateway) == (asked.replica, asked.gateway)
            and from_s < arrival.at_s < until_s
        )

    def _sent_to_leaving(self, machines: dict[str, Machine]) -> list[_Arrival]:
        found = []
        for arrival in self.arrivals:
            left_s = self._left_s.get((arrival.gateway, arrival.replica))
            if left_s is None or self._asked_s[arrival.request_id] <= left_s + _DRAIN_S:
                continue
            if not machines[arrival.gateway].was_disturbed(left_s, arrival.at_s):
                found.append(arrival)
        return found
