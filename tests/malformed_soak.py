"""A soak with replicas that send malformed responses while processes and replicas fail.

One gateway reads responses with aiohttp's parser in Python, the others with the one in C.
"""

import asyncio
from pathlib import Path

from malformed_responses import MALFORMED_BODIES, MALFORMED_HEADS
from platform_stand_ins import Received, StandInReplica
from process_soak import Fault, ProcessSoak
from soak_replica import SoakReplica

_MALFORMED = {**MALFORMED_HEADS, **MALFORMED_BODIES}
_SHARE = 0.7  # of the responses of a replica that garbles
_SHORTEST_S, _LONGEST_S = 0.5, 3.5
_MOST_AT_ONCE = 4
# What callers may get: served, refused, an outcome that is unknown, or no response (0).
_OWN_STATUSES = frozenset({0, 200, 429, 501, 502, 503, 504})
_UNREADABLE = "ClientResponseError"  # what a caller's HTTP client says of a malformed response


class _GarblingReplica(SoakReplica):
    """A replica that sends malformed responses for a time."""

    def __init__(self, soak: "MalformedSoak", number: int) -> None:
        super().__init__(soak, number)
        self._garbling = soak
        self._garbles = 0  # spans of time that overlap

    async def garble(self) -> None:
        """Send malformed responses for a time."""
        self._garbles += 1
        await asyncio.sleep(self._garbling.source.uniform(_SHORTEST_S, _LONGEST_S))
        self._garbles -= 1

    async def _serve(self, replica: StandInReplica, received: Received) -> bytes:
        response = await super()._serve(replica, received)
        source = self._garbling.source
        if not response or not self._garbles or source.random() > _SHARE:
            return response
        self._garbling.malformed += 1
        template = _MALFORMED[source.choice(list(_MALFORMED))]
        return template.replace(b"{id}", received.headers["request-id"].encode())


class MalformedSoak(ProcessSoak):
    """One run.

    Attributes:
        malformed: Number of malformed responses that replicas sent.
    """

    def __init__(self, seed: int, seconds: float, folder: Path) -> None:
        super().__init__(seed, seconds, folder)
        self.malformed = 0
        self._garblers = [_GarblingReplica(self, number) for number in range(len(self.replicas))]
        self.replicas = [*self._garblers]
        self.gateways[0].variables = {"AIOHTTP_NO_EXTENSIONS": "1"}

    def _faults(self) -> list[tuple[str, Fault]]:
        return [*super()._faults(), *[("garble", self._garble)] * 10]

    async def _garble(self) -> None:
        self.book.disturbed()
        garblers = self.source.sample(self._garblers, self.source.randint(1, _MOST_AT_ONCE))
        await asyncio.gather(*(one.garble() for one in garblers))

    async def _check(self) -> None:
        await super()._check()
        for status in sorted(set(self.statuses) - _OWN_STATUSES):
            self.broken.append(f"MIXED: {self.statuses[status]} answers with status {status}")
        unreadable = [call for call in self.book.calls.values() if _UNREADABLE in call.why]
        self.broken.extend(f"MIXED: {call.request_id}: {call.why}" for call in unreadable[:5])
        self.told = f" malformed={self.malformed}"
