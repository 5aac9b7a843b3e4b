"""Patches of a numbered configuration, and their outcomes."""

from typing import Any, NamedTuple

from sequoiahook.decisions.configuration.pieces import LEAF_BYTES_MAX
from sequoiahook.errors import CheckError, Finding
from sequoiahook.options import Section

__all__ = [
    "Accepted",
    "Invalid",
    "Outcome",
    "OutcomeUnknown",
    "Patch",
    "PatchSettings",
    "Report",
    "Stale",
    "read_patch",
]

NUMBER_MAX = 2**53


class Patch(NamedTuple):
    """A change of the configuration, submitted by an operator.

    Attributes:
        id: Unique id; a repeat with the same id is never applied twice.
        against: Number of the configuration that it was made for.
        changes: JSON merge patch (RFC 7396) of the document; None to query only the
            outcome of the patch with this id.
    """

    id: str
    against: int
    changes: dict[str, Any] | None


class Accepted(NamedTuple):
    """The patch was applied and created the configuration of this number."""

    number: int


class Stale(NamedTuple):
    """The patch was refused, since it was made for another number.

    If the current number is above the one that the patch was made for, the patch is
    not applied and never will be. If it is below, that configuration did not exist
    when the platform was read, and this submission had no effect.

    Attributes:
        current: The current number as read; it may have risen since, as reads may
            be late.
    """

    current: int


class Invalid(NamedTuple):
    """The patch was not applied; all findings are given with their places."""

    findings: tuple[Finding, ...]


class OutcomeUnknown(NamedTuple):
    """The patch may or may not be applied, now or later; query the id again.

    Attributes:
        patch_id: Id of the patch.
        findings: Malformed data on the platform, if that is the cause.
    """

    patch_id: str
    findings: tuple[Finding, ...] = ()


Outcome = Accepted | Stale | Invalid | OutcomeUnknown


class PatchSettings(NamedTuple):
    """Settings of a patch writer.

    Attributes:
        deadline_ms: Time after which the outcome is reported as unknown.
        retry_ms: Longest wait before the first retry; doubles with each failure.
        retry_max_ms: Longest wait before any retry.
        leaf_bytes_max: Size above which a piece with several entries is divided.
    """

    deadline_ms: int = 8000
    retry_ms: int = 50
    retry_max_ms: int = 1000
    leaf_bytes_max: int = LEAF_BYTES_MAX


class Report(NamedTuple):
    """Report the outcome to the operator; each writer returns exactly one.

    Attributes:
        patch_id: Id of the patch.
        outcome: Outcome of the patch.
    """

    patch_id: str
    outcome: Outcome


def read_patch(document: Any) -> Patch:
    """Return the patch that a JSON document describes.

    Raises:
        CheckError: With all findings and their places.
    """
    section = Section(document)
    patch = Patch(
        section.string("id"),
        section.integer("against", low=0, high=NUMBER_MAX),
        _read_changes(section, document),
    )
    if section.findings:
        raise CheckError(section.findings)
    return patch


def _read_changes(section: Section, document: Any) -> dict[str, Any]:
    section.section("changes")
    changes = document.get("changes") if isinstance(document, dict) else None
    return changes if isinstance(changes, dict) else {}
