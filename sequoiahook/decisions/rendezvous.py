"""Rendezvous hashing, which yields the same order of names on all instances.

Adding or removing a name moves only the keys that this name wins.
"""

import hashlib
from collections.abc import Iterable

__all__ = ["order", "winner"]


def order(key: str, names: Iterable[str]) -> list[str]:
    """Return the names by descending weight for the key; the first owns it."""
    return sorted(names, key=lambda name: _weight(key, name), reverse=True)


def winner(key: str, names: Iterable[str]) -> str | None:
    """Return the name that owns the key; None if there are no names."""
    return max(names, key=lambda name: _weight(key, name), default=None)


def _weight(key: str, name: str) -> tuple[bytes, str]:
    text = f"{key}\0{name}".encode()
    return hashlib.blake2b(text, digest_size=8).digest(), name
