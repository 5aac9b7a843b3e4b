"""Running estimates of request durations."""

__all__ = ["DurationEstimate", "DurationEstimates"]

SAMPLE_WEIGHT = 0.1
BOUND_DEVIATIONS = 4


class DurationEstimate:
    """Exponentially weighted mean and deviation of durations.

    Args:
        initial_ms: Estimate before the first measured duration, in milliseconds.
    """

    def __init__(self, initial_ms: float):
        self.mean_ms = float(initial_ms)
        self._deviation_ms = 0.0

    @property
    def upper_bound_ms(self) -> float:
        """Duration that few requests exceed: the mean plus four mean deviations."""
        return self.mean_ms + BOUND_DEVIATIONS * self._deviation_ms

    def add(self, duration_ms: int) -> None:
        """Add the duration of a successful request."""
        deviation_ms = abs(duration_ms - self.mean_ms)
        self._deviation_ms += SAMPLE_WEIGHT * (deviation_ms - self._deviation_ms)
        self.mean_ms += SAMPLE_WEIGHT * (duration_ms - self.mean_ms)
        self.mean_ms = max(1.0, self.mean_ms)


class DurationEstimates:
    """Duration estimates for all requests and per organisation.

    Args:
        initial_ms: Estimate before the first measured duration, in milliseconds.
    """

    def __init__(self, initial_ms: float):
        self._overall = DurationEstimate(initial_ms)
        self._by_organisation: dict[str, DurationEstimate] = {}

    @property
    def mean_ms(self) -> float:
        """Mean duration of all requests, in milliseconds."""
        return self._overall.mean_ms

    def mean_ms_of(self, organisation: str) -> float:
        """Return the mean duration of an organisation's requests, in milliseconds.

        The mean of all requests is used until the organisation has one of its own.
        """
        return self._by_organisation.get(organisation, self._overall).mean_ms

    @property
    def upper_bound_ms(self) -> float:
        """Duration that few requests exceed, in milliseconds."""
        return self._overall.upper_bound_ms

    def add(self, organisation: str, duration_ms: int) -> None:
        """Add the duration of a successful request."""
        self._overall.add(duration_ms)
        estimate = self._by_organisation.get(organisation)
        if estimate is None:
            estimate = DurationEstimate(self._overall.mean_ms)
            self._by_organisation[organisation] = estimate
        estimate.add(duration_ms)
