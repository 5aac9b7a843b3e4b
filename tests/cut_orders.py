"""Generated orders of cuts between instances that may last, and what must hold.

An order is drawn from a seed: the fleet, who is cut off from the others, one
way or both, for how long, who still reaches the store, and who restarts, starts or
ends meanwhile. An organisation asks for several times its rate at all instances.
"""

import random
from typing import NamedTuple

from standins.platform_documents import configuration_document
from tests.virtual_platform import VirtualPlatform

RATE_PER_S = 20
BURST = 20
WINDOW_S = 5.0
EXCESS, SLACK = 0.1, 20
DEMAND_RATIO = 3
KEY = "key-one-a"
WARM_UP_S = 6.0
SETTLE_S = 20.0
STEP_S = 0.25
DEAD_S = 45.0
"""Time after which the rate of instances that ended is in use again."""

SERVED_RATIO = 0.7
TARGETS = tuple(f"i-{number + 1}" for number in range(6))
ZONES = ("north-a", "north-b", "south-a")
LENGTHS_S = (5.0, 20.0, 45.0, 60.0, 120.0)
THREE_PARTS_EVERY = 3
"""Of the seeds, this part cuts the fleet into three."""

STORE_REACH = ("both", "both", "first", "second", "none")


class Cut(NamedTuple):
    """A cut.

    Attributes:
        side: Instances that are cut off from all others.
        for_s: How long it lasts.
        is_one_way: Whether only the messages from the side are lost.
        store: Which side reaches the store: ``both``, ``first`` (the others),
            ``second`` (the side), or ``none``.
        third: Instances that are cut off from the side and from all others, and
            reach the store as the others do.
    """

    side: tuple[str, ...]
    for_s: float
    is_one_way: bool = False
    store: str = "both"
    third: tuple[str, ...] = ()

    def separates(self, name: str, other: str) -> bool:
        """Return whether messages between two instances are lost."""
        return (name in self.side, name in self.third) != (
            other in self.side,
            other in self.third,
        )


class Event(NamedTuple):
    """What happens to instances during a cut.

    Attributes:
        at_s: Time since the begin of the cut.
        how: ``restart``, ``kill`` or ``start``.
        names: The instances.
    """

    at_s: float
    how: str
    names: tuple[str, ...]


