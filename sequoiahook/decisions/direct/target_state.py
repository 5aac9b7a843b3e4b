"""What an instance knows and believes of one target."""

from typing import NamedTuple

from sequoiahook.decisions.exchange.retry import SuspensionSettings, TargetSuspension
from sequoiahook.decisions.exchange.target_result import Stage
from sequoiahook.world.target import LiveTarget

__all__ = ["TargetSettings", "TargetState"]

SLOWNESS_MIN = 0.5
SLOWNESS_MAX = 20.0


class TargetSettings(NamedTuple):
    """How evidence about a target is weighed.

    Attributes:
        suspension: How long a target that cannot be reached is left alone.
        slowness_weight: Weight of one answer in the average of a target's slowness.
        failure_weight: Weight of one result in the average of its failures.
        forget_ms: Time after which a target without results counts as usual again.
        peer_count_ms: Time for which a peer's count of open requests is used.
        load_ms: Time for which a target's own report of its load is used.
    """

    suspension: SuspensionSettings = SuspensionSettings(
        initial_ms=400, maximum_ms=3_000, is_silence_final=True
    )
    slowness_weight: float = 0.25
    failure_weight: float = 0.2
    forget_ms: int = 3_000
    peer_count_ms: int = 1_000
    load_ms: int = 300


class _PeerCount(NamedTuple):
    open_count: int
    heard_at: int


class TargetState:
    """One target: its own description and the evidence of this instance.

    Args:
        record: How the target describes itself.
        settings: How evidence is weighed.
        now: The time in milliseconds.
    """

    def __init__(self, record: LiveTarget, settings: TargetSettings, now: int):
        self.record = record
        self.open_count = 0
        self.cold_until = now + record.cold_ms
        self.sent_cold_at: int | None = None
        self._settings = settings
        self._suspension = TargetSuspension(settings.suspension)
        self._slowness = 1.0
        self._failures = 0.0
        self._result_at = now
        self._was_unreachable = False
        self._peer_counts_by_name: dict[str, _PeerCount] = {}
        self._load = _PeerCount(0, now - settings.load_ms - 1)

    def describe(self, record: LiveTarget, now: int) -> None:
        """Take in a newer description of the same run."""
        self.record = record
        if record.cold_ms:
            self.cold_until = max(self.cold_until, now + record.cold_ms)

    def is_cold(self, now: int) -> bool:
        """Return whether the target bears few requests a second only."""
        return now < self.cold_until

    def chill(self, duration_ms: int, now: int) -> None:
        """Treat the target as cold for a while."""
        self.cold_until = max(self.cold_until, now + duration_ms)

    def may_send(self, now: int) -> bool:
        """Return whether its failures leave it usable."""
        return self._suspension.may_send(now)

    def sent(self, now: int) -> None:
        """Count a request that goes to the target."""
        self.open_count += 1
        self._suspension.sent(now)
        if self.is_cold(now):
            self.sent_cold_at = now

    def ended(self, stage: Stage, now: int) -> bool:
        """Count the end of a request.

        Returns:
            Whether the target answers again after it could not be reached.
        """
        self.open_count -= 1
        self._suspension.result(stage, now)
        if stage in (Stage.CONNECT_REFUSED, Stage.CONNECT_TIMEOUT):
            self._was_unreachable = True
            return False
        is_back = self._was_unreachable and stage in (Stage.ANSWERED, Stage.SHED)
        if is_back:
            self._was_unreachable = False
        return is_back

    def note_failure(self, is_failure: bool, now: int) -> None:
        """Take one result into the average of failures."""
        self._forget(now)
        weight = self._settings.failure_weight
        self._failures += weight * (float(is_failure) - self._failures)

    def note_slowness(self, ratio: float, now: int) -> None:
        """Take in how much longer than usual an answer took."""
        self._forget(now)
        ratio = min(SLOWNESS_MAX, max(SLOWNESS_MIN, ratio))
        self._slowness += self._settings.slowness_weight * (ratio - self._slowness)

    def note_load(self, open_count: int, now: int) -> None:
        """Take in how many requests the target itself says that it has."""
        self._load = _PeerCount(open_count, now)

    def note_peer(self, peer: str, open_count: int, now: int) -> None:
        """Take in how many open requests a peer has at the target."""
        if open_count:
            self._peer_counts_by_name[peer] = _PeerCount(open_count, now)
        else:
            self._peer_counts_by_name.pop(peer, None)

    def in_flight(self, now: int) -> int:
        """Return how many requests the target has, as far as is known."""
        oldest = now - self._settings.peer_count_ms
        counts = self._peer_counts_by_name.values()
        known = self.open_count + sum(
            count.open_count for count in counts if count.heard_at >= oldest
        )
        if now - self._load.heard_at <= self._settings.load_ms:
            return max(known, self._load.open_count)
        return known

    def slowness(self, now: int) -> float:
        """Return how many times longer than usual the target takes."""
        return 1.0 + (self._slowness - 1.0) * self._remembered(now)

    def failures(self, now: int) -> float:
        """Return which part of its recent results were failures."""
        return self._failures * self._remembered(now)

    def _remembered(self, now: int) -> float:
        age_ms = now - self._result_at
        return max(0.0, 1.0 - age_ms / self._settings.forget_ms)

    def _forget(self, now: int) -> None:
        self._slowness = self.slowness(now)
        self._failures = self.failures(now)
        self._result_at = now
