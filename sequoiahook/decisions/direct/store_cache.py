"""A cache of the store's objects of one kind, from which peers are served."""

from collections import deque
from typing import Any, NamedTuple

from sequoiahook.decisions.direct.revisions import Revision

__all__ = ["CachedObject", "StoreCache"]

BATCHES_MAX = 500


class CachedObject(NamedTuple):
    """An object of the store, or its deletion.

    Attributes:
        name: Name of the object.
        document: Complete object as the store encoded it.
        is_deleted: Whether it was deleted.
    """

    name: str
    document: Any
    is_deleted: bool = False


class _Batch(NamedTuple):
    revision: Revision
    objects: tuple[CachedObject, ...]


class StoreCache:
    """All objects of a kind, with the recent changes.

    Revisions are those of the store, so they are the same on every instance.

    Attributes:
        revision: Revision of the objects; None before the first list.
        confirmed_at: Time at which the store last confirmed them, in milliseconds; None
            before the first list.
        has_changed_era: Whether lists of several eras of the store were received.
    """

    def __init__(self):
        self.revision: Revision | None = None
        self.confirmed_at: int | None = None
        self.has_changed_era = False
        self._history_start: Revision | None = None
        self._documents_by_name: dict[str, Any] = {}
        self._batches: deque[_Batch] = deque()

    def replace(
        self, objects: tuple[CachedObject, ...], revision: Revision, confirmed_at: int
    ) -> None:
        """Replace all objects by a list that the store confirmed at a time."""
        self._documents_by_name = {o.name: o.document for o in objects}
        self._batches.clear()
        if self.revision is not None and revision.era != self.revision.era:
            self.has_changed_era = True
        self._history_start = self.revision = revision
        self.confirmed_at = confirmed_at

    def apply_changes(
        self, objects: tuple[CachedObject, ...], revision: Revision, confirmed_at: int
    ) -> None:
        """Apply changes, in order."""
        for cached in objects:
            if cached.is_deleted:
                self._documents_by_name.pop(cached.name, None)
            else:
                self._documents_by_name[cached.name] = cached.document
        if objects:
            self._batches.append(_Batch(revision, objects))
        if len(self._batches) > BATCHES_MAX:
            self._history_start = self._batches.popleft().revision
        self.revision = revision
        self.confirmed_at = max(confirmed_at, self.confirmed_at or confirmed_at)

    def all_objects(self) -> tuple[CachedObject, ...]:
        """Return all objects."""
        return tuple(
            CachedObject(name, document)
            for name, document in self._documents_by_name.items()
        )

    def changes_after(self, revision: Revision) -> tuple[CachedObject, ...] | None:
        """Return all changes after a revision, in order; None if not available.

        There are none after a revision newer than that of the cache. Changes that were
        received in one batch with later ones may be repeated.
        """
        if self.revision is None or revision.era != self.revision.era:
            return None
        if revision < self._history_start:
            return None
        return tuple(
            cached
            for batch in self._batches
            if batch.revision > revision
            for cached in batch.objects
        )
