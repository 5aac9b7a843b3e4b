"""The first of many names, for logs."""

from collections.abc import Iterable

__all__ = ["first_names"]

NAMES_MAX = 5
"""Most names that an event or a log line holds."""


def first_names(names: Iterable[str]) -> tuple[str, ...]:
    """Return the first names in alphabetical order."""
    return tuple(sorted(names)[:NAMES_MAX])
