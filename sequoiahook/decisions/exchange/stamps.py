"""Clock stamps received from other instances."""

from typing import NamedTuple

from sequoiahook.messages.requests import ReceiverStamp

__all__ = ["HeldStamp", "StampTable"]


class HeldStamp(NamedTuple):
    """A stamp and the time of its arrival.

    Attributes:
        stamp: The stamp.
        received_at: When it arrived, on the clock of the receiver, in milliseconds.
    """

    stamp: ReceiverStamp
    received_at: int


class StampTable:
    """The newest stamp of each instance.

    Args:
        max_age_ms: Longest time for which a stamp is used, in milliseconds.
    """

    def __init__(self, max_age_ms: int):
        self._max_age_ms = max_age_ms
        self._held_by_instance: dict[str, HeldStamp] = {}

    def store(self, instance: str, stamp: ReceiverStamp, now: int) -> None:
        """Store a stamp unless a newer one of the same incarnation is stored."""
        held = self._held_by_instance.get(instance)
        is_same_incarnation = (
            held is not None and held.stamp.incarnation == stamp.incarnation
        )
        if is_same_incarnation and held.stamp.clock_ms >= stamp.clock_ms:
            return
        self._held_by_instance[instance] = HeldStamp(stamp, now)

    def get(self, instance: str, now: int) -> HeldStamp | None:
        """Return the stamp of an instance; None if it is missing or too old."""
        held = self._held_by_instance.get(instance)
        if held is None or now - held.received_at > self._max_age_ms:
            return None
        return held

    def forget(self, instance: str) -> None:
        """Remove the stamp of an instance."""
        self._held_by_instance.pop(instance, None)
