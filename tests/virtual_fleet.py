"""Whole instances in virtual time: links, platform and targets are fakes."""

import heapq
import itertools
import json
import random

from sequoiahook.decisions.exchange.effects import (
    AbortTarget,
    Answer,
    Refusal,
    Write,
)
from sequoiahook.decisions.exchange.target_result import Stage, TargetResult
from sequoiahook.decisions.instance import CoreSettings, InstanceCore
from sequoiahook.decisions.instance.effects import (
    Arrival,
    CallPlatform,
    CloseConnection,
    Dial,
    EmitSpan,
    Note,
    OperatorReply,
    Transmit,
)
from sequoiahook.decisions.platform_calls import (
    CallUnavailable,
    ObjectRead,
    ObjectUnchanged,
    ObjectWritten,
    ReadObject,
    Watch,
    WriteConflict,
)
from sequoiahook.decisions.stopping import CloseIdleConnections, Exit, ReportOverdue
from sequoiahook.messages.membership import Member
from sequoiahook.world.instance import Address, Instance

IGNORED = (
    AbortTarget,
    CloseConnection,
    CloseIdleConnections,
    EmitSpan,
    Note,
    ReportOverdue,
)
TICK_MS = 20
PLATFORM_MS = 5
ID_FIELD = b"x-request-id"


class Target:
    """Runs requests in its slots and keeps the record that is the oracle."""

    def __init__(self):
        self.running = 0
        self.peak = 0
        self.service_ms = 40
        self.is_faulty = False
        self.runs = []


