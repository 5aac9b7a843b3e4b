"""A configuration document as a small root and immutable pieces.

A piece is named by the SHA-256 digest of its bytes. Each section of the document is
one piece while it is small; a larger one is a tree: entries are divided by the
digits of the SHA-256 digest of their names, and a branch lists the digests of its
children. Equal contents give equal pieces, so that a change of one entry makes one
new leaf and the branches above it, however large the section is.
"""

import hashlib
import json
import re
from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from typing import Any, NamedTuple

from sequoiahook.errors import CheckError, Finding

__all__ = [
    "LEAF_BYTES_MAX",
    "PIECE_BYTES_MAX",
    "PIECE_PREFIX",
    "SplitDocument",
    "assemble",
    "canonical",
    "digest_of",
    "missing_pieces",
    "piece_object_name",
    "piece_of",
    "reachable_pieces",
    "split",
    "walk_pieces",
]

LEAF_BYTES_MAX = 16_384
PIECE_BYTES_MAX = 900_000
DEPTH_MAX = 16
PIECE_PREFIX = "piece-"
_DIGEST = re.compile(r"[0-9a-f]{64}")

Pieces = Mapping[str, bytes]


class SplitDocument(NamedTuple):
    """A document as pieces.

    Attributes:
        pieces_by_name: Digest of the top piece of each section.
        pieces_by_digest: The bytes of all pieces.
    """

    pieces_by_name: dict[str, str]
    pieces_by_digest: dict[str, bytes]


class _Entry(NamedTuple):
    name_digest: str
    name: str
    encoded: str


def canonical(value: Any) -> bytes:
    """Return the one encoding of a JSON value that digests are made from.

    Raises:
        ValueError: If the value has no JSON form.
    """
    return _encode(value).encode()


def digest_of(piece: bytes) -> str:
    """Return the digest that names a piece."""
    return hashlib.sha256(piece).hexdigest()


def piece_of(digest: str, value: Any) -> bytes | None:
    """Return the piece that an object's value holds; None if the digest is another."""
    try:
        piece = canonical(value)
    except (ValueError, RecursionError):
        return None
    return piece if digest_of(piece) == digest else None


def piece_object_name(digest: str) -> str:
    """Return the name of the platform's object that holds a piece."""
    return PIECE_PREFIX + digest


def split(
    document: Mapping[str, Any], leaf_bytes_max: int = LEAF_BYTES_MAX
) -> SplitDocument:
    """Divide a document into pieces.

    Args:
        document: The document.
        leaf_bytes_max: Above this size a piece with several entries is divided.

    Raises:
        CheckError: If an entry is too large for one piece, or has no JSON form.
    """
    pieces: dict[str, bytes] = {}
    names: dict[str, str] = {}
    findings: list[Finding] = []
    for name, section in document.items():
        try:
            names[name] = _split_section(section, leaf_bytes_max, pieces)
        except (ValueError, RecursionError) as error:
            findings.append(Finding(f"$.{name}", str(error)))
    if findings:
        raise CheckError(findings)
    return SplitDocument(names, pieces)


def assemble(pieces_by_name: Mapping[str, str], pieces: Pieces) -> dict[str, Any]:
    """Return the document that the pieces form.

    Raises:
        CheckError: If a piece is missing or malformed; the place names it.
    """
    findings: list[Finding] = []
    document = {}
    for name, digest in pieces_by_name.items():
        place = f"configuration.pieces_by_name.{name}"
        try:
            document[name] = _assemble_section(digest, pieces, place)
        except CheckError as error:
            findings.extend(error.findings)
    if findings:
        raise CheckError(findings)
    return document


def missing_pieces(pieces_by_name: Mapping[str, str], pieces: Pieces) -> list[str]:
    """Return digests that are named but not there; branches come before leaves."""
    walk = walk_pieces(pieces_by_name.values(), pieces)
    return sorted({digest for digest in walk if digest not in pieces})


