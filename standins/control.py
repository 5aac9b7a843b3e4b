"""Control calls of the stand-ins, which change faults and return records."""

from collections.abc import Collection
from typing import Any

__all__ = ["ControlError", "check_control", "read_faults"]


class ControlError(ValueError):
    """A control call that the stand-in does not know."""


def check_control(document: Any, names: Collection[str]) -> None:
    """Check that a control call is an object with known names.

    Raises:
        ControlError: If it is not; the message states the unknown names.
    """
    if not isinstance(document, dict):
        raise ControlError("not a JSON object")
    unknown = sorted(set(document) - set(names))
    if unknown:
        raise ControlError(f"unknown names: {', '.join(unknown)}")


def read_faults(faults_type: type, document: Any) -> Any:
    """Return the faults that a control call states, as a `NamedTuple` of the type.

    Raises:
        ControlError: If it states faults that the type does not have.
    """
    try:
        check_control(document, faults_type._fields)
    except ControlError as error:
        raise ControlError(f"faults: {error}") from None
    return faults_type(**document)
