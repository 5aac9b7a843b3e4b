"""Loading of the newest known root until it can be applied."""

from collections.abc import Iterator

from sequoiahook.decisions.configuration.current import CurrentConfiguration
from sequoiahook.decisions.configuration.piece_fetcher import PieceFetcher
from sequoiahook.decisions.configuration.pieces import (
    PIECE_PREFIX,
    missing_pieces,
    piece_from_value,
    piece_object_name,
)
from sequoiahook.decisions.configuration.rollout_effects import Apply, Reject
from sequoiahook.decisions.configuration.rollout_settings import RolloutSettings
from sequoiahook.decisions.configuration.root import Root
from sequoiahook.decisions.platform_calls import CallAnswer, ObjectRead
from sequoiahook.errors import CheckError, Finding

__all__ = ["RootLoader"]


class RootLoader:
    """Gathers the pieces of the highest known root and applies it.

    A root whose pieces stop arriving is abandoned.

    Args:
        current: The configuration in force.
        settings: Timeouts of requests and of a stalled root.
        ids: Source of call ids.

    Attributes:
        source: Source of the configuration in force, an instance or PLATFORM.
        was_abandoned: Whether a root was abandoned because its pieces could not be
            fetched; the caller resets it.
    """

    def __init__(
        self,
        current: CurrentConfiguration,
        settings: RolloutSettings,
        ids: Iterator[int],
    ):
        self._current = current
        self._fetcher = PieceFetcher(settings, ids)
        self._rejected_number = 0
        self._reported_digests: set[str] = set()
        self.source = ""
        self.was_abandoned = False

    def next_wake(self) -> int | None:
        """Return when to call :meth:`load`; None if no request is open."""
        return self._fetcher.next_wake()

    def is_eligible(self, number: int) -> bool:
        """Return whether a number is above the ones in force and last rejected."""
        return number > max(self._current.number, self._rejected_number)

    def add_source(self, root: Root, source: str) -> None:
        """Add a source, an instance or PLATFORM, of the pieces of a root."""
        if self.is_eligible(root.number):
            self._fetcher.add_source(root, source)

    def is_loading(self, number: int, source: str) -> bool:
        """Return whether a root of this number or a higher one is being loaded.

        If it is this number, the instance is added as a source of its pieces.
        """
        root = self._fetcher.root
        if root is None:
            return False
        if root.number == number:
            self._fetcher.add_source(root, source)
        return root.number >= number

    def add_pieces(self, pieces: tuple[tuple[str, bytes], ...]) -> list[Reject]:
        """Add pieces; report those that do not match their digests."""
        return self._report_mismatches(self._current.add_pieces(pieces))

    def on_pieces(
        self, pieces: tuple[tuple[str, bytes], ...], now: int, is_booting: bool
    ) -> list:
        """Handle pieces from an instance; ignore them if no root is being loaded."""
        if self._fetcher.root is None:
            return []
        count_before = len(self._current.pieces_by_digest)
        effects = self.add_pieces(pieces)
        is_progress = len(self._current.pieces_by_digest) > count_before
        return effects + self.load(now, is_booting, is_progress=is_progress)

    def on_answer(self, answer: CallAnswer, now: int, is_booting: bool) -> list:
        """Handle the answer to a read of a piece; ignore other answers."""
        call = self._fetcher.finish_call(answer.call_id)
        if call is None or not isinstance(answer, ObjectRead) or not answer.version:
            return []
        digest = call.name.removeprefix(PIECE_PREFIX)
        piece = piece_from_value(digest, answer.value)
        if piece is None:
            return self._report_mismatches([digest])
        self._current.add_pieces([(digest, piece)])
        return self.load(now, is_booting, is_progress=True)

    def load(self, now: int, is_booting: bool, *, is_progress: bool = False) -> list:
        """Request the missing pieces of the root, or apply it if it is complete.

        Args:
            now: The time in milliseconds.
            is_booting: Whether to delay applying it, since a higher number may come.
            is_progress: Whether a piece has just arrived.
        """
        root = self._fetcher.root
        if root is None:
            return []
        missing = missing_pieces(root.pieces_by_name, self._current.pieces_by_digest)
        if missing:
            return self._fetch(missing, is_progress, now)
        if is_booting:
            self._fetcher.pause()
            return []
        return self._apply(root)

    def _fetch(self, missing: list[str], is_progress: bool, now: int) -> list:
        if not is_progress and self._fetcher.is_stalled(now):
            self._fetcher.stop()
            self.was_abandoned = True
            return []
        wants_below = not self._current.number
        return self._fetcher.request(
            missing, now, wants_below=wants_below, is_progress=is_progress
        )

    def _apply(self, root: Root) -> list[Apply | Reject]:
        self.source = self._fetcher.source
        self._fetcher.stop()
        self._reported_digests.clear()
        try:
            self._current.apply(root)
        except CheckError as error:
            self._rejected_number = root.number
            self._current.drop_unused()
            return [Reject(root.number, error.findings)]
        return [Apply(root.number, self._current.document, self._current.configuration)]

    def _report_mismatches(self, digests: list[str]) -> list[Reject]:
        """Report pieces that do not match their digests, each digest once."""
        new_digests = sorted(set(digests) - self._reported_digests)
        if not new_digests:
            return []
        self._reported_digests.update(new_digests)
        problem = "does not match its digest"
        findings = [
            Finding(piece_object_name(digest), problem) for digest in new_digests
        ]
        return [Reject(0, tuple(findings))]
