"""How long a peer takes to answer, learnt from its answers."""

MEAN_WEIGHT = 1 / 8  # of a new sample in the mean, RFC 6298 section 2
DEVIATION_WEIGHT = 1 / 4  # of a new sample in the mean deviation
DEVIATIONS = 4  # mean deviations above the mean that a timeout allows


class AnswerTime:
    """A moving mean of answer times and its mean deviation, as RFC 6298 has them for round-trip times.

    All times are in seconds. `mean` is the expected answer time, `timeout` the time after which an answer is
    late; both stay between `least` and `most`. Until the first sample both are `first`.
    """

    __slots__ = ("_deviation", "_mean", "first", "least", "most")

    def __init__(self, first: float, least: float, most: float) -> None:
        self.first, self.least, self.most = first, least, most
        self._mean: float | None = None
        self._deviation = 0.0

    def observe(self, sample: float) -> None:
        """Takes in the answer time of one call."""
        if self._mean is None:
            self._mean, self._deviation = sample, sample / 2
            return
        self._deviation += (abs(sample - self._mean) - self._deviation) * DEVIATION_WEIGHT
        self._mean += (sample - self._mean) * MEAN_WEIGHT

    @property
    def mean(self) -> float:
        return self._bounded(self.first if self._mean is None else self._mean)

    @property
    def timeout(self) -> float:
        if self._mean is None:
            return self.first
        return self._bounded(self._mean + DEVIATIONS * self._deviation)

    def _bounded(self, value: float) -> float:
        return min(max(value, self.least), self.most)
