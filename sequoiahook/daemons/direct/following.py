"""Following the objects of one kind in the platform's store."""

import asyncio
from typing import NamedTuple, Protocol

import logbook

from sequoiahook.clock import MS_PER_S, Clock
from sequoiahook.daemons.direct.object_store import (
    Changes,
    Kind,
    Listing,
    ObjectStore,
)
from sequoiahook.errors import HistoryGoneError, PlatformError

__all__ = ["Follower", "FollowerSettings", "Observer"]

log = logbook.Logger("store")


class FollowerSettings(NamedTuple):
    """How a kind is followed.

    Attributes:
        kind: The kind.
        wait_ms: How long a watch waits for a change.
        retry_ms: Pause after a call that failed.
        gather_ms: Pause after a change, so that changes that come together cost one
            call.
    """

    kind: Kind
    wait_ms: int
    retry_ms: int
    gather_ms: int


class Observer(Protocol):
    """Who is told of the objects."""

    def listed(self, listing: Listing, asked_at: int) -> None:
        """Take in all objects, as they were after a time."""

    def changed(self, changes: Changes, asked_at: int) -> None:
        """Take in changes; without any, all is as it was at a time."""

    def regained(self) -> None:
        """Note that the store answers again after it did not."""


class Follower:
    """Lists a kind, then watches it; lists again when the watch cannot go on.

    Args:
        settings: How the kind is followed.
        store: The store.
        clock: The time.
        observer: Who is told.
    """

    def __init__(
        self,
        settings: FollowerSettings,
        store: ObjectStore,
        clock: Clock,
        observer: Observer,
    ):
        self._settings = settings
        self._store = store
        self._clock = clock
        self._observer = observer
        self._revision: int | None = None
        self._is_lost = False

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            try:
                await self._step()
            except HistoryGoneError:
                self._revision = None
                log.info("history gone", extra={"kind": self._settings.kind.value})
            except PlatformError as error:
                self._lose(error)
                await asyncio.sleep(self._settings.retry_ms / MS_PER_S)

    async def _step(self) -> None:
        asked_at = self._clock.now()
        kind = self._settings.kind
        if self._revision is None:
            listing = await self._store.list(kind)
            self._regain()
            self._revision = listing.revision
            self._observer.listed(listing, asked_at)
            return
        changes = await self._store.watch(kind, self._revision, self._settings.wait_ms)
        self._regain()
        self._revision = changes.revision
        self._observer.changed(changes, asked_at)
        if changes.changes:
            await asyncio.sleep(self._settings.gather_ms / MS_PER_S)

    def _lose(self, error: PlatformError) -> None:
        if not self._is_lost:
            fields = {"kind": self._settings.kind.value, "error": str(error)}
            log.warn("store lost", extra=fields)
        self._is_lost = True

    def _regain(self) -> None:
        if self._is_lost:
            log.info("store regained", extra={"kind": self._settings.kind.value})
            self._is_lost = False
            self._observer.regained()
