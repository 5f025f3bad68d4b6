"""Emulation of a model engine with continuous batching.

The duration of each step grows with the number of prompt tokens it processes
and with the batch size; each step generates one token for every running
sequence. The completion is a function of the prompt alone, so a caller can
check that a response is complete and belongs to its request.
"""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import xxhash
from heronladder_runtime.change_signal import ChangeSignal
from heronladder_runtime.clock import Environment

from heronladder_emulator.execution_records import EngineRun, ExecutionRecords
from heronladder_emulator.prefix_cache import BLOCK_BYTES, PrefixCache, block_hashes

BYTES_PER_TOKEN = 4
_MAX_RECORDED_ENTRIES = 2_000


class EngineCrashedError(Exception):
    """The engine crashed or broke a stream because of an injected fault."""


@dataclass(frozen=True)
class EngineOptions:
    """Performance and behaviour of an engine.

    Attributes:
        name: Name of the engine.
        max_batch: Maximum number of sequences in the batch.
        step_s: Fixed duration of a step, in seconds.
        sequence_s: Time that each running sequence adds to a step, in seconds.
        prefill_token_s: Time that each processed prompt token adds to a step, in seconds.
        prefill_step_tokens: Maximum number of prompt tokens processed in one step.
        cache_blocks: Capacity of the prefix cache, in blocks.
        checks_fences: Whether the engine refuses orders with an outdated fence.
        report_lag_s: Age of the reported load, in seconds.
        event_lag_s: Delay after which cache events are published, in seconds.
        event_gap_every: Every n-th cache event is lost; 0 loses none.
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
    """Faults injected into an engine.

    Attributes:
        stalled: The engine executes no steps.
        crashed: The engine refuses connections and breaks all streams.
        slow_factor: Factor by which steps take longer.
        drop_after_tokens: Number of tokens after which streams break; 0 for never.
    """

    stalled: bool = False
    crashed: bool = False
    slow_factor: float = 1.0
    drop_after_tokens: int = 0


@dataclass
class Sequence:
    """A request that the engine has accepted.

    Attributes:
        prompt: The prompt.
        max_tokens: Maximum number of tokens to generate.
        priority: Sequences with a higher priority join the batch first.
        run: Record of the execution.
        prefill_remaining: Number of prompt tokens not processed yet.
        cached_tokens: Number of prompt tokens found in the prefix cache.
        length: Number of tokens of the complete response.
        emitted: Unused; ``run.generated`` counts the generated tokens.
        failed: Whether the engine crashed while it held the sequence.
        cancelled: Whether the stream was closed or the engine crashed.
        arrival: Sequence number that orders requests of equal priority.
        changed: Signals new tokens and failure.
    """

    prompt: bytes
    max_tokens: int
    priority: int
    run: EngineRun
    prefill_remaining: int = 0
    cached_tokens: int = 0
    length: int = 0
    emitted: int = 0
    failed: bool = False
    cancelled: bool = False
    arrival: int = 0
    changed: ChangeSignal = field(default_factory=ChangeSignal)


def prompt_tokens(prompt: bytes) -> int:
    """Return the number of tokens of a prompt."""
    return -(-len(prompt) // BYTES_PER_TOKEN)


def completion_length(prompt: bytes, max_tokens: int) -> int:
    """Return the number of tokens of the completion of a prompt."""
    length = 8 + xxhash.xxh3_64_intdigest(prompt) % 56
    return min(max_tokens, length)


def completion_token(prompt: bytes, position: int) -> str:
    """Return the token at a position of the completion of a prompt."""
    digest = xxhash.xxh3_64_intdigest(prompt, seed=position + 1)
    return f" w{digest % 100_000:05d}"


def expected_completion(prompt: bytes, max_tokens: int) -> str:
    """Return the complete text that the engine generates for a prompt."""
    length = completion_length(prompt, max_tokens)
    return "".join(completion_token(prompt, position) for position in range(length))


class EmulatedEngine:
    """An engine with a batch, a prefix cache and injectable faults.

    Args:
        options: Performance and behaviour of the engine.
        books: Records of what the engine executes.
        environment: Clock and source of randomness.
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
        self._wake = ChangeSignal()
        self._task: asyncio.Task[None] | None = None
        self._loads: deque[tuple[float, int, int]] = deque(maxlen=_MAX_RECORDED_ENTRIES)
        self._events: deque[tuple[float, int, str, int]] = deque(maxlen=_MAX_RECORDED_ENTRIES)
        self._event_number = 0
        self.prefilled_tokens = 0

    def start(self) -> None:
        """Start executing steps."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    async def stop(self) -> None:
        """Stop executing steps."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    # ---- requests ---------------------------------------------------------

    def submit(self, request_id: str, prompt: bytes, max_tokens: int, priority: int) -> Sequence:
        """Accept a request and queue it for the batch.

        Raises:
            EngineCrashedError: If the engine has crashed.
        """
        if self.faults.crashed:
            raise EngineCrashedError(self.options.name)
        count = prompt_tokens(prompt)
        run = self._books.start_run(request_id, self.options.name, count)
        self._arrivals += 1
        sequence = Sequence(prompt, max_tokens, priority, run, arrival=self._arrivals)
        sequence.length = completion_length(prompt, max_tokens)
        matched = self.cache.match(block_hashes(prompt))
        sequence.cached_tokens = min(count, matched * BLOCK_BYTES // BYTES_PER_TOKEN)
        sequence.prefill_remaining = count - sequence.cached_tokens
        self._waiting.append(sequence)
        self._wake.notify_waiters()
        return sequence

    async def tokens(self, sequence: Sequence) -> AsyncIterator[str]:
        """Yield a request's tokens as they are generated.

        Closing the iterator cancels the request.

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
                    yield completion_token(sequence.prompt, position)
                    position += 1
                if sequence.failed:
                    raise EngineCrashedError(self.options.name)
                if sequence.run.finished:
                    return
                await sequence.changed.wait()
        finally:
            sequence.cancelled = True

    def resume(self, sequence: Sequence) -> None:
        """Continue a cancelled request after the tokens generated so far."""
        sequence.cancelled = False
        if sequence not in self._running and not sequence.run.finished:
            self._waiting.append(sequence)
            self._wake.notify_waiters()

    # ---- steps ------------------------------------------------------------

    async def _run(self) -> None:
        while True:
            self._remove_cancelled()
            self._admit_waiting()
            if not self._running or self.faults.stalled or self.faults.crashed:
                await self._wake.wait()
                continue
            prefill = self._prefill_step()
            options = self.options
            step_s = options.step_s + options.sequence_s * len(self._running)
            step_s += options.prefill_token_s * prefill
            await asyncio.sleep(step_s * self.faults.slow_factor)
            if not self.faults.crashed:
                self._generate()
            now = self._environment.monotonic()
            self._loads.append((now, len(self._running), len(self._waiting)))

    def _remove_cancelled(self) -> None:
        self._running = [entry for entry in self._running if not entry.cancelled]
        self._waiting = [entry for entry in self._waiting if not entry.cancelled]

    def _admit_waiting(self) -> None:
        self._waiting.sort(key=lambda entry: (-entry.priority, entry.arrival))
        while self._waiting and len(self._running) < self.options.max_batch:
            self._running.append(self._waiting.pop(0))

    def _prefill_step(self) -> int:
        """Process prompt tokens up to the limit of a step.

        Returns:
            Number of prompt tokens processed.
        """
        remaining = self.options.prefill_step_tokens
        for sequence in self._running:
            processed = min(remaining, sequence.prefill_remaining)
            sequence.prefill_remaining -= processed
            remaining -= processed
            if processed and sequence.prefill_remaining == 0:
                self._publish(*self.cache.add(block_hashes(sequence.prompt)))
        total_processed = self.options.prefill_step_tokens - remaining
        self.prefilled_tokens += total_processed
        return total_processed

    def _generate(self) -> None:
        for sequence in self._running:
            if sequence.prefill_remaining:
                continue
            if sequence.run.generated < sequence.length:
                sequence.run.generated += 1
            if sequence.run.generated >= sequence.length:
                sequence.run.finished = True
            sequence.changed.notify_waiters()
        self._running = [entry for entry in self._running if not entry.run.finished]

    def _publish(self, added: list[int], removed: list[int]) -> None:
        now = self._environment.monotonic()
        for kind, blocks in (("stored", added), ("removed", removed)):
            for block in blocks:
                self._event_number += 1
                gap = self.options.event_gap_every
                if gap and self._event_number % gap == 0:
                    continue  # Emulates the loss of an event.
                self._events.append((now, self._event_number, kind, block))

    # ---- reports, orders and faults ---------------------------------------

    def load_report(self) -> tuple[int, int]:
        """Return the numbers of running and waiting sequences ``report_lag_s`` ago."""
        reported_at_s = self._environment.monotonic() - self.options.report_lag_s
        report = (0, 0)
        for recorded_at_s, running, waiting in self._loads:
            if recorded_at_s > reported_at_s:
                break
            report = (running, waiting)
        return report

    def cache_events(self, after: int) -> list[tuple[int, str, int]]:
        """Return the published cache events that follow a sequence number.

        Events appear ``event_lag_s`` after they occurred, and lost ones leave gaps.

        Args:
            after: Sequence number of the last event that the caller knows.

        Returns:
            Sequence number, kind (``stored`` or ``removed``) and block hash of each event.
        """
        latest_s = self._environment.monotonic() - self.options.event_lag_s
        return [
            (number, kind, block)
            for recorded_at_s, number, kind, block in self._events
            if number > after and recorded_at_s <= latest_s
        ]

    def export_blocks(self) -> list[int]:
        """Return the block hashes of the cache for import by another engine."""
        return self.cache.blocks()

    def import_blocks(self, blocks: list[int]) -> None:
        """Add blocks exported from another engine's cache."""
        self._publish(*self.cache.add(blocks))

    def order(self, action: str, argument: str, fence: int) -> bool:
        """Execute an order.

        Args:
            action: ``load_model``, ``load_adapter`` or ``set_role``; others do nothing.
            argument: Name of the model, adapter or role.
            fence: Fencing token of the order.

        Returns:
            False if the engine checks fences and has seen a higher one, otherwise True.
        """
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
        """Replace the injected faults; a crash fails all sequences and clears the cache."""
        was_crashed = self.faults.crashed
        self.faults = faults
        if faults.crashed and not was_crashed:
            for sequence in [*self._running, *self._waiting]:
                sequence.failed = True
                sequence.cancelled = True
                sequence.changed.notify_waiters()
            self.cache.clear()
        self._wake.notify_waiters()
