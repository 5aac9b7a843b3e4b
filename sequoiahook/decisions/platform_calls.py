"""Calls to the platform's object API as effects, and their answers as inputs.

A part numbers its own calls; whoever carries them out hands each answer back to the
part that made the call, with the same number. Answers may come in any order, late,
or never; a part gives up on a call by its own time.
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
    """Wait for an object to pass a version; answered by ObjectRead or ObjectUnchanged.

    Attributes:
        call_id: Number of the call.
        name: Name of the object.
        after: The version to pass.
        wait_ms: How long the platform waits before it answers unchanged.
    """

    call_id: int
    name: str
    after: int
    wait_ms: int


class WriteObject(NamedTuple):
    """Write an object if it is at a version; 0 means that it must not exist."""

    call_id: int
    name: str
    value: Any
    if_version: int


class ObjectRead(NamedTuple):
    """The object; version 0 and value None if it does not exist."""

    call_id: int
    version: int
    value: Any


class ObjectUnchanged(NamedTuple):
    """A watch ended without a newer version."""

    call_id: int


class ObjectWritten(NamedTuple):
    """The write took effect and made this version."""

    call_id: int
    version: int


class WriteConflict(NamedTuple):
    """The write had no effect, since the object is at another version."""

    call_id: int
    current: int


class CallUnavailable(NamedTuple):
    """The call certainly had no effect."""

    call_id: int


class CallAnswerLost(NamedTuple):
    """The call may have taken effect, now or later."""

    call_id: int


class CallMalformed(NamedTuple):
    """The platform's answer, or the call itself, failed its checks."""

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
