"""A running estimate of how long requests take."""

__all__ = ["DurationEstimate"]

WEIGHT = 0.1


class DurationEstimate:
    """An exponentially weighted mean of durations.

    Args:
        first_ms: The estimate before any duration is known, in milliseconds.
    """

    def __init__(self, first_ms: float):
        self.mean_ms = float(first_ms)

    def add(self, duration_ms: int) -> None:
        """Take in the duration of a successful run."""
        self.mean_ms += WEIGHT * (duration_ms - self.mean_ms)
        self.mean_ms = max(1.0, self.mean_ms)
