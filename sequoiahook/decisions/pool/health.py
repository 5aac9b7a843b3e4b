"""Health of one target, from the results of requests that it ran.

Each fault halves the slots in use down to one, each success gives one back, so a
target whose errors come quickly gets less, not more. Faults in a row, or for the whole
grace period, suspend the target for a time that grows while its retries fail.
"""

from sequoiahook.decisions.pool.settings import PoolSettings

__all__ = ["TargetHealth"]


class TargetHealth:
    """How many slots a target's own results allow.

    Args:
        settings: The pool's settings.
        slots: The target's slots.
    """

    def __init__(self, settings: PoolSettings, slots: int):
        self._settings = settings
        self._slots = slots
        self._allowed = slots
        self._faults_in_row = 0
        self._faulty_since: int | None = None
        self._suspended_until: int | None = None
        self._suspend_ms = 0

    @property
    def suspended_until(self) -> int | None:
        """When the suspension ends; None if the target is not suspended."""
        return self._suspended_until

    def is_faulty(self, now: int) -> bool:
        """Return whether other targets should be used before this one.

        A retry after a suspension is not put off, or it would wait until all others
        are busy.
        """
        if self._faulty_since is None or self._suspended_until is not None:
            return False
        return now - self._faulty_since < self._settings.grace_ms

    def set_slots(self, slots: int) -> None:
        """Take a new number of slots."""
        if self._allowed == self._slots:
            self._allowed = slots
        self._allowed = min(self._allowed, slots)
        self._slots = slots

    def allowed(self, now: int) -> int:
        """Return how many requests may run at the target."""
        if self._suspended_until is None:
            return self._allowed
        return 1 if now >= self._suspended_until else 0

    def succeeded(self) -> None:
        """Count a success."""
        self._faults_in_row = 0
        self._faulty_since = None
        self._suspend_ms = 0
        if self._suspended_until is not None:
            self._suspended_until = None
            self._allowed = 1
        self._allowed = min(self._allowed + 1, self._slots)

    def failed(self, now: int) -> None:
        """Count a fault of the target."""
        self._faults_in_row += 1
        if self._faulty_since is None:
            self._faulty_since = now
        self._allowed = max(1, self._allowed // 2)
        if self._is_suspension_due(now):
            self._suspend(now)

    def _is_suspension_due(self, now: int) -> bool:
        if self._suspended_until is not None:
            return now >= self._suspended_until
        if self._faults_in_row >= self._settings.suspend_after_faults:
            return True
        return now - self._faulty_since >= self._settings.grace_ms

    def _suspend(self, now: int) -> None:
        settings = self._settings
        if self._suspend_ms == 0:
            self._suspend_ms = settings.suspend_initial_ms
        else:
            longer = int(self._suspend_ms * settings.suspend_factor)
            self._suspend_ms = min(longer, settings.suspend_max_ms)
        self._suspended_until = now + self._suspend_ms
