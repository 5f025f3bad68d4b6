"""Emulation of an engine's prefix cache: prompt blocks with least-recently-used eviction."""

from collections import OrderedDict

import xxhash

BLOCK_BYTES = 64


def block_hashes(prompt: bytes) -> list[int]:
    """Return the hash of each complete block of a prompt, chained with those before it."""
    hashes = []
    state = 0
    for start in range(0, len(prompt) - BLOCK_BYTES + 1, BLOCK_BYTES):
        state = xxhash.xxh3_64_intdigest(prompt[start : start + BLOCK_BYTES], seed=state)
        hashes.append(state)
    return hashes


class PrefixCache:
    """A least-recently-used cache of prompt blocks.

    Args:
        capacity: Maximum number of blocks; 0 disables the cache.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: OrderedDict[int, None] = OrderedDict()
        self.hits = 0
        self.lookups = 0

    def __contains__(self, block: int) -> bool:
        return block in self._blocks

    def blocks(self) -> list[int]:
        """Return the hashes of all cached blocks, least recently used first."""
        return list(self._blocks)

    def match(self, hashes: list[int]) -> int:
        """Return how many leading blocks of a prompt are cached, and mark them as used."""
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
        """Add blocks and evict the least recently used ones above the capacity.

        Returns:
            Hashes of the blocks that were added and of those that were evicted.
        """
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
        """Remove all blocks."""
        self._blocks.clear()