def reachable_pieces(pieces_by_name: Mapping[str, str], pieces: Pieces) -> set[str]:
    """Return the digests of all pieces of a document that are there."""
    walk = walk_pieces(pieces_by_name.values(), pieces)
    return {digest for digest in walk if digest in pieces}


def _encode(value: Any) -> str:
    return json.dumps(value, sort_keys=True, separators=(",", ":"), allow_nan=False)


def _split_section(section: Any, leaf_bytes_max: int, pieces: dict[str, bytes]) -> str:
    if not isinstance(section, dict):
        return _add(canonical({"value": section}), pieces)
    entries = [
        _Entry(digest_of(name.encode("utf-8", "surrogatepass")), name, _encode(value))
        for name, value in section.items()
    ]
    return _split_entries(entries, 0, leaf_bytes_max, pieces)


def _split_entries(
    entries: list[_Entry], depth: int, leaf_bytes_max: int, pieces: dict[str, bytes]
) -> str:
    size = sum(len(entry.name) + len(entry.encoded) for entry in entries)
    if size <= leaf_bytes_max or len(entries) == 1 or depth == DEPTH_MAX:
        return _add(_leaf(entries), pieces)
    by_digit: dict[str, list[_Entry]] = {}
    for entry in entries:
        by_digit.setdefault(entry.name_digest[depth], []).append(entry)
    children = {
        digit: _split_entries(by_digit[digit], depth + 1, leaf_bytes_max, pieces)
        for digit in sorted(by_digit)
    }
    return _add(canonical({"children": children}), pieces)


def _leaf(entries: list[_Entry]) -> bytes:
    ordered = sorted(entries, key=lambda entry: entry.name)
    members = [f"{_encode(entry.name)}:{entry.encoded}" for entry in ordered]
    return ('{"entries":{' + ",".join(members) + "}}").encode()


def _add(piece: bytes, pieces: dict[str, bytes]) -> str:
    if len(piece) > PIECE_BYTES_MAX:
        raise ValueError(f"holds an entry of more than {PIECE_BYTES_MAX} bytes")
    digest = digest_of(piece)
    pieces[digest] = piece
    return digest


def _assemble_section(digest: str, pieces: Pieces, place: str) -> Any:
    piece = _parse_piece(digest, pieces, place)
    if "value" in piece:
        return piece["value"]
    if "entries" in piece:
        return piece["entries"]
    section = {}
    for digit, child in piece["children"].items():
        section.update(_assemble_section(child, pieces, f"{place}.{digit}"))
    return section


def _parse_piece(digest: str, pieces: Pieces, place: str) -> dict[str, Any]:
    if digest not in pieces:
        raise CheckError([Finding(place, f"piece {digest} is missing")])
    try:
        piece = json.loads(pieces[digest])
    except (ValueError, RecursionError):
        piece = None
    if not _is_piece(piece):
        raise CheckError([Finding(place, f"piece {digest} is malformed")])
    return piece


def _is_piece(piece: Any) -> bool:
    if not isinstance(piece, dict) or len(piece) != 1:
        return False
    if "value" in piece:
        return True
    if "entries" in piece:
        return isinstance(piece["entries"], dict)
    children = piece.get("children")
    return isinstance(children, dict) and all(
        isinstance(digest, str) and _DIGEST.fullmatch(digest)
        for digest in children.values()
    )


def walk_pieces(digests: Iterable[str], pieces: Pieces) -> Iterator[str]:
    """Yield digests and those of all pieces below them, level by level."""
    pending = deque(digests)
    while pending:
        digest = pending.popleft()
        yield digest
        pending.extend(_children(pieces.get(digest, b"")))


def _children(piece: bytes) -> list[str]:
    if not piece.startswith(b'{"children":'):
        return []
    try:
        parsed = json.loads(piece)
    except (ValueError, RecursionError):
        return []
    return list(parsed["children"].values()) if _is_piece(parsed) else []
