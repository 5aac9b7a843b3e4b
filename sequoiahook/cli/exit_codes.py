"""Exit codes of the command line, which scripts can rely on."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """Why a command ended."""

    OK = 0
    """Done as asked."""
    FAILED = 1
    """The instance answered that it failed."""
    USAGE = 2
    """The command line itself was wrong."""
    STALE = 3
    """The patch was made against a number that is not the current one."""
    INVALID = 4
    """A document has findings."""
    OUTCOME_UNKNOWN = 5
    """The patch may have been accepted; ask again with its id."""
    UNAVAILABLE = 6
    """No instance could be reached, or it did not accept the operator's token."""
