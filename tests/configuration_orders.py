"""Generated orders of faults around changes of the configuration, and what must hold.

An order is drawn from a seed: the size of the fleet, up to six faults with any times
between them, and the times of the operator's changes. The rules are judged by what
callers and targets see.
"""

import random

from standins.platform_documents import configuration_document
from tests.order_faults import KINDS, Fault, OrderFaults
from tests.virtual_platform import VirtualPlatform

STABLE_S = 4.0
"""Time without a disruption after which an instance is bound by the times below."""

CONFIGURATION_S = 2.5
WITHDRAWAL_S = 5.0
DRAIN_S = 2.5
DOWNGRADE_S = 0.25

WARM_UP_S = 5.0
FAULTS_S = 14.0
SETTLE_S = 9.0
PROBE_INTERVAL_S = 0.25
FAULTS_MAX = 6
CHANGE_GAPS_S = (0.3, 0.5, 1.0, 2.0, 4.0, 9.0)
ROUTES_KEPT = 30
"""Versions for which the route that each of them adds stays."""

KEY_VERSIONS = 2
"""Versions in which a key is present; the next one withdraws it."""

ZONES = ("north-a", "north-b", "north-a", "north-b", "north-a", "north-b", "south-a")
LASTING_KEY = "key-one-a"
TARGETS = tuple(f"i-{number + 1}" for number in range(8))
DRAINED_TARGETS = TARGETS[4:]


