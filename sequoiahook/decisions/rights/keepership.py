"""Who keeps what inside a data centre, and when a new keeper may begin."""

import random
from collections.abc import Iterable, Mapping

from sequoiahook.decisions import rendezvous
from sequoiahook.decisions.rights.settings import RightsSettings
from sequoiahook.messages.rights import RightsClaim, RightsYield
from sequoiahook.world.view import DataCentreView

__all__ = ["Keepership"]

CLAIM_RETRY_MS = 100


class Keepership:
    """The views of all data centres, and this instance's claim in its own.

    Args:
        settings: The durations.
        name: Name of this instance.
        data_centre: Data centre of this instance.
        rng: Source of claim ids.
    """

    def __init__(
        self,
        settings: RightsSettings,
        name: str,
        data_centre: str,
        rng: random.Random,
    ):
        self._settings = settings
        self._name = name
        self._data_centre = data_centre
        self._rng = rng
        self._views_by_data_centre: dict[str, DataCentreView] = {}
        self._silent: frozenset[str] = frozenset()
        self._quiet: frozenset[str] = frozenset()
        self._heard_ms_by_name: dict[str, int] = {}
        self._leaving: set[str] = set()
        self._claim_id = 0
        self._is_claimed = True
        self._asked_ms: int | None = None
        self._answered: set[str] = set()
        self._lapses_ms = 0
        self._floor_ms: int | None = None
        self._is_leaving = False
        self._keeper_by_contract: dict[tuple[str, str], str | None] = {}

    @property
    def view(self) -> DataCentreView:
        """The view of the own data centre."""
        return self._views_by_data_centre.get(
            self._data_centre, DataCentreView(self._data_centre, -1, ())
        )

    @property
    def data_centres(self) -> Iterable[str]:
        """Data centres with a known view."""
        return self._views_by_data_centre

    @property
    def is_leaving(self) -> bool:
        """Whether this instance is stopping."""
        return self._is_leaving

    @property
    def is_claimed(self) -> bool:
        """Whether every peer has answered the latest claim."""
        return self._is_claimed

    @property
    def starts_ms(self) -> int:
        """When shares that were not handed over may be used."""
        return max(self._lapses_ms, self._floor_ms or 0)

    def keeper(self, contract: str, data_centre: str) -> str | None:
        """Return the instance that keeps a contract in a data centre."""
        key = (contract, data_centre)
        if key not in self._keeper_by_contract:
            view = self._views_by_data_centre.get(data_centre)
            names = self._eligible(view) if view else ()
            self._keeper_by_contract[key] = rendezvous.winner(contract, names)
        return self._keeper_by_contract[key]

    def would_keep(self, contract: str, claimant: str) -> bool:
        """Return whether a peer that is evidently alive keeps a contract."""
        names = {*self._eligible(self.view), claimant}
        return rendezvous.winner(contract, names) == claimant

    def set_view(self, view: DataCentreView, now: int) -> bool:
        """Take in a view; one with no higher number is ignored.

        Returns:
            Whether the own data centre's view changed.
        """
        old = self._views_by_data_centre.get(view.data_centre)
        if old is not None and view.number <= old.number:
            return False
        self._views_by_data_centre[view.data_centre] = view
        self._keeper_by_contract.clear()
        if view.data_centre != self._data_centre:
            return False
        self._leaving &= set(view.instances)
        if not self._is_claimed:
            self.claim(now)
        gone = set(old.instances) - set(view.instances) if old else set()
        if self._floor_ms is None or gone - self._silent:
            self._floor_ms = now + self._settings.takeover_ms
        return True

    def note_heard(self, name: str, now: int) -> None:
        """Note a message of an instance, which may come before its heartbeat."""
        self._heard_ms_by_name[name] = now
        if name in self._quiet or name in self._silent:
            self._quiet -= {name}
            self._silent -= {name}
            self._keeper_by_contract.clear()

    def set_silent(self, silent_ms_by_name: Mapping[str, int], now: int) -> bool:
        """Take in how long instances have been silent.

        Returns:
            Whether an instance fell silent or is heard from again.
        """
        silent_ms_by_name = {
            name: min(
                silent_ms, now - self._heard_ms_by_name.get(name, now - silent_ms)
            )
            for name, silent_ms in silent_ms_by_name.items()
        }
        quiet = self._longer_than(silent_ms_by_name, self._settings.quiet_ms)
        silent = self._longer_than(silent_ms_by_name, self._settings.takeover_ms)
        is_changed = (quiet, silent) != (self._quiet, self._silent)
        self._quiet = quiet
        self._silent = silent
        if is_changed:
            self._keeper_by_contract.clear()
        return is_changed

    def is_quiet(self, name: str) -> bool:
        """Return whether an instance was not heard from for a while."""
        return name in self._quiet

    def leave(self) -> None:
        """Stop being a keeper."""
        self._is_leaving = True
        self._keeper_by_contract.clear()

    def note_leaving(self, name: str) -> None:
        """Note that a peer stops."""
        self._leaving.add(name)
        self._keeper_by_contract.clear()

    def pause(self, now: int) -> None:
        """Trust nothing of what was known about keepers before a pause."""
        self._floor_ms = now + self._settings.takeover_ms

    def claim(self, now: int) -> None:
        """Begin to ask the peers anew."""
        self._claim_id = self._rng.getrandbits(62)
        self._answered = set()
        self._asked_ms = None
        self._lapses_ms = now
        self._is_claimed = False

    def due_claims(self, now: int) -> list[tuple[str, RightsClaim]]:
        """Return the claims to send now, by destination."""
        if self._is_claimed or not self._is_retry_due(now):
            return []
        missing = self._unanswered()
        if not missing:
            self._is_claimed = True
            return []
        self._asked_ms = now
        body = RightsClaim(self._claim_id, self.view.number, self.view.instances)
        return [(name, body) for name in missing]

    def on_yield(self, source: str, answer: RightsYield, now: int) -> bool:
        """Take in an answer; return whether it counts."""
        if answer.claim_id != self._claim_id or source in self._answered:
            return False
        self._answered.add(source)
        if not answer.is_leaving:
            self._leaving.discard(source)
            self._keeper_by_contract.clear()
        lapse_ms = answer.lapse_ms
        if lapse_ms:
            lapses_ms = now + lapse_ms + self._settings.margin_ms
            self._lapses_ms = max(self._lapses_ms, lapses_ms)
        if not self._unanswered():
            self._is_claimed = True
        return True

    def next_wake(self) -> int | None:
        """Return when a claim is to be repeated."""
        if self._is_claimed:
            return None
        return 0 if self._asked_ms is None else self._asked_ms + CLAIM_RETRY_MS

    def peers(self) -> list[str]:
        """Return the other instances of the data centre that are heard from."""
        names = set(self.view.instances) - self._silent - {self._name}
        return sorted(names)

    def _longer_than(
        self, silent_ms_by_name: Mapping[str, int], limit_ms: int
    ) -> frozenset[str]:
        return frozenset(
            name
            for name, silent_ms in silent_ms_by_name.items()
            if silent_ms >= limit_ms and name != self._name
        )

    def _eligible(self, view: DataCentreView) -> list[str]:
        away = self._silent | self._leaving
        names = [name for name in view.instances if name not in away]
        if self._is_leaving:
            names = [name for name in names if name != self._name]
        return names

    def _unanswered(self) -> list[str]:
        return [name for name in self.peers() if name not in self._answered]

    def _is_retry_due(self, now: int) -> bool:
        return self._asked_ms is None or now >= self._asked_ms + CLAIM_RETRY_MS
