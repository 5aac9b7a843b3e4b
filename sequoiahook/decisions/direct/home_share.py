"""The share of a region's objects that targets of the region itself own.

A region whose targets cannot handle the requests of its own callers permanently assigns
part of the objects to other regions, rather than sending single requests away when its
targets are full: an object with one owner stays cached there.

One instance of the region decides, the first by name of those that report, and sends
the shares to the others in its reports. If two decide for a moment, some requests go to
targets that have not handled their objects recently; there is no other harm. An
instance that starts uses shares set from slots provisionally, until it receives those
of any instance of the region.

This covers traffic that is distributed over the regions differently from the targets.
It accepts longer round trips for targets that have cached objects and free slots.
"""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = ["PERMILLE", "HomeShareSettings", "HomeShares", "ShareStep", "TargetUse"]

PERMILLE = 1000


class HomeShareSettings(NamedTuple):
    """Settings of the shares.

    Attributes:
        load_max_percent: Highest intended load of a region's targets, as a percentage
            of their slots. Queues form where more than two thirds of the slots are
            used on average.
        initial_load_percent: Slots that a region is assumed to need before its load is
            known, as a percentage of an equal part of all slots.
        stated_pace_load_percent: The same for services that state their pace. Nearly
            all requests miss the caches in the first seconds: with 60 percent, targets
            of a region with a tenth of the slots were 93 to 100 % busy for 8 s.
        set_anew_max_permille: Largest change of a provisional share when its service
            turns out to state its pace; the rest is left to the steps. A change by 340
            moved 16.5 % of the requests between two windows of two seconds.
        step_permille: Largest change in one step. The steps within two seconds together
            stay below the ratio of requests that may change region.
        change_min_permille: Smallest difference for which a share is changed.
        step_interval_ms: Time between two steps.
        load_window_ms: Period over which the load is averaged.
        in_flight_window_ms: Period over which the requests at targets are averaged.
    """

    load_max_percent: int = 65
    initial_load_percent: int = 60
    stated_pace_load_percent: int = 100
    set_anew_max_permille: int = 200
    step_permille: int = 50
    change_min_permille: int = 100
    step_interval_ms: int = 1_000
    load_window_ms: int = 3_000
    in_flight_window_ms: int = 1_000


class TargetUse(NamedTuple):
    """The use of a service's targets.

    Attributes:
        in_flight: Requests queued or running at the targets of the own region.
        utilisation: Requests at the targets of all regions, divided by their slots.
    """

    in_flight: float
    utilisation: float

    def averaged_with(self, other: "TargetUse", weight: float) -> "TargetUse":
        """Return the weighted average; `weight` is that of the other value."""
        return TargetUse(
            self.in_flight + weight * (other.in_flight - self.in_flight),
            self.utilisation + weight * (other.utilisation - self.utilisation),
        )


NO_USE = TargetUse(0.0, 0.0)


class ShareStep(NamedTuple):
    """A change of a share and its inputs, for logs.

    Attributes:
        service: Name of the service.
        share: Share before the change, in thousandths.
        new_share: Share after it.
        intended: Share that fits the load.
        load: Load reported by the region's instances, in thousandths of a slot.
        measured_load: Load derived from the requests at the region's targets.
        capacity: Intended highest load of the region's targets.
    """

    service: str
    share: int
    new_share: int
    intended: int
    load: int
    measured_load: int
    capacity: int


