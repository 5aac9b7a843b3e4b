"""Simulation of several instances, a faulty network and targets that record runs."""

from random import Random

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.exchange.effects import (
    AbortTarget,
    Answer,
    Commit,
    Refusal,
    Release,
    Reserve,
    Write,
)
from sequoiahook.decisions.exchange.entry import (
    AdmittedRequest,
    EntryExchanges,
    EntrySettings,
)
from sequoiahook.decisions.exchange.executor import Executor, ExecutorSettings
from sequoiahook.decisions.exchange.pool_protocol import Refuse, Start
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.messages.requests import HandOver, Outcome, ReceiverStamp, StampGrant

DEADLINE_MS = 1000
PAUSE_MS = 200
DRIFT_PPM_BY_NAME = {"a": 500, "b": 0, "c": -500}
DRIFT_TOLERANCE_MS = 4
PPM = 1_000_000
ENTRY = EntrySettings(stamp_max_age_ms=1500, reconnect_grace_ms=300)
EXECUTOR = ExecutorSettings(drift_margin_ms=20, pause_limit_ms=PAUSE_MS)


class FakePool:
    """Pool with one queue that checks that the executor follows the pool protocol."""

    def __init__(self, slots):
        self.slots = slots
        self.queue = []
        self.started = set()

    def submit(self, request_id, organisation, deadline_at, now):
        assert request_id not in self.started
        assert all(request_id != queued for queued, _ in self.queue)
        self.queue.append((request_id, deadline_at))
        return self._fill(now)

    def finish(self, request_id, result, now):
        self.started.remove(request_id)
        return self._fill(now)

    def cancel(self, request_id, now):
        before = len(self.queue)
        self.queue = [item for item in self.queue if item[0] != request_id]
        assert len(self.queue) == before - 1
        return []

    def tick(self, now):
        expired = [item[0] for item in self.queue if item[1] <= now]
        self.queue = [item for item in self.queue if item[1] > now]
        return [Refuse(request_id, "late", 10) for request_id in expired]

    def next_wake(self, now):
        return min((deadline_at for _, deadline_at in self.queue), default=None)

    def _fill(self, now):
        effects = []
        while self.queue and len(self.started) < self.slots:
            request_id, _ = self.queue.pop(0)
            self.started.add(request_id)
            effects.append(Start(request_id, "t"))
        return effects


class SimulatedInstance:
    def __init__(self, name, incarnation, clock_offset):
        self.name = name
        self.clock_offset = clock_offset
        self.drift_ppm = DRIFT_PPM_BY_NAME[name]
        self.incarnation = incarnation
        self.entry = EntryExchanges(ENTRY, name, incarnation, Random(incarnation))
        self.executor = Executor(EXECUTOR, name, incarnation, Random(incarnation))
        self.pool = FakePool(1)
        self.executor.set_pool("s", self.pool)
        self.paused_at = None
        self.resumed_at = -1
        self.arrived_at_by_id = {}
        self.withdrawn = set()

    def clock(self, now):
        return self.clock_offset + now + now * self.drift_ppm // PPM

    def time_of_reading(self, reading):
        """The first time at which the clock shows a reading."""
        now = (reading - self.clock_offset) * PPM // (PPM + self.drift_ppm) - 1
        while self.clock(now) < reading:
            now += 1
        return now

    @property
    def is_paused(self):
        return self.paused_at is not None


class RequestRecord:
    """All that the test oracle recorded of one request."""

    def __init__(self, request, instance, now):
        self.request = request
        self.instance = instance
        self.deadline_at = now + DEADLINE_MS
        self.is_deadline_checked = True
        self.replies = []
        self.runs = 0
        self.reservations = {request.reservation: now + request.token_lease_ms}
        self.released = set()
        self.committed = set()


class SentRequest:
    """A request that was written to a target and may still run there."""

    def __init__(self, instance, write):
        self.instance = instance
        self.write = write
        self.has_run = False
        self.has_result = False


