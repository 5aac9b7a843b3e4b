"""Gathers the pieces of the newest root from instances and the platform."""

from collections.abc import Iterator

from sequoiahook.decisions.call_queue import CallQueue
from sequoiahook.decisions.configuration.rollout_settings import RolloutSettings
from sequoiahook.decisions.configuration.root import Root
from sequoiahook.decisions.configuration.store import piece_object_name
from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.platform_calls import PlatformCall, ReadObject
from sequoiahook.messages.configuration import PieceRequest

__all__ = ["PLATFORM", "PieceFetcher"]

PLATFORM = ""
CALLS_AT_ONCE = 8
LATE_CALLS_MAX = 64
DIGESTS_AT_ONCE = 64


class PieceFetcher:
    """Asks one source after the other until no piece is missing.

    Args:
        settings: When to turn to the next source, and when to give up.
        ids: Source of call ids.

    Attributes:
        root: The root that is sought; None if nothing is.
    """

    def __init__(self, settings: RolloutSettings, ids: Iterator[int]):
        self._settings = settings
        self._calls = CallQueue(CALLS_AT_ONCE, ids, LATE_CALLS_MAX)
        self.root: Root | None = None
        self._sources: list[str] = []
        self._ask_again_at: int | None = None
        self._progress_at: int | None = None

    @property
    def source(self) -> str:
        """The source that is asked now, or was asked last."""
        return self._sources[0]

    def offer(self, root: Root, source: str) -> None:
        """Take that a source, an instance or PLATFORM, has a root's pieces."""
        if self.root is None or root.number > self.root.number:
            self.stop()
            self.root = root
        if root.number == self.root.number and source not in self._sources:
            self._sources.append(source)

    def stop(self) -> None:
        """Seek nothing."""
        self.root = None
        self._sources = []
        self._ask_again_at = None
        self._progress_at = None
        self._calls.clear()

    def is_hopeless(self, now: int) -> bool:
        """Return whether no piece has come for so long that the root is dropped.

        Another root, perhaps a lower one whose pieces can be had, is sought then.
        """
        return self._progress_at is not None and (
            now >= self._progress_at + self._settings.hopeless_ms
        )

    def rest(self) -> None:
        """Ask nothing more for now, since no piece is missing."""
        self._ask_again_at = None

    def next_wake(self) -> int | None:
        """Return when to ask again; None if nothing is sought."""
        return self._ask_again_at

    def take(self, call_id: int) -> PlatformCall | None:
        """Remove a platform call of this part that was answered."""
        return self._calls.remove(call_id)

    def ask(
        self,
        missing: list[str],
        now: int,
        *,
        wants_below: bool = False,
        is_progress: bool = False,
    ) -> list:
        """Ask for missing pieces, unless a question is still open.

        Args:
            missing: Digests that are missing now.
            now: The time in milliseconds.
            wants_below: Whether to ask instances for the pieces below, too.
            is_progress: Whether pieces have just come, so that the same source is
                asked for further ones at once.
        """
        if is_progress or self._progress_at is None:
            self._progress_at = now
        if not is_progress and not self._is_due(now):
            return self._calls.start_due()
        if not is_progress:
            self._turn()
        self._ask_again_at = now + self._timeout_ms()
        if not self._calls.is_idle:
            return self._calls.start_due()
        return self._ask(missing[:DIGESTS_AT_ONCE], wants_below)

    def _is_due(self, now: int) -> bool:
        return self._ask_again_at is None or now >= self._ask_again_at

    def _turn(self) -> None:
        """Turn to the next source, after the first time."""
        self._calls.expire()
        if self._ask_again_at is not None:
            self._sources.append(self._sources.pop(0))

    def _timeout_ms(self) -> int:
        if self.source == PLATFORM:
            return self._settings.call_timeout_ms
        return self._settings.request_timeout_ms

    def _ask(self, digests: list[str], wants_below: bool) -> list:
        if self.source != PLATFORM:
            return [Send(self.source, PieceRequest(tuple(digests), wants_below))]
        for digest in digests:
            self._calls.add(ReadObject, piece_object_name(digest))
        return self._calls.start_due()
