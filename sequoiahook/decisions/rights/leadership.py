"""Leaders of the contracts in each data centre, and takeover by a new leader."""

import random
from collections.abc import Iterable, Mapping

from sequoiahook.decisions import rendezvous
from sequoiahook.decisions.rights.settings import RightsSettings
from sequoiahook.messages.rights import RightsClaim, RightsYield
from sequoiahook.world.view import DataCentreView

__all__ = ["Leadership"]

CLAIM_RETRY_MS = 100


class Leadership:
    """The views of all data centres, and this instance's claim in its own.

    Args:
        settings: Settings of the rights.
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
        self._timed_out: frozenset[str] = frozenset()
        self._unresponsive: frozenset[str] = frozenset()
        self._last_message_at_by_name: dict[str, int] = {}
        self._leaving: set[str] = set()
        self._claim_id = 0
        self._is_claimed = True
        self._claimed_at: int | None = None
        self._answered: set[str] = set()
        self._lapses_at = 0
        self._earliest_start_at: int | None = None
        self._is_leaving = False
        self._leader_by_contract: dict[tuple[str, str], str | None] = {}

    @property
    def view(self) -> DataCentreView:
        """The view of this data centre."""
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
    def starts_at(self) -> int:
        """Time from which shares that were not handed over may be used."""
        return max(self._lapses_at, self._earliest_start_at or 0)

    def leader(self, contract: str, data_centre: str) -> str | None:
        """Return the leader of a contract in a data centre; None if there is none."""
        key = (contract, data_centre)
        if key not in self._leader_by_contract:
            view = self._views_by_data_centre.get(data_centre)
            names = self._eligible(view) if view else ()
            self._leader_by_contract[key] = rendezvous.winner(contract, names)
        return self._leader_by_contract[key]

    def would_lead(self, contract: str, claimant: str) -> bool:
        """Return whether a peer leads a contract, given that it is responsive."""
        names = {*self._eligible(self.view), claimant}
        return rendezvous.winner(contract, names) == claimant

    def set_view(self, view: DataCentreView, now: int) -> bool:
        """Apply a view; one whose number is not higher is ignored.

        Returns:
            Whether the view of this data centre changed.
        """
        old = self._views_by_data_centre.get(view.data_centre)
        if old is not None and view.number <= old.number:
            return False
        self._views_by_data_centre[view.data_centre] = view
        self._leader_by_contract.clear()
        if view.data_centre != self._data_centre:
            return False
        self._leaving &= set(view.instances)
        if not self._is_claimed:
            self.claim(now)
        removed = set(old.instances) - set(view.instances) if old else set()
        if self._earliest_start_at is None or removed - self._timed_out:
            self._earliest_start_at = now + self._settings.takeover_ms
        return True

    def record_message(self, name: str, now: int) -> None:
        """Record a message of an instance, which may arrive before its heartbeat."""
        self._last_message_at_by_name[name] = now
        if name in self._unresponsive or name in self._timed_out:
            self._unresponsive -= {name}
            self._timed_out -= {name}
            self._leader_by_contract.clear()

    def record_report_ages(
        self, report_age_ms_by_name: Mapping[str, int], now: int
    ) -> bool:
        """Record the time since the last report of instances, in milliseconds.

        Returns:
            Whether an instance became unresponsive, timed out or reports again.
        """
        report_age_ms_by_name = {
            name: min(
                age_ms,
                now - self._last_message_at_by_name.get(name, now - age_ms),
            )
            for name, age_ms in report_age_ms_by_name.items()
        }
        unresponsive = self._exceeding(
            report_age_ms_by_name, self._settings.unresponsive_ms
        )
        timed_out = self._exceeding(report_age_ms_by_name, self._settings.takeover_ms)
        is_changed = (unresponsive, timed_out) != (self._unresponsive, self._timed_out)
        self._unresponsive = unresponsive
        self._timed_out = timed_out
        if is_changed:
            self._leader_by_contract.clear()
        return is_changed

    def is_unresponsive(self, name: str) -> bool:
        """Return whether an instance has not reported within unresponsive_ms."""
        return name in self._unresponsive

    def leave(self) -> None:
        """Resign as leader."""
        self._is_leaving = True
        self._leader_by_contract.clear()

    def record_leaving(self, name: str) -> None:
        """Record that a peer is stopping."""
        self._leaving.add(name)
        self._leader_by_contract.clear()

    def pause(self, now: int) -> None:
        """Delay new shares by takeover_ms, as leaders may have changed in a pause."""
        self._earliest_start_at = now + self._settings.takeover_ms

    def claim(self, now: int) -> None:
        """Start a new claim, which every peer has to answer."""
        self._claim_id = self._rng.getrandbits(62)
        self._answered = set()
        self._claimed_at = None
        self._lapses_at = now
        self._is_claimed = False

    def due_claims(self, now: int) -> list[tuple[str, RightsClaim]]:
        """Return the claims to send now, with their destinations."""
        if self._is_claimed or not self._is_retry_due(now):
            return []
        missing = self._unanswered()
        if not missing:
            self._is_claimed = True
            return []
        self._claimed_at = now
        body = RightsClaim(self._claim_id, self.view.number, self.view.instances)
        return [(name, body) for name in missing]

    def on_yield(self, source: str, answer: RightsYield, now: int) -> bool:
        """Apply the answer to a claim; return False for a repeated or outdated one."""
        if answer.claim_id != self._claim_id or source in self._answered:
            return False
        self._answered.add(source)
        if not answer.is_leaving:
            self._leaving.discard(source)
            self._leader_by_contract.clear()
        lapse_ms = answer.lapse_ms
        if lapse_ms:
            lapses_at = now + lapse_ms + self._settings.margin_ms
            self._lapses_at = max(self._lapses_at, lapses_at)
        if not self._unanswered():
            self._is_claimed = True
        return True

    def next_wake(self) -> int | None:
        """Return when the claim is to be sent or repeated; None if it is answered."""
        if self._is_claimed:
            return None
        return 0 if self._claimed_at is None else self._claimed_at + CLAIM_RETRY_MS

    def peers(self) -> list[str]:
        """Return the other instances of the data centre that have not timed out."""
        names = set(self.view.instances) - self._timed_out - {self._name}
        return sorted(names)

    def _exceeding(
        self, report_age_ms_by_name: Mapping[str, int], limit_ms: int
    ) -> frozenset[str]:
        return frozenset(
            name
            for name, age_ms in report_age_ms_by_name.items()
            if age_ms >= limit_ms and name != self._name
        )

    def _eligible(self, view: DataCentreView) -> list[str]:
        excluded = self._timed_out | self._leaving
        names = [name for name in view.instances if name not in excluded]
        if self._is_leaving:
            names = [name for name in names if name != self._name]
        return names

    def _unanswered(self) -> list[str]:
        return [name for name in self.peers() if name not in self._answered]

    def _is_retry_due(self, now: int) -> bool:
        return self._claimed_at is None or now >= self._claimed_at + CLAIM_RETRY_MS
