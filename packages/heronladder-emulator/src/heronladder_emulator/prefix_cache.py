"""An engine's prefix cache: blocks of prompts in limited memory, oldest out first."""

from collections import OrderedDict

import xxhash

BLOCK_BYTES = 64


def block_hashes(prompt: bytes) -> list[int]:
    """Return the hash of each whole block of a prompt, chained with those before it."""
    hashes = []
    state = 0
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        state = xxhash.xxh3_64_intdigest(prompt[start : start + BLOCK_BYTES], seed=state)
        hashes.append(state)
    return hashes


class PrefixCache:
    """Blocks that an engine holds.

    Args:
        capacity: Blocks that fit; 0 stands for no cache.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self.hits = 0
        self.lookups = 0

    def __contains__(self, block: int) -> bool:
        return block in self._blocks

    def blocks(self) -> list[int]:
        """Return all blocks held, the oldest first."""
        return list(self._blocks)

    def match(self, hashes: list[int]) -> int:
        """Return how many leading blocks of a prompt are held, and touch them."""
        matched = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            matched += 1
        self.lookups += len(hashes)
        self.hits += matched
        return matched

    def add(self, hashes: list[int]) -> tuple[list[int], list[int]]:
        """Hold blocks; return those that came in and those that had to go."""
        added: list[int] = []
        removed: list[int] = []
        if self._capacity == 0:
            return added, removed
        for block in hashes:
            if block not in self._blocks:
                added.append(block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            removed.append(self._blocks.popitem(last=False)[0])
        return added, removed

    def clear(self) -> None:
        """Forget all blocks."""
        self._blocks.clear()
