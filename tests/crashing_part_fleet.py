"""A fleet whose replicas crash under any request with one part in its prompt."""

import asyncio
from dataclasses import dataclass, field

from crashing_fleet import (
    PROPAGATION_LIMIT_S,
    CrashingFleet,
    CrashRecord,
    Received,
)

ENOUGH_CRASHES = 5  # from when on few requests with the part may reach replicas
_SYSTEM, _DOCUMENT = "5c1e07a2", "91bd3f06"  # parts that sound requests have too
_TOKENS = 40


@dataclass
class PartRecord(CrashRecord):
    """Effects of one part; see ``CrashRecord``."""

    @property
    def known_since_s(self) -> float:
        """From when all connected machines must know of the part; inf if never."""
        if len(self.crash_times_s) < ENOUGH_CRASHES:
            return float("inf")
        fifth_s = sorted(self.crash_times_s)[ENOUGH_CRASHES - 1]
        return max(fifth_s, self.connected_since_s) + PROPAGATION_LIMIT_S


@dataclass
class SoundRequests:
    """Sound requests with the caller and the other parts of those that crash replicas.

    Attributes:
        sent: Time and status of each.
    """

    sent: list[tuple[float, int]] = field(default_factory=list)

    def served_fraction(self, since_s: float) -> float:
        """Return the fraction served of those sent since a time."""
        later = [status for sent_s, status in self.sent if sent_s >= since_s]
        return sum(status == 200 for status in later) / max(1, len(later))


class CrashingPartFleet(CrashingFleet):
    """A fleet whose replicas crash under some parts of prompts.

    Attributes:
        sound: Sound requests that have ended.
    """

    sound: SoundRequests

    async def start(self) -> None:
        """Start everything."""
        self.sound = SoundRequests()
        self._prompts = 0
        await super().start()

    def crash_key(self, received: Received) -> bytes | None:
        """Return the part of a request's prompt that crashes replicas, if there is one."""
        pieces = received.headers.get("prompt-prefix", "").split(",")[:-1]
        names = [piece.partition(":")[0].encode() for piece in pieces]
        return next((name for name in names if name in self.crashes), None)

    def prompt(self, *parts: str) -> dict[str, str]:
        """Return headers of a prompt of these parts and one of its own."""
        self._prompts += 1
        names = [*parts, f"{self._prompts:08x}"]
        return {
            "Prompt-Prefix": ",".join(f"{name}:{_TOKENS}" for name in names),
            "Token-Usage": f"{_TOKENS * len(names)},10",
        }

    async def _send_crashing_part(self, part: str, *, is_first: bool) -> None:
        parts = (part, _SYSTEM) if is_first else (_SYSTEM, part, _DOCUMENT)
        headers = self.prompt(*parts)
        body = f"question {self._prompts}".encode()
        status, _ = await self.send("/safe/", body, more_headers=headers)
        now_s = asyncio.get_running_loop().time()
        self.crashes[part.encode()].statuses.append((now_s, status))

    async def send_crashing_part(
        self, part: str, seconds: float, per_s: float, *, is_first: bool = False
    ) -> None:
        """Send requests with a part that crashes replicas, no two alike.

        Args:
            part: The part.
            seconds: Duration, unless a stop is requested earlier.
            per_s: Requests per second.
            is_first: Whether the part is the prompt's first; otherwise it is in the middle.
        """
        self.crashes[part.encode()] = PartRecord()
        end_s = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end_s and not self.stop_requested:
            self.start_task(self._send_crashing_part(part, is_first=is_first))
            await asyncio.sleep(self.source.uniform(0.5, 1.5) / per_s)

    async def _send_sound(self, parts: tuple[str, ...]) -> None:
        sent_s = asyncio.get_running_loop().time()
        headers = self.prompt(*parts)
        body = f"question {self._prompts}".encode()
        status, _ = await self.send("/safe/", body, more_headers=headers)
        self.sound.sent.append((sent_s, status))

    async def send_sound(self, seconds: float, per_s: float, *parts: str) -> None:
        """Send sound requests that share caller and parts with those that crash replicas.

        Args:
            seconds: Duration, unless a stop is requested earlier.
            per_s: Requests per second.
            parts: Parts of their prompts; none: the parts that they share with the others.
        """
        end_s = asyncio.get_running_loop().time() + seconds
        while asyncio.get_running_loop().time() < end_s and not self.stop_requested:
            self.start_task(self._send_sound(parts or (_SYSTEM, _DOCUMENT)))
            await asyncio.sleep(1.0 / per_s)

    def refused(self) -> set[str]:
        """Return the fingerprints that control has refused."""
        names: set[str] = set()
        for daemon in self.group.running.values():
            if daemon.control is not None:
                names.update(daemon.control.state.crashes.refused())
        return names

    def statuses_of(self, part: str) -> list[int]:
        """Return the statuses of all requests with a part that crashes replicas."""
        return [status for _, status in self.crashes[part.encode()].statuses]
