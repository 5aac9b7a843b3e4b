from hypothesis import settings, strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from sequoiahook.decisions.stopping import (
    AnnounceLeaving,
    CloseIdleConnections,
    Exit,
    LeaveViews,
    ReportOverdue,
    Stage,
    StartHandover,
    Stopping,
    StoppingSettings,
)

SETTINGS = StoppingSettings(
    handover_ms=500,
    lookup_lifetime_ms=1000,
    lookup_margin_ms=200,
    deadline_longest_ms=2000,
    close_ms=100,
)
SERVING_MS = 1200


class StoppingMachine(RuleBasedStateMachine):
    """Compares a stop with an independent count of requests and signals."""

    def __init__(self):
        super().__init__()
        self.stopping = Stopping(SETTINGS)
        self.now = 1000
        self.running_count = 0
        self.signal_count = 0
        self.signalled_at = None
        self.has_handed_over = False
        self.observed = []

    def check(self, effects):
        for effect in effects:
            self.observed.append((self.now, effect))
            if isinstance(effect, Exit):
                assert self.running_count == 0
                assert effect.code == 0
            if isinstance(effect, CloseIdleConnections):
                assert self.running_count == 0
                waited_ms = self.now - self.signalled_at
                assert waited_ms >= SERVING_MS or self.signal_count > 1
            if isinstance(effect, LeaveViews):
                waited_ms = self.now - self.signalled_at
                assert self.has_handed_over or waited_ms >= SETTINGS.handover_ms

    @rule(duration_ms=st.integers(1, 700))
    def advance(self, duration_ms):
        self.now += duration_ms
        self.check(self.stopping.tick(self.now))

    @rule()
    def start_work(self):
        is_accepted = self.stopping.start_work()
        is_closing = any(isinstance(e, CloseIdleConnections) for _, e in self.observed)
        assert not (is_accepted and is_closing)
        if self.signalled_at is None or (
            self.signal_count == 1 and self.now - self.signalled_at < SERVING_MS
        ):
            assert is_accepted
        self.running_count += is_accepted

    @precondition(lambda self: self.running_count > 0)
    @rule()
    def finish_work(self):
        self.running_count -= 1
        self.check(self.stopping.finish_work(self.now))

    @rule()
    def signal(self):
        self.signal_count += 1
        if self.signalled_at is None:
            self.signalled_at = self.now
        self.check(self.stopping.signal(self.now))

    @precondition(lambda self: self.signalled_at is not None)
    @rule()
    def hand_over(self):
        self.has_handed_over = True
        self.check(self.stopping.handed_over(self.now))

    @rule()
    def close(self):
        self.check(self.stopping.connections_closed(self.now))

    @invariant()
    def requests_are_counted(self):
        assert self.stopping.in_flight == self.running_count

    @invariant()
    def each_effect_is_returned_once(self):
        types = [type(effect) for _, effect in self.observed]
        assert len(types) == len(set(types))

    def teardown(self):
        """Check that a stop ends in time once all requests have ended."""
        if self.signalled_at is None:
            self.signal()
        for _ in range(10):
            wake = self.stopping.next_wake(self.now)
            if wake is not None and self.stopping.stage != Stage.FINISHING:
                self.now = max(self.now, wake)
                self.check(self.stopping.tick(self.now))
        while self.running_count:
            self.finish_work()
        while self.stopping.stage != Stage.DONE:
            self.now = max(self.now, self.stopping.next_wake(self.now))
            self.check(self.stopping.tick(self.now))
        types = [type(effect) for _, effect in self.observed]
        assert {AnnounceLeaving, StartHandover, CloseIdleConnections, Exit} <= set(
            types
        )
        assert types.index(AnnounceLeaving) < types.index(CloseIdleConnections)
        assert types[-1] is Exit


TestStopping = StoppingMachine.TestCase
TestStopping.settings = settings(max_examples=100, stateful_step_count=40)


def test_stop_with_one_request_takes_at_most_drain_ms():
    stopping = Stopping(SETTINGS)
    assert stopping.start_work()
    now = 0
    effects = stopping.signal(now)
    while stopping.stage != Stage.FINISHING:
        now = stopping.next_wake(now)
        effects += stopping.tick(now)
    now += SETTINGS.deadline_longest_ms
    effects += stopping.finish_work(now)
    now = stopping.next_wake(now)
    effects += stopping.tick(now)
    assert effects[-1] == Exit(0)
    assert now <= SETTINGS.drain_ms


def test_overdue_requests_are_reported_once_and_awaited():
    stopping = Stopping(SETTINGS)
    stopping.start_work()
    stopping.signal(0)
    stopping.signal(1)
    assert stopping.tick(2001) == [ReportOverdue(1)]
    assert stopping.tick(90_000) == []
    assert stopping.finish_work(90_001) == [CloseIdleConnections()]
