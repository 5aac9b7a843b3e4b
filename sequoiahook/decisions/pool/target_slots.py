"""Limits on the requests that one target may run."""

from sequoiahook.decisions.pool.estimate import DurationEstimate
from sequoiahook.decisions.pool.health import TargetHealth
from sequoiahook.decisions.pool.settings import PoolSettings
from sequoiahook.world.target import Target

__all__ = ["TargetSlots"]


class TargetSlots:
    """Limits of one target: slots, warm-up, health, load report and leaving state.

    Args:
        settings: The pool's settings.
        target: The target.
        warm_up_started_at: Start of its warm-up; None if it is warm already.
        warm_up_ms: Duration of its warm-up, in milliseconds.
    """

    def __init__(
        self,
        settings: PoolSettings,
        target: Target,
        warm_up_started_at: int | None,
        warm_up_ms: int,
    ):
        self._settings = settings
        self.target = target
        self.health = TargetHealth(settings, target.slots)
        self.duration = DurationEstimate(settings.service_time_ms)
        self._warm_up_started_at = warm_up_started_at
        self._warm_up_ms = warm_up_ms
        self.is_leaving = False
        self._load_percent = 0
        self._load_until: int | None = None

    @property
    def is_closed(self) -> bool:
        """Whether the target accepts no new requests."""
        return self.is_leaving or self.target.state != "active"

    def set_target(self, target: Target, warm_up_ms: int) -> None:
        """Replace the target's description."""
        self.target = target
        self.health.set_slots(target.slots)
        self._warm_up_ms = warm_up_ms

    def set_load(self, percent: int, now: int) -> None:
        """Record the target's own load report."""
        self._load_percent = percent
        self._load_until = now + self._settings.load_report_lifetime_ms

    def load_percent(self, now: int) -> int:
        """Return the reported load; 0 if there is no recent report."""
        if self._load_until is None or now >= self._load_until:
            return 0
        return self._load_percent

    def allowed_slots(self, now: int) -> int:
        """Return how many requests may run at the target; never more than its slots."""
        if self.is_closed:
            return 0
        return min(self.warm_slots(now), self.health.allowed_slots(now))

    def warm_slots(self, now: int) -> int:
        """Return the number of slots that the warm-up has opened."""
        slots = self.target.slots
        if self._warm_up_started_at is None or self._warm_up_ms <= 0:
            return slots
        initial_slots = min(self._settings.warm_up_initial_slots, slots)
        elapsed_ms = max(0, now - self._warm_up_started_at)
        if elapsed_ms >= self._warm_up_ms:
            return slots
        return initial_slots + (slots - initial_slots) * elapsed_ms // self._warm_up_ms

    def next_change(self, now: int) -> int | None:
        """Return when the next slot opens by time alone; None if none will."""
        if self.is_closed:
            return None
        changes = []
        suspended_until = self.health.suspended_until
        if suspended_until is not None and suspended_until > now:
            changes.append(suspended_until)
        slots = self.warm_slots(now)
        if slots < self.target.slots:
            changes.append(self._warm_slots_at(slots + 1))
        return min(changes, default=None)

    def _warm_slots_at(self, slots: int) -> int:
        initial_slots = min(self._settings.warm_up_initial_slots, self.target.slots)
        added_slots = self.target.slots - initial_slots
        elapsed_ms = -(-(slots - initial_slots) * self._warm_up_ms // added_slots)
        return self._warm_up_started_at + elapsed_ms
