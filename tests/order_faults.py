"""The faults of generated orders, and the instances that each of them disturbs."""

from typing import NamedTuple

__all__ = ["KINDS", "Fault", "OrderFaults"]

OPERATOR_REST_S = 8.0
STOP_S = 6.0

KINDS = (
    "restart",
    "terminate",
    "freeze",
    "suspend",
    "store_cut",
    "store_refuses",
    "peers_cut",
    "silence",
    "reset",
    "store_away",
    "history",
    "store_copy",
)
"""Kinds of faults; each is a method of :class:`OrderFaults` without the underscore."""


class Fault(NamedTuple):
    """A fault of an order.

    Attributes:
        at_s: Time since the end of the warm-up, in seconds.
        how: What happens, one of `KINDS`.
        names: The instances concerned.
        for_s: How long it lasts, in seconds.
        x: A further draw, from 0 to 1.
    """

    at_s: float
    how: str
    names: tuple[str, ...]
    for_s: float
    x: float


class OrderFaults:
    """Applies faults to a platform; the base of an order.

    The order itself defines the random numbers and what the operator writes.

    Attributes:
        platform: The platform.
    """

    platform = None

    def __init__(self, zone_by_name):
        self._zone_by_name = zone_by_name
        self._disturbed = {name: [] for name in zone_by_name}
        self._is_store_away = False
        self._quiet_until_s = 0.0

    def _apply(self, fault):
        getattr(self, f"_{fault.how}")(fault)

    def _disturb(self, names, for_s):
        now_s = self.platform.network.now_s
        for name in names:
            self._disturbed[name].append((now_s, now_s + for_s))

    def _running(self, fault):
        loops = ((name, self.platform.loop(name)) for name in fault.names)
        return [(name, loop) for name, loop in loops if loop is not None]

    def _after(self, fault, action):
        self.platform.network.schedule(fault.for_s, action)

    def _restart(self, fault):
        self._disturb(fault.names, fault.for_s)
        for name, _ in self._running(fault):
            self.platform.kill(name, is_dark=fault.x < 0.5)
            self._after(fault, lambda name=name: self._start(name))

    def _terminate(self, fault):
        self._disturb(fault.names, fault.for_s + STOP_S)
        for name, _ in self._running(fault):
            self.platform.terminate(name)
            self.platform.network.schedule(STOP_S, lambda name=name: self._start(name))

    def _start(self, name):
        self.platform.kill(name)
        self._disturb((name,), 0)
        self.platform.start(name)

    def _freeze(self, fault):
        self._disturb(fault.names, fault.for_s)
        for _, loop in self._running(fault):
            # A suspended machine would wake, and its clock go back at the end.
            if not loop.is_frozen:
                loop.is_frozen = True
                self._after(fault, lambda loop=loop: setattr(loop, "is_frozen", False))

    def _suspend(self, fault):
        self._disturb(fault.names, fault.for_s)
        for _, loop in self._running(fault):
            if not loop.is_frozen:
                self.platform.network.suspend(loop, fault.for_s)

    def _store_cut(self, fault):
        self._disturb(fault.names, fault.for_s)
        network = self.platform.network
        for name in fault.names:
            pair = (self.platform.host(name), self.platform.store_host(name))
            pair = pair if fault.x < 0.6 else pair[::-1]
            network.cut(*pair, is_one_way=fault.x > 0.3)
            self._after(fault, lambda pair=pair: network.heal(*pair))

    def _store_refuses(self, fault):
        self._disturb(fault.names, fault.for_s)
        how = ("silent", "reset", 503, 429)[int(fault.x * 4)]
        how_by_name = self.platform.store_faults
        for name in fault.names:
            how_by_name[name] = how
            self._after(fault, lambda name=name: how_by_name.pop(name, None))

    def _peers_cut(self, fault):
        self._disturb(fault.names, fault.for_s)
        network = self.platform.network
        for name in fault.names:
            for other in self._zone_by_name:
                if other not in fault.names:
                    pair = (self.platform.host(name), self.platform.host(other))
                    network.cut(*pair, is_one_way=fault.x > 0.7)
                    self._after(fault, lambda pair=pair: network.heal(*pair))

    def _silence(self, fault):
        self._disturb(self._zone_by_name, 0)
        self.platform.network.silence(1.0 if fault.x <= 0.5 else fault.x)

    def _reset(self, fault):
        self._disturb(fault.names, 0)
        for _, loop in self._running(fault):
            self.platform.network.reset(loop)

    def _store_away(self, fault):
        self._disturb(self._zone_by_name, fault.for_s)
        self._is_store_away = True
        store = self.platform.store
        name = "is_silent" if fault.x < 0.5 else "is_down"
        store.faults = store.faults._replace(**{name: True})

        def end():
            store.faults = store.faults._replace(**{name: False})
            self._is_store_away = False

        self._after(fault, end)

    def _history(self, fault):
        self._disturb(self._zone_by_name, 0)
        self.platform.store.forget_history()

    def _store_copy(self, fault):
        """The store goes away and comes back from a copy some seconds old."""
        self._disturb(self._zone_by_name, fault.for_s)
        platform, store = self.platform, self.platform.store
        store.keep_copy()
        away_s = fault.for_s * fault.x

        def leave():
            self._disturb(self._zone_by_name, away_s)
            self._is_store_away = platform.are_targets_away = True
            store.faults = store.faults._replace(is_silent=True)

        def come_back():
            self._disturb(self._zone_by_name, 1.0)
            platform.return_to_copy()
            store.faults = store.faults._replace(is_silent=False)
            platform.network.schedule(self._rng.uniform(0, 0.4), rewrite)

        def rewrite():
            self._is_store_away = platform.are_targets_away = False
            self._write()
            if fault.x < 0.7:
                # Any later change would mend an instance that missed this one.
                self._change()
                self._quiet_until_s = platform.network.now_s + OPERATOR_REST_S
            for target_id in platform.targets_by_id:
                platform.write_target(target_id)

        platform.network.schedule(fault.for_s - away_s, leave)
        platform.network.schedule(fault.for_s, come_back)
