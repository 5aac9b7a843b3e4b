"""Capacity that the regions lost recently, for which requests may leave their region.

While only the load, the configuration or planned work changes, few requests may run
outside the region of their object's owner. When targets fail, the requests that ran
there have to go elsewhere at once; how many depends on the slots that were lost.
"""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from sequoiahook.decisions.direct.first_names import first_names

__all__ = ["LostCapacity", "LostCapacitySettings", "LostEvent", "TargetSlots"]


class LostCapacitySettings(NamedTuple):
    """Settings of the lost capacity.

    Attributes:
        recent_ms: Time for which a loss, or the return of a lost target, counts. The
            platform's own bounds apply again four seconds after a failure.
        forget_ms: Time after which a lost target that returns counts as new.
    """

    recent_ms: int = 6_000
    forget_ms: int = 60_000


class TargetSlots(NamedTuple):
    """The slots of a usable target.

    Attributes:
        region: Region of the target.
        slots: Number of its slots.
    """

    region: str
    slots: int


class LostEvent(NamedTuple):
    """Targets that were lost or returned, for logs.

    Attributes:
        at: Time in milliseconds.
        lost: The first names that were lost.
        returned: The first names that returned.
    """

    at: int
    lost: tuple[str, ...]
    returned: tuple[str, ...]


class _Loss(NamedTuple):
    target: TargetSlots
    changed_at: int
    has_returned: bool


class LostCapacity:
    """Records the targets that were lost without having announced that they leave.

    Attributes:
        last_event: The last losses or returns; None before the first.

    Args:
        settings: Settings of the lost capacity.
    """

    def __init__(self, settings: LostCapacitySettings):
        self.last_event: LostEvent | None = None
        self._settings = settings
        self._usable_by_id: dict[str, TargetSlots] = {}
        self._losses_by_id: dict[str, _Loss] = {}

    def update(
        self,
        usable_by_id: Mapping[str, TargetSlots],
        leaving_ids: Iterable[str],
        now: int,
    ) -> None:
        """Compare the usable targets with those of the last call.

        Args:
            usable_by_id: The usable targets.
            leaving_ids: Targets that are listed, and get no requests as planned.
            now: The time in milliseconds.
        """
        losses = self._losses_by_id
        lost = self._usable_by_id.keys() - usable_by_id.keys() - set(leaving_ids)
        returned = {
            target_id
            for target_id in losses.keys() & usable_by_id.keys()
            if not losses[target_id].has_returned
        }
        for target_id in lost:
            target = self._usable_by_id[target_id]
            losses[target_id] = _Loss(target, now, has_returned=False)
        for target_id in returned:
            losses[target_id] = _Loss(usable_by_id[target_id], now, has_returned=True)
        if lost or returned:
            self.last_event = LostEvent(now, first_names(lost), first_names(returned))
        self._usable_by_id = dict(usable_by_id)
        self._forget(now)

    def discard_since(self, since: int) -> None:
        """Discard the losses and returns since a time, which were none of targets."""
        self._losses_by_id = {
            target_id: loss
            for target_id, loss in self._losses_by_id.items()
            if loss.changed_at < since
        }

    def ratio(self, now: int) -> float:
        """Return the largest ratio of its slots that a region lost recently."""
        slots_by_region: Counter[str] = Counter()
        lost_by_region: Counter[str] = Counter()
        for region, slots in self._usable_by_id.values():
            slots_by_region[region] += slots
        for (region, slots), changed_at, has_returned in self._losses_by_id.values():
            if now - changed_at < self._settings.recent_ms:
                lost_by_region[region] += slots
                if not has_returned:
                    slots_by_region[region] += slots
        # Returned targets may have left as planned since, so that slots are fewer.
        return max(
            (
                lost / max(1, lost, slots_by_region[region])
                for region, lost in lost_by_region.items()
            ),
            default=0.0,
        )

    def _forget(self, now: int) -> None:
        forgotten = [
            target_id
            for target_id, loss in self._losses_by_id.items()
            if now - loss.changed_at >= self._settings.forget_ms
        ]
        for target_id in forgotten:
            del self._losses_by_id[target_id]
