"""Simulation of complete instances in virtual time.

Links, the platform and the targets are fakes.
"""

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
    CallPlatform,
    CloseConnection,
    EmitSpan,
    LogEvent,
    OperatorReply,
    ReceivedRequest,
    SetPeerLinks,
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

IGNORED_EFFECTS = (
    AbortTarget,
    CloseConnection,
    CloseIdleConnections,
    EmitSpan,
    LogEvent,
    ReportOverdue,
)
TICK_MS = 20
PLATFORM_DELAY_MS = 5
REQUEST_ID_HEADER = b"x-request-id"


class FakeTarget:
    """Runs requests and records them; tests compare results with the record."""

    def __init__(self):
        self.running = 0
        self.running_max = 0
        self.service_ms = 40
        self.loses_answers = False
        self.runs = []


class Fleet:
    """Simulated instances by name; a name refers to its latest process.

    Args:
        data_centre_by_name: Data centre of each instance.
        document: Configuration document.
        seed: Seed of all randomness.
    """

    def __init__(self, data_centre_by_name, document, seed):
        self.now = 1_000
        self.data_centre_by_name = data_centre_by_name
        self.rng = random.Random(seed)
        self.cores_by_name = {}
        self.generation_by_name = {}
        self.paused_until_by_name = {}
        self.linked_peers_by_name = {}
        self.links = set()
        self.partitioned_pairs = set()
        self.is_platform_up = True
        self.objects_by_name = {}
        self.targets_by_name = {
            name: FakeTarget() for name in document["targets_by_name"]
        }
        self.answers_by_id = {}
        self.replies = []
        self.exits = []
        self.request_ids_by_number = {}
        self.events = []
        self.event_order = itertools.count()
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
        self.linked_peers_by_name[name] = set()
        members = [
            Member(self.instance(instance_name), "live")
            for instance_name in self.data_centre_by_name
        ]
        self.apply(name, lambda now: core.platform_list(members, now))
        self.schedule(1, name, lambda: self.tick(name, generation))

    def instance(self, name):
        port = 1 + list(self.data_centre_by_name).index(name)
        address = Address("127.0.0.1", port)
        return Instance(name, 0, self.data_centre_by_name[name], address, address)

    def kill(self, name):
        self.cores_by_name.pop(name, None)
        self.refresh_links()

    def pause(self, name, duration_ms):
        self.paused_until_by_name[name] = self.now + duration_ms

    def is_paused(self, name):
        return self.paused_until_by_name.get(name, 0) > self.now

    def partition(self, pairs):
        self.partitioned_pairs = set(pairs)
        self.refresh_links()

    def patch(self, name, against, changes):
        patch_id = f"patch-{next(self.numbers)}"
        body = {"id": patch_id, "against": against, "changes": changes}
        core = self.cores_by_name[name]
        self.apply(name, lambda now: core.operator_patch(next(self.numbers), body, now))
        return patch_id

    def request(self, name, method, path, key):
        core = self.cores_by_name.get(name)
        if core is None or self.is_paused(name):
            return None
        number = next(self.numbers)
        request_id = f"r{number}"
        self.request_ids_by_number[(name, self.generation_by_name[name], number)] = (
            request_id
        )
        headers = (
            (b"authorization", b"Bearer " + key.encode()),
            (REQUEST_ID_HEADER, request_id.encode()),
        )
        request = ReceivedRequest(number, 1, "127.0.0.1", method, path, headers, b"")
        self.apply(name, lambda now: core.receive_request(request, now))
        return request_id

    def stop(self, name):
        core = self.cores_by_name.get(name)
        if core is not None:
            self.apply(name, lambda now: core.stop(now))

    def run(self, duration_ms, check=lambda: None):
        end = self.now + duration_ms
        while self.events and self.events[0][0] <= end:
            self.now, _, name, generation, action = heapq.heappop(self.events)
            if generation != self.generation_by_name.get(name, 0):
                continue
            if self.is_paused(name):
                item = (self.paused_until_by_name[name], next(self.event_order))
                heapq.heappush(self.events, (*item, name, generation, action))
                continue
            action()
            check()
        self.now = end

    def schedule(self, delay_ms, name, action):
        generation = self.generation_by_name.get(name, 0)
        item = (self.now + delay_ms, next(self.event_order), name, generation, action)
        heapq.heappush(self.events, item)

    def tick(self, name, generation):
        core = self.cores_by_name.get(name)
        if core is None or generation != self.generation_by_name[name]:
            return
        self.apply(name, core.tick)
        self.schedule(TICK_MS, name, lambda: self.tick(name, generation))

    def apply(self, name, event):
        core = self.cores_by_name.get(name)
        if core is None:
            return
        for effect in event(self.now):
            self.carry_out(name, core, effect)
        self.number_by_name[name] = core.configuration_document["number"]

    def carry_out(self, name, core, effect):
        if isinstance(effect, Transmit):
            self.transmit(name, effect)
        elif isinstance(effect, CallPlatform):
            self.schedule(
                PLATFORM_DELAY_MS, name, lambda: self.call_platform(name, core, effect)
            )
        elif isinstance(effect, Write):
            self.schedule(1, name, lambda: self.write_to_target(name, core, effect))
        elif isinstance(effect, Answer | Refusal):
            key = (name, self.generation_by_name[name], effect.number)
            self.answers_by_id[self.request_ids_by_number[key]] = effect
        elif isinstance(effect, SetPeerLinks):
            self.linked_peers_by_name[name] = set(effect.address_by_peer)
            self.schedule(1, name, self.refresh_links)
        elif isinstance(effect, OperatorReply):
            self.replies.append(effect.document)
        elif isinstance(effect, Exit):
            self.exits.append((name, effect.code))
            self.schedule(0, name, lambda: self.kill(name))
        else:
            assert isinstance(effect, IGNORED_EFFECTS), effect

    def refresh_links(self):
        names = list(self.cores_by_name)
        wanted_links = {
            frozenset((one, other))
            for one in names
            for other in self.linked_peers_by_name.get(one, ())
            if other in self.cores_by_name and self.is_connected(one, other)
        }
        for link in sorted(self.links - wanted_links, key=sorted):
            self.links.discard(link)
            self.notify(link, "peer_down")
        for link in sorted(wanted_links - self.links, key=sorted):
            self.links.add(link)
            self.notify(link, "peer_up")

    def notify(self, link, event_name):
        for name in sorted(link):
            (peer,) = link - {name}
            core = self.cores_by_name.get(name)
            if core is not None:
                action = getattr(core, event_name)
                self.schedule(
                    1,
                    name,
                    lambda recipient=name, handler=action, other=peer: self.apply(
                        recipient, lambda now: handler(other, now)
                    ),
                )

    def is_connected(self, one, other):
        data_centres = (self.data_centre_by_name[one], self.data_centre_by_name[other])
        return frozenset(data_centres) not in self.partitioned_pairs

    def transmit(self, name, effect):
        peer, envelope = effect
        core = self.cores_by_name[name]
        if frozenset((name, peer)) not in self.links:
            failed = envelope
            self.schedule(
                0,
                name,
                lambda: self.apply(name, lambda now: core.send_failed(failed, now)),
            )
            return
        receiver = self.cores_by_name[peer]
        is_same_data_centre = (
            self.data_centre_by_name[name] == self.data_centre_by_name[peer]
        )
        self.schedule(
            1 if is_same_data_centre else 10,
            peer,
            lambda: self.deliver(name, peer, receiver, envelope),
        )

    def deliver(self, name, peer, receiver, envelope):
        if frozenset((name, peer)) in self.links:
            self.apply(peer, lambda now: receiver.receive_envelope(name, envelope, now))

    def call_platform(self, name, core, effect):
        answer = self.platform_answer(effect.call)
        if answer is None:
            self.schedule(50, name, lambda: self.call_platform(name, core, effect))
            return
        self.apply(name, lambda now: core.platform_answer(effect.ticket, answer, now))

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

    def write_to_target(self, name, core, effect):
        target = self.targets_by_name[effect.target_name]
        if not core.may_write(effect.request_id, self.now):
            result = TargetResult(Stage.NOTHING_WRITTEN)
            self.apply(
                name, lambda now: core.target_result(effect.request_id, result, now)
            )
            return
        request_id = dict(effect.headers)[REQUEST_ID_HEADER].decode()
        target.runs.append((request_id, effect.organisation, self.now, effect.method))
        target.running += 1
        target.running_max = max(target.running_max, target.running)
        ran_ms = min(target.service_ms, effect.remaining_ms)
        result = TargetResult(
            Stage.ANSWERED, 200, (), request_id.encode(), duration_ms=ran_ms
        )
        if target.loses_answers:
            result = TargetResult(Stage.WRITTEN_NO_ANSWER, duration_ms=ran_ms)
        self.schedule(ran_ms, "", lambda: self.end_run(target))
        self.schedule(
            ran_ms,
            name,
            lambda: self.apply(
                name, lambda now: core.target_result(effect.request_id, result, now)
            ),
        )

    @staticmethod
    def end_run(target):
        target.running -= 1
