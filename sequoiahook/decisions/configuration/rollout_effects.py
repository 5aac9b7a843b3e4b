"""Effects of a configuration replica other than messages and platform calls."""

from typing import Any, NamedTuple

from sequoiahook.errors import Finding
from sequoiahook.world.configuration import Configuration

__all__ = ["Apply", "Reject"]


class Apply(NamedTuple):
    """Put a configuration into force; its number is above all earlier ones.

    Attributes:
        number: Number of the configuration.
        document: The document.
        configuration: The checked and parsed document.
    """

    number: int
    document: dict[str, Any]
    configuration: Configuration


class Reject(NamedTuple):
    """Report unusable data; the last valid configuration stays in force.

    Attributes:
        number: Number of the rejected configuration; 0 if it is not known.
        findings: All findings with their places.
    """

    number: int
    findings: tuple[Finding, ...]
