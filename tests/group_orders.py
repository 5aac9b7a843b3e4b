"""Generated orders of faults in a fleet that is divided into groups.

An order is drawn from a seed: the sizes of the data centres, who leaves, restarts,
freezes or loses datagrams to others, one after the other or at the same time. The
organisation asks for several times its rate all the while.
"""

import random
from typing import NamedTuple

from tests.group_simulation import STEP_MS, World, bound, limited_organisation

RATE = 60
DEMAND_FACTOR = 4.4
WARM_UP_MS = 4_000
FAULTS_MS = 9_000
SETTLE_MS = 9_000
SERVED_FROM_MS = 5_000
SERVED_RATIO = 0.6
EXPIRY_CHECK_MS = 1_000
ENTRY_WRITE_MS = 300
RESTART_MS = 400
FAULTS_MAX = 4
KINDS = ("leave", "restart", "freeze", "cut")
"""Kinds of drawn faults; ``partition`` is a further one."""


class GroupFault(NamedTuple):
    """A fault.

    Attributes:
        at_ms: Time since the end of the warm-up.
        how: One of `KINDS`.
        names: The instances concerned.
        for_ms: How long it lasts.
        is_buffered: Whether datagrams to a frozen instance wait for its end.
    """

    at_ms: int
    how: str
    names: tuple[str, ...]
    for_ms: int = 0
    is_buffered: bool = True


class FaultyWorld(World):
    """A fleet with a list of instances that they maintain, and with faults.

    Attributes:
        listed: Names of the instances in the platform's list.
        deleted: Names of the instances whose entries others have deleted.
        doubted: Names of the instances whose entries others have marked as doubted.
    """

    def __init__(self, organisations, seed, per_data_centre, regions):
        self.listed = None
        self.deleted = []
        self.doubted = set()
        self._buffered, self._cut_pairs, self._due = {}, set(), []
        super().__init__(organisations, seed, 0.0, per_data_centre, regions)
        self.listed = set(self.instances)

    def publish(self):
        """Give all instances the platform's list."""
        for name, core in self.cores.items():
            core.set_instances(self.listed_instances(name), self.now)

    def listed_instances(self, reader):
        if self.listed is None:
            return self.instances
        names = sorted(self.listed | {reader})
        return {
            name: self.instances[name]._replace(is_doubted=name in self.doubted)
            for name in names
        }

    def step(self, per_s_by_organisation, instance_names):
        due = [entry for entry in self._due if entry[0] <= self.now]
        self._due = [entry for entry in self._due if entry[0] > self.now]
        for _, action in due:
            action()
        if self.now % EXPIRY_CHECK_MS < STEP_MS:
            self._expire_entries()
        names = [name for name in instance_names if name in self.cores]
        super().step(per_s_by_organisation if names else {}, names)

    def _expire_entries(self):
        running = [core for name, core in self.cores.items() if name not in self.paused]
        steps = {step for core in running for step in core.entry_steps(self.now)}
        for step in steps:
            name = step.instance.name
            if step.is_deletion and name in self.listed:
                self.deleted.append(name)
                self.listed.discard(name)
            elif name in self.listed:
                self.doubted.add(name)
            self.after(ENTRY_WRITE_MS, lambda name=name: self._write_entry(name))
        if steps:
            self.publish()

    def _write_entry(self, name):
        """Write the entry of an instance anew, as soon as it runs."""
        if name in self.paused:
            self.after(ENTRY_WRITE_MS, lambda: self._write_entry(name))
        elif name in self.cores:
            self.doubted.discard(name)
            self.listed.add(name)
            self.publish()

    def after(self, delay_ms, action):
        """Call an action after a delay."""
        self._due.append((self.now + delay_ms, action))

    def apply(self, fault):
        """Begin a fault."""
        for name in fault.names:
            if name in self.cores:
                getattr(self, f"_{fault.how}")(fault, name)

    def _leave(self, fault, name):
        self.cores[name].is_leaving = True
        self.after(fault.for_ms, lambda: self.remove(name))

    def remove(self, name):
        """End an instance and take it off the list."""
        self.cores.pop(name, None)
        self.listed.discard(name)
        self.publish()

    def _restart(self, fault, name):
        self.paused.discard(name)
        del self.cores[name]
        self.after(RESTART_MS, lambda: self.start(name))

    def _freeze(self, fault, name):
        self.paused.add(name)
        if fault.is_buffered:
            self._buffered[name] = []
        self.after(fault.for_ms, lambda: self._thaw(name))

    def _thaw(self, name):
        self.paused.discard(name)
        for datagram in self._buffered.pop(name, ()):
            self.deliver(name, datagram)

    def _cut(self, fault, name):
        """Lose the datagrams between an instance and others of its data centre."""
        data_centre = self.instances[name].data_centre
        others = [n for n, i in self.instances.items() if i.data_centre == data_centre]
        pairs = {(name, other) for other in others}
        if fault.is_buffered:
            pairs |= {(other, name) for other in others}
        self._cut_pairs |= pairs
        self.after(fault.for_ms, lambda: self._cut_pairs.difference_update(pairs))

    def _partition(self, fault, name):
        """Lose the datagrams between an instance and all that are not cut off."""
        self.partitioned.add(name)
        self.after(fault.for_ms, lambda: self.partitioned.discard(name))

    def post(self, source, outgoing):
        kept = [m for m in outgoing if (source, m.instance) not in self._cut_pairs]
        super().post(source, kept)

    def deliver(self, name, datagram):
        if name in self._buffered:
            self._buffered[name].append(datagram)
        elif name in self.cores:
            super().deliver(name, datagram)

    def resume(self, waiting):
        for entry in [w for w in waiting if w[0] not in self.cores]:
            self.waiting.remove(entry)
        super().resume([w for w in waiting if w[0] in self.cores])


