"""The stamps that other instances gave to this one."""

from typing import NamedTuple

from sequoiahook.messages.requests import ReceiverStamp

__all__ = ["HeldStamp", "StampBook"]


class HeldStamp(NamedTuple):
    """A stamp and when it arrived.

    Attributes:
        stamp: The stamp.
        received_at: When it arrived, on the holder's clock, in milliseconds.
    """

    stamp: ReceiverStamp
    received_at: int


class StampBook:
    """The newest stamp of each instance.

    Args:
        use_ms: How long a stamp is used, in milliseconds.
    """

    def __init__(self, use_ms: int):
        self._use_ms = use_ms
        self._held_by_instance: dict[str, HeldStamp] = {}

    def keep(self, instance: str, stamp: ReceiverStamp, now: int) -> None:
        """Keep a stamp, unless a newer one of the same incarnation is held."""
        held = self._held_by_instance.get(instance)
        is_same_run = held is not None and held.stamp.incarnation == stamp.incarnation
        if is_same_run and held.stamp.clock_ms >= stamp.clock_ms:
            return
        self._held_by_instance[instance] = HeldStamp(stamp, now)

    def get(self, instance: str, now: int) -> HeldStamp | None:
        """Return the stamp to use; None if there is none that is recent."""
        held = self._held_by_instance.get(instance)
        if held is None or now - held.received_at > self._use_ms:
            return None
        return held

    def forget(self, instance: str) -> None:
        """Forget the stamp of an instance."""
        self._held_by_instance.pop(instance, None)
