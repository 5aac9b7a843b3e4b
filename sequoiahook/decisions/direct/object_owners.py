"""The owners of objects, and the targets that recently handled them."""

import hashlib
import math
from collections.abc import Mapping

__all__ = ["HotObjects", "KnownObjects", "hash_permille", "region_order"]

HASH_BITS = 64
PERMILLE = 1000
PERCENT = 100
HOT_COUNT_MIN = 2.0
"""Least requests of a hot object: a single request shows nothing about the next."""


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


class HotObjects:
    """Objects that this instance requests more often than others.

    Args:
        hot_percent: Least requests of a hot object, as a percentage of the mean of all
            objects with requests.
        half_life_ms: Time after which the counts of requests are halved.
        objects_max: Most objects that are stored.
    """

    def __init__(self, hot_percent: int, half_life_ms: int, objects_max: int):
        self._hot_percent = hot_percent
        self._half_life_ms = half_life_ms
        self._objects_max = objects_max
        self._counts_by_key: dict[str, float] = {}
        self._total = 0.0
        self._halved_at = 0

    def record(self, key: str, now: int) -> None:
        """Count a request for an object."""
        if now - self._halved_at >= self._half_life_ms:
            self._halved_at = now
            self._counts_by_key = {
                key: count / 2
                for key, count in self._counts_by_key.items()
                if count > HOT_COUNT_MIN / 8
            }
            self._total = sum(self._counts_by_key.values())
        if key in self._counts_by_key or len(self._counts_by_key) < self._objects_max:
            self._counts_by_key[key] = self._counts_by_key.get(key, 0.0) + 1
            self._total += 1

    def is_hot(self, key: str) -> bool:
        """Return whether an object is hot."""
        count = self._counts_by_key.get(key, 0.0)
        if count < HOT_COUNT_MIN:
            return False
        mean = self._total / len(self._counts_by_key)
        return count * PERCENT >= mean * self._hot_percent
