"""A configuration document as a small root and immutable pieces.

A piece is identified by the SHA-256 digest of its bytes. A small section of the
document is one piece. A larger one is a tree: its entries are divided by the hex
digits of the SHA-256 digest of their names, and a branch lists the digests of its
children. Equal contents give equal pieces, so that a change of one entry creates one
new leaf and the branches above it, whatever the size of the section.
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
    "piece_from_value",
    "piece_object_name",
    "reachable_pieces",
    "split",
    "walk_pieces",
]

LEAF_BYTES_MAX = 16_384
PIECE_BYTES_MAX = 900_000
DEPTH_MAX = 16
PIECE_PREFIX = "piece-"
_DIGEST_PATTERN = re.compile(r"[0-9a-f]{64}")

PiecesByDigest = Mapping[str, bytes]


class SplitDocument(NamedTuple):
    """A document divided into pieces.

    Attributes:
        pieces_by_name: Digest of the top piece of each section.
        pieces_by_digest: Bytes of all pieces.
    """

    pieces_by_name: dict[str, str]
    pieces_by_digest: dict[str, bytes]


class _Entry(NamedTuple):
    name_digest: str
    name: str
    encoded: str


def canonical(value: Any) -> bytes:
    """Return the canonical encoding of a JSON value, which digests are made of.

    Raises:
        ValueError: If the value has no JSON form.
    """
    return _encode(value).encode()


def digest_of(piece: bytes) -> str:
    """Return the SHA-256 digest of a piece in hexadecimal."""
    return hashlib.sha256(piece).hexdigest()


def piece_from_value(digest: str, value: Any) -> bytes | None:
    """Return the piece in an object's value; None if the digest does not match."""
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
        leaf_bytes_max: Size above which a piece with several entries is divided.

    Raises:
        CheckError: If an entry is too large for one piece, or has no JSON form.
    """
    pieces_by_digest: dict[str, bytes] = {}
    digests_by_name: dict[str, str] = {}
    findings: list[Finding] = []
    for name, section in document.items():
        try:
            digests_by_name[name] = _split_section(
                section, leaf_bytes_max, pieces_by_digest
            )
        except (ValueError, RecursionError) as error:
            findings.append(Finding(f"$.{name}", str(error)))
    if findings:
        raise CheckError(findings)
    return SplitDocument(digests_by_name, pieces_by_digest)


def assemble(
    pieces_by_name: Mapping[str, str], pieces_by_digest: PiecesByDigest
) -> dict[str, Any]:
    """Return the document that the pieces form.

    Raises:
        CheckError: If a piece is missing or malformed; the place is its section.
    """
    findings: list[Finding] = []
    document = {}
    for name, digest in pieces_by_name.items():
        place = f"configuration.pieces_by_name.{name}"
        try:
            document[name] = _assemble_section(digest, pieces_by_digest, place)
        except CheckError as error:
            findings.extend(error.findings)
    if findings:
        raise CheckError(findings)
    return document


def missing_pieces(
    pieces_by_name: Mapping[str, str], pieces_by_digest: PiecesByDigest
) -> list[str]:
    """Return the digests of missing pieces, as far as the known branches list them."""
    walk = walk_pieces(pieces_by_name.values(), pieces_by_digest)
    return sorted({digest for digest in walk if digest not in pieces_by_digest})


def reachable_pieces(
    pieces_by_name: Mapping[str, str], pieces_by_digest: PiecesByDigest
) -> set[str]:
    """Return the digests of the pieces of a document that are present."""
    walk = walk_pieces(pieces_by_name.values(), pieces_by_digest)
    return {digest for digest in walk if digest in pieces_by_digest}


def _encode(value: Any) -> str:
    return json.dumps(value, sort_keys=True, separators=(",", ":"), allow_nan=False)


def _split_section(
    section: Any, leaf_bytes_max: int, pieces_by_digest: dict[str, bytes]
) -> str:
    if not isinstance(section, dict):
        return _add_piece(canonical({"value": section}), pieces_by_digest)
    entries = [
        _Entry(digest_of(name.encode("utf-8", "surrogatepass")), name, _encode(value))
        for name, value in section.items()
    ]
    return _split_entries(entries, 0, leaf_bytes_max, pieces_by_digest)


def _split_entries(
    entries: list[_Entry],
    depth: int,
    leaf_bytes_max: int,
    pieces_by_digest: dict[str, bytes],
) -> str:
    content_length = sum(len(entry.name) + len(entry.encoded) for entry in entries)
    if content_length <= leaf_bytes_max or len(entries) == 1 or depth == DEPTH_MAX:
        return _add_piece(_leaf_piece(entries), pieces_by_digest)
    entries_by_digit: dict[str, list[_Entry]] = {}
    for entry in entries:
        entries_by_digit.setdefault(entry.name_digest[depth], []).append(entry)
    children = {
        digit: _split_entries(
            entries_by_digit[digit], depth + 1, leaf_bytes_max, pieces_by_digest
        )
        for digit in sorted(entries_by_digit)
    }
    return _add_piece(canonical({"children": children}), pieces_by_digest)


def _leaf_piece(entries: list[_Entry]) -> bytes:
    sorted_entries = sorted(entries, key=lambda entry: entry.name)
    members = [f"{_encode(entry.name)}:{entry.encoded}" for entry in sorted_entries]
    return ('{"entries":{' + ",".join(members) + "}}").encode()


def _add_piece(piece: bytes, pieces_by_digest: dict[str, bytes]) -> str:
    if len(piece) > PIECE_BYTES_MAX:
        raise ValueError(f"contains an entry of more than {PIECE_BYTES_MAX} bytes")
    digest = digest_of(piece)
    pieces_by_digest[digest] = piece
    return digest


def _assemble_section(digest: str, pieces_by_digest: PiecesByDigest, place: str) -> Any:
    piece = _parse_piece(digest, pieces_by_digest, place)
    if "value" in piece:
        return piece["value"]
    if "entries" in piece:
        return piece["entries"]
    section = {}
    for digit, child in piece["children"].items():
        section.update(_assemble_section(child, pieces_by_digest, f"{place}.{digit}"))
    return section


def _parse_piece(
    digest: str, pieces_by_digest: PiecesByDigest, place: str
) -> dict[str, Any]:
    if digest not in pieces_by_digest:
        raise CheckError([Finding(place, f"piece {digest} is missing")])
    try:
        piece = json.loads(pieces_by_digest[digest])
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
        isinstance(digest, str) and _DIGEST_PATTERN.fullmatch(digest)
        for digest in children.values()
    )


def walk_pieces(
    digests: Iterable[str], pieces_by_digest: PiecesByDigest
) -> Iterator[str]:
    """Yield digests and those of all pieces below them, level by level."""
    pending = deque(digests)
    while pending:
        digest = pending.popleft()
        yield digest
        pending.extend(_child_digests(pieces_by_digest.get(digest, b"")))


def _child_digests(piece: bytes) -> list[str]:
    if not piece.startswith(b'{"children":'):
        return []
    try:
        parsed = json.loads(piece)
    except (ValueError, RecursionError):
        return []
    return list(parsed["children"].values()) if _is_piece(parsed) else []
