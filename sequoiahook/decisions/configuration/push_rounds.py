"""Schedule of the repeated pushes of a new configuration."""

from sequoiahook.decisions.configuration.rollout_settings import RolloutSettings

__all__ = ["PushRounds"]


class PushRounds:
    """Schedules the rounds that repeat the unacknowledged pushes of one number."""

    def __init__(self, settings: RolloutSettings):
        self._settings = settings
        self._rounds_left = 0
        self._next_round_at = 0

    def start(self, now: int) -> None:
        """Start the schedule after a new number was pushed to all peers."""
        self._rounds_left = self._settings.push_retries_max
        self._next_round_at = now + self._settings.push_retry_ms

    def stop(self) -> None:
        """Stop the schedule, since all peers have acknowledged."""
        self._rounds_left = 0

    def begin_round(self, now: int) -> bool:
        """Return whether a round is due; if so, count it and schedule the next."""
        if not self._rounds_left or now < self._next_round_at:
            return False
        self._rounds_left -= 1
        self._next_round_at = now + self._settings.push_retry_ms
        return True

    def next_wake(self) -> int | None:
        """Return when the next round is due; None if there is none."""
        return self._next_round_at if self._rounds_left else None
