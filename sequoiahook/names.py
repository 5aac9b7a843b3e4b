"""Bounded forms of names that callers choose, for tables, messages and log lines."""

import hashlib

__all__ = ["NAME_LENGTH_MAX", "bounded_name"]

NAME_LENGTH_MAX = 128
"""Longest name that is stored and logged as it is, in characters."""

_PREFIX_LENGTH = 64
_DIGEST_BYTES = 16


def bounded_name(name: str) -> str:
    """Return a name, or for a long one its beginning and a digest of the whole.

    Different names have different bounded forms, also those of different lengths.

    Args:
        name: The name, in which each character stands for a byte.
    """
    if len(name) <= NAME_LENGTH_MAX:
        return name
    digest = hashlib.blake2b(name.encode("utf-8"), digest_size=_DIGEST_BYTES)
    return f"{name[:_PREFIX_LENGTH]}~{digest.hexdigest()}"
