"""Following the objects of one kind in the platform's store."""

import asyncio
from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

import logbook

from sequoiahook.clock import MS_PER_S, Clock
from sequoiahook.daemons.direct.object_store import (
    Changes,
    Kind,
    Listing,
    ObjectSource,
)
from sequoiahook.decisions.direct.revisions import Revision
from sequoiahook.errors import HistoryExpiredError, PlatformError, RelayUnavailableError

__all__ = ["Follower", "FollowerSettings", "Observer"]

log = logbook.Logger("store")


class FollowerSettings(NamedTuple):
    """Settings of a follower.

    Attributes:
        kind: The kind of objects to follow.
        wait_ms: How long a watch waits for a change, in milliseconds.
        retry_ms: Pause after a failed call, in milliseconds.
        batch_ms: Pause after a change, in milliseconds, so that changes made together
            cost one call.
    """

    kind: Kind
    wait_ms: int
    retry_ms: int
    batch_ms: int


class Observer(Protocol):
    """Receiver of a follower's listings and changes.

    ``as_of`` is a reading of the clock, in milliseconds.
    """

    def on_listed(self, listing: Listing, as_of: int) -> None:
        """Replace all objects by a listing that was current at ``as_of``."""

    def on_changed(self, changes: Changes, as_of: int) -> None:
        """Apply changes, which were complete at ``as_of``."""

    def on_store_lost(self) -> None:
        """React to a store that no longer answers."""

    def on_store_regained(self) -> None:
        """React to a store that answers again."""


class Follower:
    """Lists a kind, then watches it; lists again when the watch cannot continue.

    Args:
        settings: Settings of the follower.
        source: Source of the objects.
        clock: The clock.
        observers: Receivers of listings and changes, called in this order.
        is_urgent: Returns whether the state of the store is awaited. A watch then does
            not wait for a change.
    """

    def __init__(
        self,
        settings: FollowerSettings,
        source: ObjectSource,
        clock: Clock,
        observers: Sequence[Observer],
        is_urgent: Callable[[], bool] = lambda: False,
    ):
        self._settings = settings
        self._source = source
        self._clock = clock
        self._observers = observers
        self._is_urgent = is_urgent
        self._revision: Revision | None = None
        self._requested_at = 0
        self._is_lost = False

    async def run(self) -> None:
        """Follow the kind until cancelled."""
        while True:
            self._requested_at = self._clock.now()
            try:
                await self._step()
            except HistoryExpiredError:
                log.info("history gone", extra=self._read_fields())
                self._revision = None
            except RelayUnavailableError as error:
                fields = {**self._read_fields(), "error": str(error)}
                log.info("relay unavailable", extra=fields)
            except PlatformError as error:
                self._notify_lost(error)
                await asyncio.sleep(self._settings.retry_ms / MS_PER_S)

    async def _step(self) -> None:
        kind = self._settings.kind
        if self._revision is None:
            listing = await self._source.list_objects(kind)
            self._notify_regained()
            self._revision = listing.revision
            as_of = self._as_of(listing.age_ms)
            for observer in self._observers:
                observer.on_listed(listing, as_of)
            return
        wait_ms = 0 if self._is_urgent() else self._settings.wait_ms
        changes = await self._source.watch(kind, self._revision, wait_ms)
        self._notify_regained()
        self._revision = changes.revision
        as_of = self._as_of(changes.age_ms)
        for observer in self._observers:
            observer.on_changed(changes, as_of)
        if changes.changes or not wait_ms:
            await asyncio.sleep(self._settings.batch_ms / MS_PER_S)

    def _as_of(self, age_ms: int | None) -> int:
        return self._requested_at if age_ms is None else self._clock.now() - age_ms

    def _read_fields(self) -> dict[str, str | int | None]:
        """Return what identifies a read that failed, for the log."""
        return {
            "kind": self._settings.kind.value,
            "revision": self._revision,
            "waited_ms": self._clock.now() - self._requested_at,
        }

    def _notify_lost(self, error: PlatformError) -> None:
        if not self._is_lost:
            fields = {**self._read_fields(), "error": str(error)}
            log.warning("store unavailable", extra=fields)
            for observer in self._observers:
                observer.on_store_lost()
        self._is_lost = True

    def _notify_regained(self) -> None:
        if self._is_lost:
            log.info("store available again", extra={"kind": self._settings.kind.value})
            self._is_lost = False
            for observer in self._observers:
                observer.on_store_regained()
