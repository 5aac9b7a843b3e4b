"""Health of one target, derived from the results of its requests.

Each fault halves the allowed slots down to one and each success restores one, so that
a target that fails quickly gets fewer requests, not more. Consecutive faults, or
faults over the whole grace period, suspend the target. Each failed retry lengthens the
suspension.
"""

from sequoiahook.decisions.pool.settings import PoolSettings

__all__ = ["TargetHealth"]


class TargetHealth:
    """Limit on a target's slots that follows from its own results.

    Args:
        settings: The pool's settings.
        slots: Configured slots of the target.
    """

    def __init__(self, settings: PoolSettings, slots: int):
        self._settings = settings
        self._slots = slots
        self._allowed_slots = slots
        self._consecutive_faults = 0
        self._faults_since: int | None = None
        self._suspended_until: int | None = None
        self._suspension_ms = 0

    @property
    def suspended_until(self) -> int | None:
        """End of the suspension; None if the target is not suspended."""
        return self._suspended_until

    def is_faulty(self, now: int) -> bool:
        """Return whether other targets are preferred because of recent faults.

        The retry after a suspension is not deferred, as it would otherwise wait until
        all other targets are busy.
        """
        if self._faults_since is None or self._suspended_until is not None:
            return False
        return now - self._faults_since < self._settings.fault_grace_ms

    def set_slots(self, slots: int) -> None:
        """Set the configured number of slots."""
        if self._allowed_slots == self._slots:
            self._allowed_slots = slots
        self._allowed_slots = min(self._allowed_slots, slots)
        self._slots = slots

    def allowed_slots(self, now: int) -> int:
        """Return how many requests may run at the target at once."""
        if self._suspended_until is None:
            return self._allowed_slots
        return 1 if now >= self._suspended_until else 0

    def record_success(self) -> None:
        """Record a successful request."""
        self._consecutive_faults = 0
        self._faults_since = None
        self._suspension_ms = 0
        if self._suspended_until is not None:
            self._suspended_until = None
            self._allowed_slots = 1
        self._allowed_slots = min(self._allowed_slots + 1, self._slots)

    def record_fault(self, now: int) -> None:
        """Record a fault of the target."""
        self._consecutive_faults += 1
        if self._faults_since is None:
            self._faults_since = now
        self._allowed_slots = max(1, self._allowed_slots // 2)
        if self._is_suspension_due(now):
            self._suspend(now)

    def _is_suspension_due(self, now: int) -> bool:
        if self._suspended_until is not None:
            return now >= self._suspended_until
        if self._consecutive_faults >= self._settings.suspend_after_faults:
            return True
        return now - self._faults_since >= self._settings.fault_grace_ms

    def _suspend(self, now: int) -> None:
        settings = self._settings
        if self._suspension_ms == 0:
            self._suspension_ms = settings.suspend_initial_ms
        else:
            next_ms = int(self._suspension_ms * settings.suspend_factor)
            self._suspension_ms = min(next_ms, settings.suspend_max_ms)
        self._suspended_until = now + self._suspension_ms
