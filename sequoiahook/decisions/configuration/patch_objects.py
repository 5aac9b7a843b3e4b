"""The platform's objects that one patch makes."""

import json
from collections.abc import Mapping
from typing import Any, NamedTuple
from urllib.parse import quote

from sequoiahook.decisions.configuration.merge import merge
from sequoiahook.decisions.configuration.patch import Patch
from sequoiahook.decisions.configuration.root import (
    HISTORY_CHUNK,
    AcceptedPatch,
    Root,
    history_name,
)
from sequoiahook.decisions.configuration.store import (
    SplitDocument,
    canonical,
    digest_of,
    piece_object_name,
    reachable_pieces,
    split,
)
from sequoiahook.errors import CheckError, Finding
from sequoiahook.options import Section
from sequoiahook.world.configuration import read_configuration

__all__ = [
    "Claim",
    "NewObject",
    "changed_document",
    "claim_name",
    "claim_of",
    "next_root",
    "objects_before_root",
    "read_claim",
]

CLAIM_PREFIX = "configuration-patch-"
NUMBER_MAX = 2**53


class Claim(NamedTuple):
    """What a patch id stands for, fixed by the first use of the id.

    Attributes:
        against: The number that the patch was made for.
        changes: Digest of its changes.
    """

    against: int
    changes: str


class NewObject(NamedTuple):
    """An immutable object to be written.

    Attributes:
        name: Name of the object.
        value: Its JSON value.
    """

    name: str
    value: Any


def claim_name(patch_id: str) -> str:
    """Return the name of the object that holds the claim of a patch id."""
    return CLAIM_PREFIX + quote(patch_id, safe="")


def claim_of(patch: Patch) -> Claim:
    """Return the claim that a patch makes on its id.

    Raises:
        CheckError: If the changes have no JSON form.
    """
    try:
        return Claim(patch.against, digest_of(canonical(patch.changes)))
    except (ValueError, RecursionError) as error:
        raise CheckError([Finding("$.changes", str(error))]) from error


def read_claim(name: str, value: Any) -> Claim:
    """Check the JSON value of a claim.

    Raises:
        CheckError: With every finding and its place.
    """
    section = Section(value, name)
    claim = Claim(
        section.integer("against", low=0, high=NUMBER_MAX), section.string("changes")
    )
    section.finish()
    return claim


def next_root(root: Root, patch: Patch, pieces_by_name: dict[str, str]) -> Root:
    """Return the root that a patch makes of the one that it was made for."""
    number = root.number + 1
    patches = (*root.recent_patches, AcceptedPatch(patch.id, number))
    if len(patches) >= 2 * HISTORY_CHUNK:
        patches = patches[HISTORY_CHUNK:]
    return Root(number, patches, pieces_by_name)


def objects_before_root(
    root: Root, patch: Patch, new: SplitDocument, known_pieces: Mapping[str, bytes]
) -> list[NewObject]:
    """Return the objects that must be there before the next root is written.

    Args:
        root: The root that the patch was made for.
        patch: The patch.
        new: The changed document.
        known_pieces: Pieces by digest, with all those of the root, which are stored.
    """
    objects = [NewObject(claim_name(patch.id), claim_of(patch)._asdict())]
    stored = reachable_pieces(root.pieces_by_name, known_pieces)
    for digest, piece in new.pieces_by_digest.items():
        if digest not in stored:
            objects.append(NewObject(piece_object_name(digest), json.loads(piece)))
    if len(root.recent_patches) + 1 >= 2 * HISTORY_CHUNK:
        objects.append(_history(root.recent_patches[:HISTORY_CHUNK]))
    return objects


def changed_document(
    document: dict[str, Any], patch: Patch, leaf_bytes_max: int
) -> SplitDocument:
    """Apply the changes of a patch and check the result.

    Raises:
        CheckError: With every finding of the changed document and its place.
    """
    try:
        changed = merge(document, patch.changes)
        read_configuration(patch.against + 1, changed)
        new = split(changed, leaf_bytes_max)
    except RecursionError as error:
        raise CheckError([Finding("$", "is nested too deeply")]) from error
    claim_of(patch)
    return new


def _history(patches: tuple[AcceptedPatch, ...]) -> NewObject:
    value = {"patches": [patch._asdict() for patch in patches]}
    return NewObject(history_name(patches[0].number), value)
