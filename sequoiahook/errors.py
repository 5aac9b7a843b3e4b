"""Exception hierarchy, and findings of document checks."""

from collections.abc import Sequence
from typing import NamedTuple

__all__ = [
    "AnswerIncompleteError",
    "CheckError",
    "CodecError",
    "Finding",
    "HistoryExpiredError",
    "LinkError",
    "PlatformError",
    "PlatformOutcomeUnknownError",
    "PlatformUnavailableError",
    "RelayUnavailableError",
    "SequoiahookError",
    "UnreadableMessageError",
    "VersionConflictError",
]


class SequoiahookError(Exception):
    """Base class of the errors that the package raises."""


class Finding(NamedTuple):
    """One problem in a document.

    Attributes:
        place: Location, usually as a dotted path from the root of the document.
        problem: Description of the problem, with the allowed values.
    """

    place: str
    problem: str

    def __str__(self) -> str:
        return f"{self.place}: {self.problem}"


class CheckError(SequoiahookError):
    """A document failed its checks.

    Attributes:
        findings: All findings, in the order in which they were made.
    """

    def __init__(self, findings: Sequence[Finding]):
        super().__init__("; ".join(str(finding) for finding in findings))
        self.findings = tuple(findings)


class AnswerIncompleteError(SequoiahookError):
    """The body of a target's answer ended before it was complete."""


class CodecError(SequoiahookError):
    """Received bytes are not a known message."""


class UnreadableMessageError(CodecError):
    """A valid envelope holds a message that this version does not know."""


class LinkError(SequoiahookError):
    """A link between instances is closed, refused or not authenticated."""


class PlatformError(SequoiahookError):
    """A call to the platform's object API failed."""


class PlatformUnavailableError(PlatformError):
    """The call certainly had no effect: the platform was not reached or rejected it."""


class RelayUnavailableError(PlatformUnavailableError):
    """A relaying peer did not answer; the platform itself may be available."""


class PlatformOutcomeUnknownError(PlatformError):
    """The call was sent without a valid answer, so it may have taken effect."""


class HistoryExpiredError(PlatformError):
    """The platform no longer has the changes that a watch requested.

    The objects must be listed again.
    """


class VersionConflictError(PlatformError):
    """A conditional write found another version of the object than expected.

    Attributes:
        current: Current version of the object; 0 if it does not exist.
    """

    def __init__(self, name: str, current: int):
        super().__init__(f"{name}: the current version is {current}")
        self.current = current
