"""The view of one data centre: its encoding, and its updates through the platform."""

import json
import random
from collections.abc import Collection

from sequoiahook.decisions.membership.effects import ReadObject, WriteObject
from sequoiahook.decisions.membership.settings import MembershipSettings
from sequoiahook.errors import CheckError
from sequoiahook.options import Section, parse_json
from sequoiahook.world.view import DataCentreView

__all__ = ["ViewReplica", "decode_view", "encode_view", "view_object"]

VIEW_NUMBER_MAX = 2**53
CALL_TIMEOUT_MS = 10_000
BACKOFF_EXPONENT_MAX = 16


def view_object(data_centre: str) -> str:
    """Return the name of the platform object that stores a view."""
    return f"view-{data_centre}"


def encode_view(view: DataCentreView) -> bytes:
    """Encode a view as the value of its platform object."""
    document = {"number": view.number, "instances": view.instances}
    return json.dumps(document, separators=(",", ":")).encode()


def decode_view(data_centre: str, value: bytes) -> DataCentreView:
    """Decode a view from the value of its platform object.

    Raises:
        CheckError: If the value is malformed.
    """
    root = Section(parse_json(value))
    number = root.integer("number", low=0, high=VIEW_NUMBER_MAX)
    instances = root.strings("instances")
    root.finish()
    return DataCentreView(data_centre, number, tuple(sorted(set(instances))))


class ViewReplica:
    """Highest view received by this instance, with the platform calls that change it.

    Every change reads the object and writes it on condition that its version is still
    the one read. After a failed call the object is read again, so a lost answer does
    no harm.

    Args:
        settings: Membership settings.
        data_centre: Name of the data centre.
        rng: Source of jitter.
        now: Start of the process, in milliseconds.

    Attributes:
        view: View in force; empty and with number 0 until one is known.
    """

    def __init__(
        self,
        settings: MembershipSettings,
        data_centre: str,
        rng: random.Random,
        now: int,
    ):
        self.view = DataCentreView(data_centre, 0, ())
        self._settings = settings
        self._rng = rng
        self._object_name = view_object(data_centre)
        self._has_read = False
        self._called_at: int | None = None
        self._next_call_at = now + settings.join_after_ms
        self._failures = 0

    def adopt(self, view: DataCentreView) -> bool:
        """Adopt a view if its number is higher; return whether it was."""
        if view.data_centre != self.view.data_centre:
            return False
        if view.number <= self.view.number:
            return False
        self.view = view
        return True

    def tick(
        self, is_proposer: bool, desired_members: Collection[str], now: int
    ) -> list:
        """Return a read of the object if one is due.

        An instance that is not the proposer reads only while it has no view, neither
        from its peers nor from the platform.

        Args:
            is_proposer: Whether this instance proposes changes of the view.
            desired_members: Names that the view should contain.
            now: The time in milliseconds.
        """
        if self._called_at is not None and now - self._called_at >= CALL_TIMEOUT_MS:
            self._called_at = None
        if self._called_at is not None or now < self._next_call_at:
            return []
        is_due = (
            self._is_proposer_read_due(desired_members, now)
            if is_proposer
            else self._is_fallback_read_due(now)
        )
        if not is_due:
            return []
        self._called_at = now
        return [ReadObject(self._object_name)]

    def _is_proposer_read_due(self, desired_members: Collection[str], now: int) -> bool:
        if not self._has_read or set(desired_members) != set(self.view.instances):
            return True
        return now - self._next_call_at >= self._settings.view_read_ms

    def _is_fallback_read_due(self, now: int) -> bool:
        max_wait_ms = self._settings.join_after_ms
        return self.view.number == 0 and now - self._next_call_at >= max_wait_ms

    def on_object_read(self, value: bytes | None, now: int) -> DataCentreView:
        """Adopt the view stored on the platform if its number is higher.

        Args:
            value: Value of the object; None if it does not exist.
            now: The time in milliseconds.

        Returns:
            The stored view, whether or not it is the highest; number 0 and empty if
            the object does not exist or is malformed.
        """
        self._has_read = True
        self._failures = 0
        self._finish_call(0, now)
        stored_view = self._decode(value)
        self.adopt(stored_view)
        return stored_view

    def propose(
        self,
        stored_view: DataCentreView,
        version: int,
        desired_members: Collection[str],
        now: int,
    ) -> list:
        """Return a write if the stored view does not have the desired members.

        Args:
            stored_view: The view that was read.
            version: Version of the object; 0 if it does not exist.
            desired_members: Names that the view should contain.
            now: The time in milliseconds.
        """
        if set(desired_members) == set(stored_view.instances):
            return []
        number = max(self.view.number, stored_view.number) + 1
        names = tuple(sorted(set(desired_members)))
        proposed = DataCentreView(stored_view.data_centre, number, names)
        self._called_at = now
        return [WriteObject(self._object_name, encode_view(proposed), version)]

    def on_object_written(self, now: int) -> None:
        """Schedule a read after a successful write, before its view is adopted.

        The answer may belong to an earlier write than the last one.
        """
        self._finish_call(0, now)
        self._has_read = False

    def on_object_conflict(self, now: int) -> None:
        """Schedule a read after a write for an old version."""
        self._finish_call(self._settings.heartbeat_ms, now)
        self._has_read = False

    def on_object_unavailable(self, now: int) -> None:
        """Schedule a read after a failed call, which may have taken effect."""
        settings = self._settings
        wait_ms = settings.platform_retry_ms << min(
            self._failures, BACKOFF_EXPONENT_MAX
        )
        self._failures += 1
        self._finish_call(min(wait_ms, settings.view_read_ms), now)
        self._has_read = False

    def _finish_call(self, wait_ms: int, now: int) -> None:
        self._called_at = None
        self._next_call_at = now + wait_ms + self._rng.randint(0, wait_ms)

    def _decode(self, value: bytes | None) -> DataCentreView:
        data_centre = self.view.data_centre
        if value is None:
            return DataCentreView(data_centre, 0, ())
        try:
            return decode_view(data_centre, value)
        except CheckError:
            return DataCentreView(data_centre, 0, ())
