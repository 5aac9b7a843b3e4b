"""The targets that the platform lists, grouped by service and region."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from sequoiahook.decisions.direct.target_state import TargetSettings, TargetState
from sequoiahook.world.target import LiveTarget

__all__ = ["TargetRegistry", "TargetRegistrySettings"]


class TargetRegistrySettings(NamedTuple):
    """Settings of the target registry.

    Attributes:
        target: Settings of the state of one target.
        removal_grace_ms: Period after the platform recovers in which targets missing
            from the list are kept, since entries expire while the platform is down.
    """

    target: TargetSettings = TargetSettings()
    removal_grace_ms: int = 2_500


class TargetRegistry:
    """All targets by id.

    Args:
        settings: Settings of the registry.
    """

    def __init__(self, settings: TargetRegistrySettings):
        self.version = 0
        self.states_by_id: dict[str, TargetState] = {}
        self._settings = settings
        self._missing_until_by_id: dict[str, int] = {}
        self._grace_until: int | None = None
        self._evacuated: frozenset[str] = frozenset()
        self._states_by_group: dict[tuple[str, str], list[TargetState]] = {}
        self._slots_by_group: dict[tuple[str, str], int] = {}
        self._accepting: list[TargetState] = []
        self._leaving_ids: list[str] = []
        self._grouped_version = -1
        self._reported_ids_by_peer: dict[str, frozenset[str]] = {}

    def record_open_counts(
        self, peer: str, open_by_target: Mapping[str, int], now: int
    ) -> None:
        """Record the open requests of a peer, or of a group, at each target."""
        reported_ids = self._reported_ids_by_peer.get(peer, frozenset())
        for target_id in reported_ids | open_by_target.keys():
            state = self.states_by_id.get(target_id)
            if state is not None:
                state.record_peer_count(peer, open_by_target.get(target_id, 0), now)
        self._reported_ids_by_peer[peer] = frozenset(open_by_target)

    def on_platform_recovered(self, now: int) -> None:
        """Start the grace period for removals after the platform has recovered."""
        self._grace_until = now + self._settings.removal_grace_ms

    def replace(self, records_by_id: Mapping[str, LiveTarget], now: int) -> None:
        """Apply a complete list of targets."""
        for record in records_by_id.values():
            self.put(record, now)
        for target_id in set(self.states_by_id) - set(records_by_id):
            self.remove(target_id, now)

    def put(self, record: LiveTarget, now: int) -> None:
        """Add or update a target; one that restarted gets a new state."""
        self._missing_until_by_id.pop(record.id, None)
        state = self.states_by_id.get(record.id)
        if state is None or state.record.started_at != record.started_at:
            self.states_by_id[record.id] = TargetState(
                record, self._settings.target, now
            )
            self.version += 1
            return
        if state.record._replace(cold_ms=0) != record._replace(cold_ms=0):
            self.version += 1
        state.update_record(record, now)

    def remove(self, target_id: str, now: int) -> None:
        """Remove a target, or mark it as missing during the grace period."""
        if target_id not in self.states_by_id:
            return
        if self._grace_until is not None and now < self._grace_until:
            self._missing_until_by_id[target_id] = self._grace_until
            return
        self._drop(target_id)

    def tick(self, now: int) -> list[str]:
        """Remove targets whose grace period is over, and return their ids."""
        removed_ids = [
            target_id
            for target_id, keep_until in self._missing_until_by_id.items()
            if now >= keep_until
        ]
        for target_id in removed_ids:
            del self._missing_until_by_id[target_id]
            self._drop(target_id)
        return removed_ids

    def set_evacuated(
        self, data_centres: Iterable[str], cold_ms_by_service: Mapping[str, int], now
    ) -> None:
        """Set the evacuated data centres; targets of one that returns become cold."""
        evacuated = frozenset(data_centres)
        returned = self._evacuated - evacuated
        for state in self.states_by_id.values():
            if state.record.data_centre in returned:
                state.mark_cold(cold_ms_by_service.get(state.record.service, 0), now)
        self._evacuated = evacuated
        self.version += 1

    def mark_leaving(self, target_id: str, started_at: int) -> bool:
        """Use a run of a target no more; return whether it was used until now."""
        state = self.states_by_id.get(target_id)
        if state is None or state.record.started_at != started_at or state.is_leaving:
            return False
        state.is_leaving = True
        self.version += 1
        return True

    def is_usable(self, target_id: str) -> bool:
        """Return whether a target is listed and accepts new requests."""
        state = self.states_by_id.get(target_id)
        return state is not None and self._accepts_requests(state)

    def group(self, service: str, region: str) -> list[TargetState]:
        """Return the targets of a service in a region that accept new requests."""
        if self._grouped_version != self.version:
            self._regroup()
        return self._states_by_group.get((service, region), [])

    def accepting(self) -> list[TargetState]:
        """Return the targets that accept new requests; not to be changed."""
        if self._grouped_version != self.version:
            self._regroup()
        return self._accepting

    def leaving_ids(self) -> list[str]:
        """Return the ids of the other targets; not to be changed."""
        if self._grouped_version != self.version:
            self._regroup()
        return self._leaving_ids

    def slots(self, service: str, region: str) -> int:
        """Return the slots of the targets that `group` returns."""
        if self._grouped_version != self.version:
            self._regroup()
        return self._slots_by_group.get((service, region), 0)

    def _accepts_requests(self, state: TargetState) -> bool:
        record = state.record
        if record.is_draining or state.is_leaving:
            return False
        return record.data_centre not in self._evacuated

    def _regroup(self) -> None:
        self._states_by_group = {}
        self._slots_by_group = {}
        self._accepting, self._leaving_ids = [], []
        for target_id, state in self.states_by_id.items():
            if not self._accepts_requests(state):
                self._leaving_ids.append(target_id)
            else:
                self._accepting.append(state)
                key = (state.record.service, state.record.region)
                self._states_by_group.setdefault(key, []).append(state)
                slots = self._slots_by_group.get(key, 0) + state.record.slots
                self._slots_by_group[key] = slots
        self._grouped_version = self.version

    def _drop(self, target_id: str) -> None:
        self.states_by_id.pop(target_id, None)
        self.version += 1
