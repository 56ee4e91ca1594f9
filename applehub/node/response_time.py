"""Estimates the response time of a service."""

MEAN_WEIGHT = 1 / 8  # weight of a new sample in the mean, RFC 6298 section 2
DEVIATION_WEIGHT = 1 / 4  # weight of a new sample in the mean deviation
DEVIATIONS = 4  # number of mean deviations that a timeout lies above the mean


class ResponseTime:
    """Moving mean and mean deviation of response times, as RFC 6298 computes them for round-trip times.

    All times are in seconds. `mean` is the expected response time and `timeout` the time after which a
    response is late; both are limited to the range from `minimum` to `maximum`. Until the first sample both
    are `initial`.
    """

    __slots__ = ("_deviation", "_mean", "initial", "maximum", "minimum")

    def __init__(self, initial: float, minimum: float, maximum: float) -> None:
        self.initial, self.minimum, self.maximum = initial, minimum, maximum
        self._mean: float | None = None
        self._deviation = 0.0

    def observe(self, sample: float) -> None:
        """Adds a sample."""
        if self._mean is None:
            self._mean, self._deviation = sample, sample / 2
            return
        self._deviation += (abs(sample - self._mean) - self._deviation) * DEVIATION_WEIGHT
        self._mean += (sample - self._mean) * MEAN_WEIGHT

    @property
    def mean(self) -> float:
        return self._bounded(self.initial if self._mean is None else self._mean)

    @property
    def timeout(self) -> float:
        if self._mean is None:
            return self.initial
        return self._bounded(self._mean + DEVIATIONS * self._deviation)

    def _bounded(self, value: float) -> float:
        return min(max(value, self.minimum), self.maximum)