class CutOrder:
    """One play.

    Attributes:
        violations: What broke a rule, as text.

    Args:
        seed: Seed of the order.
        zone_by_name: Data centre of each instance; drawn by default.
        cut: The cut; drawn by default.
        events: What happens meanwhile; drawn by default.
    """

    def __init__(self, seed, zone_by_name=None, cut=None, events=None):
        self._seed = seed
        self._rng = random.Random(seed)
        random.seed(seed)
        self._zone_by_name = zone_by_name or self._draw_fleet()
        self._cut = cut or self._draw_cut()
        self._events = self._draw_events() if events is None else events
        self._late = {n for e in self._events if e.how == "start" for n in e.names}
        self._ended = set()
        self._settled_at = []
        self.violations = []
        self.platform = None

    def __str__(self):
        parts = self._zone_by_name, self._cut, *self._events, *self.violations
        return "\n".join(map(str, parts))

    def _draw_fleet(self):
        zones = ZONES[: self._rng.choice((2, 2, 3))]
        sizes = {zone: self._rng.randint(1, 3) for zone in zones}
        return {f"{zone}-{i}": zone for zone in zones for i in range(sizes[zone])}

    def _draw_cut(self):
        rng, names = self._rng, sorted(self._zone_by_name)
        zone = rng.choice(sorted(set(self._zone_by_name.values())))
        side = [name for name in names if self._zone_by_name[name] == zone]
        if rng.random() < 0.25:
            side = [rng.choice(names)]
        cut = Cut(
            tuple(side),
            rng.choice(LENGTHS_S),
            rng.random() < 0.2,
            rng.choice(STORE_REACH),
        )
        others = [name for name in names if name not in side]
        if len(others) < 2 or self._seed % THREE_PARTS_EVERY:
            return cut
        return cut._replace(third=tuple(others[: len(others) // 2]))

    def _draw_events(self):
        rng, events = self._rng, []
        for _ in range(rng.choice((0, 0, 1, 2))):
            how = rng.choice(("restart", "kill", "start"))
            names = (rng.choice(sorted(self._zone_by_name)),)
            if how == "start":
                names = (f"new-{len(events)}",)
                self._zone_by_name[names[0]] = rng.choice(ZONES[:2])
            events.append(Event(rng.uniform(0, self._cut.for_s), how, names))
        return sorted(events)

    def play(self):
        """Play it; return the violations."""
        with VirtualPlatform(self._zone_by_name, TARGETS) as self.platform:
            tenant = {
                "api_keys": [KEY],
                "priority": 1,
                "rate_per_s": RATE_PER_S,
                "burst": BURST,
                "allowed_regions": [],
            }
            self.platform.put("config", "main", configuration_document(1, one=tenant))
            for name in self._zone_by_name:
                if name not in self._late:
                    self.platform.start(name)
            self.platform.run_for(WARM_UP_S)
            self._load(WINDOW_S)
            self._begin()
            self._load(self._cut.for_s)
            self._heal()
            self._load(max(SETTLE_S, DEAD_S if self._ended else 0))
            self.platform.run_for(3)
            self._judge()
        return self.violations

    def _load(self, for_s):
        """Send requests at several times the rate for a time."""
        network = self.platform.network
        end_s = network.now_s + for_s
        owed = 0.0
        while network.now_s < end_s:
            running = [n for n in self._zone_by_name if self.platform.loop(n)]
            owed += DEMAND_RATIO * RATE_PER_S * STEP_S
            for _ in range(int(owed)):
                name = self._rng.choice(running)
                self.platform.send(name, f"/look/{self._rng.randrange(50)}", KEY)
            owed -= int(owed)
            self.platform.run_for(STEP_S)

    def _begin(self):
        platform, cut = self.platform, self._cut
        schedule = platform.network.schedule
        for name in self._zone_by_name:
            is_side = name in cut.side
            if cut.store == "none" or cut.store == ("first" if is_side else "second"):
                platform.network.cut(platform.host(name), platform.store_host(name))
            for other in self._zone_by_name:
                if (is_side or name in cut.third) and cut.separates(name, other):
                    pair = platform.host(name), platform.host(other)
                    platform.network.cut(*pair, is_one_way=cut.is_one_way)
        for event in self._events:
            schedule(event.at_s, lambda event=event: self._apply(event))

    def _apply(self, event):
        for name in event.names:
            if event.how != "start":
                self.platform.kill(name)
            if event.how == "kill":
                self._ended.add(name)
            elif event.how == "start":
                self.platform.start(name)
            else:
                self.platform.network.schedule(
                    1.0, lambda name=name: self._restart(name)
                )

    def _restart(self, name):
        if name not in self._ended and self.platform.loop(name) is None:
            self.platform.start(name)

    def _heal(self):
        platform = self.platform
        for name in self._zone_by_name:
            platform.network.heal(platform.host(name), platform.store_host(name))
            for other in self._zone_by_name:
                platform.network.heal(platform.host(name), platform.host(other))

    def _judge(self):
        sent_at_by_id = {a.id: a.sent_at for a in self.platform.answers}
        spans = sorted(
            (sent_at_by_id[run["id"]], run["at"])
            for target in self.platform.targets_by_id.values()
            for run in target.runs
            if run["id"] in sent_at_by_id
        )
        limit = (RATE_PER_S * WINDOW_S + BURST) * (1 + EXCESS) + SLACK
        most, at_s = most_in_a_window(spans)
        if most > limit:
            self.violations.append(f"{most} of {limit} ran in a window from {at_s}")
        self._judge_end(spans)
        errors = [line for line in self.platform.log.lines if "error" in line[3]]
        self.violations += [line for line in errors if line[2] == "task failed"]

    def _judge_end(self, spans):
        """Judge whether the whole rate is in use at the end."""
        last_s = self.platform.network.now_s - 3
        served = sum(last_s - 2 * WINDOW_S <= sent_s < last_s for sent_s, _ in spans)
        least = SERVED_RATIO * RATE_PER_S * 2 * WINDOW_S
        if served < least:
            self.violations.append(f"{served} of {least} ran at the end")


def most_in_a_window(spans):
    """Return the most requests that were sent and ran in a window, and its begin."""
    most, at_s = 0, 0.0
    for index, (start_s, _) in enumerate(spans):
        count = 0
        for sent_s, ran_s in spans[index:]:
            if sent_s > start_s + WINDOW_S:
                break
            count += ran_s <= start_s + WINDOW_S
        if count > most:
            most, at_s = count, start_s
    return most, at_s
