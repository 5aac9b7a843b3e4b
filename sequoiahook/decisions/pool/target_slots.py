"""What one target may run, and why it may get nothing new."""

from sequoiahook.decisions.pool.estimate import DurationEstimate
from sequoiahook.decisions.pool.health import TargetHealth
from sequoiahook.decisions.pool.settings import PoolSettings
from sequoiahook.world.target import Target

__all__ = ["TargetSlots"]


class TargetSlots:
    """The limits of one target: slots, warm-up, health, load report, leaving.

    Args:
        settings: The pool's settings.
        target: The target.
        warm_from: When its warm-up began; None if it counts as warm.
        warm_up_ms: How long its warm-up takes.
    """

    def __init__(
        self,
        settings: PoolSettings,
        target: Target,
        warm_from: int | None,
        warm_up_ms: int,
    ):
        self._settings = settings
        self.target = target
        self.health = TargetHealth(settings, target.slots)
        self.duration = DurationEstimate(settings.service_time_ms)
        self._warm_from = warm_from
        self._warm_up_ms = warm_up_ms
        self.is_leaving = False
        self._load_percent = 0
        self._load_until: int | None = None

    @property
    def is_closed(self) -> bool:
        """Whether the target gets nothing new at all."""
        return self.is_leaving or self.target.state != "active"

    def set_target(self, target: Target, warm_up_ms: int) -> None:
        """Take the target's new description."""
        self.target = target
        self.health.set_slots(target.slots)
        self._warm_up_ms = warm_up_ms

    def set_load(self, percent: int, now: int) -> None:
        """Take the target's own report of its load."""
        self._load_percent = percent
        self._load_until = now + self._settings.load_report_ms

    def load_percent(self, now: int) -> int:
        """Return the load that the target reported; 0 if the report is too old."""
        if self._load_until is None or now >= self._load_until:
            return 0
        return self._load_percent

    def allowed(self, now: int) -> int:
        """Return how many requests may run at the target, never above its slots."""
        if self.is_closed:
            return 0
        return min(self.warm_slots(now), self.health.allowed(now))

    def warm_slots(self, now: int) -> int:
        """Return how many slots the warm-up has opened."""
        slots = self.target.slots
        if self._warm_from is None or self._warm_up_ms <= 0:
            return slots
        first = min(self._settings.warm_up_slots, slots)
        elapsed_ms = max(0, now - self._warm_from)
        if elapsed_ms >= self._warm_up_ms:
            return slots
        return first + (slots - first) * elapsed_ms // self._warm_up_ms

    def next_change(self, now: int) -> int | None:
        """Return when time alone opens a slot next; None if it never does."""
        if self.is_closed:
            return None
        changes = []
        suspended_until = self.health.suspended_until
        if suspended_until is not None and suspended_until > now:
            changes.append(suspended_until)
        slots = self.warm_slots(now)
        if slots < self.target.slots:
            changes.append(self._warm_at(slots + 1))
        return min(changes, default=None)

    def _warm_at(self, slots: int) -> int:
        first = min(self._settings.warm_up_slots, self.target.slots)
        steps = self.target.slots - first
        elapsed_ms = -(-(slots - first) * self._warm_up_ms // steps)
        return self._warm_from + elapsed_ms