class Fleet:
    """Instances by name; a name stands for the newest process under it.

    Args:
        data_centre_by_name: The data centre of each instance.
        document: The configuration.
        seed: Seed of all randomness.
    """

    def __init__(self, data_centre_by_name, document, seed):
        self.now = 1_000
        self.data_centre_by_name = data_centre_by_name
        self.rng = random.Random(seed)
        self.cores_by_name = {}
        self.generation_by_name = {}
        self.frozen_until = {}
        self.dials_by_name = {}
        self.links = set()
        self.cut_pairs = set()
        self.is_platform_up = True
        self.objects_by_name = {}
        self.targets_by_name = {name: Target() for name in document["targets_by_name"]}
        self.answers_by_id = {}
        self.replies = []
        self.exits = []
        self.id_by_number = {}
        self.events = []
        self.order = itertools.count()
        self.numbers = itertools.count(1)
        self.number_by_name = {}
        for name in data_centre_by_name:
            self.boot(name)
        first = next(iter(data_centre_by_name))
        self.patch(first, 0, document)

    def boot(self, name):
        generation = self.generation_by_name.get(name, 0) + 1
        self.generation_by_name[name] = generation
        me = self.instance(name)._replace(incarnation=generation)
        core = InstanceCore(
            CoreSettings(), me, random.Random(self.rng.random()), self.now
        )
        self.cores_by_name[name] = core
        self.number_by_name[name] = 0
        self.dials_by_name[name] = set()
        members = [Member(self.instance(n), "live") for n in self.data_centre_by_name]
        self.do(name, lambda now: core.platform_list(members, now))
        self.schedule(1, name, lambda: self.tick(name, generation))

    def instance(self, name):
        port = 1 + list(self.data_centre_by_name).index(name)
        address = Address("127.0.0.1", port)
        return Instance(name, 0, self.data_centre_by_name[name], address, address)

    def kill(self, name):
        self.cores_by_name.pop(name, None)
        self.refresh_links()

    def freeze(self, name, duration_ms):
        self.frozen_until[name] = self.now + duration_ms

    def is_frozen(self, name):
        return self.frozen_until.get(name, 0) > self.now

    def cut(self, pairs):
        self.cut_pairs = set(pairs)
        self.refresh_links()

    def patch(self, name, against, changes):
        patch_id = f"patch-{next(self.numbers)}"
        body = {"id": patch_id, "against": against, "changes": changes}
        core = self.cores_by_name[name]
        self.do(name, lambda now: core.operator_patch(next(self.numbers), body, now))
        return patch_id

    def request(self, name, method, path, key):
        core = self.cores_by_name.get(name)
        if core is None or self.is_frozen(name):
            return None
        number = next(self.numbers)
        request_id = f"r{number}"
        self.id_by_number[(name, self.generation_by_name[name], number)] = request_id
        headers = (
            (b"authorization", b"Bearer " + key.encode()),
            (ID_FIELD, request_id.encode()),
        )
        arrival = Arrival(number, 1, "127.0.0.1", method, path, headers, b"")
        self.do(name, lambda now: core.arrive(arrival, now))
        return request_id

    def stop(self, name):
        core = self.cores_by_name.get(name)
        if core is not None:
            self.do(name, lambda now: core.stop(now))

    def run(self, duration_ms, check=lambda: None):
        end = self.now + duration_ms
        while self.events and self.events[0][0] <= end:
            self.now, _, name, generation, act = heapq.heappop(self.events)
            if generation != self.generation_by_name.get(name, 0):
                continue
            if self.is_frozen(name):
                item = (self.frozen_until[name], next(self.order))
                heapq.heappush(self.events, (*item, name, generation, act))
                continue
            act()
            check()
        self.now = end

    def schedule(self, delay_ms, name, act):
        generation = self.generation_by_name.get(name, 0)
        item = (self.now + delay_ms, next(self.order), name, generation, act)
        heapq.heappush(self.events, item)

    def tick(self, name, generation):
        core = self.cores_by_name.get(name)
        if core is None or generation != self.generation_by_name[name]:
            return
        self.do(name, core.tick)
        self.schedule(TICK_MS, name, lambda: self.tick(name, generation))

    def do(self, name, decide):
        core = self.cores_by_name.get(name)
        if core is None:
            return
        for effect in decide(self.now):
            self.carry(name, core, effect)
        self.number_by_name[name] = core.configuration_document["number"]

    def carry(self, name, core, effect):
        if isinstance(effect, Transmit):
            self.transmit(name, effect)
        elif isinstance(effect, CallPlatform):
            self.schedule(PLATFORM_MS, name, lambda: self.platform(name, core, effect))
        elif isinstance(effect, Write):
            self.schedule(1, name, lambda: self.write(name, core, effect))
        elif isinstance(effect, Answer | Refusal):
            key = (name, self.generation_by_name[name], effect.number)
            self.answers_by_id[self.id_by_number[key]] = effect
        elif isinstance(effect, Dial):
            self.dials_by_name[name] = set(effect.address_by_peer)
            self.schedule(1, name, self.refresh_links)
        elif isinstance(effect, OperatorReply):
            self.replies.append(effect.document)
        elif isinstance(effect, Exit):
            self.exits.append((name, effect.code))
            self.schedule(0, name, lambda: self.kill(name))
        else:
            assert isinstance(effect, IGNORED), effect

    def refresh_links(self):
        names = list(self.cores_by_name)
        wanted = {
            frozenset((one, other))
            for one in names
            for other in self.dials_by_name.get(one, ())
            if other in self.cores_by_name and self.is_joined(one, other)
        }
        for link in sorted(self.links - wanted, key=sorted):
            self.links.discard(link)
            self.tell(link, "peer_down")
        for link in sorted(wanted - self.links, key=sorted):
            self.links.add(link)
            self.tell(link, "peer_up")

    def tell(self, link, what):
        for name in sorted(link):
            (peer,) = link - {name}
            core = self.cores_by_name.get(name)
            if core is not None:
                act = getattr(core, what)
                self.schedule(
                    1, name, lambda n=name, a=act, p=peer: self.do(n, lambda t: a(p, t))
                )

    def is_joined(self, one, other):
        places = (self.data_centre_by_name[one], self.data_centre_by_name[other])
        return frozenset(places) not in self.cut_pairs

    def transmit(self, name, effect):
        peer, envelope = effect
        core = self.cores_by_name[name]
        if frozenset((name, peer)) not in self.links:
            failed = envelope
            self.schedule(
                0, name, lambda: self.do(name, lambda t: core.send_failed(failed, t))
            )
            return
        receiver = self.cores_by_name[peer]
        is_near = self.data_centre_by_name[name] == self.data_centre_by_name[peer]
        self.schedule(
            1 if is_near else 10,
            peer,
            lambda: self.deliver(name, peer, receiver, envelope),
        )

    def deliver(self, name, peer, receiver, envelope):
        if frozenset((name, peer)) in self.links:
            self.do(peer, lambda now: receiver.receive(name, envelope, now))

    def platform(self, name, core, effect):
        answer = self.platform_answer(effect.call)
        if answer is None:
            self.schedule(50, name, lambda: self.platform(name, core, effect))
            return
        self.do(name, lambda now: core.platform_answer(effect.ticket, answer, now))

    def platform_answer(self, call):
        if not self.is_platform_up:
            return CallUnavailable(call.call_id)
        version, value = self.objects_by_name.get(call.name, (0, None))
        if isinstance(call, ReadObject):
            return ObjectRead(call.call_id, version, value)
        if isinstance(call, Watch):
            if version > call.after:
                return ObjectRead(call.call_id, version, value)
            return ObjectUnchanged(call.call_id) if self.rng.random() < 0.02 else None
        if version != call.if_version:
            return WriteConflict(call.call_id, version)
        copy = json.loads(json.dumps(call.value))
        self.objects_by_name[call.name] = (version + 1, copy)
        return ObjectWritten(call.call_id, version + 1)

    def write(self, name, core, effect):
        target = self.targets_by_name[effect.target_name]
        if not core.may_write(effect.request_id, self.now):
            result = TargetResult(Stage.NOTHING_WRITTEN)
            self.do(
                name, lambda now: core.target_result(effect.request_id, result, now)
            )
            return
        request_id = dict(effect.headers)[ID_FIELD].decode()
        target.runs.append((request_id, effect.organisation, self.now, effect.method))
        target.running += 1
        target.peak = max(target.peak, target.running)
        ran_ms = min(target.service_ms, effect.remaining_ms)
        result = TargetResult(
            Stage.ANSWERED, 200, (), request_id.encode(), duration_ms=ran_ms
        )
        if target.is_faulty:
            result = TargetResult(Stage.WRITTEN_NO_ANSWER, duration_ms=ran_ms)
        self.schedule(ran_ms, "", lambda: self.end_run(target))
        self.schedule(
            ran_ms,
            name,
            lambda: self.do(
                name, lambda now: core.target_result(effect.request_id, result, now)
            ),
        )

    @staticmethod
    def end_run(target):
        target.running -= 1
