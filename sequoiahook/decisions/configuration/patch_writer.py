"""Writing of one patch to the platform, at most once and with exactly one outcome.

The root object alone decides whether a patch is applied. A conditional update of it,
against the version that was read, creates the next number. The root lists the id of
the patch of each number (old ones move to history objects), so that a read shows
whether a patch was applied. Outcomes are correct for these reasons:

* A number always belongs to one patch. Once a root has a higher number than the
  patch was made for, the patch either has the next number or will never be applied,
  even if that read was late.
* After a lost answer the root is read again, and a repeated write has the same
  condition as the lost one, so that at most one of the two takes effect.
* A root with a lower number than the patch was made for may be a late read. It is
  used only after a write that must fail has returned the current version.
* The id is claimed by a write-once object before the root is written, so that one id
  never identifies two patches.
"""

import random
from collections.abc import Mapping

from sequoiahook.decisions.call_queue import CallQueue
from sequoiahook.decisions.configuration.patch import (
    Accepted,
    Invalid,
    Outcome,
    OutcomeUnknown,
    Patch,
    PatchSettings,
    Report,
    Stale,
)
from sequoiahook.decisions.configuration.patch_objects import (
    changed_document,
    claim_for_patch,
    claim_name,
    next_root,
    objects_before_root,
    read_claim,
)
from sequoiahook.decisions.configuration.pieces import (
    PIECE_PREFIX,
    SplitDocument,
    assemble,
    missing_pieces,
    piece_from_value,
    piece_object_name,
)
from sequoiahook.decisions.configuration.root import (
    EMPTY_ROOT,
    ROOT_NAME,
    Root,
    history_name,
    read_history,
    read_root,
    root_value,
)
from sequoiahook.decisions.platform_calls import (
    CallAnswer,
    CallAnswerLost,
    CallMalformed,
    CallUnavailable,
    ObjectRead,
    ObjectWritten,
    PlatformCall,
    ReadObject,
    WriteConflict,
    WriteObject,
)
from sequoiahook.errors import CheckError, Finding

__all__ = ["PatchWriter"]

CALLS_MAX = 8
IMPOSSIBLE_VERSION = 2**52


