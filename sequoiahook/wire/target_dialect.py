"""Interpretation of the answers of targets."""

from collections.abc import Sequence
from typing import Protocol

from sequoiahook.messages.requests import Fields
from sequoiahook.wire.fields import RAN_FIELD, response_fields
from sequoiahook.world.target import LoadReport, StatedLimit, StatedRest

__all__ = ["NATIVE_DIALECT", "NativeDialect", "TargetDialect"]

Headers = Sequence[tuple[bytes, bytes]]

IDLE_MS_MAX = 60_000
_NOT_RUN_VALUE = b"no"
_SHED_STATUS = 503


class TargetDialect(Protocol):
    """Interpretation of the answers of one kind of target.

    Attributes:
        allows_close_delimited: Whether an answer without a length is complete when its
            connection is closed, but not reset.
    """

    allows_close_delimited: bool

    def is_answer_to(self, request_id: str, headers: Headers) -> bool:
        """Return whether an answer belongs to a request."""

    def is_not_run(self, status: int, headers: Headers) -> bool:
        """Return whether the target reports that it did not run the request."""

    def answer_fields(self, headers: Headers) -> Fields:
        """Return the fields of an answer that are forwarded to the caller."""

    def load_report(self, status: int, headers: Headers) -> LoadReport | None:
        """Return the load that an answer reports; None if it does not."""

    def stated_limit(self, status: int, headers: Headers) -> StatedLimit | None:
        """Return the limit that an answer states; None if it comes from another."""

    def stated_rest(self, status: int, headers: Headers) -> StatedRest:
        """Return for how long the target wants no requests of this instance."""

    def is_leaving(self, status: int, headers: Headers) -> bool:
        """Return whether the target states that it leaves."""

    def idle_ms(self, headers: Headers) -> int:
        """Return how long the target keeps an idle connection, in milliseconds."""


class NativeDialect:
    """Dialect of targets that implement this project's own fields."""

    allows_close_delimited = False

    def is_answer_to(self, request_id: str, headers: Headers) -> bool:
        """Return True: a connection carries one request at a time."""
        return True

    def is_not_run(self, status: int, headers: Headers) -> bool:
        """Return whether the target shed the request."""
        values = [value.strip().lower() for name, value in headers if name == RAN_FIELD]
        return status == _SHED_STATUS and _NOT_RUN_VALUE in values

    def answer_fields(self, headers: Headers) -> Fields:
        """Return all fields except those of this connection and of this project."""
        return response_fields(headers)

    def load_report(self, status: int, headers: Headers) -> LoadReport | None:
        """Return None: answers do not report the load of targets."""
        return None

    def stated_limit(self, status: int, headers: Headers) -> StatedLimit | None:
        """Return no limit: answers do not state one."""
        return StatedLimit(None)

    def stated_rest(self, status: int, headers: Headers) -> StatedRest:
        """Return no rest: answers do not ask for one."""
        return StatedRest()

    def is_leaving(self, status: int, headers: Headers) -> bool:
        """Return False: answers do not state it."""
        return False

    def idle_ms(self, headers: Headers) -> int:
        """Return IDLE_MS_MAX: answers do not report an idle time-out."""
        return IDLE_MS_MAX


NATIVE_DIALECT = NativeDialect()
