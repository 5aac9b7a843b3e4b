"""Stable exit codes of the command line, for scripts."""

from enum import IntEnum

__all__ = ["ExitCode"]


class ExitCode(IntEnum):
    """Exit code of a command."""

    OK = 0
    """The command succeeded."""
    FAILED = 1
    """The command failed at the instance."""
    USAGE = 2
    """The command line is invalid."""
    STALE = 3
    """The patch was made for a configuration number that is not the current one."""
    INVALID = 4
    """A document failed its checks."""
    OUTCOME_UNKNOWN = 5
    """The patch may have been accepted; its id can be queried for the outcome."""
    UNAVAILABLE = 6
    """No instance could be reached, or it did not accept the operator's token."""
