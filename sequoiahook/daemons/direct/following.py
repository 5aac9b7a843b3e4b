"""Following the objects of one kind in the platform's store."""

import asyncio
from collections.abc import Sequence
from typing import NamedTuple, Protocol

import logbook

from sequoiahook.clock import MS_PER_S, Clock
from sequoiahook.daemons.direct.object_store import (
    Changes,
    Kind,
    Listing,
    ObjectSource,
)
from sequoiahook.errors import HistoryExpiredError, PlatformError, RelayUnavailableError

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

    def listed(self, listing: Listing, as_of: int) -> None:
        """Take in all objects, as they were at a time."""

    def changed(self, changes: Changes, as_of: int) -> None:
        """Take in all changes until a time."""

    def lost(self) -> None:
        """Note that the store does not answer."""

    def regained(self) -> None:
        """Note that the store answers again after it did not."""


class Follower:
    """Lists a kind, then watches it; lists again when the watch cannot go on.

    Args:
        settings: How the kind is followed.
        source: Where the objects are followed.
        clock: The time.
        observers: Who is told, in order.
    """

    def __init__(
        self,
        settings: FollowerSettings,
        source: ObjectSource,
        clock: Clock,
        observers: Sequence[Observer],
    ):
        self._settings = settings
        self._source = source
        self._clock = clock
        self._observers = observers
        self._revision: int | None = None
        self._is_lost = False

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            try:
                await self._step()
            except HistoryExpiredError:
                self._revision = None
                log.info("history gone", extra={"kind": self._settings.kind.value})
            except RelayUnavailableError as error:
                log.info("relay lost", extra={"error": str(error)})
            except PlatformError as error:
                self._lose(error)
                await asyncio.sleep(self._settings.retry_ms / MS_PER_S)

    async def _step(self) -> None:
        asked_at = self._clock.now()
        kind = self._settings.kind
        if self._revision is None:
            listing = await self._source.list_objects(kind)
            self._regain()
            self._revision = listing.revision
            as_of = self._as_of(listing.age_ms, asked_at)
            for observer in self._observers:
                observer.listed(listing, as_of)
            return
        wait_ms = self._settings.wait_ms
        changes = await self._source.watch(kind, self._revision, wait_ms)
        self._regain()
        self._revision = changes.revision
        as_of = self._as_of(changes.age_ms, asked_at)
        for observer in self._observers:
            observer.changed(changes, as_of)
        if changes.changes:
            await asyncio.sleep(self._settings.gather_ms / MS_PER_S)

    def _as_of(self, age_ms: int | None, asked_at: int) -> int:
        return asked_at if age_ms is None else self._clock.now() - age_ms

    def _lose(self, error: PlatformError) -> None:
        if not self._is_lost:
            fields = {"kind": self._settings.kind.value, "error": str(error)}
            log.warning("store lost", extra=fields)
            for observer in self._observers:
                observer.lost()
        self._is_lost = True

    def _regain(self) -> None:
        if self._is_lost:
            log.info("store regained", extra={"kind": self._settings.kind.value})
            self._is_lost = False
            for observer in self._observers:
                observer.regained()
