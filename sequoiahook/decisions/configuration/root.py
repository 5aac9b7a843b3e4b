"""The root object: the number, the recent patches and the pieces of the document."""

import re
from typing import Any, NamedTuple

from sequoiahook.options import Section

__all__ = [
    "EMPTY_ROOT",
    "HISTORY_CHUNK_PATCHES",
    "ROOT_NAME",
    "AcceptedPatch",
    "Root",
    "history_name",
    "read_history",
    "read_root",
    "root_value",
]

ROOT_NAME = "configuration"
HISTORY_PREFIX = "configuration-patches-"
HISTORY_CHUNK_PATCHES = 32
"""Patches in one history object; the root lists fewer than twice as many."""
NUMBER_MAX = 2**53
_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")


class AcceptedPatch(NamedTuple):
    """An accepted patch.

    Attributes:
        id: Id of the patch.
        number: Number of the configuration that it created.
    """

    id: str
    number: int


class Root(NamedTuple):
    """Root of one configuration.

    Attributes:
        number: Number of the configuration; 0 before the first patch.
        recent_patches: The last accepted patches, oldest first.
        pieces_by_name: Digest of the top piece of each section of the document.
    """

    number: int
    recent_patches: tuple[AcceptedPatch, ...]
    pieces_by_name: dict[str, str]


EMPTY_ROOT = Root(0, (), {})


def history_name(number: int) -> str:
    """Return the name of the history object for the patch of a number."""
    return f"{HISTORY_PREFIX}{(number - 1) // HISTORY_CHUNK_PATCHES}"


def root_value(root: Root) -> dict[str, Any]:
    """Return the root as a JSON value."""
    return {
        "number": root.number,
        "recent_patches": [patch._asdict() for patch in root.recent_patches],
        "pieces_by_name": dict(root.pieces_by_name),
    }


def read_root(value: Any) -> Root:
    """Return the root that a JSON value describes; the empty root for None.

    Raises:
        CheckError: With all findings and their places.
    """
    if value is None:
        return EMPTY_ROOT
    section = Section(value, ROOT_NAME)
    root = Root(
        section.integer("number", low=0, high=NUMBER_MAX),
        section.objects("recent_patches", _read_patch),
        _read_pieces(section, value),
    )
    section.finish()
    return root


def read_history(value: Any) -> tuple[AcceptedPatch, ...]:
    """Return the patches that the JSON value of a history object lists.

    Raises:
        CheckError: With all findings and their places.
    """
    section = Section(value, HISTORY_PREFIX)
    patches = section.objects("patches", _read_patch)
    section.finish()
    return patches


def _read_patch(section: Section) -> AcceptedPatch:
    return AcceptedPatch(
        section.string("id"), section.integer("number", low=1, high=NUMBER_MAX)
    )


def _read_pieces(section: Section, value: Any) -> dict[str, str]:
    pieces = section.section("pieces_by_name")
    value_by_name = value.get("pieces_by_name") if isinstance(value, dict) else None
    digests = {}
    for name in value_by_name if isinstance(value_by_name, dict) else ():
        digests[name] = pieces.string(name)
        if digests[name] and not _DIGEST_PATTERN.fullmatch(digests[name]):
            pieces.report(name, "must be a SHA-256 digest")
    return digests
