"""JSON merge patch (RFC 7396)."""

from typing import Any

__all__ = ["merge"]


def merge(document: Any, patch: Any) -> Any:
    """Return the document with the patch applied; the document is not changed.

    A member that is null in the patch is removed, an object is merged member by
    member, and any other value replaces the existing one.
    """
    if not isinstance(patch, dict):
        return patch
    result = dict(document) if isinstance(document, dict) else {}
    for name, value in patch.items():
        if value is None:
            result.pop(name, None)
        else:
            result[name] = merge(result.get(name), value)
    return result
