"""The owners of objects, and the targets that recently handled them."""

import hashlib
import math
from collections.abc import Mapping

__all__ = ["KnownObjects", "hash_permille", "region_order"]

HASH_BITS = 64
PERMILLE = 1000


def hash_permille(key: str) -> int:
    """Return the hash of an object's key, scaled to 0 to 999."""
    return int(_hash_fraction(key) * PERMILLE)


def region_order(key: str, slots_by_region: Mapping[str, int]) -> list[str]:
    """Return the regions in the order of preference to own an object.

    Uses weighted rendezvous hashing: each region comes first for a share of the objects
    that equals its share of the slots, and a change of slots moves as few objects as
    possible.
    """
    return sorted(
        (region for region, slots in slots_by_region.items() if slots > 0),
        key=lambda region: (
            -slots_by_region[region] / math.log(_hash_fraction(f"{key}\0{region}"))
        ),
        reverse=True,
    )


def _hash_fraction(text: str) -> float:
    digest = hashlib.blake2b(text.encode(), digest_size=HASH_BITS // 8).digest()
    # Excludes 0 and 1, so that the logarithm is finite and negative.
    return (int.from_bytes(digest, "big") + 1) / ((1 << HASH_BITS) + 2)


class KnownObjects:
    """The targets that recently handled each object, as seen by this instance.

    Args:
        known_ms: Time for which a target is assumed to have an object cached.
        objects_max: Most objects that are stored.
    """

    def __init__(self, known_ms: int, objects_max: int):
        self._known_ms = known_ms
        self._objects_max = objects_max
        self._seen_at_by_target_by_object: dict[str, dict[str, int]] = {}

    def record_handled(self, key: str, target_id: str, now: int) -> None:
        """Record that a target has handled an object."""
        objects = self._seen_at_by_target_by_object
        seen = objects.pop(key, None) or {}
        seen[target_id] = now
        objects[key] = seen
        if len(objects) > self._objects_max:
            del objects[next(iter(objects))]

    def is_known(self, key: str, target_id: str, now: int) -> bool:
        """Return whether a target is assumed to have an object cached."""
        seen_at = self._seen_at_by_target_by_object.get(key, {}).get(target_id)
        return seen_at is not None and now - seen_at <= self._known_ms
