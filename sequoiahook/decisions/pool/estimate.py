"""A running estimate of how long requests take."""

__all__ = ["DurationEstimate", "Durations"]

WEIGHT = 0.1
DEVIATIONS = 4


class DurationEstimate:
    """An exponentially weighted mean of durations.

    Args:
        first_ms: The estimate before any duration is known, in milliseconds.
    """

    def __init__(self, first_ms: float):
        self.mean_ms = float(first_ms)
        self._deviation_ms = 0.0

    @property
    def safe_ms(self) -> float:
        """A time within which nearly all runs end: the mean and four deviations."""
        return self.mean_ms + DEVIATIONS * self._deviation_ms

    def add(self, duration_ms: int) -> None:
        """Take in the duration of a successful run."""
        deviation_ms = abs(duration_ms - self.mean_ms)
        self._deviation_ms += WEIGHT * (deviation_ms - self._deviation_ms)
        self.mean_ms += WEIGHT * (duration_ms - self.mean_ms)
        self.mean_ms = max(1.0, self.mean_ms)


class Durations:
    """Estimates over all requests and for each organisation.

    Args:
        first_ms: The estimate before any duration is known, in milliseconds.
    """

    def __init__(self, first_ms: float):
        self._all = DurationEstimate(first_ms)
        self._by_organisation: dict[str, DurationEstimate] = {}

    @property
    def mean_ms(self) -> float:
        """The estimate over all requests."""
        return self._all.mean_ms

    def of(self, organisation: str) -> float:
        """Return the estimate for an organisation's requests."""
        return self._by_organisation.get(organisation, self._all).mean_ms

    @property
    def safe_ms(self) -> float:
        """A time within which nearly all runs end."""
        return self._all.safe_ms

    def add(self, organisation: str, duration_ms: int) -> None:
        """Take in the duration of a successful run."""
        self._all.add(duration_ms)
        own = self._by_organisation.get(organisation)
        if own is None:
            own = DurationEstimate(self._all.mean_ms)
            self._by_organisation[organisation] = own
        own.add(duration_ms)
