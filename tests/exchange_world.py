"""Several entries and executors, a faulty network and targets with their own record."""

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
ENTRY = EntrySettings(stamp_use_ms=1500, reconnect_grace_ms=300)
EXECUTOR = ExecutorSettings(drift_margin_ms=20, pause_limit_ms=PAUSE_MS)


class OnePool:
    """Slots and a queue, which check that the executor keeps to the protocol."""

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
        late = [item[0] for item in self.queue if item[1] <= now]
        self.queue = [item for item in self.queue if item[1] > now]
        return [Refuse(request_id, "late", 10) for request_id in late]

    def next_wake(self, now):
        return min((deadline_at for _, deadline_at in self.queue), default=None)

    def _fill(self, now):
        effects = []
        while self.queue and len(self.started) < self.slots:
            request_id, _ = self.queue.pop(0)
            self.started.add(request_id)
            effects.append(Start(request_id, "t"))
        return effects


class Node:
    def __init__(self, name, incarnation, clock_offset):
        self.name = name
        self.clock_offset = clock_offset
        self.drift_ppm = DRIFT_PPM_BY_NAME[name]
        self.incarnation = incarnation
        self.entry = EntryExchanges(ENTRY, name, incarnation, Random(incarnation))
        self.executor = Executor(EXECUTOR, name, incarnation, Random(incarnation))
        self.pool = OnePool(1)
        self.executor.set_pool("s", self.pool)
        self.paused_at = None
        self.resumed_at = -1
        self.arrived_at_by_id = {}
        self.withdrawn = set()

    def clock(self, now):
        return self.clock_offset + now + now * self.drift_ppm // PPM

    def when(self, reading):
        """The first moment at which the clock shows a reading."""
        now = (reading - self.clock_offset) * PPM // (PPM + self.drift_ppm) - 1
        while self.clock(now) < reading:
            now += 1
        return now

    @property
    def is_paused(self):
        return self.paused_at is not None


class Admitted:
    """What the oracle knows of one request."""

    def __init__(self, request, node, now):
        self.request = request
        self.node = node
        self.deadline_at = now + DEADLINE_MS
        self.is_deadline_checked = True
        self.answers = []
        self.runs = 0
        self.reservations = {request.reservation: now + request.token_lease_ms}
        self.released = set()
        self.committed = set()


class Sent:
    """A request whose bytes went to a target; it may run until it is over."""

    def __init__(self, node, write):
        self.node = node
        self.write = write
        self.has_run = False
        self.has_result = False