class HomeShares:
    """Shares of the own region by service, in thousandths.

    Attributes:
        permille_by_service: The shares.

    Args:
        settings: Settings of the shares.
    """

    def __init__(self, settings: HomeShareSettings):
        self.permille_by_service: dict[str, int] = {}
        self._set_at: int | None = None
        self._provisional_since_by_service: dict[str, int] = {}
        self._set_without_pace: set[str] = set()
        self._steps: list[ShareStep] = []
        self._settings = settings
        self._work_ms_by_service: dict[str, float] = {}
        self._load_slots_by_service: dict[str, float] = {}
        self._uses_by_service: dict[str, TargetUse] = {}
        self._updated_at: int | None = None
        self._stepped_at: int | None = None

    def record_request(self, service: str, work_ms: float) -> None:
        """Add the typical work of a request to the load of this instance."""
        work_ms_by_service = self._work_ms_by_service
        work_ms_by_service[service] = work_ms_by_service.get(service, 0.0) + work_ms

    def update(
        self, now: int, use_by_service: Mapping[str, TargetUse] | None = None
    ) -> None:
        """Update the averages of the load of this instance and the use of targets.

        Args:
            now: The time in milliseconds.
            use_by_service: Present use of the targets of each service.
        """
        if self._updated_at is not None and now > self._updated_at:
            elapsed_ms = now - self._updated_at
            self._average_load(elapsed_ms)
            self._average_use(use_by_service or {}, elapsed_ms)
        self._work_ms_by_service.clear()
        self._updated_at = now

    def _average_load(self, elapsed_ms: int) -> None:
        weight = min(1.0, elapsed_ms / self._settings.load_window_ms)
        for service in set(self._work_ms_by_service) | set(self._load_slots_by_service):
            slots = self._work_ms_by_service.get(service, 0.0) / elapsed_ms
            last = self._load_slots_by_service.get(service, 0.0)
            self._load_slots_by_service[service] = last + weight * (slots - last)

    def _average_use(
        self, use_by_service: Mapping[str, TargetUse], elapsed_ms: int
    ) -> None:
        weight = min(1.0, elapsed_ms / self._settings.in_flight_window_ms)
        for service, use in use_by_service.items():
            last = self._uses_by_service.get(service, use)
            self._uses_by_service[service] = last.averaged_with(use, weight)

    def loads(self) -> dict[str, int]:
        """Return the load of this instance by service, in thousandths of a slot."""
        return {
            service: int(slots * PERMILLE)
            for service, slots in self._load_slots_by_service.items()
        }

    def share(
        self,
        service: str,
        own_slots: int,
        all_slots: int,
        regions: int,
        now: int,
        *,
        states_pace: bool = False,
    ) -> int:
        """Return the share of a service in thousandths, set from slots at first use.

        It is set once more if the service turns out to state its pace while the share
        is still provisional; later changes are left to the steps.

        Args:
            service: Name of the service.
            own_slots: Slots of its targets in the region.
            all_slots: Slots of its targets in all regions.
            regions: Number of regions.
            now: The time in milliseconds.
            states_pace: Whether the service is known to state its pace.
        """
        last = self.permille_by_service.get(service)
        is_set_anew = states_pace and service in self._set_without_pace
        if last is not None and not is_set_anew:
            return last
        load_percent = (
            self._settings.stated_pace_load_percent
            if states_pace
            else self._settings.initial_load_percent
        )
        needed_slots = all_slots * load_percent / 100 / max(1, regions)
        permille = PERMILLE
        if needed_slots > own_slots:
            permille = int(PERMILLE * own_slots / needed_slots)
        if last is not None:
            permille = max(permille, last - self._settings.set_anew_max_permille)
        self.permille_by_service[service] = permille
        self._provisional_since_by_service.setdefault(service, now)
        if states_pace:
            self._set_without_pace.discard(service)
        else:
            self._set_without_pace.add(service)
        return permille

    def is_provisional(self, service: str) -> bool:
        """Return whether the share of a service was only set from slots so far."""
        return service in self._provisional_since_by_service

    def known(self) -> dict[str, int]:
        """Return the shares that were decided or received."""
        return {
            service: permille
            for service, permille in self.permille_by_service.items()
            if not self.is_provisional(service)
        }

    def age_ms(self, now: int) -> int | None:
        """Return the time since shares were decided or received; None before that."""
        return None if self._set_at is None else now - self._set_at

    def adopt(self, permille_by_service: Mapping[str, int], now: int) -> None:
        """Apply the shares that the deciding instance of the region reported."""
        self.permille_by_service.update(permille_by_service)
        for service in permille_by_service:
            self._end_provisional(service)
        self._set_at = now

    def adopt_unknown(self, permille_by_service: Mapping[str, int], now: int) -> None:
        """Apply the shares of another instance to services without a known share."""
        unknown = {
            service: permille
            for service, permille in permille_by_service.items()
            if service not in self.permille_by_service or self.is_provisional(service)
        }
        if unknown:
            self.adopt(unknown, now)

    def pop_steps(self) -> list[ShareStep]:
        """Return the changes that this instance decided since the last call."""
        steps, self._steps = self._steps, []
        return steps

    def decide(
        self,
        load_by_service: Mapping[str, int],
        slots_by_service: Mapping[str, int],
        now: int,
    ) -> None:
        """Change the shares by one step towards the values that fit the load.

        Args:
            load_by_service: Load of all instances of the region, in thousandths of a
                slot.
            slots_by_service: Slots of the region's targets.
            now: The time in milliseconds.
        """
        settings = self._settings
        step = settings.step_permille
        step_interval_ms = settings.step_interval_ms
        if self._stepped_at is not None and now - self._stepped_at < step_interval_ms:
            return
        self._stepped_at = now
        self._set_at = now
        self._confirm_provisional(now)
        for service, share in self.known().items():
            capacity = slots_by_service.get(service, 0) * self._load_max_permille(
                service
            )
            load = load_by_service.get(service, 0)
            measured_load = self._measured_load(service, share)
            intended = min(PERMILLE, capacity * PERMILLE // max(1, load, measured_load))
            # Small differences are ignored, since each step moves objects.
            if (
                abs(intended - share) >= settings.change_min_permille
                or intended == PERMILLE
            ):
                new_share = share + max(-step, min(step, intended - share))
                self._set(
                    ShareStep(
                        service,
                        share,
                        new_share,
                        intended,
                        load,
                        measured_load,
                        capacity,
                    )
                )

    def _confirm_provisional(self, now: int) -> None:
        """Keep provisional shares that no instance has replaced for one step."""
        latest = now - self._settings.step_interval_ms
        for service, since in list(self._provisional_since_by_service.items()):
            if since <= latest:
                self._end_provisional(service)

    def _end_provisional(self, service: str) -> None:
        self._provisional_since_by_service.pop(service, None)
        self._set_without_pace.discard(service)

    def _set(self, step: ShareStep) -> None:
        if step.new_share != step.share:
            self.permille_by_service[step.service] = step.new_share
            self._steps.append(step)

    def _measured_load(self, service: str, share: int) -> int:
        """Return the load in thousandths of a slot, from requests at own targets.

        It exceeds the typical work of the requests if objects are not cached or targets
        are slow.
        """
        use = self._uses_by_service.get(service, NO_USE)
        return int(use.in_flight * PERMILLE * PERMILLE / max(1, share))

    def _load_max_permille(self, service: str) -> int:
        """Return the highest intended load of the region in thousandths of its slots.

        It is the overall utilisation if that is higher, since no region then has
        capacity for the others.
        """
        use = self._uses_by_service.get(service, NO_USE)
        return max(
            self._settings.load_max_percent * 10, int(use.utilisation * PERMILLE)
        )