class PatchWriter:
    """Applies one patch, or queries the outcome of one.

    Pass the answer to each platform call to :meth:`receive_answer`, and call
    :meth:`tick` at the time that :meth:`next_wake` returns. Both return platform
    calls or the report.

    Args:
        settings: Timeouts, and the size limit of pieces.
        patch: The patch; if its ``changes`` are None, the writer only queries the
            outcome of the id and writes nothing.
        known_pieces: Pieces by digest that need not be read; not changed.
        rng: Source of jitter for retries.
    """

    def __init__(
        self,
        settings: PatchSettings,
        patch: Patch,
        known_pieces: Mapping[str, bytes],
        rng: random.Random,
    ):
        self._settings = settings
        self._patch = patch
        self._rng = rng
        self._calls = CallQueue(CALLS_MAX)
        self._deadline_at = 0
        self._retry_at: int | None = None
        self._failure_count = 0
        self._version_min = 0
        self._findings: tuple[Finding, ...] = ()
        self._new_document: SplitDocument | None = None
        self._stored_names: set[str] = set()
        self._is_query = patch.changes is None
        self.outcome: Outcome | None = None
        self.root: Root = EMPTY_ROOT
        self.version = 0
        self.pieces_by_digest = dict(known_pieces)

    def start(self, now: int) -> list[PlatformCall | Report]:
        """Return the first calls; call once."""
        self._deadline_at = now + self._settings.deadline_ms
        return self._restart()

    def next_wake(self, now: int) -> int | None:
        """Return when to call :meth:`tick`; None once the outcome is reported."""
        if self.outcome is not None:
            return None
        if self._retry_at is None:
            return self._deadline_at
        return min(self._deadline_at, self._retry_at)

    def tick(self, now: int) -> list[PlatformCall | Report]:
        """Report a passed deadline, or begin a retry that is due."""
        if self.outcome is not None:
            return []
        if now >= self._deadline_at:
            return self._report(OutcomeUnknown(self._patch.id, self._findings))
        if self._retry_at is not None and now >= self._retry_at:
            self._retry_at = None
            return self._restart()
        return []

    def receive_answer(
        self, answer: CallAnswer, now: int
    ) -> list[PlatformCall | Report]:
        """Handle the answer to a call; answers to abandoned calls are ignored."""
        call = self._calls.remove(answer.call_id)
        if call is None or self.outcome is not None:
            return []
        if isinstance(answer, CallUnavailable | CallAnswerLost):
            return self._retry_later(now)
        if isinstance(answer, CallMalformed):
            return self._on_malformed(answer.findings, now)
        try:
            return self._dispatch(call, answer, now)
        except CheckError as error:
            return self._on_malformed(error.findings, now)

    def _restart(self) -> list[PlatformCall]:
        if self._is_query:
            return self._call(ReadObject, claim_name(self._patch.id))
        return self._call(ReadObject, ROOT_NAME)

    def _retry_later(self, now: int) -> list:
        """Abandon the open calls and start again after a backoff."""
        self._calls.clear()
        settings = self._settings
        wait_max_ms = min(
            settings.retry_max_ms, settings.retry_ms << self._failure_count
        )
        self._failure_count = min(self._failure_count + 1, 16)
        self._retry_at = now + self._rng.randint(wait_max_ms // 2, wait_max_ms)
        return []

    def _on_malformed(self, findings: tuple[Finding, ...], now: int) -> list:
        """Record malformed stored data and retry; it may be repaired in time."""
        self._findings = findings
        return self._retry_later(now)

    def _dispatch(self, call: PlatformCall, answer: CallAnswer, now: int) -> list:
        if isinstance(call, ReadObject):
            return self._on_read(call.name, answer, now)
        if call.name == ROOT_NAME:
            return self._on_root_answer(answer)
        if isinstance(answer, WriteConflict) and call.name == claim_name(
            self._patch.id
        ):
            return self._call(ReadObject, call.name)
        self._stored_names.add(call.name)
        return self._next_step()

    def _on_read(self, name: str, answer: ObjectRead, now: int) -> list:
        if name == ROOT_NAME:
            return self._on_root(answer, now)
        if name == claim_name(self._patch.id):
            return self._on_claim(name, answer, now)
        if name == history_name(self._patch.against + 1):
            return self._on_history(name, answer, now)
        return self._on_piece(name, answer, now)

    def _on_root(self, answer: ObjectRead, now: int) -> list:
        if answer.version < self._version_min:
            return self._retry_later(now)
        self._version_min = answer.version
        self.version = answer.version
        self.root = read_root(answer.value)
        self._new_document = None
        if self.root.number > self._patch.against:
            return self._on_higher_root()
        if self._is_query:
            return self._report(OutcomeUnknown(self._patch.id))
        if self.root.number < self._patch.against:
            return self._probe_version()
        return self._next_step()

    def _on_higher_root(self) -> list:
        """Resolve the outcome of a patch whose next number is taken."""
        number = self._patch.against + 1
        for patch in self.root.recent_patches:
            if patch.number == number:
                return self._resolve(patch.id)
        return self._call(ReadObject, history_name(number))

    def _on_history(self, name: str, answer: ObjectRead, now: int) -> list:
        number = self._patch.against + 1
        for patch in read_history(answer.value) if answer.version else ():
            if patch.number == number:
                return self._resolve(patch.id)
        return self._on_malformed(
            (Finding(name, f"has no patch of number {number}"),), now
        )

    def _resolve(self, patch_id: str) -> list:
        if patch_id != self._patch.id:
            return self._report(Stale(self.root.number))
        claim = claim_name(self._patch.id)
        if claim not in self._stored_names:
            return self._call(ReadObject, claim)
        return self._report(Accepted(self._patch.against + 1))

    def _on_claim(self, name: str, answer: ObjectRead, now: int) -> list:
        if self._is_query and not answer.version:
            return self._report(OutcomeUnknown(self._patch.id))
        if not answer.version:
            return self._retry_later(now)
        claim = read_claim(name, answer.value)
        self._stored_names.add(name)
        if self._is_query:
            self._patch = self._patch._replace(against=claim.against)
            return self._call(ReadObject, ROOT_NAME)
        if claim != claim_for_patch(self._patch):
            problem = f"is the id of another patch, made against {claim.against}"
            return self._report(Invalid((Finding("$.id", problem),)))
        if self.root.number > self._patch.against:
            return self._report(Accepted(self._patch.against + 1))
        return self._next_step()

    def _probe_version(self) -> list:
        """Request the current version through a write that cannot take effect."""
        value = root_value(self.root)
        return self._call(WriteObject, ROOT_NAME, value, IMPOSSIBLE_VERSION)

    def _on_root_answer(self, answer: CallAnswer) -> list:
        if self.root.number < self._patch.against:
            return self._on_probe_answer(answer)
        if isinstance(answer, ObjectWritten):
            self.root = self._next_root()
            self.version = answer.version
            return self._report(Accepted(self.root.number))
        self._version_min = max(self._version_min, answer.current)
        return self._restart()

    def _on_probe_answer(self, answer: WriteConflict) -> list:
        if answer.current == self.version:
            return self._report(Stale(self.root.number))
        self._version_min = max(self._version_min, answer.current)
        return self._restart()

    def _next_step(self) -> list:
        if not self._calls.is_idle:
            return self._calls.start_due()
        missing = missing_pieces(self.root.pieces_by_name, self.pieces_by_digest)
        if missing:
            for digest in missing:
                self._calls.add(ReadObject, piece_object_name(digest))
            return self._calls.start_due()
        return self._write()

    def _on_piece(self, name: str, answer: ObjectRead, now: int) -> list:
        if not answer.version:
            return self._on_malformed((Finding(name, "is missing"),), now)
        digest = name.removeprefix(PIECE_PREFIX)
        piece = piece_from_value(digest, answer.value)
        if piece is None:
            return self._on_malformed(
                (Finding(name, "does not match its digest"),), now
            )
        self.pieces_by_digest[digest] = piece
        return self._next_step()

    def _write(self) -> list:
        if self._new_document is None:
            document = assemble(self.root.pieces_by_name, self.pieces_by_digest)
            try:
                self._new_document = changed_document(
                    document, self._patch, self._settings.leaf_bytes_max
                )
            except CheckError as error:
                return self._report(Invalid(error.findings))
            self.pieces_by_digest.update(self._new_document.pieces_by_digest)
        known = self.pieces_by_digest
        for new_object in objects_before_root(
            self.root, self._patch, self._new_document, known
        ):
            if new_object.name not in self._stored_names:
                self._calls.add(WriteObject, new_object.name, new_object.value, 0)
        if self._calls.is_idle:
            value = root_value(self._next_root())
            self._calls.add(WriteObject, ROOT_NAME, value, self.version)
        return self._calls.start_due()

    def _next_root(self) -> Root:
        return next_root(self.root, self._patch, self._new_document.pieces_by_name)

    def _call(self, kind: type, *fields) -> list[PlatformCall]:
        self._calls.add(kind, *fields)
        return self._calls.start_due()

    def _report(self, outcome: Outcome) -> list[Report]:
        self.outcome = outcome
        self._calls.clear()
        return [Report(self._patch.id, outcome)]
