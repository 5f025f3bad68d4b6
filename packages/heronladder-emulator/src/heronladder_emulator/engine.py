"""A stand-in for a model engine that batches continuously.

Each step takes a time that grows with the prompts it reads and the sequences
it carries on, and gives every running sequence one token. What it answers
follows from the prompt alone, so that anyone can tell whether an answer is
whole and belongs to its request.
"""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import xxhash
from heronladder_runtime.clock import Environment
from heronladder_runtime.pulse import Pulse

from heronladder_emulator.execution_records import EngineRun, ExecutionRecords
from heronladder_emulator.prefix_cache import BLOCK_BYTES, PrefixCache, block_hashes

BYTES_PER_TOKEN = 4
_EVENTS_KEPT = 2_000


class EngineCrashedError(Exception):
    """The engine died, or broke off a stream, as it was told to."""


@dataclass(frozen=True)
class EngineOptions:
    """How an engine behaves; times in seconds.

    Attributes:
        name: Its name.
        max_batch: Sequences carried on at once.
        step_s: Time of a step by itself.
        sequence_s: Time that each sequence adds to a step.
        prefill_token_s: Time that each prompt token read adds to a step.
        prefill_step_tokens: Prompt tokens read in one step at the most.
        cache_blocks: Blocks of its prefix cache.
        checks_fences: Whether it refuses orders with an old fence.
        report_lag_s: Age of the load it reports.
        event_lag_s: Age of the cache events it publishes.
        event_gap_every: One in so many cache events is lost; 0 for none.
    """

    name: str
    max_batch: int = 32
    step_s: float = 0.008
    sequence_s: float = 0.0002
    prefill_token_s: float = 0.00002
    prefill_step_tokens: int = 2_048
    cache_blocks: int = 4_096
    checks_fences: bool = False
    report_lag_s: float = 0.5
    event_lag_s: float = 1.0
    event_gap_every: int = 50


@dataclass
class EngineFaults:
    """Faults switched on by command.

    Attributes:
        stalled: No step is made.
        crashed: No connection is taken and all streams break.
        slow_factor: Steps take so many times as long.
        drop_after_tokens: Streams break after so many tokens; 0 for never.
    """

    stalled: bool = False
    crashed: bool = False
    slow_factor: float = 1.0
    drop_after_tokens: int = 0


@dataclass
class Sequence:
    """A request in the engine.

    Attributes:
        prompt: The prompt.
        max_tokens: Most tokens to generate.
        priority: Higher ones are taken up first.
        run: Its entry in the books.
        prefill_left: Prompt tokens still to be read.
        cached_tokens: Prompt tokens found in the cache.
        length: Tokens it will have generated when it ends.
        ready: Tokens generated and not yet passed on.
        changed: Given at each change.
    """

    prompt: bytes
    max_tokens: int
    priority: int
    run: EngineRun
    prefill_left: int = 0
    cached_tokens: int = 0
    length: int = 0
    emitted: int = 0
    failed: bool = False
    cancelled: bool = False
    arrival: int = 0
    changed: Pulse = field(default_factory=Pulse)