class Order(OrderFaults):
    """One play.

    Attributes:
        faults: The faults in the order of their times.
        violations: What broke a rule, as text.
        platform: The platform on which it is played.

    Args:
        seed: Seed of the order.
        kinds: Kinds of faults to draw from; all by default.
        faults: The faults, instead of drawn ones.
        count: The number of instances; drawn by default.
    """

    def __init__(self, seed, kinds=None, faults=None, count=None):
        self._rng = random.Random(seed)
        random.seed(seed)
        kinds = kinds or KINDS
        count = count or self._rng.randint(1, len(ZONES))
        super().__init__({f"n{i + 1}": ZONES[i] for i in range(count)})
        drawn = self._draw_faults(kinds)
        self.faults = drawn if faults is None else faults
        self.violations = []
        self._version = 0
        self._acked_at = {}
        self._drain_acked_at_by_target = {}

    def __str__(self):
        return "\n".join(map(str, (self._zone_by_name, *self.faults, *self.violations)))

    def play(self):
        """Play it; return the violations."""
        with VirtualPlatform(self._zone_by_name, TARGETS) as self.platform:
            self.platform.is_each_heartbeat_new = self._rng.random() < 0.5
            self._change()
            for name in self._zone_by_name:
                self.platform.start(name)
                self._disturb((name,), 0)
            self.platform.run_for(WARM_UP_S)
            start_s = self.platform.network.now_s
            schedule = self.platform.network.schedule
            for fault in self.faults:
                schedule(fault.at_s, lambda fault=fault: self._apply(fault))
            at_s = 0.0
            while at_s < FAULTS_S + SETTLE_S / 2:
                at_s += self._rng.choice(CHANGE_GAPS_S)
                schedule(at_s, self._change)
            for target_id in DRAINED_TARGETS:
                drain_s = self._rng.uniform(1, FAULTS_S)
                schedule(drain_s, lambda target_id=target_id: self._drain(target_id))
            end_s = start_s + FAULTS_S + SETTLE_S
            while self.platform.network.now_s < end_s:
                self._probe()
                self.platform.run_for(PROBE_INTERVAL_S)
            self.platform.run_for(4)
            self._judge()
        return self.violations

    # What happens

    def _draw_faults(self, kinds):
        rng, names = self._rng, tuple(self._zone_by_name)
        faults = []
        for _ in range(rng.randint(1, FAULTS_MAX)):
            chosen = rng.sample(names, min(len(names), rng.choice((1, 1, 1, 2, 2, 3))))
            faults.append(
                Fault(
                    round(rng.uniform(0, FAULTS_S), 3),
                    rng.choice(kinds),
                    tuple(sorted(chosen)),
                    round(rng.uniform(0.3, 5.0), 3),
                    round(rng.random(), 3),
                )
            )
        return sorted(faults)

    # The operator and the callers

    def _change(self):
        if self._is_store_away or self.platform.network.now_s < self._quiet_until_s:
            return
        self._version += 1
        self._write()
        self._acked_at[self._version] = self.platform.network.now_s

    def _write(self):
        version = self._version
        document = configuration_document(version)
        open_route = document["routes"]["open"]
        for number in range(max(1, version - ROUTES_KEPT), version + 1):
            added = {**open_route, "path_prefix": f"/added-{number}/"}
            document["routes"][f"added-{number}"] = added
        kept = range(max(1, version - KEY_VERSIONS + 1), version + 1)
        keys = [LASTING_KEY, *(f"key-version-{number}" for number in kept)]
        document["tenants"]["one"]["api_keys"] = keys
        self.platform.put("config", "main", document)

    def _drain(self, target_id):
        if self._is_store_away:
            return
        self._drain_acked_at_by_target[target_id] = self.platform.network.now_s
        self.platform.drained.add(target_id)
        self.platform.write_target(target_id)

    def _probe(self):
        version = self._version
        for name in self._zone_by_name:
            if self.platform.loop(name) is None:
                continue
            self.platform.send(name, f"/added-{version}/x")
            self.platform.send(name, "/look/1", f"key-version-{version}")
            old = version - KEY_VERSIONS
            if old > 0:
                self.platform.send(name, "/look/2", f"key-version-{old}")
            for _ in range(2):
                self.platform.send(name, f"/open/{self._rng.randint(1, 99)}")

    # The rules

    def _judge(self):
        runs_by_id = {
            run["id"]: (target_id, run["at"])
            for target_id, target in self.platform.targets_by_id.items()
            for run in target.runs
        }
        newest_seen = {}
        for answer in sorted(self.platform.answers):
            self._judge_bounds(answer, answer.id in runs_by_id)
            self._judge_downgrade(answer, newest_seen)
            if answer.id in runs_by_id:
                self._judge_drain(answer, *runs_by_id[answer.id])
        self._judge_end()

    def _report(self, answer, rule):
        start_s = 1_000.0 + WARM_UP_S
        self.violations.append(
            f"{rule}: {answer.instance} at {answer.sent_at - start_s:.2f} s: "
            f"{answer.path} {answer.key} {answer.status}"
        )

    def is_in_touch(self, name, at_s):
        """Return whether an instance has been undisturbed for long enough."""
        return not any(
            begin < at_s and end > at_s - STABLE_S
            for begin, end in self._disturbed[name]
        )

    def _judge_bounds(self, answer, has_run):
        sent_at = answer.sent_at
        is_in_touch = self.is_in_touch(answer.instance, sent_at)
        version = _version_of(answer)
        if version is None:
            return
        acked_at = self._acked_at[version]
        if answer.status in (401, 404) and is_in_touch:
            is_due = sent_at > acked_at + CONFIGURATION_S
            withdrawn_at = self._acked_at.get(version + KEY_VERSIONS)
            is_kept = answer.key == "" or withdrawn_at is None or sent_at < withdrawn_at
            if is_due and is_kept:
                self._report(answer, "handled as an older version says")
        if answer.key and has_run:
            withdrawn_at = self._acked_at.get(version + KEY_VERSIONS)
            if withdrawn_at is not None and sent_at > withdrawn_at + WITHDRAWAL_S:
                self._report(answer, "ran with a withdrawn key")

    def _judge_downgrade(self, answer, newest_seen):
        version = _version_of(answer)
        if version is None or answer.key:
            return
        incarnation = (answer.instance, self._incarnation(answer))
        seen, seen_at = newest_seen.get(incarnation, (0, 0))
        if answer.status == 200 and version > seen:
            newest_seen[incarnation] = (version, answer.sent_at)
        is_older = answer.status == 404 and version <= seen
        if is_older and answer.sent_at > seen_at + DOWNGRADE_S:
            self._report(answer, f"older than version {seen}, which it had")

    def _incarnation(self, answer):
        starts = self.platform.starts_by_name[answer.instance]
        return sum(at <= answer.sent_at for at in starts)

    def _judge_drain(self, answer, target_id, ran_at):
        acked_at = self._drain_acked_at_by_target.get(target_id)
        is_late = acked_at is not None and answer.sent_at >= acked_at + DRAIN_S
        if is_late and self.is_in_touch(answer.instance, answer.sent_at):
            self._report(answer, f"ran at {target_id}, which is draining")

    def _judge_end(self):
        for name in self._zone_by_name:
            last = [a for a in self.platform.answers if a.instance == name][-8:]
            served = [a for a in last if a.status == 200]
            if self.platform.loop(name) is not None and not served:
                self.violations.append(f"{name} serves nothing at the end")


def _version_of(answer):
    for text in (answer.path, answer.key):
        for prefix in ("/added-", "key-version-"):
            if text.startswith(prefix):
                return int(text.removeprefix(prefix).partition("/")[0])
    return None
