"""When pushes of a new configuration are repeated."""

from sequoiahook.decisions.configuration.rollout_settings import RolloutSettings

__all__ = ["PushRounds"]


class PushRounds:
    """Counts the rounds in which unacknowledged pushes of one number are repeated."""

    def __init__(self, settings: RolloutSettings):
        self._settings = settings
        self._left = 0
        self._next_round = 0

    def begin(self, now: int) -> None:
        """Take that a new number was pushed to all peers."""
        self._left = self._settings.push_again_max
        self._next_round = now + self._settings.push_again_ms

    def stop(self) -> None:
        """Repeat nothing, since all peers have acknowledged."""
        self._left = 0

    def is_due(self, now: int) -> bool:
        """Return whether a round is due, and count it."""
        if not self._left or now < self._next_round:
            return False
        self._left -= 1
        self._next_round = now + self._settings.push_again_ms
        return True

    def next_wake(self) -> int | None:
        """Return when the next round is due; None if there is none."""
        return self._next_round if self._left else None