class Simulation:
    def __init__(self, names=("a", "b", "c")):
        self.now = 0
        self.last_incarnation = 0
        self.last_killed_incarnation_by_name = {}
        self.last_number = 0
        self.messages = []
        self.handovers = []
        self.delivered = []
        self.writes = []
        self.sent = []
        self.reserves = []
        self.records_by_number = {}
        self.instances = {}
        self.ids_not_run = set()
        self.ids_ran = set()
        for name in names:
            self.start(name)
        for instance in self.instances.values():
            for other in self.instances.values():
                stamp = ReceiverStamp(other.incarnation, self.read_clock(other))
                self.deliver((other.name, instance.name, StampGrant(stamp)))

    def start(self, name):
        self.last_incarnation += 1
        offset = 1_000_003 * ord(name)
        self.instances[name] = SimulatedInstance(name, self.last_incarnation, offset)

    def read_clock(self, instance):
        """Resume the instance if it is paused, and return the reading of its clock."""
        if instance.is_paused and self.now - instance.paused_at > PAUSE_MS:
            instance.resumed_at = self.now
        instance.paused_at = None
        return instance.clock(self.now)

    # Effects.

    def apply(self, instance, effects):
        for effect in effects:
            getattr(self, f"_on_{type(effect).__name__.lower()}")(instance, effect)

    def _on_send(self, instance, effect: Send):
        message = (instance.name, effect.destination, effect.body)
        self.messages.append(message)
        if isinstance(effect.body, HandOver):
            self.handovers.append(message)
        if isinstance(effect.body, Outcome) and effect.body.ran == "not run":
            self.ids_not_run.add(effect.body.id)

    def _on_write(self, instance, effect: Write):
        self.writes.append((instance, effect))

    def _on_reserve(self, instance, effect: Reserve):
        self.reserves.append((instance, effect.number))

    def _on_aborttarget(self, instance, effect: AbortTarget):
        for index, (writer, write) in enumerate(self.writes):
            if writer is instance and write.request_id == effect.request_id:
                del self.writes[index]
                self.result(
                    instance, effect.request_id, TargetResult(Stage.CONNECT_TIMEOUT)
                )
                return
        for sent in self.sent:
            if sent.instance is instance and sent.write.request_id == effect.request_id:
                self.end_exchange(sent, Stage.WRITTEN_NO_ANSWER)

    def _on_answer(self, instance, effect: Answer):
        self._record_reply(instance, effect)
        assert effect.body == self.records_by_number[effect.number].request.body

    def _on_refusal(self, instance, effect: Refusal):
        self._record_reply(instance, effect)
        if effect.ran == "not run":
            assert self.records_by_number[effect.number].runs == 0

    def _record_reply(self, instance, effect):
        record = self.records_by_number[effect.number]
        assert record.instance is instance
        record.replies.append(effect)
        if record.is_deadline_checked:
            assert self.now < record.deadline_at, "replied after the deadline"

    def _on_commit(self, instance, effect: Commit):
        self._record_of(effect.reservation).committed.add(effect.reservation)

    def _on_release(self, instance, effect: Release):
        record = self._record_of(effect.reservation)
        assert effect.reservation not in record.released, "a right was released twice"
        record.released.add(effect.reservation)

    def _record_of(self, reservation):
        return next(
            x for x in self.records_by_number.values() if reservation in x.reservations
        )

    # Steps.

    def admit(self, instance, candidates, *, idempotent, key_name, token_lease_ms):
        self.last_number += 1
        number = self.last_number
        request = AdmittedRequest(
            number=number,
            reservation=number * 100,
            service="s",
            organisation="o",
            key_name=key_name,
            configuration_number=1,
            method="GET" if idempotent else "POST",
            target_path="/",
            headers=(),
            body=b"%d" % number,
            deadline_ms=DEADLINE_MS,
            idempotent=idempotent,
            traceparent="",
            token_lease_ms=token_lease_ms,
        )
        self.records_by_number[number] = RequestRecord(request, instance, self.now)
        self.apply(
            instance,
            instance.entry.admit(request, candidates, self.read_clock(instance)),
        )
        return number

    def deliver(self, message):
        source, destination, body = message
        instance = self.instances[destination]
        self.delivered.append(message)
        if isinstance(body, HandOver):
            instance.arrived_at_by_id.setdefault(body.id, self.now)
        handler = instance.entry
        if not isinstance(body, Outcome | StampGrant):
            handler = instance.executor
        self.apply(instance, handler.received(source, body, self.read_clock(instance)))

    def deliver_all(self, position=0):
        for _ in range(20):
            if self.messages:
                self.deliver(self.messages.pop(position))

    def deliver_newest_first(self):
        self.deliver_all(-1)

    def write_all(self):
        while self.writes:
            self.write(0)

    def answer_all(self):
        for sent in list(self.sent):
            self.end_exchange(sent, Stage.ANSWERED)
        self.deliver_all()

    def send_failed(self, index):
        """Fail the only copy of a handover before a byte of it was written."""
        source, _, body = self.messages[index]
        if not isinstance(body, HandOver):
            return
        instance = self.instances[source]
        is_own = body.id.incarnation == instance.incarnation
        message = self.messages[index]
        if is_own and message not in self.delivered:
            del self.messages[index]
            self.handovers = [other for other in self.handovers if other != message]
            self.apply(
                instance, instance.entry.send_failed(body.id, self.read_clock(instance))
            )

    def write(self, index, connect_failure=None):
        """Connect to a target, and write if the executor allows it."""
        instance, write = self.writes.pop(index)
        if connect_failure is not None:
            self.result(instance, write.request_id, TargetResult(connect_failure))
            return
        if not instance.executor.may_write(write.request_id, self.read_clock(instance)):
            nothing = TargetResult(Stage.NOTHING_WRITTEN)
            self.result(instance, write.request_id, nothing)
            return
        self._check_write(instance, write)
        self.sent.append(SentRequest(instance, write))

    def _check_write(self, instance, write):
        record = self.records_by_number[int(write.body)]
        key_name = record.request.key_name
        assert key_name not in instance.withdrawn, "written after its key was withdrawn"
        now = self.now - DRIFT_TOLERANCE_MS
        assert now < record.deadline_at, "written after the deadline"
        arrived_at = instance.arrived_at_by_id[write.request_id]
        assert arrived_at >= instance.resumed_at, (
            "arrived before a pause but written after it"
        )
        lapses_at = max(record.reservations.values())
        assert now < lapses_at, "written after the right lapsed"

    def run(self, sent):
        if not sent.has_run:
            sent.has_run = True
            self.ids_ran.add(sent.write.request_id)
            self.records_by_number[int(sent.write.body)].runs += 1

    def end_exchange(self, sent, stage):
        """Report a result to the executor; the request may still run unless shed."""
        if sent.has_result:
            return
        sent.has_result = True
        if stage is Stage.SHED and sent.has_run:
            stage = Stage.WRITTEN_NO_ANSWER
        if stage is Stage.ANSWERED:
            self.run(sent)
        if stage in (Stage.SHED, Stage.ANSWERED):
            self.sent.remove(sent)
        result = TargetResult(stage, 200, (), sent.write.body)
        self.result(sent.instance, sent.write.request_id, result)

    def result(self, instance, request_id, result):
        if self.instances[instance.name] is instance:
            now = self.read_clock(instance)
            self.apply(
                instance, instance.executor.target_result(request_id, result, now)
            )

    def withdraw(self, instance, key_name):
        instance.withdrawn.add(key_name)
        self.apply(
            instance,
            instance.executor.withdraw("o", key_name, self.read_clock(instance)),
        )
        queued = [request_id for request_id, _ in instance.pool.queue]
        bodies = [body for _, _, body in self.handovers if body.id in queued]
        assert all(body.key_name != key_name for body in bodies), (
            "a request with a withdrawn key stayed in the queue"
        )

    def kill(self, name):
        killed = self.instances[name]
        self.last_killed_incarnation_by_name[name] = killed.incarnation
        self.writes = [item for item in self.writes if item[0] is not killed]
        self.reserves = [item for item in self.reserves if item[0] is not killed]
        for sent in self.sent:
            sent.has_result = sent.has_result or sent.instance is killed
        self.start(name)

    def change_link(self, instance, other, change):
        now = self.read_clock(instance)
        if change == "reconnect_all":
            for name in self.instances:
                self.change_link(instance, name, "peer_lost")
                self.change_link(instance, name, "peer_up")
        elif change == "sender_gone":
            incarnation = self.last_killed_incarnation_by_name.get(other, 0)
            self.apply(instance, instance.executor.sender_gone(other, incarnation, now))
        else:
            self.apply(instance, getattr(instance.entry, change)(other, now))

    def reserve(self, index, is_granted, token_lease_ms=DEADLINE_MS):
        instance, number = self.reserves.pop(index)
        now = self.read_clock(instance)
        if not is_granted:
            self.apply(instance, instance.entry.not_reserved(number, 5, now))
            return
        record = self.records_by_number[number]
        reservation = number * 100 + len(record.reservations)
        record.reservations[reservation] = self.now + token_lease_ms
        effects = instance.entry.reserved(number, reservation, token_lease_ms, now)
        self.apply(instance, effects)

    def advance(self, duration_ms):
        """Advance the time; each instance that is not paused ticks when it is due."""
        end = self.now + duration_ms
        while True:
            wakes = [w for instance in self._awake() for w in self._wakes(instance)]
            wake = min((w for w in wakes if w <= end), default=None)
            if wake is None:
                break
            self.now = max(self.now, wake)
            self._tick_all()
        self.now = end

    def _awake(self):
        return [
            instance for instance in self.instances.values() if not instance.is_paused
        ]

    def _wakes(self, instance):
        now = instance.clock(self.now)
        wakes = (instance.entry.next_wake(now), instance.executor.next_wake(now))
        return [instance.time_of_reading(wake) for wake in wakes if wake is not None]

    def _tick_all(self):
        for instance in self._awake():
            self.tick(instance)

    def tick(self, instance):
        now = self.read_clock(instance)
        self.apply(instance, instance.entry.tick(now))
        self.apply(instance, instance.executor.tick(now))

    def pause(self, instance):
        if not instance.is_paused:
            instance.paused_at = self.now
        for record in self.records_by_number.values():
            if record.instance is instance:
                record.is_deadline_checked = False

    def settle(self):
        """Complete everything that is open, without further faults."""
        for instance in self.instances.values():
            self.read_clock(instance)
        for _ in range(3000):
            if not self._settle_one():
                break
        for sent in self.sent:
            self.run(sent)

    def _settle_one(self):
        open_exchanges = [sent for sent in self.sent if not sent.has_result]
        if self.reserves:
            self.reserve(0, is_granted=True)
        elif self.messages:
            self.deliver(self.messages.pop(0))
        elif self.writes:
            self.write(0)
        elif open_exchanges:
            self.end_exchange(open_exchanges[0], Stage.ANSWERED)
        elif any(self._open_count(instance) for instance in self.instances.values()):
            self.advance(50)
        else:
            return False
        return True

    def _open_count(self, instance):
        return instance.entry.open_count + instance.executor.open_count

    # Invariants, checked against the runs of the targets and the oracle's records.

    def check(self):
        assert not self.ids_ran & self.ids_not_run, (
            "an id that ran was reported as not run"
        )
        for record in self.records_by_number.values():
            assert len(record.replies) <= 1, "two replies to one request"
            if not record.request.idempotent:
                assert record.runs <= 1, "a request that is not idempotent ran twice"
            for reply in record.replies:
                is_not_run = isinstance(reply, Refusal) and reply.ran == "not run"
                assert not (is_not_run and record.runs), (
                    "a request that ran was refused as not run"
                )
            assert not record.released & record.committed, (
                "a right was both released and committed"
            )
            rights = len(record.reservations) - len(record.released)
            assert record.runs <= rights, "more runs than rights"

    def check_at_rest(self):
        self.check()
        for instance in self.instances.values():
            assert instance.entry.open_count == 0
            assert instance.executor.open_count == 0
            assert not instance.pool.queue and not instance.pool.started
        self.advance(2 * DEADLINE_MS)
        for instance in self.instances.values():
            assert instance.executor.known_id_count == 0, (
                "ids were not removed after their deadline"
            )
        for record in self.records_by_number.values():
            if self.instances[record.instance.name] is record.instance:
                settled = record.released | record.committed
                assert settled == set(record.reservations), (
                    "a right was neither released nor committed"
                )
