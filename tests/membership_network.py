"""Membership instances on a simulated network and platform with faults."""

import random
from typing import NamedTuple

from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.membership import (
    LinksChanged,
    LiveChanged,
    Membership,
    MembershipSettings,
    ReadObject,
    WriteObject,
)
from sequoiahook.messages.base import Envelope
from sequoiahook.messages.membership import LIVE, Heartbeat, Leaving, Member
from sequoiahook.wire.codec import decode_envelope, encode_envelope
from sequoiahook.world.instance import Address, Instance

STEP_MS = 250
DELAY_MS_MAX = 300


class Arrival(NamedTuple):
    at: int
    order: int
    envelope: Envelope


class Node:
    def __init__(
        self, instance: Instance, membership: Membership, clock_offset_ms: int
    ):
        self.instance = instance
        self.membership = membership
        self.clock_offset_ms = clock_offset_ms
        self.links: frozenset[str] = frozenset()
        self.paused_until = 0
        self.live_by_data_centre: dict[str, dict[str, Instance]] = {}
        self.announced_leaving: set[tuple[str, int]] = set()
        self.highest_view_number = 0
        self.state = LIVE


class Network:
    def __init__(self, sizes_by_data_centre, seed=0, settings=None):
        self.rng = random.Random(seed)
        self.now = 0
        self.nodes_by_name: dict[str, Node] = {}
        self.objects: dict[str, list] = {}
        self.is_platform_up = True
        self.is_platform_stale = False
        self.lost_answers = 0
        self.platform_calls = 0
        self.partitions: set[frozenset[str]] = set()
        self.is_lossy = True
        self._queue: list[Arrival] = []
        self._sent = 0
        self._lost_last_heartbeat: dict[tuple[str, str], bool] = {}
        first = [
            self._instance(f"{data_centre}0", data_centre, 0)
            for data_centre in sizes_by_data_centre
        ]
        settings = settings or MembershipSettings()
        self.settings = settings._replace(seeds=tuple(first))
        for data_centre, size in sizes_by_data_centre.items():
            for number in range(size):
                self.start(f"{data_centre}{number}", data_centre)

    def _instance(self, name, data_centre, incarnation):
        host = f"10.0.{incarnation % 200}.{1 + len(name)}"
        address = Address(host, 1 + incarnation % 60_000)
        return Instance(name, incarnation, data_centre, address, address)

    def start(self, name, data_centre):
        incarnation = self.rng.getrandbits(32) | 1
        instance = self._instance(name, data_centre, incarnation)
        clock_offset_ms = self.rng.randrange(1_000_000)
        membership = Membership(
            self.settings, instance, self.rng, self.now + clock_offset_ms
        )
        node = Node(instance, membership, clock_offset_ms)
        self.nodes_by_name[name] = node
        entries = [
            Member(other.instance._replace(incarnation=0), LIVE)
            for other in self.nodes_by_name.values()
        ]
        self._apply(node, membership.on_platform_list(entries, self._local_time(node)))

    def crash(self, name):
        del self.nodes_by_name[name]

    def pause(self, name, duration_ms):
        self.nodes_by_name[name].paused_until = self.now + duration_ms

    def leave(self, name):
        node = self.nodes_by_name[name]
        self._apply(node, node.membership.leave(self._local_time(node)))
        node.state = node.membership.state

    def leave_views(self, name):
        node = self.nodes_by_name[name]
        self._apply(node, node.membership.leave_views(self._local_time(node)))
        node.state = node.membership.state

    def running(self):
        return [
            node
            for node in self.nodes_by_name.values()
            if node.paused_until <= self.now
        ]

    def in_data_centre(self, data_centre):
        return [
            node
            for node in self.nodes_by_name.values()
            if node.instance.data_centre == data_centre
        ]

    def step(self):
        self.now += STEP_MS
        for node in self.running():
            self._apply(node, node.membership.tick(self._local_time(node)))
        due = [arrival for arrival in self._queue if arrival.at <= self.now]
        self._queue = [arrival for arrival in self._queue if arrival.at > self.now]
        for arrival in sorted(due):
            self._deliver(arrival)

    def may_act(self, node, key):
        return node.paused_until <= self.now and node.membership.may_act(
            key, self._local_time(node)
        )

    def has_link(self, first, second):
        one = self.nodes_by_name.get(first)
        two = self.nodes_by_name.get(second)
        if one is None or two is None:
            return False
        return second in one.links or first in two.links

    def _local_time(self, node):
        return self.now + node.clock_offset_ms

    def _deliver(self, arrival):
        envelope = arrival.envelope
        node = self.nodes_by_name.get(envelope.destination)
        if node is None:
            return
        if node.paused_until > self.now:
            self._queue.append(arrival._replace(at=node.paused_until))
            return
        if isinstance(envelope.body, Leaving):
            node.announced_leaving.add((envelope.source, envelope.incarnation))
        self._apply(node, node.membership.receive(envelope, self._local_time(node)))

    def _apply(self, node, effects):
        for effect in effects:
            if isinstance(effect, Send):
                self._send(node, effect)
            elif isinstance(effect, LinksChanged):
                node.links = effect.names
            elif isinstance(effect, LiveChanged):
                live = node.membership.live(effect.data_centre)
                node.live_by_data_centre[effect.data_centre] = live
            elif isinstance(effect, ReadObject):
                self._apply(node, self._read(node, effect))
            elif isinstance(effect, WriteObject):
                self._apply(node, self._write(node, effect))

    def _send(self, node, effect):
        source, destination = node.instance.name, effect.destination
        target = self.nodes_by_name.get(destination)
        if target is None or not self.has_link(source, destination):
            return
        pair = frozenset((node.instance.data_centre, target.instance.data_centre))
        if pair in self.partitions:
            return
        if self.is_lossy and self._is_lost(source, destination, effect.body):
            return
        self._sent += 1
        envelope = Envelope(
            source, node.instance.incarnation, self._sent, destination, effect.body
        )
        envelope = decode_envelope(encode_envelope(envelope))
        for _ in range(1 + (self.is_lossy and self.rng.random() < 0.1)):
            at = self.now + self.rng.randint(1, DELAY_MS_MAX)
            self._queue.append(Arrival(at, self._sent, envelope))

    def _is_lost(self, source, destination, body):
        """Return whether a message is lost; never two heartbeats in a row."""
        if not isinstance(body, Heartbeat):
            return self.rng.random() < 0.2
        lost_last = self._lost_last_heartbeat.get((source, destination), False)
        is_lost = not lost_last and self.rng.random() < 0.1
        self._lost_last_heartbeat[source, destination] = is_lost
        return is_lost

    def _read(self, node, effect):
        self.platform_calls += 1
        now = self._local_time(node)
        if not self.is_platform_up:
            return node.membership.on_object_unavailable(effect.name, now)
        history = self.objects.get(effect.name, [])
        if self.is_platform_stale:
            history = history[:-1]
        version, value = (len(history), history[-1]) if history else (0, None)
        return node.membership.on_object_read(effect.name, version, value, now)

    def _write(self, node, effect):
        self.platform_calls += 1
        now = self._local_time(node)
        if not self.is_platform_up:
            return node.membership.on_object_unavailable(effect.name, now)
        history = self.objects.setdefault(effect.name, [])
        if len(history) != effect.version:
            return node.membership.on_object_conflict(effect.name, len(history), now)
        history.append(effect.value)
        if self.lost_answers:
            self.lost_answers -= 1
            return node.membership.on_object_unavailable(effect.name, now)
        return node.membership.on_object_written(effect.name, now)
