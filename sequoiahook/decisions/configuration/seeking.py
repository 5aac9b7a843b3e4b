"""Gathers the newest root that is known of, and puts it into force."""

from collections.abc import Iterator

from sequoiahook.decisions.configuration.fetching import PieceFetcher
from sequoiahook.decisions.configuration.held import HeldConfiguration
from sequoiahook.decisions.configuration.rollout_effects import Apply, Reject
from sequoiahook.decisions.configuration.rollout_settings import RolloutSettings
from sequoiahook.decisions.configuration.root import Root
from sequoiahook.decisions.configuration.store import (
    PIECE_PREFIX,
    missing_pieces,
    piece_object_name,
    piece_of,
)
from sequoiahook.decisions.platform_calls import CallAnswer, ObjectRead
from sequoiahook.errors import CheckError, Finding

__all__ = ["RootSeeker"]


class RootSeeker:
    """Seeks the highest root that was offered until it is in force or hopeless.

    Args:
        held: The configuration in force.
        settings: When to turn to the next source, and when to give up.
        ids: Source of call ids.

    Attributes:
        source: Where the configuration in force came from.
        was_dropped: Whether a root was dropped because its pieces could not be had;
            the owner sets it back.
    """

    def __init__(
        self, held: HeldConfiguration, settings: RolloutSettings, ids: Iterator[int]
    ):
        self._held = held
        self._fetcher = PieceFetcher(settings, ids)
        self._rejected_number = 0
        self._reported_digests: set[str] = set()
        self.source = ""
        self.was_dropped = False

    def next_wake(self) -> int | None:
        """Return when to seek again; None if nothing is sought."""
        return self._fetcher.next_wake()

    def is_wanted(self, number: int) -> bool:
        """Return whether a number is above the one in force and not rejected."""
        return number > max(self._held.number, self._rejected_number)

    def offer(self, root: Root, source: str) -> None:
        """Take that a source, an instance or PLATFORM, has a root's pieces."""
        if self.is_wanted(root.number):
            self._fetcher.offer(root, source)

    def is_known(self, number: int, source: str) -> bool:
        """Return whether a root of this number, or a higher one, is sought already.

        The instance that names the number becomes a source of its pieces.
        """
        sought = self._fetcher.root
        if sought is None:
            return False
        if sought.number == number:
            self._fetcher.offer(sought, source)
        return sought.number >= number

    def add_pieces(self, pieces: tuple[tuple[str, bytes], ...]) -> list[Reject]:
        """Keep pieces; report those that do not match their digests."""
        return self._reject(self._held.add_pieces(pieces))

    def on_pieces(
        self, pieces: tuple[tuple[str, bytes], ...], now: int, is_booting: bool
    ) -> list:
        """Take pieces that were asked for."""
        if self._fetcher.root is None:
            return []
        count = len(self._held.pieces_by_digest)
        effects = self.add_pieces(pieces)
        is_progress = len(self._held.pieces_by_digest) > count
        return effects + self.seek(now, is_booting, is_progress=is_progress)

    def answer(self, answer: CallAnswer, now: int, is_booting: bool) -> list:
        """Take the answer to a read of a piece; others are ignored."""
        call = self._fetcher.take(answer.call_id)
        if call is None or not isinstance(answer, ObjectRead) or not answer.version:
            return []
        digest = call.name.removeprefix(PIECE_PREFIX)
        piece = piece_of(digest, answer.value)
        if piece is None:
            return self._reject([digest])
        self._held.add_pieces([(digest, piece)])
        return self.seek(now, is_booting, is_progress=True)

    def seek(self, now: int, is_booting: bool, *, is_progress: bool = False) -> list:
        """Ask for what is missing, or put the root into force.

        Args:
            now: The time in milliseconds.
            is_booting: Whether to wait with the latter, for a higher number.
            is_progress: Whether a piece has just come.
        """
        root = self._fetcher.root
        if root is None:
            return []
        missing = missing_pieces(root.pieces_by_name, self._held.pieces_by_digest)
        if missing:
            return self._fetch(missing, is_progress, now)
        if is_booting:
            self._fetcher.rest()
            return []
        return self._take(root)

    def _fetch(self, missing: list[str], is_progress: bool, now: int) -> list:
        if not is_progress and self._fetcher.is_hopeless(now):
            self._fetcher.stop()
            self.was_dropped = True
            return []
        wants_below = not self._held.number
        return self._fetcher.ask(
            missing, now, wants_below=wants_below, is_progress=is_progress
        )

    def _take(self, root: Root) -> list[Apply | Reject]:
        self.source = self._fetcher.source
        self._fetcher.stop()
        self._reported_digests.clear()
        try:
            self._held.take(root)
        except CheckError as error:
            self._rejected_number = root.number
            self._held.drop_unused()
            return [Reject(root.number, error.findings)]
        return [Apply(root.number, self._held.document, self._held.configuration)]

    def _reject(self, digests: list[str]) -> list[Reject]:
        """Report pieces that do not match their digests, each digest once."""
        new = sorted(set(digests) - self._reported_digests)
        if not new:
            return []
        self._reported_digests.update(new)
        problem = "does not match its digest"
        findings = [Finding(piece_object_name(digest), problem) for digest in new]
        return [Reject(0, tuple(findings))]
