"""Which targets own an object, and which are known to have handled it recently."""

import hashlib
import math
from collections.abc import Mapping

__all__ = ["KnownObjects", "position", "region_order"]

POSITION_BITS = 64
PERMILLE = 1000


def position(key: str) -> int:
    """Return the fixed place of an object between 0 and 999."""
    return int(_fraction(key) * PERMILLE)


def region_order(key: str, slots_by_region: Mapping[str, int]) -> list[str]:
    """Return the regions in the order in which they should own an object.

    Rendezvous hashing with weights: a region comes first for a part of all objects that
    is its part of all slots, and a change of slots moves as few objects as it must.
    """
    return sorted(
        (region for region, slots in slots_by_region.items() if slots > 0),
        key=lambda region: (
            -slots_by_region[region] / math.log(_fraction(f"{key}\0{region}"))
        ),
        reverse=True,
    )


def _fraction(text: str) -> float:
    digest = hashlib.blake2b(text.encode(), digest_size=POSITION_BITS // 8).digest()
    # Never 0 or 1, so that its logarithm is a finite negative number.
    return (int.from_bytes(digest, "big") + 1) / ((1 << POSITION_BITS) + 2)


class KnownObjects:
    """Which targets this instance saw handle which objects.

    Args:
        known_ms: For how long a target is taken to know an object.
        objects_max: Most objects that are remembered.
    """

    def __init__(self, known_ms: int, objects_max: int):
        self._known_ms = known_ms
        self._objects_max = objects_max
        self._seen_at_by_target_by_object: dict[str, dict[str, int]] = {}

    def note(self, key: str, target_id: str, now: int) -> None:
        """Note that a target has handled an object."""
        objects = self._seen_at_by_target_by_object
        seen = objects.pop(key, None) or {}
        seen[target_id] = now
        objects[key] = seen
        if len(objects) > self._objects_max:
            del objects[next(iter(objects))]

    def is_known(self, key: str, target_id: str, now: int) -> bool:
        """Return whether a target is taken to know an object."""
        seen_at = self._seen_at_by_target_by_object.get(key, {}).get(target_id)
        return seen_at is not None and now - seen_at <= self._known_ms