class World:
    def __init__(self, names=("a", "b", "c")):
        self.now = 0
        self.incarnations = 0
        self.last_dead = {}
        self.numbers = 0
        self.messages = []
        self.hand_overs = []
        self.delivered = []
        self.writes = []
        self.sent = []
        self.reserves = []
        self.admitted = {}
        self.nodes = {}
        self.ids_not_run = set()
        self.ids_ran = set()
        for name in names:
            self.start(name)
        for node in self.nodes.values():
            for other in self.nodes.values():
                stamp = ReceiverStamp(other.incarnation, self.time(other))
                self.deliver((other.name, node.name, StampGrant(stamp)))

    def start(self, name):
        self.incarnations += 1
        offset = 1_000_003 * ord(name)
        self.nodes[name] = Node(name, self.incarnations, offset)

    def time(self, node):
        """The node's own clock; a paused node that does anything is awake again."""
        if node.is_paused and self.now - node.paused_at > PAUSE_MS:
            node.resumed_at = self.now
        node.paused_at = None
        return node.clock(self.now)

    # Effects.

    def apply(self, node, effects):
        for effect in effects:
            getattr(self, f"_on_{type(effect).__name__.lower()}")(node, effect)

    def _on_send(self, node, effect: Send):
        message = (node.name, effect.destination, effect.body)
        self.messages.append(message)
        if isinstance(effect.body, HandOver):
            self.hand_overs.append(message)
        if isinstance(effect.body, Outcome) and effect.body.ran == "not run":
            self.ids_not_run.add(effect.body.id)

    def _on_write(self, node, effect: Write):
        self.writes.append((node, effect))

    def _on_reserve(self, node, effect: Reserve):
        self.reserves.append((node, effect.number))

    def _on_aborttarget(self, node, effect: AbortTarget):
        for index, (writer, write) in enumerate(self.writes):
            if writer is node and write.request_id == effect.request_id:
                del self.writes[index]
                self.result(
                    node, effect.request_id, TargetResult(Stage.CONNECT_TIMEOUT)
                )
                return
        for sent in self.sent:
            if sent.node is node and sent.write.request_id == effect.request_id:
                self.end(sent, Stage.WRITTEN_NO_ANSWER)

    def _on_answer(self, node, effect: Answer):
        self._answered(node, effect)
        assert effect.body == self.admitted[effect.number].request.body

    def _on_refusal(self, node, effect: Refusal):
        self._answered(node, effect)
        if effect.ran == "not run":
            assert self.admitted[effect.number].runs == 0

    def _answered(self, node, effect):
        admitted = self.admitted[effect.number]
        assert admitted.node is node
        admitted.answers.append(effect)
        if admitted.is_deadline_checked:
            assert self.now < admitted.deadline_at, "answered after the caller left"

    def _on_commit(self, node, effect: Commit):
        self._owner(effect.reservation).committed.add(effect.reservation)

    def _on_release(self, node, effect: Release):
        admitted = self._owner(effect.reservation)
        assert effect.reservation not in admitted.released, "released twice"
        admitted.released.add(effect.reservation)

    def _owner(self, reservation):
        return next(x for x in self.admitted.values() if reservation in x.reservations)

    # Steps.

    def admit(self, node, places, *, idempotent, key_name, token_lease_ms):
        self.numbers += 1
        number = self.numbers
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
        self.admitted[number] = Admitted(request, node, self.now)
        self.apply(node, node.entry.admit(request, places, self.time(node)))
        return number

    def deliver(self, message):
        source, destination, body = message
        node = self.nodes[destination]
        self.delivered.append(message)
        if isinstance(body, HandOver):
            node.arrived_at_by_id.setdefault(body.id, self.now)
        part = node.entry
        if not isinstance(body, Outcome | StampGrant):
            part = node.executor
        self.apply(node, part.received(source, body, self.time(node)))

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
            self.end(sent, Stage.ANSWERED)
        self.deliver_all()

    def send_failed(self, index):
        """Fail the only copy of a hand-over before a byte of it was written."""
        source, _, body = self.messages[index]
        if not isinstance(body, HandOver):
            return
        node = self.nodes[source]
        is_own = body.id.incarnation == node.incarnation
        message = self.messages[index]
        if is_own and message not in self.delivered:
            del self.messages[index]
            self.hand_overs = [other for other in self.hand_overs if other != message]
            self.apply(node, node.entry.send_failed(body.id, self.time(node)))

    def write(self, index, proof=None):
        """Connect to a target, and write if the executor lets it."""
        node, write = self.writes.pop(index)
        if proof is not None:
            self.result(node, write.request_id, TargetResult(proof))
            return
        if not node.executor.may_write(write.request_id, self.time(node)):
            nothing = TargetResult(Stage.NOTHING_WRITTEN)
            self.result(node, write.request_id, nothing)
            return
        self._check_write(node, write)
        self.sent.append(Sent(node, write))

    def _check_write(self, node, write):
        admitted = self.admitted[int(write.body)]
        key_name = admitted.request.key_name
        assert key_name not in node.withdrawn, "written after withdrawal"
        now = self.now - DRIFT_TOLERANCE_MS
        assert now < admitted.deadline_at, "written after the deadline"
        arrived_at = node.arrived_at_by_id[write.request_id]
        assert arrived_at >= node.resumed_at, "written after a pause of the loop"
        lapses_at = max(admitted.reservations.values())
        assert now < lapses_at, "written after the right lapsed"

    def run(self, sent):
        if not sent.has_run:
            sent.has_run = True
            self.ids_ran.add(sent.write.request_id)
            self.admitted[int(sent.write.body)].runs += 1

    def end(self, sent, stage):
        """Tell the executor the result; the request may still run unless shed."""
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
        self.result(sent.node, sent.write.request_id, result)

    def result(self, node, request_id, result):
        if self.nodes[node.name] is node:
            now = self.time(node)
            self.apply(node, node.executor.target_result(request_id, result, now))

    def withdraw(self, node, key_name):
        node.withdrawn.add(key_name)
        self.apply(node, node.executor.withdraw("o", key_name, self.time(node)))
        queued = [request_id for request_id, _ in node.pool.queue]
        bodies = [body for _, _, body in self.hand_overs if body.id in queued]
        assert all(body.key_name != key_name for body in bodies), "left in the queue"

    def kill(self, name):
        dead = self.nodes[name]
        self.last_dead[name] = dead.incarnation
        self.writes = [item for item in self.writes if item[0] is not dead]
        self.reserves = [item for item in self.reserves if item[0] is not dead]
        for sent in self.sent:
            sent.has_result = sent.has_result or sent.node is dead
        self.start(name)

    def link(self, node, other, change):
        now = self.time(node)
        if change == "relink":
            for name in self.nodes:
                self.link(node, name, "peer_lost")
                self.link(node, name, "peer_up")
        elif change == "sender_gone":
            dead = self.last_dead.get(other, 0)
            self.apply(node, node.executor.sender_gone(other, dead, now))
        else:
            self.apply(node, getattr(node.entry, change)(other, now))

    def reserve(self, index, is_granted, token_lease_ms=DEADLINE_MS):
        node, number = self.reserves.pop(index)
        now = self.time(node)
        if not is_granted:
            self.apply(node, node.entry.not_reserved(number, 5, now))
            return
        admitted = self.admitted[number]
        reservation = number * 100 + len(admitted.reservations)
        admitted.reservations[reservation] = self.now + token_lease_ms
        effects = node.entry.reserved(number, reservation, token_lease_ms, now)
        self.apply(node, effects)

    def advance(self, duration_ms):
        """Let time pass; each node that is not paused ticks exactly when it asked."""
        end = self.now + duration_ms
        while True:
            wakes = [w for node in self._awake() for w in self._wakes(node)]
            wake = min((w for w in wakes if w <= end), default=None)
            if wake is None:
                break
            self.now = max(self.now, wake)
            self._tick_all()
        self.now = end

    def _awake(self):
        return [node for node in self.nodes.values() if not node.is_paused]

    def _wakes(self, node):
        now = node.clock(self.now)
        wakes = (node.entry.next_wake(now), node.executor.next_wake(now))
        return [node.when(wake) for wake in wakes if wake is not None]

    def _tick_all(self):
        for node in self._awake():
            self.tick(node)

    def tick(self, node):
        now = self.time(node)
        self.apply(node, node.entry.tick(now))
        self.apply(node, node.executor.tick(now))

    def pause(self, node):
        if not node.is_paused:
            node.paused_at = self.now
        for admitted in self.admitted.values():
            if admitted.node is node:
                admitted.is_deadline_checked = False

    def settle(self):
        """Let everything that is open come to its end, without further faults."""
        for node in self.nodes.values():
            self.time(node)
        for _ in range(3000):
            if not self._settle_one():
                break
        for sent in self.sent:
            self.run(sent)

    def _settle_one(self):
        open_ones = [sent for sent in self.sent if not sent.has_result]
        if self.reserves:
            self.reserve(0, is_granted=True)
        elif self.messages:
            self.deliver(self.messages.pop(0))
        elif self.writes:
            self.write(0)
        elif open_ones:
            self.end(open_ones[0], Stage.ANSWERED)
        elif any(self._open_count(node) for node in self.nodes.values()):
            self.advance(50)
        else:
            return False
        return True

    def _open_count(self, node):
        return node.entry.open_count + node.executor.open_count

    # Invariants, all from the targets' record and the oracle's own books.

    def check(self):
        assert not self.ids_ran & self.ids_not_run, "said not run of an id that ran"
        for admitted in self.admitted.values():
            assert len(admitted.answers) <= 1, "two answers to one request"
            if not admitted.request.idempotent:
                assert admitted.runs <= 1, "ran twice"
            for answer in admitted.answers:
                is_not_run = isinstance(answer, Refusal) and answer.ran == "not run"
                assert not (is_not_run and admitted.runs), "said not run, but ran"
            assert not admitted.released & admitted.committed, "settled twice"
            rights = len(admitted.reservations) - len(admitted.released)
            assert admitted.runs <= rights, "ran without a right"

    def check_rest(self):
        self.check()
        for node in self.nodes.values():
            assert node.entry.open_count == 0
            assert node.executor.open_count == 0
            assert not node.pool.queue and not node.pool.started
        self.advance(2 * DEADLINE_MS)
        for node in self.nodes.values():
            assert node.executor.noted_count == 0, "ids kept for ever"
        for admitted in self.admitted.values():
            if self.nodes[admitted.node.name] is admitted.node:
                settled = admitted.released | admitted.committed
                assert settled == set(admitted.reservations), "right not settled"
