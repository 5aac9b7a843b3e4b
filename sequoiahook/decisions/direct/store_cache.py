"""A cache of the store's objects of one kind, from which peers are served."""

from collections import deque
from typing import Any, NamedTuple

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
    revision: int
    objects: tuple[CachedObject, ...]


class StoreCache:
    """All objects of a kind, with the recent changes.

    Revisions are those of the store, so they are the same on every instance. They go
    back if the store returns from a copy; revisions above its own are then unknown.
    """

    def __init__(self):
        self.revision: int | None = None
        self.confirmed_at: int | None = None
        self._history_start = 0
        self._unknown_until = 0
        self._documents_by_name: dict[str, Any] = {}
        self._batches: deque[_Batch] = deque()

    def replace(
        self, objects: tuple[CachedObject, ...], revision: int, confirmed_at: int
    ) -> None:
        """Replace all objects by a list that the store confirmed at a time."""
        self._documents_by_name = {o.name: o.document for o in objects}
        self._batches.clear()
        if self.revision is not None and revision < self.revision:
            self._unknown_until = max(self._unknown_until, self.revision)
        self._history_start = self.revision = revision
        self.confirmed_at = confirmed_at

    def apply_changes(
        self, objects: tuple[CachedObject, ...], revision: int, confirmed_at: int
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

    def changes_after(self, revision: int) -> tuple[CachedObject, ...] | None:
        """Return all changes after a revision, in order; None if not available.

        There are none after a revision newer than that of the cache. Changes that were
        received in one batch with later ones may be repeated.
        """
        if self.revision is None or revision < self._history_start:
            return None
        if self.revision < revision <= self._unknown_until:
            return None
        return tuple(
            cached
            for batch in self._batches
            if batch.revision > revision
            for cached in batch.objects
        )
