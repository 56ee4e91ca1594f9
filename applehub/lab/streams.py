"""Random numbers: one stream for each named part, so that one part's draws never shift another's."""

from collections.abc import Iterator
from zlib import crc32

import numpy as np

BLOCK = 4096


def generator(seed: int, part: str) -> np.random.Generator:
    """The stream of a part: the child of the seed's sequence that the part's name numbers."""
    return np.random.default_rng(np.random.SeedSequence(seed, spawn_key=(crc32(part.encode()),)))


class Draws:
    """Single numbers of one part's stream, taken from the generator in blocks."""

    __slots__ = ("_block", "_generator")

    def __init__(self, seed: int, part: str) -> None:
        self._generator = generator(seed, part)
        self._block: Iterator[float] = iter(())

    def uniform(self) -> float:
        """From 0 to 1, the end left out."""
        for value in self._block:
            return value
        self._block = iter(self._generator.random(BLOCK).tolist())
        return next(self._block)

    def between(self, low: float, high: float) -> float:
        return low + (high - low) * self.uniform()

    def below(self, count: int) -> int:
        """A whole number from 0 on, under count."""
        return int(self.uniform() * count)
