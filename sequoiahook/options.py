"""Checking helpers for JSON documents: findings with places, reported together."""

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
        CheckError: If the text is not JSON; the place is the line and column.
    """
    try:
        return json.loads(text)
    except json.JSONDecodeError as error:
        place = f"line {error.lineno} column {error.colno}"
        raise CheckError([Finding(place, error.msg)]) from error
    except (UnicodeDecodeError, RecursionError) as error:
        raise CheckError([Finding("$", f"not readable as JSON: {error}")]) from error


class Section:
    """A JSON object at a place, read field by field.

    Each reader returns a usable value even after a finding, so that one pass over a
    document reports all of its problems. Call :meth:`finish` on the root at the end.

    Args:
        value: The parsed JSON value; a finding is recorded if it is no object.
        place: The dotted path of the value.
        findings: The list that collects findings, shared by all nested sections.
    """

    def __init__(self, value: Any, place: str = "$", findings: list | None = None):
        self.place = place
        self.findings: list[Finding] = [] if findings is None else findings
        self._read_keys: set[str] = set()
        self._children: list[Section] = []
        if not isinstance(value, Mapping):
            self.report(None, f"must be an object, not {_kind(value)}")
            value = {}
        self._value = value

    def report(self, key: str | None, problem: str) -> None:
        """Record a finding at a field, or at the section itself if key is None."""
        place = self.place if key is None else f"{self.place}.{key}"
        self.findings.append(Finding(place, problem))

    def has(self, key: str) -> bool:
        """Return whether the field is present."""
        return key in self._value

    def integer(self, key: str, *, low: int, high: int, default: int = _MISSING) -> int:
        """Read a whole number between low and high, both included."""
        value = self._take(key, default)
        if value is _MISSING:
            return low
        if type(value) is not int:
            self.report(key, f"must be a whole number, not {_kind(value)}")
            return low
        if not low <= value <= high:
            self.report(key, f"must be from {low} to {high}, not {value}")
            return low
        return value

    def string(
        self, key: str, *, default: str = _MISSING, length_max: int = NAME_LENGTH_MAX
    ) -> str:
        """Read a non-empty string of at most length_max characters."""
        value = self._take(key, default)
        if value is _MISSING:
            return ""
        if not isinstance(value, str):
            self.report(key, f"must be a string, not {_kind(value)}")
            return ""
        if value != default and not 0 < len(value) <= length_max:
            self.report(key, f"must have 1 to {length_max} characters")
            return ""
        return value

    def boolean(self, key: str, *, default: bool = _MISSING) -> bool:
        """Read true or false."""
        value = self._take(key, default)
        if value is _MISSING:
            return False
        if not isinstance(value, bool):
            self.report(key, f"must be true or false, not {_kind(value)}")
            return False
        return value

    def choice(self, key: str, allowed: tuple[str, ...], *, default=_MISSING) -> str:
        """Read a string that is one of the allowed ones."""
        value = self._take(key, default)
        if value is _MISSING:
            return allowed[0]
        if value not in allowed:
            self.report(key, f"must be one of {', '.join(allowed)}, not {value!r}")
            return allowed[0]
        return value

    def strings(self, key: str, *, default: tuple = _MISSING) -> tuple[str, ...]:
        """Read a list of non-empty strings."""
        value = self._take(key, default)
        if value is _MISSING:
            return ()
        if not isinstance(value, list | tuple):
            self.report(key, f"must be a list, not {_kind(value)}")
            return ()
        for index, item in enumerate(value):
            if not isinstance(item, str) or not item:
                self.report(f"{key}[{index}]", "must be a non-empty string")
        return tuple(item for item in value if isinstance(item, str))

    def raw(self, key: str) -> Any:
        """Read a required value as it is; None if it is absent."""
        value = self._take(key, _MISSING)
        return None if value is _MISSING else value

    def number(self, key: str, *, low: float, default: float = _MISSING) -> float:
        """Read a number, whole or not, that is not below low."""
        value = self._take(key, default)
        if value is _MISSING:
            return low
        if type(value) not in (int, float):
            self.report(key, f"must be a number, not {_kind(value)}")
            return low
        if not value >= low:
            self.report(key, f"must not be below {low}")
            return low
        return value

    def section(self, key: str, *, optional: bool = False) -> "Section":
        """Read a nested object; an absent optional one reads as empty."""
        value = self._take(key, {} if optional else _MISSING)
        if value is _MISSING:
            value = {}
        return self._child(value, f"{self.place}.{key}")

    def each(self, key: str, read: Callable[["Section"], T]) -> tuple[T, ...]:
        """Read a list of objects with one reader; an absent list reads as empty."""
        value = self._take(key, ())
        if not isinstance(value, list | tuple):
            self.report(key, f"must be a list, not {_kind(value)}")
            return ()
        sections = [
            self._child(item, f"{self.place}.{key}[{index}]")
            for index, item in enumerate(value)
        ]
        return tuple(read(section) for section in sections)

    def by_key(self, key: str, read: Callable[[str, "Section"], T]) -> dict[str, T]:
        """Read an object of objects with one reader that also gets each name."""
        outer = self.section(key, optional=True)
        result = {}
        for name, value in outer._value.items():
            outer._read_keys.add(name)
            if not 0 < len(name) <= NAME_LENGTH_MAX:
                outer.report(name, f"a name has 1 to {NAME_LENGTH_MAX} characters")
            result[name] = read(name, outer._child(value, f"{outer.place}.{name}"))
        return result

    def require(self) -> None:
        """Stop here if there is any finding.

        Raises:
            CheckError: If there is any finding.
        """
        if self.findings:
            raise CheckError(self.findings)

    def finish(self) -> None:
        """Report unknown fields of this section and all nested ones.

        Raises:
            CheckError: If there is any finding.
        """
        self._report_unknown()
        self.require()

    def _child(self, value: Any, place: str) -> "Section":
        child = Section(value, place, self.findings)
        self._children.append(child)
        return child

    def _take(self, key: str, default: Any) -> Any:
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


def _kind(value: Any) -> str:
    if value is None:
        return "null"
    names = {dict: "an object", list: "a list", str: "a string", bool: "a boolean"}
    return names.get(type(value), "a number")
