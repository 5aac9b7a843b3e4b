"""Fetching of the pieces of a root from instances and the platform."""

from collections.abc import Iterator

from sequoiahook.decisions.call_queue import CallQueue
from sequoiahook.decisions.configuration.pieces import piece_object_name
from sequoiahook.decisions.configuration.rollout_settings import RolloutSettings
from sequoiahook.decisions.configuration.root import Root
from sequoiahook.decisions.effects import Send
from sequoiahook.decisions.platform_calls import PlatformCall, ReadObject
from sequoiahook.messages.configuration import PieceRequest

__all__ = ["PLATFORM", "PieceFetcher"]

PLATFORM = ""
"""Source that stands for the platform; other sources are names of instances."""
CALLS_MAX = 8
LATE_CALLS_MAX = 64
DIGESTS_PER_REQUEST = 64


class PieceFetcher:
    """Requests pieces from one source after another until none is missing.

    Args:
        settings: Timeouts of requests and of a stalled root.
        ids: Source of call ids.

    Attributes:
        root: The root whose pieces are fetched; None if there is none.
    """

    def __init__(self, settings: RolloutSettings, ids: Iterator[int]):
        self._settings = settings
        self._calls = CallQueue(CALLS_MAX, ids, LATE_CALLS_MAX)
        self.root: Root | None = None
        self._sources: list[str] = []
        self._retry_at: int | None = None
        self._progress_at: int | None = None

    @property
    def source(self) -> str:
        """Source of the current request, or of the last one."""
        return self._sources[0]

    def add_source(self, root: Root, source: str) -> None:
        """Add a source, an instance or PLATFORM; a higher root replaces the current."""
        if self.root is None or root.number > self.root.number:
            self.stop()
            self.root = root
        if root.number == self.root.number and source not in self._sources:
            self._sources.append(source)

    def stop(self) -> None:
        """Forget the root and its sources, and abandon open calls."""
        self.root = None
        self._sources = []
        self._retry_at = None
        self._progress_at = None
        self._calls.clear()

    def is_stalled(self, now: int) -> bool:
        """Return whether no piece has arrived for the stall timeout.

        The root should be abandoned then, so that another one, perhaps a lower one
        whose pieces are available, can be loaded.
        """
        return self._progress_at is not None and (
            now >= self._progress_at + self._settings.stall_timeout_ms
        )

    def pause(self) -> None:
        """Cancel the retry, since no piece is missing."""
        self._retry_at = None

    def next_wake(self) -> int | None:
        """Return when the open request times out; None if there is none."""
        return self._retry_at

    def finish_call(self, call_id: int) -> PlatformCall | None:
        """Remove and return an answered call; None if the id is not known here."""
        return self._calls.remove(call_id)

    def request(
        self,
        missing: list[str],
        now: int,
        *,
        wants_below: bool = False,
        is_progress: bool = False,
    ) -> list:
        """Request missing pieces, unless a request is still open.

        Args:
            missing: Digests of the missing pieces.
            now: The time in milliseconds.
            wants_below: Whether instances should add the pieces below them.
            is_progress: Whether pieces have just arrived, so that the same source
                gets the next request at once.
        """
        if is_progress or self._progress_at is None:
            self._progress_at = now
        if not is_progress and not self._is_due(now):
            return self._calls.start_due()
        if not is_progress:
            self._next_source()
        self._retry_at = now + self._timeout_ms()
        if not self._calls.is_idle:
            return self._calls.start_due()
        return self._send_request(missing[:DIGESTS_PER_REQUEST], wants_below)

    def _is_due(self, now: int) -> bool:
        return self._retry_at is None or now >= self._retry_at

    def _next_source(self) -> None:
        """Select the next source, except for the first request."""
        self._calls.expire()
        if self._retry_at is not None:
            self._sources.append(self._sources.pop(0))

    def _timeout_ms(self) -> int:
        if self.source == PLATFORM:
            return self._settings.call_timeout_ms
        return self._settings.request_timeout_ms

    def _send_request(self, digests: list[str], wants_below: bool) -> list:
        if self.source != PLATFORM:
            return [Send(self.source, PieceRequest(tuple(digests), wants_below))]
        for digest in digests:
            self._calls.add(ReadObject, piece_object_name(digest))
        return self._calls.start_due()
