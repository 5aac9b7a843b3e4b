"""The targets that an instance may send to, as the platform lists them."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from sequoiahook.decisions.direct.target_state import TargetSettings, TargetState
from sequoiahook.world.target import LiveTarget

__all__ = ["TargetRegistry", "TargetRegistrySettings"]


class TargetRegistrySettings(NamedTuple):
    """How the list of targets is taken.

    Attributes:
        target: How evidence about one target is weighed.
        regain_ms: Time after the return of the platform for which a target that
            vanished from the list is kept: entries lapse while the platform is down.
    """

    target: TargetSettings = TargetSettings()
    regain_ms: int = 2_500


class TargetRegistry:
    """All targets by id.

    Args:
        settings: How the list is taken.
    """

    def __init__(self, settings: TargetRegistrySettings):
        self.version = 0
        self.states_by_id: dict[str, TargetState] = {}
        self._settings = settings
        self._missing_until_by_id: dict[str, int] = {}
        self._lenient_until: int | None = None
        self._evacuated: frozenset[str] = frozenset()
        self._states_by_group: dict[tuple[str, str], list[TargetState]] = {}
        self._slots_by_group: dict[tuple[str, str], int] = {}
        self._grouped_version = -1
        self._noted_ids_by_peer: dict[str, frozenset[str]] = {}

    def note_opens(
        self, peer: str, open_by_target: Mapping[str, int], now: int
    ) -> None:
        """Take in how many open requests a peer, or a group, has at each target."""
        noted = self._noted_ids_by_peer.get(peer, frozenset())
        for target_id in noted | open_by_target.keys():
            state = self.states_by_id.get(target_id)
            if state is not None:
                state.note_peer(peer, open_by_target.get(target_id, 0), now)
        self._noted_ids_by_peer[peer] = frozenset(open_by_target)

    def platform_regained(self, now: int) -> None:
        """Note that the platform answers again after it did not."""
        self._lenient_until = now + self._settings.regain_ms

    def replace(self, records_by_id: Mapping[str, LiveTarget], now: int) -> None:
        """Take in a whole list."""
        for record in records_by_id.values():
            self.put(record, now)
        for target_id in set(self.states_by_id) - set(records_by_id):
            self.remove(target_id, now)

    def put(self, record: LiveTarget, now: int) -> None:
        """Take in a target's description of itself."""
        self._missing_until_by_id.pop(record.id, None)
        state = self.states_by_id.get(record.id)
        if state is None or state.record.started != record.started:
            self.states_by_id[record.id] = TargetState(
                record, self._settings.target, now
            )
            self.version += 1
            return
        if state.record._replace(cold_ms=0) != record._replace(cold_ms=0):
            self.version += 1
        state.describe(record, now)

    def remove(self, target_id: str, now: int) -> None:
        """Take in that a target is not listed any more."""
        if target_id not in self.states_by_id:
            return
        if self._lenient_until is not None and now < self._lenient_until:
            self._missing_until_by_id[target_id] = self._lenient_until
            return
        self._drop(target_id)

    def tick(self, now: int) -> list[str]:
        """Drop targets that were missing for too long, and return their ids."""
        gone = [
            target_id
            for target_id, until in self._missing_until_by_id.items()
            if now >= until
        ]
        for target_id in gone:
            del self._missing_until_by_id[target_id]
            self._drop(target_id)
        return gone

    def set_evacuated(
        self, data_centres: Iterable[str], cold_ms_by_service: Mapping[str, int], now
    ) -> None:
        """Take in which data centres get no work; one that returns counts as cold."""
        evacuated = frozenset(data_centres)
        returned = self._evacuated - evacuated
        for state in self.states_by_id.values():
            if state.record.data_centre in returned:
                state.chill(cold_ms_by_service.get(state.record.service, 0), now)
        self._evacuated = evacuated
        self.version += 1

    def is_usable(self, target_id: str) -> bool:
        """Return whether the list lets a target have new work."""
        state = self.states_by_id.get(target_id)
        return state is not None and self._is_listed(state)

    def group(self, service: str, region: str) -> list[TargetState]:
        """Return the targets of a service in a region that may have new work."""
        if self._grouped_version != self.version:
            self._regroup()
        return self._states_by_group.get((service, region), [])

    def slots(self, service: str, region: str) -> int:
        """Return the slots of the targets of such a group."""
        if self._grouped_version != self.version:
            self._regroup()
        return self._slots_by_group.get((service, region), 0)

    def _is_listed(self, state: TargetState) -> bool:
        record = state.record
        return not record.is_draining and record.data_centre not in self._evacuated

    def _regroup(self) -> None:
        self._states_by_group = {}
        self._slots_by_group = {}
        for state in self.states_by_id.values():
            if self._is_listed(state):
                key = (state.record.service, state.record.region)
                self._states_by_group.setdefault(key, []).append(state)
                slots = self._slots_by_group.get(key, 0) + state.record.slots
                self._slots_by_group[key] = slots
        self._grouped_version = self.version

    def _drop(self, target_id: str) -> None:
        self.states_by_id.pop(target_id, None)
        self.version += 1
