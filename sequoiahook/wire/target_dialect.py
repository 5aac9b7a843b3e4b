"""How targets tell what became of a request."""

from collections.abc import Sequence
from typing import Protocol

from sequoiahook.messages.requests import Fields
from sequoiahook.wire.fields import RAN_FIELD, response_fields

__all__ = ["OWN_DIALECT", "OwnDialect", "TargetDialect"]

Headers = Sequence[tuple[bytes, bytes]]

IDLE_MS_MAX = 60_000
_NOT_RUN_WORD = b"no"
_SHED_STATUS = 503


class TargetDialect(Protocol):
    """What an answer of a target says besides its content.

    Attributes:
        may_end_with_connection: Whether an answer without a length is whole when its
            connection is closed, but not reset, after it.
    """

    may_end_with_connection: bool

    def is_answer_to(self, request_id: str, headers: Headers) -> bool:
        """Return whether an answer belongs to a request."""

    def is_not_run(self, status: int, headers: Headers) -> bool:
        """Return whether the target states that it did not run the request."""

    def answer_fields(self, headers: Headers) -> Fields:
        """Return the fields of an answer that go on to the caller."""

    def open_count(self, headers: Headers) -> int | None:
        """Return how many requests the target says that it has."""

    def idle_ms(self, headers: Headers) -> int:
        """Return how long the target keeps an idle connection."""


class OwnDialect:
    """The project's own interface between instances and targets."""

    may_end_with_connection = False

    def is_answer_to(self, request_id: str, headers: Headers) -> bool:
        """Answers name no request: each connection carries one at a time."""
        return True

    def is_not_run(self, status: int, headers: Headers) -> bool:
        """Return whether the target shed the request."""
        words = [value.strip().lower() for name, value in headers if name == RAN_FIELD]
        return status == _SHED_STATUS and _NOT_RUN_WORD in words

    def answer_fields(self, headers: Headers) -> Fields:
        """Return all fields but those of one connection."""
        return response_fields(headers)

    def open_count(self, headers: Headers) -> int | None:
        """Targets do not tell their load in answers."""
        return None

    def idle_ms(self, headers: Headers) -> int:
        """Targets do not tell how long they keep connections."""
        return IDLE_MS_MAX


OWN_DIALECT = OwnDialect()
