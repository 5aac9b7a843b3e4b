"""Which part of a region's objects is owned by targets of the region itself.

A region whose targets cannot carry the requests of its own callers leaves part of the
objects to other regions for good, instead of sending single requests away when its
targets are full: an object that has one owner is known there.

One instance of the region decides, the first by name of those that are heard, and tells
the others in its reports. Two that decide for a moment do no harm but some answers from
targets that do not know the object.

The load that this answers: traffic that is divided over regions otherwise than the
targets are. It trades a longer way for targets that know their objects and have room.
"""

from collections.abc import Mapping
from typing import NamedTuple

__all__ = ["PERMILLE", "HomeShareSettings", "HomeShares", "TargetUse"]

PERMILLE = 1000


class HomeShareSettings(NamedTuple):
    """Settings of the shares.

    Attributes:
        load_percent: Load that the targets of a region should have at most, in
            hundredths of their slots; a queue forms where more than two thirds are
            taken on average.
        start_percent: Slots that a region is taken to need before its load is known,
            in hundredths of an equal part of all slots.
        step_permille: Largest change in one step; several of them within two seconds
            stay below the part of requests that may change region.
        fast_step_permille: Largest change in one step while the load has just begun.
        slack_permille: Difference from which on a share is moved.
        step_ms: Time between two steps.
        load_window_ms: Time over which load is averaged.
        busy_window_ms: Time over which the requests at the region's targets are.
    """

    load_percent: int = 65
    start_percent: int = 60
    step_permille: int = 50
    fast_step_permille: int = 200
    slack_permille: int = 100
    step_ms: int = 1_000
    load_window_ms: int = 3_000
    busy_window_ms: int = 1_000


class TargetUse(NamedTuple):
    """How the targets of a service are used.

    Attributes:
        in_flight: Requests at the targets of the own region.
        all_part: Requests at all targets, as part of all slots.
    """

    in_flight: float
    all_part: float

    def towards(self, other: "TargetUse", weight: float) -> "TargetUse":
        """Return the average of two, with the weight of the other one."""
        return TargetUse(
            self.in_flight + weight * (other.in_flight - self.in_flight),
            self.all_part + weight * (other.all_part - self.all_part),
        )


UNUSED = TargetUse(0.0, 0.0)


class HomeShares:
    """Shares of the own region by service, in thousandths.

    Args:
        settings: The settings.
    """

    def __init__(self, settings: HomeShareSettings):
        self.permille_by_service: dict[str, int] = {}
        self._settings = settings
        self._work_ms_by_service: dict[str, float] = {}
        self._slots_by_service: dict[str, float] = {}
        self._uses_by_service: dict[str, TargetUse] = {}
        self._updated_at: int | None = None
        self._stepped_at: int | None = None

    def note_request(self, service: str, work_ms: float) -> None:
        """Count the usual work of a request towards the load of this instance."""
        works = self._work_ms_by_service
        works[service] = works.get(service, 0.0) + work_ms

    def update(
        self, now: int, use_by_service: Mapping[str, TargetUse] | None = None
    ) -> None:
        """Average the load of this instance, and the use of targets.

        Args:
            now: The time in milliseconds.
            use_by_service: How the targets of each service are used at present.
        """
        if self._updated_at is not None and now > self._updated_at:
            elapsed_ms = now - self._updated_at
            self._average_load(elapsed_ms)
            self._average_use(use_by_service or {}, elapsed_ms)
        self._work_ms_by_service.clear()
        self._updated_at = now

    def _average_load(self, elapsed_ms: int) -> None:
        weight = min(1.0, elapsed_ms / self._settings.load_window_ms)
        for service in set(self._work_ms_by_service) | set(self._slots_by_service):
            slots = self._work_ms_by_service.get(service, 0.0) / elapsed_ms
            last = self._slots_by_service.get(service, 0.0)
            self._slots_by_service[service] = last + weight * (slots - last)

    def _average_use(
        self, use_by_service: Mapping[str, TargetUse], elapsed_ms: int
    ) -> None:
        weight = min(1.0, elapsed_ms / self._settings.busy_window_ms)
        for service, use in use_by_service.items():
            last = self._uses_by_service.get(service, use)
            self._uses_by_service[service] = last.towards(use, weight)

    def loads(self) -> dict[str, int]:
        """Return the load of this instance by service, in thousandths of a slot."""
        return {
            service: int(slots * PERMILLE)
            for service, slots in self._slots_by_service.items()
        }

    def share(self, service: str, own_slots: int, all_slots: int, regions: int) -> int:
        """Return the share of a service.

        Args:
            service: Name of the service.
            own_slots: Slots of its targets in the region.
            all_slots: Slots of its targets in all regions.
            regions: How many regions there are.
        """
        permille = self.permille_by_service.get(service)
        if permille is None:
            needed = all_slots * self._settings.start_percent / 100 / max(1, regions)
            permille = PERMILLE
            if needed > own_slots:
                permille = int(PERMILLE * own_slots / needed)
            self.permille_by_service[service] = permille
        return permille

    def adopt(self, permille_by_service: Mapping[str, int]) -> None:
        """Take over what the deciding instance of the region says."""
        self.permille_by_service.update(permille_by_service)

    def decide(
        self,
        load_by_service: Mapping[str, int],
        slots_by_service: Mapping[str, int],
        now: int,
        *,
        is_fast: bool = False,
    ) -> None:
        """Move the shares one step towards what the load asks for.

        Args:
            load_by_service: Load of all instances of the region, in thousandths of a
                slot.
            slots_by_service: Slots of the region's targets.
            now: The time in milliseconds.
            is_fast: Whether large steps are allowed.
        """
        settings = self._settings
        step = settings.fast_step_permille if is_fast else settings.step_permille
        step_ms = settings.step_ms
        if self._stepped_at is not None and now - self._stepped_at < step_ms:
            return
        self._stepped_at = now
        for service, share in self.permille_by_service.items():
            room = slots_by_service.get(service, 0) * self._level_permille(service)
            load = max(1, load_by_service.get(service, 0), self._seen(service, share))
            wanted = min(PERMILLE, room * PERMILLE // load)
            # Small differences are left alone, since each step moves objects.
            if abs(wanted - share) >= settings.slack_permille or wanted == PERMILLE:
                share += max(-step, min(step, wanted - share))
            self.permille_by_service[service] = share

    def _seen(self, service: str, share: int) -> int:
        """Return the load that the requests at the region's own targets speak of.

        They are more than the usual work of requests where objects are not known, or
        targets slow.
        """
        use = self._uses_by_service.get(service, UNUSED)
        return int(use.in_flight * PERMILLE * PERMILLE / max(1, share))

    def _level_permille(self, service: str) -> int:
        """Return up to which part of its slots a region should use its targets.

        Where all regions use more, none has room for the others.
        """
        use = self._uses_by_service.get(service, UNUSED)
        return max(self._settings.load_percent * 10, int(use.all_part * PERMILLE))
