"""The view of one data centre: held, passed on, and changed through the platform."""

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
    """Return the name of the platform object that holds a view."""
    return f"view-{data_centre}"


def encode_view(view: DataCentreView) -> bytes:
    """Return the value of the platform object."""
    document = {"number": view.number, "instances": view.instances}
    return json.dumps(document, separators=(",", ":")).encode()


def decode_view(data_centre: str, value: bytes) -> DataCentreView:
    """Read the value of the platform object.

    Raises:
        CheckError: If it is malformed.
    """
    root = Section(parse_json(value))
    number = root.integer("number", low=0, high=VIEW_NUMBER_MAX)
    instances = root.strings("instances")
    root.finish()
    return DataCentreView(data_centre, number, tuple(sorted(set(instances))))


class ViewReplica:
    """The highest view that this instance has seen, and its part in changing it.

    Every change reads the object, and writes it on the condition of the version that
    was read. After any failed call it reads again, so a lost answer does no harm.

    Attributes:
        view: The view in force; number 0 and empty until one is known.
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
        self._object = view_object(data_centre)
        self._is_read = False
        self._called_at: int | None = None
        self._next_call_at = now + settings.join_after_ms
        self._failures = 0

    def adopt(self, view: DataCentreView) -> bool:
        """Take a view if its number is higher; return whether it was."""
        if view.data_centre != self.view.data_centre:
            return False
        if view.number <= self.view.number:
            return False
        self.view = view
        return True

    def tick(
        self, is_proposer: bool, desired_members: Collection[str], now: int
    ) -> list:
        """Return a read if one is due.

        An instance that does not propose reads only while it has no view, neither
        from its peers nor from the platform.

        Args:
            is_proposer: Whether this instance is the one to change the view.
            desired_members: Names that the view is to have.
            now: The time in milliseconds.
        """
        if self._called_at is not None and now - self._called_at >= CALL_TIMEOUT_MS:
            self._called_at = None
        if self._called_at is not None or now < self._next_call_at:
            return []
        is_due = (
            self._is_due(desired_members, now)
            if is_proposer
            else self._is_read_needed(now)
        )
        if not is_due:
            return []
        self._called_at = now
        return [ReadObject(self._object)]

    def _is_due(self, desired_members: Collection[str], now: int) -> bool:
        if not self._is_read or set(desired_members) != set(self.view.instances):
            return True
        return now - self._next_call_at >= self._settings.view_read_ms

    def _is_read_needed(self, now: int) -> bool:
        max_wait_ms = self._settings.join_after_ms
        return self.view.number == 0 and now - self._next_call_at >= max_wait_ms

    def on_object_read(self, value: bytes | None, now: int) -> DataCentreView:
        """Take in an answer of the platform.

        Args:
            value: Value of the object; None if it does not exist.
            now: The time in milliseconds.

        Returns:
            The view that was read, whether or not it is the highest.
        """
        self._is_read = True
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
        """Return a write if the view that was read is not the desired_members one.

        Args:
            stored_view: The view that was read.
            version: Version of the object; 0 if it does not exist.
            desired_members: Names that the view is to have.
            now: The time in milliseconds.
        """
        if set(desired_members) == set(stored_view.instances):
            return []
        number = max(self.view.number, stored_view.number) + 1
        names = tuple(sorted(set(desired_members)))
        proposed = DataCentreView(stored_view.data_centre, number, names)
        self._called_at = now
        return [WriteObject(self._object, encode_view(proposed), version)]

    def on_object_written(self, now: int) -> None:
        """Note that a write took effect; it is read back before it counts.

        The answer may belong to an earlier write than the last one.
        """
        self._finish_call(0, now)
        self._is_read = False

    def on_object_conflict(self, now: int) -> None:
        """Note that the last write was made for an old version."""
        self._finish_call(self._settings.heartbeat_ms, now)
        self._is_read = False

    def on_object_unavailable(self, now: int) -> None:
        """Note that a call failed; it may have taken effect."""
        settings = self._settings
        wait_ms = settings.platform_retry_ms << min(
            self._failures, BACKOFF_EXPONENT_MAX
        )
        self._failures += 1
        self._finish_call(min(wait_ms, settings.view_read_ms), now)
        self._is_read = False

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
