"""Patches against a numbered configuration, and what became of them."""

from typing import Any, NamedTuple

from sequoiahook.decisions.configuration.store import LEAF_BYTES_MAX
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
    """A change that an operator asks for.

    Attributes:
        id: Unique id; a repeat with the same id is never applied twice.
        against: The number of the configuration that it was made for.
        changes: JSON merge patch (RFC 7396) of the document; None to ask only what
            became of the patch.
    """

    id: str
    against: int
    changes: dict[str, Any] | None


class Accepted(NamedTuple):
    """The patch made the configuration of this number."""

    number: int


class Stale(NamedTuple):
    """The patch is refused, since the current number is another one.

    If the current number is above the one that the patch was made for, the patch is
    not applied and never will be. If it is below, there was no such configuration
    when the platform was asked, and this submission did nothing.

    Attributes:
        current: The current number; a late read may have given one that has since
            grown.
    """

    current: int


class Invalid(NamedTuple):
    """The patch is not applied; every finding is given with its place."""

    findings: tuple[Finding, ...]


class OutcomeUnknown(NamedTuple):
    """The patch may be applied or not, now or later; ask again with the id.

    Attributes:
        patch_id: The id to ask with.
        findings: What was found malformed in the platform, if that is the cause.
    """

    patch_id: str
    findings: tuple[Finding, ...] = ()


Outcome = Accepted | Stale | Invalid | OutcomeUnknown


class PatchSettings(NamedTuple):
    """Settings of a patch writer.

    Attributes:
        deadline_ms: When the outcome is reported as unknown at the latest.
        retry_ms: Wait before a failed call is made again; doubles with each failure.
        retry_max_ms: Longest wait before a failed call is made again.
        leaf_bytes_max: Above this size a piece with several entries is divided.
    """

    deadline_ms: int = 8000
    retry_ms: int = 50
    retry_max_ms: int = 1000
    leaf_bytes_max: int = LEAF_BYTES_MAX


class Report(NamedTuple):
    """Tell the operator the outcome; returned exactly once by each writer.

    Attributes:
        patch_id: Id of the patch.
        outcome: What became of it.
    """

    patch_id: str
    outcome: Outcome


def read_patch(document: Any) -> Patch:
    """Check the JSON document of a patch.

    Raises:
        CheckError: With every finding and its place.
    """
    section = Section(document)
    patch = Patch(
        section.string("id"),
        section.integer("against", low=0, high=NUMBER_MAX),
        _changes(section, document),
    )
    if section.findings:
        raise CheckError(section.findings)
    return patch


def _changes(section: Section, document: Any) -> dict[str, Any]:
    section.section("changes")
    changes = document.get("changes") if isinstance(document, dict) else None
    return changes if isinstance(changes, dict) else {}
