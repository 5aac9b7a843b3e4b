"""Limit on the requests of an instance that is about to exit."""

from sequoiahook.decisions.direct.requests import Cause, Refuse, Status

__all__ = ["ExitLimit"]

RETRY_AFTER_MS = 20
"""Short, since the other instances accept the request at once."""


class ExitLimit:
    """Allows only requests that end before this instance does.

    A request that is still open at the exit is cut off with an unknown outcome. One
    that is refused before it is sent to a target may be sent to another instance.

    Attributes:
        last_answer_at: Time by which all requests must be answered, in milliseconds;
            None while the instance is not stopping.
    """

    def __init__(self):
        self.last_answer_at: int | None = None

    def allows(self, deadline_at: int) -> bool:
        """Return whether a request with this deadline ends before the exit."""
        return self.last_answer_at is None or deadline_at <= self.last_answer_at

    @staticmethod
    def refusal() -> Refuse:
        """Return the refusal of a request that is not allowed."""
        return Refuse(Status.UNAVAILABLE, Cause.STOPPING, RETRY_AFTER_MS)
