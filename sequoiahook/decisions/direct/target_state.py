"""The state of one target: its record, load, failures and slowness."""

from typing import NamedTuple

from sequoiahook.decisions.direct.target_backlog import TargetBacklog
from sequoiahook.decisions.exchange.retry import SuspensionSettings, TargetSuspension
from sequoiahook.decisions.exchange.target_result import Stage
from sequoiahook.world.target import LiveTarget, LoadReport, StatedLimit, StatedRest

__all__ = [
    "CONNECT_FAILED_STAGES",
    "NEVER",
    "REACHED_STAGES",
    "TargetSettings",
    "TargetState",
]

SLOWNESS_MIN = 0.5
SLOWNESS_MAX = 20.0
PACE_FACTOR_MIN = 0.5
"""A target that reports a better pace, perhaps falsely, gains nothing more by it."""

PERCENT = 100
NEVER = -(1 << 40)
"""Reading of the clock before any other."""

CONNECT_FAILED_STAGES = frozenset({Stage.CONNECT_REFUSED, Stage.CONNECT_TIMEOUT})
REACHED_STAGES = frozenset({Stage.ANSWERED, Stage.SHED, Stage.ANSWER_TRUNCATED})
"""Stages that show that the target was reached, since it began to answer."""


class TargetSettings(NamedTuple):
    """Settings of the state of a target.

    Attributes:
        suspension: Suspension of a target that cannot be reached.
        slowness_weight: Weight of one answer in the average slowness of a target.
        failure_weight: Weight of one result in its average failure ratio.
        decay_ms: Time without results after which a target is treated as normal again.
        peer_count_valid_ms: Time for which a peer's count of open requests is used.
        load_valid_ms: Time for which a target's own report of its load is used.
        pace_decay_ms: Time over which the effect of a reported pace ends. It changes
            many times a second.
        reported_percent_max: Most requests that a target's own report counts for, as a
            percentage of its slots. Instances stop far below it to send further ones.
    """

    suspension: SuspensionSettings = SuspensionSettings(
        initial_ms=400, maximum_ms=3_000, suspends_on_connect_timeout=True
    )
    slowness_weight: float = 0.25
    failure_weight: float = 0.2
    decay_ms: int = 3_000
    peer_count_valid_ms: int = 1_000
    load_valid_ms: int = 300
    pace_decay_ms: int = 600
    reported_percent_max: int = 3_000


class _ReportedCount(NamedTuple):
    open_count: int
    reported_at: int


