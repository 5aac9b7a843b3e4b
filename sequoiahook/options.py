"""Validation of JSON documents that reports all findings together."""

import json
from collections.abc import Callable, Mapping
from typing import Any, TypeVar

from sequoiahook.errors import CheckError, Finding

__all__ = ["Section", "parse_json"]

T = TypeVar("T")

NAME_LENGTH_MAX = 128
_MISSING: Any = object()


def parse_json(text: str | bytes) -> Any:
    """Parse JSON text.

    Raises:
        CheckError: If the text is not JSON; the finding names the line and column.
    """
    try:
        return json.loads(text)
    except json.JSONDecodeError as error:
        position = f"line {error.lineno} column {error.colno}"
        raise CheckError([Finding(position, error.msg)]) from error
    except (UnicodeDecodeError, RecursionError) as error:
        raise CheckError([Finding("$", f"not readable as JSON: {error}")]) from error


class Section:
    """Reader of the fields of a JSON object within a document.

    Each method returns a usable value even after a finding, so that one pass over a
    document reports all of its problems. Call :meth:`finish` on the root at the end.

    Args:
        value: Parsed JSON value; a finding is recorded if it is not an object.
        path: Dotted path of the value from the root of the document.
        findings: List to which findings are added, shared with nested sections.
    """

    def __init__(self, value: Any, path: str = "$", findings: list | None = None):
        self.path = path
        self.findings: list[Finding] = [] if findings is None else findings
        self._read_keys: set[str] = set()
        self._children: list[Section] = []
        if not isinstance(value, Mapping):
            self.report(None, f"must be an object, not {_type_name(value)}")
            value = {}
        self._value = value

    def report(self, key: str | None, problem: str) -> None:
        """Record a finding for a field, or for the section itself if key is None."""
        path = self.path if key is None else f"{self.path}.{key}"
        self.findings.append(Finding(path, problem))

    def has(self, key: str) -> bool:
        """Return whether the field is present."""
        return key in self._value

    def integer(self, key: str, *, low: int, high: int, default: int = _MISSING) -> int:
        """Read an integer from low to high, inclusive."""
        value = self._read(key, default)
        if value is _MISSING:
            return low
        if type(value) is not int:
            self.report(key, f"must be an integer, not {_type_name(value)}")
            return low
        if not low <= value <= high:
            self.report(key, f"must be from {low} to {high}, not {value}")
            return low
        return value

    def string(
        self, key: str, *, default: str = _MISSING, length_max: int = NAME_LENGTH_MAX
    ) -> str:
        """Read a non-empty string of at most length_max characters."""
        value = self._read(key, default)
        if value is _MISSING:
            return ""
        if not isinstance(value, str):
            self.report(key, f"must be a string, not {_type_name(value)}")
            return ""
        if value != default and not 0 < len(value) <= length_max:
            self.report(key, f"must have 1 to {length_max} characters")
            return ""
        return value

    def boolean(self, key: str, *, default: bool = _MISSING) -> bool:
        """Read a boolean."""
        value = self._read(key, default)
        if value is _MISSING:
            return False
        if not isinstance(value, bool):
            self.report(key, f"must be true or false, not {_type_name(value)}")
            return False
        return value

    def choice(self, key: str, allowed: tuple[str, ...], *, default=_MISSING) -> str:
        """Read a string that is one of the allowed values."""
        value = self._read(key, default)
        if value is _MISSING:
            return allowed[0]
        if value not in allowed:
            self.report(key, f"must be one of {', '.join(allowed)}, not {value!r}")
            return allowed[0]
        return value

    def strings(self, key: str, *, default: tuple = _MISSING) -> tuple[str, ...]:
        """Read a list of non-empty strings."""
        value = self._read(key, default)
        if value is _MISSING:
            return ()
        if not isinstance(value, list | tuple):
            self.report(key, f"must be a list, not {_type_name(value)}")
            return ()
        for index, item in enumerate(value):
            if not isinstance(item, str) or not item:
                self.report(f"{key}[{index}]", "must be a non-empty string")
        return tuple(item for item in value if isinstance(item, str))

    def raw(self, key: str) -> Any:
        """Read a required value without conversion; None if it is absent."""
        value = self._read(key, _MISSING)
        return None if value is _MISSING else value

    def number(
        self, key: str, *, low: float, high: float, default: float = _MISSING
    ) -> float:
        """Read an integer or a float from low to high, inclusive."""
        value = self._read(key, default)
        if value is _MISSING:
            return low
        if type(value) not in (int, float):
            self.report(key, f"must be a number, not {_type_name(value)}")
            return low
        if not low <= value <= high:
            self.report(key, f"must be from {low} to {high}, not {value}")
            return low
        return value

    def section(self, key: str, *, optional: bool = False) -> "Section":
        """Read a nested object; an absent optional object is read as empty."""
        value = self._read(key, {} if optional else _MISSING)
        if value is _MISSING:
            value = {}
        return self._child(value, f"{self.path}.{key}")

    def objects(self, key: str, read: Callable[["Section"], T]) -> tuple[T, ...]:
        """Read each object of a list with a function; an absent list reads as empty."""
        value = self._read(key, ())
        if not isinstance(value, list | tuple):
            self.report(key, f"must be a list, not {_type_name(value)}")
            return ()
        sections = [
            self._child(item, f"{self.path}.{key}[{index}]")
            for index, item in enumerate(value)
        ]
        return tuple(read(section) for section in sections)

    def objects_by_name(
        self, key: str, read: Callable[[str, "Section"], T]
    ) -> dict[str, T]:
        """Read each named member of an object with a function of name and section."""
        parent = self.section(key, optional=True)
        value_by_name = {}
        for name, value in parent._value.items():
            parent._read_keys.add(name)
            if not 0 < len(name) <= NAME_LENGTH_MAX:
                parent.report(
                    name, f"must have a name of 1 to {NAME_LENGTH_MAX} characters"
                )
            value_by_name[name] = read(
                name, parent._child(value, f"{parent.path}.{name}")
            )
        return value_by_name

    def raise_for_findings(self) -> None:
        """Raise an error if there are findings so far.

        Raises:
            CheckError: With all findings.
        """
        if self.findings:
            raise CheckError(self.findings)

    def finish(self) -> None:
        """Report unknown fields of this section and its nested sections.

        Raises:
            CheckError: If there are findings.
        """
        self._report_unknown()
        self.raise_for_findings()

    def _child(self, value: Any, path: str) -> "Section":
        child = Section(value, path, self.findings)
        self._children.append(child)
        return child

    def _read(self, key: str, default: Any) -> Any:
        self._read_keys.add(key)
        if key in self._value:
            return self._value[key]
        if default is _MISSING:
            self.report(key, "is required")
        return default

    def _report_unknown(self) -> None:
        for key in self._value:
            if key not in self._read_keys:
                self.report(key, "is not a known field")
        for child in self._children:
            child._report_unknown()


def _type_name(value: Any) -> str:
    if value is None:
        return "null"
    names = {dict: "an object", list: "a list", str: "a string", bool: "a boolean"}
    return names.get(type(value), "a number")
