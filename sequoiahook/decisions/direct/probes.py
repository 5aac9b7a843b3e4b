"""Choice of targets to which connections are opened only to see whether they can be."""

from collections.abc import Iterable
from typing import NamedTuple

from sequoiahook.decisions.direct.target_registry import TargetRegistry
from sequoiahook.decisions.direct.target_state import TargetState
from sequoiahook.world.instance import LiveInstance

__all__ = ["ProbeSettings", "Probes"]


class ProbeSettings(NamedTuple):
    """Limits of the probes.

    Attributes:
        interval_ms: Time between two rounds of probes.
        round_max: Most probes of one round.
        asked_max: Most targets of other instances' queries that are probed in a round.
    """

    interval_ms: int = 250
    round_max: int = 4
    asked_max: int = 2


class Probes:
    """Targets to probe, in turn over the data centres.

    Args:
        settings: The limits.
        me: This instance.
        targets: The targets.
    """

    def __init__(
        self, settings: ProbeSettings, me: LiveInstance, targets: TargetRegistry
    ):
        self._settings = settings
        self._me = me
        self._targets = targets
        self._open_ids: set[str] = set()
        self._asked_ids: list[str] = []
        self._round_at: int | None = None
        self._turn = 0

    @property
    def is_asked(self) -> bool:
        """Whether targets of other instances' queries are to be probed."""
        return bool(self._asked_ids)

    def data_centres(self) -> set[str]:
        """Return the data centres with usable targets."""
        return set(self._ids_by_data_centre())

    def ask(self, target_ids: Iterable[str]) -> None:
        """Probe some of the given targets for an instance that cannot reach them."""
        if not self._asked_ids:
            self._asked_ids = list(target_ids)[: self._settings.asked_max]

    def asked(self, now: int) -> list[TargetState]:
        """Return the targets to probe for other instances."""
        if not self._asked_ids or not self._start_round(now):
            return []
        asked_ids, self._asked_ids = self._asked_ids, []
        return self._open(asked_ids)

    def next_in_turn(self, now: int) -> list[TargetState]:
        """Return one target, of another data centre each time."""
        if not self._start_round(now):
            return []
        return self._open_next(self._ids_by_data_centre())

    def uncovered(self, covered: set[str], now: int) -> list[TargetState]:
        """Return targets of data centres that are not covered; one if all are."""
        if not self._start_round(now):
            return []
        ids_by_data_centre = self._ids_by_data_centre()
        uncovered = ids_by_data_centre.keys() - covered
        if not uncovered:
            return self._open_next(ids_by_data_centre)
        names = self._own_first(uncovered)[: self._settings.round_max]
        return self._open([self._pick(ids_by_data_centre[name]) for name in names])

    def record_ended(self, target_id: str) -> None:
        """Record that a probe has ended."""
        self._open_ids.discard(target_id)

    def _start_round(self, now: int) -> bool:
        last = self._round_at
        if last is not None and now - last < self._settings.interval_ms:
            return False
        self._round_at = now
        self._turn += 1
        return True

    def _open_next(self, ids_by_data_centre: dict[str, list[str]]) -> list[TargetState]:
        if not ids_by_data_centre:
            return []
        names = self._own_first(ids_by_data_centre)
        name = names[self._turn % len(names)]
        return self._open([self._pick(ids_by_data_centre[name])])

    def _open(self, target_ids: Iterable[str]) -> list[TargetState]:
        known = self._targets.states_by_id
        new_ids = [i for i in target_ids if i in known and i not in self._open_ids]
        self._open_ids.update(new_ids)
        return [known[target_id] for target_id in new_ids]

    def _ids_by_data_centre(self) -> dict[str, list[str]]:
        ids_by_data_centre: dict[str, list[str]] = {}
        for target_id, state in self._targets.states_by_id.items():
            if self._targets.is_usable(target_id):
                ids = ids_by_data_centre.setdefault(state.record.data_centre, [])
                ids.append(target_id)
        return ids_by_data_centre

    def _own_first(self, names: Iterable[str]) -> list[str]:
        return sorted(names, key=lambda name: (name != self._me.data_centre, name))

    def _pick(self, target_ids: list[str]) -> str:
        return target_ids[self._turn // 2 % len(target_ids)]
