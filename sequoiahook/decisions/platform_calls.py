"""Calls to the platform's object API, and their answers.

Each component numbers its own calls and receives each answer with the number of the
call. Answers may come in any order, late, or never; each component applies its own
time-out.
"""

from typing import Any, NamedTuple

from sequoiahook.errors import Finding

__all__ = [
    "CallAnswer",
    "CallAnswerLost",
    "CallMalformed",
    "CallUnavailable",
    "ObjectRead",
    "ObjectUnchanged",
    "ObjectWritten",
    "PlatformCall",
    "ReadObject",
    "Watch",
    "WriteConflict",
    "WriteObject",
]


class ReadObject(NamedTuple):
    """Read an object; answered by ObjectRead."""

    call_id: int
    name: str


class Watch(NamedTuple):
    """Wait for a newer version; answered by ObjectRead or ObjectUnchanged.

    Attributes:
        call_id: Number of the call.
        name: Name of the object.
        after: The version to exceed.
        wait_ms: Longest wait of the platform before it answers that the object is
            unchanged, in milliseconds.
    """

    call_id: int
    name: str
    after: int
    wait_ms: int


class WriteObject(NamedTuple):
    """Write an object if it has the given version; 0 if it must not exist."""

    call_id: int
    name: str
    value: Any
    if_version: int


class ObjectRead(NamedTuple):
    """The object that was read; version 0 and value None if it does not exist."""

    call_id: int
    version: int
    value: Any


class ObjectUnchanged(NamedTuple):
    """The watch ended without a newer version."""

    call_id: int


class ObjectWritten(NamedTuple):
    """The write succeeded and created this version."""

    call_id: int
    version: int


class WriteConflict(NamedTuple):
    """The write had no effect because the object has another version."""

    call_id: int
    current: int


class CallUnavailable(NamedTuple):
    """The call failed and had no effect."""

    call_id: int


class CallAnswerLost(NamedTuple):
    """The answer was lost; the call may have taken effect, or may do so later."""

    call_id: int


class CallMalformed(NamedTuple):
    """The call or the platform's answer failed validation."""

    call_id: int
    findings: tuple[Finding, ...]


PlatformCall = ReadObject | Watch | WriteObject
CallAnswer = (
    ObjectRead
    | ObjectUnchanged
    | ObjectWritten
    | WriteConflict
    | CallUnavailable
    | CallAnswerLost
    | CallMalformed
)
