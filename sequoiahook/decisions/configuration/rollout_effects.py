"""Effects of a configuration holder, besides messages and platform calls."""

from typing import Any, NamedTuple

from sequoiahook.errors import Finding
from sequoiahook.world.configuration import Configuration

__all__ = ["Apply", "Reject"]


class Apply(NamedTuple):
    """A configuration comes into force; its number is above all before it.

    Attributes:
        number: Its number.
        document: The document.
        configuration: The document, checked and read.
    """

    number: int
    document: dict[str, Any]
    configuration: Configuration


class Reject(NamedTuple):
    """What was received cannot be used; the last good configuration stays in force.

    Attributes:
        number: Number of what was received; 0 if that could not be read.
        findings: Every finding with its place.
    """

    number: int
    findings: tuple[Finding, ...]