class GroupOrder:
    """One play.

    Attributes:
        faults: The faults in the order of their times.
        violations: What is wrong, as text.
        world: The fleet.

    Args:
        seed: Seed of the order.
        per_data_centre: Instances in each data centre.
        absent: Names of instances that leave before the first fault.
        faults: The faults, instead of drawn ones.
        kinds: Kinds of faults to draw from.
        regions: Region of each data centre.
        busy: The data centre that gets the requests; drawn by default. Several are
            separated by spaces.
        length_ms: Time from the end of the warm-up to the end.
    """

    def __init__(
        self,
        seed,
        per_data_centre=3,
        absent=(),
        faults=None,
        kinds=KINDS,
        regions=None,
        busy=None,
        length_ms=FAULTS_MS + SETTLE_MS,
    ):
        self._rng = random.Random(seed)
        regions = regions or {f"{r}-{x}": r for r in ("n", "s", "e", "w") for x in "ab"}
        organisation = limited_organisation("one", RATE, RATE)
        self.world = FaultyWorld((organisation,), seed, per_data_centre, regions)
        self._absent = absent
        self._length_ms = length_ms
        self._busy = busy or self._rng.choice(sorted(regions))
        self.faults = self._draw(kinds) if faults is None else faults
        self.violations = []

    def __str__(self):
        return "\n".join(map(str, (self._busy, *self.faults, *self.violations)))

    def _draw(self, kinds):
        rng, names = self._rng, sorted(self.world.instances)
        busy = [n for n in names if n.startswith(self._busy)]
        faults = []
        for _ in range(rng.randint(1, FAULTS_MAX)):
            chosen = rng.sample(rng.choice((names, busy)), rng.choice((1, 1, 2)))
            faults.append(
                GroupFault(
                    rng.choice((0, 500, rng.randrange(FAULTS_MS))),
                    rng.choice(kinds),
                    tuple(chosen),
                    rng.randrange(200, 6_000),
                    rng.random() < 0.5,
                )
            )
        return sorted(faults)

    def play(self):
        """Play it; return the violations."""
        world = self.world
        world.run(WARM_UP_MS, {})
        for name in self._absent:
            world.remove(name)
        world.run(WARM_UP_MS if self._absent else 0, {})
        for fault in self.faults:
            world.after(fault.at_ms, lambda fault=fault: world.apply(fault))
        demand = {"one": DEMAND_FACTOR * RATE}
        busy = self._busy.split()
        names = [n for n, i in world.instances.items() if i.data_centre in busy]
        world.run(self._length_ms, demand, names)
        self._judge()
        return self.violations

    def _judge(self):
        world = self.world
        most = world.most_in_a_window("one")
        if most > bound(RATE, RATE):
            self.violations.append(f"{most} requests ran in a window")
        self._judge_membership()
        served_from = world.now - SERVED_FROM_MS
        served = sum(at > served_from for at in world.runs_by_organisation["one"])
        busy = self._busy.split()
        is_busy = any(world.instances[n].data_centre in busy for n in world.cores)
        if is_busy and served < SERVED_RATIO * RATE * SERVED_FROM_MS / 1_000:
            self.violations.append(f"{served} requests ran in the last five seconds")

    def _judge_membership(self):
        world = self.world
        for name, core in world.cores.items():
            missing = set(world.cores) - {name} - set(core.peers.active(world.now))
            if missing:
                self.violations.append(f"{name} has no reports of {sorted(missing)}")
        leaders = [world.instances[name].data_centre for name in world.leaders()]
        expected = {world.instances[name].data_centre for name in world.cores}
        is_divided = next(iter(world.cores.values())).fleet.groups.is_divided
        if is_divided and sorted(leaders) != sorted(expected):
            self.violations.append(f"leaders: {sorted(world.leaders())}")
        if world.deleted:
            self.violations.append(f"entries deleted: {world.deleted}")