class TargetState:
    """One target: its record, and averages of the results that this instance observed.

    Attributes:
        open_count: Requests of this instance that are open at the target.
        backlog: Expected work of those of them whose service states its pace.
        cold_since: When it last became cold.
        cold_until: Until when it is cold.
        is_leaving: Whether this run of it has stated that it leaves.
        rest_count: Answers that asked for rest.
        rest_until: Until when it wants no requests of this instance; NEVER if it has
            not asked for rest.
        sent_count: Requests that this instance has sent to it.
        stated_limit: What its last answer to this instance states about the requests
            that it accepts.
        stated_rest: The last rest that it asked this instance for, or the text of an
            invalid field since.
        limit_per_s: Limit that it is known to state on the requests a second of all
            instances; None if it states none.
        limit_stated_at: When it stated this; NEVER if no answer is known.
        blocked_until: Until when its limit leaves no permit for this instance.
        answered_request_sent_at: When the last request was sent that it has answered.
        reached_at: When it last answered; NEVER if it has not.
        connected_at: When a connection to it was last opened; NEVER if none was.
        connect_failed_at: When opening a connection to it last failed; NEVER if none
            has.
        has_reported: Whether it has reported its load.
        states_pace: Whether its last report contained its pace.

    Args:
        record: Record that the target registered.
        settings: Settings of the state.
        now: The time in milliseconds.
    """

    def __init__(self, record: LiveTarget, settings: TargetSettings, now: int):
        self.record = record
        self.open_count = 0
        self.backlog = TargetBacklog()
        self.sent_count = 0
        self.stated_limit = StatedLimit(None)
        self.stated_rest = StatedRest()
        self.is_leaving = False
        self.rest_count = 0
        self.rest_until = NEVER
        self._is_returning = False
        self.limit_per_s: float | None = None
        self.limit_stated_at = NEVER
        self.blocked_until = now
        self.answered_request_sent_at = now - 1
        self.reached_at = NEVER
        self.connected_at = NEVER
        self.connect_failed_at = NEVER
        self.cold_since = now
        self.cold_until = now + record.cold_ms
        self.sent_cold_at: int | None = None
        self._settings = settings
        self._suspension = TargetSuspension(settings.suspension)
        self._slowness = 1.0
        self._failure_ratio = 0.0
        self._result_at = now
        self._was_unreachable = False
        self._peer_counts_by_name: dict[str, _ReportedCount] = {}
        self._peer_open_count = 0
        self._load = _ReportedCount(0, now - settings.load_valid_ms - 1)
        self.has_reported = False
        self.states_pace = False
        self._pace_factor = 1.0
        self._paced_at = now

    def update_record(self, record: LiveTarget, now: int) -> None:
        """Apply a newer record of the same run of the target."""
        self.record = record
        if record.cold_ms:
            self.mark_cold(record.cold_ms, now)

    def is_cold(self, now: int) -> bool:
        """Return whether the target is cold and accepts few requests per second."""
        return now < self.cold_until

    def mark_cold(self, duration_ms: int, now: int) -> None:
        """Treat the target as cold for a time in milliseconds."""
        if not self.is_cold(now):
            self.cold_since = now
        self.cold_until = max(self.cold_until, now + duration_ms)

    def may_send(self, now: int) -> bool:
        """Return whether the target is not suspended."""
        return self._suspension.may_send(now)

    def is_blocked(self, now: int) -> bool:
        """Return whether its limit leaves no permit for this instance at present."""
        return self.limit_per_s is not None and now < self.blocked_until

    def on_sent(self, now: int) -> None:
        """Count a request that is sent to the target."""
        self.open_count += 1
        self.sent_count += 1
        self._suspension.record_sent(now)
        if self.is_cold(now):
            self.sent_cold_at = now

    def forget_failures(self) -> None:
        """Forget the failures so far, which were not those of the target."""
        self._suspension = TargetSuspension(self._settings.suspension)
        self._failure_ratio = 0.0
        self._was_unreachable = False

    def on_ended(self, stage: Stage, now: int) -> bool:
        """Count the end of a request.

        Returns:
            Whether the target answered for the first time since it was unreachable.
        """
        self.open_count -= 1
        self._suspension.record_result(stage, now)
        if stage in CONNECT_FAILED_STAGES:
            self._was_unreachable = True
            return False
        if stage in REACHED_STAGES:
            self.reached_at = now
        if stage is Stage.ANSWERED and now >= self.rest_until:
            self._is_returning = False
        has_recovered = self._was_unreachable and stage in (Stage.ANSWERED, Stage.SHED)
        if has_recovered:
            self._was_unreachable = False
        return has_recovered

    def on_abandoned(self, stage: Stage, late_ms: int, now: int) -> None:
        """Count the end of a request whose caller has left.

        Callers that leave early show nothing about the target, nor does a connection
        that was still being opened.

        Args:
            stage: Stage that the request had reached.
            late_ms: Time since the answer was expected, in milliseconds.
            now: The time in milliseconds.
        """
        might_answer = late_ms < self._settings.suspension.grace_ms
        if might_answer or stage in CONNECT_FAILED_STAGES:
            stage = Stage.NOTHING_WRITTEN
        self.on_ended(stage, now)

    def record_rest(self, rest: StatedRest, now: int) -> None:
        """Record that the target asks for rest, or that its field is invalid.

        An answer to a request that was on its way does not shorten the rest.
        """
        self.stated_rest = rest
        self.rest_count += 1
        if rest.duration_ms:
            self.rest_until = max(self.rest_until, now + rest.duration_ms)
            self._is_returning = True

    def is_resting(self, now: int) -> bool:
        """Return whether the target wants no further request of this instance now.

        After the rest it gets one request at a time until it has answered one.
        """
        if now < self.rest_until:
            return True
        return self._is_returning and self.open_count > 0

    def record_outcome(self, is_failure: bool, now: int) -> None:
        """Add one result to the average failure ratio."""
        self._decay(now)
        weight = self._settings.failure_weight
        self._failure_ratio += weight * (float(is_failure) - self._failure_ratio)

    def record_slowness(self, ratio: float, now: int) -> None:
        """Add one duration, relative to the typical one, to the average slowness."""
        self._decay(now)
        ratio = min(SLOWNESS_MAX, max(SLOWNESS_MIN, ratio))
        self._slowness += self._settings.slowness_weight * (ratio - self._slowness)

    def record_load(self, report: LoadReport, now: int) -> None:
        """Record the load that the target itself reports."""
        most = self.record.slots * self._settings.reported_percent_max // PERCENT
        self._load = _ReportedCount(min(report.open_count, most), now)
        self.has_reported = True
        self.states_pace = report.pace is not None
        if report.pace is not None:
            self._pace_factor = max(PACE_FACTOR_MIN, report.pace / PERCENT)
            self._paced_at = now

    def report_age_ms(self, now: int) -> int:
        """Return the age of the target's last report of its load; -1 without one."""
        return now - self._load.reported_at if self.has_reported else -1

    def pace_factor(self, now: int) -> float:
        """Return how long work takes at present, relative to the usual time."""
        age_ms = now - self._paced_at
        weight = max(0.0, 1.0 - age_ms / self._settings.pace_decay_ms)
        return 1.0 + (self._pace_factor - 1.0) * weight

    def record_peer_count(self, peer: str, open_count: int, now: int) -> None:
        """Record the number of open requests that a peer has at the target."""
        last = self._peer_counts_by_name.pop(peer, None)
        if last is not None:
            self._peer_open_count -= last.open_count
        if open_count:
            self._peer_counts_by_name[peer] = _ReportedCount(open_count, now)
            self._peer_open_count += open_count

    def instances_open_count(self, now: int) -> int:
        """Return the number of requests that instances know to be open at the target.

        The target's own report is not used.
        """
        self._expire_peer_counts(now - self._settings.peer_count_valid_ms)
        return self.open_count + self._peer_open_count

    def in_flight(self, now: int) -> int:
        """Return the number of requests known to be queued or running at the target.

        A report counts up to a maximum, since its figures may be wrong.
        """
        open_total = self.instances_open_count(now)
        if now - self._load.reported_at <= self._settings.load_valid_ms:
            return max(open_total, self._load.open_count)
        return open_total

    def _expire_peer_counts(self, valid_since: int) -> None:
        counts = self._peer_counts_by_name
        while counts:
            # Counts are in the order of their reports, so the first is the oldest.
            peer, count = next(iter(counts.items()))
            if count.reported_at >= valid_since:
                return
            del counts[peer]
            self._peer_open_count -= count.open_count

    def slowness(self, now: int) -> float:
        """Return the duration of answers, relative to the typical one."""
        return 1.0 + (self._slowness - 1.0) * self._evidence_weight(now)

    def failure_ratio(self, now: int) -> float:
        """Return the ratio of recent results that were failures."""
        return self._failure_ratio * self._evidence_weight(now)

    def _evidence_weight(self, now: int) -> float:
        age_ms = now - self._result_at
        return max(0.0, 1.0 - age_ms / self._settings.decay_ms)

    def _decay(self, now: int) -> None:
        self._slowness = self.slowness(now)
        self._failure_ratio = self.failure_ratio(now)
        self._result_at = now
