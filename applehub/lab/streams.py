"""Reproducible random numbers: an independent stream for each named component."""

from collections.abc import Iterator
from zlib import crc32

import numpy as np

BLOCK_SIZE = 4096  # numbers drawn from the generator at a time


def generator(seed: int, name: str) -> np.random.Generator:
    """Returns the generator of a named component: a child of the seed's sequence, keyed by the name's CRC."""
    return np.random.default_rng(np.random.SeedSequence(seed, spawn_key=(crc32(name.encode()),)))


class RandomStream:
    """Single numbers of one component's stream, drawn from its generator in blocks."""

    __slots__ = ("_block", "_generator")

    def __init__(self, seed: int, name: str) -> None:
        self._generator = generator(seed, name)
        self._block: Iterator[float] = iter(())

    def uniform(self) -> float:
        """Draws a number from the interval [0, 1)."""
        for value in self._block:
            return value
        self._block = iter(self._generator.random(BLOCK_SIZE).tolist())
        return next(self._block)

    def between(self, low: float, high: float) -> float:
        """Draws a number from the interval [low, high)."""
        return low + (high - low) * self.uniform()

    def below(self, count: int) -> int:
        """Draws an integer from 0 to count - 1."""
        return int(self.uniform() * count)
