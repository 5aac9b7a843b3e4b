"""Datagrams about requests under which targets ended.

Each holds complete statements about some requests and is repeated, so that a lost one
delays the evidence. Statements are merged, so that their order does not matter.
"""

from typing import NamedTuple

__all__ = ["NEVER", "Crash", "CrashReport", "SuspectStatement"]

NEVER = -1
"""Age of an event that has not happened."""


class Crash(NamedTuple):
    """An attempt whose connection the target ended before it had answered.

    Attributes:
        target: Id of the target.
        started_at: Start of the target, which distinguishes its runs.
        ran_ms: Time from sending the request to the end of the connection.
        age_ms: Time since the end of the connection.
    """

    target: str
    started_at: int
    ran_ms: int
    age_ms: int


class SuspectStatement(NamedTuple):
    """What an instance knows of a request under which targets ended.

    Attributes:
        organisation: Name of its organisation.
        fingerprint: Fingerprint of the request.
        crashes: Attempts that the targets ended.
        answered_age_ms: Time since a target answered it; negative if never.
        trial_age_ms: Time since it was last sent as a trial; negative if never.
    """

    organisation: str
    fingerprint: bytes
    crashes: tuple[Crash, ...]
    answered_age_ms: int
    trial_age_ms: int


class CrashReport(NamedTuple):
    """Statements about some requests under which targets ended."""

    suspects: tuple[SuspectStatement, ...]