def prompt_tokens(prompt: bytes) -> int:
    """Return how many tokens the engine counts for a prompt."""
    return -(-len(prompt) // BYTES_PER_TOKEN)


def answer_length(prompt: bytes, max_tokens: int) -> int:
    """Return how many tokens the engine answers to a prompt."""
    length = 8 + xxhash.xxh3_64_intdigest(prompt) % 56
    return min(max_tokens, length)


def answer_token(prompt: bytes, position: int) -> str:
    """Return one token of the answer to a prompt."""
    digest = xxhash.xxh3_64_intdigest(prompt, seed=position + 1)
    return f" w{digest % 100_000:05d}"


def expected_completion(prompt: bytes, max_tokens: int) -> str:
    """Return the whole answer to a prompt."""
    length = answer_length(prompt, max_tokens)
    return "".join(answer_token(prompt, position) for position in range(length))


class EmulatedEngine:
    """One engine.

    Args:
        options: How it behaves.
        books: Where it notes what it did.
        environment: Time and randomness.
    """

    def __init__(
        self, options: EngineOptions, books: ExecutionRecords, environment: Environment
    ) -> None:
        self.options = options
        self.faults = EngineFaults()
        self.cache = PrefixCache(options.cache_blocks)
        self.role = "mixed"
        self.models: set[str] = set()
        self.adapters: set[str] = set()
        self.highest_fence = 0
        self._books = books
        self._environment = environment
        self._waiting: list[Sequence] = []
        self._running: list[Sequence] = []
        self._arrivals = 0
        self._wake = Pulse()
        self._task: asyncio.Task[None] | None = None
        self._loads: deque[tuple[float, int, int]] = deque(maxlen=_EVENTS_KEPT)
        self._events: deque[tuple[float, int, str, int]] = deque(maxlen=_EVENTS_KEPT)
        self._event_number = 0
        self.prefilled_tokens = 0

    def start(self) -> None:
        """Begin to make steps."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """End."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    # ---- requests ---------------------------------------------------------

    def submit(self, request_id: str, prompt: bytes, max_tokens: int, priority: int) -> Sequence:
        """Take a request in.

        Raises:
            EngineCrashedError: If the engine is down.
        """
        if self.faults.crashed:
            raise EngineCrashedError(self.options.name)
        count = prompt_tokens(prompt)
        run = self._books.start_run(request_id, self.options.name, count)
        self._arrivals += 1
        sequence = Sequence(prompt, max_tokens, priority, run, arrival=self._arrivals)
        sequence.length = answer_length(prompt, max_tokens)
        matched = self.cache.match(block_hashes(prompt))
        sequence.cached_tokens = min(count, matched * BLOCK_BYTES // BYTES_PER_TOKEN)
        sequence.prefill_left = count - sequence.cached_tokens
        self._waiting.append(sequence)
        self._wake.give()
        return sequence

    async def tokens(self, sequence: Sequence) -> AsyncIterator[str]:
        """Yield a request's tokens as they are generated; closing it cancels the request.

        Raises:
            EngineCrashedError: If the stream breaks.
        """
        position = 0
        drop_after = self.faults.drop_after_tokens
        try:
            while True:
                while position < sequence.run.generated:
                    if drop_after and position >= drop_after:
                        raise EngineCrashedError("stream dropped")
                    yield answer_token(sequence.prompt, position)
                    position += 1
                if sequence.failed:
                    raise EngineCrashedError(self.options.name)
                if sequence.run.finished:
                    return
                await sequence.changed.wait()
        finally:
            sequence.cancelled = True

    def resume(self, sequence: Sequence) -> None:
        """Take a cancelled request up again where it stopped."""
        sequence.cancelled = False
        if sequence not in self._running and not sequence.run.finished:
            self._waiting.append(sequence)
            self._wake.give()

    # ---- steps ------------------------------------------------------------

    async def _run(self) -> None:
        while True:
            self._drop_cancelled()
            self._take_up()
            if not self._running or self.faults.stalled or self.faults.crashed:
                await self._wake.wait()
                continue
            prefill = self._read_prompts()
            options = self.options
            step_s = options.step_s + options.sequence_s * len(self._running)
            step_s += options.prefill_token_s * prefill
            await asyncio.sleep(step_s * self.faults.slow_factor)
            if not self.faults.crashed:
                self._generate()
            now = self._environment.monotonic()
            self._loads.append((now, len(self._running), len(self._waiting)))

    def _drop_cancelled(self) -> None:
        self._running = [entry for entry in self._running if not entry.cancelled]
        self._waiting = [entry for entry in self._waiting if not entry.cancelled]

    def _take_up(self) -> None:
        self._waiting.sort(key=lambda entry: (-entry.priority, entry.arrival))
        while self._waiting and len(self._running) < self.options.max_batch:
            self._running.append(self._waiting.pop(0))

    def _read_prompts(self) -> int:
        """Read prompts up to the step's bound; return how many tokens were read."""
        left = self.options.prefill_step_tokens
        for sequence in self._running:
            read = min(left, sequence.prefill_left)
            sequence.prefill_left -= read
            left -= read
            if read and sequence.prefill_left == 0:
                self._publish(*self.cache.add(block_hashes(sequence.prompt)))
        read_now = self.options.prefill_step_tokens - left
        self.prefilled_tokens += read_now
        return read_now

    def _generate(self) -> None:
        for sequence in self._running:
            if sequence.prefill_left:
                continue
            if sequence.run.generated < sequence.length:
                sequence.run.generated += 1
            if sequence.run.generated >= sequence.length:
                sequence.run.finished = True
            sequence.changed.give()
        self._running = [entry for entry in self._running if not entry.run.finished]

    def _publish(self, added: list[int], removed: list[int]) -> None:
        now = self._environment.monotonic()
        for kind, blocks in (("stored", added), ("removed", removed)):
            for block in blocks:
                self._event_number += 1
                gap = self.options.event_gap_every
                if gap and self._event_number % gap == 0:
                    continue  # lost on the way
                self._events.append((now, self._event_number, kind, block))

    # ---- reports, orders, faults ------------------------------------------

    def load_report(self) -> tuple[int, int]:
        """Return (running, waiting) as they were a while ago."""
        oldest = self._environment.monotonic() - self.options.report_lag_s
        report = (0, 0)
        for moment, running, waiting in self._loads:
            if moment > oldest:
                break
            report = (running, waiting)
        return report

    def cache_events(self, after: int) -> list[tuple[int, str, int]]:
        """Return (number, kind, block) of events after a number: late, and with gaps."""
        oldest = self._environment.monotonic() - self.options.event_lag_s
        return [
            (number, kind, block)
            for moment, number, kind, block in self._events
            if number > after and moment <= oldest
        ]

    def export_blocks(self) -> list[int]:
        """Return the blocks of the cache, for another engine."""
        return self.cache.blocks()

    def import_blocks(self, blocks: list[int]) -> None:
        """Take in blocks of another engine's cache."""
        self._publish(*self.cache.add(blocks))

    def order(self, action: str, argument: str, fence: int) -> bool:
        """Carry out an order; return False if its fence is old."""
        if self.options.checks_fences:
            if fence < self.highest_fence:
                return False
            self.highest_fence = fence
        if action == "load_model":
            self.models.add(argument)
        elif action == "load_adapter":
            self.adapters.add(argument)
        elif action == "set_role":
            self.role = argument
        return True

    def set_faults(self, faults: EngineFaults) -> None:
        """Switch faults on or off."""
        was_crashed = self.faults.crashed
        self.faults = faults
        if faults.crashed and not was_crashed:
            for sequence in [*self._running, *self._waiting]:
                sequence.failed = True
                sequence.cancelled = True
                sequence.changed.give()
            self.cache.clear()
        self._wake.give()
