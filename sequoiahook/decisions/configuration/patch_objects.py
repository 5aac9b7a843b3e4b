"""Objects on the platform that one patch creates."""

import json
from collections.abc import Mapping
from typing import Any, NamedTuple
from urllib.parse import quote

from sequoiahook.decisions.configuration.merge import merge
from sequoiahook.decisions.configuration.patch import Patch
from sequoiahook.decisions.configuration.pieces import (
    SplitDocument,
    canonical,
    digest_of,
    piece_object_name,
    reachable_pieces,
    split,
)
from sequoiahook.decisions.configuration.root import (
    HISTORY_CHUNK_PATCHES,
    AcceptedPatch,
    Root,
    history_name,
)
from sequoiahook.errors import CheckError, Finding
from sequoiahook.options import Section
from sequoiahook.world.configuration import read_configuration

__all__ = [
    "Claim",
    "NewObject",
    "changed_document",
    "claim_for_patch",
    "claim_name",
    "next_root",
    "objects_before_root",
    "read_claim",
]

CLAIM_PREFIX = "configuration-patch-"
NUMBER_MAX = 2**53


class Claim(NamedTuple):
    """Content that a patch id is bound to by its first use.

    Attributes:
        against: Number of the configuration that the patch was made for.
        changes: Digest of the changes.
    """

    against: int
    changes: str


class NewObject(NamedTuple):
    """An immutable object to write.

    Attributes:
        name: Name of the object.
        value: Its JSON value.
    """

    name: str
    value: Any


def claim_name(patch_id: str) -> str:
    """Return the name of the object that holds the claim of a patch id."""
    return CLAIM_PREFIX + quote(patch_id, safe="")


def claim_for_patch(patch: Patch) -> Claim:
    """Return the claim of a patch on its id.

    Raises:
        CheckError: If the changes have no JSON form.
    """
    try:
        return Claim(patch.against, digest_of(canonical(patch.changes)))
    except (ValueError, RecursionError) as error:
        raise CheckError([Finding("$.changes", str(error))]) from error


def read_claim(name: str, value: Any) -> Claim:
    """Return the claim that a JSON value describes.

    Raises:
        CheckError: With all findings and their places.
    """
    section = Section(value, name)
    claim = Claim(
        section.integer("against", low=0, high=NUMBER_MAX), section.string("changes")
    )
    section.finish()
    return claim


def next_root(root: Root, patch: Patch, pieces_by_name: dict[str, str]) -> Root:
    """Return the root that results from applying a patch to a root."""
    number = root.number + 1
    patches = (*root.recent_patches, AcceptedPatch(patch.id, number))
    if len(patches) >= 2 * HISTORY_CHUNK_PATCHES:
        patches = patches[HISTORY_CHUNK_PATCHES:]
    return Root(number, patches, pieces_by_name)


def objects_before_root(
    root: Root,
    patch: Patch,
    new_document: SplitDocument,
    known_pieces: Mapping[str, bytes],
) -> list[NewObject]:
    """Return the objects that must exist before the next root is written.

    Args:
        root: The root that the patch was made for.
        patch: The patch.
        new_document: The changed document, divided into pieces.
        known_pieces: Pieces by digest, including all pieces of the root, which the
            platform holds.
    """
    objects = [NewObject(claim_name(patch.id), claim_for_patch(patch)._asdict())]
    stored = reachable_pieces(root.pieces_by_name, known_pieces)
    for digest, piece in new_document.pieces_by_digest.items():
        if digest not in stored:
            objects.append(NewObject(piece_object_name(digest), json.loads(piece)))
    if len(root.recent_patches) + 1 >= 2 * HISTORY_CHUNK_PATCHES:
        objects.append(_history_object(root.recent_patches[:HISTORY_CHUNK_PATCHES]))
    return objects


def changed_document(
    document: dict[str, Any], patch: Patch, leaf_bytes_max: int
) -> SplitDocument:
    """Return the document with the changes of a patch, checked and divided.

    Raises:
        CheckError: With all findings of the changed document and their places.
    """
    try:
        changed = merge(document, patch.changes)
        read_configuration(patch.against + 1, changed)
        new_document = split(changed, leaf_bytes_max)
    except RecursionError as error:
        raise CheckError([Finding("$", "is nested too deeply")]) from error
    claim_for_patch(patch)
    return new_document


def _history_object(patches: tuple[AcceptedPatch, ...]) -> NewObject:
    value = {"patches": [patch._asdict() for patch in patches]}
    return NewObject(history_name(patches[0].number), value)
